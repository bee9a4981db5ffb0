//! Placement round: orders loads for models with too few replicas and evicts replicas for them.

use std::cmp::Reverse;

use crate::ids::{ModelRef, Zone};
use crate::placement::planner::models::ReplicaCensus;
use crate::placement::planner::{NotLoadedReason, Planner};
use crate::placement::{catalogue, ledger, load_limits, selection};

/// Shortest time between two rounds, in milliseconds; one more for every [`MODELS_PER_MS`] models
/// that are short of replicas.
const MIN_GAP_MS: u64 = 2;
const MODELS_PER_MS: u64 = 8;
/// Interval of the checks whether all targets were read after a takeover, in milliseconds.
const TAKEOVER_CHECK_MS: u64 = 20;
/// State reads that may fail before a new leader sends orders without their response.
const MAX_TAKEOVER_READS: u64 = 6;
/// Deadlines are compared in steps of this, so that class weights decide between near ones.
const DEADLINE_STEP_MS: u64 = 1_000;
/// Most models that one round tries to place, which bounds its running time.
const MAX_CANDIDATES: usize = 24;
/// Models queued for the weight store that every round tries; later ones wait for [`RETRY_MS`].
const MAX_PROMPT_STORE_QUEUE: u64 = 8;
/// Cost of evicting a replica in use that is not the only one of its model, in milliseconds.
const BUSY_LOSS_MS: u64 = 60_000;
/// Time between two attempts to place a model that has no room, in milliseconds.
const RETRY_MS: u64 = 250;
/// Interval of the checks whether the base of an adapter is ready, in milliseconds.
const BASE_RETRY_MS: u64 = 10;

/// Sort key of the models to place; the smallest is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    is_preload: bool,
    has_replica: bool,
    is_too_late: bool,
    start_step: u64,
    class_weight: Reverse<u32>,
    waiting: Reverse<u32>,
    loss_ms: Reverse<u64>,
}

/// State of one placement round.
#[derive(Debug, Default)]
struct RoundState {
    claims: selection::MemoryClaims,
    /// Loads of this round that wait for the weight store.
    queued: u64,
    /// Whether requests wait for memory, for a target or for the weight store.
    has_waiting_work: bool,
    /// When the next round may place more models.
    next_round_ms: Option<u64>,
}

impl RoundState {
    fn retry_at(&mut self, at_ms: u64) {
        self.next_round_ms = Some(self.next_round_ms.map_or(at_ms, |old_ms| old_ms.min(at_ms)));
    }
}

impl Planner {
    /// Schedules a round; the more models are short of replicas, the longer the gap between rounds.
    pub(super) fn schedule_round(&mut self) {
        let gap_ms = MIN_GAP_MS + self.short_of_replicas.len() as u64 / MODELS_PER_MS;
        self.schedule_round_by((self.last_round_ms + gap_ms).max(self.now_ms));
    }

    fn schedule_round_by(&mut self, at_ms: u64) {
        self.next_round_ms = Some(self.next_round_ms.map_or(at_ms, |old_ms| old_ms.min(at_ms)));
    }

    pub(super) fn run_round(&mut self) {
        if self.next_round_ms.is_none_or(|at_ms| at_ms > self.now_ms) && self.can_send_orders {
            return;
        }
        if !self.can_send_orders && !self.take_over() {
            self.next_round_ms = Some(self.now_ms + TAKEOVER_CHECK_MS);
            return;
        }
        self.next_round_ms = None;
        self.last_round_ms = self.now_ms;
        let mut round = RoundState::default();
        for name in self.candidates(&mut round) {
            self.place(&name, &mut round);
        }
        if let Some(at_ms) = round.next_round_ms {
            self.schedule_round_by(at_ms.max(self.last_round_ms + MIN_GAP_MS));
        }
    }

