//! The route table: an immutable snapshot of the targets, read by the traffic threads.

use std::net::SocketAddr;

use crate::ids::{
    Incarnation, ModelRef, Sequence, ServiceName, SoftwareVersion, TargetId, Version, Zone,
};
use crate::rate_limit::TargetLife;
use crate::target::order::Kind;

/// Whether a target may receive new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Standing {
    /// Accepts requests.
    Up,
    /// Its announcements are overdue: it receives requests only if no other target can serve them.
    Suspect,
    /// Finishes its running requests and receives no new ones.
    Leaving,
}

/// A replica that is ready to serve requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Replica {
    /// The model or adapter.
    pub model: ModelRef,
    /// The version of its weights.
    pub version: Version,
}

/// The entry of a target in the route table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TargetEntry {
    /// The target's id.
    pub target: TargetId,
    /// The incarnation of the target.
    pub incarnation: Incarnation,
    /// The version of its software, if it names one.
    pub software: Option<SoftwareVersion>,
    /// The kind of target.
    pub kind: Kind,
    /// The availability zone in which it runs.
    pub availability_zone: Zone,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Whether it may receive new requests.
    pub standing: Standing,
    /// Requests that it can run concurrently, as announced.
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
    /// A target is new or its entry differs.
    Put(TargetEntry),
    /// A target is removed.
    Remove(TargetId),
    /// Only the replicas of a target differ.
    Replicas {
        /// The target.
        target: TargetId,
        /// Replicas that it no longer holds.
        removed: Vec<Replica>,
        /// Replicas that it newly holds.
        added: Vec<Replica>,
    },
}

impl TableChange {
    /// The target that the change affects.
    pub fn target(&self) -> &TargetId {
        match self {
            TableChange::Put(entry) => &entry.target,
            TableChange::Remove(target) | TableChange::Replicas { target, .. } => target,
        }
    }

    /// Reduces the change to its difference from `known`, the entry that followers have.
    fn reduced(self, known: Option<&TargetEntry>) -> Self {
        let (TableChange::Put(entry), Some(known)) = (&self, known) else { return self };
        let is_rest_same =
            TargetEntry { replicas: known.replicas.clone(), ..entry.clone() } == *known;
        if !is_rest_same || entry.replicas == known.replicas {
            return self;
        }
        let difference = |all: &[Replica], excluded: &[Replica]| -> Vec<Replica> {
            all.iter().filter(|replica| !excluded.contains(replica)).cloned().collect()
        };
        let removed = difference(&known.replicas, &entry.replicas);
        let added = difference(&entry.replicas, &known.replicas);
        TableChange::Replicas { target: entry.target.clone(), removed, added }
    }
}

impl TargetEntry {
    /// The incarnation of the target that the entry is about.
    pub fn life(&self) -> TargetLife {
        TargetLife { target: self.target.clone(), incarnation: self.incarnation }
    }

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
        let models = build_index(&entries, |entry| entry.replicas.iter().map(|r| r.model.clone()));
        let services = build_index(&entries, |entry| entry.services.iter().cloned());
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

    /// The target at a position that [`RouteTable::holding`] or [`RouteTable::serving`] returned.
    pub fn entry(&self, position: u32) -> &TargetEntry {
        &self.entries[position as usize]
    }

    /// Looks up a target by id.
    pub fn find(&self, target: &TargetId) -> Option<&TargetEntry> {
        let position = self.entries.binary_search_by(|entry| entry.target.cmp(target)).ok()?;
        Some(&self.entries[position])
    }

    /// Positions of the targets that hold a ready replica of `model`, in any version.
    pub fn holding(&self, model: &ModelRef) -> &[u32] {
        positions(&self.models, model)
    }

    /// Positions of the targets that offer `service`.
    pub fn serving(&self, service: &ServiceName) -> &[u32] {
        positions(&self.services, service)
    }

    /// Reduces changes to their difference from this table, which followers have.
    pub(super) fn reduced(&self, changes: Vec<TableChange>) -> Vec<TableChange> {
        let mut reduced: Vec<TableChange> = Vec::with_capacity(changes.len());
        for change in changes {
            // A second change of one target would have to be compared with the first one, not with
            // this table.
            let is_first = reduced.iter().all(|earlier| earlier.target() != change.target());
            let known = self.find(change.target()).filter(|_| is_first);
            reduced.push(change.reduced(known));
        }
        reduced
    }

    /// Returns the table after `changes`, the last of which has the number `sequence`.
    pub fn after(&self, sequence: Sequence, changes: &[TableChange]) -> Self {
        let mut entries = self.entries.clone();
        for change in changes {
            let position = entries.binary_search_by(|entry| entry.target.cmp(change.target()));
            match (position, change) {
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

fn positions<'a, K: Ord>(index: &'a [(K, Box<[u32]>)], key: &K) -> &'a [u32] {
    match index.binary_search_by(|(k, _)| k.cmp(key)) {
        Ok(at) => &index[at].1,
        Err(_) => &[],
    }
}

fn build_index<'a, K: Ord, I: Iterator<Item = K>>(
    entries: &'a [TargetEntry],
    keys: impl Fn(&'a TargetEntry) -> I,
) -> Vec<(K, Box<[u32]>)> {
    let mut pairs: Vec<(K, u32)> = Vec::new();
    for (position, entry) in entries.iter().enumerate() {
        pairs.extend(keys(entry).map(|key| (key, position as u32)));
    }
    pairs.sort_unstable();
    pairs.dedup();
    let mut index: Vec<(K, Vec<u32>)> = Vec::new();
    for (key, position) in pairs {
        match index.last_mut() {
            Some((last, positions)) if *last == key => positions.push(position),
            _ => index.push((key, vec![position])),
        }
    }
    index.into_iter().map(|(key, positions)| (key, positions.into_boxed_slice())).collect()
}
