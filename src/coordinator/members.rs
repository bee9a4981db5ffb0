//! Decides who has a place in the group of voters.
//!
//! Worst-case load: one VM with a disk after the other is replaced, planned or not, while others are silent
//! for a few seconds, leaders change, and disks are lost right after that.

use crate::consensus::entry::{Membership, VoterId};

/// A voter that has not answered the leader for this long may be replaced when another one asks to
/// join, because that one was started after the loss of a voter. Longer than an election, and short
/// enough that a leader that leads for only a few seconds completes the replacement.
pub const SILENT_MS: u64 = 1_500;
/// Time for which a voter that asked to join counts as waiting for a place. It asks every half a second.
pub const CANDIDATE_MS: u64 = 1_700;
/// Time for which a voter that said that it stops counts as leaving: either it has stopped by then, and
/// is silent, or it runs again.
pub const LEAVING_MS: u64 = 3_000;

/// What the leader knows of a voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VoterHealth {
    /// How long it has not answered. `None` for the leader itself.
    pub silent_ms: Option<u64>,
    /// Whether it said that it stops.
    pub is_leaving: bool,
}

/// The next change of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipStep {
    /// Nothing to do.
    Keep,
    /// Add this voter to the group.
    Add(VoterId),
    /// Add `new`, then remove `old`.
    Replace {
        /// The voter that is removed.
        old: VoterId,
        /// The voter that takes its place.
        new: VoterId,
    },
    /// Remove this voter, whose successor is a voter already.
    Remove(VoterId),
}

/// The state that changes of the group are decided from.
pub struct Group<'a, F> {
    /// The voters and learners.
    pub membership: &'a Membership,
    /// Upper bound of voters.
    pub max_voters: usize,
    /// What is known of a voter.
    pub health: F,
}

impl<F: Fn(&VoterId) -> VoterHealth> Group<'_, F> {
    /// The next change of the group, while `candidates` wait for a place, the first one for the longest.
    ///
    /// A voter whose daemon has lost its folder can never return, so it is replaced at once. If the group
    /// is full, a voter that stops goes before one that is only silent, which may return.
    pub fn next_step(&self, candidates: &[VoterId]) -> MembershipStep {
        if let Some(old) = self.leftover() {
            return MembershipStep::Remove(old.clone());
        }
        let is_candidate = |id: &&VoterId| !self.membership.is_voter(id);
        for new in candidates.iter().filter(is_candidate) {
            if let Some(old) = self.earlier_incarnation(new) {
                return MembershipStep::Replace { old: old.clone(), new: new.clone() };
            }
        }
        let Some(new) = candidates.iter().find(is_candidate) else { return MembershipStep::Keep };
        if self.membership.voters.len() < self.max_voters {
            return MembershipStep::Add(new.clone());
        }
        match self.most_absent(|_| true) {
            Some(old) => MembershipStep::Replace { old: old.clone(), new: new.clone() },
            None => MembershipStep::Keep,
        }
    }

    /// A voter that a replacement was meant to remove, if the leader of that time did not complete it.
    fn leftover(&self) -> Option<&VoterId> {
        let voters = &self.membership.voters;
        let is_double = |id: &&VoterId| {
            let same = voters.iter().filter(|voter| voter.daemon == id.daemon);
            same.count() > 1
        };
        let is_over = voters.len() > self.max_voters;
        self.most_absent(is_double).or_else(|| self.most_absent(|_| is_over))
    }

    fn earlier_incarnation(&self, joining: &VoterId) -> Option<&VoterId> {
        self.membership.voters.iter().find(|id| id.daemon == joining.daemon)
    }

    /// The voter that is missed least, of some: one that stops, else the one that has been silent for
    /// longest.
    fn most_absent(&self, is_meant: impl Fn(&&VoterId) -> bool) -> Option<&VoterId> {
        let meant = self.membership.voters.iter().filter(is_meant);
        let absent = meant.filter_map(|id| {
            let VoterHealth { silent_ms, is_leaving } = (self.health)(id);
            let silent_ms = silent_ms?;
            (is_leaving || silent_ms >= SILENT_MS).then_some(((is_leaving, silent_ms), id))
        });
        Some(absent.max_by_key(|(absence, _)| *absence)?.1)
    }

    /// How many further losses of voters the group bears: those that answer, beyond a majority.
    pub fn tolerated_losses(&self) -> usize {
        let answers = |id: &&VoterId| (self.health)(id).silent_ms.is_none_or(|ms| ms < SILENT_MS);
        let answering = self.membership.voters.iter().filter(answers).count();
        answering.saturating_sub(self.membership.quorum())
    }
}

/// Voters that asked for a place or said that they stop, and when. Kept by the leader alone.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    /// In the order in which they first asked.
    candidates: Vec<(VoterId, u64)>,
    leaving: Vec<(VoterId, u64)>,
}

impl Requests {
    /// Records that a voter asks for a place.
    pub fn record_candidate(&mut self, now_ms: u64, id: &VoterId) {
        self.candidates.retain(|(known, _)| known.daemon != id.daemon || known == id);
        record(&mut self.candidates, now_ms, id);
    }

    /// Records that a voter stops. It no longer waits for a place.
    pub fn record_leaving(&mut self, now_ms: u64, id: &VoterId) {
        self.candidates.retain(|(known, _)| known != id);
        self.leaving.retain(|(_, at_ms)| now_ms < at_ms + LEAVING_MS);
        record(&mut self.leaving, now_ms, id);
    }

    /// Whether a voter said that it stops.
    pub fn is_leaving(&self, now_ms: u64, id: &VoterId) -> bool {
        self.leaving.iter().any(|(known, at_ms)| known == id && now_ms < at_ms + LEAVING_MS)
    }

    /// The voters that wait for a place, the first one for the longest.
    pub fn candidates(&mut self, now_ms: u64) -> Vec<VoterId> {
        self.candidates.retain(|(_, at_ms)| now_ms < at_ms + CANDIDATE_MS);
        self.candidates.iter().map(|(id, _)| id.clone()).collect()
    }

    /// Forgets everything: another daemon leads.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

fn record(known: &mut Vec<(VoterId, u64)>, now_ms: u64, id: &VoterId) {
    match known.iter_mut().find(|(known, _)| known == id) {
        Some((_, at_ms)) => *at_ms = now_ms,
        None => known.push((id.clone(), now_ms)),
    }
}
