//! Durable jobs over HTTP: submitting, waiting, fetching, cancelling, and running their work.

mod executor;
mod prepare;
mod submit;
mod view;

use std::fmt;
use std::sync::{Arc, OnceLock, Weak};

use axum::Router;
use axum::routing::{get, post};

use crate::control::port;
use crate::routing::refusal::{Refusal, RefusalCode, RunStatus};
use crate::routing::retry;
use crate::traffic::state::TrafficState;

pub use executor::Executor;

/// Retry delay given to callers while the control group is unreachable.
const UNAVAILABLE_RETRY_MS: u64 = 2_000;

/// HTTP access to the jobs of the control group.
pub struct Jobs {
    log: Arc<dyn port::Log>,
    shared: OnceLock<Weak<TrafficState>>,
}

impl fmt::Debug for Jobs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Jobs").finish_non_exhaustive()
    }
}

impl Jobs {
    /// Jobs over `log`. Until [`Jobs::attach`] is called, every call is refused.
    pub fn new(log: Arc<dyn port::Log>) -> Arc<Self> {
        Arc::new(Self { log, shared: OnceLock::new() })
    }

    /// Sets the traffic state that the routes use; only the first call has an effect.
    pub fn attach(&self, shared: &Arc<TrafficState>) {
        self.shared.get_or_init(|| Arc::downgrade(shared));
    }

    /// The routes, to be merged into the caller-facing router.
    pub fn routes(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/v1/jobs", post(submit::submit))
            .route("/v1/jobs/{id}", get(view::job).delete(view::cancel))
            .route("/v1/jobs/{id}/answer", get(view::answer))
            .with_state(Arc::clone(self))
    }

    fn shared(&self) -> Result<Arc<TrafficState>, Refusal> {
        self.shared.get().and_then(Weak::upgrade).ok_or_else(|| unavailable(RunStatus::No))
    }
}

/// The refusal while the control group is unreachable.
fn unavailable(ran: RunStatus) -> Refusal {
    retry::build_refusal(RefusalCode::NoRecords, ran, UNAVAILABLE_RETRY_MS)
}
