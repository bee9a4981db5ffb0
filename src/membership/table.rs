//! The route table: an immutable picture of the targets, read by the traffic threads.

use std::net::SocketAddr;

use crate::ids::{Incarnation, ModelRef, Sequence, ServiceName, TargetId, Version, Zone};
use crate::target::order::Kind;

/// Whether a target may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Standing {
    /// Takes work.
    Up,
    /// Its announcements are late: it gets work only if no other target can do it.
    Suspect,
    /// Finishes what it has and gets nothing new.
    Leaving,
}

/// A replica that is ready for work.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Replica {
    /// The model or adapter.
    pub model: ModelRef,
    /// The version of its weights.
    pub version: Version,
}

/// A target as routers know it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TargetEntry {
    /// The target's id.
    pub target: TargetId,
    /// The life of the target that this tells of.
    pub incarnation: Incarnation,
    /// What kind of target it is.
    pub kind: Kind,
    /// Where it runs.
    pub availability_zone: Zone,
    /// Where it is called.
    pub address: SocketAddr,
    /// Whether it may get new work.
    pub standing: Standing,
    /// Calls that it may run at once, as it announced.
    pub slots: u32,
    /// Replicas that are ready, sorted.
    pub replicas: Vec<Replica>,
    /// Plain services that it offers, sorted.
    pub services: Vec<ServiceName>,
}

/// One change of the route table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum TableChange {
    /// A target is new or differs.
    Put(TargetEntry),
    /// A target is gone.
    Remove(TargetId),
    /// A target has other replicas, and nothing else of it differs.
    Replicas {
        /// The target.
        target: TargetId,
        /// What it does not hold any more.
        removed: Vec<Replica>,
        /// What it holds now.
        added: Vec<Replica>,
    },
}

impl TableChange {
    /// The target that it is about.
    pub fn target(&self) -> &TargetId {
        match self {
            TableChange::Put(entry) => &entry.target,
            TableChange::Remove(target) | TableChange::Replicas { target, .. } => target,
        }
    }

    /// The same change, as little as says it to those who have `known`.
    fn narrowed(self, known: Option<&TargetEntry>) -> Self {
        let (TableChange::Put(entry), Some(known)) = (&self, known) else { return self };
        let is_rest_same =
            TargetEntry { replicas: known.replicas.clone(), ..entry.clone() } == *known;
        if !is_rest_same || entry.replicas == known.replicas {
            return self;
        }
        let without = |these: &[Replica], those: &[Replica]| -> Vec<Replica> {
            these.iter().filter(|replica| !those.contains(replica)).cloned().collect()
        };
        let removed = without(&known.replicas, &entry.replicas);
        let added = without(&entry.replicas, &known.replicas);
        TableChange::Replicas { target: entry.target.clone(), removed, added }
    }
}

impl TargetEntry {
    fn change_replicas(&mut self, removed: &[Replica], added: &[Replica]) {
        self.replicas.retain(|held| !removed.contains(held));
        self.replicas.extend_from_slice(added);
        self.replicas.sort();
    }
}

/// The targets, sorted by id, with an index from models and services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    sequence: Sequence,
    entries: Vec<TargetEntry>,
    models: Vec<(ModelRef, Box<[u32]>)>,
    services: Vec<(ServiceName, Box<[u32]>)>,
}

impl RouteTable {
    /// Builds the table of `entries` as of `sequence`.
    pub fn new(sequence: Sequence, mut entries: Vec<TargetEntry>) -> Self {
        entries.sort_unstable_by(|a, b| a.target.cmp(&b.target));
        entries.dedup_by(|a, b| a.target == b.target);
        let models = index(&entries, |entry| entry.replicas.iter().map(|r| r.model.clone()));
        let services = index(&entries, |entry| entry.services.iter().cloned());
        Self { sequence, entries, models, services }
    }

    /// The last change that this table contains.
    pub fn sequence(&self) -> Sequence {
        self.sequence
    }

    /// All targets, sorted by id.
    pub fn entries(&self) -> &[TargetEntry] {
        &self.entries
    }

    /// The target at a place that [`RouteTable::holding`] or [`RouteTable::serving`] gave.
    pub fn entry(&self, place: u32) -> &TargetEntry {
        &self.entries[place as usize]
    }

    /// The target of this id.
    pub fn find(&self, target: &TargetId) -> Option<&TargetEntry> {
        let place = self.entries.binary_search_by(|entry| entry.target.cmp(target)).ok()?;
        Some(&self.entries[place])
    }

    /// Places of the targets that hold a replica of `model` ready for work, in any version.
    pub fn holding(&self, model: &ModelRef) -> &[u32] {
        places(&self.models, model)
    }

    /// Places of the targets that offer `service`.
    pub fn serving(&self, service: &ServiceName) -> &[u32] {
        places(&self.services, service)
    }

    /// The same changes, as little as says them to those who have this table.
    pub(super) fn narrowed(&self, changes: Vec<TableChange>) -> Vec<TableChange> {
        let mut narrowed: Vec<TableChange> = Vec::with_capacity(changes.len());
        for change in changes {
            // A second change of one target would have to be held against the first.
            let is_first = narrowed.iter().all(|earlier| earlier.target() != change.target());
            let known = self.find(change.target()).filter(|_| is_first);
            narrowed.push(change.narrowed(known));
        }
        narrowed
    }

    /// The table after `changes`, the last of which has the number `sequence`.
    pub fn after(&self, sequence: Sequence, changes: &[TableChange]) -> Self {
        let mut entries = self.entries.clone();
        for change in changes {
            let place = entries.binary_search_by(|entry| entry.target.cmp(change.target()));
            match (place, change) {
                (Ok(at), TableChange::Put(entry)) => entries[at] = entry.clone(),
                (Err(at), TableChange::Put(entry)) => entries.insert(at, entry.clone()),
                (Ok(at), TableChange::Remove(_)) => drop(entries.remove(at)),
                (Ok(at), TableChange::Replicas { removed, added, .. }) => {
                    entries[at].change_replicas(removed, added);
                }
                (Err(_), TableChange::Remove(_) | TableChange::Replicas { .. }) => {}
            }
        }
        Self::new(sequence, entries)
    }
}

fn places<'a, K: Ord>(index: &'a [(K, Box<[u32]>)], key: &K) -> &'a [u32] {
    match index.binary_search_by(|(k, _)| k.cmp(key)) {
        Ok(at) => &index[at].1,
        Err(_) => &[],
    }
}

fn index<'a, K: Ord, I: Iterator<Item = K>>(
    entries: &'a [TargetEntry],
    keys: impl Fn(&'a TargetEntry) -> I,
) -> Vec<(K, Box<[u32]>)> {
    let mut pairs: Vec<(K, u32)> = Vec::new();
    for (place, entry) in entries.iter().enumerate() {
        pairs.extend(keys(entry).map(|key| (key, place as u32)));
    }
    pairs.sort_unstable();
    pairs.dedup();
    let mut index: Vec<(K, Vec<u32>)> = Vec::new();
    for (key, place) in pairs {
        match index.last_mut() {
            Some((last, places)) if *last == key => places.push(place),
            _ => index.push((key, vec![place])),
        }
    }
    index.into_iter().map(|(key, places)| (key, places.into_boxed_slice())).collect()
}
