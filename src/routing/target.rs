//! What a router knows of one target: its calls in flight, how slow it is, and how much it may get.

use crate::ids::{Digest, Incarnation};
use crate::membership::table::{Standing, TargetEntry};
use crate::routing::engine::Ticket;
use crate::routing::latency::{self, Slowness};
use crate::routing::limit::Limit;
use crate::target::order::Load;

/// Time in which a reported load loses half its weight, since reports lag.
const REPORT_HALF_LIFE_MS: f64 = 500.0;
/// Reports older than this count for nothing.
const REPORT_MAX_AGE_MS: u64 = 5000;
/// Ratio of its age to its expected time from which an unanswered call is late.
const LATE: f64 = 1.5;
/// Pause after a target refused a call for being busy.
const BUSY_PAUSE_MS: u64 = 100;

/// Names one life of a target within this router; never given twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number(pub u64);

/// One call in flight.
#[derive(Clone, Copy, Debug)]
pub struct Flight {
    /// The request.
    pub ticket: Ticket,
    /// Which attempt of the request.
    pub attempt: u32,
    /// When it was sent.
    pub started_ms: u64,
    /// When its first byte or token is expected, after the start.
    pub expected_first_ms: f64,
    /// Whether its first byte or token has come.
    pub is_answering: bool,
    /// Whether it is long work.
    pub is_long: bool,
    /// The digest of the request.
    pub digest: Digest,
}

/// One target in one life.
#[derive(Clone, Debug)]
pub struct Target {
    /// The name of this life.
    pub number: Number,
    /// The life as the target announced it.
    pub incarnation: Incarnation,
    /// Whether it may get new work.
    pub standing: Standing,
    /// Whether it is in the router's own availability zone.
    pub is_near: bool,
    /// How slow it is.
    pub slowness: Slowness,
    /// How many calls it may get at once.
    pub limit: Limit,
    /// Calls in flight from this router, oldest first.
    pub flights: Vec<Flight>,
    long: u32,
    report: Option<(u64, u32)>,
    paused_until_ms: u64,
}

impl Target {
    /// A target of which nothing is known but its entry.
    pub fn new(number: Number, entry: &TargetEntry, is_near: bool) -> Self {
        Self {
            number,
            incarnation: entry.incarnation,
            standing: entry.standing,
            is_near,
            slowness: Slowness::default(),
            limit: Limit::new(entry.slots),
            flights: Vec::new(),
            long: 0,
            report: None,
            paused_until_ms: 0,
        }
    }

    /// Takes over what a newer entry of the same life tells.
    pub fn update(&mut self, entry: &TargetEntry) {
        self.standing = entry.standing;
        self.limit.set_slots(entry.slots);
    }

    /// Calls in flight from this router.
    pub fn in_flight(&self) -> u32 {
        self.flights.len() as u32
    }

    /// Long calls that may run at once when `share` of the limit may hold them; at least one.
    fn long_limit(&self, share: f64) -> u32 {
        ((f64::from(self.limit.get()) * share) as u32).max(1)
    }

    /// Whether a call may be sent now.
    pub fn has_room(&self, now_ms: u64, is_long: bool, long_share: f64) -> bool {
        self.in_flight() < self.limit.get()
            && now_ms >= self.paused_until_ms
            && (!is_long || self.long < self.long_limit(long_share))
    }

    /// How slow it is: by its answers, or by the share of its calls that are late without one.
    pub fn slowness_at(&self, now_ms: u64) -> f64 {
        let mut excess = 0.0;
        for flight in self.flights.iter().filter(|flight| !flight.is_answering) {
            let age_ms = now_ms.saturating_sub(flight.started_ms);
            let ratio = latency::ratio(age_ms, flight.expected_first_ms);
            excess += if ratio > LATE { ratio - 1.0 } else { 0.0 };
        }
        let late = 1.0 + excess / (f64::from(self.in_flight()) + 1.0);
        self.slowness.at(now_ms).max(late)
    }

    /// The cost of one more call; lower is better.
    ///
    /// `distance` is the relative cost of another availability zone for this call.
    pub fn cost(&self, now_ms: u64, distance: f64) -> f64 {
        let waiting = f64::from(self.in_flight()) + self.reported_others(now_ms) + 1.0;
        let distance = if self.is_near { 1.0 } else { 1.0 + distance };
        self.slowness_at(now_ms) * waiting * distance / self.limit.slots()
    }

    /// Calls of other routers, as last reported and discounted by the age of the report.
    fn reported_others(&self, now_ms: u64) -> f64 {
        let Some((at_ms, others)) = self.report else { return 0.0 };
        let age_ms = now_ms.saturating_sub(at_ms);
        if others == 0 || age_ms > REPORT_MAX_AGE_MS {
            return 0.0;
        }
        f64::from(others) * (-(age_ms as f64) / REPORT_HALF_LIFE_MS).exp2()
    }

    /// Records a call that was sent.
    pub fn start(&mut self, flight: Flight) {
        self.long += u32::from(flight.is_long);
        self.flights.push(flight);
    }

    /// Records that the first byte or token of a call came.
    pub fn answering(&mut self, ticket: Ticket, attempt: u32) -> Option<Flight> {
        let flight = self.find(ticket, attempt)?;
        let before = self.flights[flight];
        self.flights[flight].is_answering = true;
        (!before.is_answering).then_some(before)
    }

    /// Takes a call off that has ended, however it ended.
    pub fn finish(&mut self, ticket: Ticket, attempt: u32) -> Option<Flight> {
        let at = self.find(ticket, attempt)?;
        let flight = self.flights.remove(at);
        self.long -= u32::from(flight.is_long);
        Some(flight)
    }

    /// Counts a running call as long work from now on.
    pub fn grew_long(&mut self, ticket: Ticket) {
        if let Some(flight) = self.flights.iter_mut().find(|flight| flight.ticket == ticket) {
            self.long += u32::from(!flight.is_long);
            flight.is_long = true;
        }
    }

    /// Takes in how long a call took to its first byte or token, beside what was expected.
    pub fn observe(&mut self, now_ms: u64, ratio: f64, load: Option<Load>) {
        self.slowness.observe(now_ms, ratio);
        let in_flight = self.in_flight();
        self.limit.observe(self.slowness.at(now_ms), in_flight, load);
        if let Some(load) = load {
            let others = (load.running + load.waiting).saturating_sub(in_flight);
            self.report = Some((now_ms, others));
        }
    }

    /// Records that the target refused a call for being busy.
    pub fn refused(&mut self, now_ms: u64) {
        self.limit.refused(self.in_flight());
        self.paused_until_ms = now_ms + BUSY_PAUSE_MS;
    }

    /// Records a call that failed or had no answer within its bound.
    pub fn failed(&mut self, now_ms: u64) {
        self.slowness.observe(now_ms, f64::MAX);
        self.limit.observe(self.slowness.at(now_ms), self.in_flight(), None);
        self.paused_until_ms = now_ms + BUSY_PAUSE_MS;
    }

    fn find(&self, ticket: Ticket, attempt: u32) -> Option<usize> {
        self.flights.iter().position(|f| f.ticket == ticket && f.attempt == attempt)
    }
}
