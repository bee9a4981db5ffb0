//! The memory of each target, and the replicas that take it.
//!
//! Memory is freed only by the target's own state, read under this leader's fencing number, or by
//! the end of the target.

use std::net::SocketAddr;

use crate::ids::{Incarnation, ModelRef, OrderId, TargetId, Zone};
use crate::placement::catalogue;
use crate::target::order;
use crate::units::Bytes;

/// How far a replica is, as far as this leader knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaStage {
    /// The order to load was given and is not known to have been taken.
    Reserved,
    /// The target loads the weights.
    Loading,
    /// The order to cancel the load was given; the target may still load.
    Cancelling,
    /// Ready for work.
    Loaded,
    /// To be unloaded as soon as the target may get an order.
    Retiring,
    /// The order to unload was given and is not known to have been taken.
    Releasing,
    /// The target finishes work and then frees the memory.
    Unloading,
}

/// What a replica was ordered for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPurpose {
    /// For requests that wait or for a floor that operators set.
    Required,
    /// For requests that are likely to come.
    Preload,
}

/// A replica on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// What it holds.
    pub weights: catalogue::Weights,
    /// Memory that it takes.
    pub memory_bytes: Bytes,
    /// How far it is.
    pub stage: ReplicaStage,
    /// What it was ordered for.
    pub purpose: LoadPurpose,
    /// Where its weights are read from.
    pub source: catalogue::WeightSource,
    /// When it came to this stage.
    pub stage_since_ms: u64,
    /// When it is expected to be ready, while it loads.
    pub expected_ready_ms: u64,
    /// When the target is asked about it next, while it changes.
    pub next_read_ms: u64,
}

impl ReplicaEntry {
    /// Whether it may be loading or loaded, so that it counts towards the replicas decided.
    pub fn is_counted_as_replica(&self) -> bool {
        self.stage != ReplicaStage::Unloading
    }

    /// Whether it serves or will serve.
    pub fn is_serving(&self) -> bool {
        matches!(self.stage, ReplicaStage::Reserved | ReplicaStage::Loading | ReplicaStage::Loaded)
    }

    /// Whether it may be reading weights.
    pub fn is_in_transit(&self) -> bool {
        matches!(
            self.stage,
            ReplicaStage::Reserved | ReplicaStage::Loading | ReplicaStage::Cancelling
        )
    }
}

/// An order that was given and has not been settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingOrder {
    /// Its id.
    pub order_id: OrderId,
    /// What it asks for.
    pub action: order::Action,
    /// The replica it is about.
    pub weights: catalogue::Weights,
    /// Unix time after which the target refuses it.
    pub expires_ms: u64,
    /// Whether no answer will come: the target's state settles it.
    pub is_lost: bool,
}

/// A question about the target's state that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingRead {
    /// The fencing number that it carries.
    pub fencing: order::Fencing,
    /// When it was sent.
    pub sent_ms: u64,
}

/// What this leader knows of a target's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetStatus {
    /// Its state has to be read before it gets orders.
    Unread,
    /// Its state was read.
    Read,
    /// It is gone. What it held is forgotten after a while.
    Gone {
        /// When it went.
        since_ms: u64,
    },
}

/// The account of one target.
#[derive(Clone, Debug)]
pub struct TargetAccount {
    /// The target.
    pub target: TargetId,
    /// The life of the target that this is about.
    pub incarnation: Incarnation,
    /// Its last announcement.
    pub sequence: u64,
    /// Where it is called.
    pub address: SocketAddr,
    /// Where it runs.
    pub availability_zone: Zone,
    /// Memory for replicas, without the share kept for KV cache.
    pub capacity_bytes: Bytes,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// What is known of its state.
    pub status: TargetStatus,
    /// Whether its loads count towards the limits on loads.
    pub is_counted_in_load_limits: bool,
    /// When an order that it may still get without checking the fencing number has expired.
    pub former_orders_expire_ms: u64,
    /// Copies of weights that it has at hand, sorted.
    pub cached: Vec<(catalogue::Weights, order::Tier)>,
    /// The order that is not settled.
    pub pending_order: Option<PendingOrder>,
    /// The question that is not answered.
    pub pending_read: Option<PendingRead>,
    /// When its state is to be read for another reason than a replica's progress.
    pub state_read_due_ms: Option<u64>,
    /// Questions that failed in a row.
    pub failed_reads: u32,
    /// No question is sent before this time.
    pub earliest_read_ms: u64,
    /// When this account has to be looked at again.
    pub timer_ms: Option<u64>,
    /// Weights that failed to load here, with the time until which they are not tried again.
    pub avoided_weights: Vec<(catalogue::Weights, u64)>,
    /// Accelerators that share the memory.
    pub accelerators: u32,
    entries: Vec<ReplicaEntry>,
    used_bytes: Bytes,
}

