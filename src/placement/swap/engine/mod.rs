//! State of one engine as the planner tracks it: loaded models, copies, and the change in progress.

mod orders;

use std::net::SocketAddr;

use super::Operation;
use super::order_slots::{ClosedSlots, OrderSlot};
use crate::ids::{AdapterName, Incarnation, ModelName, ModelRef, SoftwareVersion, TargetId};
use crate::target::order;

/// Time that an engine takes to unload a model without running requests.
const UNLOAD_MS: u64 = 40;
/// Time after an order within which a report may still show the state before the order. An
/// announcement may be delayed for longer.
const STALE_REPORT_MS: u64 = 2_500;

/// Where a load reads the weights from, the fastest first. Log lines print the names of the
/// variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A copy in the memory of the target's VM.
    Memory,
    /// A copy on the disk of the target's VM.
    Disk,
    /// The weight store.
    Store,
}

/// An adapter that is loaded on an engine.
#[derive(Clone, Debug)]
pub(super) struct LoadedAdapter {
    pub name: AdapterName,
    /// Time from which routers may use it.
    pub ready_ms: u64,
    pub last_used_ms: u64,
    /// Whether it is being unloaded.
    pub is_unloading: bool,
    /// Whether its readiness has been reported as a change of the replicas.
    is_published: bool,
}

/// A model that is loaded on an engine.
#[derive(Clone, Debug)]
pub(super) struct LoadedModel {
    pub model: ModelName,
    pub adapters: Vec<LoadedAdapter>,
    /// Time at which it was loaded; 0 if this planner did not load it.
    pub loaded_ms: u64,
    pub last_used_ms: u64,
    pub running: u32,
    /// Whether it is being unloaded.
    pub is_unloading: bool,
}

/// The change of models in progress on an engine. Log lines print the names of variants and fields,
/// and operators search for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ModelChange {
    None,
    /// `victim` is unloaded, to be followed by a load of `then`.
    ///
    /// `due_ms` is the time to send the order, and the expected end once it is accepted.
    Unload {
        victim: ModelName,
        then: Option<ModelName>,
        due_ms: u64,
        is_accepted: bool,
    },
    /// A model is loaded, and expected to be ready at `due_ms`.
    Load {
        model: ModelName,
        source: Source,
        due_ms: u64,
        is_accepted: bool,
    },
}

/// A planned load or unload of an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AdapterChange {
    pub operation: Operation,
    pub adapter: ModelRef,
    /// Time at which to send the order.
    pub due_ms: u64,
}

/// The order that was sent last and is not settled. Log lines print the name of the type and its
/// fields.
#[derive(Clone, Debug)]
struct Sent {
    ticket: u64,
    operation: Operation,
    model: ModelRef,
    expected_orders: u64,
    /// Whether no response came to the last attempt.
    is_lost: bool,
    /// Whether no response came to any attempt: the engine may have accepted that one.
    was_lost: bool,
}

/// Models with their adapters, sorted by model.
type ModelAdapters = Vec<(ModelName, Vec<AdapterName>)>;

/// State of one engine.
#[derive(Clone, Debug)]
pub(super) struct EngineState {
    pub target: TargetId,
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub software: Option<SoftwareVersion>,
    pub is_leaving: bool,
    /// The requests a second that it takes from all routers, if it names a limit.
    pub limit_per_s: Option<f64>,
    /// Sorted by model.
    pub models: Vec<LoadedModel>,
    /// Copies in the memory or on the disk of the VM, sorted by model.
    cached: Vec<(ModelName, Source)>,
    /// Models that were unloaded, each with the time until which reports may still list it.
    unloaded: Vec<(ModelName, u64)>,
    /// Number of orders that the engine has accepted, if known.
    accepted_orders: Option<u64>,
    pub change: ModelChange,
    /// The model to load after an unload that has ended.
    next_model: Option<ModelName>,
    pub adapter_changes: Vec<AdapterChange>,
    sent: Option<Sent>,
    consecutive_conflicts: u32,
    /// Whether the last report shows an order in progress, possibly one of an earlier leader.
    is_engine_busy: bool,
    /// No order is sent before this time.
    not_before_ms: u64,
    /// Time at which to request a report.
    report_due_ms: Option<u64>,
    is_report_requested: bool,
    /// Time since which the engine cannot take a change.
    blocked_since_ms: Option<u64>,
    slot: OrderSlot,
    /// Whether no daemon may send it orders now.
    is_closed: bool,
    /// Speed relative to the other engines, 1 if it is not known.
    pub speed: f64,
}

