//! Which model is loaded next, where, and what leaves for it.
//!
//! Load at its worst: requests for forty and more models that are each asked for every quarter of a
//! minute, beside two models that take most of the traffic and change places every few seconds.

use super::site::{Source, Work};
use super::{Planner, Site};
use crate::ids::ModelName;

/// Requests in flight that one replica is to have at most before another is wanted.
const PER_REPLICA: u32 = 8;
/// Arrivals a second from which a model is kept on two engines.
const BUSY_RATE_PER_S: f64 = 1.0;
/// A model that was loaded just now stays for this long, so that its requests reach it.
const MIN_STAY_MS: u64 = 1_200;
/// Weight of the expected wait of others against the wait of the request in hand.
const LOSS_WEIGHT: f64 = 2.0;
/// Cost of a running request on a model that would have to leave.
const RUNNING_COST_MS: f64 = 1_500.0;
/// Time after which an engine whose state is unclear, or whose models are all in use, can be used.
const SETTLE_MS: u64 = 1_000;
/// Share of the rate at which the weight store may be asked, which keeps clear of its limit.
const STORE_SHARE: f64 = 0.8;
/// Time over which starts at the weight store are counted.
const STORE_WINDOW_MS: u64 = 5_000;
/// An engine with adapters in use counts as much as this many models that only it has.
const ADAPTERS_COUNT_AS: f64 = 6.0;
/// Loads from the store that requests wait for, beyond those that fill disks.
const URGENT_EXTRA: usize = 2;

/// The rate that a model is taken to be asked for at least.
const MIN_RATE_PER_S: f64 = 0.02;

/// Why a model is loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// Requests wait and no engine holds it.
    Missing,
    /// More requests are in flight than its replicas take.
    Crowded,
    /// No disk has a copy.
    Unread,
}

/// A way to load a model.
struct Choice {
    site: usize,
    victim: Option<ModelName>,
    load_ms: u64,
    is_now: bool,
}

impl Planner {
    /// Begins the loads that are worth beginning now.
    pub(super) fn plan(&mut self) {
        self.follow_unloads();
        for (need, model) in self.needs() {
            if need == Need::Unread && !self.may_prefetch() {
                break;
            }
            match self.choose(need, &model) {
                Some(choice) if choice.is_now => self.begin(&model, &choice),
                // Where one model finds no place, the others of its kind find none either.
                _ if need == Need::Unread => break,
                Some(_) | None => {}
            }
        }
    }

    /// Loads what a model made room for.
    fn follow_unloads(&mut self) {
        for at in 0..self.sites.len() {
            if self.sites[at].work != Work::None {
                continue;
            }
            let Some(model) = self.sites[at].take_next() else { continue };
            let fits = self.free_mb(&self.sites[at]) >= self.weights_mb(&model);
            let load_ms = self.load_ms(&self.sites[at], &model);
            if fits && self.sites[at].find(&model).is_none() {
                self.sites[at].begin_load(self.now_ms, &model, load_ms);
            }
        }
    }

    /// The models to be loaded, the most urgent first.
    fn needs(&self) -> Vec<(Need, ModelName)> {
        let mut needs: Vec<(Need, f64, ModelName)> = Vec::new();
        for spec in &self.engine.models {
            let model = &spec.name;
            let count = self.census.of(model);
            let rate_per_s = self.demand.rate_per_s(self.now_ms, model);
            let urgency = f64::from(count.waiting) * 10.0 + rate_per_s;
            let need = match count.replicas {
                0 if count.waiting > 0 => Need::Missing,
                0 if count.copies == 0 => Need::Unread,
                0 => continue,
                have if have < self.wanted(model) => Need::Crowded,
                _ => continue,
            };
            needs.push((need, urgency, model.clone()));
        }
        needs.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        needs.into_iter().map(|(need, _, model)| (need, model)).collect()
    }

    /// Replicas that the requests in flight need.
    pub(super) fn wanted(&self, model: &ModelName) -> u32 {
        let count = self.census.of(model);
        let in_flight = count.running + count.waiting;
        let rate_per_s = self.demand.rate_per_s(self.now_ms, model);
        let floor = u32::from(rate_per_s > 0.0) + u32::from(rate_per_s > BUSY_RATE_PER_S);
        in_flight.div_ceil(PER_REPLICA).max(floor)
    }

