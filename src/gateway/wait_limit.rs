//! Computes how long a request may wait for a target before it is refused.
//!
//! Worst-case load: a burst of requests for models that no target has loaded, and a group of voters
//! that recovers from an outage while callers keep sending. A caller that is refused in time
//! retries; one that has given up does not.

use super::balancer::TargetChoice;
use crate::routes::{Kind, Route};

/// Share of a request's total time that it may wait for a target.
const MAX_WAIT_SHARE: f64 = 0.45;
/// Share of the latency target that is reserved for the target to start its response.
const RESPONSE_START_SHARE: f64 = 0.5;
/// Time within which a router learns of the document and the targets after its start or under a new
/// leader.
pub const DISCOVERY_MS: u64 = 1_500;
/// Share of a request's total time that it waits for the first document. This share is separate
/// because the route of the request is not known yet.
const DOCUMENT_WAIT_SHARE: f64 = 0.3;
/// Share of a request's total time that it waits to learn who began its stream: a leader that was lost
/// is replaced within it.
const ORIGIN_WAIT_SHARE: f64 = 0.3;

/// A request for which no target is free.
#[derive(Clone, Copy, Debug)]
pub struct UnplacedRequest {
    /// Why no target is free.
    pub reason: TargetChoice,
    /// The kind of its route.
    pub kind: Kind,
    /// Target latency of the response, or of the first event of a stream.
    pub latency_target_ms: u64,
    /// Total time of the request, from the start of the wait.
    pub total_ms: u64,
    /// Time since this router began to learn of the targets from its leader; `None` before that.
    pub discovery_ms: Option<u64>,
}

/// Time that the request may wait, from the start of the wait. It is refused at once if this is 0.
pub fn max_wait_ms(request: &UnplacedRequest) -> u64 {
    let limit_ms = share_ms(request.total_ms, MAX_WAIT_SHARE)
        .min(last_useful_start_ms(request.kind, request.latency_target_ms));
    match request.reason {
        TargetChoice::NoTarget => {
            let discovery_left_ms = DISCOVERY_MS.saturating_sub(request.discovery_ms.unwrap_or(0));
            limit_ms.min(discovery_left_ms)
        }
        TargetChoice::AllPaused { .. } => 0,
        TargetChoice::Selected(_)
        | TargetChoice::AwaitPermit { .. }
        | TargetChoice::AwaitSlot { .. }
        | TargetChoice::AllFull
        | TargetChoice::AllLimited { .. }
        | TargetChoice::NoReplica => limit_ms,
    }
}

/// How long a request is expected to wait for a slot of a brittle target: behind `ahead` others, where one is served
/// each `interval_us`, and behind more urgent ones that come meanwhile. `None` if that is not known.
pub fn expected_slot_wait_ms(ahead: u32, interval_us: u64, urgent_per_ms: f64) -> Option<u64> {
    if interval_us == 0 {
        return None;
    }
    let rate_per_ms = 1_000.0 / interval_us as f64 - urgent_per_ms;
    if rate_per_ms <= 0.0 {
        return Some(u64::MAX);
    }
    Some((f64::from(ahead + 1) / rate_per_ms) as u64)
}

/// Time that a request may wait for the first document, given its total time.
pub fn max_document_wait_ms(total_ms: u64) -> u64 {
    share_ms(total_ms, DOCUMENT_WAIT_SHARE).min(DISCOVERY_MS)
}

/// Time that a request may wait to learn who began its stream, given its total time.
pub fn max_origin_wait_ms(route: &Route, total_ms: u64) -> u64 {
    let useful_ms = last_useful_start_ms(route.kind, route.latency_target_ms);
    share_ms(total_ms, ORIGIN_WAIT_SHARE).min(useful_ms)
}

/// Latest time at which a target can start its response before the caller of a stream gives up.
fn last_useful_start_ms(kind: Kind, latency_target_ms: u64) -> u64 {
    let start_ms = share_ms(latency_target_ms, RESPONSE_START_SHARE);
    match kind {
        Kind::Stream { max_gap_ms, .. } => max_gap_ms.saturating_sub(start_ms),
        Kind::Idempotent | Kind::AtMostOnce => u64::MAX,
    }
}

fn share_ms(time_ms: u64, share: f64) -> u64 {
    (time_ms as f64 * share) as u64
}
