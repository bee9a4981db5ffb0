//! Inputs and outputs of the Raft state machine.

use std::fmt;

use crate::consensus::entry::{Entry, HardState, Membership, Snapshot, SnapshotMeta, VoterId};
use crate::consensus::message::Message;
use crate::consensus::timing::Timing;
use crate::ids::{GroupId, LogIndex, Term};
use crate::storage::record::Record;

/// Configuration of one voter.
#[derive(Clone, Debug)]
pub struct Config {
    /// The group.
    pub group: GroupId,
    /// This voter.
    pub id: VoterId,
    /// Timeouts and intervals of the protocol.
    pub timing: Timing,
    /// Snapshots bound the entries that a restart replays to this number.
    pub snapshot_every: u64,
}

/// State read from the data folder at startup.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// Current term and vote.
    pub hard: HardState,
    /// The last snapshot; at index 0 it holds the first membership and no state.
    pub snapshot: Snapshot,
    /// The entries that follow the snapshot.
    pub entries: Vec<Entry>,
}

/// An action for the caller; actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write and sync `records`, then call [`super::Core::synced`] with `write`.
    Persist {
        /// The number of this write.
        write: u64,
        /// The records to write.
        records: Vec<Record>,
    },
    /// Replace the state of the replicated machine, save the snapshot and start an empty log after
    /// it, then call [`super::Core::synced`].
    Install {
        /// The number of this write.
        write: u64,
        /// The snapshot, received from the leader.
        snapshot: Snapshot,
        /// Term and vote at the start of the new log.
        hard: HardState,
    },
    /// Send a message; it may be lost.
    Send(Message),
    /// Apply committed entries to the replicated machine.
    Apply(Vec<Entry>),
    /// Save a snapshot of the machine's current state, then call [`super::Core::snapshot_saved`].
    TakeSnapshot(SnapshotMeta),
    /// The read requested by [`super::Core::read`] may be served from the machine's current state.
    ReadReady(u64),
    /// The read cannot be served because this voter lost leadership.
    ReadFailed(u64),
}

/// Why a request was refused. Nothing was proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This voter is not the leader; names the leader, if known.
    NotLeader(Option<VoterId>),
    /// A leadership transfer is in progress.
    Transferring,
    /// An earlier change of membership, or the first entry of the term, is not committed.
    ChangePending,
    /// The learner does not durably hold the committed log.
    NotCaughtUp,
    /// The change does not apply to the current membership.
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

/// The position of a proposed entry. The proposal was committed only if the committed entry at
/// `index` has this `term`; a new leader may replace the entry with another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposalPosition {
    /// Log index of the entry.
    pub index: LogIndex,
    /// Term in which the entry was proposed.
    pub term: Term,
}

/// The current role of a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleKind {
    /// Receives the log from a leader.
    Follower,
    /// Asks other voters whether it could win an election.
    PreCandidate,
    /// Requests votes in a new term.
    Candidate,
    /// Replicates its log to the other members.
    Leader,
}

/// A summary of a voter's state for operators and callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Role of the voter.
    pub role: RoleKind,
    /// Current term.
    pub term: Term,
    /// The current leader, if known; may be this voter.
    pub leader: Option<VoterId>,
    /// Index of the last entry known to be committed.
    pub commit: LogIndex,
    /// Index of the last applied entry.
    pub applied: LogIndex,
    /// Index of the last entry in the log.
    pub last: LogIndex,
    /// Index of the last entry covered by the last saved snapshot.
    pub snapshot: LogIndex,
    /// End of the leader's lease by its own clock; until then it serves reads without a quorum
    /// round.
    pub lease_valid_until_ms: Option<u64>,
    /// Current membership, committed or not.
    pub membership: Membership,
}
