//! State of one planning round: free memory and eviction candidates of each engine.
//!
//! What an engine can evict does not depend on the model to be loaded, so [`EngineCapacity`] is
//! computed at most once per engine until the engine is given a change. The largest case is a
//! leader that may send orders again after an outage of some seconds, with a hundred engines and
//! requests waiting for a hundred models.

use super::Planner;
use super::engine::{EngineState, LoadedModel, ModelChange, Source};
use super::model_counts::ModelCount;
use super::specs::EngineSpecs;
use crate::ids::ModelName;

/// Time for which a newly loaded model is kept, so that the requests waiting for it can reach it.
const MIN_RESIDENCE_MS: u64 = 1_200;
/// Eviction cost of each request that runs on the model, and of evicting a newly loaded model.
const RUNNING_REQUEST_COST_MS: f64 = 1_500.0;
/// Weight of an engine's adapters in its blocked share: as many models with no other copy.
const ADAPTERS_AS_MODELS: f64 = 6.0;
/// Lower bound of the arrival rate assumed for any model.
const MIN_RATE_PER_S: f64 = 0.02;

/// Time for which a further replica is expected to be useful, and for which the loss of one is felt:
/// which models are busy changes every few seconds.
pub(super) const REPLICA_USE_MS: f64 = 3_000.0;

/// What one engine can offer to a new model.
#[derive(Clone, Debug)]
pub(super) struct EngineCapacity {
    /// Unused memory for weights.
    pub free_mb: f64,
    /// The cheapest model to evict and its cost, if models in use may be evicted.
    pub victim_in_use: Option<(ModelName, f64)>,
    /// The cheapest model to evict and its cost of those without requests.
    pub idle_victim: Option<(ModelName, f64)>,
    /// Expected waiting time that a load from the weight store causes on this engine, as a share of
    /// the duration of the load.
    pub blocked_share: f64,
    /// Share of its slots in use.
    pub occupancy: f64,
}

impl EngineCapacity {
    /// The model to evict, and its cost in milliseconds of waiting.
    pub(super) fn victim(&self, eviction: Eviction) -> Option<&(ModelName, f64)> {
        match eviction {
            Eviction::InUse => self.victim_in_use.as_ref(),
            Eviction::Idle => self.idle_victim.as_ref(),
        }
    }
}

/// Which models a load may evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Eviction {
    /// Also models with running requests and new ones.
    InUse,
    /// Models without requests.
    Idle,
}

/// State of one planning round.
#[derive(Debug, Default)]
pub(super) struct PlanningRound {
    /// In the order of the planner's engines; `None` until computed.
    capacities: Vec<Option<EngineCapacity>>,
    /// Loads from the weight store in progress.
    pub store_loads: usize,
    /// Loads from the weight store that take so long that they no longer count.
    stuck_loads: usize,
    /// Engines that can be given a change immediately.
    pub idle_engines: usize,
    /// Pairs of model and engine evaluated so far.
    pub evaluated_pairs: u64,
}

impl PlanningRound {
    pub(super) fn new(engines: &[EngineState], stuck_loads: usize) -> Self {
        let capacities = vec![None; engines.len()];
        let mut round = Self { capacities, stuck_loads, ..Self::default() };
        round.update_totals(engines);
        round
    }

    /// Discards the computed capacity of an engine that was given a change.
    pub(super) fn invalidate(&mut self, engines: &[EngineState], at: usize) {
        self.capacities[at] = None;
        self.update_totals(engines);
    }

    fn update_totals(&mut self, engines: &[EngineState]) {
        self.store_loads = count_store_loads(engines).saturating_sub(self.stuck_loads);
        self.idle_engines = engines.iter().filter(|engine| engine.is_idle()).count();
    }

    /// The capacity of an engine, computed on first use.
    pub(super) fn capacity(&mut self, planner: &Planner, at: usize) -> &EngineCapacity {
        self.capacities[at].get_or_insert_with(|| planner.compute_capacity(&planner.engines[at]))
    }
}

/// Number of loads from the weight store in progress.
pub(super) fn count_store_loads(engines: &[EngineState]) -> usize {
    engines.iter().filter(|engine| engine.is_loading_from_store()).count()
}

