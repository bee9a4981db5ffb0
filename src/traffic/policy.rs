//! What traffic asks of the configuration and of placement.

use crate::ids::{ClassName, ModelRef, ServiceName, TenantId};
use crate::routing::demand::ModelDemand;

/// What a request is for, as far as the configuration tells requests apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestPurpose {
    /// InferenceRequest by a model.
    Model(ModelRef),
    /// A call of a plain service.
    Service {
        /// The service.
        service: ServiceName,
        /// The HTTP method.
        method: http::Method,
        /// The path at the service, without the query.
        path: String,
    },
}

/// What the configuration is asked about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyQuery {
    /// Who asks.
    pub tenant: TenantId,
    /// The class that the caller stated.
    pub class: Option<ClassName>,
    /// What for.
    pub purpose: RequestPurpose,
}

/// What the configuration says of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectivePolicy {
    /// The class that the request counts as.
    pub class: ClassName,
    /// The rank of the class: 0 goes first.
    pub rank: u8,
    /// The weight of the tenant among those of one rank.
    pub weight: f64,
    /// Time within which the request must be answered.
    pub deadline_ms: u64,
    /// Most requests of this tenant and class that may wait.
    pub max_waiting: u32,
    /// Most requests of this tenant and class that may be at targets.
    pub max_in_flight: u32,
    /// Whether the answer must not be lost.
    pub is_important: bool,
    /// Whether the request may run twice.
    pub is_idempotent: bool,
    /// Whether a request that may not run twice needs an idempotency key.
    pub is_key_required: bool,
    /// Largest body that is accepted.
    pub max_body_bytes: usize,
}

impl EffectivePolicy {
    /// Plain values for a class: idempotent, 30 s, no limit that a small fleet would meet.
    pub fn with_defaults(class: ClassName) -> Self {
        Self {
            class,
            rank: 3,
            weight: 1.0,
            deadline_ms: 30_000,
            max_waiting: 1000,
            max_in_flight: 1000,
            is_important: false,
            is_idempotent: true,
            is_key_required: false,
            max_body_bytes: 1 << 20,
        }
    }
}

/// The configuration in force.
pub trait Policy: Send + Sync {
    /// The tenant of a bearer token, or of a caller without one. `None` if there is none.
    fn authenticate(&self, token: Option<&str>) -> Option<TenantId>;

    /// What holds for a request.
    fn effective_policy(&self, query: &PolicyQuery) -> EffectivePolicy;

    /// Whether this model is configured.
    fn is_model_configured(&self, model: &ModelRef) -> bool;

    /// Whether this service is configured. A service that a target offers needs not be.
    fn is_service_configured(&self, service: &ServiceName) -> bool;

    /// All models that are configured.
    fn models(&self) -> Vec<ModelRef>;

    /// Whether the revision in force was confirmed recently. While it is not, work that may not run
    /// twice is refused.
    fn is_confirmed(&self) -> bool {
        true
    }
}

/// Placement, as traffic knows it.
pub trait Placement: Send + Sync {
    /// Takes in demand for a model. Must not block.
    fn report_demand(&self, demand: ModelDemand);

    /// When a replica of a model that none holds is expected, as Unix time. Must not block.
    fn replica_ready_at_ms(&self, model: &ModelRef) -> Option<u64>;
}

/// A placement that loads nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct FixedPlacement;

impl Placement for FixedPlacement {
    fn report_demand(&self, _demand: ModelDemand) {}

    fn replica_ready_at_ms(&self, _model: &ModelRef) -> Option<u64> {
        None
    }
}
