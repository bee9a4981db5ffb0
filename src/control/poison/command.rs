//! Commands on poison requests, and their outcomes.

use crate::control::owner;
use crate::ids::{Digest, Incarnation, ModelRef, TargetId, TenantId};

/// A request that was in flight at a target when it died.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Flight {
    /// The digest of its model and content.
    pub digest: Digest,
    /// The tenant that made the request.
    pub tenant: TenantId,
    /// The requested model; `None` for a call of a service without a model.
    pub model: Option<ModelRef>,
}

/// A replicated command that changes the poison list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// A target died with these requests in flight from one daemon.
    TargetDied {
        /// The target.
        target: TargetId,
        /// The incarnation of the target that ended.
        incarnation: Incarnation,
        /// The requests in flight from the reporting daemon. Other daemons report their own.
        in_flight: Vec<Flight>,
    },
    /// Requests the right to run a suspect on a target as a trial.
    Try {
        /// The digest of the suspect.
        digest: Digest,
        /// The target that will run the suspect.
        target: TargetId,
        /// The daemon incarnation that will dispatch the suspect.
        owner: owner::Owner,
        /// Identifies the trial. Drawn at random; a retry of the command carries the same nonce.
        nonce: u64,
    },
    /// Ends a trial.
    EndTrial {
        /// The digest of the suspect.
        digest: Digest,
        /// Identifies the trial.
        nonce: u64,
        /// Whether the suspect was answered, which removes it from the list. The death of the
        /// target is reported by [`Command::TargetDied`].
        is_answered: bool,
    },
    /// Removes a digest from the list at an operator's request.
    Lift {
        /// The digest.
        digest: Digest,
        /// The operator.
        by: String,
        /// The operator's reason; never empty.
        reason: String,
    },
    /// Calls to a target broke before their answers were complete. One of them may have killed the
    /// target.
    CallsBroke {
        /// The target.
        target: TargetId,
        /// The incarnation of the target.
        incarnation: Incarnation,
        /// The broken calls of the reporting daemon. Other daemons report their own.
        in_flight: Vec<Flight>,
    },
}

/// The result of a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// The command was applied and has no further result.
    Done,
    /// The result of [`Command::Try`].
    Tried(Trial),
    /// The result of [`Command::Lift`].
    Lifted(Lifted),
}

/// Whether a suspect may run in a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Trial {
    /// The suspect may run once on this target.
    Granted,
    /// The digest is not suspect: dispatch the request like any other.
    NotSuspect,
    /// The suspect runs in another trial; retry later.
    Busy,
    /// Another suspect runs in a trial on the target; choose another target.
    TargetBusy,
    /// The request killed too many targets and is refused.
    Closed {
        /// Unix time until which the request is refused.
        until_ms: u64,
    },
}

/// Whether a digest was removed from the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Lifted {
    /// The digest was removed.
    Done,
    /// Refused: no reason was given.
    NoReason,
    /// The digest is not on the list.
    NotListed,
}
