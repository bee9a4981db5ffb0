//! Orders to a target, and the state it tells of itself.

use std::fmt;

use error_stack::Report;

use crate::ids::{Incarnation, ModelRef, OrderId, ServiceName, TargetId, Term, Version, Zone};
use crate::units::Bytes;

/// Orders the orders: a target that checks it refuses one lower than the highest it has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Fencing {
    /// The term of the leader that gave the order.
    pub term: Term,
    /// Rises with each order of that leader.
    pub sequence: u64,
}

impl fmt::Display for Fencing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.sequence)
    }
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load the weights; the target reports `Loading` and then `Loaded`.
    Load,
    /// Finish what runs on the replica, then free its memory.
    Unload,
    /// Stop a load that has not finished and free its memory.
    CancelLoad,
}

/// One order to one target.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// Fences off the orders of an earlier leader.
    pub fencing: Fencing,
    /// The same when the order is sent again: a target acts on it once.
    pub order_id: OrderId,
    /// What to do.
    pub action: Action,
    /// The model or adapter it is done to.
    pub model: ModelRef,
    /// The version of its weights.
    pub version: Version,
    /// Memory that the replica takes.
    pub memory_bytes: Bytes,
    /// Unix time after which a target that reads it refuses the order.
    pub expires_ms: u64,
}

/// A target's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Taken; the state tells when it is done. Also the answer to a repeat.
    Accepted,
    /// Refused: a higher fencing number was seen. Nothing was done.
    StaleFencing,
    /// Refused: it came after it expired. Nothing was done.
    Expired,
    /// Refused: there is no room. Nothing was done.
    NoMemory,
    /// Refused: the target does not know the model or the replica.
    Unknown,
}

/// How far a replica on a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Weights are on their way; memory is taken.
    Loading,
    /// Ready for work.
    Loaded,
    /// Finishing work; memory is still taken.
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
    /// How far it is.
    pub phase: Phase,
    /// Memory that it takes.
    pub memory_bytes: Bytes,
}

/// Where a target keeps a copy of weights that are not loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// In the VM's memory.
    Memory,
    /// On the VM's disk.
    Disk,
}

/// A copy of weights that a target has at hand.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Cached {
    /// The model or adapter.
    pub model: ModelRef,
    /// The version of its weights.
    pub version: Version,
    /// Where the copy is.
    pub tier: Tier,
}

/// Load as the target reports it, which lags behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait inside the target.
    pub waiting: u32,
    /// Calls that may run at once.
    pub slots: u32,
}

/// What kind of target it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An assistant runner: model engines on accelerators.
    Assistant,
    /// An application runner: plain services.
    Application,
}

/// What a target tells of itself, when it announces itself and when it is asked.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    /// The target's id; also part of the path that it announces to.
    pub target: TargetId,
    /// This life of the target's process. Memory of an earlier life is free.
    pub incarnation: Incarnation,
    /// Rises with each announcement of one incarnation, so that late ones are known.
    pub sequence: u64,
    /// What kind of target it is.
    pub kind: Kind,
    /// Where it runs.
    pub availability_zone: Zone,
    /// Where it is called, an IP address and port.
    pub address: std::net::SocketAddr,
    /// Accelerator memory in all.
    #[serde(default)]
    pub memory_bytes: Bytes,
    /// Accelerators that share that memory.
    #[serde(default)]
    pub accelerators: u32,
    /// Replicas that take memory.
    #[serde(default)]
    pub holds: Vec<Held>,
    /// Copies of weights that it could load from.
    #[serde(default)]
    pub cached: Vec<Cached>,
    /// Plain services that it offers.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Load, with its lag.
    #[serde(default)]
    pub load: Load,
    /// Whether it is about to stop and wants no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Why an order or a question had no answer. What became of an order is then unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The target that was asked.
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
