//! Target state: applies announcements and state reads to the ledger.

use crate::ids::{Incarnation, ModelRef, TargetId};
use crate::placement::planner::Planner;
use crate::placement::{catalogue, ledger};
use crate::target::order;
use crate::units::Bytes;

/// Shortest time between two state reads while a replica changes, in milliseconds.
const MIN_READ_INTERVAL_MS: u64 = 5;
/// Longest time between two state reads while a replica changes, in milliseconds.
const MAX_READ_INTERVAL_MS: u64 = 1_000;
/// Initial backoff after a failed state read, in milliseconds; it doubles with each failure.
const RETRY_MS: u64 = 100;
/// Longest backoff after a failed state read, in milliseconds.
const MAX_RETRY_MS: u64 = 5_000;
/// How long a target is excluded for weights that failed to load there, in milliseconds.
pub(super) const AVOID_MS: u64 = 5_000;

/// How long a target is excluded for weights whose load hung there, in milliseconds.
pub(super) const AVOID_HUNG_MS: u64 = 600_000;

impl Planner {
    pub(super) fn on_target_announced(&mut self, state: order::State) {
        let target = state.target.clone();
        self.awaited_targets.remove(&target);
        let Some(account) = self.ledger.find_mut(&target) else {
            if state.kind == order::Kind::Assistant {
                self.add_account(&state);
            }
            return;
        };
        let is_old = state.incarnation < account.incarnation
            || state.incarnation == account.incarnation && state.sequence <= account.sequence;
        if is_old {
            return;
        }
        let is_new_incarnation = state.incarnation > account.incarnation;
        if !is_new_incarnation && state.address != account.address {
            // Two processes share one id and incarnation: keep the first one.
            metrics::counter!("placement_conflicting_announcements").increment(1);
            return;
        }
        if is_new_incarnation || !account.is_present() {
            self.reopen_account(&target);
        }
        self.update_account(&state);
        self.apply_announced_loads(&state);
        if is_new_incarnation {
            self.count_announced_replicas(&state);
        }
        self.set_timer(&target);
    }

    fn add_account(&mut self, state: &order::State) {
        let mut account = ledger::TargetAccount::new(state, Bytes(0));
        account.former_orders_expire_ms = self.former_orders_expire_ms();
        self.ledger.insert(account);
        self.update_account(state);
        self.count_announced_replicas(state);
        self.set_timer(&state.target);
    }

    /// Counts the replicas that a target announced before its state was read.
    fn count_announced_replicas(&mut self, state: &order::State) {
        for held in &state.holds {
            self.reconcile_held(&state.target, held, None);
        }
    }

    /// When the last order of a former leader has expired.
    fn former_orders_expire_ms(&self) -> u64 {
        let settings = &self.settings;
        let bound_ms = settings.lease_ms + settings.order_limit_ms + settings.clock_skew_ms;
        self.started_ms.unwrap_or(self.now_ms) + bound_ms
    }

    /// Marks the target as unread, since its known state may be outdated.
    fn reopen_account(&mut self, target: &TargetId) {
        let Some(account) = self.ledger.find_mut(target) else { return };
        if !std::mem::replace(&mut account.is_counted_in_load_limits, true) {
            for entry in account.entries().iter().filter(|entry| entry.is_in_transit()) {
                self.limits.begin(entry.weights.model.is_adapter(), entry.source);
            }
        }
        account.status = ledger::TargetStatus::Unread;
        account.avoided_weights.clear();
        account.earliest_read_ms = 0;
        account.failed_reads = 0;
        self.evaluate_models_on(target);
    }

    /// Updates the account with the target's own properties.
    fn update_account(&mut self, state: &order::State) {
        let capacity_bytes = self.settings.weights_share(state.memory_bytes);
        let Some(account) = self.ledger.find_mut(&state.target) else { return };
        let is_assistant = state.kind == order::Kind::Assistant;
        let is_leaving = state.leaving || !is_assistant;
        let has_leaving_changed = is_leaving != account.is_leaving;
        account.incarnation = state.incarnation;
        account.sequence = state.sequence;
        account.address = state.address;
        account.availability_zone = state.availability_zone.clone();
        account.capacity_bytes = capacity_bytes;
        account.accelerators = state.accelerators.max(1);
        account.checks_fencing = state.checks_fencing;
        account.is_leaving = is_leaving;
        let copy = |cached: &order::Cached| {
            let (model, version) = (cached.model.clone(), cached.version.clone());
            (catalogue::Weights { model, version }, cached.tier)
        };
        account.cached = state.cached.iter().map(copy).collect();
        account.cached.sort();
        account.cached.dedup_by(|b, a| a.0 == b.0);
        if has_leaving_changed {
            self.evaluate_models_on(&state.target);
        }
    }

