//! One engine as the planner sees it: what it holds, and the order that is under way.

mod orders;

use std::net::SocketAddr;

use super::Operation;
use crate::ids::{AdapterName, Incarnation, ModelName, ModelRef, TargetId};
use crate::target::order;

/// Time that an engine takes to drop weights that nobody uses.
const UNLOAD_MS: u64 = 40;
/// For this long an engine that is read may tell of a time before an order was carried out. An
/// announcement may have been held up for longer.
const TOLD_LATE_MS: u64 = 2_500;

/// Where a load reads the weights from, the fastest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A copy in the memory of the target's VM.
    Memory,
    /// A copy on its disk.
    Disk,
    /// The weight store.
    Store,
}

/// An adapter on an engine.
#[derive(Clone, Debug)]
pub(super) struct Adapter {
    pub name: AdapterName,
    /// From when routers may use it.
    pub ready_ms: u64,
    pub used_ms: u64,
    /// Whether it is on its way out.
    pub is_closing: bool,
    is_told: bool,
}

/// A model on an engine.
#[derive(Clone, Debug)]
pub(super) struct Loaded {
    pub model: ModelName,
    pub adapters: Vec<Adapter>,
    pub since_ms: u64,
    pub used_ms: u64,
    pub running: u32,
    /// Whether it is on its way out.
    pub is_closing: bool,
}

/// What an engine is being changed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Work {
    /// Nothing.
    None,
    /// A model leaves, and another may follow.
    Unload { victim: ModelName, then: Option<ModelName>, due_ms: u64, is_accepted: bool },
    /// A model is loaded.
    Load { model: ModelName, source: Source, due_ms: u64, is_accepted: bool },
}

/// An adapter that leaves or comes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AdapterWork {
    pub operation: Operation,
    pub adapter: ModelRef,
    pub due_ms: u64,
}

#[derive(Clone, Debug)]
struct Sent {
    ticket: u64,
    operation: Operation,
    model: ModelRef,
    expected_orders: u64,
    /// Whether its answer was lost.
    is_lost: bool,
    /// Whether an answer to it was ever lost: it may have been accepted then.
    was_lost: bool,
}

/// Models, sorted, each with its adapters.
type Holds = Vec<(ModelName, Vec<AdapterName>)>;

/// One engine.
#[derive(Clone, Debug)]
pub(super) struct Site {
    pub target: TargetId,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub is_leaving: bool,
    /// Sorted by model.
    pub models: Vec<Loaded>,
    at_hand: Vec<(ModelName, Source)>,
    /// Models that were unloaded, and until when the engine may still tell them when it is read.
    dropped: Vec<(ModelName, u64)>,
    /// Orders that it has accepted, once that is known.
    orders: Option<u64>,
    pub work: Work,
    /// The model that follows an unload which has ended.
    next: Option<ModelName>,
    pub adapter_work: Vec<AdapterWork>,
    sent: Option<Sent>,
    conflicts: u32,
    /// Whether it told that it carries out an order, perhaps one of an earlier leader.
    is_engine_busy: bool,
    not_before_ms: u64,
    read_due_ms: Option<u64>,
    is_reading: bool,
    /// Since when it cannot be given new work.
    held_since_ms: Option<u64>,
}

impl Site {
    pub(super) fn new(state: &order::State, now_ms: u64) -> Self {
        let mut site = Self {
            target: state.target.clone(),
            incarnation: state.incarnation,
            address: state.address,
            is_leaving: state.leaving,
            models: Vec::new(),
            at_hand: Vec::new(),
            dropped: Vec::new(),
            orders: None,
            work: Work::None,
            next: None,
            adapter_work: Vec::new(),
            sent: None,
            conflicts: 0,
            is_engine_busy: false,
            not_before_ms: 0,
            read_due_ms: Some(now_ms),
            is_reading: false,
            held_since_ms: None,
        };
        site.announced(state, now_ms);
        site
    }

    /// Takes an announcement of the same life.
    pub(super) fn announced(&mut self, state: &order::State, now_ms: u64) {
        self.address = state.address;
        self.is_leaving = state.leaving;
        self.at_hand = state.cached.iter().map(copy).collect();
        self.at_hand.sort();
        self.at_hand.dedup_by(|later, first| later.0 == first.0);
        self.add_holds(grouped(state), now_ms);
    }

