//! Planning of model loads: which model to load next, on which engine, and what to evict for it.
//!
//! The largest expected load is requests for three hundred models, each requested about every 10
//! seconds, beside up to thirty models that get most of the traffic and swap their rates every few
//! seconds. All loads are compared in one unit, the request-milliseconds of delay that a load avoids
//! for each millisecond that it takes.

use super::engine::{EngineState, ModelChange, Source};
use super::model_counts::{BoundWaiting, ModelCount};
use super::round::{self, Eviction, PlanningRound, REPLICA_USE_MS};
use super::summary::StartedLoad;
use super::{LoadReason, Planner};
use crate::ids::{ModelName, SoftwareVersion};
use crate::routes;

/// Weight of the waiting time caused to other requests against that of the request to be served.
const DISPLACEMENT_WEIGHT: f64 = 2.0;
/// Assumed delay until an engine can be used whose state is unclear or whose models are all in use.
const UNAVAILABLE_DELAY_MS: u64 = 1_000;
/// Share of the weight store's rate limit that is used, to keep clear of the limit.
const STORE_RATE_SHARE: f64 = 0.8;
/// Time after the start of a planner in which it starts no load from the weight store: engines that
/// have not been heard from yet may hold the model, and loads of an earlier leader may be in
/// progress.
pub(super) const DISCOVERY_MS: u64 = 1_300;
/// Window over which the rate of loads from the weight store is measured.
const STORE_RATE_WINDOW_MS: u64 = 5_000;
/// Loads from the weight store beyond the number that run at full speed, for requests that are late.
const EXTRA_URGENT_STORE_LOADS: usize = 1;
/// Delayed requests from which one more load is worth slowing the others down.
const EXTRA_LOAD_GAIN: f64 = 4.0;
/// Arrival rate assumed at least for a model without a copy.
const MIN_RATE_PER_S: f64 = 0.02;
/// Share of all engines on which copies of one model are made before they are needed.
const MAX_COPIED_SHARE: f64 = 0.5;
/// Delay avoided by a further copy, in requests in the mean over time, from which it is worth a load
/// from the weight store.
const MIN_COPY_GAIN: f64 = 0.25;

/// Started loads that are kept until they are taken for the log.
const MAX_STARTED: usize = 1_000;
/// Loads of one model that are compared with those of other models in one round.
const MAX_LOADS_PER_MODEL: u32 = 6;

/// Evaluated pairs of model and engine per millisecond of additional delay before the next round,
/// so that a backlog leaves the leader time for its other work.
const EVALUATED_PAIRS_PER_MS: u64 = 1_000;

/// A model that is to be loaded.
#[derive(Clone, Debug)]
struct PendingLoad {
    reason: LoadReason,
    /// Requests that are delayed at each moment until the model is loaded, in part if they can wait.
    gain: f64,
    /// Requests that are delayed in the mean over time because there is no further copy.
    copy_gain: f64,
    /// Delay avoided for each millisecond that the load takes, in request-milliseconds.
    value: f64,
    /// Whether requests are late that only this load serves.
    is_urgent: bool,
    /// Whether only the weight store has the model.
    needs_store: bool,
    model: ModelName,
    /// The software version of the engine, if requests wait for one.
    software: Option<SoftwareVersion>,
}

impl PendingLoad {
    /// Whether no request needs the load now.
    fn is_prefetch(&self) -> bool {
        self.reason == LoadReason::NoCopy
    }

    /// Whether it may read from the weight store: a further replica only if the copy that it leaves is
    /// worth it.
    fn is_worth_store(&self) -> bool {
        match self.reason {
            LoadReason::TooFewReplicas => self.copy_gain >= MIN_COPY_GAIN,
            LoadReason::NoReplica | LoadReason::NoCopy | LoadReason::TooFewCopies => true,
        }
    }

    /// Which models it may evict.
    fn eviction(&self) -> Eviction {
        match self.is_urgent {
            true => Eviction::InUse,
            false => Eviction::Idle,
        }
    }
}

/// A possible load of a model on one engine.
struct Candidate {
    /// Index in [`Planner::engines`].
    engine: usize,
    victim: Option<ModelName>,
    load_ms: u64,
    can_start_now: bool,
}

