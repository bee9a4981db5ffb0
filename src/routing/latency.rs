//! Slowness of a target: a moving ratio of observed to expected response time.
//!
//! The ratio rises fast and decays slowly: one slow response raises it immediately, fast responses
//! and time lower it gradually. After the peak-sensitive moving average of Finagle's "Peak EWMA"
//! load balancer.

/// Weight of a sample above the current ratio.
const ATTACK: f64 = 0.7;
/// Weight of a sample below the current ratio.
const RELEASE: f64 = 0.25;
/// Half-life of the excess over 1 without samples.
const HALF_LIFE_MS: f64 = 1500.0;
/// Upper bound of a sample.
const MAX_SAMPLE: f64 = 12.0;
/// Upper bound of a sample as a multiple of the current ratio, so that a single straggler does not
/// rule a target out.
const MAX_STEP: f64 = 4.0;
/// Added to both times of a ratio, so that clock and network noise have little effect.
const NOISE_MS: f64 = 4.0;

/// The ratio of an observed to an expected time; 1 is as expected.
pub fn ratio(observed_ms: u64, expected_ms: f64) -> f64 {
    ((observed_ms as f64 + NOISE_MS) / (expected_ms + NOISE_MS)).min(MAX_SAMPLE)
}

/// The moving ratio of one target.
#[derive(Clone, Copy, Debug)]
pub struct Slowness {
    value: f64,
    updated_ms: u64,
}

impl Default for Slowness {
    fn default() -> Self {
        Self { value: 1.0, updated_ms: 0 }
    }
}

impl Slowness {
    /// The ratio at `now_ms`.
    pub fn at(&self, now_ms: u64) -> f64 {
        if self.value <= 1.0 {
            return self.value;
        }
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        1.0 + (self.value - 1.0) * (-age_ms / HALF_LIFE_MS).exp2()
    }

    /// Updates the moving ratio with the ratio of one response.
    pub fn observe(&mut self, now_ms: u64, sample: f64) {
        let value = self.at(now_ms);
        let share = if sample > value { ATTACK } else { RELEASE };
        let sample = sample.min(MAX_SAMPLE).min(MAX_STEP * value);
        self.value = value + share * (sample - value);
        self.updated_ms = now_ms;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn slowness_rises_immediately_and_decays_slowly() {
        let mut slowness = Slowness::default();
        slowness.observe(1000, 10.0);
        slowness.observe(1000, 10.0);
        assert!(slowness.at(1000) > 6.0);
        slowness.observe(1010, 1.0);
        assert!(slowness.at(1010) > 4.0);
        assert!(slowness.at(15_000) < 1.1);
    }
}
