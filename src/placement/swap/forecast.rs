//! When models that requests wait for can be used.
//!
//! Load at its worst: more rare models asked for at once than the weight store brings while their
//! callers wait. Routers refuse by this at once what cannot be served in time, and say when to return.

use super::outlook::at_store;
use super::plan::URGENT_EXTRA;
use super::site::{Site, Source};
use super::{Need, Planner};
use crate::ids::ModelName;

/// Time beside a load from a disk: another model leaves first.
const SWAP_MS: u64 = 150;

/// When a model that no engine holds is expected on one.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Expected {
    /// The model.
    pub model: ModelName,
    /// Time until then.
    pub in_ms: u64,
}

/// Models and when they are expected, sorted by model.
#[derive(Clone, Debug, Default)]
pub(super) struct Forecast {
    ready_ms: Vec<(ModelName, u64)>,
}

impl Forecast {
    /// When a model is expected, if it is waited for and not there.
    pub(super) fn of(&self, now_ms: u64, model: &ModelName) -> Option<Expected> {
        let at = self.ready_ms.binary_search_by(|(known, _)| known.cmp(model)).ok()?;
        let in_ms = self.ready_ms[at].1.saturating_sub(now_ms);
        Some(Expected { model: model.clone(), in_ms })
    }
}

impl Planner {
    /// When a model is expected that requests wait for and that no engine holds. `None` if it is not
    /// waited for, or nothing can be said.
    pub fn expected(&self, model: &ModelName) -> Option<Expected> {
        self.forecast.of(self.now_ms, model)
    }

    /// Works out when each model that is waited for comes, if they are loaded in the order of `needs`.
    pub(super) fn make_forecast(&self, needs: &[(Need, ModelName)]) -> Forecast {
        let mut slots_ms = self.store_slots_ms();
        let mut ready_ms = Vec::new();
        for (_, model) in needs.iter().filter(|(need, _)| *need == Need::Missing) {
            let by_copy_ms =
                self.sites.iter().filter_map(|site| self.ready_by_copy_ms(site, model));
            let ready = by_copy_ms.min().or_else(|| self.ready_by_store_ms(&mut slots_ms, model));
            ready_ms.extend(ready.map(|ready| (model.clone(), ready)));
        }
        ready_ms.extend(self.coming());
        ready_ms.sort_unstable();
        ready_ms.dedup_by(|later, first| later.0 == first.0);
        Forecast { ready_ms }
    }

    /// Models that are on their way to an engine, and when they are there.
    fn coming(&self) -> impl Iterator<Item = (ModelName, u64)> {
        self.sites.iter().filter(|site| !site.is_leaving).filter_map(|site| {
            let model = site.coming()?;
            let after_ms = if site.is_loading() { 0 } else { self.load_ms(site, model, 0) };
            Some((model.clone(), self.now_ms + site.busy_ms(self.now_ms) + after_ms))
        })
    }

    /// When an engine that has a copy of the model could hold it.
    fn ready_by_copy_ms(&self, site: &Site, model: &ModelName) -> Option<u64> {
        let has_copy = site.source(model) != Source::Store && site.is_usable();
        let load_ms = has_copy.then(|| self.load_ms(site, model, 0))?;
        Some(self.now_ms + site.busy_ms(self.now_ms) + SWAP_MS + load_ms)
    }

    /// When each place at the weight store is free, the first one first.
    fn store_slots_ms(&self) -> Vec<u64> {
        let busy = self.sites.iter().filter(|site| site.is_at_store());
        let mut slots_ms: Vec<u64> =
            busy.map(|site| self.now_ms + site.busy_ms(self.now_ms)).collect();
        let most = self.settings.store_at_once + URGENT_EXTRA;
        slots_ms.resize(most.max(slots_ms.len()), self.now_ms);
        slots_ms.sort_unstable();
        slots_ms
    }

    /// When the weight store has brought the model, which takes the first place that is free.
    fn ready_by_store_ms(&self, slots_ms: &mut [u64], model: &ModelName) -> Option<u64> {
        let site = self.sites.iter().find(|site| site.is_usable())?;
        let load_ms = self.load_ms(site, model, at_store(&self.sites));
        let first = slots_ms.iter_mut().min()?;
        *first += SWAP_MS + load_ms;
        Some(*first)
    }
}
