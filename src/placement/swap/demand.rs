//! Request demand as the routers report it: arrivals, waiting requests and running requests.

use crate::coordinator::speeds::SpeedReport;
use crate::ids::{
    DaemonId, Incarnation, ModelName, ModelRef, ServiceName, SoftwareVersion, TargetId,
};
use crate::trailing;

/// Longest time between two planner ticks: arrival rates decay between reports.
pub const RATE_REFRESH_INTERVAL_MS: u64 = 250;
/// Time constant of the exponential decay of arrival counts: they fall to about a third in it.
const RATE_DECAY_MS: f64 = 3_000.0;
/// The same for the count that shows a rise early.
const FAST_DECAY_MS: f64 = 1_000.0;
/// The same for the count that remembers models which are requested every ten seconds or more.
const SLOW_DECAY_MS: f64 = 60_000.0;
/// Time before the first report in which its arrivals came: routers keep them while there is no
/// leader.
const FIRST_REPORT_SPAN_MS: u64 = 1_500;
/// A router that has sent no report for this long counts as having no requests waiting or running.
pub const ROUTER_TIMEOUT_MS: u64 = 2_500;

/// Report of one router: requests waiting and running now, and arrivals since its last report.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RouterDemand {
    /// Requests that arrived since the last report.
    pub arrivals: Vec<(ModelRef, u32)>,
    /// Requests that wait for a replica.
    pub waiting: Vec<WaitingRequests>,
    /// Requests at targets.
    pub running: Vec<RunningRequests>,
    /// Targets that announced their shutdown in a response but are not marked as leaving in the
    /// route table.
    pub leaving: Vec<(TargetId, Incarnation)>,
    /// Services of which the router reaches no target, sorted.
    pub lost_services: Vec<ServiceName>,
    /// What it measured of the speeds of targets. Older builds do not tell it, and are told no speeds.
    #[serde(deserialize_with = "trailing::or_default")]
    pub speeds: Option<SpeedReport>,
}

/// Requests that wait for one model or adapter.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WaitingRequests {
    /// The model or adapter.
    pub model: ModelRef,
    /// The software version that has to continue their streams; `None` where any may serve them.
    pub software: Option<SoftwareVersion>,
    /// Number of waiting requests.
    pub count: u32,
    /// Time left until the earliest of their latency targets; negative once it has passed.
    pub slack_ms: i64,
}

/// Requests at one target.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RunningRequests {
    /// The target.
    pub target: TargetId,
    /// The model or adapter; `None` for services without models.
    pub model: Option<ModelRef>,
    /// Number of requests that run or wait at the target.
    pub count: u32,
}

/// Arrivals per second of requests for one model and its adapters.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Rates {
    /// Over the last seconds.
    pub current_per_s: f64,
    /// What is expected in a moment: a rise goes on, a fall is taken as it is.
    pub expected_per_s: f64,
    /// Over the last minute.
    pub lasting_per_s: f64,
}

#[derive(Clone, Debug)]
struct ArrivalRate {
    model: ModelName,
    fast_count: f64,
    decayed_count: f64,
    slow_count: f64,
    updated_ms: u64,
}

impl ArrivalRate {
    fn count_at(&self, now_ms: u64) -> f64 {
        self.decayed_count * self.decay(now_ms, RATE_DECAY_MS)
    }

    fn decay(&self, now_ms: u64, decay_ms: f64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        (-age_ms / decay_ms).exp()
    }

    fn add(&mut self, now_ms: u64, count: u32) {
        let count = f64::from(count);
        self.fast_count = self.fast_count * self.decay(now_ms, FAST_DECAY_MS) + count;
        self.slow_count = self.slow_count * self.decay(now_ms, SLOW_DECAY_MS) + count;
        self.decayed_count = self.count_at(now_ms) + count;
        self.updated_ms = now_ms;
    }

