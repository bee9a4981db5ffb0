//! The port to idempotency records: what may run at most once.

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::ids::{Digest, IdempotencyKey, TenantId};

/// An answer as it is recorded and given again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The whole body.
    pub body: Bytes,
}

/// A call that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotentCall {
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
pub struct RecordToken(pub u64);

/// What a new call may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// Run: its record is durable. [`IdempotencyRecords::finish`] must follow.
    Run(RecordToken),
    /// Do not run: this is the answer of the earlier call.
    Replay(RecordedResponse),
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
pub enum CallOutcome {
    /// It ran, with this answer.
    Answered(RecordedResponse),
    /// No byte of it was written to a target: the key may be used again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Idempotency records.
pub trait IdempotencyRecords: Send + Sync {
    /// Makes the record of a call durable before any byte of it leaves.
    fn begin(&self, call: IdempotentCall) -> BoxFuture<'_, BeginOutcome>;

    /// Records what became of it. `false` if that could not be made durable.
    fn finish(&self, token: RecordToken, outcome: CallOutcome) -> BoxFuture<'_, bool>;
}

/// No records: every call with a key is refused, and truly not run.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnavailableRecords;

impl IdempotencyRecords for UnavailableRecords {
    fn begin(&self, _call: IdempotentCall) -> BoxFuture<'_, BeginOutcome> {
        Box::pin(std::future::ready(BeginOutcome::Unavailable))
    }

    fn finish(&self, _token: RecordToken, _outcome: CallOutcome) -> BoxFuture<'_, bool> {
        Box::pin(std::future::ready(false))
    }
}