impl TargetAccount {
    /// The account of a target that was announced and not read yet.
    pub fn new(state: &order::State, capacity_bytes: Bytes) -> Self {
        Self {
            target: state.target.clone(),
            incarnation: state.incarnation,
            sequence: state.sequence,
            address: state.address,
            availability_zone: state.availability_zone.clone(),
            capacity_bytes,
            checks_fencing: state.checks_fencing,
            is_leaving: state.leaving,
            status: TargetStatus::Unread,
            is_counted_in_load_limits: true,
            former_orders_expire_ms: 0,
            cached: Vec::new(),
            pending_order: None,
            pending_read: None,
            state_read_due_ms: None,
            failed_reads: 0,
            earliest_read_ms: 0,
            timer_ms: None,
            avoided_weights: Vec::new(),
            accelerators: state.accelerators.max(1),
            entries: Vec::new(),
            used_bytes: Bytes(0),
        }
    }

    /// Its replicas, sorted by weights.
    pub fn entries(&self) -> &[ReplicaEntry] {
        &self.entries
    }

    /// Memory that replicas take or may take.
    pub fn used_bytes(&self) -> Bytes {
        self.used_bytes
    }

    /// Memory that a new replica may take.
    pub fn free_bytes(&self) -> Bytes {
        Bytes(self.capacity_bytes.0.saturating_sub(self.used_bytes.0))
    }

    /// Memory that the target is about to free.
    pub fn unloading_bytes(&self) -> Bytes {
        let ending = self.entries.iter().filter(|entry| !entry.is_serving());
        Bytes(ending.map(|entry| entry.memory_bytes.0).sum())
    }

    /// Whether it is not gone.
    pub fn is_present(&self) -> bool {
        !matches!(self.status, TargetStatus::Gone { .. })
    }

    /// Whether an order may be sent now.
    pub fn can_receive_order(&self) -> bool {
        self.status == TargetStatus::Read
            && self.pending_order.is_none()
            && self.pending_read.is_none()
    }

    /// The replica with these weights.
    pub fn find(&self, weights: &catalogue::Weights) -> Option<&ReplicaEntry> {
        self.place(weights).ok().map(|at| &self.entries[at])
    }

    /// Replicas of `model` in any version.
    pub fn replicas_of(&self, model: &ModelRef) -> &[ReplicaEntry] {
        let from = self.entries.partition_point(|entry| entry.weights.model < *model);
        let to = self.entries.partition_point(|entry| entry.weights.model <= *model);
        &self.entries[from..to]
    }

    /// Replicas of `model` and of all adapters on it.
    pub fn replicas_with_adapters(&self, model: &ModelRef) -> &[ReplicaEntry] {
        let from = self.entries.partition_point(|entry| entry.weights.model.model < model.model);
        let to = self.entries.partition_point(|entry| entry.weights.model.model <= model.model);
        &self.entries[from..to]
    }

    /// The fastest source of these weights. While a replica is being unloaded its copy may displace
    /// others from memory, so none of these is relied on.
    pub fn source(&self, weights: &catalogue::Weights) -> catalogue::WeightSource {
        let at = self.cached.partition_point(|(cached, _)| cached < weights);
        let copy = self.cached.get(at).filter(|(cached, _)| cached == weights);
        match copy.map(|(_, tier)| *tier) {
            Some(order::Tier::Memory) if self.is_unloading() => catalogue::WeightSource::Store,
            tier => tier.into(),
        }
    }

    fn is_unloading(&self) -> bool {
        let is_ending = |entry: &ReplicaEntry| {
            matches!(entry.stage, ReplicaStage::Releasing | ReplicaStage::Unloading)
        };
        self.entries.iter().any(is_ending)
    }

