//! The port to the records of poison requests, which crash the targets that run them.

use futures::future::BoxFuture;

use crate::ids::{Digest, Incarnation, TargetId};

/// A digest that is refused everywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClosedDigest {
    /// Until when, as Unix time.
    pub until_ms: u64,
}

/// A call that broke at a target before its answer was whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenCall {
    /// The target.
    pub target: TargetId,
    /// Its life.
    pub incarnation: Incarnation,
    /// What it was asked.
    pub digest: Digest,
}

/// A suspect that is to be sent to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectAttempt {
    /// The digest of the request.
    pub digest: Digest,
    /// Where it would run.
    pub target: TargetId,
    /// Calls of the same request that broke before. They are on record before it is let in.
    pub broken: Vec<BrokenCall>,
    /// Names the trial; drawn at random.
    pub trial: u64,
}

/// Whether a suspect may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialDecision {
    /// It may.
    Granted,
    /// Not to this target now: another suspect runs there, or the same one elsewhere.
    Elsewhere,
    /// It is refused everywhere.
    Closed,
}

/// Records of poison requests, shared between daemons.
pub trait PoisonRecords: Send + Sync {
    /// Whether a digest is refused. Must not block.
    fn find_closed(&self, digest: &Digest) -> Option<ClosedDigest>;

    /// Whether a digest was in flight at one target that died. Must not block.
    fn is_suspect(&self, digest: &Digest) -> bool;

    /// Takes in that a target died, and what was in flight there. Must not block.
    fn record_target_death(&self, target: &TargetId, digests: &[Digest]);

    /// Takes in that a call broke, which ends its trial if it had one. Must not block.
    fn record_broken_call(&self, call: BrokenCall);

    /// Asks whether a suspect may be sent. Comes back soon, also if the records are out of reach.
    fn request_trial(&self, suspect: SuspectAttempt) -> BoxFuture<'static, TrialDecision>;

    /// Takes in that a trial ended without harm to its target. Must not block.
    fn end_trial(&self, digest: &Digest, trial: u64, is_answered: bool);
}

/// No shared records: each daemon knows only what it saw itself.
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
