//! Requests, replicas and copies of each model over all engines, counted once per planning round.

use super::demand::AggregateDemand;
use super::engine::EngineState;
use super::specs::EngineSpecs;
use crate::ids::{ModelName, SoftwareVersion};

/// Counts for one model.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ModelCount {
    /// Requests that wait for the model or one of its adapters, on any engine.
    pub waiting: u32,
    /// Requests for the model at engines.
    pub running: u32,
    /// Replicas that are loaded or being loaded on engines that are not leaving.
    pub replicas: u32,
    /// Those of them on engines that name a rate limit, and the requests a second that these take.
    pub limited_replicas: u32,
    pub limited_per_s: f64,
    /// Engines that are not leaving and have a copy, loaded or not.
    pub copies: u32,
}

impl ModelCount {
    /// Replicas that serve requests at `rate_per_s`: those on limited engines count only if these
    /// take as many.
    pub(super) fn serving_replicas(&self, rate_per_s: f64) -> u32 {
        match self.limited_per_s >= rate_per_s {
            true => self.replicas,
            false => self.replicas.saturating_sub(self.limited_replicas),
        }
    }
}

/// Counts for all models.
#[derive(Debug, Default)]
pub(super) struct ModelCounts {
    /// Sorted by model.
    counts: Vec<(ModelName, ModelCount)>,
    /// Requests that wait for a model on an engine of one software version.
    bound: Vec<BoundWaiting>,
}

/// Requests whose streams only engines of one software version can continue.
#[derive(Clone, Debug)]
pub(super) struct BoundWaiting {
    pub model: ModelName,
    pub software: SoftwareVersion,
    pub count: u32,
}

impl ModelCounts {
    pub(super) fn collect(
        specs: &EngineSpecs,
        engines: &[EngineState],
        demand: &AggregateDemand,
    ) -> Self {
        let names = specs.models().iter().map(|spec| (spec.name.clone(), ModelCount::default()));
        let mut counts = Self { counts: names.collect(), bound: Vec::new() };
        for waiting in demand.waiting() {
            match &waiting.software {
                Some(software) => counts.add_bound(&waiting.model.model, software, waiting.count),
                None => counts.update(&waiting.model.model, |count| count.waiting += waiting.count),
            }
        }
        for running in demand.running() {
            let Some(model) = &running.model else { continue };
            counts.update(&model.model, |count| count.running += running.count);
        }
        for engine in engines.iter().filter(|engine| !engine.is_leaving) {
            for loaded in &engine.models {
                counts.update(&loaded.model, |count| {
                    count.replicas += u32::from(!loaded.is_unloading);
                    count.copies += 1;
                    if let Some(limit_per_s) = engine.limit_per_s.filter(|_| !loaded.is_unloading) {
                        count.limited_replicas += 1;
                        count.limited_per_s += limit_per_s;
                    }
                });
            }
            if let Some(model) = engine.incoming_model() {
                counts.update(model, |count| count.replicas += 1);
            }
            for model in engine.unloaded_copies() {
                counts.update(model, |count| count.copies += 1);
            }
        }
        counts
    }

    fn add_bound(&mut self, model: &ModelName, software: &SoftwareVersion, added: u32) {
        let is_same =
            |known: &&mut BoundWaiting| known.model == *model && known.software == *software;
        match self.bound.iter_mut().find(is_same) {
            Some(known) => known.count += added,
            None => {
                let (model, software) = (model.clone(), software.clone());
                self.bound.push(BoundWaiting { model, software, count: added });
            }
        }
    }

    /// Requests that wait for a model on an engine of one software version.
    pub(super) fn bound(&self) -> &[BoundWaiting] {
        &self.bound
    }

    /// Whether requests wait for a model that this engine may serve.
    pub(super) fn is_awaited(&self, model: &ModelName, engine: &EngineState) -> bool {
        let is_bound =
            |bound: &BoundWaiting| bound.model == *model && engine.may_serve(Some(&bound.software));
        self.get(model).waiting > 0 || self.bound.iter().any(is_bound)
    }

    fn update(&mut self, model: &ModelName, update: impl FnOnce(&mut ModelCount)) {
        if let Ok(at) = self.counts.binary_search_by(|(known, _)| known.cmp(model)) {
            update(&mut self.counts[at].1);
        }
    }

    /// The counts of a model; all zero if the specification does not list it.
    pub(super) fn get(&self, model: &ModelName) -> ModelCount {
        match self.counts.binary_search_by(|(known, _)| known.cmp(model)) {
            Ok(at) => self.counts[at].1,
            Err(_) => ModelCount::default(),
        }
    }
}
