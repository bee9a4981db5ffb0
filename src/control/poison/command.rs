//! Commands on poison requests, and their outcomes.

use crate::control::owner;
use crate::ids::{Digest, Incarnation, ModelRef, TargetId, TenantId};

/// A request that was in flight at a target when it died.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Flight {
    /// The digest of its model and content.
    pub digest: Digest,
    /// Whose request it is.
    pub tenant: TenantId,
    /// The model it asks for, unless it is a call of a plain service.
    pub model: Option<ModelRef>,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// A target died with these requests in flight from one daemon.
    TargetDied {
        /// The target.
        target: TargetId,
        /// Its life that ended.
        incarnation: Incarnation,
        /// What was in flight. Other daemons report their own.
        in_flight: Vec<Flight>,
    },
    /// Asks for the right to try a suspect on a target.
    Try {
        /// The suspect.
        digest: Digest,
        /// Where it would run.
        target: TargetId,
        /// The daemon that would dispatch it.
        owner: owner::Owner,
        /// The trial; the same when the command is sent again. Drawn at random.
        nonce: u64,
    },
    /// Ends a trial.
    EndTrial {
        /// The suspect.
        digest: Digest,
        /// The trial.
        nonce: u64,
        /// Whether it was answered, which clears it. A death is told by [`Command::TargetDied`].
        is_answered: bool,
    },
    /// Takes a digest off the list at an operator's word.
    Lift {
        /// The digest.
        digest: Digest,
        /// Who lifts it.
        by: String,
        /// Why; never empty.
        reason: String,
    },
    /// Calls broke at a target before their answers were whole: it may have died of one of them.
    CallsBroke {
        /// The target.
        target: TargetId,
        /// Its life.
        incarnation: Incarnation,
        /// The calls that broke. Other daemons report their own.
        in_flight: Vec<Flight>,
    },
}

/// What a command led to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// Done; there is nothing to tell.
    Done,
    /// Of [`Command::Try`].
    Tried(Trial),
    /// Of [`Command::Lift`].
    Lifted(Lifted),
}

/// Whether a suspect may be tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Trial {
    /// It may, on this target, once.
    Granted,
    /// It is no suspect: dispatch it like any request.
    NotSuspect,
    /// It runs in another trial; ask again later.
    Busy,
    /// Another suspect is tried on the target; choose another target.
    TargetBusy,
    /// It killed too many targets and is refused.
    Closed {
        /// Unix time until which it is.
        until_ms: u64,
    },
}

/// Whether a digest was taken off the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Lifted {
    /// It was.
    Done,
    /// Refused: no reason was given.
    NoReason,
    /// It is not on the list.
    NotListed,
}
