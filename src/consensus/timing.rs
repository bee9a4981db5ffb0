//! Timeouts and intervals of the Raft protocol, and the constraints between them.

use error_stack::{Report, ensure};

/// Maximum difference in rate between the clocks of two voters, in percent. Leases are safe only
/// within this bound. Only durations are compared, never the time of day.
pub const CLOCK_DRIFT_PERCENT: u64 = 10;

/// Timeouts that violate a constraint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The violated constraint.
    pub rule: &'static str,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "consensus times: {}", self.rule)
    }
}

impl std::error::Error for Error {}

/// Timeouts and intervals of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Maximum interval between messages from the leader to each peer.
    pub heartbeat_ms: u64,
    /// Election timeout: how long after a message from the leader a voter refuses to vote for
    /// another candidate.
    pub election_ms: u64,
    /// Maximum random delay after `election_ms` before an election starts. A failed election is
    /// retried after half to one and a half times this value.
    pub election_jitter_ms: u64,
    /// How long the leader may serve reads without a quorum round, counted from the sending of a
    /// message that a majority replied to.
    pub lease_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self { heartbeat_ms: 1050, election_ms: 1800, election_jitter_ms: 400, lease_ms: 1600 }
    }
}

impl Timing {
    /// Checks the constraints between the timeouts.
    ///
    /// # Errors
    /// The first violated constraint.
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
    fn timeouts_that_make_leases_unsafe_are_rejected() {
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
