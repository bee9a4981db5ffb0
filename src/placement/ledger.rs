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
pub enum Stage {
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
pub enum Purpose {
    /// For requests that wait or for a floor that operators set.
    Work,
    /// For requests that are likely to come.
    Preload,
}

/// A replica on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// What it holds.
    pub weights: catalogue::Weights,
    /// Memory that it takes.
    pub memory_bytes: Bytes,
    /// How far it is.
    pub stage: Stage,
    /// What it was ordered for.
    pub purpose: Purpose,
    /// Where its weights are read from.
    pub source: catalogue::Source,
    /// When it came to this stage.
    pub since_ms: u64,
    /// When it is expected to be ready, while it loads.
    pub ready_ms: u64,
    /// When the target is asked about it next, while it changes.
    pub ask_ms: u64,
}

impl Entry {
    /// Whether it may be loading or loaded, so that it counts towards the replicas decided.
    pub fn is_counted(&self) -> bool {
        self.stage != Stage::Unloading
    }

    /// Whether it serves or will serve.
    pub fn is_serving(&self) -> bool {
        matches!(self.stage, Stage::Reserved | Stage::Loading | Stage::Loaded)
    }

    /// Whether it may be reading weights.
    pub fn is_in_transit(&self) -> bool {
        matches!(self.stage, Stage::Reserved | Stage::Loading | Stage::Cancelling)
    }
}

/// An order that was given and has not been settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pending {
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
pub struct Question {
    /// The fencing number that it carries.
    pub fencing: order::Fencing,
    /// When it was sent.
    pub asked_ms: u64,
}

/// What this leader knows of a target's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Its state has to be read before it gets orders.
    Unread,
    /// Its state was read.
    Known,
    /// It is gone. What it held is forgotten after a while.
    Gone {
        /// When it went.
        since_ms: u64,
    },
}

/// The account of one target.
#[derive(Clone, Debug)]
pub struct Account {
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
    pub standing: Standing,
    /// Whether its loads count towards the limits on loads.
    pub is_counted: bool,
    /// When an order that it may still get without checking the fencing number has expired.
    pub quiet_ms: u64,
    /// Copies of weights that it has at hand, sorted.
    pub cached: Vec<(catalogue::Weights, order::Tier)>,
    /// The order that is not settled.
    pub pending: Option<Pending>,
    /// The question that is not answered.
    pub question: Option<Question>,
    /// When its state is to be read for another reason than a replica's progress.
    pub read_ms: Option<u64>,
    /// Questions that failed in a row.
    pub failures: u32,
    /// No question is sent before this time.
    pub retry_ms: u64,
    /// When this account has to be looked at again.
    pub timer_ms: Option<u64>,
    /// Weights that failed to load here, with the time until which they are not tried again.
    pub avoided: Vec<(catalogue::Weights, u64)>,
    /// Accelerators that share the memory.
    pub accelerators: u32,
    entries: Vec<Entry>,
    used_bytes: Bytes,
}

