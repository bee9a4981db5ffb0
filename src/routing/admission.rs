//! Prediction of queue waits, corrected by the errors of earlier predictions, for early refusal.

use crate::routing::queue::{DestinationQueue, QueuePosition};
use crate::routing::target::Target;

/// Weight of the newest prediction error.
const SMOOTHING: f64 = 0.1;
/// Bounds of the learned correction.
const MIN_CORRECTION: f64 = 0.25;
const MAX_CORRECTION: f64 = 4.0;
/// Predictions below this are too short to learn from.
const MIN_SAMPLE_MS: f64 = 5.0;

/// A factor that corrects wait predictions, learned from the errors of earlier ones.
#[derive(Clone, Copy, Debug)]
pub struct WaitEstimate {
    correction: f64,
}

impl Default for WaitEstimate {
    fn default() -> Self {
        Self { correction: 1.0 }
    }
}

impl WaitEstimate {
    /// The corrected prediction for an uncorrected one.
    pub fn corrected_ms(&self, uncorrected_ms: f64) -> f64 {
        uncorrected_ms * self.correction
    }

    /// Updates the correction from a prediction and the actual wait.
    pub fn observe(&mut self, uncorrected_ms: f64, actual_ms: f64) {
        if uncorrected_ms < MIN_SAMPLE_MS {
            return;
        }
        let sample = (actual_ms / uncorrected_ms).clamp(MIN_CORRECTION, MAX_CORRECTION);
        self.correction += SMOOTHING * (sample - self.correction);
    }
}

/// The sum of the concurrency limits of the candidates of a queue, at least 1.
pub fn concurrency(targets: &[Target], candidates: &[u32]) -> f64 {
    let sum: u32 = candidates.iter().map(|place| targets[*place as usize].limit.get()).sum();
    f64::from(sum.max(1))
}

/// The uncorrected wait of a request with `ahead` others before it.
pub fn wait_ms(ahead: usize, service_ms: f64, slots: f64) -> f64 {
    (ahead as f64 + 1.0) * service_ms / slots
}

/// The number of requests that are queued before `position` in `queue`. Later arrivals that
/// overtake it are not counted, except through the learned correction.
pub fn count_ahead(queue: &DestinationQueue, position: &QueuePosition) -> usize {
    queue.count_before(position)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn estimate_learns_from_prediction_errors() {
        let mut estimate = WaitEstimate::default();
        (0..100).for_each(|_| estimate.observe(100.0, 200.0));
        assert!((estimate.corrected_ms(100.0) - 200.0).abs() < 5.0);
    }
}