    /// Applies loads that an announcement reports as done. Any other difference triggers a state
    /// read.
    fn apply_announced_loads(&mut self, state: &order::State) {
        let Some(account) = self.ledger.find(&state.target) else { return };
        let mut done = Vec::new();
        let mut is_unclear = false;
        for held in &state.holds {
            let weights = catalogue::Weights::from(held);
            match (account.find(&weights).map(|entry| entry.stage), held.phase) {
                (Some(ledger::ReplicaStage::Loading), order::Phase::Loaded) => done.push(weights),
                (Some(_), _) => {}
                (None, _) => is_unclear = true,
            }
        }
        let is_reported = |entry: &ledger::ReplicaEntry| {
            state.holds.iter().any(|held| catalogue::Weights::from(held) == entry.weights)
        };
        let is_settled =
            |entry: &ledger::ReplicaEntry| entry.stage != ledger::ReplicaStage::Reserved;
        is_unclear |=
            account.entries().iter().any(|entry| is_settled(entry) && !is_reported(entry));
        for weights in done {
            self.finish_load(&state.target, &weights);
        }
        if is_unclear && let Some(account) = self.ledger.find_mut(&state.target) {
            account.state_read_due_ms = Some(self.now_ms);
        }
    }

    fn finish_load(&mut self, target: &TargetId, weights: &catalogue::Weights) {
        let Some(account) = self.ledger.find(target) else { return };
        let Some(entry) = account.find(weights) else { return };
        let mut entry = entry.clone();
        entry.stage = ledger::ReplicaStage::Loaded;
        self.put(target, entry);
        self.evaluate_by(&weights.model, self.now_ms);
    }

    pub(super) fn on_state_read(&mut self, fencing: order::Fencing, state: order::State) {
        let target = state.target.clone();
        let Some(account) = self.ledger.find_mut(&target) else { return };
        let is_answer = account.pending_read.is_some_and(|question| question.fencing == fencing);
        if !is_answer || !account.is_present() {
            return;
        }
        account.pending_read = None;
        let is_old = state.incarnation < account.incarnation
            || state.incarnation == account.incarnation && state.sequence < account.sequence;
        if is_old {
            self.retry_state_read(&target);
            return;
        }
        account.status = ledger::TargetStatus::Read;
        account.failed_reads = 0;
        account.earliest_read_ms = 0;
        account.state_read_due_ms = None;
        let lost = account.pending_order.take();
        self.update_account(&state);
        self.reconcile(&state, lost);
        self.plan_next_order(&target);
        self.set_timer(&target);
    }

    /// Aligns the entries of the account with the target's own state.
    fn reconcile(&mut self, state: &order::State, lost: Option<ledger::PendingOrder>) {
        let target = &state.target;
        let Some(account) = self.ledger.find(target) else { return };
        let is_reported = |weights: &catalogue::Weights| {
            state.holds.iter().any(|held| catalogue::Weights::from(held) == *weights)
        };
        let entries = account.entries().iter();
        let freed: Vec<_> = entries.filter(|entry| !is_reported(&entry.weights)).cloned().collect();
        for entry in freed {
            // Only a load that was under way counts as failed: a lost order does not show
            // whether the load would have failed.
            if entry.stage == ledger::ReplicaStage::Loading {
                self.avoid(target, &entry.weights, AVOID_MS);
            }
            self.remove(target, &entry.weights);
        }
        for held in &state.holds {
            self.reconcile_held(target, held, lost.as_ref());
        }
    }

