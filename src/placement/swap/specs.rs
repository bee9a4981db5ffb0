//! The engine specification of a service from the route document, indexed by model.

use crate::ids::ModelName;
use crate::routes;

/// Capacity of the engines of a service, and the sizes of the models they can load.
#[derive(Debug, Default)]
pub(super) struct EngineSpecs {
    /// Its models are sorted by name.
    engine: routes::Engine,
    adapter_reserve_mb: f64,
}

impl EngineSpecs {
    pub(super) fn new(mut engine: routes::Engine) -> Self {
        engine.models.sort_by(|a, b| a.name.cmp(&b.name));
        let largest_mb = engine.models.iter().map(|spec| spec.adapter_mb).fold(0.0, f64::max);
        let adapter_reserve_mb = largest_mb * f64::from(engine.adapter_slots);
        Self { engine, adapter_reserve_mb }
    }

    /// All models, sorted by name.
    pub(super) fn models(&self) -> &[routes::Model] {
        &self.engine.models
    }

    /// The specification of a model; `None` if the route document no longer lists it.
    pub(super) fn find_model(&self, model: &ModelName) -> Option<&routes::Model> {
        let at = self.engine.models.binary_search_by(|spec| spec.name.cmp(model)).ok()?;
        Some(&self.engine.models[at])
    }

    /// Memory of one engine for weights and adapters.
    pub(super) fn memory_mb(&self) -> f64 {
        self.engine.weights_mb
    }

    /// Memory that the weights of a model take.
    pub(super) fn weights_mb(&self, model: &ModelName) -> f64 {
        // The size of a model that is no longer listed is unknown: assume all of the memory.
        self.find_model(model).map_or(self.engine.weights_mb, |spec| spec.weights_mb)
    }

    /// Memory of an engine that is kept free for adapters.
    pub(super) fn adapter_reserve_mb(&self) -> f64 {
        self.adapter_reserve_mb
    }

    /// Largest number of adapters on an engine.
    pub(super) fn adapter_slots(&self) -> usize {
        self.engine.adapter_slots as usize
    }

    /// Requests that one engine runs at once.
    pub(super) fn slots(&self) -> f64 {
        f64::from(self.engine.slots.max(1))
    }

    /// Rate limit of loads from the weight store, over all engines.
    pub(super) fn store_loads_per_s(&self) -> f64 {
        self.engine.store_loads_per_s
    }
}
