//! Changes of membership, one voter at a time.

use super::{Core, ProposalPosition, Refusal, Role};
use crate::consensus::entry::{Membership, Payload, VoterId};
use crate::ids::LogIndex;

/// A change of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Sends the log to a new learner. It takes the place of an older learner of its daemon.
    AddLearner(VoterId),
    /// Makes a learner a voter once it durably holds the committed log.
    Promote(VoterId),
    /// Takes out a voter or learner.
    Remove(VoterId),
}

impl Core {
    /// The last entry that a member durably holds, as far as this leader knows.
    pub fn matched(&self, id: &VoterId) -> Option<LogIndex> {
        let Role::Leader(leader) = &self.role else { return None };
        if *id == self.config.id {
            return Some(self.durable);
        }
        leader.peer(id).map(|peer| peer.matched)
    }

    /// Starts a change of membership, which is in force at each voter from the moment that it
    /// holds the entry.
    ///
    /// # Errors
    /// Why nothing was proposed.
    pub fn change(&mut self, change: &MembershipChange) -> Result<ProposalPosition, Refusal> {
        let Role::Leader(leader) = &self.role else {
            return Err(Refusal::NotLeader(self.leader.clone()));
        };
        if leader.is_transferring() {
            return Err(Refusal::Transferring);
        }
        let is_pending =
            self.commit < leader.term_start || self.commit < self.log.membership_index();
        if is_pending {
            return Err(Refusal::ChangePending);
        }
        if let MembershipChange::Promote(id) = change
            && !self.is_caught_up(id)?
        {
            return Err(Refusal::NotCaughtUp);
        }
        let membership = changed(self.log.membership(), &self.config.id, change)?;
        let proposed = self.append_own(Payload::Membership(membership));
        self.refresh_peers();
        self.advance_commit();
        Ok(proposed)
    }

    /// When the last message was sent that a peer has answered, by the leader's clock.
    pub fn answered_ms(&self, id: &VoterId) -> Option<u64> {
        let Role::Leader(leader) = &self.role else { return None };
        leader.peer(id)?.answered.map(|round| round.sent_ms)
    }

    /// Whether a peer durably holds all that is committed.
    ///
    /// # Errors
    /// This voter does not lead.
    pub fn is_caught_up(&self, id: &VoterId) -> Result<bool, Refusal> {
        let Role::Leader(leader) = &self.role else {
            return Err(Refusal::NotLeader(self.leader.clone()));
        };
        Ok(leader.peer(id).is_some_and(|peer| peer.matched >= self.commit))
    }
}

fn insert(ids: &mut Vec<VoterId>, id: &VoterId) {
    if let Err(at) = ids.binary_search(id) {
        ids.insert(at, id.clone());
    }
}

/// The membership after a change.
fn changed(
    now: &Membership,
    own: &VoterId,
    change: &MembershipChange,
) -> Result<Membership, Refusal> {
    let mut next = now.clone();
    match change {
        MembershipChange::AddLearner(id) if now.all().any(|known| known == id) => {
            return Err(Refusal::BadChange("it is a member already"));
        }
        MembershipChange::AddLearner(id) => {
            next.learners.retain(|known| known.daemon != id.daemon);
            insert(&mut next.learners, id);
        }
        MembershipChange::Promote(id) if !now.is_learner(id) => {
            return Err(Refusal::BadChange("only a learner can be promoted"));
        }
        MembershipChange::Promote(id) => {
            next.learners.retain(|known| known != id);
            insert(&mut next.voters, id);
        }
        MembershipChange::Remove(id) if id == own => {
            return Err(Refusal::BadChange("a leader is removed after it handed over leadership"));
        }
        MembershipChange::Remove(id) if !now.all().any(|known| known == id) => {
            return Err(Refusal::BadChange("it is not a member"));
        }
        MembershipChange::Remove(id) => {
            next.learners.retain(|known| known != id);
            next.voters.retain(|known| known != id);
        }
    }
    Ok(next)
}
