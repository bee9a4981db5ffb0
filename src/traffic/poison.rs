//! The interface to the records of poison requests, which crash the targets that run them.

use futures::future::BoxFuture;

use crate::ids::{Digest, Incarnation, TargetId};

/// A request digest that all daemons refuse.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClosedDigest {
    /// When the refusal ends, as Unix time.
    pub until_ms: u64,
}

/// A call whose connection to a target broke before the response was complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenCall {
    /// The target.
    pub target: TargetId,
    /// The incarnation of the target.
    pub incarnation: Incarnation,
    /// The digest of the request.
    pub digest: Digest,
}

/// An attempt to send a suspected poison request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectAttempt {
    /// The digest of the request.
    pub digest: Digest,
    /// The target that would run the request.
    pub target: TargetId,
    /// Earlier broken calls of the same request. They are recorded before a trial is granted.
    pub broken: Vec<BrokenCall>,
    /// The random id of the trial.
    pub trial: u64,
}

/// Whether a suspected poison request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialDecision {
    /// The request may be sent.
    Granted,
    /// The request may not be sent to this target at present: another suspect runs there, or this
    /// one runs elsewhere.
    Elsewhere,
    /// The request is refused everywhere.
    Closed,
}

/// Records of poison requests, shared between daemons.
pub trait PoisonRecords: Send + Sync {
    /// Returns until when a digest is refused, if it is. Must not block.
    fn find_closed(&self, digest: &Digest) -> Option<ClosedDigest>;

    /// Whether a digest was in flight at one target that died. Must not block.
    fn is_suspect(&self, digest: &Digest) -> bool;

    /// Records the death of a target and the digests in flight there. Must not block.
    fn record_target_death(&self, target: &TargetId, digests: &[Digest]);

    /// Records a broken call, which ends its trial if it had one. Must not block.
    fn record_broken_call(&self, call: BrokenCall);

    /// Asks whether a suspect may be sent. Completes promptly even if the records are unreachable.
    fn request_trial(&self, suspect: SuspectAttempt) -> BoxFuture<'static, TrialDecision>;

    /// Records the end of a trial that did not harm its target. Must not block.
    fn end_trial(&self, digest: &Digest, trial: u64, is_answered: bool);
}

/// No shared records: each daemon only knows the deaths that it observed itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnsharedRecords;

impl PoisonRecords for UnsharedRecords {
    fn find_closed(&self, _digest: &Digest) -> Option<ClosedDigest> {
        None
    }

    fn is_suspect(&self, _digest: &Digest) -> bool {
        false
    }

    fn record_target_death(&self, _target: &TargetId, _digests: &[Digest]) {}

    fn record_broken_call(&self, _call: BrokenCall) {}

    fn request_trial(&self, _suspect: SuspectAttempt) -> BoxFuture<'static, TrialDecision> {
        Box::pin(std::future::ready(TrialDecision::Granted))
    }

    fn end_trial(&self, _digest: &Digest, _trial: u64, _is_answered: bool) {}
}