impl EngineState {
    pub(super) fn new(state: &order::State, now_ms: u64) -> Self {
        let mut engine = Self {
            target: state.target.clone(),
            incarnation: state.incarnation,
            address: state.address,
            software: state.software.clone(),
            is_leaving: state.leaving,
            limit_per_s: None,
            models: Vec::new(),
            cached: Vec::new(),
            unloaded: Vec::new(),
            accepted_orders: None,
            change: ModelChange::None,
            next_model: None,
            adapter_changes: Vec::new(),
            sent: None,
            consecutive_conflicts: 0,
            is_engine_busy: false,
            not_before_ms: 0,
            report_due_ms: Some(now_ms),
            is_report_requested: false,
            blocked_since_ms: None,
            slot: OrderSlot::of(&state.target),
            is_closed: false,
            speed: 1.0,
        };
        engine.apply_announcement(state, now_ms);
        engine
    }

    /// Applies which slots cannot get orders now.
    pub(super) fn apply_closed(&mut self, closed: ClosedSlots) {
        self.is_closed = closed.contains(self.slot);
    }

    /// Applies an announcement of the same incarnation.
    pub(super) fn apply_announcement(&mut self, state: &order::State, now_ms: u64) {
        self.address = state.address;
        self.is_leaving = state.leaving;
        self.cached = state.cached.iter().map(cached_copy).collect();
        self.cached.sort();
        self.cached.dedup_by(|later, first| later.0 == first.0);
        self.merge_announced(group_by_model(state), now_ms);
    }

    /// Merges announced models into the known ones. The announcement may have been delayed since
    /// before the last orders, so it removes no model except one that is being unloaded. Where it
    /// lists less than is known, or lists a model that was unloaded, a report is requested.
    fn merge_announced(&mut self, mut announced: ModelAdapters, now_ms: u64) {
        let mut differs = false;
        announced.retain(|(model, _)| {
            let unloaded = self.unloaded.iter().find(|(unloaded, _)| unloaded == model);
            differs |= unloaded.is_some_and(|(_, until_ms)| now_ms >= *until_ms);
            unloaded.is_none()
        });
        let unloading = match &self.change {
            ModelChange::Unload { victim, is_accepted: true, .. } => Some(victim),
            ModelChange::None | ModelChange::Unload { .. } | ModelChange::Load { .. } => None,
        };
        for loaded in self.models.iter().filter(|loaded| Some(&loaded.model) != unloading) {
            let at = match announced.binary_search_by(|(model, _)| model.cmp(&loaded.model)) {
                Ok(at) => at,
                Err(at) => {
                    differs |= now_ms >= loaded.loaded_ms + STALE_REPORT_MS;
                    announced.insert(at, (loaded.model.clone(), Vec::new()));
                    at
                }
            };
            let adapters = &mut announced[at].1;
            for adapter in &loaded.adapters {
                if !adapters.contains(&adapter.name) {
                    differs |= now_ms >= adapter.ready_ms + STALE_REPORT_MS;
                    adapters.push(adapter.name.clone());
                }
            }
        }
        self.update_models(&announced, now_ms);
        if differs && !self.is_report_requested && self.report_due_ms.is_none() {
            self.report_due_ms = Some(now_ms);
        }
    }

    /// Replaces the known models by those of a report, and keeps what is known about each.
    fn apply_reported_models(&mut self, reported: &ModelAdapters, now_ms: u64) {
        self.unloaded.retain(|(_, until_ms)| now_ms < *until_ms);
        self.update_models(reported, now_ms);
    }

