//! One idempotency record.

use std::sync::Arc;

use crate::control::records::kept::Kept;
use crate::control::{owner, shards};
use crate::ids::{Digest, IdempotencyKey, TenantId};

/// Tells the attempts under one key apart; drawn at random by the daemon that begins one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Nonce(pub u64);

/// The place of a tenant's key in the table.
pub fn key(tenant: &TenantId, key: &IdempotencyKey) -> shards::Key {
    shards::Key::of(&[b"record", tenant.as_str().as_bytes(), key.as_str().as_bytes()])
}

/// Who called, and under which key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Attempt {
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The daemon that got the call.
    pub owner: owner::Owner,
    /// The attempt.
    pub nonce: Nonce,
}

/// Why it is unknown whether a call has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Cause {
    /// Its daemon died or was lost.
    DaemonGone,
    /// Its target died, broke the connection, or fell silent.
    TargetLost,
    /// Its daemon did not report an end within the limit.
    NoReport,
}

/// An operator's word on a call that may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Settlement {
    /// Whether it ran.
    pub ran: bool,
    /// Who says so.
    pub by: String,
    /// Why; never empty.
    pub reason: String,
}

/// What is known of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) enum Status {
    /// Recorded; its daemon may have dispatched it.
    Pending(Arc<Attempt>),
    /// It ran, and this is its answer.
    Answered(Kept),
    /// It may have run.
    Unknown(Arc<Attempt>, Cause),
    /// It was not run: the next call under the key may.
    Released(Nonce),
    /// An operator settled it.
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
    /// Bytes of body that it keeps.
    pub(super) fn kept_bytes(&self) -> u64 {
        match &self.status {
            Status::Answered(kept) => kept.read().1.kept_bytes(),
            _ => 0,
        }
    }

    /// Whether the call is under way or may have run.
    pub(super) fn is_open(&self) -> bool {
        matches!(self.status, Status::Pending(_) | Status::Unknown(..))
    }

    /// Whether a new call may take the key over.
    pub(super) fn is_free(&self) -> bool {
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

/// A key whose record is gone, kept so that the key is refused and not run again.
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
