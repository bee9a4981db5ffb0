//! What goes into the state machine and what comes out of it.

use std::fmt;

use crate::consensus::entry::{Entry, HardState, Membership, Snapshot, SnapshotMeta, VoterId};
use crate::consensus::message::Message;
use crate::consensus::timing::Timing;
use crate::ids::{GroupId, LogIndex, Term};
use crate::storage::record::Record;

/// The group, the voter and its times.
#[derive(Clone, Debug)]
pub struct Config {
    /// The group.
    pub group: GroupId,
    /// This voter.
    pub id: VoterId,
    /// Times of the protocol.
    pub timing: Timing,
    /// How many applied entries call for a snapshot.
    pub snapshot_every: u64,
}

/// What was read from the data folder.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// Term and vote.
    pub hard: HardState,
    /// The last snapshot; at index 0 it holds the first membership and no state.
    pub snapshot: Snapshot,
    /// The entries that follow the snapshot.
    pub entries: Vec<Entry>,
}

/// What the caller is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write and sync `records`, then call [`super::Core::synced`] with `write`.
    Persist {
        /// The number of this write.
        write: u64,
        /// What to write.
        records: Vec<Record>,
    },
    /// Replace the machine's state, save the snapshot and start an empty log after it, then call
    /// [`super::Core::synced`].
    Install {
        /// The number of this write.
        write: u64,
        /// The snapshot, received from the leader.
        snapshot: Snapshot,
        /// Term and vote, which the new log begins with.
        hard: HardState,
    },
    /// Send a message; it may be lost.
    Send(Message),
    /// Apply committed entries to the machine.
    Apply(Vec<Entry>),
    /// Save the machine's state as it is now, then call [`super::Core::snapshot_saved`].
    TakeSnapshot(SnapshotMeta),
    /// A read asked for by [`super::Core::read`] may be served from the machine as it is now.
    ReadReady(u64),
    /// A read cannot be served here: leadership is lost.
    ReadFailed(u64),
}

/// Why a request was not taken. Nothing was proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another voter leads, if it is known.
    NotLeader(Option<VoterId>),
    /// Leadership is being handed over.
    Transferring,
    /// An earlier change of membership, or the first entry of the term, is not committed.
    ChangePending,
    /// The learner does not durably hold the committed log.
    NotCaughtUp,
    /// The change makes no sense for the membership in force.
    BadChange(&'static str),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader(Some(leader)) => write!(f, "not the leader, which is {leader}"),
            Self::NotLeader(None) => f.write_str("not the leader, and none is known"),
            Self::Transferring => f.write_str("leadership is being handed over"),
            Self::ChangePending => f.write_str("an earlier entry is not committed yet"),
            Self::NotCaughtUp => f.write_str("the learner does not hold the committed log yet"),
            Self::BadChange(reason) => f.write_str(reason),
        }
    }
}

/// The place of a proposal; another entry may end up there unless it commits with this term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposalPosition {
    /// The index.
    pub index: LogIndex,
    /// The term.
    pub term: Term,
}

/// What a voter is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleKind {
    /// Receives the log.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// A summary for operators and callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// What the voter is.
    pub role: RoleKind,
    /// Its term.
    pub term: Term,
    /// The leader it follows or is.
    pub leader: Option<VoterId>,
    /// The last entry known to be committed.
    pub commit: LogIndex,
    /// The last entry applied.
    pub applied: LogIndex,
    /// The last entry held.
    pub last: LogIndex,
    /// The last entry of the last saved snapshot.
    pub snapshot: LogIndex,
    /// Until when a leader may serve reads alone, by its own clock.
    pub lease_valid_until_ms: Option<u64>,
    /// The membership in force.
    pub membership: Membership,
}
