//! The interface to idempotency records, by which a call with a key runs at most once.

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::ids::{Digest, IdempotencyKey, TenantId};

/// A response as it is recorded and replayed to a retry with the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The complete body.
    pub body: Bytes,
}

/// A call that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotentCall {
    /// The calling tenant; each tenant has its own key space.
    pub tenant: TenantId,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The digest of the request.
    pub digest: Digest,
    /// The deadline of the call, as Unix time.
    pub deadline_ms: u64,
}

/// Identifies the record of a call that was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordToken(pub u64);

/// Whether a call may run, as decided by its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// Run: the record is durable. [`IdempotencyRecords::finish`] must follow.
    Run(RecordToken),
    /// Do not run: replay the response of the earlier call.
    Replay(RecordedResponse),
    /// Do not run: the earlier call is still running.
    InProgress,
    /// Do not run: the earlier call may have run, and its response is unknown.
    MayHaveRun,
    /// Do not run: the key was used for another request.
    Mismatch,
    /// Do not run: the record of the key is past its retention.
    Expired,
    /// Do not run: the record cannot be made durable at present.
    Unavailable,
}

/// The outcome of a call that was started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call ran, with this response.
    Answered(RecordedResponse),
    /// No byte of the request was written to a target: the key may be used again.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// A store of idempotency records.
pub trait IdempotencyRecords: Send + Sync {
    /// Makes the record of a call durable before any byte of the request is sent.
    fn begin(&self, call: IdempotentCall) -> BoxFuture<'_, BeginOutcome>;

    /// Records the outcome of a call. Returns `false` if the outcome could not be made durable.
    fn finish(&self, token: RecordToken, outcome: CallOutcome) -> BoxFuture<'_, bool>;
}

/// A store without records: every call with a key is refused and not run.
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