    /// Takes what an announcement tells beside what is known. It may have been held up since before
    /// the last orders, so it takes nothing away but what is being unloaded: where it tells less, or
    /// something that was unloaded, the engine is asked.
    fn add_holds(&mut self, mut told: Holds, now_ms: u64) {
        let mut differs = false;
        told.retain(|(model, _)| {
            let dropped = self.dropped.iter().find(|(dropped, _)| dropped == model);
            differs |= dropped.is_some_and(|(_, until_ms)| now_ms >= *until_ms);
            dropped.is_none()
        });
        let unloading = match &self.work {
            Work::Unload { victim, is_accepted: true, .. } => Some(victim),
            Work::None | Work::Unload { .. } | Work::Load { .. } => None,
        };
        for loaded in self.models.iter().filter(|loaded| Some(&loaded.model) != unloading) {
            let at = match told.binary_search_by(|(model, _)| model.cmp(&loaded.model)) {
                Ok(at) => at,
                Err(at) => {
                    differs |= now_ms >= loaded.since_ms + TOLD_LATE_MS;
                    told.insert(at, (loaded.model.clone(), Vec::new()));
                    at
                }
            };
            let adapters = &mut told[at].1;
            for adapter in &loaded.adapters {
                if !adapters.contains(&adapter.name) {
                    differs |= now_ms >= adapter.ready_ms + TOLD_LATE_MS;
                    adapters.push(adapter.name.clone());
                }
            }
        }
        self.take_holds(&told, now_ms);
        if differs && !self.is_reading && self.read_due_ms.is_none() {
            self.read_due_ms = Some(now_ms);
        }
    }

    /// Makes the models those that the engine told when it was read, and keeps what is known of them.
    fn take_reading(&mut self, told: &Holds, now_ms: u64) {
        self.dropped.retain(|(_, until_ms)| now_ms < *until_ms);
        self.take_holds(told, now_ms);
    }

    fn take_holds(&mut self, holds: &Holds, now_ms: u64) {
        let mut old = std::mem::take(&mut self.models);
        // What is told may be older than a load that has just ended.
        let (fresh, kept): (Vec<_>, Vec<_>) =
            old.into_iter().partition(|loaded| now_ms < loaded.since_ms + TOLD_LATE_MS);
        let is_told = |model: &ModelName| holds.iter().any(|(told, _)| told == model);
        self.models.extend(fresh.iter().filter(|loaded| !is_told(&loaded.model)).cloned());
        old = fresh.into_iter().chain(kept).collect();
        for (model, adapters) in holds {
            if self.dropped.iter().any(|(dropped, _)| dropped == model) {
                continue;
            }
            let is_own = matches!(&self.work, Work::Load { model: own, .. } if own == model);
            let known = old.iter().position(|loaded| loaded.model == *model);
            let mut loaded = match known {
                Some(at) => old.swap_remove(at),
                None => Loaded {
                    model: model.clone(),
                    adapters: Vec::new(),
                    since_ms: if is_own { now_ms } else { 0 },
                    used_ms: now_ms,
                    running: 0,
                    is_closing: false,
                },
            };
            take_adapters(&mut loaded.adapters, adapters, now_ms);
            if let Err(at) = self.models.binary_search_by(|known| known.model.cmp(model)) {
                self.models.insert(at, loaded);
            }
        }
        self.finish_work();
    }

    /// Ends the work that the models held now show to be done.
    fn finish_work(&mut self) {
        match &self.work {
            Work::Load { model, .. } if self.find(model).is_some() => {
                self.work = Work::None;
                self.read_due_ms = None;
                self.is_engine_busy = false;
            }
            Work::Unload { victim, then, is_accepted: true, .. } if self.find(victim).is_none() => {
                self.next = then.clone();
                self.work = Work::None;
                self.read_due_ms = None;
                self.is_engine_busy = false;
            }
            Work::None | Work::Load { .. } | Work::Unload { .. } => {}
        }
        let closing = match &self.work {
            Work::Unload { victim, .. } => Some(victim.clone()),
            Work::None | Work::Load { .. } => None,
        };
        for loaded in &mut self.models {
            loaded.is_closing = closing.as_ref() == Some(&loaded.model);
        }
    }

