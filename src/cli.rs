//! The command line.
