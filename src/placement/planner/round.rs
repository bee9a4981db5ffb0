//! A placement round: loads for the models that are short of replicas, and the replicas that go.

use std::cmp::Reverse;

use crate::ids::{ModelRef, Zone};
use crate::placement::planner::models::Census;
use crate::placement::planner::{NotLoadedReason, Planner};
use crate::placement::{catalogue, ledger, load_limits, selection};

/// Shortest time between two rounds, in milliseconds, without and for each eighth model.
const MIN_GAP_MS: u64 = 2;
const MODELS_PER_MS: u64 = 8;
/// Time between two looks at whether the targets were read, in milliseconds.
const TAKEOVER_CHECK_MS: u64 = 20;
/// Questions that may be lost before a new leader gives orders without their answer.
const READ_TRIES: u64 = 6;
/// Deadlines are compared in steps of this, so that class weights decide between near ones.
const DEADLINE_STEP_MS: u64 = 1_000;
/// Models that one round tries to place: this bounds its time.
const MAX_CANDIDATES: usize = 24;
/// Models in the queue for the weight store that every round tries; later ones are tried less often.
const PROMPT_QUEUE: u64 = 8;
/// Loss of a replica in use that is not the model's only one, in milliseconds.
const BUSY_LOSS_MS: u64 = 60_000;
/// Time between two tries to place a model that has no room, in milliseconds.
const RETRY_MS: u64 = 250;
/// Time between two looks at whether the base of an adapter is ready, in milliseconds.
const BASE_RETRY_MS: u64 = 10;

/// The order in which models are placed: the least first.
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

/// What a round has promised so far.
#[derive(Debug, Default)]
struct Promises {
    claims: selection::MemoryClaims,
    /// Loads that wait for the weight store ahead of the next one.
    queued: u64,
    /// Whether work waits for memory, for a target or for the weight store.
    has_waiting_work: bool,
    /// When a round may find more.
    again_ms: Option<u64>,
}

impl Promises {
    fn again(&mut self, at_ms: u64) {
        self.again_ms = Some(self.again_ms.map_or(at_ms, |old_ms| old_ms.min(at_ms)));
    }
}

impl Planner {
    /// Runs a round soon: rounds are spaced out as they get longer.
    pub(super) fn place_soon(&mut self) {
        let gap_ms = MIN_GAP_MS + self.short.len() as u64 / MODELS_PER_MS;
        self.place_by((self.placed_ms + gap_ms).max(self.now_ms));
    }

    fn place_by(&mut self, at_ms: u64) {
        self.place_ms = Some(self.place_ms.map_or(at_ms, |old_ms| old_ms.min(at_ms)));
    }

    pub(super) fn run_placement(&mut self) {
        if self.place_ms.is_none_or(|at_ms| at_ms > self.now_ms) && self.can_send_orders {
            return;
        }
        if !self.can_send_orders && !self.take_over() {
            self.place_ms = Some(self.now_ms + TAKEOVER_CHECK_MS);
            return;
        }
        self.place_ms = None;
        self.placed_ms = self.now_ms;
        let mut promises = Promises::default();
        for name in self.candidates(&mut promises) {
            self.place(&name, &mut promises);
        }
        if let Some(at_ms) = promises.again_ms {
            self.place_by(at_ms.max(self.placed_ms + MIN_GAP_MS));
        }
    }

    /// Begins to give orders once all known targets were heard of and read, or are gone. One that
    /// is silent or can't be read holds this up for a bounded time; what it announced that it holds
    /// is counted.
    fn take_over(&mut self) -> bool {
        let started_ms = self.started_ms.unwrap_or(self.now_ms);
        if self.now_ms < started_ms + self.settings.takeover_ms {
            return false;
        }
        let settings = &self.settings;
        let patience_ms =
            settings.lease_ms + READ_TRIES * settings.order_limit_ms + settings.clock_skew_ms;
        let is_patient = self.now_ms < started_ms + patience_ms;
        let is_unread = |a: &ledger::TargetAccount| a.status == ledger::TargetStatus::Unread;
        let has_unread = self.ledger.accounts().iter().any(is_unread);
        if is_patient && (has_unread || !self.awaited.is_empty()) {
            return false;
        }
        self.can_send_orders = true;
        log::info!("placement of term {} begins to give orders", self.term);
        let names: Vec<ModelRef> = self.models.keys().cloned().collect();
        for name in names {
            self.want_what_is_held(&name);
            self.set_due(&name, self.now_ms);
        }
        self.run_due();
        true
    }

