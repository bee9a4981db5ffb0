//! The port to idempotency records: what may run at most once.

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::ids::{Digest, IdempotencyKey, TenantId};

/// An answer as it is recorded and given again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recorded {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The whole body.
    pub body: Bytes,
}

/// A call that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Who asks; keys of two tenants are apart.
    pub tenant: TenantId,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The digest of the request.
    pub digest: Digest,
    /// When the caller stops waiting, as Unix time.
    pub deadline_ms: u64,
}

/// Names the record of a call that was begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token(pub u64);

/// What a new call may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Run: its record is durable. [`Once::finish`] must follow.
    Run(Token),
    /// Do not run: this is the answer of the earlier call.
    Replay(Recorded),
    /// Do not run: the earlier call runs.
    InProgress,
    /// Do not run: the earlier call may have run, and its answer is unknown.
    MayHaveRun,
    /// Do not run: the key belongs to another request.
    Mismatch,
    /// Do not run: the record of the key is past its retention.
    Expired,
    /// Do not run: the record cannot be made durable now.
    Unavailable,
}

/// What became of a call that was begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran, with this answer.
    Answered(Recorded),
    /// No byte of it was written to a target: the key may be used again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Idempotency records.
pub trait Once: Send + Sync {
    /// Makes the record of a call durable before any byte of it leaves.
    fn begin(&self, call: Call) -> BoxFuture<'_, Begin>;

    /// Records what became of it. `false` if that could not be made durable.
    fn finish(&self, token: Token, outcome: Outcome) -> BoxFuture<'_, bool>;
}

/// No records: every call with a key is refused, and truly not run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unavailable;

impl Once for Unavailable {
    fn begin(&self, _call: Call) -> BoxFuture<'_, Begin> {
        Box::pin(std::future::ready(Begin::Unavailable))
    }

    fn finish(&self, _token: Token, _outcome: Outcome) -> BoxFuture<'_, bool> {
        Box::pin(std::future::ready(false))
    }
}