    pub(super) fn find(&self, model: &ModelName) -> Option<&Loaded> {
        let at = self.models.binary_search_by(|loaded| loaded.model.cmp(model)).ok()?;
        Some(&self.models[at])
    }

    /// Where a load of the model would read from.
    pub(super) fn source(&self, model: &ModelName) -> Source {
        match self.at_hand.binary_search_by(|(known, _)| known.cmp(model)) {
            Ok(at) => self.at_hand[at].1,
            Err(_) => Source::Store,
        }
    }

    /// Whether it has a copy of the model, loaded or not.
    pub(super) fn has_copy(&self, model: &ModelName) -> bool {
        self.find(model).is_some() || self.source(model) != Source::Store
    }

    /// Models of which it has a copy that is not loaded.
    pub(super) fn copies_beside_loaded(&self) -> impl Iterator<Item = &ModelName> {
        let names = self.at_hand.iter().map(|(model, _)| model);
        names.filter(|model| self.find(model).is_none())
    }

    /// Whether it can be given new work.
    pub(super) fn is_idle(&self) -> bool {
        let is_at_rest = self.work == Work::None && self.sent.is_none() && !self.is_engine_busy;
        is_at_rest && self.is_usable()
    }

    /// What has kept it from new work for `limit_ms` or longer, once for each such time.
    pub(super) fn take_held(&mut self, now_ms: u64, limit_ms: u64) -> Option<String> {
        if self.is_idle() || self.is_leaving {
            self.held_since_ms = None;
            return None;
        }
        let since_ms = *self.held_since_ms.get_or_insert(now_ms);
        if now_ms < since_ms + limit_ms {
            return None;
        }
        self.held_since_ms = Some(now_ms);
        let Self { work, sent, orders, is_engine_busy, is_reading, read_due_ms, .. } = self;
        let read_in_ms = read_due_ms.map(|due_ms| due_ms.saturating_sub(now_ms));
        Some(format!(
            "{work:?}, sent {sent:?}, orders {orders:?}, at work {is_engine_busy}, being read \
             {is_reading}, read in {read_in_ms:?} ms"
        ))
    }

    /// Whether it takes orders for adapters: an engine that loads or unloads a model refuses them.
    pub(super) fn takes_adapters(&self) -> bool {
        let is_at_work = match &self.work {
            Work::Unload { is_accepted, .. } | Work::Load { is_accepted, .. } => *is_accepted,
            Work::None => false,
        };
        !is_at_work && !self.is_engine_busy
    }

    /// Whether its count of orders is known and it stays.
    pub(super) fn is_usable(&self) -> bool {
        self.orders.is_some() && !self.is_leaving
    }

    /// Time until its work is done, in milliseconds.
    pub(super) fn busy_ms(&self, now_ms: u64) -> u64 {
        match &self.work {
            Work::None => 0,
            Work::Unload { due_ms, .. } | Work::Load { due_ms, .. } => {
                due_ms.saturating_sub(now_ms) + UNLOAD_MS
            }
        }
    }

    /// The model that it loads, or that follows the one that leaves.
    pub(super) fn coming(&self) -> Option<&ModelName> {
        match &self.work {
            Work::Load { model, .. } => Some(model),
            Work::Unload { then, .. } => then.as_ref(),
            Work::None => self.next.as_ref(),
        }
    }

    /// Whether it loads from the weight store.
    pub(super) fn is_at_store(&self) -> bool {
        match &self.work {
            Work::Load { source, .. } => *source == Source::Store,
            Work::Unload { then: Some(model), .. } => self.source(model) == Source::Store,
            Work::Unload { then: None, .. } | Work::None => false,
        }
    }