    /// Begins with the replicas that a former leader left; demand lowers their count slowly.
    fn want_what_is_held(&mut self, name: &ModelRef) {
        let held = self.census(name).serving.len() as u32;
        if let Some(model) = self.models.get_mut(name)
            && let Some(spec) = &model.spec
        {
            model.wanted.set(self.now_ms, held.min(spec.policy.max_replicas));
        }
    }

    /// Models that are short of replicas and due to be tried, the most urgent first.
    fn candidates(&self, promises: &mut Promises) -> Vec<ModelRef> {
        let mut ranked = Vec::new();
        for name in &self.short {
            let retry_ms = self.models[name].retry_ms;
            if retry_ms > self.now_ms {
                promises.again(retry_ms);
                promises.has_waiting_work |= !self.models[name].demand.is_idle();
            } else {
                ranked.push((self.priority(name), name));
            }
        }
        ranked.sort_unstable();
        if ranked.len() > MAX_CANDIDATES {
            ranked.truncate(MAX_CANDIDATES);
            promises.again(self.now_ms);
        }
        ranked.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Tries a model again only after a while.
    fn retry_later(&mut self, name: &ModelRef, wait_ms: u64, promises: &mut Promises) {
        let retry_ms = self.now_ms + wait_ms;
        if let Some(model) = self.models.get_mut(name) {
            model.retry_ms = retry_ms;
        }
        promises.again(retry_ms);
    }

    fn priority(&self, name: &ModelRef) -> Priority {
        let model = &self.models[name];
        let load_ms = model.spec.as_ref().map_or(0, |spec| spec.load.store_ms);
        let deadline_ms = model.demand.earliest_deadline_ms();
        let start_ms = deadline_ms.saturating_sub(load_ms);
        Priority {
            is_preload: model.purpose() == ledger::LoadPurpose::Preload,
            has_replica: !model.sites.is_empty(),
            is_too_late: start_ms < self.now_ms,
            start_step: start_ms / DEADLINE_STEP_MS,
            class_weight: Reverse(model.demand.class_weight()),
            waiting: Reverse(model.demand.waiting()),
            loss_ms: Reverse(model.loss_ms),
        }
    }

    fn place(&mut self, name: &ModelRef, promises: &mut Promises) {
        let Some(model) = self.models.get(name) else { return };
        let Some(spec) = model.spec.clone() else { return };
        let purpose = model.purpose();
        let wanted = model.wanted.count() as usize;
        let census = self.census(name);
        if census.serving.len() >= wanted {
            self.short.remove(name);
            return;
        }
        let is_preload = purpose == ledger::LoadPurpose::Preload;
        if is_preload && !self.may_preload(&spec, promises) {
            promises.again(self.now_ms + RETRY_MS);
            return;
        }
        if spec.model.is_adapter() && self.limits.adapter_start() != load_limits::LoadStart::Now {
            promises.has_waiting_work = true;
            return;
        }
        let choice = self.choose(&spec, &census, promises, is_preload);
        match choice {
            None => self.on_no_choice(name, &spec, promises),
            Some(choice) => self.follow(&choice, &spec, purpose, promises),
        }
    }

    /// Preloading takes only what waiting work leaves, and never the store's last place.
    fn may_preload(&self, spec: &catalogue::ModelSpec, promises: &Promises) -> bool {
        let has_place = spec.model.is_adapter()
            || self.limits.store_in_transit() + 1 < self.limits.store_limit();
        !promises.has_waiting_work && has_place
    }

    fn choose(
        &self,
        spec: &catalogue::ModelSpec,
        census: &Census,
        promises: &Promises,
        is_preload: bool,
    ) -> Option<selection::TargetChoice> {
        let zones = self.zones(census);
        let weights = spec.weights();
        let request = selection::PlacementRequest {
            model: spec,
            weights: &weights,
            zones: &zones,
            store_delay_ms: self.store_delay_ms(spec, promises.queued),
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
            let sites = self.models.get(&spec.model.base()).map(|base| base.sites.as_slice());
            let accounts = sites.unwrap_or_default().iter().filter_map(|t| self.ledger.find(t));
            let warm = accounts.filter(|account| has_warm_base(account, &spec.model));
            selection::choose_target(&request, warm.filter(is_usable), &promises.claims, eviction)
        } else {
            let accounts = self.ledger.accounts().iter();
            selection::choose_target(
                &request,
                accounts.filter(is_usable),
                &promises.claims,
                eviction,
            )
        }
    }

    pub(super) fn zones(&self, census: &Census) -> Vec<(Zone, u32)> {
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

    /// Whether a replica of the model could be on the target, now or soon.
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
        if model.sites.len() > 1 && !has_replica {
            return selection::EvictionCost::ColdStartMs(BUSY_LOSS_MS + model.loss_ms);
        }
        selection::EvictionCost::Forbidden
    }

    fn follow(
        &mut self,
        choice: &selection::TargetChoice,
        spec: &catalogue::ModelSpec,
        purpose: ledger::LoadPurpose,
        promises: &mut Promises,
    ) {
        let is_preload = purpose == ledger::LoadPurpose::Preload;
        self.set_reason(&spec.model, None);
        self.expect(&spec.model, self.now_ms + choice.ready_in_ms);
        if choice.step == selection::PlacementStep::Load {
            self.load(choice, spec, purpose);
            // More replicas of the same model may be missing.
            promises.again(self.now_ms);
            return;
        }
        if is_preload {
            promises.again(self.now_ms + RETRY_MS);
            return;
        }
        promises.claims.add(&choice.target, spec.memory_bytes);
        promises.has_waiting_work = true;
        if choice.source == catalogue::WeightSource::Store && !spec.model.is_adapter() {
            promises.queued += 1;
            if promises.queued > PROMPT_QUEUE {
                self.retry_later(&spec.model, RETRY_MS, promises);
            }
        }
        if let load_limits::LoadStart::At(at_ms) = self.limits.store_start(self.now_ms) {
            promises.again(at_ms);
        }
        if let selection::PlacementStep::Evict(victims) = &choice.step {
            for victim in victims {
                self.retire(&choice.target, victim);
                self.set_due(&victim.model, self.now_ms);
            }
        }
    }

    fn on_no_choice(
        &mut self,
        name: &ModelRef,
        spec: &catalogue::ModelSpec,
        promises: &mut Promises,
    ) {
        promises.has_waiting_work |= !self.models[name].demand.is_idle();
        if spec.model.is_adapter() && !self.has_warm_site(&spec.model) {
            self.retry_later(name, BASE_RETRY_MS, promises);
            // Its base is on its way, or is told to have no room itself.
            let base = self.models.get(&spec.model.base());
            if let Some(expected_ready_ms) = base.and_then(|base| base.expect_ms) {
                self.expect(
                    name,
                    expected_ready_ms + spec.load.from_source(catalogue::WeightSource::Store),
                );
            }
            return;
        }
        self.retry_later(name, RETRY_MS, promises);
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

    fn has_warm_site(&self, adapter: &ModelRef) -> bool {
        let Some(base) = self.models.get(&adapter.base()) else { return false };
        let mut accounts = base.sites.iter().filter_map(|target| self.ledger.find(target));
        accounts.any(|account| has_warm_base(account, adapter))
    }
}

/// Whether the target holds the base of `adapter`, ready for work.
fn has_warm_base(account: &ledger::TargetAccount, adapter: &ModelRef) -> bool {
    let base = account.replicas_of(&adapter.base());
    base.iter().any(|entry| entry.stage == ledger::ReplicaStage::Loaded)
}
