//! Which model is loaded next, where, and what leaves for it.
//!
//! Load at its worst: requests for forty and more models that are each asked for every quarter of a
//! minute, beside two models that take most of the traffic and change places every few seconds.

use super::census::Count;
use super::outlook::{self, Outlook};
use super::site::{Source, Work};
use super::{Need, Planner};
use crate::ids::ModelName;

/// Requests in flight that one replica is to have at most before another is wanted.
const PER_REPLICA: u32 = 8;
/// Arrivals a second from which a model is kept on two engines.
const BUSY_RATE_PER_S: f64 = 1.0;
/// Weight of the expected wait of others against the wait of the request in hand.
const LOSS_WEIGHT: f64 = 2.0;
/// Time after which an engine whose state is unclear, or whose models are all in use, can be used.
const SETTLE_MS: u64 = 1_000;
/// Share of the rate at which the weight store may be asked, which keeps clear of its limit.
const STORE_SHARE: f64 = 0.8;
/// A planner that has just begun reads nothing from the weight store for so long: engines that it has
/// not heard of yet may hold the model, and an earlier leader's loads may be under way.
const LEARN_MS: u64 = 1_300;
/// Time over which starts at the weight store are counted.
const STORE_WINDOW_MS: u64 = 5_000;
/// Loads from the store that requests wait for, beyond those that fill disks.
const URGENT_EXTRA: usize = 2;

/// Pairs of a model and an engine that were looked at for each millisecond until the next round: a
/// backlog must leave the leader time for everything else.
const LOOKED_AT_PER_MS: u64 = 1_000;

/// A way to load a model.
struct Choice {
    site: usize,
    victim: Option<ModelName>,
    load_ms: u64,
    is_now: bool,
}

/// Whether a model is asked for so often that it is kept on two engines.
pub(super) fn is_busy(rate_per_s: f64) -> bool {
    rate_per_s > BUSY_RATE_PER_S
}

/// Replicas that the requests in flight need.
pub(super) fn wanted(count: &Count, rate_per_s: f64) -> u32 {
    let in_flight = count.running + count.waiting;
    let floor = u32::from(rate_per_s > 0.0) + u32::from(is_busy(rate_per_s));
    in_flight.div_ceil(PER_REPLICA).max(floor)
}

impl Planner {
    /// Begins the loads that are worth beginning now.
    pub(super) fn plan(&mut self) {
        self.follow_unloads();
        let mut outlook = Outlook::new(&self.sites);
        for (need, model) in self.needs() {
            // Where no engine is idle, nothing can begin now.
            if outlook.idle == 0 || (need == Need::Unread && !self.may_prefetch(&outlook)) {
                break;
            }
            match self.choose(&mut outlook, need, &model) {
                Some(choice) if choice.is_now => {
                    self.begin(&model, &choice);
                    outlook.changed(&self.sites, choice.site);
                }
                // Where one model finds no place, the others of its kind find none either.
                _ if need == Need::Unread => break,
                Some(_) | None => {}
            }
        }
        self.plan_ms += outlook.looked_at / LOOKED_AT_PER_MS;
    }

    /// Loads what a model made room for.
    fn follow_unloads(&mut self) {
        for at in 0..self.sites.len() {
            if self.sites[at].work != Work::None {
                continue;
            }
            let Some(model) = self.sites[at].take_next() else { continue };
            let site = &self.sites[at];
            let fits = outlook::free_mb(&self.specs, site) >= self.specs.weights_mb(&model);
            let load_ms = self.load_ms(site, &model, outlook::at_store(&self.sites));
            if fits && site.find(&model).is_none() {
                self.sites[at].begin_load(self.now_ms, &model, load_ms);
            }
        }
    }

