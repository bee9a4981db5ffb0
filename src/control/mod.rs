//! The replicated control state, and the port that the rest of a daemon reaches it through.
