//! Router-side state of one target: calls in flight, slowness and concurrency limit.

use crate::ids::{Digest, Incarnation};
use crate::membership::table::{Standing, TargetEntry};
use crate::routing::engine::Ticket;
use crate::routing::latency::{self, Slowness};
use crate::routing::limit::ConcurrencyLimit;
use crate::target::order::Load;

/// Half-life of the weight of a reported load, since reports lag.
const REPORT_HALF_LIFE_MS: f64 = 500.0;
/// Reports older than this are ignored.
const REPORT_MAX_AGE_MS: u64 = 5000;
/// An unanswered call is late once its age exceeds its expected time by this factor.
const LATE_RATIO: f64 = 1.5;
/// Pause after a target refused a call as busy or failed one.
const BUSY_PAUSE_MS: u64 = 100;

/// Identifies one incarnation of a target within this router; never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetNumber(pub u64);

/// A call in flight: one attempt of a request at a target.
#[derive(Clone, Copy, Debug)]
pub struct InFlightCall {
    /// The request.
    pub ticket: Ticket,
    /// The number of the attempt.
    pub attempt: u32,
    /// The time at which the call was sent.
    pub started_ms: u64,
    /// Expected time from the start to the first byte or token.
    pub expected_first_ms: f64,
    /// Whether the first byte or token was received.
    pub is_answering: bool,
    /// Whether the request counts as long.
    pub is_long: bool,
    /// The digest of the request.
    pub digest: Digest,
}

/// One incarnation of a target.
#[derive(Clone, Debug)]
pub struct Target {
    /// The number of this incarnation within the router.
    pub number: TargetNumber,
    /// The incarnation that the target announced.
    pub incarnation: Incarnation,
    /// Membership state, which decides whether the target may get new requests.
    pub standing: Standing,
    /// Whether the target is in the router's own availability zone.
    pub is_same_zone: bool,
    /// Moving ratio of observed to expected response time.
    pub slowness: Slowness,
    /// The concurrency limit of this router for the target.
    pub limit: ConcurrencyLimit,
    /// Calls in flight from this router, oldest first.
    pub calls: Vec<InFlightCall>,
    long_calls: u32,
    reported_others: Option<(u64, u32)>,
    paused_until_ms: u64,
}

impl Target {
    /// Creates the state of a target from its entry in the route table.
    pub fn new(number: TargetNumber, entry: &TargetEntry, is_same_zone: bool) -> Self {
        Self {
            number,
            incarnation: entry.incarnation,
            standing: entry.standing,
            is_same_zone,
            slowness: Slowness::default(),
            limit: ConcurrencyLimit::new(entry.slots),
            calls: Vec::new(),
            long_calls: 0,
            reported_others: None,
            paused_until_ms: 0,
        }
    }

    /// Applies a newer entry of the same incarnation.
    pub fn update(&mut self, entry: &TargetEntry) {
        self.standing = entry.standing;
        self.limit.set_slots(entry.slots);
    }

    /// The number of calls in flight from this router.
    pub fn in_flight(&self) -> u32 {
        self.calls.len() as u32
    }

    /// Most long calls at once when they may hold `share` of the limit; at least one.
    fn long_limit(&self, share: f64) -> u32 {
        ((f64::from(self.limit.get()) * share) as u32).max(1)
    }

    /// Whether a call may be sent now.
    pub fn has_room(&self, now_ms: u64, is_long: bool, long_share: f64) -> bool {
        self.in_flight() < self.limit.get()
            && now_ms >= self.paused_until_ms
            && (!is_long || self.long_calls < self.long_limit(long_share))
    }

    /// The slowness of the target: by its responses, or by its unanswered late calls if that is
    /// worse.
    pub fn slowness_at(&self, now_ms: u64) -> f64 {
        let mut excess = 0.0;
        for call in self.calls.iter().filter(|call| !call.is_answering) {
            let age_ms = now_ms.saturating_sub(call.started_ms);
            let ratio = latency::ratio(age_ms, call.expected_first_ms);
            excess += if ratio > LATE_RATIO { ratio - 1.0 } else { 0.0 };
        }
        let late = 1.0 + excess / (f64::from(self.in_flight()) + 1.0);
        self.slowness.at(now_ms).max(late)
    }

    /// The cost of one more call; lower is better.
    ///
    /// `zone_cost` is the relative extra cost of this call in another availability zone.
    pub fn cost(&self, now_ms: u64, zone_cost: f64) -> f64 {
        let waiting = f64::from(self.in_flight()) + self.expected_others(now_ms) + 1.0;
        let zone_cost = if self.is_same_zone { 1.0 } else { 1.0 + zone_cost };
        self.slowness_at(now_ms) * waiting * zone_cost / self.limit.slots()
    }

    /// Calls of other routers, as last reported and discounted by the age of the report.
    fn expected_others(&self, now_ms: u64) -> f64 {
        let Some((at_ms, others)) = self.reported_others else { return 0.0 };
        let age_ms = now_ms.saturating_sub(at_ms);
        if others == 0 || age_ms > REPORT_MAX_AGE_MS {
            return 0.0;
        }
        f64::from(others) * (-(age_ms as f64) / REPORT_HALF_LIFE_MS).exp2()
    }

    /// Records a call that was sent.
    pub fn add_call(&mut self, call: InFlightCall) {
        self.long_calls += u32::from(call.is_long);
        self.calls.push(call);
    }

    /// Records the first byte or token of a call. Returns the call if it was the first.
    pub fn record_first_byte(&mut self, ticket: Ticket, attempt: u32) -> Option<InFlightCall> {
        let call = self.call_index(ticket, attempt)?;
        let before = self.calls[call];
        self.calls[call].is_answering = true;
        (!before.is_answering).then_some(before)
    }

    /// Removes a call that has ended, successfully or not.
    pub fn remove_call(&mut self, ticket: Ticket, attempt: u32) -> Option<InFlightCall> {
        let at = self.call_index(ticket, attempt)?;
        let call = self.calls.remove(at);
        self.long_calls -= u32::from(call.is_long);
        Some(call)
    }

    /// Counts a running call as long from now on.
    pub fn mark_long(&mut self, ticket: Ticket) {
        if let Some(call) = self.calls.iter_mut().find(|call| call.ticket == ticket) {
            self.long_calls += u32::from(!call.is_long);
            call.is_long = true;
        }
    }

    /// Updates slowness, limit and reported load from the first byte or token of a call.
    ///
    /// `ratio` is the observed time divided by the expected one.
    pub fn observe(&mut self, now_ms: u64, ratio: f64, load: Option<Load>) {
        self.slowness.observe(now_ms, ratio);
        let in_flight = self.in_flight();
        self.limit.observe(self.slowness.at(now_ms), in_flight, load);
        if let Some(load) = load {
            let others = (load.running + load.waiting).saturating_sub(in_flight);
            self.reported_others = Some((now_ms, others));
        }
    }

    /// Records that the target refused a call as busy.
    pub fn record_busy(&mut self, now_ms: u64) {
        self.limit.shrink_after_busy(self.in_flight());
        self.paused_until_ms = now_ms + BUSY_PAUSE_MS;
    }

    /// Records a call that failed or timed out.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.slowness.observe(now_ms, f64::MAX);
        self.limit.observe(self.slowness.at(now_ms), self.in_flight(), None);
        self.paused_until_ms = now_ms + BUSY_PAUSE_MS;
    }

    fn call_index(&self, ticket: Ticket, attempt: u32) -> Option<usize> {
        self.calls.iter().position(|f| f.ticket == ticket && f.attempt == attempt)
    }
}