    /// The models to be loaded, the most urgent first.
    fn needs(&self) -> Vec<(Need, ModelName)> {
        let mut needs: Vec<(Need, f64, &ModelName)> = Vec::new();
        for spec in self.specs.models() {
            let count = self.census.of(&spec.name);
            let rate_per_s = self.demand.rate_per_s(self.now_ms, &spec.name);
            let urgency = f64::from(count.waiting) * 10.0 + rate_per_s;
            let need = match count.replicas {
                0 if count.waiting > 0 => Need::Missing,
                0 if count.copies == 0 => Need::Unread,
                0 => continue,
                have if have < wanted(&count, rate_per_s) => Need::Crowded,
                _ => continue,
            };
            needs.push((need, urgency, &spec.name));
        }
        needs.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(b.2)));
        needs.into_iter().map(|(need, _, model)| (need, model.clone())).collect()
    }

    fn may_prefetch(&mut self, outlook: &Outlook) -> bool {
        outlook.at_store < self.settings.max_store_loads && self.may_start_at_store()
    }

    /// Whether the rate of the weight store allows another load.
    fn may_start_at_store(&mut self) -> bool {
        if self.now_ms < self.start_ms + LEARN_MS {
            return false;
        }
        let begin_ms = self.now_ms.saturating_sub(STORE_WINDOW_MS);
        while self.store_starts_ms.front().is_some_and(|at_ms| *at_ms < begin_ms) {
            self.store_starts_ms.pop_front();
        }
        let window_s = STORE_WINDOW_MS as f64 / 1_000.0;
        let most = (self.specs.store_loads_per_s() * window_s * STORE_SHARE).max(1.0);
        (self.store_starts_ms.len() as f64) < most
    }

    fn choose(&mut self, outlook: &mut Outlook, need: Need, model: &ModelName) -> Option<Choice> {
        let most = match need {
            Need::Missing => self.settings.max_store_loads + URGENT_EXTRA,
            Need::Crowded | Need::Unread => self.settings.max_store_loads,
        };
        let may_use_store = outlook.at_store < most && self.may_start_at_store();
        let mut best: Option<(f64, Choice)> = None;
        outlook.looked_at += self.sites.len() as u64;
        for at in 0..self.sites.len() {
            let considered = self.consider(outlook, at, need, model, may_use_store);
            let Some((cost_ms, choice)) = considered else { continue };
            if best.as_ref().is_none_or(|(best_ms, _)| cost_ms < *best_ms) {
                best = Some((cost_ms, choice));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// What it costs to load the model on one engine, in milliseconds of waiting.
    fn consider(
        &self,
        outlook: &mut Outlook,
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
        let load_ms = self.load_ms(site, model, outlook.at_store);
        let mut wait_ms = site.busy_ms(self.now_ms);
        let mut is_now = site.is_idle();
        if !site.is_usable() {
            wait_ms += SETTLE_MS;
        }
        let prospect = outlook.prospect(self, at);
        let fits = prospect.free_mb >= self.specs.weights_mb(model);
        let (victim, loss_ms) = match (fits, prospect.victim_for(need)) {
            (true, _) => (None, 0.0),
            (false, Some((victim, loss_ms))) => (Some(victim.clone()), *loss_ms),
            (false, None) if need == Need::Missing && source != Source::Store => {
                // All that it holds is in use: it is free again soon.
                is_now = false;
                wait_ms += SETTLE_MS;
                (None, 0.0)
            }
            (false, None) => return None,
        };
        let is_from_store = source == Source::Store;
        let blocked_share = if is_from_store { prospect.blocked_share } else { 0.0 };
        let blocks_ms = blocked_share * load_ms as f64;
        let cost_ms = (load_ms + wait_ms) as f64 + LOSS_WEIGHT * (loss_ms + blocks_ms);
        Some((cost_ms, Choice { site: at, victim, load_ms, is_now }))
    }

    fn begin(&mut self, model: &ModelName, choice: &Choice) {
        let site = &mut self.sites[choice.site];
        match &choice.victim {
            Some(victim) => {
                site.begin_unload(self.now_ms, victim, Some(model.clone()));
                self.actions.push(super::Action::ReplicasChanged(site.target.clone()));
            }
            None => site.begin_load(self.now_ms, model, choice.load_ms),
        }
    }
}
