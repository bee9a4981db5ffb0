//! What the replicated log holds: entries, memberships, snapshots.

use std::fmt;

use bytes::Bytes;

use crate::ids::{DaemonId, Incarnation, LogIndex, Term};

/// One voter or learner. A daemon whose data folder was lost gets a new incarnation, so that
/// it is never taken for the voter that made the earlier promises.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct VoterId {
    /// The daemon that runs it.
    pub daemon: DaemonId,
    /// The life of its data folder.
    pub incarnation: Incarnation,
}

impl fmt::Display for VoterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.daemon, self.incarnation)
    }
}

/// Who takes part in a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Membership {
    /// Those whose votes and copies count, in order.
    pub voters: Vec<VoterId>,
    /// Those that receive the log without counting, in order.
    pub learners: Vec<VoterId>,
}

impl Membership {
    /// A membership of `voters` alone.
    pub fn of_voters(mut voters: Vec<VoterId>) -> Self {
        voters.sort();
        voters.dedup();
        Self { voters, learners: Vec::new() }
    }

    /// Whether `id` votes.
    pub fn is_voter(&self, id: &VoterId) -> bool {
        self.voters.binary_search(id).is_ok()
    }

    /// Whether `id` is a learner.
    pub fn is_learner(&self, id: &VoterId) -> bool {
        self.learners.binary_search(id).is_ok()
    }

    /// How many voters make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Voters and learners.
    pub fn all(&self) -> impl Iterator<Item = &VoterId> {
        self.voters.iter().chain(&self.learners)
    }
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Payload {
    /// The first entry of a leader, which commits the entries of earlier terms.
    Blank,
    /// A command for the replicated machine.
    Command(Bytes),
    /// The membership from this entry on.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Its place, from 1.
    pub index: LogIndex,
    /// The term of the leader that made it.
    pub term: Term,
    /// Its content.
    pub payload: Payload,
}

impl Entry {
    /// About how many bytes the entry takes in a message.
    pub fn size_bytes(&self) -> usize {
        const OVERHEAD_BYTES: usize = 24;
        match &self.payload {
            Payload::Command(bytes) => bytes.len() + OVERHEAD_BYTES,
            _ => OVERHEAD_BYTES,
        }
    }
}

/// The term and vote of a voter; durable before anything that follows from them is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// Whom this voter chose in that term.
    pub vote: Option<VoterId>,
}

/// What a snapshot covers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SnapshotMeta {
    /// The last entry that it covers.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The membership at that entry.
    pub membership: Membership,
}

/// The state of the replicated machine after an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    /// What it covers.
    pub meta: SnapshotMeta,
    /// The machine's state, encoded by the machine. Empty at index 0.
    pub data: Bytes,
}
