//! Time that goes on while the VM is suspended.
//!
//! The monotonic clock stands still while a VM is suspended, so a lease that is measured by it looks
//! fresh when the VM wakes. [`BootClock`] adds the time that the VM was suspended for.

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

const MS_PER_S: i64 = 1_000;
const NS_PER_MS: i64 = 1_000_000;

/// Reads for how long the VM has been suspended since it was booted, in milliseconds.
pub type Suspended = fn() -> u64;

/// A clock that counts milliseconds from its start, suspensions included.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    started: Instant,
    suspended: Suspended,
    suspended_at_start_ms: u64,
}

impl BootClock {
    /// A clock of the system that starts now.
    pub fn system() -> Self {
        Self::with(suspended_ms)
    }

    /// A clock that reads suspensions from `suspended`.
    pub fn with(suspended: Suspended) -> Self {
        Self { started: Instant::now(), suspended, suspended_at_start_ms: suspended() }
    }

    /// Milliseconds since the start of the clock.
    pub fn now_ms(&self) -> u64 {
        let ran_ms = self.started.elapsed().as_millis() as u64;
        ran_ms + (self.suspended)().saturating_sub(self.suspended_at_start_ms)
    }
}

/// The time that the VM was suspended for, in milliseconds.
fn suspended_ms() -> u64 {
    let since_boot_ms = read_ms(ClockId::Boottime);
    let running_ms = read_ms(ClockId::Monotonic);
    // The two clocks are read one after the other, so a difference of a millisecond is noise.
    let suspended_ms = since_boot_ms.saturating_sub(running_ms);
    if suspended_ms <= 1 { 0 } else { suspended_ms as u64 }
}

fn read_ms(clock: ClockId) -> i64 {
    let time = clock_gettime(clock);
    time.tv_sec * MS_PER_S + time.tv_nsec / NS_PER_MS
}
