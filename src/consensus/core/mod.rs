//! The Raft protocol of one voter as a state machine that performs no I/O.
//!
//! Raft after D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm"
//! (USENIX ATC 2014), and D. Ongaro, "Consensus: Bridging Theory and Practice" (dissertation,
//! Stanford 2014): membership changes of one server at a time and learners (chapter 4, with the
//! rule of his raft-dev note of July 2015 that a leader first commits an entry of its own term),
//! leadership transfer (3.10), snapshots (chapter 5), check-quorum and lease reads (6.2, 6.4),
//! pre-vote (9.6), pipelining and writing in parallel with sending (10.2).
//!
//! The caller passes in the time and each event, then collects [`Action`]s with
//! [`Core::take_actions`] and carries them out in order. A message that depends on durable state
//! is held back until [`Core::synced`] reports the number of the write that holds this state.

mod changes;
mod election;
mod follower;
mod leader;
mod reads;
mod replication;
mod snapshots;
mod types;

use std::collections::VecDeque;

use rand::Rng as _;

use super::entry::{Entry, HardState, Payload, Snapshot, VoterId};
use super::log::Log;
use super::message::{Body, Message, StartId};
use crate::ids::{LogIndex, Term};
use crate::storage::record::Record;

pub use changes::MembershipChange;
use leader::Leader;
use snapshots::IncomingSnapshot;
pub use types::{Action, Config, ProposalPosition, Refusal, RoleKind, Status, StoredState};

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate {
        grants: Vec<VoterId>,
        /// Other voters that have followed no leader since they started.
        without_leader: Vec<VoterId>,
    },
    Candidate {
        grants: Vec<VoterId>,
    },
    Leader(Box<Leader>),
}

/// A message that must not be sent before a write is synced.
struct HeldMessage {
    write: u64,
    message: Message,
}

/// The last entry of a write that is not synced yet; once it is, the log is durable up to `end`.
struct UnsyncedWrite {
    write: u64,
    end: LogIndex,
    term: Term,
}

/// One voter of one group.
pub struct Core {
    config: Config,
    rng: Box<dyn rand::RngCore>,
    hard: HardState,
    log: Log,
    snapshot: Snapshot,
    is_saving_snapshot: bool,
    commit: LogIndex,
    applied: LogIndex,
    role: Role,
    leader: Option<VoterId>,
    /// When the leader last sent a message. For `election_ms` from then on, this voter grants no
    /// other candidate a vote.
    leader_heard_ms: u64,
    has_heard_leader: bool,
    start_id: StartId,
    /// Whether this voter has neither followed a leader nor led since it started.
    has_seen_no_leader: bool,
    election_due_ms: u64,
    incoming_snapshot: Option<IncomingSnapshot>,
    /// Records of the next write, whose number is `writes + 1`.
    pending_records: Vec<Record>,
    writes: u64,
    synced: u64,
    hard_write: u64,
    entries_write: u64,
    unsynced_writes: VecDeque<UnsyncedWrite>,
    durable: LogIndex,
    held_messages: Vec<HeldMessage>,
    actions: Vec<Action>,
}

impl Core {
    /// Creates a voter from the state in its data folder.
    pub fn new(
        config: Config,
        stored: StoredState,
        now_ms: u64,
        mut rng: Box<dyn rand::RngCore>,
    ) -> Self {
        let log = Log::new(&stored.snapshot.meta, stored.entries);
        let start = stored.snapshot.meta.index;
        let durable = log.last().index;
        // A voter with a term may have acknowledged a leader's lease right before it stopped.
        let has_heard_leader = stored.hard.term > Term(0);
        let start_id = StartId(rng.random());
        let mut core = Self {
            config,
            rng,
            start_id,
            has_seen_no_leader: true,
            hard: stored.hard,
            log,
            snapshot: stored.snapshot,
            is_saving_snapshot: false,
            commit: start,
            applied: start,
            role: Role::Follower,
            leader: None,
            leader_heard_ms: now_ms,
            has_heard_leader,
            election_due_ms: now_ms,
            incoming_snapshot: None,
            pending_records: Vec::new(),
            writes: 0,
            synced: 0,
            hard_write: 0,
            entries_write: 0,
            unsynced_writes: VecDeque::new(),
            durable,
            held_messages: Vec::new(),
            actions: Vec::new(),
        };
        core.schedule_first_election(now_ms);
        core
    }

    /// This voter's id.
    pub fn id(&self) -> &VoterId {
        &self.config.id
    }

    /// The current leader, if known; may be this voter.
    pub fn leader(&self) -> Option<&VoterId> {
        self.leader.as_ref()
    }

    /// Whether this voter is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// A summary of this voter's state.
    pub fn status(&self, now_ms: u64) -> Status {
        let role = match self.role {
            Role::Follower => RoleKind::Follower,
            Role::PreCandidate { .. } => RoleKind::PreCandidate,
            Role::Candidate { .. } => RoleKind::Candidate,
            Role::Leader(_) => RoleKind::Leader,
        };
        Status {
            role,
            term: self.hard.term,
            leader: self.leader.clone(),
            commit: self.commit,
            applied: self.applied,
            last: self.log.last().index,
            snapshot: self.snapshot.meta.index,
            lease_valid_until_ms: self.lease_until_ms(now_ms),
            membership: self.log.membership().clone(),
        }
    }

    /// The log in memory.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// When [`Core::tick`] must be called next.
    pub fn next_tick_ms(&self) -> u64 {
        match &self.role {
            Role::Leader(leader) => leader.next_tick_ms(&self.config.timing),
            _ => self.election_due_ms,
        }
    }

