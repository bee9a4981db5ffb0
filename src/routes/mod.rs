//! The document of routes and services, which an operator replaces as a whole.
//!
//! The voters replicate its text with a version ([`state`]); routers look up routes in it
//! ([`index`]), and operators have one reviewed before they send it ([`review`]). This module does not depend on the format of the text: a [`Decode`] function is
//! passed in at startup.

pub mod access;
pub mod check;
pub mod index;
pub mod review;
pub mod state;

use std::fmt;

use error_stack::Report;

use crate::ids::{ModelName, ServiceName};
use crate::trailing;

/// Decodes the text of a document.
pub type Decode = fn(&[u8]) -> Result<Document>;

/// The reason why a document is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The place in the document, such as `routes[3].timeout`.
    pub place: String,
    /// The problem at that place.
    pub problem: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.problem)
    }
}

impl std::error::Error for Error {}

/// The result of decoding or checking a document.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The version of a document. The document with the highest version is in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl std::str::FromStr for Version {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// All routes and services.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Document {
    /// The version of the document.
    pub version: Version,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes refer to.
    pub services: Vec<Service>,
    /// Limits for requests of callers.
    pub limits: Limits,
    /// Who may send requests. Older builds do not tell it.
    #[serde(deserialize_with = "trailing::or_default")]
    pub access: access::Access,
}

impl Document {
    /// The service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// The document without the models of engines, which are most of its size. Routers do not need
    /// them: the route table states which models may be requested.
    pub fn without_models(mut self) -> Self {
        let engines = self.services.iter_mut().filter_map(|service| service.engine.as_mut());
        engines.for_each(|engine| engine.models.clear());
        self
    }
}

/// Whether the requests of a route may be repeated, and whether the response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// Whether an interrupted stream may be resumed at another target.
        is_resumable: bool,
        /// The target for the longest pause between two events.
        gap_target_ms: u64,
        /// The silence after which callers disconnect, also before the first event.
        max_gap_ms: u64,
    },
}

impl Kind {
    /// Whether a request that may have run may be sent to another target.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { is_resumable: true, .. })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }

    /// Whether the response is a stream that another target can continue after a given event.
    pub fn is_resumable(self) -> bool {
        matches!(self, Kind::Stream { is_resumable: true, .. })
    }
}

/// One of the services of a route, with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Destination {
    /// The name of the service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the weights of the other destinations.
    pub weight: u64,
}

/// The destinations of requests for one host and path prefix, with their timeout, latency target
/// and retry rules.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: String,
    /// The host of the request, in lower case.
    pub host: String,
    /// The prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// Whether requests may be repeated and responses are streams.
    pub kind: Kind,
    /// The longest time that a caller waits for the response.
    pub timeout_ms: u64,
    /// The latency target for the response, or for the first event of a stream.
    pub latency_target_ms: u64,
    /// The priority of its requests: 0 is served first.
    pub rank: u8,
    /// The services of the route, at least one.
    pub destinations: Vec<Destination>,
    /// Maximum number of targets that may run one request.
    pub max_attempts: u32,
}

/// A service that targets offer.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The path at which its targets tell of their health.
    pub health_path: String,
    /// Connections that one target accepts from all routers together.
    pub max_connections: u32,
    /// The properties of its targets, if they are model engines.
    pub engine: Option<Engine>,
}

/// The model engines of a service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Engine {
    /// Number of requests that one target runs concurrently.
    pub slots: u32,
    /// Number of tokens that fit into the KV cache of one target.
    pub kv_capacity_tokens: u64,
    /// Memory of one target for the weights of models and adapters, in megabytes.
    pub weights_mb: f64,
    /// Maximum number of adapters on one target.
    pub adapter_slots: u32,
    /// Rate limit of loads from the weight store, over all targets.
    pub store_loads_per_s: f64,
    /// The models that may be requested.
    pub models: Vec<Model>,
}

/// A model that targets may load.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Model {
    /// Its name.
    pub name: ModelName,
    /// Size of its weights, in megabytes.
    pub weights_mb: f64,
    /// Duration of a load from the weight store.
    pub store_load_ms: u64,
    /// Duration of a load from the memory of the target's VM.
    pub memory_load_ms: u64,
    /// Duration of a load from the disk of the target's VM.
    pub disk_load_ms: u64,
    /// Size of one adapter, in megabytes.
    pub adapter_mb: f64,
}

/// Limits for requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Maximum size of the head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of the body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving the head of a request.
    pub head_timeout_ms: u64,
    /// Timeout after which an idle connection is closed.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