    /// Starts sending orders once all known targets have announced themselves and were read, or are
    /// gone. A target that is silent or cannot be read delays this for a bounded time; the replicas
    /// that it announced are counted.
    fn take_over(&mut self) -> bool {
        let started_ms = self.started_ms.unwrap_or(self.now_ms);
        if self.now_ms < started_ms + self.settings.takeover_ms {
            return false;
        }
        let settings = &self.settings;
        let takeover_limit_ms = settings.lease_ms
            + MAX_TAKEOVER_READS * settings.order_limit_ms
            + settings.clock_skew_ms;
        let is_within_limit = self.now_ms < started_ms + takeover_limit_ms;
        let is_unread = |a: &ledger::TargetAccount| a.status == ledger::TargetStatus::Unread;
        let has_unread = self.ledger.accounts().iter().any(is_unread);
        if is_within_limit && (has_unread || !self.awaited_targets.is_empty()) {
            return false;
        }
        self.can_send_orders = true;
        log::info!("placement of term {} starts sending orders", self.term);
        let names: Vec<ModelRef> = self.models.keys().cloned().collect();
        for name in names {
            self.adopt_held_replicas(&name);
            self.evaluate_by(&name, self.now_ms);
        }
        self.evaluate_due_models();
        true
    }

    /// Starts with the replica count that a former leader left; demand lowers it gradually.
    fn adopt_held_replicas(&mut self, name: &ModelRef) {
        let held = self.census(name).serving.len() as u32;
        if let Some(model) = self.models.get_mut(name)
            && let Some(spec) = &model.spec
        {
            model.wanted.set(self.now_ms, held.min(spec.policy.max_replicas));
        }
    }

