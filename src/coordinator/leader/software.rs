//! Keeps targets of a new software version from routers until the version is on record, and tells routers which
//! services have several.
//!
//! Whoever continues a stream relies on the record: a version that is not on it has begun none.

use super::Leader;
use crate::control::software::Command;
use crate::coordinator::software::Preparation;
use crate::ids::{ServiceName, SoftwareVersion, TargetId};
use crate::membership::feed::FeedCursor;
use crate::membership::table::{TableChange, TargetEntry};

/// Time without targets of a version after which it is taken off the record. It is longer than any
/// stream and than any router goes on without news of the leader.
const REMOVE_MS: u64 = 600_000;

/// The software versions that are on record.
pub trait SoftwareRecord {
    /// The versions of a service.
    fn versions(&self, service: &ServiceName) -> Vec<SoftwareVersion>;

    /// The services with more than one version, sorted.
    fn mixed(&self) -> Vec<(ServiceName, Vec<SoftwareVersion>)>;

    /// Changes the record in the background, and then calls [`Leader::handle_software_change`], also if it
    /// failed.
    fn record(&self, command: Command);
}

/// A service and a version of the software of its targets.
type ServiceSoftware = (ServiceName, SoftwareVersion);

/// What a leader knows of software versions besides the record.
#[derive(Debug, Default)]
pub(super) struct SoftwareState {
    /// Targets that routers are not told of, because their versions are not on record.
    withheld: Vec<TargetId>,
    /// Versions that are about to be put on record.
    preparing: Vec<Preparation>,
    /// Changes of the record that are under way.
    changing: Vec<Command>,
    /// Versions on record without a target, and since when.
    absent: Vec<(ServiceSoftware, u64)>,
    /// The services with several versions as routers are told, sorted.
    mixed: Vec<ServiceName>,
    /// The number of changes of these services.
    pub(super) cursor: FeedCursor,
}

impl SoftwareState {
    pub(super) fn new(cursor: FeedCursor) -> Self {
        Self { cursor, ..Self::default() }
    }

    /// The services with several versions, for a follower.
    pub(super) fn mixed(&self) -> (FeedCursor, Vec<ServiceName>) {
        (self.cursor, self.mixed.clone())
    }
}

impl Leader {
    /// Handles a change of the record, or a failed attempt to change it.
    pub fn handle_software_change(&self) {
        let withheld = {
            let mut software = self.software.borrow_mut();
            software.changing.clear();
            std::mem::take(&mut software.withheld)
        };
        let directory = self.directory.borrow();
        let mut entries: Vec<TargetEntry> =
            withheld.iter().filter_map(|target| directory.find(target).cloned()).collect();
        drop(directory);
        // A version that was taken off the record as one of its targets came back.
        let published = self.feed.borrow().table().entries().to_vec();
        entries.extend(published.into_iter().filter(|entry| !self.is_software_recorded(entry)));
        self.tell_mixed_services();
        let changes = entries.into_iter().map(|entry| self.with_replicas(TableChange::Put(entry)));
        let changes = changes.collect();
        self.push_changes(changes);
    }

    /// Replaces the entry of a target whose version is not on record by its removal, and prepares the
    /// version for the record.
    pub(super) fn withhold_unrecorded(&self, change: TableChange) -> TableChange {
        let TableChange::Put(entry) = &change else { return change };
        let (Some(service), Some(software)) = (entry.services.first(), &entry.software) else {
            return change;
        };
        if self.is_software_recorded(entry) {
            return change;
        }
        let target = entry.target.clone();
        let mut state = self.software.borrow_mut();
        if !state.withheld.contains(&target) {
            state.withheld.push(target.clone());
        }
        drop(state);
        match self.context.software.versions(service).is_empty() {
            true => self.change_record(Command::Add(service.clone(), software.clone())),
            false => self.prepare_software(service, software),
        }
        TableChange::Remove(target)
    }

    fn is_software_recorded(&self, entry: &TargetEntry) -> bool {
        match (entry.services.first(), &entry.software) {
            (Some(service), Some(software)) => {
                self.context.software.versions(service).contains(software)
            }
            _ => true,
        }
    }

