//! One engine as the planner sees it: what it holds, and the order that is under way.

use std::net::SocketAddr;

use super::{Operation, Reading, Reply};
use crate::ids::{AdapterName, Incarnation, ModelName, ModelRef, TargetId};
use crate::target::order;

/// Time between taking a replica from the routers' table and its unload: the change reaches them.
const CLOSE_MS: u64 = 25;
/// Time that an engine takes to drop weights that nobody uses.
const UNLOAD_MS: u64 = 40;
/// Time that an adapter takes to load.
const ADAPTER_LOAD_MS: u64 = 15;
/// What an engine tells when it is read is at most this old.
const READ_LAG_MS: u64 = 400;
/// Pause before an engine is read again that could not be read, or that told nothing new.
const READ_AGAIN_MS: u64 = 300;
/// Time beyond the expected end of a load after which the engine is asked.
const LOAD_SLACK_MS: u64 = 300;
/// Pause before an order that met another one is sent again.
const CONFLICT_PAUSE_MS: u64 = 80;
/// Conflicts in a row after which the engine is read.
const CONFLICTS_BEFORE_READ: u32 = 2;
/// For this long an engine may tell of a time before an order was carried out.
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
    /// Models that were unloaded, and until when the engine may still tell them.
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
        let holds = grouped(state);
        self.take_holds(&holds, now_ms);
    }

    /// Makes the models those that the engine tells, and keeps what is known of them.
    fn take_holds(&mut self, holds: &[(ModelName, Vec<AdapterName>)], now_ms: u64) {
        let mut old = std::mem::take(&mut self.models);
        self.dropped.retain(|(_, until_ms)| now_ms < *until_ms);
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

    /// Begins to replace a model.
    pub(super) fn begin_unload(
        &mut self,
        now_ms: u64,
        victim: &ModelName,
        then: Option<ModelName>,
    ) {
        let due_ms = now_ms + CLOSE_MS;
        self.work = Work::Unload { victim: victim.clone(), then, due_ms, is_accepted: false };
        let closing = self.models.iter_mut().find(|loaded| loaded.model == *victim);
        if let Some(loaded) = closing {
            loaded.is_closing = true;
        }
    }

    /// Begins to load a model that takes `load_ms`.
    pub(super) fn begin_load(&mut self, now_ms: u64, model: &ModelName, load_ms: u64) {
        self.dropped.retain(|(dropped, _)| dropped != model);
        let source = self.source(model);
        let due_ms = now_ms + load_ms;
        self.work = Work::Load { model: model.clone(), source, due_ms, is_accepted: false };
    }

    /// Begins to load an adapter.
    pub(super) fn begin_adapter_load(&mut self, now_ms: u64, adapter: ModelRef) {
        let due_ms = now_ms;
        self.adapter_work.push(AdapterWork { operation: Operation::Load, adapter, due_ms });
    }

    /// Begins to unload an adapter.
    pub(super) fn begin_adapter_unload(&mut self, now_ms: u64, adapter: ModelRef) {
        for seat in self.models.iter_mut().filter(|loaded| loaded.model == adapter.model) {
            let seats = seat.adapters.iter_mut();
            seats
                .filter(|seat| Some(&seat.name) == adapter.adapter.as_ref())
                .for_each(|seat| seat.is_closing = true);
        }
        let due_ms = now_ms + CLOSE_MS;
        self.adapter_work.push(AdapterWork { operation: Operation::Unload, adapter, due_ms });
    }

    /// The order to send now, if there is one.
    pub(super) fn next_order(&self, now_ms: u64) -> Option<(Operation, ModelRef)> {
        if self.is_leaving || self.orders.is_none() || now_ms < self.not_before_ms {
            return None;
        }
        if let Some(sent) = &self.sent {
            // A lost order is sent again under the same count, so that it is accepted once at most.
            let is_settled = sent.is_lost && self.read_due_ms.is_none() && !self.is_reading;
            return is_settled.then(|| (sent.operation, sent.model.clone()));
        }
        let model = |name: &ModelName| ModelRef { model: name.clone(), adapter: None };
        match &self.work {
            Work::Unload { victim, due_ms, is_accepted: false, .. } if now_ms >= *due_ms => {
                return Some((Operation::Unload, model(victim)));
            }
            Work::Load { model: name, is_accepted: false, .. } => {
                return Some((Operation::Load, model(name)));
            }
            Work::None | Work::Unload { .. } | Work::Load { .. } => {}
        }
        if !self.takes_adapters() {
            return None;
        }
        let due = self.adapter_work.iter().find(|work| now_ms >= work.due_ms);
        due.map(|work| (work.operation, work.adapter.clone()))
    }

    /// Whether the order was sent before.
    pub(super) fn is_repeat(&self, model: &ModelRef) -> bool {
        self.sent.as_ref().is_some_and(|sent| sent.model == *model)
    }

    /// Notes an order that is sent, and returns the count of orders to send it under.
    pub(super) fn sent(
        &mut self,
        ticket: u64,
        operation: Operation,
        model: &ModelRef,
    ) -> Option<u64> {
        let (expected_orders, was_lost) = match &self.sent {
            Some(sent) => (sent.expected_orders, true),
            None => (self.orders?, false),
        };
        let model = model.clone();
        let is_lost = false;
        self.sent = Some(Sent { ticket, operation, model, expected_orders, is_lost, was_lost });
        Some(expected_orders)
    }

    /// Takes the answer to an order. Returns whether routers see a change.
    pub(super) fn answered(&mut self, now_ms: u64, ticket: u64, reply: Reply) -> bool {
        let Some(sent) = self.sent.take_if(|sent| sent.ticket == ticket) else { return false };
        match reply {
            Reply::Accepted => self.accepted(now_ms, &sent),
            Reply::Holds => self.holds(now_ms, &sent),
            // Perhaps with itself: only the count of orders tells.
            Reply::Conflict if sent.was_lost => {
                self.sent = Some(Sent { is_lost: true, ..sent });
                self.read_due_ms = Some(now_ms + READ_LAG_MS);
            }
            Reply::Conflict => self.conflict(now_ms, &sent),
            Reply::Fenced | Reply::Refused => {
                self.drop_work(&sent);
                self.read_due_ms = Some(now_ms + READ_LAG_MS);
            }
            Reply::Lost => {
                self.sent = Some(Sent { is_lost: true, was_lost: true, ..sent });
                self.read_due_ms = Some(now_ms + READ_LAG_MS);
            }
        }
        true
    }

    /// The order is under way, or done if it is one that ends at once.
    fn accepted(&mut self, now_ms: u64, sent: &Sent) {
        self.conflicts = 0;
        self.orders = Some(sent.expected_orders + 1);
        if sent.model.is_adapter() {
            return self.adapter_done(now_ms, sent);
        }
        match &mut self.work {
            Work::Unload { due_ms, is_accepted, .. } => {
                *is_accepted = true;
                *due_ms = now_ms + UNLOAD_MS;
                self.not_before_ms = now_ms + UNLOAD_MS;
                let running = self.find(&sent.model.model).map_or(0, |loaded| loaded.running);
                let wait_ms = if running == 0 { UNLOAD_MS } else { LOAD_SLACK_MS };
                self.read_due_ms = Some(now_ms + wait_ms.max(READ_LAG_MS));
                if running == 0 {
                    // Nothing runs on it, so it is gone when the next order arrives.
                    self.forget_model(now_ms, &sent.model.model);
                }
            }
            Work::Load { due_ms, is_accepted, .. } => {
                *is_accepted = true;
                self.read_due_ms = Some(*due_ms + LOAD_SLACK_MS);
            }
            Work::None => {}
        }
    }

    /// Takes a model out that an accepted order has unloaded.
    fn forget_model(&mut self, now_ms: u64, model: &ModelName) {
        self.dropped.push((model.clone(), now_ms + TOLD_LATE_MS));
        self.models.retain(|loaded| loaded.model != *model);
        self.finish_work();
    }

    fn holds(&mut self, now_ms: u64, sent: &Sent) {
        if sent.model.is_adapter() {
            let is_unload = sent.operation == Operation::Unload;
            self.orders = Some(sent.expected_orders + u64::from(is_unload));
            return self.adapter_done(now_ms, sent);
        }
        // Whether it counted as accepted is not told.
        self.drop_work(sent);
        self.orders = None;
        self.read_due_ms = Some(now_ms + READ_LAG_MS);
    }

    fn conflict(&mut self, now_ms: u64, sent: &Sent) {
        self.conflicts += 1;
        self.not_before_ms = now_ms + CONFLICT_PAUSE_MS;
        if self.conflicts >= CONFLICTS_BEFORE_READ {
            // The count of orders differs from what is known here: nothing planned holds.
            self.drop_work(sent);
            self.orders = None;
            self.read_due_ms = Some(now_ms + READ_LAG_MS);
        }
    }

    /// Gives up what an order was for.
    fn drop_work(&mut self, sent: &Sent) {
        if sent.model.is_adapter() {
            self.adapter_work.retain(|work| work.adapter != sent.model);
        } else {
            self.work = Work::None;
        }
        self.finish_work();
    }

    fn adapter_done(&mut self, now_ms: u64, sent: &Sent) {
        self.adapter_work
            .retain(|work| work.adapter != sent.model || work.operation != sent.operation);
        let Some(name) = sent.model.adapter.clone() else { return };
        let place = self.models.iter_mut().find(|loaded| loaded.model == sent.model.model);
        let Some(loaded) = place else { return };
        loaded.adapters.retain(|adapter| adapter.name != name);
        if sent.operation == Operation::Load {
            loaded.adapters.push(Adapter {
                name,
                ready_ms: now_ms + ADAPTER_LOAD_MS,
                used_ms: now_ms,
                is_closing: false,
                is_told: false,
            });
        }
    }

    /// Whether the engine is to be read now; notes that it is.
    pub(super) fn take_read_due(&mut self, now_ms: u64) -> bool {
        let is_due = !self.is_reading && self.read_due_ms.is_some_and(|due_ms| now_ms >= due_ms);
        if is_due {
            self.is_reading = true;
            self.read_due_ms = None;
        }
        is_due
    }

    /// Takes what the engine told. Returns whether routers see a change.
    pub(super) fn read(&mut self, now_ms: u64, reading: Option<Reading>) -> bool {
        self.is_reading = false;
        let is_own = |reading: &Reading| reading.incarnation.is_none_or(|i| i == self.incarnation);
        let Some(reading) = reading.filter(is_own) else {
            self.read_due_ms = Some(now_ms + READ_AGAIN_MS);
            return false;
        };
        match self.sent.take() {
            Some(sent) if sent.is_lost => self.settle(now_ms, sent, &reading),
            sent => {
                let is_answered = sent.is_none();
                self.sent = sent;
                if is_answered && self.orders.is_none_or(|known| reading.orders > known) {
                    self.orders = Some(reading.orders);
                    self.conflicts = 0;
                }
            }
        }
        self.is_engine_busy = reading.is_busy;
        // A reading from before the last order says nothing of what the engine holds now.
        let is_current = self.orders.is_some_and(|known| reading.orders >= known);
        if is_current && !reading.is_busy {
            self.take_holds(&reading.holds, now_ms);
        }
        self.ask_while_at_work(now_ms, &reading, is_current);
        true
    }

    /// Finds out what became of an order whose answer was lost.
    ///
    /// That the count has risen by one is not enough: a late order of an earlier leader may have
    /// taken the number. So the effect has to show as well.
    fn settle(&mut self, now_ms: u64, sent: Sent, reading: &Reading) {
        let is_next = reading.orders == sent.expected_orders + 1;
        if reading.orders < sent.expected_orders || (is_next && reading.is_busy) {
            // It tells of a time before the order, or before its end.
            self.sent = Some(sent);
            self.read_due_ms = Some(now_ms + READ_AGAIN_MS);
        } else if reading.orders == sent.expected_orders {
            let pause_ms = if reading.is_busy { READ_AGAIN_MS } else { 0 };
            self.not_before_ms = now_ms + pause_ms;
            self.sent = Some(sent);
        } else if is_next && (sent.model.is_adapter() || has_effect(&sent, reading)) {
            self.accepted(now_ms, &sent);
        } else {
            self.drop_work(&sent);
            self.orders = Some(reading.orders);
        }
    }

    /// Asks again while an accepted order does not show its end.
    fn ask_while_at_work(&mut self, now_ms: u64, reading: &Reading, is_current: bool) {
        let is_accepted = match &self.work {
            Work::Unload { is_accepted, .. } | Work::Load { is_accepted, .. } => *is_accepted,
            Work::None => false,
        };
        let is_another_at_work = reading.is_busy && self.work == Work::None;
        if self.sent.is_some() || !(is_accepted || is_another_at_work) {
            return;
        }
        if reading.is_busy || !is_current {
            self.read_due_ms = Some(now_ms + READ_AGAIN_MS);
        } else {
            // It is over, and did not lead to what was asked for.
            self.work = Work::None;
            self.finish_work();
        }
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

/// Whether an engine at rest shows what an order of a model asked for.
fn has_effect(sent: &Sent, reading: &Reading) -> bool {
    let is_held = reading.holds.iter().any(|(model, _)| *model == sent.model.model);
    is_held == (sent.operation == Operation::Load)
}

fn copy(cached: &order::Cached) -> (ModelName, Source) {
    let source = match cached.tier {
        order::Tier::Memory => Source::Memory,
        order::Tier::Disk => Source::Disk,
    };
    (cached.model.model.clone(), source)
}

/// The models that a state tells, each with its adapters.
fn grouped(state: &order::State) -> Vec<(ModelName, Vec<AdapterName>)> {
    let mut models: Vec<(ModelName, Vec<AdapterName>)> = Vec::new();
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