    /// Models that are short of replicas and due for an attempt, the most urgent first.
    fn candidates(&self, round: &mut RoundState) -> Vec<ModelRef> {
        let mut ranked = Vec::new();
        for name in &self.short_of_replicas {
            let next_attempt_ms = self.models[name].next_attempt_ms;
            if next_attempt_ms > self.now_ms {
                round.retry_at(next_attempt_ms);
                round.has_waiting_work |= !self.models[name].demand.is_idle();
            } else {
                ranked.push((self.priority(name), name));
            }
        }
        ranked.sort_unstable();
        if ranked.len() > MAX_CANDIDATES {
            ranked.truncate(MAX_CANDIDATES);
            round.retry_at(self.now_ms);
        }
        ranked.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Delays the next attempt to place a model by `wait_ms`.
    fn retry_later(&mut self, name: &ModelRef, wait_ms: u64, round: &mut RoundState) {
        let next_attempt_ms = self.now_ms + wait_ms;
        if let Some(model) = self.models.get_mut(name) {
            model.next_attempt_ms = next_attempt_ms;
        }
        round.retry_at(next_attempt_ms);
    }

    fn priority(&self, name: &ModelRef) -> Priority {
        let model = &self.models[name];
        let load_ms = model.spec.as_ref().map_or(0, |spec| spec.load.store_ms);
        let deadline_ms = model.demand.earliest_deadline_ms();
        let start_ms = deadline_ms.saturating_sub(load_ms);
        Priority {
            is_preload: model.purpose() == ledger::LoadPurpose::Preload,
            has_replica: !model.holding_targets.is_empty(),
            is_too_late: start_ms < self.now_ms,
            start_step: start_ms / DEADLINE_STEP_MS,
            class_weight: Reverse(model.demand.class_weight()),
            waiting: Reverse(model.demand.waiting()),
            loss_ms: Reverse(model.loss_ms),
        }
    }

    fn place(&mut self, name: &ModelRef, round: &mut RoundState) {
        let Some(model) = self.models.get(name) else { return };
        let Some(spec) = model.spec.clone() else { return };
        let purpose = model.purpose();
        let wanted = model.wanted.count() as usize;
        let census = self.census(name);
        if census.serving.len() >= wanted {
            self.short_of_replicas.remove(name);
            return;
        }
        let is_preload = purpose == ledger::LoadPurpose::Preload;
        if is_preload && !self.can_preload(&spec, round) {
            round.retry_at(self.now_ms + RETRY_MS);
            return;
        }
        if spec.model.is_adapter() && self.limits.adapter_start() != load_limits::LoadStart::Now {
            round.has_waiting_work = true;
            return;
        }
        let choice = self.choose(&spec, &census, round, is_preload);
        match choice {
            None => self.on_no_target(name, &spec, round),
            Some(choice) => self.apply_choice(&choice, &spec, purpose, round),
        }
    }

    /// Preloads run only while no request waits, and never use the last free slot of the weight
    /// store.
    fn can_preload(&self, spec: &catalogue::ModelSpec, round: &RoundState) -> bool {
        let has_place = spec.model.is_adapter()
            || self.limits.store_in_transit() + 1 < self.limits.store_limit();
        !round.has_waiting_work && has_place
    }

    fn choose(
        &self,
        spec: &catalogue::ModelSpec,
        census: &ReplicaCensus,
        round: &RoundState,
        is_preload: bool,
    ) -> Option<selection::TargetChoice> {
        let zones = self.zones(census);
        let weights = spec.weights();
        let request = selection::PlacementRequest {
            model: spec,
            weights: &weights,
            zones: &zones,
            store_delay_ms: self.store_delay_ms(spec, round.queued),
            store_slowness: self.limits.slowness(),
            may_evict: !is_preload,
            now_ms: self.now_ms,
        };
        let has_replica = !census.serving.is_empty();
        let eviction = |_: &ledger::TargetAccount, entry: &ledger::ReplicaEntry| {
            self.eviction(&spec.model, entry, has_replica)
        };
        let is_usable = |account: &&ledger::TargetAccount| self.is_usable(account, spec, &weights);
        if spec.model.is_adapter() {
            let sites =
                self.models.get(&spec.model.base()).map(|base| base.holding_targets.as_slice());
            let accounts = sites.unwrap_or_default().iter().filter_map(|t| self.ledger.find(t));
            let warm = accounts.filter(|account| has_loaded_base(account, &spec.model));
            selection::choose_target(&request, warm.filter(is_usable), &round.claims, eviction)
        } else {
            let accounts = self.ledger.accounts().iter();
            selection::choose_target(&request, accounts.filter(is_usable), &round.claims, eviction)
        }
    }

    pub(super) fn zones(&self, census: &ReplicaCensus) -> Vec<(Zone, u32)> {
        let mut zones: Vec<(Zone, u32)> = Vec::new();
        for account in census.serving.iter().filter_map(|target| self.ledger.find(target)) {
            let zone = &account.availability_zone;
            match zones.iter_mut().find(|(counted, _)| counted == zone) {
                Some((_, count)) => *count += 1,
                None => zones.push((zone.clone(), 1)),
            }
        }
        zones
    }

    /// Whether the target may get a replica of the model, now or once it has room.
    fn is_usable(
        &self,
        account: &ledger::TargetAccount,
        spec: &catalogue::ModelSpec,
        weights: &catalogue::Weights,
    ) -> bool {
        account.is_present()
            && !self.is_emptied(account)
            && account.find(weights).is_none()
            && spec.policy.allows(&account.target, &account.availability_zone)
            && !account.is_avoided(weights, self.now_ms)
    }

    /// Time until the weight store lets the next load start, in milliseconds.
    fn store_delay_ms(&self, spec: &catalogue::ModelSpec, queued: u64) -> u64 {
        let load_ms = self.limits.expected_ms(&spec.load, catalogue::WeightSource::Store);
        let turn_ms = load_ms / u64::from(self.limits.store_limit());
        let first_ms = match self.limits.store_start(self.now_ms) {
            load_limits::LoadStart::Now => 0,
            load_limits::LoadStart::At(at_ms) => at_ms - self.now_ms,
            load_limits::LoadStart::AfterAnotherEnds => turn_ms,
        };
        first_ms + queued * turn_ms
    }

    /// Whether `entry` may be evicted for a replica of `asker`.
    fn eviction(
        &self,
        asker: &ModelRef,
        entry: &ledger::ReplicaEntry,
        has_replica: bool,
    ) -> selection::EvictionCost {
        let name = &entry.weights.model;
        let Some(model) = self.models.get(name) else {
            return selection::EvictionCost::ColdStartMs(0);
        };
        if name == asker || *name == asker.base() || model.has_floor {
            return selection::EvictionCost::Forbidden;
        }
        if model.spec.is_none() || model.wanted.count() == 0 {
            return selection::EvictionCost::ColdStartMs(0);
        }
        if model.demand.is_idle() {
            return selection::EvictionCost::ColdStartMs(model.loss_ms);
        }
        if model.holding_targets.len() > 1 && !has_replica {
            return selection::EvictionCost::ColdStartMs(BUSY_LOSS_MS + model.loss_ms);
        }
        selection::EvictionCost::Forbidden
    }

    fn apply_choice(
        &mut self,
        choice: &selection::TargetChoice,
        spec: &catalogue::ModelSpec,
        purpose: ledger::LoadPurpose,
        round: &mut RoundState,
    ) {
        let is_preload = purpose == ledger::LoadPurpose::Preload;
        self.set_reason(&spec.model, None);
        self.expect(&spec.model, self.now_ms + choice.ready_in_ms);
        if choice.step == selection::PlacementStep::Load {
            self.load(choice, spec, purpose);
            // More replicas of the same model may be missing.
            round.retry_at(self.now_ms);
            return;
        }
        if is_preload {
            round.retry_at(self.now_ms + RETRY_MS);
            return;
        }
        round.claims.add(&choice.target, spec.memory_bytes);
        round.has_waiting_work = true;
        if choice.source == catalogue::WeightSource::Store && !spec.model.is_adapter() {
            round.queued += 1;
            if round.queued > MAX_PROMPT_STORE_QUEUE {
                self.retry_later(&spec.model, RETRY_MS, round);
            }
        }
        if let load_limits::LoadStart::At(at_ms) = self.limits.store_start(self.now_ms) {
            round.retry_at(at_ms);
        }
        if let selection::PlacementStep::Evict(victims) = &choice.step {
            for victim in victims {
                self.retire(&choice.target, victim);
                self.evaluate_by(&victim.model, self.now_ms);
            }
        }
    }

    fn on_no_target(
        &mut self,
        name: &ModelRef,
        spec: &catalogue::ModelSpec,
        round: &mut RoundState,
    ) {
        round.has_waiting_work |= !self.models[name].demand.is_idle();
        if spec.model.is_adapter() && !self.is_base_loaded_anywhere(&spec.model) {
            self.retry_later(name, BASE_RETRY_MS, round);
            // The base is loading, or is itself reported as not loadable.
            let base = self.models.get(&spec.model.base());
            if let Some(expected_ready_ms) = base.and_then(|base| base.reported_ready_ms) {
                self.expect(
                    name,
                    expected_ready_ms + spec.load.from_source(catalogue::WeightSource::Store),
                );
            }
            return;
        }
        self.retry_later(name, RETRY_MS, round);
        let weights = spec.weights();
        let accounts = self.ledger.accounts().iter();
        let could_hold = accounts.filter(|account| {
            let is_large_enough = account.capacity_bytes >= spec.memory_bytes;
            is_large_enough && self.is_usable(account, spec, &weights)
        });
        let is_anywhere = could_hold.count() > 0;
        let reason = if is_anywhere { NotLoadedReason::NoRoom } else { NotLoadedReason::NoTarget };
        self.set_reason(name, Some(reason));
    }

    fn is_base_loaded_anywhere(&self, adapter: &ModelRef) -> bool {
        let Some(base) = self.models.get(&adapter.base()) else { return false };
        let mut accounts =
            base.holding_targets.iter().filter_map(|target| self.ledger.find(target));
        accounts.any(|account| has_loaded_base(account, adapter))
    }
}

/// Whether the target has loaded the base of `adapter`.
fn has_loaded_base(account: &ledger::TargetAccount, adapter: &ModelRef) -> bool {
    let base = account.replicas_of(&adapter.base());
    base.iter().any(|entry| entry.stage == ledger::ReplicaStage::Loaded)
}
