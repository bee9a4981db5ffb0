//! Short reports: what held, what did not, and why.