    /// Loads from the weight store that are under way.
    fn at_store(&self) -> usize {
        self.sites.iter().filter(|site| site.is_at_store()).count()
    }

    fn may_prefetch(&mut self) -> bool {
        self.at_store() < self.settings.store_at_once && self.may_start_at_store()
    }

    /// Whether the rate of the weight store allows another load.
    fn may_start_at_store(&mut self) -> bool {
        let begin_ms = self.now_ms.saturating_sub(STORE_WINDOW_MS);
        while self.store_starts_ms.front().is_some_and(|at_ms| *at_ms < begin_ms) {
            self.store_starts_ms.pop_front();
        }
        let window_s = STORE_WINDOW_MS as f64 / 1_000.0;
        let most = (self.engine.store_loads_per_s * window_s * STORE_SHARE).max(1.0);
        (self.store_starts_ms.len() as f64) < most
    }

    fn choose(&mut self, need: Need, model: &ModelName) -> Option<Choice> {
        let most = match need {
            Need::Missing => self.settings.store_at_once + URGENT_EXTRA,
            Need::Crowded | Need::Unread => self.settings.store_at_once,
        };
        let may_use_store = self.at_store() < most && self.may_start_at_store();
        let mut best: Option<(f64, Choice)> = None;
        for at in 0..self.sites.len() {
            let Some((cost_ms, choice)) = self.consider(at, need, model, may_use_store) else {
                continue;
            };
            if best.as_ref().is_none_or(|(best_ms, _)| cost_ms < *best_ms) {
                best = Some((cost_ms, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// What it costs to load the model on one engine, in milliseconds of waiting.
    fn consider(
        &self,
        at: usize,
        need: Need,
        model: &ModelName,
        may_use_store: bool,
    ) -> Option<(f64, Choice)> {
        let site = &self.sites[at];
        let source = site.source(model);
        let is_blocked = source == Source::Store && !may_use_store;
        if site.is_leaving || site.find(model).is_some() || is_blocked {
            return None;
        }
        let load_ms = self.load_ms(site, model);
        let mut wait_ms = site.busy_ms(self.now_ms);
        let mut is_now = site.is_idle();
        if !site.is_usable() {
            wait_ms += SETTLE_MS;
        }
        let fits = self.free_mb(site) >= self.weights_mb(model);
        let (victim, loss_ms) = match (fits, self.victim(site, need)) {
            (true, _) => (None, 0.0),
            (false, Some((victim, loss_ms))) => (Some(victim), loss_ms),
            (false, None) if need == Need::Missing && source != Source::Store => {
                // All that it holds is in use: it is free again soon.
                is_now = false;
                wait_ms += SETTLE_MS;
                (None, 0.0)
            }
            (false, None) => return None,
        };
        let blocks_ms = if source == Source::Store { self.blocked_ms(site, load_ms) } else { 0.0 };
        let cost_ms = (load_ms + wait_ms) as f64 + LOSS_WEIGHT * (loss_ms + blocks_ms);
        Some((cost_ms, Choice { site: at, victim, load_ms, is_now }))
    }

    /// The expected wait, a second of use, of those who ask for models that only this engine's disk
    /// has, while it is at the weight store.
    fn blocked_ms(&self, site: &Site, load_ms: u64) -> f64 {
        let copies = site.models.iter().map(|loaded| &loaded.model);
        let copies = copies.chain(site.copies_beside_loaded());
        let only_here = copies.filter(|model| self.census.of(model).copies <= 1).count() as f64;
        let has_adapters = site.models.iter().any(|loaded| !loaded.adapters.is_empty());
        (only_here + if has_adapters { ADAPTERS_COUNT_AS } else { 0.0 }) * load_ms as f64 / 100.0
    }

    /// The model whose leave costs least, if one may leave.
    fn victim(&self, site: &Site, need: Need) -> Option<(ModelName, f64)> {
        let mut best: Option<(ModelName, f64)> = None;
        for loaded in &site.models {
            let is_fresh = self.now_ms < loaded.since_ms + MIN_STAY_MS;
            let count = self.census.of(&loaded.model);
            let is_waited_for = count.waiting > 0;
            let is_in_use = loaded.running > 0 && need != Need::Missing;
            let have = count.replicas;
            let is_short = have <= self.wanted(&loaded.model);
            let is_busy = self.demand.rate_per_s(self.now_ms, &loaded.model) > BUSY_RATE_PER_S;
            if is_waited_for || is_in_use || (is_short && is_busy) {
                continue;
            }
            if is_fresh && need != Need::Missing {
                continue;
            }
            let mut loss_ms = f64::from(loaded.running) * RUNNING_COST_MS;
            loss_ms += if is_fresh { RUNNING_COST_MS } else { 0.0 };
            loss_ms += self.loss_ms(site, &loaded.model, have);
            // Among equals the one that was used longest ago.
            loss_ms += 1.0 / (1.0 + self.now_ms.saturating_sub(loaded.used_ms) as f64);
            if best.as_ref().is_none_or(|(_, best_ms)| loss_ms < *best_ms) {
                best = Some((loaded.model.clone(), loss_ms));
            }
        }
        best
    }

    /// The expected wait that the leave of a replica causes, in milliseconds.
    fn loss_ms(&self, site: &Site, model: &ModelName, have: u32) -> f64 {
        let rate_per_s = self.demand.rate_per_s(self.now_ms, model).max(MIN_RATE_PER_S);
        let reload_ms = match site.has_copy(model) {
            true => self.spec(model).map_or(0, |spec| spec.disk_load_ms),
            false => self.spec(model).map_or(0, |spec| spec.store_load_ms),
        };
        rate_per_s * reload_ms as f64 / f64::from(have.max(1))
    }

    fn begin(&mut self, model: &ModelName, choice: &Choice) {
        let site = &mut self.sites[choice.site];
        match &choice.victim {
            Some(victim) => {
                site.begin_unload(self.now_ms, victim, Some(model.clone()));
                self.actions.push(super::Action::Changed(site.target.clone()));
            }
            None => site.begin_load(self.now_ms, model, choice.load_ms),
        }
    }

    fn weights_mb(&self, model: &ModelName) -> f64 {
        // A model that is not listed any more takes an unknown amount: all of the memory.
        self.spec(model).map_or(self.engine.weights_mb, |spec| spec.weights_mb)
    }

    /// Memory for weights that is not taken, in megabytes. A load that was sent counts as taken.
    pub(super) fn free_mb(&self, site: &Site) -> f64 {
        let adapter_mb = |loaded: &super::site::Loaded| {
            let each_mb = self.spec(&loaded.model).map_or(0.0, |spec| spec.adapter_mb);
            each_mb * loaded.adapters.len() as f64
        };
        let held: f64 = site
            .models
            .iter()
            .map(|loaded| self.weights_mb(&loaded.model) + adapter_mb(loaded))
            .sum();
        let coming = match &site.work {
            Work::Load { model, .. } => self.weights_mb(model),
            Work::None | Work::Unload { .. } => 0.0,
        };
        self.engine.weights_mb - held - coming - self.adapter_reserve_mb()
    }

    /// Memory that is left free for adapters, in megabytes.
    fn adapter_reserve_mb(&self) -> f64 {
        let largest_mb = self.engine.models.iter().map(|spec| spec.adapter_mb).fold(0.0, f64::max);
        largest_mb * f64::from(self.engine.adapter_slots)
    }

    fn load_ms(&self, site: &Site, model: &ModelName) -> u64 {
        let Some(spec) = self.spec(model) else { return 0 };
        match site.source(model) {
            Source::Memory => spec.memory_load_ms,
            Source::Disk => spec.disk_load_ms,
            Source::Store => {
                let at_once = self.at_store() + 1;
                let slowness = at_once as f64 / self.settings.store_at_once as f64;
                (spec.store_load_ms as f64 * slowness.max(1.0)) as u64
            }
        }
    }
}
