//! Times of the protocol and the rules between them.

use error_stack::{Report, ensure};

/// Largest difference in speed between the clocks of two voters, in percent. Leases are sound
/// only while clocks keep to it; only lengths of time matter, never the time of day.
pub const CLOCK_DRIFT_PERCENT: u64 = 10;

/// Times that cannot work together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The rule that is broken.
    pub rule: &'static str,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "consensus times: {}", self.rule)
    }
}

impl std::error::Error for Error {}

/// Times of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How often the leader sends to each peer at least.
    pub heartbeat_ms: u64,
    /// How long a voter that heard from a leader refuses to help another to power.
    pub election_ms: u64,
    /// An election starts up to this long after `election_ms`, at random, and is tried again
    /// after half to one and a half times as long.
    pub election_jitter_ms: u64,
    /// How long after a broadcast that a majority answered the leader may serve reads alone.
    pub lease_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self { heartbeat_ms: 1050, election_ms: 1800, election_jitter_ms: 400, lease_ms: 1600 }
    }
}

impl Timing {
    /// Checks the rules between the times.
    ///
    /// # Errors
    /// The rule that is broken.
    pub fn check(&self) -> Result<(), Report<Error>> {
        let rule = "the heartbeat must be above zero and at most two thirds of the election time";
        let is_in_time = self.heartbeat_ms * 3 <= self.election_ms * 2;
        ensure!(self.heartbeat_ms > 0 && is_in_time, Error { rule });
        let rule = "the election jitter must be above zero";
        ensure!(self.election_jitter_ms > 0, Error { rule });
        let longest_ms = self.election_ms * (100 - CLOCK_DRIFT_PERCENT) / 100;
        let rule = "the lease must be at most nine tenths of the election time (clock drift)";
        ensure!(self.lease_ms <= longest_ms, Error { rule });
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_that_make_leases_unsound_are_refused() {
        let good = Timing::default();
        assert!(good.check().is_ok());
        let bad = [
            Timing { heartbeat_ms: 0, ..good },
            Timing { heartbeat_ms: good.election_ms, ..good },
            Timing { election_jitter_ms: 0, ..good },
            Timing { lease_ms: good.election_ms * 91 / 100, ..good },
        ];
        for timing in bad {
            assert!(timing.check().is_err(), "{timing:?}");
        }
    }
}
