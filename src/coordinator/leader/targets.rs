//! What the leader makes of the words of targets: its directory and the route table.

use std::fmt;
use std::rc::Rc;

use super::Leader;
use crate::ids::{Incarnation, ServiceName, TargetId};
use crate::membership::directory::Effect;
use crate::membership::table::{Change, Entry, Replica};
use crate::membership::targets::{self, Taken};
use crate::placement::swap;
use crate::target::order;

/// The version of weights, where engines keep but the newest.
const ONLY_VERSION: &str = "newest";

/// What changes the leader's belief of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// The target's announcement of this number.
    Announcement(u64),
    /// The target's word that it is gone.
    Left,
    /// Nothing was heard of the target for too long.
    Silence,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Announcement(sequence) => write!(f, "announcement {sequence}"),
            Cause::Left => write!(f, "its word that it left"),
            Cause::Silence => write!(f, "silence"),
        }
    }
}

impl Leader {
    /// Takes an announcement of a target.
    pub fn announced(self: &Rc<Self>, state: order::State) {
        let (target, life, sequence) = (state.target.clone(), state.incarnation, state.sequence);
        let cause = Cause::Announcement(sequence);
        if self.watched(targets::Event::Announced(state), cause) == Taken::Stale {
            log::info!("announcement {sequence} of target {target}, life {life}, changes nothing");
        }
    }

    /// Takes the word of a target that it is gone.
    pub fn left(self: &Rc<Self>, target: &TargetId, incarnation: Option<Incarnation>) {
        let known = self.feed.borrow().table().find(target).map(|entry| entry.incarnation);
        let Some(incarnation) = incarnation.or(known) else {
            return log::info!("target {target} left, which is not known");
        };
        log::info!("target {target} of life {incarnation} left");
        self.watched(targets::Event::Left(target.clone(), incarnation), Cause::Left);
        // A target that only an earlier leader has heard of is in the table alone.
        let report = targets::Report::Gone(target.clone(), incarnation);
        let effects = self.directory.borrow_mut().report(&self.parts.own, report);
        self.apply(effects, Cause::Left);
    }

    pub(super) fn watched(self: &Rc<Self>, event: targets::Event, cause: Cause) -> Taken {
        let (taken, reports) = self.registry.borrow_mut().on(self.parts.clock.now_ms(), event);
        for report in reports {
            let effects = self.directory.borrow_mut().report(&self.parts.own, report);
            self.apply(effects, cause);
        }
        taken
    }

    pub(super) fn apply(&self, effects: Vec<Effect>, cause: Cause) {
        let mut changes = Vec::new();
        for effect in effects {
            match effect {
                Effect::Table(Change::Put(entry)) => {
                    self.note(&entry, cause);
                    changes.push(Change::Put(entry));
                }
                Effect::Table(change) => {
                    if let Change::Remove(target) = &change {
                        log::info!("target {target} is gone, by {cause}");
                    }
                    changes.push(change);
                }
                Effect::State(state) => self.plan_on(&state.clone(), swap::Event::State(state)),
                Effect::Gone(target, incarnation) => {
                    self.take_event(&swap::Event::Gone(target, incarnation));
                }
            }
        }
        let planned = changes.into_iter().map(|change| self.with_replicas(change)).collect();
        self.push(planned);
    }

    /// Logs a target that is new or whose standing differs.
    fn note(&self, entry: &Entry, cause: Cause) {
        let feed = self.feed.borrow();
        let known = feed.table().find(&entry.target);
        let known = known.filter(|known| known.incarnation == entry.incarnation);
        let was = known.map(|known| known.standing);
        if was != Some(entry.standing) {
            log::info!(
                "target {} of {:?} is {:?} in {}, life {}, by {cause}; it was {was:?}",
                entry.target,
                entry.services.first().map(ServiceName::as_str),
                entry.standing,
                entry.availability_zone,
                entry.incarnation
            );
        }
    }

    /// Shows the replicas that placement lets routers use.
    pub(super) fn with_replicas(&self, change: Change) -> Change {
        let Change::Put(mut entry) = change else { return change };
        let planners = self.planners.borrow();
        let planned = planners.iter().find_map(|(_, planner)| planner.replicas(&entry.target));
        if let Some(planned) = planned {
            let version: crate::ids::Version = ONLY_VERSION.parse().expect("a constant name");
            let replica = |model| Replica { model, version: version.clone() };
            entry.replicas = planned.into_iter().map(replica).collect();
        }
        Change::Put(entry)
    }

    /// Adds changes to the feed, but for those that change nothing.
    pub(super) fn push(&self, changes: Vec<Change>) {
        let mut feed = self.feed.borrow_mut();
        let is_new = |change: &Change| match change {
            Change::Put(entry) => feed.table().find(&entry.target) != Some(entry),
            Change::Remove(target) => feed.table().find(target).is_some(),
            Change::Replicas { .. } => true,
        };
        let changes: Vec<Change> = changes.into_iter().filter(is_new).collect();
        if changes.is_empty() {
            return;
        }
        feed.push(changes);
        let (cursor, targets) = (feed.cursor(), feed.table().entries().len());
        drop(feed);
        log::debug!("route table {cursor}: {targets} targets");
        self.tell();
    }
}
