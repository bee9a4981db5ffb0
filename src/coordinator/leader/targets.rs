//! What the leader makes of the words of targets: its directory and the route table.

use std::rc::Rc;

use super::Leader;
use crate::ids::{Incarnation, ServiceName, TargetId};
use crate::membership::directory::Effect;
use crate::membership::table::{Change, Entry, Replica};
use crate::membership::targets;
use crate::placement::swap;
use crate::target::order;

/// The version of weights, where engines keep but the newest.
const ONLY_VERSION: &str = "newest";

impl Leader {
    /// Takes an announcement of a target.
    pub fn announced(self: &Rc<Self>, state: order::State) {
        self.watched(targets::Event::Announced(state));
    }

    /// Takes the word of a target that it is gone.
    pub fn left(self: &Rc<Self>, target: &TargetId, incarnation: Option<Incarnation>) {
        let known = self.feed.borrow().table().find(target).map(|entry| entry.incarnation);
        let Some(incarnation) = incarnation.or(known) else {
            return log::info!("target {target} left, which is not known");
        };
        log::info!("target {target} of life {incarnation} left");
        self.watched(targets::Event::Left(target.clone(), incarnation));
        // A target that only an earlier leader has heard of is in the table alone.
        let report = targets::Report::Gone(target.clone(), incarnation);
        let effects = self.directory.borrow_mut().report(&self.parts.own, report);
        self.apply(effects);
    }

    pub(super) fn watched(self: &Rc<Self>, event: targets::Event) {
        let (_, reports) = self.registry.borrow_mut().on(self.parts.clock.now_ms(), event);
        for report in reports {
            let effects = self.directory.borrow_mut().report(&self.parts.own, report);
            self.apply(effects);
        }
    }

    pub(super) fn apply(&self, effects: Vec<Effect>) {
        let mut changes = Vec::new();
        for effect in effects {
            match effect {
                Effect::Table(Change::Put(entry)) => {
                    self.note(&entry);
                    changes.push(Change::Put(entry));
                }
                Effect::Table(change) => {
                    if let Change::Remove(target) = &change {
                        log::info!("target {target} is gone");
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
    fn note(&self, entry: &Entry) {
        let feed = self.feed.borrow();
        let known = feed.table().find(&entry.target);
        let is_same = |known: &Entry| {
            known.standing == entry.standing && known.incarnation == entry.incarnation
        };
        if !known.is_some_and(is_same) {
            log::info!(
                "target {} of {:?} is {:?} in {}, life {}",
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
        log::debug!("route table {}.{}: {targets} targets", cursor.term, cursor.sequence);
        self.tell();
    }
}
