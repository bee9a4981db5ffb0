//! The idempotency record of one key, and its tombstone.

use std::sync::Arc;

use crate::control::records::encoded_answer::EncodedAnswer;
use crate::control::{owner, shards};
use crate::ids::{Digest, IdempotencyKey, TenantId};

/// Distinguishes the attempts under one key; drawn at random by the daemon that begins the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub u64);

/// Returns the table key of a tenant's idempotency key.
pub fn key(tenant: &TenantId, key: &IdempotencyKey) -> shards::Key {
    shards::Key::of(&[b"record", tenant.as_str().as_bytes(), key.as_str().as_bytes()])
}

/// An attempt to run a call: its key, daemon and nonce.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Attempt {
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The daemon incarnation that received the call.
    pub owner: owner::Owner,
    /// Distinguishes this attempt from others with the same key.
    pub nonce: Nonce,
}

/// Why it is unknown whether a call has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Cause {
    /// The daemon that dispatched the call died or was lost.
    DaemonGone,
    /// The target died, closed the connection early, or stopped responding.
    TargetLost,
    /// The daemon did not report an end within the time limit.
    NoReport,
}

/// An operator's finding on a call that may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Settlement {
    /// Whether the call ran.
    pub ran: bool,
    /// The operator who settled the record.
    pub by: String,
    /// The operator's reason; never empty.
    pub reason: String,
}

/// The stored status of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) enum Status {
    /// Recorded; the daemon may have dispatched the call.
    Pending(Arc<Attempt>),
    /// The call ran and returned this answer.
    Answered(EncodedAnswer),
    /// The call may have run.
    Unknown(Arc<Attempt>, Cause),
    /// The call was not run; the next call with the key may run.
    Released(Nonce),
    /// An operator settled whether the call ran.
    Settled(Arc<Settlement>),
}

/// The record of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Record {
    pub(super) key: shards::Key,
    pub(super) tenant: TenantId,
    pub(super) digest: Digest,
    pub(super) since_ms: u64,
    pub(super) expires_ms: u64,
    pub(super) status: Status,
}

impl Record {
    /// Returns the size of the stored answer body.
    pub(super) fn kept_bytes(&self) -> u64 {
        match &self.status {
            Status::Answered(stored) => stored.decode().1.kept_bytes(),
            _ => 0,
        }
    }

    /// Whether the call is in progress or may have run.
    pub(super) fn is_open(&self) -> bool {
        matches!(self.status, Status::Pending(_) | Status::Unknown(..))
    }

    /// Whether a new call may reuse the key.
    pub(super) fn is_reusable(&self) -> bool {
        match &self.status {
            Status::Released(_) => true,
            Status::Settled(settlement) => !settlement.ran,
            _ => false,
        }
    }
}

impl shards::Item for Record {
    fn key(&self) -> shards::Key {
        self.key
    }

    fn expires_ms(&self) -> u64 {
        self.expires_ms
    }
}

/// A key whose record has expired; it is kept so that a call with the key is refused, not rerun.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Tombstone {
    pub(super) key: shards::Key,
    pub(super) expires_ms: u64,
}

impl shards::Item for Tombstone {
    fn key(&self) -> shards::Key {
        self.key
    }

    fn expires_ms(&self) -> u64 {
        self.expires_ms
    }
}