    /// Whether these weights failed here a short time ago.
    pub fn is_avoided(&self, weights: &catalogue::Weights, now_ms: u64) -> bool {
        self.avoided_weights
            .iter()
            .any(|(avoided, until_ms)| avoided == weights && *until_ms > now_ms)
    }

    /// Does not try these weights here until `until_ms`.
    pub fn avoid(&mut self, weights: catalogue::Weights, now_ms: u64, until_ms: u64) {
        self.avoided_weights
            .retain(|(avoided, until_ms)| *avoided != weights && *until_ms > now_ms);
        self.avoided_weights.push((weights, until_ms));
    }

    fn place(&self, weights: &catalogue::Weights) -> std::result::Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.weights.cmp(weights))
    }

    pub(super) fn put(&mut self, entry: ReplicaEntry) -> Option<ReplicaEntry> {
        self.used_bytes.0 += entry.memory_bytes.0;
        match self.place(&entry.weights) {
            Ok(at) => {
                let old = std::mem::replace(&mut self.entries[at], entry);
                self.used_bytes.0 -= old.memory_bytes.0;
                Some(old)
            }
            Err(at) => {
                self.entries.insert(at, entry);
                None
            }
        }
    }

    pub(super) fn remove(&mut self, weights: &catalogue::Weights) -> Option<ReplicaEntry> {
        let entry = self.entries.remove(self.place(weights).ok()?);
        self.used_bytes.0 -= entry.memory_bytes.0;
        Some(entry)
    }
}

/// The accounts of all targets, sorted by target.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: Vec<TargetAccount>,
}

impl Ledger {
    /// All accounts, sorted by target.
    pub fn accounts(&self) -> &[TargetAccount] {
        &self.accounts
    }

    /// The account of `target`.
    pub fn find(&self, target: &TargetId) -> Option<&TargetAccount> {
        let at = self.accounts.binary_search_by(|account| account.target.cmp(target)).ok()?;
        Some(&self.accounts[at])
    }

    /// The account of `target`.
    pub(super) fn find_mut(&mut self, target: &TargetId) -> Option<&mut TargetAccount> {
        let at = self.accounts.binary_search_by(|account| account.target.cmp(target)).ok()?;
        Some(&mut self.accounts[at])
    }

    pub(super) fn insert(&mut self, account: TargetAccount) {
        match self.accounts.binary_search_by(|a| a.target.cmp(&account.target)) {
            Ok(at) => self.accounts[at] = account,
            Err(at) => self.accounts.insert(at, account),
        }
    }

    pub(super) fn remove(&mut self, target: &TargetId) {
        self.accounts.retain(|account| account.target != *target);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn used_memory_follows_the_entries() {
        let weights = |model: &str| catalogue::Weights {
            model: model.parse().unwrap(),
            version: "1".parse().unwrap(),
        };
        let entry = |model: &str, bytes| ReplicaEntry {
            weights: weights(model),
            memory_bytes: Bytes(bytes),
            stage: ReplicaStage::Reserved,
            purpose: LoadPurpose::Required,
            source: catalogue::WeightSource::Store,
            stage_since_ms: 0,
            expected_ready_ms: 0,
            next_read_ms: 0,
        };
        let state = order::State {
            target: "t".parse().unwrap(),
            incarnation: Incarnation(1),
            sequence: 0,
            kind: order::Kind::Assistant,
            availability_zone: "a".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            memory_bytes: Bytes(10),
            accelerators: 1,
            holds: Vec::new(),
            cached: Vec::new(),
            services: Vec::new(),
            checks_fencing: true,
            load: order::Load::default(),
            leaving: false,
        };
        let mut account = TargetAccount::new(&state, Bytes(10));
        account.put(entry("quill", 4));
        account.put(entry("quill:tower", 1));
        account.put(entry("quill", 5));
        account.put(entry("reed", 2));
        assert_eq!((account.used_bytes(), account.free_bytes()), (Bytes(8), Bytes(2)));
        assert_eq!(account.replicas_with_adapters(&"quill".parse().unwrap()).len(), 2);
        assert_eq!(account.replicas_of(&"quill".parse().unwrap()).len(), 1);
        account.remove(&weights("quill"));
        assert_eq!(account.free_bytes(), Bytes(7));
    }
}