    fn update_models(&mut self, current: &ModelAdapters, now_ms: u64) {
        let mut old = std::mem::take(&mut self.models);
        // `current` may be older than a load that has just ended.
        let (recent, others): (Vec<_>, Vec<_>) =
            old.into_iter().partition(|loaded| now_ms < loaded.loaded_ms + STALE_REPORT_MS);
        let is_listed = |model: &ModelName| current.iter().any(|(listed, _)| listed == model);
        self.models.extend(recent.iter().filter(|loaded| !is_listed(&loaded.model)).cloned());
        old = recent.into_iter().chain(others).collect();
        for (model, adapters) in current {
            if self.unloaded.iter().any(|(unloaded, _)| unloaded == model) {
                continue;
            }
            let is_own_load =
                matches!(&self.change, ModelChange::Load { model: own, .. } if own == model);
            let known = old.iter().position(|loaded| loaded.model == *model);
            let mut loaded = match known {
                Some(at) => old.swap_remove(at),
                None => LoadedModel {
                    model: model.clone(),
                    adapters: Vec::new(),
                    loaded_ms: if is_own_load { now_ms } else { 0 },
                    last_used_ms: now_ms,
                    running: 0,
                    is_unloading: false,
                },
            };
            update_adapters(&mut loaded.adapters, adapters, now_ms);
            if let Err(at) = self.models.binary_search_by(|known| known.model.cmp(model)) {
                self.models.insert(at, loaded);
            }
        }
        self.finish_change();
    }

    /// Ends the change in progress if the loaded models show its effect.
    fn finish_change(&mut self) {
        match &self.change {
            ModelChange::Load { model, .. } if self.find(model).is_some() => {
                self.change = ModelChange::None;
                self.report_due_ms = None;
                self.is_engine_busy = false;
            }
            ModelChange::Unload { victim, then, is_accepted: true, .. }
                if self.find(victim).is_none() =>
            {
                self.next_model = then.clone();
                self.change = ModelChange::None;
                self.report_due_ms = None;
                self.is_engine_busy = false;
            }
            ModelChange::None | ModelChange::Load { .. } | ModelChange::Unload { .. } => {}
        }
        let unloading = match &self.change {
            ModelChange::Unload { victim, .. } => Some(victim.clone()),
            ModelChange::None | ModelChange::Load { .. } => None,
        };
        for loaded in &mut self.models {
            loaded.is_unloading = unloading.as_ref() == Some(&loaded.model);
        }
    }

    /// Whether it may serve requests that wait for a software version.
    pub(super) fn may_serve(&self, software: Option<&SoftwareVersion>) -> bool {
        software.is_none() || self.software.as_ref() == software
    }

    /// The loaded model of this name.
    pub(super) fn find(&self, model: &ModelName) -> Option<&LoadedModel> {
        let at = self.models.binary_search_by(|loaded| loaded.model.cmp(model)).ok()?;
        Some(&self.models[at])
    }

    /// Where a load of the model would read the weights from.
    pub(super) fn load_source(&self, model: &ModelName) -> Source {
        match self.cached.binary_search_by(|(known, _)| known.cmp(model)) {
            Ok(at) => self.cached[at].1,
            Err(_) => Source::Store,
        }
    }

    /// Whether it has a copy of the model, loaded or not.
    pub(super) fn has_copy(&self, model: &ModelName) -> bool {
        self.find(model).is_some() || self.load_source(model) != Source::Store
    }

    /// Models of which it has a copy and which are not loaded.
    pub(super) fn unloaded_copies(&self) -> impl Iterator<Item = &ModelName> {
        let names = self.cached.iter().map(|(model, _)| model);
        names.filter(|model| self.find(model).is_none())
    }

    /// Whether it can take a change of models now.
    pub(super) fn is_idle(&self) -> bool {
        let has_no_order =
            self.change == ModelChange::None && self.sent.is_none() && !self.is_engine_busy;
        has_no_order && self.is_usable()
    }

