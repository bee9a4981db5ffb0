//! The operators' HTTP API, and the client that the command line uses.
