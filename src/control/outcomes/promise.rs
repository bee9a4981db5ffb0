//! The guarantees of the service that are checked at run time.

use std::fmt;

/// A guarantee that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// No more replicas of a model are loaded than were decided.
    ReplicasAsDecided,
    /// Accelerator memory is never overcommitted.
    MemoryWithinCapacity,
    /// Every waiting request is served or refused in time.
    ServedOrRefused,
    /// Each caller receives the whole answer to its own request.
    WholeOwnAnswer,
    /// A refusal that says "not run" is true.
    NotRunIsTrue,
    /// A call that must not repeat runs at most once.
    AtMostOnce,
    /// A target that is leaving receives no new work.
    LeavingTargetsSpared,
    /// A planned stop cuts off no request in flight.
    GracefulStop,
    /// An accepted configuration is in force everywhere within its bound and never reverts.
    ConfigurationInForce,
}

impl Promise {
    /// All promises, in the order of reports.
    pub const ALL: [Promise; 9] = [
        Self::ReplicasAsDecided,
        Self::MemoryWithinCapacity,
        Self::ServedOrRefused,
        Self::WholeOwnAnswer,
        Self::NotRunIsTrue,
        Self::AtMostOnce,
        Self::LeavingTargetsSpared,
        Self::GracefulStop,
        Self::ConfigurationInForce,
    ];

    /// Returns the index in [`Promise::ALL`].
    pub fn place(self) -> usize {
        self as usize
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::ReplicasAsDecided => "replicas as decided",
            Self::MemoryWithinCapacity => "memory in capacity",
            Self::ServedOrRefused => "served or refused",
            Self::WholeOwnAnswer => "whole own answer",
            Self::NotRunIsTrue => "\"not run\" is true",
            Self::AtMostOnce => "runs at most once",
            Self::LeavingTargetsSpared => "none to leaving",
            Self::GracefulStop => "graceful stop",
            Self::ConfigurationInForce => "config in force",
        })
    }
}
