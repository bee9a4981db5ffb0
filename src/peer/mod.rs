//! Calls between daemons.
