//! Computes how long a request may wait for a target before it is refused.
//!
//! Worst-case load: a burst of requests for models that no target has loaded, and a group of voters
//! that recovers from an outage while callers keep sending. A caller that is refused in time
//! retries; one that has given up does not.

use super::balancer::TargetChoice;
use super::forecast::{Basis, Forecast, Outlook};
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

/// The times that bound the wait of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitTimes {
    /// When it is refused if nothing is known of when it will begin.
    pub limit_ms: u64,
    /// When a start is useful for the last time, not before the limit.
    pub last_start_ms: u64,
    /// When it has to begin to meet its latency target.
    pub start_by_ms: u64,
    /// From when on it goes before others of its rank, because its last useful start is near.
    pub urgent_from_ms: u64,
    /// How long it is held after the time at which it was expected to have a slot. `None` if its caller
    /// stays until the deadline, so that a pause of the others may still serve it.
    pub grace_ms: Option<u64>,
}

/// When a request arrived, and what its caller needs.
#[derive(Clone, Copy, Debug)]
pub struct CallerNeeds {
    /// When it arrived.
    pub arrived_ms: u64,
    /// The start of the wait.
    pub since_ms: u64,
    /// When the caller gives up.
    pub deadline_ms: u64,
    /// The kind of its route.
    pub kind: Kind,
    /// Target latency of the response, or of the first event of a stream.
    pub latency_target_ms: u64,
    /// How long requests like it occupy a slot, if that is known.
    pub run_ms: Option<u64>,
}

impl WaitTimes {
    /// The times of a request that may wait until `limit_ms` without a forecast.
    pub fn new(limit_ms: u64, needs: &CallerNeeds) -> Self {
        let start_ms = share_ms(needs.latency_target_ms, RESPONSE_START_SHARE);
        let useful_ms = last_useful_start_ms(needs.kind, needs.latency_target_ms);
        let whole_ms = needs.deadline_ms.saturating_sub(needs.run_ms.unwrap_or(start_ms));
        let last_start_ms = whole_ms.min(needs.since_ms.saturating_add(useful_ms)).max(limit_ms);
        let first_answer_ms = needs.run_ms.map_or(start_ms, |run_ms| run_ms.min(start_ms));
        Self {
            limit_ms,
            last_start_ms,
            start_by_ms: (needs.arrived_ms + needs.latency_target_ms)
                .saturating_sub(first_answer_ms),
            urgent_from_ms: last_start_ms.saturating_sub(start_ms),
            grace_ms: needs.kind.is_stream().then_some(start_ms),
        }
    }
}

/// What to do about a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// It may wait until this time.
    Until(u64),
    /// It is refused now.
    Refuse,
}

/// Decides whether a request for which no target is free may wait. It may until its last useful start if
/// it may well begin by then. If it will not, it is refused at once if the forecast is firm, so that
/// its caller still has time to return; otherwise it may wait as if nothing were known.
///
/// `promised_ms` is when it was expected to have a slot at the latest by its first forecast. A stream
/// is not held much longer than that: requests that came later and can still meet their latency targets go
/// before it.
pub fn decide_hold(
    now_ms: u64,
    times: &WaitTimes,
    outlook: &Outlook,
    promised_ms: Option<u64>,
) -> Hold {
    let is_limit_over = now_ms >= times.limit_ms;
    match outlook.forecast {
        Forecast::Never => Hold::Refuse,
        Forecast::Begins { .. } if outlook.earliest_ms(now_ms) < Some(times.last_start_ms) => {
            let is_by_slots = outlook.basis == Basis::Slots;
            let promised_ms = promised_ms.filter(|_| is_by_slots).zip(times.grace_ms);
            let overdue_ms = promised_ms.map_or(u64::MAX, |(at_ms, grace_ms)| at_ms + grace_ms);
            match overdue_ms <= now_ms {
                true => Hold::Refuse,
                false => Hold::Until(overdue_ms.min(times.last_start_ms)),
            }
        }
        Forecast::Begins { .. } if outlook.is_firm() => Hold::Refuse,
        Forecast::Begins { .. } | Forecast::Unknown if is_limit_over => Hold::Refuse,
        Forecast::Begins { .. } | Forecast::Unknown => Hold::Until(times.limit_ms),
    }
}

/// When the caller of a refused request is asked to return: when it is expected to begin, or, if that is
/// after the end of the caller's time, in half of that time. Another router may do better then.
pub fn return_in_ms(begins_in_ms: u64, left_ms: u64) -> u64 {
    if begins_in_ms < left_ms { begins_in_ms } else { left_ms / 2 }
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