    /// Describes the state that has kept the engine from taking a change for `limit_ms`; returns it
    /// again only after another `limit_ms`.
    pub(super) fn take_blocked_state(&mut self, now_ms: u64, limit_ms: u64) -> Option<String> {
        if self.is_idle() || self.is_leaving {
            self.blocked_since_ms = None;
            return None;
        }
        let since_ms = *self.blocked_since_ms.get_or_insert(now_ms);
        if now_ms < since_ms + limit_ms {
            return None;
        }
        self.blocked_since_ms = Some(now_ms);
        let Self { change, sent, accepted_orders, is_engine_busy, is_report_requested, .. } = self;
        let report_in_ms = self.report_due_ms.map(|due_ms| due_ms.saturating_sub(now_ms));
        Some(format!(
            "{change:?}, sent {sent:?}, accepted orders {accepted_orders:?}, engine busy \
             {is_engine_busy}, report requested {is_report_requested}, next report in \
             {report_in_ms:?} ms"
        ))
    }

    /// Whether it accepts orders for adapters: an engine rejects them while it loads or unloads a
    /// model.
    pub(super) fn can_change_adapters(&self) -> bool {
        let is_changing = match &self.change {
            ModelChange::Unload { is_accepted, .. } | ModelChange::Load { is_accepted, .. } => {
                *is_accepted
            }
            ModelChange::None => false,
        };
        !is_changing && !self.is_engine_busy
    }

    /// Whether its number of accepted orders is known, it is not leaving and it can get orders.
    pub(super) fn is_usable(&self) -> bool {
        self.accepted_orders.is_some() && !self.is_leaving && !self.is_closed
    }

    /// Expected time until the change in progress has ended.
    pub(super) fn remaining_ms(&self, now_ms: u64) -> u64 {
        match &self.change {
            ModelChange::None => 0,
            ModelChange::Unload { due_ms, .. } | ModelChange::Load { due_ms, .. } => {
                due_ms.saturating_sub(now_ms) + UNLOAD_MS
            }
        }
    }

    /// The model that is being loaded, or that is to be loaded after the unload in progress.
    pub(super) fn incoming_model(&self) -> Option<&ModelName> {
        match &self.change {
            ModelChange::Load { model, .. } => Some(model),
            ModelChange::Unload { then, .. } => then.as_ref(),
            ModelChange::None => self.next_model.as_ref(),
        }
    }

    /// Whether the load in progress, or the one after the unload in progress, reads from the weight
    /// store.
    pub(super) fn is_loading_from_store(&self) -> bool {
        match &self.change {
            ModelChange::Load { source, .. } => *source == Source::Store,
            ModelChange::Unload { then: Some(model), .. } => {
                self.load_source(model) == Source::Store
            }
            ModelChange::Unload { then: None, .. } | ModelChange::None => false,
        }
    }

    /// The models and adapters that routers may use, sorted.
    pub(super) fn replicas(&self, now_ms: u64) -> Vec<ModelRef> {
        let mut replicas = Vec::new();
        for loaded in self.models.iter().filter(|loaded| !loaded.is_unloading) {
            replicas.push(ModelRef { model: loaded.model.clone(), adapter: None });
            let is_ready =
                |adapter: &&LoadedAdapter| !adapter.is_unloading && adapter.ready_ms <= now_ms;
            replicas.extend(loaded.adapters.iter().filter(is_ready).map(|adapter| ModelRef {
                model: loaded.model.clone(),
                adapter: Some(adapter.name.clone()),
            }));
        }
        replicas.sort_unstable();
        replicas
    }

    /// Takes the model to load after an unload that has ended.
    pub(super) fn take_next_model(&mut self) -> Option<ModelName> {
        self.next_model.take()
    }

    /// Resets the running requests of all models.
    pub(super) fn clear_running(&mut self) {
        self.models.iter_mut().for_each(|loaded| loaded.running = 0);
    }

