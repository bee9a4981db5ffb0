//! Demand for one model, merged over all daemons.

use crate::ids::{DaemonId, ModelRef};
use crate::placement::gaps;

/// Time constant of the exponential decay of the arrival rate.
const RATE_WINDOW_MS: f64 = 10_000.0;
/// Requests that must have left the queue before the measured service time is used.
const MIN_STARTS: f64 = 16.0;
/// Requests after which older ones count half.
const MAX_STARTS: f64 = 256.0;
/// Bounds of the measured service time: the expected one divided by the first number, and
/// multiplied by the second.
const SERVICE_RANGE: (u64, u64) = (4, 32);

/// Demand as reported by one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandReport {
    /// The daemon.
    pub daemon: DaemonId,
    /// Models whose demand changed. Earlier reports of other models hold until they are stale.
    pub entries: Vec<DemandEntry>,
}

/// Demand for one model at one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct DemandEntry {
    /// The requested model or adapter.
    pub model: ModelRef,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub in_flight: u32,
    /// Requests that arrived since the daemon's last report.
    pub arrivals: u32,
    /// Earliest deadline of the waiting requests, as a Unix time.
    pub earliest_deadline_ms: Option<u64>,
    /// The highest weight among the classes of the waiting requests.
    pub class_weight: u32,
}

#[derive(Clone, Debug)]
struct ReportedDemand {
    daemon: DaemonId,
    /// The requested adapter, where its demand counts towards the base.
    asked: ModelRef,
    waiting: u32,
    in_flight: u32,
    deadline_ms: u64,
    class_weight: u32,
    heard_ms: u64,
}

/// Demand for one model over all daemons.
#[derive(Clone, Debug, Default)]
pub struct MergedDemand {
    sources: Vec<ReportedDemand>,
    waiting: u32,
    in_flight: u32,
    rate_per_s: f64,
    rate_ms: u64,
    last_arrival_ms: Option<u64>,
    last_sign_ms: Option<u64>,
    /// Total running time of requests, and the number of requests that left the queue meanwhile.
    run_ms: f64,
    starts: f64,
    gaps: gaps::GapHistogram,
}

impl MergedDemand {
    /// Applies a report of `daemon`. Returns the gap since the last arrival if requests arrived.
    pub fn apply(&mut self, now_ms: u64, daemon: &DaemonId, entry: &DemandEntry) -> Option<u64> {
        let key = (daemon, &entry.model);
        let place = self.sources.binary_search_by(|s| (&s.daemon, &s.asked).cmp(&key));
        self.observe(now_ms, place.ok(), entry);
        self.last_sign_ms = Some(now_ms);
        if let Ok(at) = place {
            self.remove(at);
        }
        if entry.waiting + entry.in_flight > 0 {
            let at = place.unwrap_or_else(|at| at);
            self.waiting += entry.waiting;
            self.in_flight += entry.in_flight;
            self.sources.insert(
                at,
                ReportedDemand {
                    daemon: daemon.clone(),
                    asked: entry.model.clone(),
                    waiting: entry.waiting,
                    in_flight: entry.in_flight,
                    deadline_ms: entry.earliest_deadline_ms.unwrap_or(u64::MAX),
                    class_weight: entry.class_weight,
                    heard_ms: now_ms,
                },
            );
        }
        self.arrive(now_ms, entry.arrivals)
    }

    /// Measures the service time by Little's law, from the requests that run and those that start.
    fn observe(&mut self, now_ms: u64, place: Option<usize>, entry: &DemandEntry) {
        let elapsed_ms = now_ms - self.last_sign_ms.unwrap_or(now_ms);
        self.run_ms += f64::from(self.in_flight) * elapsed_ms as f64;
        let waited = place.map_or(0, |at| self.sources[at].waiting);
        self.starts += f64::from((waited + entry.arrivals).saturating_sub(entry.waiting));
        if self.starts > MAX_STARTS {
            self.run_ms /= 2.0;
            self.starts /= 2.0;
        }
    }

    /// The service time of a request in milliseconds; `expected_ms` until enough were measured.
    pub fn service_ms(&self, expected_ms: u64) -> u64 {
        if self.starts < MIN_STARTS {
            return expected_ms;
        }
        let (part, multiple) = SERVICE_RANGE;
        let learned_ms = (self.run_ms / self.starts) as u64;
        learned_ms.clamp(expected_ms / part, expected_ms * multiple)
    }

    fn arrive(&mut self, now_ms: u64, arrivals: u32) -> Option<u64> {
        if arrivals == 0 {
            return None;
        }
        self.rate_per_s = self.rate_per_s(now_ms) + f64::from(arrivals) * 1000.0 / RATE_WINDOW_MS;
        self.rate_ms = now_ms;
        let gap_ms = self.last_arrival_ms.map(|last_ms| now_ms.saturating_sub(last_ms));
        if let Some(gap_ms) = gap_ms {
            self.gaps.record(gap_ms);
        }
        self.last_arrival_ms = Some(now_ms);
        gap_ms
    }

