//! Counts over all engines and routers, made once for a round of planning.

use super::demand::AggregateDemand;
use super::site::Site;
use super::specs::Specs;
use crate::ids::ModelName;

/// What is known of one model.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Count {
    /// Requests that wait for it, with or without an adapter.
    pub waiting: u32,
    /// Requests of it at engines.
    pub running: u32,
    /// Replicas that are there or on their way, on engines that stay.
    pub replicas: u32,
    /// Engines that stay and have a copy, loaded or not.
    pub copies: u32,
}

/// The counts of all models.
#[derive(Debug, Default)]
pub(super) struct Census {
    /// Sorted by model.
    counts: Vec<(ModelName, Count)>,
}

impl Census {
    pub(super) fn take(specs: &Specs, sites: &[Site], demand: &AggregateDemand) -> Self {
        let names = specs.models().iter().map(|spec| (spec.name.clone(), Count::default()));
        let mut census = Self { counts: names.collect() };
        for waiting in demand.waiting() {
            census.add(&waiting.model.model, |count| count.waiting += waiting.count);
        }
        for running in demand.running() {
            let Some(model) = &running.model else { continue };
            census.add(&model.model, |count| count.running += running.count);
        }
        for site in sites.iter().filter(|site| !site.is_leaving) {
            for loaded in &site.models {
                census.add(&loaded.model, |count| {
                    count.replicas += u32::from(!loaded.is_closing);
                    count.copies += 1;
                });
            }
            if let Some(model) = site.coming() {
                census.add(model, |count| count.replicas += 1);
            }
            for model in site.copies_beside_loaded() {
                census.add(model, |count| count.copies += 1);
            }
        }
        census
    }

    fn add(&mut self, model: &ModelName, add: impl FnOnce(&mut Count)) {
        if let Ok(at) = self.counts.binary_search_by(|(known, _)| known.cmp(model)) {
            add(&mut self.counts[at].1);
        }
    }

    /// The counts of a model.
    pub(super) fn of(&self, model: &ModelName) -> Count {
        match self.counts.binary_search_by(|(known, _)| known.cmp(model)) {
            Ok(at) => self.counts[at].1,
            Err(_) => Count::default(),
        }
    }
}
