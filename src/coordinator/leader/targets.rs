//! What the leader makes of the words of targets: its directory and the route table.

use std::fmt;
use std::rc::Rc;

use super::Leader;
use crate::control::departures::{Command, Departure};
use crate::ids::{Incarnation, ServiceName, TargetId};
use crate::membership::directory::{self, DirectoryEffect};
use crate::membership::table::{Replica, TableChange, TargetEntry};
use crate::membership::targets::{self, AnnouncementOutcome};
use crate::placement::swap;
use crate::target::order;

/// The version of weights, where engines keep but the newest.
const ONLY_VERSION: &str = "newest";

/// A target that left and of which neither its life nor anything else is known: lives that began so
/// long ago are over. Clocks of targets may differ by a part of it.
const UNHEARD_LIFE_MS: u64 = 10_000;

/// When the word of a target may be acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum Acknowledge {
    /// At once: it is repeated anyway, or known.
    Now,
    /// Once this is on record: the target relies on getting no new work.
    OnceRecorded(Command),
}

/// What changes the leader's belief of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// The target's announcement of this number.
    Announcement(u64),
    /// What the target said in an answer to a router.
    Answer,
    /// The target's word that it is gone.
    Left,
    /// Nothing was heard of the target for too long.
    Silence,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Announcement(sequence) => write!(f, "announcement {sequence}"),
            Cause::Answer => write!(f, "its answer to a router"),
            Cause::Left => write!(f, "its word that it left"),
            Cause::Silence => write!(f, "silence"),
        }
    }
}

impl Leader {
    /// Takes an announcement of a target. One that leaves is shown so before it is on record.
    pub fn announced(self: &Rc<Self>, mut state: order::State) -> Acknowledge {
        let (target, life, sequence) = (state.target.clone(), state.incarnation, state.sequence);
        let known = (self.parts.departure)(&target, life);
        let taken = match known {
            Some(Departure::Gone) => AnnouncementOutcome::Stale,
            Some(Departure::Leaving) | None => {
                let says_more = state.leaving && known.is_none();
                state.leaving |= known.is_some();
                let event = targets::TargetEvent::Announced(state);
                let taken = self.watched(event, Cause::Announcement(sequence));
                if says_more {
                    let departure = Departure::Leaving;
                    return Acknowledge::OnceRecorded(Command { target, life, departure });
                }
                taken
            }
        };
        if taken == AnnouncementOutcome::Stale {
            log::info!(
                "announcement {sequence} of target {target}, life {life}, changes nothing; on \
                 record: {known:?}"
            );
        }
        Acknowledge::Now
    }

    /// Takes the word of a target that it is gone.
    pub fn left(
        self: &Rc<Self>,
        target: &TargetId,
        incarnation: Option<Incarnation>,
    ) -> Acknowledge {
        let known = self.feed.borrow().table().find(target).map(|entry| entry.incarnation);
        let incarnation = incarnation.or(known).unwrap_or_else(|| {
            Incarnation(self.parts.wall_clock.now_ms().saturating_sub(UNHEARD_LIFE_MS))
        });
        log::info!("target {target} of life {incarnation} left; shown until now: {known:?}");
        self.watched(targets::TargetEvent::Left(target.clone(), incarnation), Cause::Left);
        // A target that only an earlier leader has heard of is in the table alone.
        let report = targets::TargetReport::Gone(target.clone(), incarnation);
        let effects = self.directory.borrow_mut().report(&self.parts.own, report);
        self.apply(effects, Cause::Left);
        match (self.parts.departure)(target, incarnation) {
            Some(Departure::Gone) => Acknowledge::Now,
            Some(Departure::Leaving) | None => Acknowledge::OnceRecorded(Command {
                target: target.clone(),
                life: incarnation,
                departure: Departure::Gone,
            }),
        }
    }

    pub(super) fn watched(
        self: &Rc<Self>,
        event: targets::TargetEvent,
        cause: Cause,
    ) -> AnnouncementOutcome {
        let (taken, reports) =
            self.registry.borrow_mut().handle_event(self.parts.clock.now_ms(), event);
        let recorded = &*self.parts.departure;
        for report in
            reports.into_iter().filter_map(|report| directory::apply_departure(report, recorded))
        {
            let effects = self.directory.borrow_mut().report(&self.parts.own, report);
            self.apply(effects, cause);
        }
        taken
    }

    /// Takes what targets said to a router, and has it recorded.
    pub(super) fn take_leaving(&self, leaving: &[(TargetId, Incarnation)]) {
        for (target, life) in leaving {
            if (self.parts.departure)(target, *life).is_none() {
                let (target, life, departure) = (target.clone(), *life, Departure::Leaving);
                (self.parts.record)(Command { target, life, departure });
            }
            let effect = self.directory.borrow_mut().mark_leaving(target, *life);
            self.apply(effect.into_iter().collect(), Cause::Answer);
        }
    }

    pub(super) fn apply(&self, effects: Vec<DirectoryEffect>, cause: Cause) {
        let mut changes = Vec::new();
        for effect in effects {
            match effect {
                DirectoryEffect::Table(TableChange::Put(entry)) => {
                    self.note(&entry, cause);
                    changes.push(TableChange::Put(entry));
                }
                DirectoryEffect::Table(change) => {
                    if let TableChange::Remove(target) = &change {
                        log::info!("target {target} is gone, by {cause}");
                    }
                    changes.push(change);
                }
                DirectoryEffect::State(state) => {
                    self.plan_on(&state.clone(), swap::Event::State(state));
                }
                DirectoryEffect::Gone(target, incarnation) => {
                    self.take_event(&swap::Event::Gone(target, incarnation));
                }
            }
        }
        let planned = changes.into_iter().map(|change| self.with_replicas(change)).collect();
        self.push(planned);
    }

    /// Logs a target that is new or whose standing differs.
    fn note(&self, entry: &TargetEntry, cause: Cause) {
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
    pub(super) fn with_replicas(&self, change: TableChange) -> TableChange {
        let TableChange::Put(mut entry) = change else { return change };
        let planners = self.planners.borrow();
        let planned = planners.iter().find_map(|(_, planner)| planner.replicas(&entry.target));
        if let Some(planned) = planned {
            let version: crate::ids::Version = ONLY_VERSION.parse().expect("a constant name");
            let replica = |model| Replica { model, version: version.clone() };
            entry.replicas = planned.into_iter().map(replica).collect();
        }
        TableChange::Put(entry)
    }

    /// Adds changes to the feed, but for those that change nothing.
    pub(super) fn push(&self, changes: Vec<TableChange>) {
        let mut feed = self.feed.borrow_mut();
        let is_new = |change: &TableChange| match change {
            TableChange::Put(entry) => feed.table().find(&entry.target) != Some(entry),
            TableChange::Remove(target) => feed.table().find(target).is_some(),
            TableChange::Replicas { .. } => true,
        };
        let changes: Vec<TableChange> = changes.into_iter().filter(is_new).collect();
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
