//! The engines of a service as the document describes them, arranged for lookups.

use crate::ids::ModelName;
use crate::routes;

/// What engines hold and can hold.
#[derive(Debug, Default)]
pub(super) struct Specs {
    /// Its models are sorted by name.
    engine: routes::Engine,
    adapter_reserve_mb: f64,
}

impl Specs {
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

    /// One model, unless it is not listed any more.
    pub(super) fn find(&self, model: &ModelName) -> Option<&routes::Model> {
        let at = self.engine.models.binary_search_by(|spec| spec.name.cmp(model)).ok()?;
        Some(&self.engine.models[at])
    }

    /// Memory for weights and adapters of one engine, in megabytes.
    pub(super) fn memory_mb(&self) -> f64 {
        self.engine.weights_mb
    }

    /// Memory that a model takes, in megabytes.
    pub(super) fn weights_mb(&self, model: &ModelName) -> f64 {
        // A model that is not listed any more takes an unknown amount: all of the memory.
        self.find(model).map_or(self.engine.weights_mb, |spec| spec.weights_mb)
    }

    /// Memory of an engine that is left free for adapters, in megabytes.
    pub(super) fn adapter_reserve_mb(&self) -> f64 {
        self.adapter_reserve_mb
    }

    /// Places for adapters on an engine.
    pub(super) fn adapter_slots(&self) -> usize {
        self.engine.adapter_slots as usize
    }

    /// Loads from the weight store a second, over all engines.
    pub(super) fn store_loads_per_s(&self) -> f64 {
        self.engine.store_loads_per_s
    }
}
