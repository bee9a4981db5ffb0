//! Whether a request can be answered in time: the expected wait, learned from earlier predictions.

use crate::routing::queue::{Lane, Position};
use crate::routing::target::Target;

/// Weight of the newest error of a prediction.
const SMOOTHING: f64 = 0.1;
/// Bounds of the learned correction.
const MIN_BIAS: f64 = 0.25;
const MAX_BIAS: f64 = 4.0;
/// Predictions below this are too short to learn from.
const MIN_LEARNED_MS: f64 = 5.0;

/// Corrects predictions of the wait by the errors of earlier ones.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    bias: f64,
}

impl Default for Estimate {
    fn default() -> Self {
        Self { bias: 1.0 }
    }
}

impl Estimate {
    /// The corrected prediction for a raw one.
    pub fn corrected_ms(&self, raw_ms: f64) -> f64 {
        raw_ms * self.bias
    }

    /// Takes in what became of a prediction.
    pub fn observe(&mut self, raw_ms: f64, actual_ms: f64) {
        if raw_ms < MIN_LEARNED_MS {
            return;
        }
        let sample = (actual_ms / raw_ms).clamp(MIN_BIAS, MAX_BIAS);
        self.bias += SMOOTHING * (sample - self.bias);
    }
}

/// Calls that the candidates of a lane may run at once.
pub fn slots(targets: &[Target], candidates: &[u32]) -> f64 {
    let sum: u32 = candidates.iter().map(|place| targets[*place as usize].limit.get()).sum();
    f64::from(sum.max(1))
}

/// The raw expected wait of a request with `ahead` others before it.
pub fn wait_ms(ahead: usize, service_ms: f64, slots: f64) -> f64 {
    (ahead as f64 + 1.0) * service_ms / slots
}

/// The requests expected to go before `position` in `lane`, those that come later among them.
pub fn ahead(lane: &Lane, position: &Position) -> usize {
    lane.ahead_of(position)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn learns_from_its_errors() {
        let mut estimate = Estimate::default();
        (0..100).for_each(|_| estimate.observe(100.0, 200.0));
        assert!((estimate.corrected_ms(100.0) - 200.0).abs() < 5.0);
    }
}
