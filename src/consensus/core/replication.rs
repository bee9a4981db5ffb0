//! How a leader brings its peers up to its log, with pipelining.

use super::{Core, Role};
use crate::consensus::entry::{Snapshot, VoterId};
use crate::consensus::message::{Body, Round};
use crate::ids::LogIndex;

/// Most bytes of entries in one message.
const MAX_APPEND_BYTES: usize = 256 * 1024;
/// Most entries sent to a peer beyond what it has accepted.
const MAX_IN_FLIGHT_ENTRIES: u64 = 8192;

/// How entries are sent to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// The end of its log is being looked for, one empty message at a time.
    Probe,
    /// Entries are sent as they come, without waiting for answers.
    Pipeline,
    /// It is sent a snapshot, as far as `offset` bytes.
    Snapshot {
        /// The last entry that the snapshot covers.
        index: LogIndex,
        /// The next byte to send.
        offset: u64,
    },
}

/// What a leader knows of one peer.
#[derive(Debug)]
pub(super) struct Progress {
    pub id: VoterId,
    /// It durably holds the leader's log up to here.
    pub matched: LogIndex,
    /// The next entry to send.
    pub next: LogIndex,
    pub mode: Mode,
    /// The snapshot that it is being sent.
    pub outgoing: Option<Snapshot>,
    /// When something was last sent to it.
    pub sent_ms: u64,
    /// Set when a message is to go out without waiting for the heartbeat.
    pub is_due: bool,
    /// The commit index that it was last told.
    told_commit: LogIndex,
    /// The latest broadcast that it answered.
    pub answered: Option<Round>,
}

impl Progress {
    pub(super) fn new(id: VoterId, next: LogIndex) -> Self {
        Self {
            id,
            matched: LogIndex(0),
            next,
            mode: Mode::Probe,
            outgoing: None,
            sent_ms: 0,
            is_due: true,
            told_commit: LogIndex(0),
            answered: None,
        }
    }
}

/// The next message for a peer.
enum Step {
    Nothing,
    Append { from: LogIndex, to: LogIndex },
    Chunk { offset: u64 },
}

impl Core {
    /// Sends each peer what it lacks, and a heartbeat when one is due.
    pub(super) fn replicate(&mut self, now_ms: u64) {
        let Role::Leader(leader) = &self.role else { return };
        let ids: Vec<VoterId> = leader.peers.iter().map(|peer| peer.id.clone()).collect();
        for id in ids {
            while self.replicate_to(now_ms, &id) {}
        }
    }

    /// Sends one message, if one is called for. Returns whether more may follow at once.
    fn replicate_to(&mut self, now_ms: u64, id: &VoterId) -> bool {
        self.fall_back_to_snapshot(id);
        match self.next_step(now_ms, id) {
            Step::Nothing => false,
            Step::Append { from, to } => self.send_entries(now_ms, id, from, to),
            Step::Chunk { offset } => {
                self.send_chunk(now_ms, id, offset);
                false
            }
        }
    }

    fn next_step(&self, now_ms: u64, id: &VoterId) -> Step {
        let Role::Leader(leader) = &self.role else { return Step::Nothing };
        let Some(peer) = leader.peer(id) else { return Step::Nothing };
        let is_heartbeat_due = now_ms >= peer.sent_ms + self.config.timing.heartbeat_ms;
        let is_due = peer.is_due || is_heartbeat_due;
        let last = self.log.last().index;
        let before = LogIndex(peer.next.0 - 1);
        match peer.mode {
            Mode::Snapshot { offset, .. } if is_due => Step::Chunk { offset },
            Mode::Probe if is_due => Step::Append { from: peer.next, to: before },
            Mode::Snapshot { .. } | Mode::Probe => Step::Nothing,
            Mode::Pipeline => {
                let limit = LogIndex(peer.matched.0 + MAX_IN_FLIGHT_ENTRIES).min(last);
                if peer.next <= limit {
                    return Step::Append { from: peer.next, to: limit };
                }
                if is_due || peer.told_commit < self.commit {
                    return Step::Append { from: peer.next, to: before };
                }
                Step::Nothing
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
        peer.told_commit = commit;
        self.send(id, Body::Append { prev_index, prev_term, entries, commit, round });
        true
    }

    /// Notes an answer of this term, whatever it says. Returns the peer.
    pub(super) fn note_answer(&mut self, from: &VoterId, round: Round) -> Option<&mut Progress> {
        let Role::Leader(leader) = &mut self.role else { return None };
        let peer = leader.peer_mut(from)?;
        peer.answered = peer.answered.max(Some(round));
        Some(peer)
    }

    pub(super) fn on_accepted(&mut self, from: &VoterId, matched: LogIndex, round: Round) {
        let Some(peer) = self.note_answer(from, round) else { return };
        peer.matched = peer.matched.max(matched);
        peer.next = peer.next.max(peer.matched.next());
        match peer.mode {
            Mode::Snapshot { index, .. } if matched < index => {}
            Mode::Pipeline => {}
            Mode::Snapshot { .. } | Mode::Probe => {
                peer.mode = Mode::Pipeline;
                peer.outgoing = None;
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
        let Some(peer) = self.note_answer(from, round) else { return };
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

    /// Commits what a majority durably holds, if it is of this term (Raft paper, 5.4.2).
    pub(super) fn advance_commit(&mut self) {
        let matched = self.quorum_value(self.durable, |peer| peer.matched);
        if matched > self.commit && self.log.term_at(matched) == Some(self.hard.term) {
            self.commit = matched;
        }
    }
}
