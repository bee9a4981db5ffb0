//! Processes announcements and departures of targets, and updates the directory and route table.

use std::fmt;
use std::rc::Rc;

use super::Leader;
use crate::control::departures::{Command, Departure};
use crate::ids::{Incarnation, ServiceName, SoftwareVersion, TargetId};
use crate::membership::directory::{self, DirectoryEffect};
use crate::membership::table::{Replica, TableChange, TargetEntry};
use crate::membership::targets::{self, AnnouncementOutcome};
use crate::placement::swap;
use crate::rate_limit::TargetLife;
use crate::target::order;

/// The version of all weights: engines keep only the newest one.
const NEWEST_VERSION: &str = "newest";

/// If an unknown target leaves without naming its incarnation, all incarnations that started longer
/// ago than this have ended. Clocks of targets may differ by a part of this time.
const UNKNOWN_INCARNATION_AGE_MS: u64 = 10_000;

/// When an announcement or departure of a target may be acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum AckCondition {
    /// At once: it is repeated anyway, or recorded already.
    Immediate,
    /// After this command is recorded: the target relies on receiving no new requests.
    AfterRecord(Command),
}

/// The cause of a change of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// The target's announcement with this sequence number.
    Announcement(u64),
    /// The target's response to a router.
    Answer,
    /// The target's report that it has left.
    Left,
    /// The target sent no announcement within its timeout.
    Silence,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Announcement(sequence) => write!(f, "announcement {sequence}"),
            Cause::Answer => write!(f, "its answer to a router"),
            Cause::Left => write!(f, "its report that it left"),
            Cause::Silence => write!(f, "silence"),
        }
    }
}

impl Leader {
    /// Processes an announcement. A target that leaves is published as leaving before its departure
    /// is recorded.
    pub fn handle_announcement(self: &Rc<Self>, mut state: order::State) -> AckCondition {
        let (target, life, sequence) = (state.target.clone(), state.incarnation, state.sequence);
        let known = (self.context.find_departure)(&target, life);
        let taken = match known {
            Some(Departure::Gone) => AnnouncementOutcome::Stale,
            Some(Departure::Leaving) | None => {
                let is_new_departure = state.leaving && known.is_none();
                state.leaving |= known.is_some();
                let event = targets::TargetEvent::Announced(state);
                let taken = self.handle_event(event, Cause::Announcement(sequence));
                if taken == AnnouncementOutcome::Accepted {
                    let (target, incarnation) = (target.clone(), life);
                    self.note_alive(&TargetLife { target, incarnation });
                }
                if is_new_departure {
                    let departure = Departure::Leaving;
                    return AckCondition::AfterRecord(Command { target, life, departure });
                }
                taken
            }
        };
        if taken == AnnouncementOutcome::Stale {
            log::info!(
                target_id:% = target, life = life.0, sequence = sequence, recorded:? = known;
                "announcement {sequence} of target {target}, life {life}, changes nothing; on \
                 record: {known:?}"
            );
        }
        AckCondition::Immediate
    }

    /// Processes the report of a target that it has left.
    pub fn handle_departure(
        self: &Rc<Self>,
        target: &TargetId,
        incarnation: Option<Incarnation>,
    ) -> AckCondition {
        let known = self.feed.borrow().table().find(target).map(|entry| entry.incarnation);
        let incarnation = incarnation.or(known).unwrap_or_else(|| {
            Incarnation(self.context.wall_clock.now_ms().saturating_sub(UNKNOWN_INCARNATION_AGE_MS))
        });
        log::info!(
            target_id:% = target, life = incarnation.0, shown_life:? = known.map(|life| life.0);
            "target {target} of life {incarnation} left; shown until now: {known:?}"
        );
        self.handle_event(targets::TargetEvent::Left(target.clone(), incarnation), Cause::Left);
        // A target that announced itself only to an earlier leader is in the table but not in the
        // registry.
        let report = targets::TargetReport::Gone(target.clone(), incarnation);
        let effects = self.directory.borrow_mut().report(&self.context.own_id, report);
        self.apply_effects(effects, Cause::Left);
        match (self.context.find_departure)(target, incarnation) {
            Some(Departure::Gone) => AckCondition::Immediate,
            Some(Departure::Leaving) | None => AckCondition::AfterRecord(Command {
                target: target.clone(),
                life: incarnation,
                departure: Departure::Gone,
            }),
        }
    }

