//! Time stamps for entries of the log.

/// Share of elapsed time by which stamps may run faster to follow a wall clock that is ahead.
const SLEW_DIVISOR: u64 = 10;

/// Stamps the entries of one leadership.
///
/// Stamps never fall. Within a leadership they follow the monotonic clock, so that a step of the
/// wall clock ends no lease and no retention; a wall clock that is ahead is followed slowly.
#[derive(Clone, Debug)]
pub struct Stamper {
    stamp_ms: u64,
    monotonic_ms: u64,
    slewed: u64,
}

impl Stamper {
    /// Starts a leadership at the time that the state has reached and this wall clock's time.
    pub fn new(state_ms: u64, wall_ms: u64, monotonic_ms: u64) -> Self {
        Self { stamp_ms: state_ms.max(wall_ms), monotonic_ms, slewed: 0 }
    }

    /// The stamp of an entry proposed now.
    pub fn stamp(&mut self, wall_ms: u64, monotonic_ms: u64) -> u64 {
        let elapsed_ms = monotonic_ms.saturating_sub(self.monotonic_ms);
        self.monotonic_ms = self.monotonic_ms.max(monotonic_ms);
        self.stamp_ms += elapsed_ms;
        self.slew(wall_ms, elapsed_ms);
        self.stamp_ms
    }

    fn slew(&mut self, wall_ms: u64, elapsed_ms: u64) {
        self.slewed += elapsed_ms;
        let allowed_ms = self.slewed / SLEW_DIVISOR;
        self.slewed %= SLEW_DIVISOR;
        self.stamp_ms += wall_ms.saturating_sub(self.stamp_ms).min(allowed_ms);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn steps_of_the_wall_clock_are_absorbed() {
        // (wall clock, monotonic clock, expected stamp)
        let cases = [
            (1_000, 0, 1_000),
            (1_100, 100, 1_100),
            (50, 200, 1_200),           // a step back
            (90_000_000, 300, 1_310),   // a step ahead of a day
            (90_001_000, 1_300, 2_410), // followed by a tenth of the time that passes
            (90_001_000, 1_200, 2_410), // a monotonic reading taken out of order
        ];
        let mut stamper = Stamper::new(900, 1_000, 0);
        for (wall_ms, monotonic_ms, expected) in cases {
            assert_eq!(stamper.stamp(wall_ms, monotonic_ms), expected, "at {monotonic_ms}");
        }
        assert_eq!(Stamper::new(5_000, 1_000, 0).stamp(1_000, 0), 5_000);
    }
}