    /// Starts an election, ends a lost leadership or expires a transfer if its time has come.
    pub fn tick(&mut self, now_ms: u64) {
        if self.is_leader() {
            self.tick_leader(now_ms);
        } else if now_ms >= self.election_due_ms {
            self.start_pre_vote(now_ms);
        }
    }

    /// Handles a message. Messages for another group or voter are dropped.
    pub fn receive(&mut self, now_ms: u64, message: Message) {
        if message.group != self.config.group || message.to != self.config.id {
            return;
        }
        if !self.accept_term(now_ms, &message) {
            return;
        }
        let Message { from, body, .. } = message;
        match body {
            Body::PreVote { next_term, last, start } => {
                self.on_pre_vote(now_ms, from, next_term, last, start);
            }
            Body::PreVoteReply { next_term, is_granted, no_leader_since } => {
                self.on_pre_vote_reply(now_ms, from, next_term, is_granted, no_leader_since);
            }
            Body::Vote { last, is_lease_over } => self.on_vote(now_ms, from, last, is_lease_over),
            Body::VoteReply { is_granted } => self.on_vote_reply(now_ms, from, is_granted),
            Body::Append { prev_index, prev_term, entries, commit, round } => {
                self.on_append(now_ms, from, (prev_index, prev_term), entries, commit, round);
            }
            Body::Chunk { meta, offset, total_bytes, data, round } => {
                self.on_chunk(now_ms, from, meta, (offset, total_bytes, data), round);
            }
            Body::Accepted { matched, round } => self.on_accepted(&from, matched, round),
            Body::Rejected { prev_index, hint, round } => {
                self.on_rejected(&from, prev_index, hint, round);
            }
            Body::ChunkReply { index, next_offset, round } => {
                self.on_chunk_reply(&from, index, next_offset, round);
            }
            Body::TimeoutNow => self.start_election(now_ms, true),
        }
    }

    /// Appends a command to the log, if this voter is the leader.
    ///
    /// # Errors
    /// The reason why nothing was proposed.
    pub fn propose(&mut self, command: bytes::Bytes) -> Result<ProposalPosition, Refusal> {
        let Role::Leader(leader) = &self.role else {
            return Err(Refusal::NotLeader(self.leader.clone()));
        };
        if leader.is_transferring() {
            return Err(Refusal::Transferring);
        }
        Ok(self.append_entry(Payload::Command(command)))
    }

    /// Records that all writes up to `write` are synced.
    pub fn synced(&mut self, now_ms: u64, write: u64) {
        self.synced = self.synced.max(write);
        while let Some(own) = self.unsynced_writes.front()
            && own.write <= self.synced
        {
            // A later truncation may have replaced the entries of this write.
            if self.log.term_at(own.end) == Some(own.term) {
                self.durable = self.durable.max(own.end);
            }
            self.unsynced_writes.pop_front();
        }
        let held = std::mem::take(&mut self.held_messages);
        for HeldMessage { write, message } in held {
            self.send_after(write, message);
        }
        self.try_become_leader(now_ms);
        self.advance_commit();
    }

    /// Closes the current write and returns the pending actions.
    pub fn take_actions(&mut self, now_ms: u64) -> Vec<Action> {
        self.replicate(now_ms);
        self.close_write();
        self.apply_committed();
        self.serve_reads();
        std::mem::take(&mut self.actions)
    }

    fn close_write(&mut self) {
        if self.pending_records.is_empty() {
            return;
        }
        self.writes += 1;
        let records = std::mem::take(&mut self.pending_records);
        // The write is started before the messages of the same step are sent.
        self.actions.push(Action::Persist { write: self.writes, records });
    }

    fn apply_committed(&mut self) {
        if self.commit <= self.applied {
            return;
        }
        let entries = self.log.slice(self.applied.next(), self.commit, usize::MAX);
        self.applied = self.commit;
        self.actions.push(Action::Apply(entries));
        self.request_snapshot_if_due();
    }

    fn persist_hard(&mut self) {
        self.pending_records.push(Record::Hard(self.hard.clone()));
        self.hard_write = self.writes + 1;
    }

    fn persist_entries(&mut self, entries: &[Entry]) {
        let Some(last) = entries.last() else { return };
        self.pending_records.extend(entries.iter().cloned().map(Record::Entry));
        let write = self.writes + 1;
        self.entries_write = write;
        self.unsynced_writes.push_back(UnsyncedWrite { write, end: last.index, term: last.term });
    }

    fn append_entry(&mut self, payload: Payload) -> ProposalPosition {
        let term = self.hard.term;
        let index = self.log.last().index.next();
        let entry = Entry { index, term, payload };
        self.persist_entries(std::slice::from_ref(&entry));
        self.log.push(entry);
        ProposalPosition { index, term }
    }

    fn message(&self, to: &VoterId, body: Body) -> Message {
        Message {
            group: self.config.group,
            from: self.config.id.clone(),
            to: to.clone(),
            term: self.hard.term,
            body,
        }
    }

    /// Sends a message once the current term and vote are durable.
    fn send(&mut self, to: &VoterId, body: Body) {
        let message = self.message(to, body);
        self.send_after(self.hard_write, message);
    }

    /// Sends a message once the current term, vote and entries are durable.
    fn send_after_entries(&mut self, to: &VoterId, body: Body) {
        let message = self.message(to, body);
        self.send_after(self.hard_write.max(self.entries_write), message);
    }

    fn send_after(&mut self, write: u64, message: Message) {
        if write <= self.synced {
            self.actions.push(Action::Send(message));
        } else {
            self.held_messages.push(HeldMessage { write, message });
        }
    }
}
