//! Log replication from the leader to its peers, with pipelining.

use super::{Core, Role};
use crate::consensus::entry::{Snapshot, VoterId};
use crate::consensus::message::{Body, Round};
use crate::ids::LogIndex;

/// Maximum bytes of entries in one message.
const MAX_APPEND_BYTES: usize = 256 * 1024;
/// Maximum number of entries sent to a peer beyond the last one that it has accepted.
const MAX_IN_FLIGHT_ENTRIES: u64 = 8192;

/// How the leader replicates to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// Searches for the last matching entry, with one empty `Append` at a time.
    Probe,
    /// Sends entries as they are appended, without waiting for replies.
    Pipeline,
    /// Sends a snapshot, chunk by chunk.
    Snapshot {
        /// The last entry that the snapshot covers.
        index: LogIndex,
        /// The next byte to send.
        offset: u64,
    },
}

/// Replication progress of one peer.
#[derive(Debug)]
pub(super) struct Progress {
    pub id: VoterId,
    /// The peer durably holds the leader's log up to this index.
    pub matched: LogIndex,
    /// Index of the next entry to send.
    pub next: LogIndex,
    pub mode: Mode,
    /// The snapshot that is being sent to the peer.
    pub outgoing_snapshot: Option<Snapshot>,
    /// When the last message was sent to the peer.
    pub sent_ms: u64,
    /// Whether a message is to be sent without waiting for the next heartbeat.
    pub is_due: bool,
    /// The commit index in the last message to the peer.
    sent_commit: LogIndex,
    /// The latest quorum round that the peer replied to.
    pub last_replied_round: Option<Round>,
}

impl Progress {
    pub(super) fn new(id: VoterId, next: LogIndex) -> Self {
        Self {
            id,
            matched: LogIndex(0),
            next,
            mode: Mode::Probe,
            outgoing_snapshot: None,
            sent_ms: 0,
            is_due: true,
            sent_commit: LogIndex(0),
            last_replied_round: None,
        }
    }
}

/// The next message for a peer.
enum NextMessage {
    Nothing,
    Append { from: LogIndex, to: LogIndex },
    Chunk { offset: u64 },
}

impl Core {
    /// Sends each peer its missing entries or snapshot chunks, and a heartbeat when one is due.
    pub(super) fn replicate(&mut self, now_ms: u64) {
        let Role::Leader(leader) = &self.role else { return };
        let ids: Vec<VoterId> = leader.peers.iter().map(|peer| peer.id.clone()).collect();
        for id in ids {
            while self.replicate_to(now_ms, &id) {}
        }
    }

    /// Sends the next message to a peer, if any. Returns whether another may follow at once.
    fn replicate_to(&mut self, now_ms: u64, id: &VoterId) -> bool {
        self.fall_back_to_snapshot(id);
        match self.next_message(now_ms, id) {
            NextMessage::Nothing => false,
            NextMessage::Append { from, to } => self.send_entries(now_ms, id, from, to),
            NextMessage::Chunk { offset } => {
                self.send_chunk(now_ms, id, offset);
                false
            }
        }
    }

    fn next_message(&self, now_ms: u64, id: &VoterId) -> NextMessage {
        let Role::Leader(leader) = &self.role else { return NextMessage::Nothing };
        let Some(peer) = leader.peer(id) else { return NextMessage::Nothing };
        let is_heartbeat_due = now_ms >= peer.sent_ms + self.config.timing.heartbeat_ms;
        let is_due = peer.is_due || is_heartbeat_due;
        let last = self.log.last().index;
        let before = LogIndex(peer.next.0 - 1);
        match peer.mode {
            Mode::Snapshot { offset, .. } if is_due => NextMessage::Chunk { offset },
            Mode::Probe if is_due => NextMessage::Append { from: peer.next, to: before },
            Mode::Snapshot { .. } | Mode::Probe => NextMessage::Nothing,
            Mode::Pipeline => {
                let limit = LogIndex(peer.matched.0 + MAX_IN_FLIGHT_ENTRIES).min(last);
                if peer.next <= limit {
                    return NextMessage::Append { from: peer.next, to: limit };
                }
                if is_due || peer.sent_commit < self.commit {
                    return NextMessage::Append { from: peer.next, to: before };
                }
                NextMessage::Nothing
            }
        }
    }

    fn send_entries(&mut self, now_ms: u64, id: &VoterId, from: LogIndex, to: LogIndex) -> bool {
        let prev_index = LogIndex(from.0 - 1);
        let Some(prev_term) = self.log.term_at(prev_index) else { return false };
        let entries = self.log.slice(from, to, MAX_APPEND_BYTES);
        let next = LogIndex(from.0 + entries.len() as u64);
        let commit = self.commit;
        let round = self.current_round(now_ms);
        let Role::Leader(leader) = &mut self.role else { return false };
        let Some(peer) = leader.peer_mut(id) else { return false };
        peer.next = next;
        peer.sent_ms = now_ms;
        peer.is_due = false;
        peer.sent_commit = commit;
        self.send(id, Body::Append { prev_index, prev_term, entries, commit, round });
        true
    }

    /// Records that a peer replied in this term, with success or not. Returns the peer.
    pub(super) fn record_reply(&mut self, from: &VoterId, round: Round) -> Option<&mut Progress> {
        let Role::Leader(leader) = &mut self.role else { return None };
        let peer = leader.peer_mut(from)?;
        peer.last_replied_round = peer.last_replied_round.max(Some(round));
        Some(peer)
    }

    pub(super) fn on_accepted(&mut self, from: &VoterId, matched: LogIndex, round: Round) {
        let Some(peer) = self.record_reply(from, round) else { return };
        peer.matched = peer.matched.max(matched);
        peer.next = peer.next.max(peer.matched.next());
        match peer.mode {
            Mode::Snapshot { index, .. } if matched < index => {}
            Mode::Pipeline => {}
            Mode::Snapshot { .. } | Mode::Probe => {
                peer.mode = Mode::Pipeline;
                peer.outgoing_snapshot = None;
                peer.next = peer.matched.next();
            }
        }
        self.advance_commit();
        self.continue_transfer(from);
    }

    pub(super) fn on_rejected(
        &mut self,
        from: &VoterId,
        prev_index: LogIndex,
        hint: LogIndex,
        round: Round,
    ) {
        let Some(peer) = self.record_reply(from, round) else { return };
        let is_stale = match peer.mode {
            Mode::Probe => prev_index.next() != peer.next,
            Mode::Pipeline => prev_index <= peer.matched,
            Mode::Snapshot { .. } => true,
        };
        if is_stale {
            return;
        }
        let next = hint.next().min(prev_index);
        peer.next = next.max(peer.matched.next());
        peer.mode = Mode::Probe;
        peer.is_due = true;
    }

    /// Advances the commit index to the last entry that a majority durably holds, if that entry is
    /// of the current term (Raft paper, 5.4.2).
    pub(super) fn advance_commit(&mut self) {
        let matched = self.quorum_value(self.durable, |peer| peer.matched);
        if matched > self.commit && self.log.term_at(matched) == Some(self.hard.term) {
            self.commit = matched;
        }
    }
}
