//! The port to the records of poison requests, which crash the targets that run them.

use crate::ids::{Digest, TargetId};

/// A digest that is refused everywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Closed {
    /// Until when, as Unix time.
    pub until_ms: u64,
}

/// Records of poison requests, shared between daemons.
pub trait Poison: Send + Sync {
    /// Whether a digest is refused. Must not block.
    fn is_closed(&self, digest: &Digest) -> Option<Closed>;

    /// Whether a digest was in flight at one target that died. Must not block.
    fn is_suspect(&self, digest: &Digest) -> bool;

    /// Takes in that a target died, and what was in flight there. Must not block.
    fn died(&self, target: &TargetId, digests: &[Digest]);
}

/// No shared records: each daemon knows only what it saw itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unshared;

impl Poison for Unshared {
    fn is_closed(&self, _digest: &Digest) -> Option<Closed> {
        None
    }

    fn is_suspect(&self, _digest: &Digest) -> bool {
        false
    }

    fn died(&self, _target: &TargetId, _digests: &[Digest]) {}
}
