//! The replicated part of the configuration: the fleet, the audit trail, and first outcomes.

use std::collections::VecDeque;

use super::change::{Accepted, Change, Command, Outcome, Problem};
use super::{Facts, Fleet, check};
use crate::ids::{ChangeId, Digest, ExceptionId, Revision};

/// Accepted changes that the audit trail keeps.
pub const TRAIL_CHANGES: usize = 10_000;
/// Edits that the audit trail keeps, over all its changes.
pub const TRAIL_EDITS: usize = 100_000;
/// Outcomes of refused changes that are kept for a change that is sent again.
pub const REFUSED_KEPT: usize = 1_000;
/// Changes that a conflict shows.
pub const CONFLICT_CHANGES: usize = 20;

/// An accepted change with the exceptions that it added.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Made {
    accepted: Accepted,
    exceptions: Vec<ExceptionId>,
}

/// A change that was not accepted.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct NotMade {
    id: ChangeId,
    digest: Digest,
    outcome: Outcome,
}

/// The replicated configuration. Equal commands in equal order give equal states.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    fleet: Fleet,
    trail: VecDeque<Made>,
    trail_edits: usize,
    not_made: VecDeque<NotMade>,
}

/// Queries.
impl State {
    /// The configuration in force.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The newest accepted changes after `base`, oldest first. `None` if the trail begins later.
    pub fn since(&self, base: Revision) -> Option<impl Iterator<Item = &Accepted>> {
        let oldest =
            self.trail.front().map_or(self.fleet.revision().next(), |made| made.accepted.revision);
        if base.next() < oldest {
            return None;
        }
        let start = self.trail.partition_point(|made| made.accepted.revision <= base);
        Some(self.trail.range(start..).map(|made| &made.accepted))
    }

    /// The audit trail, oldest first.
    pub fn trail(&self) -> impl DoubleEndedIterator<Item = &Accepted> {
        self.trail.iter().map(|made| &made.accepted)
    }

    /// The outcome of a change that needs no commit: the first outcome of one that was sent
    /// before, a conflict, or a refusal by what only the leader knows.
    pub fn check(&self, change: &Change, facts: &Facts, now_ms: u64) -> Option<Outcome> {
        if let Some(outcome) = self.first_outcome(change) {
            return Some(outcome);
        }
        if change.base != self.fleet.revision() {
            return None;
        }
        let problems = check::problems(&self.fleet, change, facts, now_ms);
        (!problems.is_empty()).then_some(Outcome::Refused { problems })
    }

    fn first_outcome(&self, change: &Change) -> Option<Outcome> {
        if let Some(made) = self.trail.iter().find(|made| made.accepted.change.id == change.id) {
            let revision = made.accepted.revision;
            return Some(match made.accepted.change == *change {
                true => Outcome::Accepted { revision, exceptions: made.exceptions.clone() },
                false => id_is_taken(change, &format!("revision {revision}")),
            });
        }
        let not_made = self.not_made.iter().find(|not_made| not_made.id == change.id)?;
        Some(match not_made.digest == digest(change) {
            true => not_made.outcome.clone(),
            false => id_is_taken(change, "a change that was not accepted"),
        })
    }

    fn conflict(&self, base: Revision) -> Outcome {
        let is_later = |accepted: &&Accepted| accepted.revision > base;
        let mut since: Vec<Accepted> =
            self.trail().rev().take(CONFLICT_CHANGES).filter(is_later).cloned().collect();
        since.reverse();
        Outcome::Conflict { current: self.fleet.revision(), since }
    }
}

/// Commands.
impl State {
    /// Applies a command that the control group committed at Unix time `now_ms`.
    pub fn apply(&mut self, command: Command, now_ms: u64) -> Outcome {
        let Command::Change(change) = command;
        if let Some(outcome) = self.first_outcome(&change) {
            return outcome;
        }
        if change.base != self.fleet.revision() {
            let outcome = self.conflict(change.base);
            return self.not_made(&change, outcome);
        }
        let problems = check::problems(&self.fleet, &change, &Facts::default(), now_ms);
        if !problems.is_empty() {
            return self.not_made(&change, Outcome::Refused { problems });
        }
        let exceptions = self.fleet.make(&change, now_ms);
        let revision = self.fleet.revision();
        self.trail_edits += change.edits.len();
        let accepted = Accepted { revision, at_ms: now_ms, change };
        self.trail.push_back(Made { accepted, exceptions: exceptions.clone() });
        self.shorten_trail();
        Outcome::Accepted { revision, exceptions }
    }

    fn not_made(&mut self, change: &Change, outcome: Outcome) -> Outcome {
        let id = change.id.clone();
        self.not_made.push_back(NotMade { id, digest: digest(change), outcome: outcome.clone() });
        if self.not_made.len() > REFUSED_KEPT {
            self.not_made.pop_front();
        }
        outcome
    }

    fn shorten_trail(&mut self) {
        while self.trail.len() > TRAIL_CHANGES
            || (self.trail_edits > TRAIL_EDITS && self.trail.len() > 1)
        {
            if let Some(made) = self.trail.pop_front() {
                self.trail_edits -= made.accepted.change.edits.len();
            }
        }
    }
}

fn digest(change: &Change) -> Digest {
    let bytes = postcard::to_stdvec(change).expect("a change always encodes");
    Digest::of(&[&bytes])
}

fn id_is_taken(change: &Change, by: &str) -> Outcome {
    let what = format!("the change id {} was used for another change: {by}", change.id);
    Outcome::Refused { problems: vec![Problem { edit: 0, what }] }
}
