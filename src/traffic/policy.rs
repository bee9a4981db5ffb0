//! The interfaces to the configuration and to placement.

use crate::ids::{ClassName, ModelRef, ServiceName, TenantId};
use crate::routing::demand::ModelDemand;

/// The purpose of a request, which decides on the settings that apply to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestPurpose {
    /// Inference by a model.
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

/// A query for the settings that apply to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyQuery {
    /// The calling tenant.
    pub tenant: TenantId,
    /// The class that the caller stated.
    pub class: Option<ClassName>,
    /// The purpose of the request.
    pub purpose: RequestPurpose,
}

/// The settings that apply to one request.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectivePolicy {
    /// The class of the request.
    pub class: ClassName,
    /// The rank of the class; 0 is the highest priority.
    pub rank: u8,
    /// The weight of the tenant among the tenants of one rank.
    pub weight: f64,
    /// Time within which the request must be answered.
    pub deadline_ms: u64,
    /// Most requests of this tenant and class that may wait.
    pub max_waiting: u32,
    /// Most requests of this tenant and class that may be at targets.
    pub max_in_flight: u32,
    /// Whether the response must not be lost; it is then recorded under the idempotency key.
    pub is_important: bool,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether a request that is not idempotent needs an idempotency key.
    pub is_key_required: bool,
    /// Largest body that is accepted.
    pub max_body_bytes: usize,
}

impl EffectivePolicy {
    /// Defaults for a class: idempotent, a deadline of 30 s, limits that a small fleet does not
    /// reach.
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
    /// Returns the tenant of a bearer token, or of callers without a token. `None` if there is no
    /// such tenant.
    fn authenticate(&self, token: Option<&str>) -> Option<TenantId>;

    /// Returns the settings that apply to a request.
    fn effective_policy(&self, query: &PolicyQuery) -> EffectivePolicy;

    /// Whether this model is configured.
    fn is_model_configured(&self, model: &ModelRef) -> bool;

    /// Whether this service is configured. A service that a target offers need not be.
    fn is_service_configured(&self, service: &ServiceName) -> bool;

    /// All models that are configured.
    fn models(&self) -> Vec<ModelRef>;

    /// Whether the revision in force was confirmed recently. Requests that are not idempotent are
    /// refused while it is not.
    fn is_confirmed(&self) -> bool {
        true
    }
}

/// The interface to replica placement.
pub trait Placement: Send + Sync {
    /// Reports demand for a model. Must not block.
    fn report_demand(&self, demand: ModelDemand);

    /// When the first replica of a model without replicas is expected, as Unix time. Must not
    /// block.
    fn replica_ready_at_ms(&self, model: &ModelRef) -> Option<u64>;
}

/// A placement that never loads a replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct FixedPlacement;

impl Placement for FixedPlacement {
    fn report_demand(&self, _demand: ModelDemand) {}

    fn replica_ready_at_ms(&self, _model: &ModelRef) -> Option<u64> {
        None
    }
}
