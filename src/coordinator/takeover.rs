//! When a new leader may give its first order to engines.
//!
//! Load at its worst: all voters start again after a loss of power, with requests waiting for models
//! that only an order brings. Engines must not get orders of two daemons within a short time, but
//! the daemon that gave the last ones may go on.

use crate::ids::{DaemonId, Term};

/// What a new leader does before its first order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing: it gave the last orders itself, and this is on record.
    Order,
    /// It has its name recorded: nobody has given orders yet.
    Record,
    /// It waits until the orders of another daemon have ended, then has its name recorded.
    WaitAndRecord,
}

/// Decides for the leader of `term` at the daemon `own`, where `giver` is on record as the last
/// daemon that gave orders.
pub fn decide(own: &DaemonId, term: Term, giver: Option<&DaemonId>) -> Step {
    match giver {
        Some(giver) if giver == own => Step::Order,
        // No leader came before the one of the first term.
        None if term <= Term(1) => Step::Record,
        Some(_) | None => Step::WaitAndRecord,
    }
}