    fn remove(&mut self, at: usize) {
        let source = self.sources.remove(at);
        self.waiting -= source.waiting;
        self.in_flight -= source.in_flight;
    }

    /// Removes the reports of `daemon`. Returns whether there were any.
    pub fn forget_daemon(&mut self, daemon: &DaemonId) -> bool {
        self.retain(|source| source.daemon != *daemon)
    }

    /// Removes the reports made before `before_ms`. Returns whether there were any.
    pub fn forget_stale(&mut self, before_ms: u64) -> bool {
        self.retain(|source| source.heard_ms >= before_ms)
    }

    fn retain(&mut self, is_kept: impl Fn(&ReportedDemand) -> bool) -> bool {
        let before = self.sources.len();
        self.sources.retain(is_kept);
        self.waiting = self.sources.iter().map(|s| s.waiting).sum();
        self.in_flight = self.sources.iter().map(|s| s.in_flight).sum();
        self.sources.len() < before
    }

    /// Requests that wait.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Requests that run.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether nothing waits and nothing runs.
    pub fn is_idle(&self) -> bool {
        self.waiting + self.in_flight == 0
    }

    /// Earliest deadline of the waiting requests, as a Unix time.
    pub fn earliest_deadline_ms(&self) -> u64 {
        let waiting = self.sources.iter().filter(|s| s.waiting > 0);
        waiting.map(|s| s.deadline_ms).min().unwrap_or(u64::MAX)
    }

    /// The highest class weight among waiting requests.
    pub fn class_weight(&self) -> u32 {
        let waiting = self.sources.iter().filter(|s| s.waiting > 0);
        waiting.map(|s| s.class_weight).max().unwrap_or(0)
    }

    /// Arrivals a second, weighted towards the latest.
    pub fn rate_per_s(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.rate_ms) as f64;
        self.rate_per_s * (-age_ms / RATE_WINDOW_MS).exp()
    }

    /// Requests a second of holding an idle replica; see [`gaps::GapHistogram::hazard_per_s`]. Where
    /// no arrival is known, one is assumed at `assumed_ms`.
    pub fn hazard_per_s(&self, now_ms: u64, fleet: &gaps::GapHistogram, assumed_ms: u64) -> f32 {
        let last_ms = self.last_arrival_ms.unwrap_or(assumed_ms);
        self.gaps.hazard_per_s(fleet, now_ms.saturating_sub(last_ms))
    }

    /// Time of the last report, with or without requests.
    pub fn idle_since_ms(&self) -> Option<u64> {
        self.last_sign_ms
    }

    /// Number of recent gaps between requests.
    pub fn gaps(&self) -> u32 {
        self.gaps.total()
    }

    /// When the last request arrived.
    pub fn last_arrival_ms(&self) -> Option<u64> {
        self.last_arrival_ms
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(model: &str, waiting: u32, deadline_ms: u64) -> DemandEntry {
        DemandEntry {
            model: model.parse().unwrap(),
            waiting,
            in_flight: 0,
            arrivals: waiting,
            earliest_deadline_ms: Some(deadline_ms),
            class_weight: waiting,
        }
    }

    #[test]
    fn service_time_is_measured_from_running_requests() {
        let daemon = "a".parse().unwrap();
        let mut merged = MergedDemand::default();
        // Two requests arrive each second, and each runs for 4 s: 8 run at any time.
        for second in 0..40 {
            let running = DemandEntry { in_flight: 8, arrivals: 2, ..entry("quill", 0, 0) };
            merged.apply(second * 1_000, &daemon, &running);
        }
        let learned_ms = merged.service_ms(1_000);
        assert!(learned_ms.abs_diff(4_000) < 400, "{learned_ms}");
        assert_eq!(MergedDemand::default().service_ms(1_000), 1_000);
    }

    #[test]
    fn reports_add_up_over_daemons_and_replace_earlier_ones_of_the_same_daemon() {
        let (a, b) = ("a".parse().unwrap(), "b".parse().unwrap());
        let mut merged = MergedDemand::default();
        merged.apply(0, &a, &entry("quill", 2, 900));
        merged.apply(1, &b, &entry("quill", 3, 700));
        merged.apply(2, &b, &entry("quill:tower", 4, 800));
        assert_eq!((merged.waiting(), merged.earliest_deadline_ms()), (9, 700));
        merged.apply(3, &b, &entry("quill", 0, 0));
        assert_eq!((merged.waiting(), merged.class_weight()), (6, 4));
        merged.forget_daemon(&a);
        merged.forget_stale(3);
        assert!(merged.is_idle());
    }
}