/// Whether only the weight store has the model for one more replica beside `added`.
fn needs_store(count: &ModelCount, added: u32) -> bool {
    count.copies <= count.replicas + added
}

fn pending_load(
    spec: &routes::Model,
    count: &ModelCount,
    reason: LoadReason,
    gain: f64,
    copy_gain: f64,
    added: u32,
) -> PendingLoad {
    let needs_store = match reason {
        LoadReason::NoReplica | LoadReason::TooFewReplicas => needs_store(count, added),
        LoadReason::NoCopy | LoadReason::TooFewCopies => true,
    };
    let load_ms = if needs_store { spec.store_load_ms } else { spec.disk_load_ms };
    let is_urgent = match reason {
        LoadReason::NoReplica => count.urgent_waiting >= 1.0,
        LoadReason::TooFewReplicas => count.is_overloaded(),
        LoadReason::NoCopy | LoadReason::TooFewCopies => false,
    };
    let value = gain / load_ms.max(1) as f64;
    let (model, software) = (spec.name.clone(), None);
    PendingLoad { reason, gain, copy_gain, value, is_urgent, needs_store, model, software }
}

impl Planner {
    /// Starts the model loads that can start now.
    pub(super) fn plan_loads(&mut self) {
        self.load_replacements();
        let mut round = PlanningRound::new(&self.engines, self.stuck_store_loads());
        let mut is_store_awaited = false;
        for load in self.pending_loads() {
            let is_prefetch = load.is_prefetch();
            let can_prefetch = !is_store_awaited && self.can_prefetch(&round);
            if round.idle_engines == 0 || (is_prefetch && !can_prefetch) {
                break;
            }
            if load.reason == LoadReason::TooFewCopies && !self.can_prefetch(&round) {
                continue;
            }
            match self.choose_candidate(&mut round, &load) {
                Some(candidate) if candidate.can_start_now => {
                    self.start_candidate(&load, &candidate);
                    round.invalidate(&self.engines, candidate.engine);
                }
                _ if load.needs_store && load.reason == LoadReason::NoReplica => {
                    is_store_awaited = true;
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

    /// The models to be loaded, the most valuable first.
    fn pending_loads(&self) -> Vec<PendingLoad> {
        let mut pending = self.pending_bound_loads();
        for (model, count) in self.counts.all() {
            let Some(spec) = self.specs.find_model(model) else { continue };
            let needed = self.needed_load(spec, count, 0);
            let Some((LoadReason::TooFewReplicas | LoadReason::TooFewCopies, _)) = needed else {
                pending.extend(
                    needed.map(|(reason, gain)| pending_load(spec, count, reason, gain, 0.0, 0)),
                );
                continue;
            };
            for added in 0..MAX_LOADS_PER_MODEL {
                let Some((reason, gain)) = self.needed_load(spec, count, added) else { break };
                let copy_gain = count.gain_of_copy(self.specs.slots(), added);
                pending.push(pending_load(spec, count, reason, gain, copy_gain, added));
            }
        }
        // A stream that broke off comes first: its caller does not wait for long, and few engines can
        // continue it.
        let rank = |load: &PendingLoad| (load.is_prefetch(), load.software.is_none());
        pending.sort_by(|a, b| {
            let by_rank = rank(a).cmp(&rank(b));
            by_rank.then(b.value.total_cmp(&a.value)).then(a.model.cmp(&b.model))
        });
        pending
    }

    /// Why a model is to be loaded once more beside `added` other loads, if it is, and the requests
    /// that are delayed otherwise.
    fn needed_load(
        &self,
        spec: &routes::Model,
        count: &ModelCount,
        added: u32,
    ) -> Option<(LoadReason, f64)> {
        let store_load_s = spec.store_load_ms as f64 / 1_000.0;
        if count.replicas == 0 && count.waiting > 0 {
            // Those that arrive during the load would wait as well.
            let load_s =
                if count.copies > 0 { spec.disk_load_ms as f64 / 1_000.0 } else { store_load_s };
            let arriving = count.rates.current_per_s * load_s / 2.0;
            return Some((LoadReason::NoReplica, count.urgent_waiting + arriving));
        }
        if count.replicas == 0 && count.copies == 0 {
            let rate_per_s = count.rates.lasting_per_s.max(MIN_RATE_PER_S);
            return Some((LoadReason::NoCopy, rate_per_s * store_load_s));
        }
        let slots = self.specs.slots();
        if count.replicas > 0
            && let Some(gain) = count.gain_of_replica(added)
        {
            // A load from the weight store lasts longer than most models stay busy.
            let is_from_store = needs_store(count, added);
            let gain = if is_from_store { count.gain_of_copy(slots, added) } else { gain };
            return Some((LoadReason::TooFewReplicas, gain));
        }
        let most = (self.engines.len() as f64 * MAX_COPIED_SHARE) as u32;
        let wanted = count.wanted_copies(slots).min(most);
        let gain = count.gain_of_copy(slots, added);
        let is_wanted = count.copies.max(count.replicas) + added < wanted && gain >= MIN_COPY_GAIN;
        is_wanted.then_some((LoadReason::TooFewCopies, gain))
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
            gain: f64::from(bound.count),
            copy_gain: 0.0,
            value: f64::from(bound.count),
            is_urgent: true,
            needs_store: false,
            model: bound.model.clone(),
            software: Some(bound.software.clone()),
        };
        missing.map(load).collect()
    }

    fn can_prefetch(&mut self, round: &PlanningRound) -> bool {
        round.store_loads < self.store.limit() && self.can_start_store_load()
    }

    /// Loads from the weight store that take so long that they no longer count.
    fn stuck_store_loads(&self) -> usize {
        let is_stuck = |engine: &&EngineState| self.store.is_stuck(self.now_ms, &engine.target);
        let loading = self.engines.iter().filter(|engine| engine.is_loading_from_store());
        loading.filter(is_stuck).count()
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
        let extra = match load.reason {
            LoadReason::NoReplica if load.is_urgent && load.gain >= EXTRA_LOAD_GAIN => {
                EXTRA_URGENT_STORE_LOADS
            }
            LoadReason::NoReplica
            | LoadReason::TooFewReplicas
            | LoadReason::NoCopy
            | LoadReason::TooFewCopies => 0,
        };
        let max_store_loads = self.store.limit() + extra;
        // The caller of a stream that broke off does not wait for the weight store.
        let can_use_store = load.software.is_none()
            && load.is_worth_store()
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
        let is_copied = source != Source::Store && reason == LoadReason::TooFewCopies;
        let is_incoming = engine.incoming_model() == Some(model);
        let is_useless = is_blocked || is_limited || is_copied || is_incoming;
        if engine.is_leaving || engine.find(model).is_some() || is_useless {
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
        let (victim, eviction_ms) = match (fits, capacity.victim(load.eviction())) {
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
        let caused_ms = DISPLACEMENT_WEIGHT * (eviction_ms + blocked_ms);
        let mut cost_ms = (load_ms + wait_ms) as f64 + caused_ms;
        if reason == LoadReason::TooFewReplicas {
            if DISPLACEMENT_WEIGHT * eviction_ms >= load.gain * REPLICA_USE_MS {
                return None;
            }
            // A replica serves as many requests as its engine has slots left.
            cost_ms += capacity.occupancy * REPLICA_USE_MS / engine.speed;
        }
        Some((cost_ms, Candidate { engine: at, victim, load_ms, can_start_now }))
    }

    fn start_candidate(&mut self, load: &PendingLoad, candidate: &Candidate) {
        let model = &load.model;
        self.record_start(load, candidate);
        let engine = &mut self.engines[candidate.engine];
        match &candidate.victim {
            Some(victim) => {
                engine.begin_unload(self.now_ms, victim, Some(model.clone()));
                self.actions.push(super::Action::ReplicasChanged(engine.target.clone()));
            }
            None => engine.begin_load(self.now_ms, model, candidate.load_ms),
        }
    }

    fn record_start(&mut self, load: &PendingLoad, candidate: &Candidate) {
        if self.started.len() >= MAX_STARTED {
            return;
        }
        let engine = &self.engines[candidate.engine];
        let count = self.counts.get(&load.model);
        self.started.push(StartedLoad {
            model: load.model.clone(),
            target: engine.target.clone(),
            source: engine.load_source(&load.model),
            reason: load.reason,
            victim: candidate.victim.clone(),
            gain: load.gain,
            waiting: count.waiting,
            replicas: count.replicas,
            copies: count.copies,
        });
    }
}
