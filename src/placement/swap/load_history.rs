//! The load of each model over time: requests that run at once, the time that one takes at an
//! engine, and the largest recent load.
//!
//! By Little's law, the requests that run at once are the arrival rate times the time that each
//! occupies an engine. The time is learned while the replicas keep up; requests that queue at an
//! engine count as running there and would make it look longer.

use super::demand::Rates;
use super::model_counts::{ModelCount, SPREAD_OCCUPANCY};
use crate::ids::ModelName;

/// Time constant of the mean of running requests, the same as that of arrival rates.
const RUNNING_DECAY_MS: f64 = 3_000.0;
/// Time constant of the learned time that a request takes.
const REQUEST_TIME_DECAY_MS: f64 = 5_000.0;
/// Time constant after which a former largest load counts for a third.
const PEAK_DECAY_MS: f64 = 60_000.0;
/// Time that a request takes until one was learned.
const DEFAULT_REQUEST_MS: f64 = 1_000.0;
/// Bounds of the time that a request takes: shorter or longer ones are artefacts of late reports.
const REQUEST_MS_BOUNDS: (f64, f64) = (50.0, 60_000.0);
/// Arrival rate and running requests from which the time that a request takes is learned.
const MIN_LEARNED: f64 = 0.5;

/// The load of one model.
#[derive(Clone, Debug)]
struct ModelLoad {
    model: ModelName,
    running: f64,
    /// `None` until learned.
    request_ms: Option<f64>,
    peak: f64,
}

/// The loads of all models.
#[derive(Debug)]
pub(super) struct LoadHistory {
    /// Sorted by model.
    loads: Vec<ModelLoad>,
    /// Time that a request takes, over all models.
    request_ms: f64,
    updated_ms: u64,
}

/// Weights of the newest values since the last update.
#[derive(Clone, Copy)]
pub(super) struct Step {
    running: f64,
    request: f64,
    peak: f64,
}

impl LoadHistory {
    pub(super) fn new(now_ms: u64) -> Self {
        Self { loads: Vec::new(), request_ms: DEFAULT_REQUEST_MS, updated_ms: now_ms }
    }

    /// Begins an update of all models.
    pub(super) fn begin(&mut self, now_ms: u64) -> Step {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = now_ms;
        Step {
            running: 1.0 - (-elapsed_ms / RUNNING_DECAY_MS).exp(),
            request: 1.0 - (-elapsed_ms / REQUEST_TIME_DECAY_MS).exp(),
            peak: (-elapsed_ms / PEAK_DECAY_MS).exp(),
        }
    }

    /// Updates the load of one model, and completes its counts. While the planner is new, replicas
    /// that it found show which models were busy.
    pub(super) fn update(
        &mut self,
        step: Step,
        model: &ModelName,
        count: &mut ModelCount,
        slots: f64,
        is_new: bool,
    ) {
        let at = match self.loads.binary_search_by(|known| known.model.cmp(model)) {
            Ok(at) => at,
            Err(_) if count.running == 0 && count.rates == Rates::default() && !is_new => return,
            Err(at) => {
                let load =
                    ModelLoad { model: model.clone(), running: 0.0, request_ms: None, peak: 0.0 };
                self.loads.insert(at, load);
                at
            }
        };
        let own = &mut self.loads[at];
        own.running += step.running * (f64::from(count.running) - own.running);
        let rate_per_s = count.rates.current_per_s;
        let keeps_up = f64::from(count.running + count.waiting) <= count.capacity;
        if keeps_up && rate_per_s >= MIN_LEARNED && own.running >= MIN_LEARNED {
            let (shortest_ms, longest_ms) = REQUEST_MS_BOUNDS;
            let sample_ms = (own.running * 1_000.0 / rate_per_s).clamp(shortest_ms, longest_ms);
            let known_ms = own.request_ms.unwrap_or(self.request_ms);
            own.request_ms = Some(known_ms + step.request * (sample_ms - known_ms));
            // Busy models determine the mean over all models.
            let share = step.request * (own.running / (own.running + 50.0));
            self.request_ms += share * (sample_ms - self.request_ms);
        }
        let request_ms = own.request_ms.unwrap_or(self.request_ms);
        let load_of = |rate_per_s: f64| rate_per_s * request_ms / 1_000.0;
        own.peak = (own.peak * step.peak).max(load_of(rate_per_s));
        if is_new {
            let others = f64::from(count.replicas.saturating_sub(1));
            own.peak = own.peak.max(others * slots * SPREAD_OCCUPANCY);
        }
        let in_flight = f64::from(count.running + count.waiting);
        count.load = load_of(count.rates.expected_per_s).max(in_flight);
        count.lasting_load = count.load.max(own.running / 2.0);
        if is_new {
            count.lasting_load = count.lasting_load.max(own.peak);
        }
        count.peak_load = own.peak;
        count.mean_load = load_of(count.rates.lasting_per_s);
    }
}
