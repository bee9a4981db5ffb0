//! Planning of model loads: which model to load next, on which engine, and what to evict for it.
//!
//! The largest expected load is requests for forty or more models, each requested about every 15
//! seconds, beside two models that get most of the traffic and swap their rates every few seconds.

use super::engine::{ModelChange, Source};
use super::model_counts::{BoundWaiting, ModelCount};
use super::round::{self, PlanningRound};
use super::{LoadReason, Planner};
use crate::ids::{ModelName, SoftwareVersion};

/// Requests waiting or running per replica above which another replica is wanted.
const MAX_REQUESTS_PER_REPLICA: u32 = 8;
/// Arrival rate above which a model is kept on two engines.
const HIGH_RATE_PER_S: f64 = 1.0;
/// Weight of the waiting time caused to other requests against that of the request to be served.
const DISPLACEMENT_WEIGHT: f64 = 2.0;
/// Assumed delay until an engine can be used whose state is unclear or whose models are all in use.
const UNAVAILABLE_DELAY_MS: u64 = 1_000;
/// Share of the weight store's rate limit that is used, to keep clear of the limit.
const STORE_RATE_SHARE: f64 = 0.8;
/// Time after the start of a planner in which it starts no load from the weight store: engines that
/// have not been heard from yet may hold the model, and loads of an earlier leader may be in
/// progress.
const DISCOVERY_MS: u64 = 1_300;
/// Window over which the rate of loads from the weight store is measured.
const STORE_RATE_WINDOW_MS: u64 = 5_000;
/// Concurrent loads from the weight store that requests wait for, beyond the limit for loads that
/// only copy models to disks.
const EXTRA_URGENT_STORE_LOADS: usize = 2;

/// Urgency of a waiting request, in requests a second.
const WAITING_URGENCY: f64 = 10.0;

/// Evaluated pairs of model and engine per millisecond of additional delay before the next round,
/// so that a backlog leaves the leader time for its other work.
const EVALUATED_PAIRS_PER_MS: u64 = 1_000;

/// A model that is to be loaded.
#[derive(Clone, Debug)]
struct PendingLoad {
    reason: LoadReason,
    urgency: f64,
    model: ModelName,
    /// The software version of the engine, if requests wait for one.
    software: Option<SoftwareVersion>,
}

/// A possible load of a model on one engine.
struct Candidate {
    /// Index in [`Planner::engines`].
    engine: usize,
    victim: Option<ModelName>,
    load_ms: u64,
    can_start_now: bool,
}

/// Whether requests for a model are so frequent that it is kept on two engines.
pub(super) fn is_high_rate(rate_per_s: f64) -> bool {
    rate_per_s > HIGH_RATE_PER_S
}

/// Number of replicas needed for the requests in flight and the arrival rate.
pub(super) fn wanted_replicas(count: &ModelCount, rate_per_s: f64) -> u32 {
    let in_flight = count.running + count.waiting;
    let min_replicas = u32::from(rate_per_s > 0.0) + u32::from(is_high_rate(rate_per_s));
    in_flight.div_ceil(MAX_REQUESTS_PER_REPLICA).max(min_replicas)
}

impl Planner {
    /// Starts the model loads that can start now.
    pub(super) fn plan_loads(&mut self) {
        self.load_replacements();
        let mut round = PlanningRound::new(&self.engines);
        for load in self.pending_loads() {
            let is_prefetch = load.reason == LoadReason::NoCopy;
            if round.idle_engines == 0 || (is_prefetch && !self.can_prefetch(&round)) {
                break;
            }
            match self.choose_candidate(&mut round, &load) {
                Some(candidate) if candidate.can_start_now => {
                    self.start_candidate(&load.model, &candidate);
                    round.invalidate(&self.engines, candidate.engine);
                }
                // If one model cannot be prefetched, no other one can.
                _ if is_prefetch => break,
                Some(_) | None => {}
            }
        }
        self.next_round_ms += round.evaluated_pairs / EVALUATED_PAIRS_PER_MS;
    }

    /// Starts loads for which another model has been unloaded.
    fn load_replacements(&mut self) {
        for at in 0..self.engines.len() {
            if self.engines[at].change != ModelChange::None {
                continue;
            }
            let Some(model) = self.engines[at].take_next_model() else { continue };
            let engine = &self.engines[at];
            let fits = round::free_mb(&self.specs, engine) >= self.specs.weights_mb(&model);
            let load_ms = self.load_ms(engine, &model, round::count_store_loads(&self.engines));
            if fits && engine.find(&model).is_none() {
                self.engines[at].begin_load(self.now_ms, &model, load_ms);
            }
        }
    }

    /// The models to be loaded, the most urgent first.
    fn pending_loads(&self) -> Vec<PendingLoad> {
        let mut pending = self.pending_bound_loads();
        for spec in self.specs.models() {
            let count = self.counts.get(&spec.name);
            let rate_per_s = self.demand.rate_per_s(self.now_ms, &spec.name);
            let urgency = f64::from(count.waiting) * WAITING_URGENCY + rate_per_s;
            let reason = match count.replicas {
                0 if count.waiting > 0 => LoadReason::NoReplica,
                0 if count.copies == 0 => LoadReason::NoCopy,
                0 => continue,
                _ if count.serving_replicas(rate_per_s) < wanted_replicas(&count, rate_per_s) => {
                    LoadReason::TooFewReplicas
                }
                _ => continue,
            };
            let model = spec.name.clone();
            pending.push(PendingLoad { reason, urgency, model, software: None });
        }
        // A stream that broke off comes first: its caller does not wait for long, and few engines can
        // continue it.
        let rank = |load: &PendingLoad| (load.reason, load.software.is_none());
        pending.sort_by(|a, b| {
            let by_rank = rank(a).cmp(&rank(b));
            by_rank.then(b.urgency.total_cmp(&a.urgency)).then(a.model.cmp(&b.model))
        });
        pending
    }

