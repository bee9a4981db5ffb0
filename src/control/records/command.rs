//! Commands on idempotency records, and their outcomes.

use crate::control::answer::Answer;
use crate::control::owner;
use crate::control::records::record;
use crate::ids::{Digest, IdempotencyKey, TenantId};

pub use crate::control::records::record::Settlement;

/// A replicated command that changes the idempotency records.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Requests the exclusive right to dispatch a call, once.
    Begin {
        /// The tenant that the key belongs to.
        tenant: TenantId,
        /// The idempotency key chosen by the caller.
        key: IdempotencyKey,
        /// The digest of the request.
        digest: Digest,
        /// The daemon incarnation that will dispatch the call.
        owner: owner::Owner,
        /// Identifies the attempt; a retry of the command carries the same nonce.
        nonce: record::Nonce,
    },
    /// Reports how an attempt ended.
    Finish {
        /// The tenant that the key belongs to.
        tenant: TenantId,
        /// The idempotency key chosen by the caller.
        key: IdempotencyKey,
        /// Identifies the attempt.
        nonce: record::Nonce,
        /// How the attempt ended.
        end: End,
    },
    /// Records an operator's finding on a call that may have run.
    Settle {
        /// The tenant that the key belongs to.
        tenant: TenantId,
        /// The idempotency key chosen by the caller.
        key: IdempotencyKey,
        /// The operator's finding.
        settlement: Settlement,
    },
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum End {
    /// The target returned an answer.
    Answered(Answer),
    /// No byte of the request was written to a target.
    Released,
    /// The call may have run, and no answer will arrive.
    Unknown(record::Cause),
}

/// The result of a [`Command`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// The result of [`Command::Begin`].
    Begun(Begun),
    /// The result of [`Command::Finish`].
    Finished(Finished),
    /// The result of [`Command::Settle`].
    Settled(Settled),
}

/// Whether a call may be dispatched. Only [`Begun::Recorded`] permits the dispatch.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Begun {
    /// The record belongs to this attempt, which may dispatch the call once.
    Recorded,
    /// Another attempt with this key is in progress.
    InProgress {
        /// Unix time at which the earlier call was recorded.
        since_ms: u64,
    },
    /// The call already ran and returned this answer.
    Answered(Answer),
    /// An earlier attempt may have run the call.
    MayHaveRun {
        /// Unix time at which the earlier call was recorded.
        since_ms: u64,
        /// Why the result is unknown.
        cause: record::Cause,
    },
    /// An operator settled that the call ran.
    Settled(Settlement),
    /// The key was used for a request with another digest.
    Mismatch,
    /// The key was used before, and its record is past its retention.
    Expired,
    /// This attempt was already released.
    Released,
    /// The limit on records is reached.
    Full,
    /// The limit on records of this tenant is reached.
    TenantFull,
    /// This incarnation of the daemon is recorded as ended.
    OwnerGone,
}

/// Whether the reported end of an attempt was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Finished {
    /// The end was recorded.
    Recorded,
    /// The end of this attempt was recorded earlier.
    Already,
    /// The record belongs to another attempt or was settled; nothing was changed.
    Stale,
    /// No record exists for the key.
    NoRecord,
}

/// Whether an operator's finding was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Settled {
    /// The finding was recorded.
    Done,
    /// Refused: no reason was given.
    NoReason,
    /// Refused: the key has no record of a call that may have run.
    NotUnknown,
}
