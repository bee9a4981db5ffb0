//! Decides when a new leader may send its first order to engines.
//!
//! Engines must not receive orders of two daemons within a short time. The delay matters most when
//! all voters restart after a power loss, with requests waiting for models that have to be loaded,
//! or when several leaders are lost in succession. It is shortened where possible: the daemon that
//! sent the last orders may continue at once, and a reachable one reports when it sent its last
//! order. Where engines check fencing numbers, the orders of a lost daemon are rejected.

use crate::ids::{DaemonId, Term};

/// What a new leader has to do before its first order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeoverStep {
    /// Nothing: it sent the last orders itself, and this is recorded.
    Proceed,
    /// Record its id: no daemon has sent orders yet.
    Record,
    /// Wait until the orders of this daemon, or of an unknown one, have ended, then record its id.
    WaitAndRecord(Option<DaemonId>),
}

/// Decides for the leader of `term` at the daemon `own`, where `giver` is recorded as the last
/// daemon that sent orders.
pub fn decide_takeover(own: &DaemonId, term: Term, giver: Option<&DaemonId>) -> TakeoverStep {
    match giver {
        Some(giver) if giver == own => TakeoverStep::Proceed,
        // The leader of the first term has no predecessor.
        None if term <= Term(1) => TakeoverStep::Record,
        Some(_) | None => TakeoverStep::WaitAndRecord(giver.cloned()),
    }
}

/// The last order of the daemon that sent orders before, as reported by that daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum LastOrder {
    /// It sends no more orders. Its last one was sent this many milliseconds ago.
    Ago(u64),
    /// It does not answer, or has sent no order since its start.
    Unknown,
}

/// Returns how long to wait for the end of another daemon's orders. `takeover_ms` is the minimum
/// time between the orders of two daemons.
pub fn takeover_wait_ms(takeover_ms: u64, checks_fencing: bool, last: LastOrder) -> u64 {
    match last {
        LastOrder::Ago(ago_ms) => takeover_ms.saturating_sub(ago_ms),
        LastOrder::Unknown if checks_fencing => 0,
        LastOrder::Unknown => takeover_ms,
    }
}
