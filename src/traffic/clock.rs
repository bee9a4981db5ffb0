//! A Unix clock that never goes backwards.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::{Duration, Instant};

/// The Unix time at the start plus the elapsed monotonic time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_ms: u64,
}

impl Clock {
    /// A clock that starts at the system time.
    pub fn system() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self::starting_at(since_epoch.as_millis() as u64)
    }

    /// A clock that starts at `started_ms`.
    pub fn starting_at(started_ms: u64) -> Self {
        Self { started: Instant::now(), started_ms }
    }

    /// The current Unix time.
    pub fn now_ms(&self) -> u64 {
        self.started_ms + self.started.elapsed().as_millis() as u64
    }

    /// The instant at which [`Clock::now_ms`] reaches `at_ms`.
    pub fn instant_at(&self, at_ms: u64) -> Instant {
        self.started + Duration::from_millis(at_ms.saturating_sub(self.started_ms))
    }
}
