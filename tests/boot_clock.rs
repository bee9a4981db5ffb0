//! A clock that goes on while the VM is suspended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fescuebay::clock::BootClock;

static SUSPENDED_MS: AtomicU64 = AtomicU64::new(40);

/// The monotonic clock stands still while a VM is suspended; what has run out meanwhile must show it.
#[tokio::test(start_paused = true)]
async fn the_time_of_a_suspension_counts() {
    let clock = BootClock::with(|| SUSPENDED_MS.load(Ordering::Relaxed));
    assert_eq!(clock.now_ms(), 0, "what was before the start does not count");
    tokio::time::advance(Duration::from_millis(100)).await;
    assert_eq!(clock.now_ms(), 100);
    SUSPENDED_MS.store(3_040, Ordering::Relaxed);
    assert_eq!(clock.now_ms(), 3_100);
}
