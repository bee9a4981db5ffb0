//! Demand reports to placement for each model: immediately on the first request, then at most once
//! a second.

use crate::ids::ModelRef;

/// Shortest interval between two reports of one model.
pub const REPORT_PERIOD_MS: u64 = 1000;
/// Most models with recent demand.
const MAX_MODELS: usize = 65_536;

/// The demand for one model at this router.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelRef,
    /// Requests that wait for the model at this router.
    pub waiting: u32,
    /// Requests for the model that this router has in flight.
    pub in_flight: u32,
    /// The earliest deadline among the waiting requests, as Unix time.
    pub earliest_deadline_ms: Option<u64>,
    /// The sum of the class weights of the waiting requests.
    pub class_weight: f64,
    /// Requests that arrived since the last report.
    pub arrived: u32,
}

#[derive(Clone, Debug)]
struct ModelArrivals {
    model: ModelRef,
    arrived: u32,
    reported_ms: u64,
}

/// Arrival counts and report times of models with recent demand, sorted by model.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    recent: Vec<ModelArrivals>,
}

impl DemandTracker {
    /// Counts an arrival. Returns whether the model should be reported immediately.
    pub fn record_arrival(&mut self, now_ms: u64, model: &ModelRef) -> bool {
        match self.recent.binary_search_by(|recent| recent.model.cmp(model)) {
            Ok(at) => {
                self.recent[at].arrived += 1;
                now_ms.saturating_sub(self.recent[at].reported_ms) >= REPORT_PERIOD_MS
            }
            Err(_) if self.recent.len() >= MAX_MODELS => true,
            Err(at) => {
                let recent = ModelArrivals { model: model.clone(), arrived: 1, reported_ms: 0 };
                self.recent.insert(at, recent);
                true
            }
        }
    }

    /// Marks a model as reported and returns the arrivals since the last report.
    pub fn mark_reported(&mut self, now_ms: u64, model: &ModelRef) -> u32 {
        match self.recent.binary_search_by(|recent| recent.model.cmp(model)) {
            Ok(at) => {
                self.recent[at].reported_ms = now_ms;
                std::mem::take(&mut self.recent[at].arrived)
            }
            Err(_) if self.recent.len() >= MAX_MODELS => 0,
            Err(at) => {
                let recent =
                    ModelArrivals { model: model.clone(), arrived: 0, reported_ms: now_ms };
                self.recent.insert(at, recent);
                0
            }
        }
    }

    /// Whether a report of this model may be sent now.
    pub fn is_due(&self, now_ms: u64, model: &ModelRef) -> bool {
        match self.recent.binary_search_by(|recent| recent.model.cmp(model)) {
            Ok(at) => now_ms.saturating_sub(self.recent[at].reported_ms) >= REPORT_PERIOD_MS,
            Err(_) => self.recent.len() < MAX_MODELS,
        }
    }

    /// The models with new arrivals whose report is due.
    pub fn due_models(&self, now_ms: u64) -> Vec<ModelRef> {
        let is_due = |recent: &&ModelArrivals| {
            recent.arrived > 0 && now_ms.saturating_sub(recent.reported_ms) >= REPORT_PERIOD_MS
        };
        self.recent.iter().filter(is_due).map(|recent| recent.model.clone()).collect()
    }

    /// When the next report may be due; `None` if there is nothing to report.
    pub fn next_due_ms(&self) -> Option<u64> {
        let pending = self.recent.iter().filter(|recent| recent.arrived > 0);
        pending.map(|recent| recent.reported_ms + REPORT_PERIOD_MS).min()
    }

    /// Removes models without new arrivals that were last reported ten periods ago or longer.
    pub fn prune(&mut self, now_ms: u64) {
        self.recent.retain(|recent| {
            recent.arrived > 0 || now_ms.saturating_sub(recent.reported_ms) < 10 * REPORT_PERIOD_MS
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn first_request_is_reported_immediately_and_then_once_a_second() {
        let mut tracker = DemandTracker::default();
        let model: ModelRef = "quill".parse().unwrap();
        assert!(tracker.record_arrival(5000, &model));
        assert_eq!(tracker.mark_reported(5000, &model), 1);
        assert!(!tracker.record_arrival(5100, &model));
        assert!(tracker.due_models(5900).is_empty());
        assert_eq!(tracker.next_due_ms(), Some(6000));
        assert_eq!(tracker.due_models(6000), [model]);
    }
}