    /// Tells routers that the service is about to have a further version.
    fn prepare_software(&self, service: &ServiceName, software: &SoftwareVersion) {
        let mut state = self.software.borrow_mut();
        let is_same =
            |known: &Preparation| known.service == *service && known.software == *software;
        let is_adding = state.changing.contains(&Command::Add(service.clone(), software.clone()));
        if is_adding || state.preparing.iter().any(is_same) {
            return;
        }
        state.preparing.push(Preparation {
            service: service.clone(),
            software: software.clone(),
            since_ms: self.context.clock.now_ms(),
            announced: FeedCursor::default(),
        });
        drop(state);
        log::info!(
            term = self.term.0, service:% = service, software:% = software,
            on_record:? = self.context.software.versions(service);
            "a further software version is held back until routers have told of their streams"
        );
        self.tell_mixed_services();
        let mut state = self.software.borrow_mut();
        let cursor = state.cursor;
        let unannounced = |known: &&mut Preparation| known.announced == FeedCursor::default();
        state.preparing.iter_mut().filter(unannounced).for_each(|known| known.announced = cursor);
    }

    /// Puts the versions on record that are prepared.
    pub(super) fn finish_preparations(&self, now_ms: u64) {
        let routers = self.routers.borrow();
        let is_complete =
            |known: &Preparation| known.is_complete(now_ms, self.leading_since_ms, &routers);
        let complete: Vec<Preparation> = self
            .software
            .borrow_mut()
            .preparing
            .extract_if(.., |known| is_complete(known))
            .collect();
        for Preparation { service, software, since_ms, .. } in complete {
            log::info!(
                service:% = service, software:% = software, held_back_ms = now_ms - since_ms,
                routers = routers.len();
                "a further software version is put on record"
            );
            self.change_record(Command::Add(service, software));
        }
    }

    fn change_record(&self, command: Command) {
        let mut state = self.software.borrow_mut();
        if state.changing.contains(&command) {
            return;
        }
        state.changing.push(command.clone());
        drop(state);
        log::info!(
            term = self.term.0, change:? = command;
            "the record of software versions is to be changed"
        );
        self.context.software.record(command);
    }

    /// Tells followers which services have several versions or are about to, if that has changed.
    fn tell_mixed_services(&self) {
        let recorded = self.context.software.mixed();
        let mut state = self.software.borrow_mut();
        let preparing = state.preparing.iter().map(|known| known.service.clone());
        let mut mixed: Vec<ServiceName> =
            recorded.into_iter().map(|(service, _)| service).chain(preparing).collect();
        mixed.sort_unstable();
        mixed.dedup();
        if state.mixed == mixed {
            return;
        }
        log::info!(
            term = self.term.0, mixed:? = mixed, mixed_before:? = state.mixed;
            "services with several software versions"
        );
        metrics::gauge!("fescuebay_mixed_services").set(mixed.len() as f64);
        state.mixed = mixed;
        state.cursor.sequence.0 += 1;
        drop(state);
        self.notify_followers();
    }

    /// Takes versions off the record that have had no target for long.
    pub(super) fn remove_absent_software(&self, now_ms: u64) {
        let mixed = self.context.software.mixed();
        let mut state = self.software.borrow_mut();
        if mixed.is_empty() {
            state.absent.clear();
            return;
        }
        let entries = self.directory.borrow().entries();
        let is_present = |(service, software): &ServiceSoftware| {
            entries.iter().any(|entry| {
                entry.services.first() == Some(service) && entry.software.as_ref() == Some(software)
            })
        };
        let versions = mixed.into_iter().flat_map(|(service, versions)| {
            versions.into_iter().map(move |software| (service.clone(), software))
        });
        let absent: Vec<_> = versions.filter(|version| !is_present(version)).collect();
        state.absent.retain(|(version, _)| absent.contains(version));
        for version in absent {
            if !state.absent.iter().any(|(known, _)| *known == version) {
                state.absent.push((version, now_ms));
            }
        }
        let is_due = |since_ms: u64| now_ms.saturating_sub(since_ms) >= REMOVE_MS;
        let due = state.absent.iter().find(|(_, since_ms)| is_due(*since_ms));
        let due = due.map(|((service, software), _)| (service.clone(), software.clone()));
        drop(state);
        if let Some((service, software)) = due {
            self.change_record(Command::Remove(service, software));
        }
    }
}
