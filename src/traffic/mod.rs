//! The HTTP side towards callers.
