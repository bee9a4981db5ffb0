//! What routers and the leader tell each other about leased slots.

use super::MaxRejections;
use crate::rate_limit::message::TargetStatement;

/// What a brittle target last said.
pub type BrittleStatement = TargetStatement<MaxRejections>;

/// What the leader tells routers of a brittle target.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct BrittleNews {
    /// What the target last said.
    pub statement: BrittleStatement,
    /// How often it had to turn requests away so that fewer slots are leased: routers ask for theirs again.
    pub cuts: u64,
}

/// A part of a slot, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct MilliSlots(pub u32);

/// Waiting requests of one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RankCount {
    /// Their rank; 0 is served first.
    pub rank: u8,
    /// How many they are.
    pub count: u32,
}

/// What a router has and wants at one brittle target.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LeaseAsk {
    /// What the target last said to this router, or to another one as far as this router was told.
    pub statement: BrittleStatement,
    /// Slots that the router goes on using until it is answered. It gives the others back.
    pub kept: u32,
    /// Its requests at the target. They may be more than it was leased slots: some were sent before.
    pub running: u32,
    /// Its requests that wait for a slot there, sorted by rank.
    pub waiting: Vec<RankCount>,
    /// Requests that the target turned away since the router last asked.
    pub rejections: u32,
    /// The time that a request takes there on average.
    pub mean_ms: u32,
}

/// The asks of a router. A later one replaces those before.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LeaseRequest {
    /// Identifies the process of the router.
    pub process: u64,
    /// Rises with each request of the process.
    pub sequence: u64,
    /// One for each target, sorted by target.
    pub asks: Vec<LeaseAsk>,
}

/// The leader's answer to a [`LeaseAsk`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LeaseGrant {
    /// What the target last said, as far as the leader knows.
    pub statement: BrittleStatement,
    /// As in [`BrittleNews::cuts`].
    pub cuts: u64,
    /// Slots that the router may use from now on. If they are fewer than it uses, it starts no request until
    /// enough have ended.
    pub slots: u32,
    /// The router's even share, if routers want more slots than there are. Then unused ones are given back at once.
    pub even_share: Option<MilliSlots>,
    /// Time until the router should ask again while requests wait.
    pub ask_in_ms: u64,
}
