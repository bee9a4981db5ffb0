//! Raft terms, votes and elections, with pre-vote.

use rand::Rng as _;

use super::{Core, Role};
use crate::consensus::entry::VoterId;
use crate::consensus::message::{Body, LastEntry, Message, StartId};
use crate::ids::Term;

impl Core {
    /// Schedules the first election after a start: at once for a single voter, else after a random
    /// fraction of the jitter without a full election timeout. A new group has no leader to wait
    /// for, nor has a group whose voters have all restarted.
    pub(super) fn schedule_first_election(&mut self, now_ms: u64) {
        let is_only_voter = self.log.membership().voters == [self.config.id.clone()];
        if is_only_voter {
            self.election_due_ms = now_ms;
        } else {
            let jitter_ms = self.config.timing.election_jitter_ms;
            let wait_ms = self.rng.random_range(0..jitter_ms);
            self.election_due_ms = now_ms + if self.may_have_led() { 0 } else { wait_ms };
        }
    }

    /// Whether this voter was a candidate in the current term and the term had a leader, which in
    /// most cases was this voter.
    fn may_have_led(&self) -> bool {
        self.has_entry_of_current_term() && self.hard.vote.as_ref() == Some(&self.config.id)
    }

    /// Whether the log holds an entry of the current term, which proves that the term had a leader.
    fn has_entry_of_current_term(&self) -> bool {
        self.log.last().term == self.hard.term
    }

    pub(super) fn reset_election_timer(&mut self, now_ms: u64) {
        let timing = &self.config.timing;
        let jitter_ms = self.rng.random_range(0..timing.election_jitter_ms);
        self.election_due_ms = now_ms + timing.election_ms + jitter_ms;
    }

    /// Whether a leader's lease may depend on this voter, which then must not help elect another.
    fn is_bound_by_lease(&self, now_ms: u64) -> bool {
        let until_ms = self.leader_heard_ms + self.config.timing.election_ms;
        self.is_leader() || (self.has_heard_leader && now_ms < until_ms)
    }

    /// Adopts the term of a message if it is newer. Returns whether the message is to be handled.
    pub(super) fn accept_term(&mut self, now_ms: u64, message: &Message) -> bool {
        if message.term == self.hard.term || self.is_exempt_from_terms(message) {
            return true;
        }
        if message.term < self.hard.term {
            self.reject_old_term(message);
            return false;
        }
        match message.body {
            Body::Vote { is_lease_over: false, .. } if self.is_bound_by_lease(now_ms) => false,
            Body::Append { .. } | Body::Chunk { .. } => {
                self.become_follower(now_ms, message.term, Some(message.from.clone()));
                true
            }
            _ => {
                self.become_follower(now_ms, message.term, None);
                true
            }
        }
    }

    /// Whether the term of a message is not compared: a pre-vote changes no term, and a voter in an
    /// older term may grant one.
    fn is_exempt_from_terms(&self, message: &Message) -> bool {
        match message.body {
            Body::PreVote { .. } => true,
            Body::PreVoteReply { .. } => message.term < self.hard.term,
            _ => false,
        }
    }

    /// Replies to a request of an older term with the current term, so that the sender steps down.
    fn reject_old_term(&mut self, message: &Message) {
        let body = match &message.body {
            Body::Append { prev_index, round, .. } => {
                Body::Rejected { prev_index: *prev_index, hint: *prev_index, round: *round }
            }
            Body::Chunk { meta, round, .. } => {
                Body::ChunkReply { index: meta.index, next_offset: 0, round: *round }
            }
            Body::Vote { .. } => Body::VoteReply { is_granted: false },
            _ => return,
        };
        self.send(&message.from, body);
    }

