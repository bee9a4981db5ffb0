//! Membership changes, one member at a time.

use super::{Core, ProposalPosition, Refusal, Role};
use crate::consensus::entry::{Membership, Payload, VoterId};
use crate::ids::LogIndex;

/// A membership change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a learner, which receives the log. It replaces an older learner of the same daemon.
    AddLearner(VoterId),
    /// Promotes a learner that durably holds the committed log to a voter.
    Promote(VoterId),
    /// Removes a voter or learner.
    Remove(VoterId),
}

impl Core {
    /// The last entry that a member is known to hold durably. `None` unless this voter leads.
    pub fn matched(&self, id: &VoterId) -> Option<LogIndex> {
        let Role::Leader(leader) = &self.role else { return None };
        if *id == self.config.id {
            return Some(self.durable);
        }
        leader.peer(id).map(|peer| peer.matched)
    }

    /// Proposes a membership change, which takes effect at each voter as soon as it has appended
    /// the entry.
    ///
    /// # Errors
    /// The reason why nothing was proposed.
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
        let membership = apply_change(self.log.membership(), &self.config.id, change)?;
        let proposed = self.append_entry(Payload::Membership(membership));
        self.refresh_peers();
        self.advance_commit();
        Ok(proposed)
    }

    /// When the last message that a peer has replied to was sent, by the leader's clock.
    pub fn answered_ms(&self, id: &VoterId) -> Option<u64> {
        let Role::Leader(leader) = &self.role else { return None };
        leader.peer(id)?.last_replied_round.map(|round| round.sent_ms)
    }

    /// Whether a peer durably holds all committed entries.
    ///
    /// # Errors
    /// This voter is not the leader.
    pub fn is_caught_up(&self, id: &VoterId) -> Result<bool, Refusal> {
        let Role::Leader(leader) = &self.role else {
            return Err(Refusal::NotLeader(self.leader.clone()));
        };
        Ok(leader.peer(id).is_some_and(|peer| peer.matched >= self.commit))
    }
}

fn insert_sorted(ids: &mut Vec<VoterId>, id: &VoterId) {
    if let Err(at) = ids.binary_search(id) {
        ids.insert(at, id.clone());
    }
}

/// Returns the membership after a change.
fn apply_change(
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
            insert_sorted(&mut next.learners, id);
        }
        MembershipChange::Promote(id) if !now.is_learner(id) => {
            return Err(Refusal::BadChange("only a learner can be promoted"));
        }
        MembershipChange::Promote(id) => {
            next.learners.retain(|known| known != id);
            insert_sorted(&mut next.voters, id);
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