    fn reconcile_held(
        &mut self,
        target: &TargetId,
        held: &order::Held,
        lost: Option<&ledger::PendingOrder>,
    ) {
        let now_ms = self.now_ms;
        let weights = catalogue::Weights::from(held);
        let Some(account) = self.ledger.find(target) else { return };
        let old = account.find(&weights).cloned();
        let is_lost = lost.is_some_and(|lost| lost.weights == weights);
        let stage = match (held.phase, old.as_ref().map(|entry| entry.stage)) {
            // A lost order had no effect if the state does not show it.
            (order::Phase::Loading, Some(ledger::ReplicaStage::Cancelling)) if !is_lost => {
                ledger::ReplicaStage::Cancelling
            }
            (order::Phase::Loading, _) => ledger::ReplicaStage::Loading,
            (order::Phase::Loaded, Some(ledger::ReplicaStage::Retiring)) => {
                ledger::ReplicaStage::Retiring
            }
            (order::Phase::Loaded, _) => ledger::ReplicaStage::Loaded,
            (order::Phase::Unloading, _) => ledger::ReplicaStage::Unloading,
        };
        let source = old.as_ref().map_or_else(|| account.source(&weights), |entry| entry.source);
        let new_entry = || self.unordered_entry(&weights, source);
        let mut entry = old.clone().unwrap_or_else(new_entry);
        entry.memory_bytes = entry.memory_bytes.max(held.memory_bytes);
        let was_loading =
            matches!(entry.stage, ledger::ReplicaStage::Reserved | ledger::ReplicaStage::Loading);
        let has_changed = old.as_ref().is_none_or(|old| old.stage != stage);
        let is_same_load = was_loading && stage == ledger::ReplicaStage::Loading;
        if has_changed && !is_same_load && !(was_loading && stage == ledger::ReplicaStage::Loaded) {
            entry.stage_since_ms = now_ms;
        }
        entry.stage = stage;
        let elapsed_ms = now_ms.saturating_sub(entry.stage_since_ms);
        entry.next_read_ms =
            now_ms + (elapsed_ms / 8).clamp(MIN_READ_INTERVAL_MS, MAX_READ_INTERVAL_MS);
        if stage == ledger::ReplicaStage::Loading && entry.expected_ready_ms > now_ms {
            entry.next_read_ms = entry.expected_ready_ms;
        } else if stage == ledger::ReplicaStage::Loading {
            entry.expected_ready_ms = now_ms + elapsed_ms / 4;
            self.expect(&weights.model, entry.expected_ready_ms);
        }
        self.put(target, entry);
        self.evaluate_by(&weights.model, now_ms);
    }

    /// The entry for a replica that this leader did not order.
    fn unordered_entry(
        &self,
        weights: &catalogue::Weights,
        source: catalogue::WeightSource,
    ) -> ledger::ReplicaEntry {
        let spec = self.models.get(&weights.model).and_then(|model| model.spec.as_ref());
        let load_ms = spec.map_or(0, |spec| self.limits.expected_ms(&spec.load, source));
        ledger::ReplicaEntry {
            weights: weights.clone(),
            memory_bytes: spec.map_or(Bytes(0), |spec| spec.memory_bytes),
            stage: ledger::ReplicaStage::Unloading,
            purpose: ledger::LoadPurpose::Required,
            source,
            stage_since_ms: self.now_ms,
            expected_ready_ms: self.now_ms + load_ms,
            next_read_ms: self.now_ms,
        }
    }

    pub(super) fn on_state_read_failed(&mut self, target: &TargetId, fencing: order::Fencing) {
        let Some(account) = self.ledger.find_mut(target) else { return };
        if account.pending_read.is_some_and(|question| question.fencing == fencing) {
            account.pending_read = None;
            self.retry_state_read(target);
        }
    }

    fn retry_state_read(&mut self, target: &TargetId) {
        let Some(account) = self.ledger.find_mut(target) else { return };
        let wait_ms = (RETRY_MS << account.failed_reads.min(6)).min(MAX_RETRY_MS);
        account.failed_reads += 1;
        account.earliest_read_ms = self.now_ms + wait_ms;
        account.state_read_due_ms = Some(self.now_ms);
        self.set_timer(target);
    }

    pub(super) fn on_target_gone(&mut self, target: &TargetId, incarnation: Incarnation) {
        self.awaited_targets.remove(target);
        let Some(account) = self.ledger.find_mut(target) else { return };
        if incarnation < account.incarnation || !account.is_present() {
            return;
        }
        account.status = ledger::TargetStatus::Gone { since_ms: self.now_ms };
        account.pending_read = None;
        if let Some(pending) = &mut account.pending_order {
            pending.is_lost = true;
        }
        self.evaluate_models_on(target);
        self.schedule_round();
        self.set_timer(target);
    }

    /// Schedules an evaluation of every model that the target holds.
    pub(super) fn evaluate_models_on(&mut self, target: &TargetId) {
        let Some(account) = self.ledger.find(target) else { return };
        let entries = account.entries().iter();
        let names: Vec<ModelRef> = entries.map(|entry| entry.weights.model.clone()).collect();
        for name in names {
            self.evaluate_by(&name, self.now_ms);
        }
    }
}
