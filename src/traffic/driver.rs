//! The task that drives the timers of the routing engine.

use std::sync::atomic::Ordering;

use crate::ids::ModelRef;
use crate::traffic::state::TrafficState;

/// Time between two checks of the route table while requests are in flight.
const TABLE_CHECK_INTERVAL_MS: u64 = 250;

impl TrafficState {
    /// Wakes the driver if its next pass is more than `within_ms` away.
    pub(super) fn wake_within(&self, within_ms: u64) {
        if self.next_wake_ms.load(Ordering::Relaxed) > self.now_ms() + within_ms {
            self.wake.notify_one();
        }
    }

    /// Runs the timers of the engine until the future is dropped.
    pub async fn drive(&self) {
        loop {
            // A running driver needs no wake-up.
            self.next_wake_ms.store(0, Ordering::Relaxed);
            let ready_at = |model: &ModelRef| self.placement.replica_ready_at_ms(model);
            let next_ms = self.apply_event_without_wake(|engine, cx| {
                engine.tick(cx, ready_at);
                let table_check_ms =
                    (engine.requests() > 0).then_some(cx.now_ms + TABLE_CHECK_INTERVAL_MS);
                let tick_ms = engine.next_tick_ms(cx.now_ms);
                let next_ms = [table_check_ms, tick_ms].into_iter().flatten().min();
                // Stored under the lock, so that a later event reads it and wakes the driver.
                self.next_wake_ms.store(next_ms.unwrap_or(u64::MAX), Ordering::Relaxed);
                next_ms
            });
            self.driver_passes.fetch_add(1, Ordering::Relaxed);
            let sleep = async {
                match next_ms {
                    Some(at_ms) => tokio::time::sleep_until(self.clock.instant_at(at_ms)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = sleep => {}
                () = self.wake.notified() => {}
            }
        }
    }
}
