//! Commands on idempotency records, and their outcomes.

use crate::control::answer::Answer;
use crate::control::owner;
use crate::control::records::record;
use crate::ids::{Digest, IdempotencyKey, TenantId};

pub use crate::control::records::record::Settlement;

/// A change of the idempotency records.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Asks for the right to dispatch a call once.
    Begin {
        /// Whose key it is.
        tenant: TenantId,
        /// The caller's key.
        key: IdempotencyKey,
        /// The digest of the request.
        digest: Digest,
        /// The daemon that would dispatch it.
        owner: owner::Owner,
        /// The attempt; the same when the command is sent again.
        nonce: record::Nonce,
    },
    /// Tells how an attempt ended.
    Finish {
        /// Whose key it is.
        tenant: TenantId,
        /// The caller's key.
        key: IdempotencyKey,
        /// The attempt.
        nonce: record::Nonce,
        /// How it ended.
        end: End,
    },
    /// An operator's word on a call that may have run.
    Settle {
        /// Whose key it is.
        tenant: TenantId,
        /// The caller's key.
        key: IdempotencyKey,
        /// What the operator says.
        settlement: Settlement,
    },
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum End {
    /// The target answered.
    Answered(Answer),
    /// No byte of it was written to a target.
    Released,
    /// It may have run, and no answer will come.
    Unknown(record::Cause),
}

/// What a command led to.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// Of [`Command::Begin`].
    Begun(Begun),
    /// Of [`Command::Finish`].
    Finished(Finished),
    /// Of [`Command::Settle`].
    Settled(Settled),
}

/// Whether a call may be dispatched. Only [`Begun::Recorded`] says that it may.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Begun {
    /// The record is this attempt's: dispatch it, once.
    Recorded,
    /// Another attempt under the key is under way.
    InProgress {
        /// Unix time at which it was recorded.
        since_ms: u64,
    },
    /// It ran before; this is its answer.
    Answered(Answer),
    /// It may have run.
    MayHaveRun {
        /// Unix time at which it was recorded.
        since_ms: u64,
        /// Why it is unknown.
        cause: record::Cause,
    },
    /// An operator found out that it ran.
    Settled(Settlement),
    /// The key belongs to another request.
    Mismatch,
    /// The key was used before, and its record is no longer kept.
    Expired,
    /// This very attempt was given up before.
    Released,
    /// No more records are kept.
    Full,
    /// No more records of this tenant are kept.
    TenantFull,
    /// This life of the daemon counts as over.
    OwnerGone,
}

/// Whether an end was taken into the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Finished {
    /// It is the record's end.
    Recorded,
    /// The record had this end before.
    Already,
    /// The record belongs to another attempt or was settled; nothing was changed.
    Stale,
    /// There is no record of the key.
    NoRecord,
}

/// Whether an operator's word was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Settled {
    /// It was.
    Done,
    /// Refused: no reason was given.
    NoReason,
    /// Refused: the record is not one of a call that may have run.
    NotUnknown,
}
