//! Terms, votes and elections, with pre-vote.

use rand::Rng as _;

use super::{Core, Role};
use crate::consensus::entry::VoterId;
use crate::consensus::message::{Body, LastEntry, Message, StartId};
use crate::ids::Term;

impl Core {
    /// A single voter need not wait for anyone. Others ask soon: a new group has no old leader, and
    /// one whose voters have all started again has none any more.
    pub(super) fn plan_first_election(&mut self, now_ms: u64) {
        let is_alone = self.log.membership().voters == [self.config.id.clone()];
        if is_alone {
            self.election_due_ms = now_ms;
        } else {
            let jitter_ms = self.config.timing.election_jitter_ms;
            let wait_ms = self.rng.random_range(0..jitter_ms);
            self.election_due_ms = now_ms + if self.may_have_led() { 0 } else { wait_ms };
        }
    }

    /// Whether it stood in the newest term, and somebody led in it: mostly this voter.
    fn may_have_led(&self) -> bool {
        self.is_newest_led() && self.hard.vote.as_ref() == Some(&self.config.id)
    }

    /// Whether the log holds an entry of the newest term, so that somebody has led in it.
    fn is_newest_led(&self) -> bool {
        self.log.last().term == self.hard.term
    }

    pub(super) fn reset_election(&mut self, now_ms: u64) {
        let timing = &self.config.timing;
        let jitter_ms = self.rng.random_range(0..timing.election_jitter_ms);
        self.election_due_ms = now_ms + timing.election_ms + jitter_ms;
    }

    /// Whether this voter upholds a leader, whose lease may rest on it.
    fn upholds_leader(&self, now_ms: u64) -> bool {
        let until_ms = self.heard_ms + self.config.timing.election_ms;
        self.is_leader() || (self.is_leader_heard && now_ms < until_ms)
    }

    /// Brings the term up to that of a message. Returns whether the message is to be handled.
    pub(super) fn accept_term(&mut self, now_ms: u64, message: &Message) -> bool {
        if message.term == self.hard.term || self.is_outside_terms(message) {
            return true;
        }
        if message.term < self.hard.term {
            self.answer_old_term(message);
            return false;
        }
        match message.body {
            Body::Vote { is_lease_over: false, .. } if self.upholds_leader(now_ms) => false,
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

    /// A pre-vote changes no term, and one that is granted may come from a voter behind in terms.
    fn is_outside_terms(&self, message: &Message) -> bool {
        match message.body {
            Body::PreVote { .. } => true,
            Body::PreVoteReply { .. } => message.term < self.hard.term,
            _ => false,
        }
    }

    /// Tells a sender of an older term about this one, so that it gives way.
    fn answer_old_term(&mut self, message: &Message) {
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
            self.incoming = None;
        }
        self.fail_reads();
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election(now_ms);
    }

    fn is_up_to_date(&self, last: LastEntry) -> bool {
        last >= self.log.last()
    }

    fn other_voters(&self) -> Vec<VoterId> {
        let voters = &self.log.membership().voters;
        voters.iter().filter(|id| **id != self.config.id).cloned().collect()
    }

    /// Nobody leads, so a split vote is tried again soon. While others may be starting, the voter
    /// that led before them asks often: who knew the fleet before is to lead again.
    fn plan_retry(&mut self, now_ms: u64) {
        let jitter_ms = self.config.timing.election_jitter_ms;
        let pause_ms = jitter_ms / 2 + self.rng.random_range(0..jitter_ms);
        let is_eager = self.is_free && self.may_have_led();
        self.election_due_ms = now_ms + if is_eager { 1 + pause_ms / 16 } else { pause_ms };
    }

    /// Whether no lease of an earlier leader can be in force.
    ///
    /// The leader of this term is among the voters of a log that holds an entry of the term. If
    /// all of them have followed nobody since they started, it has started again too, and leads
    /// no more.
    fn is_lease_over(&self) -> bool {
        let Role::PreCandidate { free, .. } = &self.role else { return false };
        let others = self.other_voters();
        self.is_free && self.is_newest_led() && others.iter().all(|voter| free.contains(voter))
    }

    pub(super) fn start_pre_vote(&mut self, now_ms: u64) {
        self.plan_retry(now_ms);
        if !self.log.membership().is_voter(&self.config.id) {
            return;
        }
        self.leader = None;
        self.role = Role::PreCandidate { grants: vec![self.config.id.clone()], free: Vec::new() };
        let next_term = self.hard.term.next();
        let (last, start) = (self.log.last(), self.start);
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
        let is_granted =
            next_term > self.hard.term && !self.upholds_leader(now_ms) && self.is_up_to_date(last);
        let free_for = self.is_free.then_some(start);
        self.send(&from, Body::PreVoteReply { next_term, is_granted, free_for });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now_ms: u64,
        from: VoterId,
        next_term: Term,
        is_granted: bool,
        free_for: Option<StartId>,
    ) {
        let is_current = next_term == self.hard.term.next();
        let is_voter = self.log.membership().is_voter(&from);
        let Role::PreCandidate { grants, free } = &mut self.role else { return };
        if !is_current || !is_voter {
            return;
        }
        if free_for == Some(self.start) {
            insert(free, &from);
        }
        if is_granted {
            insert(grants, &from);
        }
        let has_majority = grants.len() >= self.log.membership().quorum();
        let is_lease_over = self.is_lease_over();
        // A voter that asks right after its start may still uphold a lease itself.
        if (has_majority && !self.upholds_leader(now_ms)) || is_lease_over {
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
        self.incoming = None;
        self.leader = None;
        self.role = Role::Candidate { grants: vec![self.config.id.clone()] };
        self.plan_retry(now_ms);
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
        let is_free = self.hard.vote.as_ref().is_none_or(|vote| *vote == from);
        let is_allowed = is_lease_over || !self.upholds_leader(now_ms);
        let is_granted = is_free && is_allowed && self.is_up_to_date(last);
        if is_granted {
            if self.hard.vote.is_none() {
                self.hard.vote = Some(from.clone());
                self.persist_hard();
            }
            self.reset_election(now_ms);
        }
        self.send(&from, Body::VoteReply { is_granted });
    }

    pub(super) fn on_vote_reply(&mut self, now_ms: u64, from: VoterId, is_granted: bool) {
        let is_voter = self.log.membership().is_voter(&from);
        let Role::Candidate { grants } = &mut self.role else { return };
        if !is_granted || !is_voter {
            return;
        }
        insert(grants, &from);
        self.try_win(now_ms);
    }

    /// Becomes leader once a majority voted and the own vote is durable.
    pub(super) fn try_win(&mut self, now_ms: u64) {
        let Role::Candidate { grants } = &self.role else { return };
        let is_durable = self.hard_write <= self.synced;
        if is_durable && grants.len() >= self.log.membership().quorum() {
            self.become_leader(now_ms);
        }
    }
}

fn insert(voters: &mut Vec<VoterId>, voter: &VoterId) {
    if let Err(at) = voters.binary_search(voter) {
        voters.insert(at, voter.clone());
    }
}
