//! When the loads in progress are expected to be done, for routers whose requests wait for them.

use super::Planner;
use super::engine::{EngineState, ModelChange, Source};
use crate::ids::{DaemonId, ModelName};

/// What the leader knows of the load of a model that requests wait for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ExpectedLoad {
    /// The model.
    pub model: ModelName,
    /// Time until its first load in progress is due, negative once it is overdue. `None` if no load
    /// has been planned yet.
    pub ready_in_ms: Option<i64>,
    /// Age of the state of the planner that this is from.
    pub age_ms: u64,
}

impl Planner {
    /// When the loads of the models that this router's requests wait for are expected to be done, sorted
    /// by model. Empty while this planner sends no orders.
    pub fn expected_loads(&self, now_ms: u64, router: &DaemonId) -> Vec<ExpectedLoad> {
        if !self.can_order() {
            return Vec::new();
        }
        let waiting = self.demand.waiting_at(router).map(|waiting| &waiting.model.model);
        let mut models: Vec<&ModelName> =
            waiting.filter(|model| self.specs.find_model(model).is_some()).collect();
        models.sort_unstable();
        models.dedup();
        let age_ms = now_ms.saturating_sub(self.now_ms);
        let expected = models.into_iter().map(|model| {
            let due_ms = self.engines.iter().filter_map(|engine| self.due_ms(engine, model)).min();
            let ready_in_ms = due_ms.map(|due_ms| due_ms as i64 - now_ms as i64);
            ExpectedLoad { model: model.clone(), ready_in_ms, age_ms }
        });
        expected.collect()
    }

    /// When an engine is expected to have loaded a model, if it is loading it or will after an unload.
    fn due_ms(&self, engine: &EngineState, model: &ModelName) -> Option<u64> {
        if engine.incoming_model() != Some(model) {
            return None;
        }
        let spec = self.specs.find_model(model)?;
        let load_ms = match engine.load_source(model) {
            Source::Memory => spec.memory_load_ms,
            Source::Disk => spec.disk_load_ms,
            Source::Store => spec.store_load_ms,
        };
        Some(match &engine.change {
            ModelChange::Load { due_ms, .. } => *due_ms,
            ModelChange::Unload { due_ms, .. } => (*due_ms).max(self.now_ms) + load_ms,
            ModelChange::None => self.now_ms + load_ms,
        })
    }
}