    pub(super) fn handle_event(
        self: &Rc<Self>,
        event: targets::TargetEvent,
        cause: Cause,
    ) -> AnnouncementOutcome {
        let (taken, reports) =
            self.registry.borrow_mut().handle_event(self.context.clock.now_ms(), event);
        let recorded = &*self.context.find_departure;
        for report in
            reports.into_iter().filter_map(|report| directory::apply_departure(report, recorded))
        {
            let effects = self.directory.borrow_mut().report(&self.context.own_id, report);
            self.apply_effects(effects, cause);
        }
        taken
    }

    /// Marks targets as leaving that reported this to a router, and records their departures.
    pub(super) fn record_leaving(&self, leaving: &[(TargetId, Incarnation)]) {
        for (target, life) in leaving {
            if (self.context.find_departure)(target, *life).is_none() {
                let (target, life, departure) = (target.clone(), *life, Departure::Leaving);
                (self.context.record_departure)(Command { target, life, departure });
            }
            let effect = self.directory.borrow_mut().mark_leaving(target, *life);
            self.apply_effects(effect.into_iter().collect(), Cause::Answer);
        }
    }

    pub(super) fn apply_effects(&self, effects: Vec<DirectoryEffect>, cause: Cause) {
        let mut changes = Vec::new();
        for effect in effects {
            match effect {
                DirectoryEffect::Table(TableChange::Put(entry)) => {
                    self.log_standing_change(&entry, cause);
                    changes.push(TableChange::Put(entry));
                }
                DirectoryEffect::Table(change) => {
                    if let TableChange::Remove(target) = &change {
                        log::info!(
                            target_id:% = target, cause:% = cause, term = self.term.0;
                            "target {target} is gone, by {cause}"
                        );
                    }
                    changes.push(change);
                }
                DirectoryEffect::State(state) => {
                    self.send_to_planner(&state.clone(), swap::Event::Announced(state));
                }
                DirectoryEffect::Gone(target, incarnation) => {
                    self.broadcast_event(&swap::Event::TargetGone(target, incarnation));
                }
            }
        }
        let planned = changes.into_iter().map(|change| self.with_replicas(change)).collect();
        self.push_changes(planned);
    }

    /// Logs a target that is new or whose standing has changed.
    fn log_standing_change(&self, entry: &TargetEntry, cause: Cause) {
        let feed = self.feed.borrow();
        let known = feed.table().find(&entry.target);
        let known = known.filter(|known| known.incarnation == entry.incarnation);
        let was = known.map(|known| known.standing);
        if was != Some(entry.standing) {
            log::info!(
                target_id:% = entry.target, life = entry.incarnation.0,
                software:? = entry.software.as_ref().map(SoftwareVersion::as_str),
                standing:? = entry.standing, standing_before:? = was, cause:% = cause,
                term = self.term.0;
                "target {} of {:?} is {:?} in {}, life {}, by {cause}; it was {was:?}",
                entry.target,
                entry.services.first().map(ServiceName::as_str),
                entry.standing,
                entry.availability_zone,
                entry.incarnation
            );
        }
    }

    /// Replaces the replicas of an entry by those that placement allows routers to use.
    pub(super) fn with_replicas(&self, change: TableChange) -> TableChange {
        let TableChange::Put(mut entry) = change else { return change };
        let planners = self.planners.borrow();
        let planned = planners.iter().find_map(|(_, planner)| planner.replicas(&entry.target));
        if let Some(planned) = planned {
            let version: crate::ids::Version = NEWEST_VERSION.parse().expect("a constant name");
            let replica = |model| Replica { model, version: version.clone() };
            entry.replicas = planned.into_iter().map(replica).collect();
        }
        TableChange::Put(entry)
    }

    /// Appends changes to the feed, except those without effect.
    pub(super) fn push_changes(&self, changes: Vec<TableChange>) {
        let changes: Vec<TableChange> =
            changes.into_iter().map(|change| self.withhold_unrecorded(change)).collect();
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
        self.notify_followers();
    }
}
