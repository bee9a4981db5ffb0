//! When a new leader may give its first order to engines.
//!
//! Load at its worst: all voters start again after a loss of power, with requests waiting for models
//! that only an order brings; or one leader after another is lost. Engines must not get orders of two
//! daemons within a short time, but the daemon that gave the last ones may go on, and one that is
//! asked can tell when it gave its last one. Where engines check fencing numbers, a daemon that is
//! lost cannot give one any more.

use crate::ids::{DaemonId, Term};

/// What a new leader does before its first order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing: it gave the last orders itself, and this is on record.
    Order,
    /// It has its name recorded: nobody has given orders yet.
    Record,
    /// It waits until the orders of this daemon have ended, or of an unknown one, then has its name
    /// recorded.
    WaitAndRecord(Option<DaemonId>),
}

/// Decides for the leader of `term` at the daemon `own`, where `giver` is on record as the last
/// daemon that gave orders.
pub fn decide(own: &DaemonId, term: Term, giver: Option<&DaemonId>) -> Step {
    match giver {
        Some(giver) if giver == own => Step::Order,
        // No leader came before the one of the first term.
        None if term <= Term(1) => Step::Record,
        Some(_) | None => Step::WaitAndRecord(giver.cloned()),
    }
}

/// What the daemon that gave the last orders says of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum LastOrder {
    /// It gives none any more, and gave its last one so long ago.
    Ago(u64),
    /// It does not answer, or knows of none since its start.
    Unknown,
}

/// How long to wait for the end of another daemon's orders, where `takeover_ms` must lie between two
/// daemons' orders.
pub fn wait_ms(takeover_ms: u64, checks_fencing: bool, last: LastOrder) -> u64 {
    match last {
        LastOrder::Ago(ago_ms) => takeover_ms.saturating_sub(ago_ms),
        LastOrder::Unknown if checks_fencing => 0,
        LastOrder::Unknown => takeover_ms,
    }
}