/// Unused memory of an engine for weights. A load in progress counts as used memory.
pub(super) fn free_mb(specs: &EngineSpecs, engine: &EngineState) -> f64 {
    let mut used_mb = specs.adapter_reserve_mb();
    for loaded in &engine.models {
        let adapter_mb = specs.find_model(&loaded.model).map_or(0.0, |spec| spec.adapter_mb);
        used_mb += specs.weights_mb(&loaded.model) + adapter_mb * loaded.adapters.len() as f64;
    }
    if let ModelChange::Load { model, .. } = &engine.change {
        used_mb += specs.weights_mb(model);
    }
    specs.memory_mb() - used_mb
}

/// Expected waiting time caused by evicting one of `replicas` replicas, in milliseconds: the
/// arrival rate times the time to load the model again.
fn reload_cost_ms(
    specs: &EngineSpecs,
    engine: &EngineState,
    model: &ModelName,
    rate_per_s: f64,
    replicas: u32,
) -> f64 {
    let reload_ms = specs.find_model(model).map_or(0, |spec| match engine.has_copy(model) {
        true => spec.disk_load_ms,
        false => spec.store_load_ms,
    });
    rate_per_s.max(MIN_RATE_PER_S) * reload_ms as f64 / f64::from(replicas.max(1))
}

impl Planner {
    fn compute_capacity(&self, engine: &EngineState) -> EngineCapacity {
        EngineCapacity {
            free_mb: free_mb(&self.specs, engine),
            victim_in_use: self.choose_victim(engine, Eviction::InUse),
            idle_victim: self.choose_victim(engine, Eviction::Idle),
            blocked_share: self.blocked_share(engine),
            occupancy: f64::from(engine.total_running()) / (self.specs.slots() * engine.speed),
        }
    }

    /// The cheapest model to evict and its cost, if any may be evicted.
    fn choose_victim(&self, engine: &EngineState, eviction: Eviction) -> Option<(ModelName, f64)> {
        let mut best: Option<(&ModelName, f64)> = None;
        for loaded in &engine.models {
            let count = self.counts.get(&loaded.model);
            let is_new = self.now_ms < loaded.loaded_ms + MIN_RESIDENCE_MS;
            let is_in_use = loaded.running > 0 || is_new;
            let is_last = count.serving_replicas() <= 1 && count.is_high_rate();
            if self.counts.is_awaited(&loaded.model, engine)
                || is_last
                || (is_in_use && eviction == Eviction::Idle)
            {
                continue;
            }
            let cost_ms = self.eviction_cost_ms(engine, loaded, &count, is_new);
            if best.is_none_or(|(_, best_ms)| cost_ms < best_ms) {
                best = Some((&loaded.model, cost_ms));
            }
        }
        best.map(|(model, cost_ms)| (model.clone(), cost_ms))
    }

    /// Expected delay of requests caused by evicting a model, in milliseconds.
    fn eviction_cost_ms(
        &self,
        engine: &EngineState,
        loaded: &LoadedModel,
        count: &ModelCount,
        is_new: bool,
    ) -> f64 {
        let rate_per_s = count.rates.current_per_s.max(count.rates.lasting_per_s);
        let running = f64::from(loaded.running) + f64::from(u32::from(is_new));
        running * RUNNING_REQUEST_COST_MS
            + reload_cost_ms(&self.specs, engine, &loaded.model, rate_per_s, count.replicas)
            + count.loss_of_replica() * REPLICA_USE_MS
            // Breaks ties in favor of evicting the least recently used model.
            + 1.0 / (1.0 + self.now_ms.saturating_sub(loaded.last_used_ms) as f64)
    }

    /// Expected waiting time per time that the engine spends on a load from the weight store, of
    /// requests for models of which only this engine has a copy.
    fn blocked_share(&self, engine: &EngineState) -> f64 {
        let copies = engine.models.iter().map(|loaded| &loaded.model);
        let copies = copies.chain(engine.unloaded_copies());
        let only_copies = copies.filter(|model| self.counts.get(model).copies <= 1).count() as f64;
        let has_adapters = engine.models.iter().any(|loaded| !loaded.adapters.is_empty());
        (only_copies + if has_adapters { ADAPTERS_AS_MODELS } else { 0.0 }) / 100.0
    }

    /// Expected duration of a load while `store_loads` others read from the weight store.
    pub(super) fn load_ms(
        &self,
        engine: &EngineState,
        model: &ModelName,
        store_loads: usize,
    ) -> u64 {
        let Some(spec) = self.specs.find_model(model) else { return 0 };
        match engine.load_source(model) {
            Source::Memory => spec.memory_load_ms,
            Source::Disk => spec.disk_load_ms,
            Source::Store => (spec.store_load_ms as f64 * self.store.slowdown(store_loads)) as u64,
        }
    }
}