impl Account {
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
            standing: Standing::Unread,
            is_counted: true,
            quiet_ms: 0,
            cached: Vec::new(),
            pending: None,
            question: None,
            read_ms: None,
            failures: 0,
            retry_ms: 0,
            timer_ms: None,
            avoided: Vec::new(),
            accelerators: state.accelerators.max(1),
            entries: Vec::new(),
            used_bytes: Bytes(0),
        }
    }

    /// Its replicas, sorted by weights.
    pub fn entries(&self) -> &[Entry] {
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
    pub fn is_there(&self) -> bool {
        !matches!(self.standing, Standing::Gone { .. })
    }

    /// Whether an order may be sent now.
    pub fn is_ready(&self) -> bool {
        self.standing == Standing::Known && self.pending.is_none() && self.question.is_none()
    }

    /// The replica with these weights.
    pub fn find(&self, weights: &catalogue::Weights) -> Option<&Entry> {
        self.place(weights).ok().map(|at| &self.entries[at])
    }

    /// Replicas of `model` in any version.
    pub fn of_model(&self, model: &ModelRef) -> &[Entry] {
        let from = self.entries.partition_point(|entry| entry.weights.model < *model);
        let to = self.entries.partition_point(|entry| entry.weights.model <= *model);
        &self.entries[from..to]
    }

    /// Replicas of `model` and of all adapters on it.
    pub fn of_base(&self, model: &ModelRef) -> &[Entry] {
        let from = self.entries.partition_point(|entry| entry.weights.model.model < model.model);
        let to = self.entries.partition_point(|entry| entry.weights.model.model <= model.model);
        &self.entries[from..to]
    }

    /// The fastest source of these weights. While a replica is being unloaded its copy may displace
    /// others from memory, so none of these is relied on.
    pub fn source(&self, weights: &catalogue::Weights) -> catalogue::Source {
        let at = self.cached.partition_point(|(cached, _)| cached < weights);
        let copy = self.cached.get(at).filter(|(cached, _)| cached == weights);
        match copy.map(|(_, tier)| *tier) {
            Some(order::Tier::Memory) if self.is_unloading() => catalogue::Source::Store,
            tier => tier.into(),
        }
    }

    fn is_unloading(&self) -> bool {
        let is_ending = |entry: &Entry| matches!(entry.stage, Stage::Releasing | Stage::Unloading);
        self.entries.iter().any(is_ending)
    }

    /// Whether these weights failed here a short time ago.
    pub fn is_avoided(&self, weights: &catalogue::Weights, now_ms: u64) -> bool {
        self.avoided.iter().any(|(avoided, until_ms)| avoided == weights && *until_ms > now_ms)
    }

    /// Does not try these weights here until `until_ms`.
    pub fn avoid(&mut self, weights: catalogue::Weights, now_ms: u64, until_ms: u64) {
        self.avoided.retain(|(avoided, until_ms)| *avoided != weights && *until_ms > now_ms);
        self.avoided.push((weights, until_ms));
    }

    fn place(&self, weights: &catalogue::Weights) -> std::result::Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.weights.cmp(weights))
    }

    pub(super) fn put(&mut self, entry: Entry) -> Option<Entry> {
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

    pub(super) fn remove(&mut self, weights: &catalogue::Weights) -> Option<Entry> {
        let entry = self.entries.remove(self.place(weights).ok()?);
        self.used_bytes.0 -= entry.memory_bytes.0;
        Some(entry)
    }
}

/// The accounts of all targets, sorted by target.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: Vec<Account>,
}

impl Ledger {
    /// All accounts, sorted by target.
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }

    /// The account of `target`.
    pub fn find(&self, target: &TargetId) -> Option<&Account> {
        let at = self.accounts.binary_search_by(|account| account.target.cmp(target)).ok()?;
        Some(&self.accounts[at])
    }

    /// The account of `target`.
    pub(super) fn find_mut(&mut self, target: &TargetId) -> Option<&mut Account> {
        let at = self.accounts.binary_search_by(|account| account.target.cmp(target)).ok()?;
        Some(&mut self.accounts[at])
    }

    pub(super) fn insert(&mut self, account: Account) {
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
        let entry = |model: &str, bytes| Entry {
            weights: weights(model),
            memory_bytes: Bytes(bytes),
            stage: Stage::Reserved,
            purpose: Purpose::Work,
            source: catalogue::Source::Store,
            since_ms: 0,
            ready_ms: 0,
            ask_ms: 0,
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
        let mut account = Account::new(&state, Bytes(10));
        account.put(entry("quill", 4));
        account.put(entry("quill:tower", 1));
        account.put(entry("quill", 5));
        account.put(entry("reed", 2));
        assert_eq!((account.used_bytes(), account.free_bytes()), (Bytes(8), Bytes(2)));
        assert_eq!(account.of_base(&"quill".parse().unwrap()).len(), 2);
        assert_eq!(account.of_model(&"quill".parse().unwrap()).len(), 1);
        account.remove(&weights("quill"));
        assert_eq!(account.free_bytes(), Bytes(7));
    }
}
