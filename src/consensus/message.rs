//! Messages between the voters of a group.

use bytes::Bytes;

use super::entry::{Entry, SnapshotMeta, VoterId};
use crate::ids::{DaemonId, GroupId, Incarnation, LogIndex, Term};

/// One message. A receiver drops it unless `group` and `to` are its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The group that it belongs to.
    pub group: GroupId,
    /// The sender.
    pub from: VoterId,
    /// The receiver, with its incarnation: a voter that lost its folder is another receiver.
    pub to: VoterId,
    /// The sender's term.
    pub term: Term,
    /// What it says.
    pub body: Body,
}

/// A message as it travels: the names of the daemons are known from the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Wire {
    group: GroupId,
    from: Incarnation,
    to: Incarnation,
    term: Term,
    body: Body,
}

impl Message {
    /// The bytes to send to the daemon of `to`.
    pub fn encode(self) -> Vec<u8> {
        let Self { group, from, to, term, body } = self;
        let wire = Wire { group, from: from.incarnation, to: to.incarnation, term, body };
        // The parts hold only types that postcard can write.
        postcard::to_stdvec(&wire).unwrap_or_default()
    }

    /// Reads what the daemon `from` sent to the daemon `to`.
    pub fn decode(bytes: &[u8], from: &DaemonId, to: &DaemonId) -> Option<Self> {
        let Wire { group, from: sender, to: receiver, term, body } =
            postcard::from_bytes(bytes).ok()?;
        let from = VoterId { daemon: from.clone(), incarnation: sender };
        let to = VoterId { daemon: to.clone(), incarnation: receiver };
        Some(Self { group, from, to, term, body })
    }
}

/// Identifies the leader's broadcast that a reply answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Round {
    /// Rises with every read that needs a quorum round.
    pub number: u64,
    /// When the leader sent it, by the leader's clock; the lease counts from here.
    pub sent_ms: u64,
}

/// Names one start of a voter's process, so that answers to an earlier one are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StartId(pub u64);

/// The last entry of a candidate's log, by which its log is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LastEntry {
    /// Its term, compared first.
    pub term: Term,
    /// Its index.
    pub index: LogIndex,
}

/// The kinds of message.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Body {
    /// Asks whether an election in `next_term` could be won, without changing any term.
    PreVote {
        /// The term that the election would have.
        next_term: Term,
        /// The end of the sender's log.
        last: LastEntry,
        /// The start of the sender's process.
        start: StartId,
    },
    /// Answers `PreVote`.
    PreVoteReply {
        /// The term that was asked about.
        next_term: Term,
        /// Whether the vote would be given.
        is_granted: bool,
        /// The `start` that was asked with, if the receiver has followed no leader since its own
        /// start.
        no_leader_since: Option<StartId>,
    },
    /// Asks for a vote in the message's term.
    Vote {
        /// The end of the sender's log.
        last: LastEntry,
        /// Whether no lease can be in force: the leader itself gave its own up and asked for this
        /// election, or every voter has started since the last one was granted.
        is_lease_over: bool,
    },
    /// Answers `Vote`.
    VoteReply {
        /// Whether the vote is given.
        is_granted: bool,
    },
    /// Entries, or none as a heartbeat.
    Append {
        /// The index before the first entry.
        prev_index: LogIndex,
        /// The term at `prev_index`.
        prev_term: Term,
        /// Entries that follow `prev_index`.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The broadcast.
        round: Round,
    },
    /// Answers `Append`, and the last chunk of a snapshot: durable up to `matched`.
    Accepted {
        /// Everything up to here is synced and equal to the leader's log.
        matched: LogIndex,
        /// The broadcast that is answered.
        round: Round,
    },
    /// Answers `Append` when the entry before does not match.
    Rejected {
        /// `prev_index` of the `Append`.
        prev_index: LogIndex,
        /// The last index that may match.
        hint: LogIndex,
        /// The broadcast that is answered.
        round: Round,
    },
    /// A part of a snapshot.
    Chunk {
        /// What the snapshot covers.
        meta: SnapshotMeta,
        /// Where in the snapshot this part begins, in bytes.
        offset: u64,
        /// The size of the whole snapshot, in bytes.
        total_bytes: u64,
        /// The part.
        data: Bytes,
        /// The broadcast.
        round: Round,
    },
    /// Answers `Chunk`: the part that is wanted next.
    ChunkReply {
        /// The last entry that the snapshot covers.
        index: LogIndex,
        /// Where the next part is to begin, in bytes.
        next_offset: u64,
        /// The broadcast that is answered.
        round: Round,
    },
    /// Asks the receiver to hold an election at once.
    TimeoutNow,
}
