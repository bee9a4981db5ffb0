//! What one round of planning knows of each engine, worked out at most once until it changes.
//!
//! Load at its worst: a leader that may give orders again after an outage of seconds, with a hundred
//! models waited for, on a hundred engines. What an engine can give up does not depend on the model
//! that is to come, so it is not worked out again for each of them.

use super::site::{Site, Source, Work};
use super::specs::Specs;
use super::{Need, Planner};
use crate::ids::ModelName;

/// A model that was loaded just now stays for this long, so that its requests reach it.
const MIN_STAY_MS: u64 = 1_200;
/// Cost of a running request on a model that would have to leave.
const RUNNING_COST_MS: f64 = 1_500.0;
/// An engine with adapters in use counts as much as this many models that only it has.
const ADAPTERS_COUNT_AS: f64 = 6.0;
/// The rate that a model is taken to be asked for at least.
const MIN_RATE_PER_S: f64 = 0.02;

/// What one engine has to offer.
#[derive(Clone, Debug)]
pub(super) struct Prospect {
    /// Memory for weights that is not taken, in megabytes.
    pub free_mb: f64,
    /// The model whose leave costs least, and that cost, where requests wait for the one to come.
    pub victim_for_missing: Option<(ModelName, f64)>,
    /// The same where none waits.
    pub victim: Option<(ModelName, f64)>,
    /// The wait that it causes while it is at the weight store, as a part of that time.
    pub blocked_share: f64,
}

impl Prospect {
    /// What may leave for a model that is needed in this way.
    pub(super) fn victim_for(&self, need: Need) -> Option<&(ModelName, f64)> {
        match need {
            Need::Missing => self.victim_for_missing.as_ref(),
            Need::Crowded | Need::Unread => self.victim.as_ref(),
        }
    }
}

/// The engines of one round, in the order of the planner's.
#[derive(Debug, Default)]
pub(super) struct Outlook {
    prospects: Vec<Option<Prospect>>,
    /// Loads from the weight store that are under way.
    pub at_store: usize,
    /// Engines that can be given work at once.
    pub idle: usize,
    /// Pairs of a model and an engine that were looked at.
    pub looked_at: u64,
}

impl Outlook {
    pub(super) fn new(sites: &[Site]) -> Self {
        let mut outlook = Self { prospects: vec![None; sites.len()], ..Self::default() };
        outlook.count(sites);
        outlook
    }

    /// An engine was given work.
    pub(super) fn changed(&mut self, sites: &[Site], at: usize) {
        self.prospects[at] = None;
        self.count(sites);
    }

    fn count(&mut self, sites: &[Site]) {
        self.at_store = at_store(sites);
        self.idle = sites.iter().filter(|site| site.is_idle()).count();
    }

    /// What an engine has to offer.
    pub(super) fn prospect(&mut self, planner: &Planner, at: usize) -> &Prospect {
        self.prospects[at].get_or_insert_with(|| planner.prospect(&planner.sites[at]))
    }
}

/// Loads from the weight store that are under way.
pub(super) fn at_store(sites: &[Site]) -> usize {
    sites.iter().filter(|site| site.is_at_store()).count()
}

/// Memory of an engine for weights that is not taken, in megabytes. A load that was sent counts as
/// taken.
pub(super) fn free_mb(specs: &Specs, site: &Site) -> f64 {
    let mut taken_mb = specs.adapter_reserve_mb();
    for loaded in &site.models {
        let adapter_mb = specs.find(&loaded.model).map_or(0.0, |spec| spec.adapter_mb);
        taken_mb += specs.weights_mb(&loaded.model) + adapter_mb * loaded.adapters.len() as f64;
    }
    if let Work::Load { model, .. } = &site.work {
        taken_mb += specs.weights_mb(model);
    }
    specs.memory_mb() - taken_mb
}

/// The expected wait that the leave of one of `have` replicas causes, in milliseconds.
fn loss_ms(specs: &Specs, site: &Site, model: &ModelName, rate_per_s: f64, have: u32) -> f64 {
    let reload_ms = specs.find(model).map_or(0, |spec| match site.has_copy(model) {
        true => spec.disk_load_ms,
        false => spec.store_load_ms,
    });
    rate_per_s.max(MIN_RATE_PER_S) * reload_ms as f64 / f64::from(have.max(1))
}

impl Planner {
    fn prospect(&self, site: &Site) -> Prospect {
        Prospect {
            free_mb: free_mb(&self.specs, site),
            victim_for_missing: self.victim(site, Need::Missing),
            victim: self.victim(site, Need::Crowded),
            blocked_share: self.blocked_share(site),
        }
    }

    /// The model whose leave costs least, if one may leave.
    fn victim(&self, site: &Site, need: Need) -> Option<(ModelName, f64)> {
        let mut best: Option<(&ModelName, f64)> = None;
        for loaded in &site.models {
            let is_fresh = self.now_ms < loaded.since_ms + MIN_STAY_MS;
            let count = self.census.of(&loaded.model);
            let rate_per_s = self.demand.rate_per_s(self.now_ms, &loaded.model);
            let is_waited_for = count.waiting > 0;
            let is_in_use = loaded.running > 0 && need != Need::Missing;
            let is_short = count.replicas <= super::plan::wanted(&count, rate_per_s);
            let is_busy = super::plan::is_busy(rate_per_s);
            if is_waited_for || is_in_use || (is_short && is_busy) {
                continue;
            }
            if is_fresh && need != Need::Missing {
                continue;
            }
            let mut cost_ms = f64::from(loaded.running) * RUNNING_COST_MS;
            cost_ms += if is_fresh { RUNNING_COST_MS } else { 0.0 };
            cost_ms += loss_ms(&self.specs, site, &loaded.model, rate_per_s, count.replicas);
            // Among equals the one that was used longest ago.
            cost_ms += 1.0 / (1.0 + self.now_ms.saturating_sub(loaded.used_ms) as f64);
            if best.is_none_or(|(_, best_ms)| cost_ms < best_ms) {
                best = Some((&loaded.model, cost_ms));
            }
        }
        best.map(|(model, cost_ms)| (model.clone(), cost_ms))
    }

    /// The expected wait, a second of use, of those who ask for models that only this engine's disk
    /// has, while it is at the weight store.
    fn blocked_share(&self, site: &Site) -> f64 {
        let copies = site.models.iter().map(|loaded| &loaded.model);
        let copies = copies.chain(site.copies_beside_loaded());
        let only_here = copies.filter(|model| self.census.of(model).copies <= 1).count() as f64;
        let has_adapters = site.models.iter().any(|loaded| !loaded.adapters.is_empty());
        (only_here + if has_adapters { ADAPTERS_COUNT_AS } else { 0.0 }) / 100.0
    }

    /// Time of a load on an engine, in milliseconds, while so many others are at the weight store.
    pub(super) fn load_ms(&self, site: &Site, model: &ModelName, at_store: usize) -> u64 {
        let Some(spec) = self.specs.find(model) else { return 0 };
        match site.source(model) {
            Source::Memory => spec.memory_load_ms,
            Source::Disk => spec.disk_load_ms,
            Source::Store => {
                let slowness = (at_store + 1) as f64 / self.settings.max_store_loads as f64;
                (spec.store_load_ms as f64 * slowness.max(1.0)) as u64
            }
        }
    }
}
