//! The driver task of the routing engine's timers.

use std::sync::Arc;
use std::time::Duration;

use fescuebay::ids::{ModelRef, ServiceName, TenantId};
use fescuebay::traffic::policy::{EffectivePolicy, Policy, PolicyQuery};
use fescuebay::traffic::state::TrafficState;

struct EmptyPolicy;

impl Policy for EmptyPolicy {
    fn authenticate(&self, _token: Option<&str>) -> Option<TenantId> {
        None
    }

    fn effective_policy(&self, _query: &PolicyQuery) -> EffectivePolicy {
        EffectivePolicy::with_defaults("default".parse().unwrap())
    }

    fn is_model_configured(&self, _model: &ModelRef) -> bool {
        false
    }

    fn is_service_configured(&self, _service: &ServiceName) -> bool {
        false
    }

    fn models(&self) -> Vec<ModelRef> {
        Vec::new()
    }
}

/// Long enough for a driver that does not sleep to make many passes.
const WATCHED: Duration = Duration::from_millis(100);

#[test]
fn an_idle_daemon_does_not_run_the_driver_in_a_busy_loop() {
    let targets = Arc::new(|_: &_| unreachable!("there are no targets"));
    let shared = TrafficState::builder(Arc::default(), targets, Arc::new(EmptyPolicy)).build();
    let driven = Arc::clone(&shared);
    // A separate thread that is not joined, since a driver that never sleeps cannot be stopped.
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        runtime.block_on(driven.drive());
    });
    std::thread::sleep(WATCHED);
    assert!(
        shared.driver_passes() <= 2,
        "{} driver passes while the daemon was idle",
        shared.driver_passes()
    );
}
