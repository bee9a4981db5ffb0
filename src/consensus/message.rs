//! Messages between the voters of a group.

use bytes::Bytes;

use super::entry::{Entry, SnapshotMeta, VoterId};
use crate::ids::{DaemonId, GroupId, Incarnation, LogIndex, Term};

/// One protocol message. A receiver drops it unless `group` and `to` match its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The group of sender and receiver.
    pub group: GroupId,
    /// The sender.
    pub from: VoterId,
    /// The receiver. A voter that lost its folder has another incarnation and drops the message.
    pub to: VoterId,
    /// The sender's current term.
    pub term: Term,
    /// Kind and content of the message.
    pub body: Body,
}

/// Encoding of a message. The daemon names are omitted since the connection implies them.
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
    /// Encodes the message for sending to the daemon of `to`.
    pub fn encode(self) -> Vec<u8> {
        let Self { group, from, to, term, body } = self;
        let wire = Wire { group, from: from.incarnation, to: to.incarnation, term, body };
        // Cannot fail: all fields are of types that postcard can encode.
        postcard::to_stdvec(&wire).unwrap_or_default()
    }

    /// Decodes a message that the daemon `from` sent to the daemon `to`.
    pub fn decode(bytes: &[u8], from: &DaemonId, to: &DaemonId) -> Option<Self> {
        let Wire { group, from: sender, to: receiver, term, body } =
            postcard::from_bytes(bytes).ok()?;
        let from = VoterId { daemon: from.clone(), incarnation: sender };
        let to = VoterId { daemon: to.clone(), incarnation: receiver };
        Some(Self { group, from, to, term, body })
    }
}

/// Identifies the leader's request that a reply belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Round {
    /// Number of the quorum round; increases with every read that needs one.
    pub number: u64,
    /// When the leader sent the request, by its own clock. The lease starts at this time.
    pub sent_ms: u64,
}

/// Random id of one start of a voter's process, to detect replies to requests of an earlier start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StartId(pub u64);

/// Position of the last entry of a log, for comparing logs in elections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LastEntry {
    /// Term of the entry, compared first.
    pub term: Term,
    /// Index of the entry.
    pub index: LogIndex,
}

/// Kind and content of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender in `next_term`. Changes no term.
    PreVote {
        /// Term of the possible election.
        next_term: Term,
        /// Last entry of the sender's log.
        last: LastEntry,
        /// Id of the start of the sender's process.
        start: StartId,
    },
    /// Replies to `PreVote`.
    PreVoteReply {
        /// `next_term` of the `PreVote`.
        next_term: Term,
        /// Whether the receiver would grant the vote.
        is_granted: bool,
        /// `start` of the `PreVote`, if the replying voter has neither followed a leader nor led
        /// since it started.
        no_leader_since: Option<StartId>,
    },
    /// Requests a vote in the term of the message.
    Vote {
        /// Last entry of the sender's log.
        last: LastEntry,
        /// Whether no lease can be in force: the leader abandoned its lease and requested this
        /// election, or every voter has restarted since the last lease was granted.
        is_lease_over: bool,
    },
    /// Replies to `Vote`.
    VoteReply {
        /// Whether the vote is granted.
        is_granted: bool,
    },
    /// Carries entries, or none as a heartbeat.
    Append {
        /// Index of the entry before the first one sent.
        prev_index: LogIndex,
        /// Term of the entry at `prev_index`.
        prev_term: Term,
        /// Entries that follow `prev_index`.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// The quorum round and send time.
        round: Round,
    },
    /// Replies to `Append`, and to the last chunk of a snapshot, once the data is durable.
    Accepted {
        /// The log is synced and equal to the leader's up to this index.
        matched: LogIndex,
        /// `round` of the request.
        round: Round,
    },
    /// Replies to `Append` if the entry at `prev_index` does not match.
    Rejected {
        /// `prev_index` of the `Append`.
        prev_index: LogIndex,
        /// The last index that may match.
        hint: LogIndex,
        /// `round` of the request.
        round: Round,
    },
    /// Carries one chunk of a snapshot.
    Chunk {
        /// Position and membership that the snapshot covers.
        meta: SnapshotMeta,
        /// Offset of this chunk in the snapshot, in bytes.
        offset: u64,
        /// The size of the whole snapshot, in bytes.
        total_bytes: u64,
        /// Content of the chunk.
        data: Bytes,
        /// The quorum round and send time.
        round: Round,
    },
    /// Replies to `Chunk` with the offset of the next chunk to send.
    ChunkReply {
        /// The last entry that the snapshot covers.
        index: LogIndex,
        /// Offset of the next chunk, in bytes.
        next_offset: u64,
        /// `round` of the request.
        round: Round,
    },
    /// Asks the receiver to start an election at once (leadership transfer).
    TimeoutNow,
}
