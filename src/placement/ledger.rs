//! Ledger of the memory of each target and the replicas that occupy it.
//!
//! Memory is released only when the target's own state, read under this leader's fencing number,
//! shows it as free, or when the target is gone.

use std::net::SocketAddr;

use crate::ids::{Incarnation, ModelRef, OrderId, TargetId, Zone};
use crate::placement::catalogue;
use crate::target::order;
use crate::units::Bytes;

/// Lifecycle stage of a replica, as known to this leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaStage {
    /// The load was ordered and not yet confirmed.
    Reserved,
    /// The target is loading the weights.
    Loading,
    /// The load's cancellation was ordered; the target may still be loading.
    Cancelling,
    /// Ready to serve requests.
    Loaded,
    /// To be unloaded as soon as the target can receive an order.
    Retiring,
    /// The unload was ordered and not yet confirmed.
    Releasing,
    /// The target finishes running requests and then frees the memory.
    Unloading,
}

/// What a replica was ordered for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPurpose {
    /// For waiting requests or a minimum set by operators.
    Required,
    /// For expected requests.
    Preload,
}

/// A replica on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaEntry {
    /// The weights of the replica.
    pub weights: catalogue::Weights,
    /// Memory that the replica occupies.
    pub memory_bytes: Bytes,
    /// The lifecycle stage.
    pub stage: ReplicaStage,
    /// What it was ordered for.
    pub purpose: LoadPurpose,
    /// Where its weights are read from.
    pub source: catalogue::WeightSource,
    /// When the replica entered this stage.
    pub stage_since_ms: u64,
    /// When a loading replica is expected to be ready.
    pub expected_ready_ms: u64,
    /// When the target's state is read next, while the replica changes.
    pub next_read_ms: u64,
}

impl ReplicaEntry {
    /// Whether it may be loading or loaded, and so counts towards the decided replicas.
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

/// An order that was sent and whose outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingOrder {
    /// Its id.
    pub order_id: OrderId,
    /// The ordered action.
    pub action: order::Action,
    /// The replica that the order is for.
    pub weights: catalogue::Weights,
    /// Unix time after which the target refuses it.
    pub expires_ms: u64,
    /// Whether no reply will come, so that only the target's state shows the outcome.
    pub is_lost: bool,
}

/// A state read that was sent and not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingRead {
    /// The fencing number of the request.
    pub fencing: order::Fencing,
    /// When it was sent.
    pub sent_ms: u64,
}

/// Whether this leader knows a target's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetStatus {
    /// The state must be read before the target gets orders.
    Unread,
    /// The state was read.
    Read,
    /// The target is gone. Its replicas are removed after a while.
    Gone {
        /// When the target was reported gone.
        since_ms: u64,
    },
}

/// The account of one target.
#[derive(Clone, Debug)]
pub struct TargetAccount {
    /// The target.
    pub target: TargetId,
    /// The incarnation that this account describes.
    pub incarnation: Incarnation,
    /// Sequence number of the last announcement.
    pub sequence: u64,
    /// The target's address.
    pub address: SocketAddr,
    /// The target's availability zone.
    pub availability_zone: Zone,
    /// Memory for replicas, without the share kept for KV cache.
    pub capacity_bytes: Bytes,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Whether the target's state is known.
    pub status: TargetStatus,
    /// Whether its loads count towards the limits on loads.
    pub is_counted_in_load_limits: bool,
    /// When the orders of a former leader have expired, for a target that ignores fencing.
    pub former_orders_expire_ms: u64,
    /// Copies of weights in the target's memory or on its disk, sorted.
    pub cached: Vec<(catalogue::Weights, order::Tier)>,
    /// The order whose outcome is unknown.
    pub pending_order: Option<PendingOrder>,
    /// The state read that was not answered.
    pub pending_read: Option<PendingRead>,
    /// When the state is to be read for a reason other than a replica's progress.
    pub state_read_due_ms: Option<u64>,
    /// Consecutive state reads that failed.
    pub failed_reads: u32,
    /// No state read is sent before this time.
    pub earliest_read_ms: u64,
    /// When the timer of this account expires.
    pub timer_ms: Option<u64>,
    /// Weights that failed to load on this target, with the time until which they are excluded.
    pub avoided_weights: Vec<(catalogue::Weights, u64)>,
    /// Accelerators that share the memory.
    pub accelerators: u32,
    entries: Vec<ReplicaEntry>,
    used_bytes: Bytes,
}

impl TargetAccount {
    /// Creates the account of a target that was announced and not read yet.
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

    /// Memory that the target will free soon.
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

    /// The fastest source of these weights. Copies in memory are not relied on while a replica is
    /// being unloaded, since its copy may displace others from memory.
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

    /// Whether these weights are excluded on this target.
    pub fn is_avoided(&self, weights: &catalogue::Weights, now_ms: u64) -> bool {
        self.avoided_weights
            .iter()
            .any(|(avoided, until_ms)| avoided == weights && *until_ms > now_ms)
    }

    /// Excludes these weights on this target until `until_ms`.
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
    fn used_memory_equals_the_sum_of_the_entries() {
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
            software: None,
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
