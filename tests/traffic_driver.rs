//! The task that drives time for the traffic of a daemon.

use std::sync::Arc;
use std::time::Duration;

use fescuebay::ids::{ModelRef, ServiceName, TenantId};
use fescuebay::traffic::policy::{EffectivePolicy, Policy, PolicyQuery};
use fescuebay::traffic::state::TrafficState;

struct Nothing;

impl Policy for Nothing {
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

/// Time for a driver that does not wait to look many times.
const WATCHED: Duration = Duration::from_millis(100);

#[test]
fn a_daemon_at_rest_does_not_look_again_and_again() {
    let targets = Arc::new(|_: &_| unreachable!("there are no targets"));
    let shared = TrafficState::builder(Arc::default(), targets, Arc::new(Nothing)).build();
    let driven = Arc::clone(&shared);
    // A thread of its own, which is left behind: a driver that never waits cannot be stopped.
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        runtime.block_on(driven.drive());
    });
    std::thread::sleep(WATCHED);
    assert!(shared.driver_passes() <= 2, "{} looks while nothing happened", shared.driver_passes());
}
