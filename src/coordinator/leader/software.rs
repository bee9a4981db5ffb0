//! Keeps targets of a new software version from routers until the version is on record, and tells routers which
//! services have several.
//!
//! Whoever continues a stream relies on the record: a version that is not on it has begun none.

use super::Leader;
use crate::control::software::Command;
use crate::ids::{ServiceName, SoftwareVersion};
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

/// Versions that are not on record, and their targets.
#[derive(Debug, Default)]
pub(super) struct UnrecordedSoftware {
    /// Targets that routers are not told of.
    withheld: Vec<crate::ids::TargetId>,
    /// Changes of the record that are under way.
    changing: Vec<Command>,
    /// Versions without a target, and since when.
    absent: Vec<((ServiceName, SoftwareVersion), u64)>,
    /// The services with several versions that routers were told last.
    told_mixed: Vec<ServiceName>,
}

impl Leader {
    /// Handles a change of the record, or a failed attempt to change it.
    pub fn handle_software_change(&self) {
        let withheld = {
            let mut unrecorded = self.unrecorded.borrow_mut();
            unrecorded.changing.clear();
            std::mem::take(&mut unrecorded.withheld)
        };
        self.tell_mixed_services();
        let directory = self.directory.borrow();
        let mut entries: Vec<TargetEntry> =
            withheld.iter().filter_map(|target| directory.find(target).cloned()).collect();
        drop(directory);
        // A version that was taken off the record as one of its targets came back.
        let published = self.feed.borrow().table().entries().to_vec();
        entries.extend(published.into_iter().filter(|entry| !self.is_software_recorded(entry)));
        let changes = entries.into_iter().map(|entry| self.with_replicas(TableChange::Put(entry)));
        let changes = changes.collect();
        self.push_changes(changes);
    }

    /// Replaces the entry of a target whose version is not on record by its removal, and starts to record the
    /// version.
    pub(super) fn withhold_unrecorded(&self, change: TableChange) -> TableChange {
        let TableChange::Put(entry) = &change else { return change };
        if self.is_software_recorded(entry) {
            return change;
        }
        let (Some(service), Some(software)) = (entry.services.first(), &entry.software) else {
            return change;
        };
        let target = entry.target.clone();
        let mut unrecorded = self.unrecorded.borrow_mut();
        if !unrecorded.withheld.contains(&target) {
            unrecorded.withheld.push(target.clone());
        }
        drop(unrecorded);
        self.change_record(Command::Add(service.clone(), software.clone()));
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

    fn change_record(&self, command: Command) {
        let mut unrecorded = self.unrecorded.borrow_mut();
        if unrecorded.changing.contains(&command) {
            return;
        }
        unrecorded.changing.push(command.clone());
        drop(unrecorded);
        log::info!(
            term = self.term.0, change:? = command;
            "the record of software versions is to be changed"
        );
        self.context.software.record(command);
    }

    /// The services with several versions, for a follower at another position.
    pub(super) fn mixed_services(&self) -> Vec<ServiceName> {
        self.unrecorded.borrow().told_mixed.clone()
    }

    /// Tells followers which services have several versions, if that has changed.
    pub(super) fn tell_mixed_services(&self) {
        let mixed: Vec<ServiceName> =
            self.context.software.mixed().into_iter().map(|(service, _)| service).collect();
        let mut unrecorded = self.unrecorded.borrow_mut();
        if unrecorded.told_mixed == mixed {
            return;
        }
        log::info!(
            term = self.term.0, mixed:? = mixed, mixed_before:? = unrecorded.told_mixed;
            "services with several software versions"
        );
        metrics::gauge!("fescuebay_mixed_services").set(mixed.len() as f64);
        unrecorded.told_mixed = mixed;
        drop(unrecorded);
        let mut cursor = self.mixed_services_cursor.get();
        cursor.sequence.0 += 1;
        self.mixed_services_cursor.set(cursor);
        self.notify_followers();
    }

    /// Takes versions off the record that have had no target for long.
    pub(super) fn remove_absent_software(&self, now_ms: u64) {
        let mixed = self.context.software.mixed();
        let mut unrecorded = self.unrecorded.borrow_mut();
        if mixed.is_empty() {
            unrecorded.absent.clear();
            return;
        }
        let entries = self.directory.borrow().entries();
        let is_present = |(service, software): &(ServiceName, SoftwareVersion)| {
            entries.iter().any(|entry| {
                entry.services.first() == Some(service) && entry.software.as_ref() == Some(software)
            })
        };
        let versions = mixed.into_iter().flat_map(|(service, versions)| {
            versions.into_iter().map(move |software| (service.clone(), software))
        });
        let absent: Vec<_> = versions.filter(|version| !is_present(version)).collect();
        unrecorded.absent.retain(|(version, _)| absent.contains(version));
        for version in absent {
            if !unrecorded.absent.iter().any(|(known, _)| *known == version) {
                unrecorded.absent.push((version, now_ms));
            }
        }
        let is_due = |since_ms: u64| now_ms.saturating_sub(since_ms) >= REMOVE_MS;
        let due = unrecorded.absent.iter().find(|(_, since_ms)| is_due(*since_ms));
        let due = due.map(|((service, software), _)| (service.clone(), software.clone()));
        drop(unrecorded);
        if let Some((service, software)) = due {
            self.change_record(Command::Remove(service, software));
        }
    }
}
