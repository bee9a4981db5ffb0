//! How slow a target is now, as a ratio of observed to expected time.
//!
//! Fast attack, slow decay: one slow answer raises the ratio at once, fast answers and time lower it
//! gradually. After the peak-sensitive moving average of Finagle's "Peak EWMA" load balancer.

/// Share of the distance that one slower sample covers.
const ATTACK: f64 = 0.7;
/// Share of the distance that one faster sample covers.
const RELEASE: f64 = 0.25;
/// Time in which the excess over 1 halves when no sample comes.
const HALF_LIFE_MS: f64 = 1500.0;
/// Largest sample.
const MAX_SAMPLE: f64 = 12.0;
/// Largest step of one sample, so that a single straggler does not condemn a target.
const MAX_STEP: f64 = 4.0;
/// Added to both sides of a ratio, so that noise of the clock and the network counts for little.
const NOISE_MS: f64 = 4.0;

/// The ratio of an observed time to the expected one; 1 is as expected.
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

    /// Takes in the ratio of one answer.
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
    fn rises_at_once_and_falls_slowly() {
        let mut slowness = Slowness::default();
        slowness.observe(1000, 10.0);
        slowness.observe(1000, 10.0);
        assert!(slowness.at(1000) > 6.0);
        slowness.observe(1010, 1.0);
        assert!(slowness.at(1010) > 4.0);
        assert!(slowness.at(15_000) < 1.1);
    }
}
