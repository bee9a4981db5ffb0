//! Planning of adapter loads. Adapters load in milliseconds, so they are loaded on demand.

use super::engine::LoadedAdapter;
use super::{EngineState, Operation, Planner};
use crate::ids::{ModelRef, SoftwareVersion};

/// Largest number of unfinished adapter changes on one engine.
const MAX_ADAPTER_CHANGES: usize = 3;

impl Planner {
    /// Starts loading the adapters that requests wait for.
    pub(super) fn plan_adapters(&mut self) {
        let mut wanted: Vec<(ModelRef, Option<SoftwareVersion>)> = self
            .demand
            .waiting()
            .filter(|waiting| waiting.model.is_adapter())
            .map(|waiting| (waiting.model.clone(), waiting.software.clone()))
            .collect();
        wanted.sort_unstable();
        wanted.dedup();
        for (adapter, software) in wanted {
            self.place_adapter(&adapter, software.as_ref());
        }
    }

    /// Starts to load an adapter on an engine of a software version, unless one has it.
    fn place_adapter(&mut self, adapter: &ModelRef, software: Option<&SoftwareVersion>) {
        let is_loading = |engine: &EngineState| {
            engine
                .adapter_changes
                .iter()
                .any(|change| change.adapter == *adapter && change.operation == Operation::Load)
        };
        let mut serving = self.engines.iter().filter(|engine| engine.may_serve(software));
        if serving.any(|engine| has_adapter(engine, adapter) || is_loading(engine)) {
            return;
        }
        let slots = self.specs.adapter_slots();
        let mut best: Option<((bool, u64, u32, usize), usize)> = None;
        for (at, engine) in self.engines.iter().enumerate() {
            let base = engine.find(&adapter.model).filter(|loaded| !loaded.is_unloading);
            let Some(base) = base else { continue };
            if !engine.may_serve(software)
                || !engine.is_usable()
                || engine.adapter_changes.len() >= MAX_ADAPTER_CHANGES
            {
                continue;
            }
            let used_slots = used_adapter_slots(engine);
            let wait_ms =
                if engine.can_change_adapters() { 0 } else { engine.remaining_ms(self.now_ms) };
            let rank = (used_slots >= slots, wait_ms, base.running, used_slots);
            if best.is_none_or(|(best_rank, _)| rank < best_rank) {
                best = Some((rank, at));
            }
        }
        let Some(((is_full, ..), at)) = best else { return };
        if !is_full {
            self.engines[at].begin_adapter_load(self.now_ms, adapter.clone());
        } else if let Some(victim) = self.find_idle_adapter(&self.engines[at]) {
            self.engines[at].begin_adapter_unload(self.now_ms, victim);
            self.actions.push(super::Action::ReplicasChanged(self.engines[at].target.clone()));
        }
    }

    /// The least recently used adapter that has no waiting or running requests and no unfinished
    /// change.
    fn find_idle_adapter(&self, engine: &EngineState) -> Option<ModelRef> {
        let is_changing_or_wanted = |adapter: &ModelRef| {
            engine.adapter_changes.iter().any(|change| change.adapter == *adapter)
                || self.demand.waiting().any(|waiting| waiting.model == *adapter)
        };
        let has_running_requests = |adapter: &ModelRef| {
            self.demand.running().any(|running| {
                running.target == engine.target && running.model.as_ref() == Some(adapter)
            })
        };
        let mut idle: Option<(u64, ModelRef)> = None;
        for base in &engine.models {
            for loaded in base.adapters.iter().filter(|loaded| !loaded.is_unloading) {
                let adapter = Some(loaded.name.clone());
                let adapter = ModelRef { model: base.model.clone(), adapter };
                let is_older = idle
                    .as_ref()
                    .is_none_or(|(last_used_ms, _)| loaded.last_used_ms < *last_used_ms);
                if is_older && !has_running_requests(&adapter) && !is_changing_or_wanted(&adapter) {
                    idle = Some((loaded.last_used_ms, adapter));
                }
            }
        }
        idle.map(|(_, adapter)| adapter)
    }
}

/// Adapter slots that are occupied or reserved by a planned load.
fn used_adapter_slots(engine: &EngineState) -> usize {
    let occupied: usize = engine.models.iter().map(|loaded| loaded.adapters.len()).sum();
    let changes = engine.adapter_changes.iter();
    let reserved = changes.filter(|change| change.operation == Operation::Load);
    occupied + reserved.count()
}

fn has_adapter(engine: &EngineState, adapter: &ModelRef) -> bool {
    let base =
        engine.find(&adapter.model).filter(|loaded| !loaded.is_unloading && !engine.is_leaving);
    base.is_some_and(|base| {
        let is_match = |loaded: &LoadedAdapter| Some(&loaded.name) == adapter.adapter.as_ref();
        base.adapters.iter().any(|loaded| is_match(loaded) && !loaded.is_unloading)
    })
}
