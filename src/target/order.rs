//! Orders to a target, its replies, and the state that it reports.

use std::fmt;

use error_stack::Report;

use crate::ids::{
    Incarnation, ModelRef, OrderId, ServiceName, SoftwareVersion, TargetId, Term, Version, Zone,
};
use crate::units::Bytes;

/// Fencing number of an order. A target that checks fencing refuses an order whose number is lower
/// than the highest that the target has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Fencing {
    /// The term of the leader that issued the order.
    pub term: Term,
    /// Increases with each order of that leader.
    pub sequence: u64,
}

impl fmt::Display for Fencing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.sequence)
    }
}

/// The action that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load the weights; the target reports `Loading` and then `Loaded`.
    Load,
    /// Finish the calls that run on the replica, then free its memory.
    Unload,
    /// Abort an unfinished load and free its memory.
    CancelLoad,
}

/// One order to one target.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// Lets the target refuse orders of an earlier leader.
    pub fencing: Fencing,
    /// Idempotency key: unchanged when the order is sent again, and a target acts on it once.
    pub order_id: OrderId,
    /// The action to perform.
    pub action: Action,
    /// The model or adapter that the action applies to.
    pub model: ModelRef,
    /// The version of its weights.
    pub version: Version,
    /// Memory of the replica.
    pub memory_bytes: Bytes,
    /// Unix time after which a target refuses the order.
    pub expires_ms: u64,
}

/// A target's reply to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Accepted; completion is visible in the target's state. Also the reply to a repeated order.
    Accepted,
    /// Refused: the target has seen a higher fencing number. Nothing was done.
    StaleFencing,
    /// Refused: the order arrived after it expired. Nothing was done.
    Expired,
    /// Refused: there is not enough free memory. Nothing was done.
    NoMemory,
    /// Refused: the target does not know the model or the replica.
    Unknown,
}

/// Lifecycle phase of a replica on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Weights are being loaded; the memory is in use.
    Loading,
    /// Ready for calls.
    Loaded,
    /// Finishing its calls; the memory is still in use.
    Unloading,
}

/// A replica on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Held {
    /// The model or adapter.
    pub model: ModelRef,
    /// The version of its weights.
    pub version: Version,
    /// Its lifecycle phase.
    pub phase: Phase,
    /// Memory of the replica.
    pub memory_bytes: Bytes,
}

/// Storage tier of a cached copy of weights that are not loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// In the VM's memory.
    Memory,
    /// On the VM's disk.
    Disk,
}

/// A copy of weights in the cache of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Cached {
    /// The model or adapter.
    pub model: ModelRef,
    /// The version of its weights.
    pub version: Version,
    /// The storage tier of the copy.
    pub tier: Tier,
}

/// Load as reported by a target, which lags behind the actual load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Running calls.
    pub running: u32,
    /// Calls queued inside the target.
    pub waiting: u32,
    /// Maximum number of concurrent calls.
    pub slots: u32,
}

/// Kind of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An assistant runner: model engines on accelerators.
    Assistant,
    /// An application runner: plain services.
    Application,
}

/// State that a target reports in its announcements and in response to state queries.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    /// The target's id; also part of the path to which the target sends its announcements.
    pub target: TargetId,
    /// Incarnation of the target's process. Memory of an earlier incarnation is free.
    pub incarnation: Incarnation,
    /// Increases with each announcement of one incarnation, which lets a receiver detect late
    /// announcements.
    pub sequence: u64,
    /// The version of the target's software, if it names one. A stream can be continued only by a target
    /// of the version that began it.
    #[serde(default)]
    pub software: Option<SoftwareVersion>,
    /// The kind of target.
    pub kind: Kind,
    /// The availability zone that the target runs in.
    pub availability_zone: Zone,
    /// The IP address and port for calls to the target.
    pub address: std::net::SocketAddr,
    /// Total accelerator memory.
    #[serde(default)]
    pub memory_bytes: Bytes,
    /// Number of accelerators that share that memory.
    #[serde(default)]
    pub accelerators: u32,
    /// Replicas that use memory, in any phase.
    #[serde(default)]
    pub holds: Vec<Held>,
    /// Cached copies of weights that the target can load from.
    #[serde(default)]
    pub cached: Vec<Cached>,
    /// Plain services that the target offers.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Whether the target refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Reported load, which lags behind the actual load.
    #[serde(default)]
    pub load: Load,
    /// Whether the target is about to stop and accepts no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// A failed order or state query. Whether the target executed the order is then unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The target that was called.
    pub target: TargetId,
    /// The step that failed, such as `connect`.
    pub step: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "order to target {}: {} failed", self.target, self.step)
    }
}

impl std::error::Error for Error {}

/// The result of an order.
pub type Result<T> = std::result::Result<T, Report<Error>>;
