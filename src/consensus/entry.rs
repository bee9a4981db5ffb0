//! Data types of the replicated log: entries, membership, term and vote, snapshots.

use std::fmt;

use bytes::Bytes;

use crate::ids::{DaemonId, Incarnation, LogIndex, Term};

/// Identity of one voter or learner. A daemon whose data folder was lost gets a new incarnation, so
/// that it is not bound by, or credited with, the votes and acknowledgements of the lost folder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct VoterId {
    /// The daemon that runs the voter.
    pub daemon: DaemonId,
    /// The incarnation of its data folder.
    pub incarnation: Incarnation,
}

impl fmt::Display for VoterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.daemon, self.incarnation)
    }
}

/// The voters and learners of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Membership {
    /// Members that count towards a quorum, sorted.
    pub voters: Vec<VoterId>,
    /// Members that receive the log but do not count towards a quorum, sorted.
    pub learners: Vec<VoterId>,
}

impl Membership {
    /// A membership of `voters` without learners.
    pub fn of_voters(mut voters: Vec<VoterId>) -> Self {
        voters.sort();
        voters.dedup();
        Self { voters, learners: Vec::new() }
    }

    /// Whether `id` is a voter.
    pub fn is_voter(&self, id: &VoterId) -> bool {
        self.voters.binary_search(id).is_ok()
    }

    /// Whether `id` is a learner.
    pub fn is_learner(&self, id: &VoterId) -> bool {
        self.learners.binary_search(id).is_ok()
    }

    /// Number of voters in a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// All voters and learners.
    pub fn all(&self) -> impl Iterator<Item = &VoterId> {
        self.voters.iter().chain(&self.learners)
    }
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Payload {
    /// The first entry of a new leader; committing it also commits the entries of earlier terms.
    Blank,
    /// A command for the replicated machine.
    Command(Bytes),
    /// A new membership, in effect from this entry on.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Position in the log, from 1.
    pub index: LogIndex,
    /// Term of the leader that appended the entry.
    pub term: Term,
    /// Content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size of the entry in a message.
    pub fn size_bytes(&self) -> usize {
        const OVERHEAD_BYTES: usize = 24;
        match &self.payload {
            Payload::Command(bytes) => bytes.len() + OVERHEAD_BYTES,
            _ => OVERHEAD_BYTES,
        }
    }
}

/// The term and vote of a voter; made durable before any message that depends on them is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// The candidate that this voter voted for in that term.
    pub vote: Option<VoterId>,
}

/// The position and membership that a snapshot covers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SnapshotMeta {
    /// Index of the last entry that the snapshot covers.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership as of that entry.
    pub membership: Membership,
}

/// The state of the replicated machine after applying an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// The position that the snapshot covers.
    pub meta: SnapshotMeta,
    /// State as encoded by the machine; empty at index 0.
    pub data: Bytes,
}