    /// Requests that run or wait on it, for any model.
    pub(super) fn total_running(&self) -> u32 {
        self.models.iter().map(|loaded| loaded.running).sum()
    }

    /// The model of an accepted load from the weight store in progress.
    pub(super) fn store_load(&self) -> Option<&ModelName> {
        match &self.change {
            ModelChange::Load { model, source: Source::Store, is_accepted: true, .. } => {
                Some(model)
            }
            ModelChange::Load { .. } | ModelChange::Unload { .. } | ModelChange::None => None,
        }
    }

    /// Adds running requests of a model or adapter.
    pub(super) fn add_running(&mut self, now_ms: u64, model: &ModelRef, count: u32) {
        let found = self.models.binary_search_by(|loaded| loaded.model.cmp(&model.model));
        let Ok(at) = found else { return };
        let loaded = &mut self.models[at];
        loaded.running += count;
        loaded.last_used_ms = now_ms;
        let adapters = loaded.adapters.iter_mut();
        adapters
            .filter(|adapter| Some(&adapter.name) == model.adapter.as_ref())
            .for_each(|adapter| adapter.last_used_ms = now_ms);
    }

    /// Marks the adapters that have become ready as published, and returns whether there are any.
    pub(super) fn publish_ready_adapters(&mut self, now_ms: u64) -> bool {
        let mut is_any_new = false;
        for adapter in self.models.iter_mut().flat_map(|loaded| &mut loaded.adapters) {
            if !adapter.is_published && adapter.ready_ms <= now_ms {
                adapter.is_published = true;
                is_any_new = true;
            }
        }
        is_any_new
    }

    /// The next time at which an order, a report request or the readiness of an adapter is due.
    pub(super) fn wake_ms(&self, now_ms: u64) -> Option<u64> {
        let change_ms = match &self.change {
            ModelChange::Unload { due_ms, is_accepted: false, .. } => Some(*due_ms),
            ModelChange::None | ModelChange::Unload { .. } | ModelChange::Load { .. } => None,
        };
        let adapters = self.models.iter().flat_map(|loaded| &loaded.adapters);
        let ready_ms = adapters.filter(|a| !a.is_published).map(|adapter| adapter.ready_ms).min();
        let adapter_ms = self.adapter_changes.iter().map(|change| change.due_ms).min();
        // No order is due before the slot is opened, which is an event.
        let [change_ms, adapter_ms] =
            [change_ms, adapter_ms].map(|due_ms| due_ms.filter(|_| !self.is_closed));
        let report_ms = self.report_due_ms.filter(|_| !self.is_report_requested);
        let pause_ms = Some(self.not_before_ms).filter(|until_ms| *until_ms > now_ms);
        let due = [change_ms, ready_ms, adapter_ms, report_ms, pause_ms];
        due.into_iter().flatten().min().map(|due_ms| due_ms.max(now_ms + 1))
    }
}

fn cached_copy(cached: &order::Cached) -> (ModelName, Source) {
    let source = match cached.tier {
        order::Tier::Memory => Source::Memory,
        order::Tier::Disk => Source::Disk,
    };
    (cached.model.model.clone(), source)
}

/// The models that an engine announces, each with its adapters.
fn group_by_model(state: &order::State) -> ModelAdapters {
    let mut models = ModelAdapters::new();
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

/// Replaces the known adapters by the listed ones, and keeps those that became ready too recently
/// to be listed.
fn update_adapters(known: &mut Vec<LoadedAdapter>, listed: &[AdapterName], now_ms: u64) {
    known.retain(|adapter| {
        listed.contains(&adapter.name) || now_ms < adapter.ready_ms + STALE_REPORT_MS
    });
    for name in listed {
        if known.iter().all(|adapter| adapter.name != *name) {
            known.push(LoadedAdapter {
                name: name.clone(),
                ready_ms: now_ms,
                last_used_ms: now_ms,
                is_unloading: false,
                is_published: true,
            });
        }
    }
}
