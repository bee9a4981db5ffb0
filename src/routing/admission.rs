//! Whether a request can be answered in time: the expected wait, learned from earlier predictions.

use crate::routing::queue::{DestinationQueue, QueuePosition};
use crate::routing::target::Target;

/// Weight of the newest error of a prediction.
const SMOOTHING: f64 = 0.1;
/// Bounds of the learned correction.
const MIN_CORRECTION: f64 = 0.25;
const MAX_CORRECTION: f64 = 4.0;
/// Predictions below this are too short to learn from.
const MIN_SAMPLE_MS: f64 = 5.0;

/// Corrects predictions of the wait by the errors of earlier ones.
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
    /// The corrected prediction for a raw one.
    pub fn corrected_ms(&self, uncorrected_ms: f64) -> f64 {
        uncorrected_ms * self.correction
    }

    /// Takes in what became of a prediction.
    pub fn observe(&mut self, uncorrected_ms: f64, actual_ms: f64) {
        if uncorrected_ms < MIN_SAMPLE_MS {
            return;
        }
        let sample = (actual_ms / uncorrected_ms).clamp(MIN_CORRECTION, MAX_CORRECTION);
        self.correction += SMOOTHING * (sample - self.correction);
    }
}

/// Calls that the candidates of a queue may run at once.
pub fn concurrency(targets: &[Target], candidates: &[u32]) -> f64 {
    let sum: u32 = candidates.iter().map(|place| targets[*place as usize].limit.get()).sum();
    f64::from(sum.max(1))
}

/// The raw expected wait of a request with `ahead` others before it.
pub fn wait_ms(ahead: usize, service_ms: f64, slots: f64) -> f64 {
    (ahead as f64 + 1.0) * service_ms / slots
}

/// The requests expected to go before `position` in `queue`, those that come later among them.
pub fn count_ahead(queue: &DestinationQueue, position: &QueuePosition) -> usize {
    queue.count_before(position)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn learns_from_its_errors() {
        let mut estimate = WaitEstimate::default();
        (0..100).for_each(|_| estimate.observe(100.0, 200.0));
        assert!((estimate.corrected_ms(100.0) - 200.0).abs() < 5.0);
    }
}
