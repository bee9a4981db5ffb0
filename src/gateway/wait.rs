//! How long a request may wait for a target before it is refused.
//!
//! Load at its worst: a wave for models that no target holds, and a group of voters that comes back
//! from an outage while callers go on. A caller who is refused in time comes back; one who has left
//! does not.

use super::fleet::Choice;
use crate::routes::Kind;

/// Share of a request's time that it may wait for a target.
const SHARE: f64 = 0.45;
/// Part of the latency target that a target is left to begin its answer.
const BEGIN_SHARE: f64 = 0.5;
/// After a start, or under a new leader, the document and the targets are heard of within this time.
pub const LEARN_MS: u64 = 1_500;
/// Share of its time that a request waits for the first document: its route is not known.
const FIRST_DOCUMENT_SHARE: f64 = 0.3;

/// A request that finds no free target.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Why none is free.
    pub why: Choice,
    /// How it is answered.
    pub kind: Kind,
    /// The time to the answer, or to its first event, that its caller hopes for.
    pub latency_target_ms: u64,
    /// All the time that it has, from the begin of the wait.
    pub total_ms: u64,
    /// Time since this router began to learn of the targets; `None` before that.
    pub learning_ms: Option<u64>,
}

/// Time that the request may wait, from the begin of the wait. 0: it is refused at once.
pub fn limit_ms(case: &Case) -> u64 {
    let limit_ms = share_ms(case.total_ms, SHARE).min(until_caller_leaves_ms(case));
    match case.why {
        Choice::NoTarget => {
            let learned_ms = LEARN_MS.saturating_sub(case.learning_ms.unwrap_or(0));
            limit_ms.min(learned_ms)
        }
        Choice::Paused { .. } => 0,
        Choice::Target(_) | Choice::Full | Choice::NoReplica => limit_ms,
    }
}

/// Time that a request may wait for the first document, of all the time that it has.
pub fn first_document_ms(total_ms: u64) -> u64 {
    share_ms(total_ms, FIRST_DOCUMENT_SHARE).min(LEARN_MS)
}

/// Time after which a target can no longer begin its answer before the caller leaves.
fn until_caller_leaves_ms(case: &Case) -> u64 {
    let begin_ms = share_ms(case.latency_target_ms, BEGIN_SHARE);
    match case.kind {
        Kind::Stream { max_gap_ms, .. } => max_gap_ms.saturating_sub(begin_ms),
        Kind::Idempotent | Kind::AtMostOnce => u64::MAX,
    }
}

fn share_ms(time_ms: u64, share: f64) -> u64 {
    (time_ms as f64 * share) as u64
}