    /// The rates, of arrivals that were counted for `counted_ms`.
    fn rates(&self, now_ms: u64, counted_ms: f64) -> Rates {
        // A count that began a short time ago has not reached its final level.
        let per_s = |count: f64, decay_ms: f64| {
            let level = 1.0 - (-counted_ms / decay_ms).exp();
            count * self.decay(now_ms, decay_ms) * 1_000.0 / (decay_ms * level)
        };
        let current_per_s = per_s(self.decayed_count, RATE_DECAY_MS);
        let fast_per_s = per_s(self.fast_count, FAST_DECAY_MS);
        Rates {
            current_per_s,
            expected_per_s: fast_per_s.max(1.5 * fast_per_s - 0.5 * current_per_s),
            lasting_per_s: per_s(self.slow_count, SLOW_DECAY_MS),
        }
    }
}

#[derive(Clone, Debug)]
struct LatestReport {
    router: DaemonId,
    received_ms: u64,
    demand: RouterDemand,
}

/// The demand of all routers.
#[derive(Clone, Debug, Default)]
pub struct AggregateDemand {
    /// Sorted by router.
    reports: Vec<LatestReport>,
    /// Sorted by model.
    rates: Vec<ArrivalRate>,
    first_report_ms: Option<u64>,
}

impl AggregateDemand {
    /// Replaces the last report of a router and counts its new arrivals.
    pub fn apply_report(&mut self, now_ms: u64, router: DaemonId, demand: RouterDemand) {
        self.first_report_ms.get_or_insert(now_ms);
        for (model, count) in &demand.arrivals {
            self.add_arrivals(now_ms, &model.model, *count);
        }
        let report = LatestReport { router, received_ms: now_ms, demand };
        match self.reports.binary_search_by(|known| known.router.cmp(&report.router)) {
            Ok(at) => self.reports[at] = report,
            Err(at) => self.reports.insert(at, report),
        }
    }

    fn add_arrivals(&mut self, now_ms: u64, model: &ModelName, count: u32) {
        let at = match self.rates.binary_search_by(|rate| rate.model.cmp(model)) {
            Ok(at) => at,
            Err(at) => {
                let rate = ArrivalRate {
                    model: model.clone(),
                    fast_count: 0.0,
                    decayed_count: 0.0,
                    slow_count: 0.0,
                    updated_ms: now_ms,
                };
                self.rates.insert(at, rate);
                at
            }
        };
        self.rates[at].add(now_ms, count);
    }

    /// Drops the reports of routers that have been silent for [`ROUTER_TIMEOUT_MS`].
    pub fn remove_silent_routers(&mut self, now_ms: u64) {
        self.reports.retain(|report| now_ms.saturating_sub(report.received_ms) < ROUTER_TIMEOUT_MS);
    }

    /// Arrival rates of requests for a model and its adapters.
    pub(super) fn rates(&self, now_ms: u64, model: &ModelName) -> Rates {
        let first_ms = self.first_report_ms.unwrap_or(now_ms);
        let counted_ms = (now_ms.saturating_sub(first_ms) + FIRST_REPORT_SPAN_MS) as f64;
        match self.rates.binary_search_by(|rate| rate.model.cmp(model)) {
            Ok(at) => self.rates[at].rates(now_ms, counted_ms),
            Err(_) => Rates::default(),
        }
    }

    /// Waiting requests at all routers.
    pub fn waiting(&self) -> impl Iterator<Item = &WaitingRequests> {
        self.reports.iter().flat_map(|report| &report.demand.waiting)
    }

    /// Waiting requests at one router.
    pub fn waiting_at(&self, router: &DaemonId) -> impl Iterator<Item = &WaitingRequests> {
        let found = self.reports.binary_search_by(|report| report.router.cmp(router));
        let report = found.ok().map(|at| &self.reports[at]);
        report.into_iter().flat_map(|report| &report.demand.waiting)
    }

    /// Running requests of all routers.
    pub fn running(&self) -> impl Iterator<Item = &RunningRequests> {
        self.reports.iter().flat_map(|report| &report.demand.running)
    }
}