    /// The models and adapters that routers may use, sorted.
    pub(super) fn replicas(&self, now_ms: u64) -> Vec<ModelRef> {
        let mut replicas = Vec::new();
        for loaded in self.models.iter().filter(|loaded| !loaded.is_closing) {
            replicas.push(ModelRef { model: loaded.model.clone(), adapter: None });
            let is_open = |adapter: &&Adapter| !adapter.is_closing && adapter.ready_ms <= now_ms;
            replicas.extend(loaded.adapters.iter().filter(is_open).map(|adapter| ModelRef {
                model: loaded.model.clone(),
                adapter: Some(adapter.name.clone()),
            }));
        }
        replicas.sort_unstable();
        replicas
    }

    /// Takes the model that follows an unload which has ended.
    pub(super) fn take_next(&mut self) -> Option<ModelName> {
        self.next.take()
    }

    /// Forgets what runs here.
    pub(super) fn clear_running(&mut self) {
        self.models.iter_mut().for_each(|loaded| loaded.running = 0);
    }

    /// Notes requests of a model that run here.
    pub(super) fn add_running(&mut self, now_ms: u64, model: &ModelRef, count: u32) {
        let place = self.models.binary_search_by(|loaded| loaded.model.cmp(&model.model));
        let Ok(at) = place else { return };
        let loaded = &mut self.models[at];
        loaded.running += count;
        loaded.used_ms = now_ms;
        let used = loaded.adapters.iter_mut();
        used.filter(|adapter| Some(&adapter.name) == model.adapter.as_ref())
            .for_each(|adapter| adapter.used_ms = now_ms);
    }

    /// Whether an adapter has become ready since this was last asked.
    pub(super) fn take_ready(&mut self, now_ms: u64) -> bool {
        let mut is_new = false;
        for adapter in self.models.iter_mut().flat_map(|loaded| &mut loaded.adapters) {
            if !adapter.is_told && adapter.ready_ms <= now_ms {
                adapter.is_told = true;
                is_new = true;
            }
        }
        is_new
    }

    /// When something is due here.
    pub(super) fn wake_ms(&self, now_ms: u64) -> Option<u64> {
        let work_ms = match &self.work {
            Work::Unload { due_ms, is_accepted: false, .. } => Some(*due_ms),
            Work::None | Work::Unload { .. } | Work::Load { .. } => None,
        };
        let adapters = self.models.iter().flat_map(|loaded| &loaded.adapters);
        let ready_ms = adapters.filter(|a| !a.is_told).map(|adapter| adapter.ready_ms).min();
        let adapter_ms = self.adapter_work.iter().map(|work| work.due_ms).min();
        let read_ms = self.read_due_ms.filter(|_| !self.is_reading);
        let pause_ms = Some(self.not_before_ms).filter(|until_ms| *until_ms > now_ms);
        let due = [work_ms, ready_ms, adapter_ms, read_ms, pause_ms];
        due.into_iter().flatten().min().map(|due_ms| due_ms.max(now_ms + 1))
    }
}

fn copy(cached: &order::Cached) -> (ModelName, Source) {
    let source = match cached.tier {
        order::Tier::Memory => Source::Memory,
        order::Tier::Disk => Source::Disk,
    };
    (cached.model.model.clone(), source)
}

/// The models that a state tells, each with its adapters.
fn grouped(state: &order::State) -> Holds {
    let mut models = Holds::new();
    for held in &state.holds {
        let at = match models.binary_search_by(|(model, _)| model.cmp(&held.model.model)) {
            Ok(at) => at,
            Err(at) => {
                models.insert(at, (held.model.model.clone(), Vec::new()));
                at
            }
        };
        models[at].1.extend(held.model.adapter.clone());
    }
    models
}

/// Makes the adapters those that are told, and those that were loaded too late to be told.
fn take_adapters(known: &mut Vec<Adapter>, told: &[AdapterName], now_ms: u64) {
    known
        .retain(|adapter| told.contains(&adapter.name) || now_ms < adapter.ready_ms + TOLD_LATE_MS);
    for name in told {
        if known.iter().all(|adapter| adapter.name != *name) {
            let name = name.clone();
            let (ready_ms, used_ms) = (now_ms, now_ms);
            known.push(Adapter { name, ready_ms, used_ms, is_closing: false, is_told: true });
        }
    }
}