    /// The models that requests wait for on engines of one software version, of which none has it.
    fn pending_bound_loads(&self) -> Vec<PendingLoad> {
        let is_missing = |bound: &&BoundWaiting| {
            !self.engines.iter().any(|engine| {
                let loaded = engine.find(&bound.model).filter(|loaded| !loaded.is_unloading);
                let is_there = loaded.is_some() || engine.incoming_model() == Some(&bound.model);
                is_there && engine.may_serve(Some(&bound.software)) && !engine.is_leaving
            })
        };
        let missing = self.counts.bound().iter().filter(is_missing);
        let load = |bound: &BoundWaiting| PendingLoad {
            reason: LoadReason::NoReplica,
            urgency: f64::from(bound.count) * WAITING_URGENCY,
            model: bound.model.clone(),
            software: Some(bound.software.clone()),
        };
        missing.map(load).collect()
    }

    fn can_prefetch(&mut self, round: &PlanningRound) -> bool {
        round.store_loads < self.settings.max_store_loads && self.can_start_store_load()
    }

    /// Whether the rate limit of the weight store allows another load.
    fn can_start_store_load(&mut self) -> bool {
        if self.now_ms < self.start_ms + DISCOVERY_MS {
            return false;
        }
        let begin_ms = self.now_ms.saturating_sub(STORE_RATE_WINDOW_MS);
        while self.store_starts_ms.front().is_some_and(|at_ms| *at_ms < begin_ms) {
            self.store_starts_ms.pop_front();
        }
        let window_s = STORE_RATE_WINDOW_MS as f64 / 1_000.0;
        let max_starts = (self.specs.store_loads_per_s() * window_s * STORE_RATE_SHARE).max(1.0);
        (self.store_starts_ms.len() as f64) < max_starts
    }

    /// The candidate with the lowest cost over all engines.
    fn choose_candidate(
        &mut self,
        round: &mut PlanningRound,
        load: &PendingLoad,
    ) -> Option<Candidate> {
        let max_store_loads = match load.reason {
            LoadReason::NoReplica => self.settings.max_store_loads + EXTRA_URGENT_STORE_LOADS,
            LoadReason::TooFewReplicas | LoadReason::NoCopy => self.settings.max_store_loads,
        };
        // The caller of a stream that broke off does not wait for the weight store.
        let can_use_store = load.software.is_none()
            && round.store_loads < max_store_loads
            && self.can_start_store_load();
        let mut best: Option<(f64, Candidate)> = None;
        round.evaluated_pairs += self.engines.len() as u64;
        for at in 0..self.engines.len() {
            let evaluated = self.evaluate_engine(round, at, load, can_use_store);
            let Some((cost_ms, candidate)) = evaluated else { continue };
            if best.as_ref().is_none_or(|(best_ms, _)| cost_ms < *best_ms) {
                best = Some((cost_ms, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// The load of a model on one engine and its cost in milliseconds of waiting; `None` if the
    /// engine cannot load it.
    fn evaluate_engine(
        &self,
        round: &mut PlanningRound,
        at: usize,
        load: &PendingLoad,
        can_use_store: bool,
    ) -> Option<(f64, Candidate)> {
        let PendingLoad { reason, model, software, .. } = load;
        let reason = *reason;
        let engine = &self.engines[at];
        if !engine.may_serve(software.as_ref()) {
            return None;
        }
        let source = engine.load_source(model);
        let is_blocked = source == Source::Store && !can_use_store;
        // Another replica there would serve no more requests.
        let is_limited = engine.limit_per_s.is_some() && reason == LoadReason::TooFewReplicas;
        if engine.is_leaving || engine.find(model).is_some() || is_blocked || is_limited {
            return None;
        }
        let load_ms = self.load_ms(engine, model, round.store_loads);
        let mut wait_ms = engine.remaining_ms(self.now_ms);
        let mut can_start_now = engine.is_idle();
        if !engine.is_usable() {
            wait_ms += UNAVAILABLE_DELAY_MS;
        }
        let capacity = round.capacity(self, at);
        let fits = capacity.free_mb >= self.specs.weights_mb(model);
        let (victim, eviction_ms) = match (fits, capacity.victim_for(reason)) {
            (true, _) => (None, 0.0),
            (false, Some((victim, cost_ms))) => (Some(victim.clone()), *cost_ms),
            (false, None) if reason == LoadReason::NoReplica && source != Source::Store => {
                // All models of the engine are in use, but one of them is soon free again. Waiting
                // for it may cost less than a load elsewhere.
                can_start_now = false;
                wait_ms += UNAVAILABLE_DELAY_MS;
                (None, 0.0)
            }
            (false, None) => return None,
        };
        let is_from_store = source == Source::Store;
        let blocked_share = if is_from_store { capacity.blocked_share } else { 0.0 };
        let blocked_ms = blocked_share * load_ms as f64;
        let cost_ms = (load_ms + wait_ms) as f64 + DISPLACEMENT_WEIGHT * (eviction_ms + blocked_ms);
        Some((cost_ms, Candidate { engine: at, victim, load_ms, can_start_now }))
    }

    fn start_candidate(&mut self, model: &ModelName, candidate: &Candidate) {
        let engine = &mut self.engines[candidate.engine];
        match &candidate.victim {
            Some(victim) => {
                engine.begin_unload(self.now_ms, victim, Some(model.clone()));
                self.actions.push(super::Action::ReplicasChanged(engine.target.clone()));
            }
            None => engine.begin_load(self.now_ms, model, candidate.load_ms),
        }
    }
}
