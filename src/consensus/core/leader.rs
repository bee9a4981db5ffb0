//! State of a Raft leader: heartbeat schedule, check-quorum and leadership transfer.

use super::reads::PendingRead;
use super::replication::Progress;
use super::{Core, Refusal, Role};
use crate::consensus::entry::{Membership, Payload, VoterId};
use crate::consensus::message::{Body, Round};
use crate::consensus::timing::Timing;
use crate::ids::LogIndex;

/// A leadership transfer in progress.
#[derive(Debug)]
struct Transfer {
    to: VoterId,
    due_ms: u64,
    is_sent: bool,
}

#[derive(Debug)]
pub(super) struct Leader {
    /// Replication progress of the other members, sorted by id.
    pub peers: Vec<Progress>,
    /// Index of the first entry of the leader's term; reads wait until it is committed.
    pub term_start: LogIndex,
    /// Number of the last quorum round that was started.
    pub round: u64,
    /// Reads that are not served yet.
    pub reads: Vec<PendingRead>,
    since_ms: u64,
    transfer: Option<Transfer>,
    /// Set for the rest of the term once a peer was asked to start an election: voters may then
    /// elect it without waiting for the lease to end.
    pub is_lease_abandoned: bool,
}

impl Leader {
    pub(super) fn is_transferring(&self) -> bool {
        self.transfer.is_some()
    }

    pub(super) fn peer(&self, id: &VoterId) -> Option<&Progress> {
        let at = self.peers.binary_search_by(|peer| peer.id.cmp(id)).ok()?;
        Some(&self.peers[at])
    }

    pub(super) fn peer_mut(&mut self, id: &VoterId) -> Option<&mut Progress> {
        let at = self.peers.binary_search_by(|peer| peer.id.cmp(id)).ok()?;
        Some(&mut self.peers[at])
    }

    pub(super) fn next_tick_ms(&self, timing: &Timing) -> u64 {
        let next_ms = self.peers.iter().map(|peer| peer.sent_ms + timing.heartbeat_ms).min();
        let transfer_ms = self.transfer.as_ref().map_or(u64::MAX, |transfer| transfer.due_ms);
        next_ms.unwrap_or(u64::MAX).min(transfer_ms)
    }
}

impl Core {
    pub(super) fn become_leader(&mut self, now_ms: u64) {
        let own = self.config.id.clone();
        self.leader = Some(own);
        self.has_seen_no_leader = false;
        let term_start = self.log.last().index.next();
        self.role = Role::Leader(Box::new(Leader {
            peers: Vec::new(),
            term_start,
            round: 0,
            reads: Vec::new(),
            since_ms: now_ms,
            transfer: None,
            is_lease_abandoned: false,
        }));
        self.refresh_peers();
        self.append_entry(Payload::Blank);
    }

    /// Updates the list of peers to the current membership; new peers start in probe mode.
    pub(super) fn refresh_peers(&mut self) {
        let membership = self.log.membership().clone();
        let next = self.log.last().index.next();
        let own = self.config.id.clone();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.peers.retain(|peer| membership.all().any(|id| *id == peer.id));
        for id in membership.all().filter(|id| **id != own) {
            if let Err(at) = leader.peers.binary_search_by(|peer| peer.id.cmp(id)) {
                leader.peers.insert(at, Progress::new(id.clone(), next));
            }
        }
    }

    pub(super) fn tick_leader(&mut self, now_ms: u64) {
        if self.is_quorum_lost(now_ms) {
            let term = self.hard.term;
            self.become_follower(now_ms, term, None);
            return;
        }
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.transfer.as_ref().is_some_and(|transfer| now_ms >= transfer.due_ms) {
            leader.transfer = None;
        }
    }

    /// Check-quorum: whether no majority has replied for an election timeout. The leader then steps
    /// down, so that its callers are refused instead of waiting.
    fn is_quorum_lost(&self, now_ms: u64) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let answered_ms = self.quorum_value(now_ms, |peer| {
            peer.last_replied_round
                .map_or(leader.since_ms, |round| round.sent_ms.max(leader.since_ms))
        });
        now_ms.saturating_sub(answered_ms) > self.config.timing.election_ms
    }

    /// The highest value that a majority of the voters has reached. `own` is the value of this
    /// voter, `value` returns that of a peer.
    pub(super) fn quorum_value<T: Ord + Copy + Default>(
        &self,
        own: T,
        value: impl Fn(&Progress) -> T,
    ) -> T {
        let Role::Leader(leader) = &self.role else { return T::default() };
        let membership: &Membership = self.log.membership();
        let of_voter = |id: &VoterId| match leader.peer(id) {
            Some(peer) => value(peer),
            None if *id == self.config.id => own,
            None => T::default(),
        };
        let mut values: Vec<T> = membership.voters.iter().map(of_voter).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(membership.quorum() - 1).copied().unwrap_or_default()
    }

    pub(super) fn current_round(&self, now_ms: u64) -> Round {
        match &self.role {
            Role::Leader(leader) => Round { number: leader.round, sent_ms: now_ms },
            _ => Round::default(),
        }
    }

    /// Starts a leadership transfer to another voter. New proposals are refused until the transfer
    /// is complete or an election timeout has passed.
    ///
    /// # Errors
    /// The reason why the transfer cannot be started.
    pub fn transfer(&mut self, now_ms: u64, to: VoterId) -> Result<(), Refusal> {
        let is_voter = self.log.membership().is_voter(&to) && to != self.config.id;
        let due_ms = now_ms + self.config.timing.election_ms;
        let Role::Leader(leader) = &mut self.role else {
            return Err(Refusal::NotLeader(self.leader.clone()));
        };
        if !is_voter {
            return Err(Refusal::BadChange("the target of the transfer is not another voter"));
        }
        leader.transfer = Some(Transfer { to: to.clone(), due_ms, is_sent: false });
        self.continue_transfer(&to);
        Ok(())
    }

    /// Asks the target of the transfer to start an election once it holds the whole log.
    pub(super) fn continue_transfer(&mut self, answered: &VoterId) {
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(peer) = leader.peer(answered) else { return };
        let has_whole_log = peer.matched == last;
        let Some(transfer) = &mut leader.transfer else { return };
        if transfer.to != *answered || transfer.is_sent || !has_whole_log {
            return;
        }
        transfer.is_sent = true;
        leader.is_lease_abandoned = true;
        self.send(answered, Body::TimeoutNow);
    }
}
