//! The document of routes and services that an operator puts in force as a whole.
//!
//! The voters replicate its text under a version ([`state`]); routers read it ([`index`]). How the
//! text is written is not known here: a [`Decode`] is handed in at the start.

pub mod check;
pub mod index;
pub mod state;

use std::fmt;

use error_stack::Report;

use crate::ids::{ModelName, ServiceName};

/// Reads the text of a document.
pub type Decode = fn(&[u8]) -> Result<Document>;

/// Why a document is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The place in the document, such as `routes[3].timeout`.
    pub place: String,
    /// What is wrong there.
    pub problem: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.problem)
    }
}

impl std::error::Error for Error {}

/// The result of reading a document.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The number of a document: the highest one is in force.
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
    /// Its number.
    pub version: Version,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that routes lead to.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: Limits,
}

impl Document {
    /// The service of this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// The same without the models of engines, which are most of a document: whoever routes requests
    /// learns from the route table what may be asked for.
    pub fn without_models(mut self) -> Self {
        let engines = self.services.iter_mut().filter_map(|service| service.engine.as_mut());
        engines.for_each(|engine| engine.models.clear());
        self
    }
}

/// What may be repeated of the requests of a route, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// Answered by a stream of events.
    Stream {
        /// Whether a broken stream may go on at another target.
        is_resumable: bool,
        /// The longest pause between events that callers accept as timely.
        gap_target_ms: u64,
        /// The silence after which callers leave, also before the first event.
        max_gap_ms: u64,
    },
}

impl Kind {
    /// Whether a request that may have run may be sent to another target.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { is_resumable: true, .. })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// One of the services of a route, with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to those of the others.
    pub weight: u64,
}

/// Where requests of one host and path go, and what is promised for them.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// The time to the answer, or to its first event, that callers hope for.
    pub latency_target_ms: u64,
    /// Its urgency: 0 goes first.
    pub rank: u8,
    /// Its services, at least one.
    pub destinations: Vec<Destination>,
    /// Targets that may run one request at most.
    pub max_attempts: u32,
}

/// A service that targets offer.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one target accepts from all routers together.
    pub max_connections: u32,
    /// What its targets load, if they are model engines.
    pub engine: Option<Engine>,
}

/// The model engines of a service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Engine {
    /// Requests that one target runs at once.
    pub slots: u32,
    /// Tokens that the memory of one target holds.
    pub kv_capacity_tokens: u64,
    /// Memory for weights of one target, in megabytes.
    pub weights_mb: f64,
    /// Adapters that one target holds at most.
    pub adapter_slots: u32,
    /// Loads from the weight store a second, over all targets.
    pub store_loads_per_s: f64,
    /// The models that may be asked for.
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
    /// Time of a load from the weight store.
    pub store_load_ms: u64,
    /// Time of a load from the memory of the target's VM.
    pub memory_load_ms: u64,
    /// Time of a load from the disk of the target's VM.
    pub disk_load_ms: u64,
    /// Size of one adapter, in megabytes.
    pub adapter_mb: f64,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for the head of a request.
    pub head_timeout_ms: u64,
    /// Longest time that a connection stays idle.
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