    pub(super) fn become_follower(&mut self, now_ms: u64, term: Term, leader: Option<VoterId>) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.persist_hard();
            self.incoming_snapshot = None;
        }
        self.fail_reads();
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer(now_ms);
    }

    fn is_up_to_date(&self, last: LastEntry) -> bool {
        last >= self.log.last()
    }

    fn other_voters(&self) -> Vec<VoterId> {
        let voters = &self.log.membership().voters;
        voters.iter().filter(|id| **id != self.config.id).cloned().collect()
    }

    /// Schedules the next attempt after a split vote or an unanswered election, sooner than an
    /// election timeout because there is no leader to wait for. A restarted voter that probably
    /// led before retries sixteen times as often while the others may be starting: the previous
    /// leader knows the state of the fleet and is preferred.
    fn schedule_election_retry(&mut self, now_ms: u64) {
        let jitter_ms = self.config.timing.election_jitter_ms;
        let pause_ms = jitter_ms / 2 + self.rng.random_range(0..jitter_ms);
        let is_eager = self.has_seen_no_leader && self.may_have_led();
        self.election_due_ms = now_ms + if is_eager { 1 + pause_ms / 16 } else { pause_ms };
    }

    /// Whether no lease of an earlier leader can be in force.
    ///
    /// A log that holds an entry of the current term lists the leader of that term among its
    /// voters. If none of these voters has followed a leader since it started, the leader itself
    /// has restarted and no longer leads.
    fn is_lease_over(&self) -> bool {
        let Role::PreCandidate { without_leader, .. } = &self.role else { return false };
        let others = self.other_voters();
        self.has_seen_no_leader
            && self.has_entry_of_current_term()
            && others.iter().all(|voter| without_leader.contains(voter))
    }

    pub(super) fn start_pre_vote(&mut self, now_ms: u64) {
        self.schedule_election_retry(now_ms);
        if !self.log.membership().is_voter(&self.config.id) {
            return;
        }
        self.leader = None;
        self.role =
            Role::PreCandidate { grants: vec![self.config.id.clone()], without_leader: Vec::new() };
        let next_term = self.hard.term.next();
        let (last, start) = (self.log.last(), self.start_id);
        for voter in self.other_voters() {
            self.send(&voter, Body::PreVote { next_term, last, start });
        }
        if self.log.membership().quorum() == 1 {
            self.start_election(now_ms, false);
        }
    }

    pub(super) fn on_pre_vote(
        &mut self,
        now_ms: u64,
        from: VoterId,
        next_term: Term,
        last: LastEntry,
        start: StartId,
    ) {
        let is_granted = next_term > self.hard.term
            && !self.is_bound_by_lease(now_ms)
            && self.is_up_to_date(last);
        let no_leader_since = self.has_seen_no_leader.then_some(start);
        self.send(&from, Body::PreVoteReply { next_term, is_granted, no_leader_since });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now_ms: u64,
        from: VoterId,
        next_term: Term,
        is_granted: bool,
        no_leader_since: Option<StartId>,
    ) {
        let is_current = next_term == self.hard.term.next();
        let is_voter = self.log.membership().is_voter(&from);
        let Role::PreCandidate { grants, without_leader } = &mut self.role else { return };
        if !is_current || !is_voter {
            return;
        }
        if no_leader_since == Some(self.start_id) {
            insert_sorted(without_leader, &from);
        }
        if is_granted {
            insert_sorted(grants, &from);
        }
        let has_majority = grants.len() >= self.log.membership().quorum();
        let is_lease_over = self.is_lease_over();
        // Right after its start, this voter may itself still be bound by a lease.
        if (has_majority && !self.is_bound_by_lease(now_ms)) || is_lease_over {
            self.start_election(now_ms, is_lease_over);
        }
    }

    pub(super) fn start_election(&mut self, now_ms: u64, is_lease_over: bool) {
        if self.is_leader() || !self.log.membership().is_voter(&self.config.id) {
            return;
        }
        self.hard.term = self.hard.term.next();
        self.hard.vote = Some(self.config.id.clone());
        self.persist_hard();
        self.incoming_snapshot = None;
        self.leader = None;
        self.role = Role::Candidate { grants: vec![self.config.id.clone()] };
        self.schedule_election_retry(now_ms);
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send(&voter, Body::Vote { last, is_lease_over });
        }
    }

    pub(super) fn on_vote(
        &mut self,
        now_ms: u64,
        from: VoterId,
        last: LastEntry,
        is_lease_over: bool,
    ) {
        let can_vote = self.hard.vote.as_ref().is_none_or(|vote| *vote == from);
        let is_allowed = is_lease_over || !self.is_bound_by_lease(now_ms);
        let is_granted = can_vote && is_allowed && self.is_up_to_date(last);
        if is_granted {
            if self.hard.vote.is_none() {
                self.hard.vote = Some(from.clone());
                self.persist_hard();
            }
            self.reset_election_timer(now_ms);
        }
        self.send(&from, Body::VoteReply { is_granted });
    }

    pub(super) fn on_vote_reply(&mut self, now_ms: u64, from: VoterId, is_granted: bool) {
        let is_voter = self.log.membership().is_voter(&from);
        let Role::Candidate { grants } = &mut self.role else { return };
        if !is_granted || !is_voter {
            return;
        }
        insert_sorted(grants, &from);
        self.try_become_leader(now_ms);
    }

    /// Becomes leader once a majority has voted for this voter and its own vote is durable.
    pub(super) fn try_become_leader(&mut self, now_ms: u64) {
        let Role::Candidate { grants } = &self.role else { return };
        let is_durable = self.hard_write <= self.synced;
        if is_durable && grants.len() >= self.log.membership().quorum() {
            self.become_leader(now_ms);
        }
    }
}

fn insert_sorted(voters: &mut Vec<VoterId>, voter: &VoterId) {
    if let Err(at) = voters.binary_search(voter) {
        voters.insert(at, voter.clone());
    }
}
