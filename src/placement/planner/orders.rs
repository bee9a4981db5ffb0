//! Orders: sends loads, cancellations and unloads, and handles their replies and losses.

use crate::ids::{ModelRef, OrderId, TargetId};
use crate::placement::planner::{Action, NotLoadedReason, Planner, targets};
use crate::placement::{catalogue, ledger, selection};
use crate::target::order;
use crate::units::Bytes;

/// Time that a target takes to free memory, in milliseconds.
const UNLOAD_MS: u64 = 20;
/// Largest store slowness by which the time limit of a load is extended.
const MAX_HANG_SLOWNESS: f64 = 4.0;

impl Planner {
    pub(super) fn next_fencing(&mut self) -> order::Fencing {
        self.sequence += 1;
        order::Fencing { term: self.term, sequence: self.sequence }
    }

    /// Sends an order for a replica whose ledger entry is already updated.
    fn send(
        &mut self,
        target: &TargetId,
        weights: &catalogue::Weights,
        action: order::Action,
        memory_bytes: Bytes,
    ) {
        let fencing = self.next_fencing();
        let text = format!("o-{}-{}", fencing.term, fencing.sequence);
        let order_id: OrderId = text.parse().expect("an order id has only allowed characters");
        let expires_ms = self.now_ms + self.settings.order_limit_ms;
        let Some(account) = self.ledger.find_mut(target) else { return };
        account.pending_order = Some(ledger::PendingOrder {
            order_id: order_id.clone(),
            action,
            weights: weights.clone(),
            expires_ms,
            is_lost: false,
        });
        let order = order::Order {
            fencing,
            order_id,
            action,
            model: weights.model.clone(),
            version: weights.version.clone(),
            memory_bytes,
            expires_ms,
        };
        self.actions.push(Action::SendOrder { target: target.clone(), order });
        self.set_timer(target);
    }

    /// Reserves memory and orders a load.
    pub(super) fn load(
        &mut self,
        choice: &selection::TargetChoice,
        spec: &catalogue::ModelSpec,
        purpose: ledger::LoadPurpose,
    ) {
        let now_ms = self.now_ms;
        let weights = spec.weights();
        if choice.source == catalogue::WeightSource::Store && !spec.model.is_adapter() {
            self.limits.count_start(now_ms);
        }
        metrics::counter!("placement_loads").increment(1);
        let entry = ledger::ReplicaEntry {
            weights: weights.clone(),
            memory_bytes: spec.memory_bytes,
            stage: ledger::ReplicaStage::Reserved,
            purpose,
            source: choice.source,
            stage_since_ms: now_ms,
            expected_ready_ms: now_ms + choice.load_ms,
            next_read_ms: now_ms + choice.load_ms,
        };
        self.put(&choice.target, entry);
        self.send(&choice.target, &weights, order::Action::Load, spec.memory_bytes);
    }

    /// Removes a replica: cancels its load, or marks it to be unloaded.
    pub(super) fn retire(&mut self, target: &TargetId, weights: &catalogue::Weights) {
        let Some(account) = self.ledger.find(target) else { return };
        let Some(entry) = account.find(weights) else { return };
        match entry.stage {
            ledger::ReplicaStage::Loading if account.can_receive_order() => {
                self.cancel(target, weights);
            }
            ledger::ReplicaStage::Loaded => {
                self.set_stage(target, weights, ledger::ReplicaStage::Retiring);
                self.retire_adapters(target, &weights.model);
                self.unload_next(target);
            }
            _ => {}
        }
    }

    /// Retires the adapters on a target once the last replica of their base is retired.
    fn retire_adapters(&mut self, target: &TargetId, base: &ModelRef) {
        let Some(account) = self.ledger.find(target) else { return };
        let stays = account.replicas_of(base).iter().any(ledger::ReplicaEntry::is_serving);
        if base.is_adapter() || stays {
            return;
        }
        let is_loaded = |entry: &&ledger::ReplicaEntry| entry.stage == ledger::ReplicaStage::Loaded;
        let adapters = account.replicas_with_adapters(base).iter().filter(is_loaded);
        let adapters: Vec<_> = adapters.map(|entry| entry.weights.clone()).collect();
        for adapter in adapters {
            self.set_stage(target, &adapter, ledger::ReplicaStage::Retiring);
            self.evaluate_by(&adapter.model, self.now_ms);
        }
    }

    fn cancel(&mut self, target: &TargetId, weights: &catalogue::Weights) {
        metrics::counter!("placement_loads_cancelled").increment(1);
        self.set_stage(target, weights, ledger::ReplicaStage::Cancelling);
        let memory_bytes = self.memory_of(target, weights);
        self.send(target, weights, order::Action::CancelLoad, memory_bytes);
    }

    /// Orders the next unload on the target, adapters before their base.
    fn unload_next(&mut self, target: &TargetId) {
        let Some(account) = self.ledger.find(target) else { return };
        if !account.can_receive_order() || !self.can_send_orders {
            return;
        }
        let is_retiring =
            |entry: &&ledger::ReplicaEntry| entry.stage == ledger::ReplicaStage::Retiring;
        let is_free = |entry: &ledger::ReplicaEntry| {
            entry.weights.model.is_adapter()
                || {
                    let others = account.replicas_with_adapters(&entry.weights.model);
                    others.iter().all(|other| {
                        !other.weights.model.is_adapter()
                            || other.stage == ledger::ReplicaStage::Unloading
                    })
                }
                || self.has_other_version(account, entry)
        };
        let mut retiring = account.entries().iter().filter(is_retiring);
        let Some(entry) = retiring.find(|entry| is_free(entry)) else { return };
        let (weights, memory_bytes) = (entry.weights.clone(), entry.memory_bytes);
        metrics::counter!("placement_unloads").increment(1);
        self.set_stage(target, &weights, ledger::ReplicaStage::Releasing);
        self.send(target, &weights, order::Action::Unload, memory_bytes);
    }

    fn has_other_version(
        &self,
        account: &ledger::TargetAccount,
        entry: &ledger::ReplicaEntry,
    ) -> bool {
        account.replicas_of(&entry.weights.model).iter().any(ledger::ReplicaEntry::is_serving)
    }

    fn memory_of(&self, target: &TargetId, weights: &catalogue::Weights) -> Bytes {
        let entry = self.ledger.find(target).and_then(|account| account.find(weights));
        entry.map_or(Bytes(0), |entry| entry.memory_bytes)
    }

    /// Moves a replica to another stage.
    fn set_stage(
        &mut self,
        target: &TargetId,
        weights: &catalogue::Weights,
        stage: ledger::ReplicaStage,
    ) {
        let Some(account) = self.ledger.find(target) else { return };
        let Some(mut entry) = account.find(weights).cloned() else { return };
        if entry.stage == ledger::ReplicaStage::Reserved && stage == ledger::ReplicaStage::Loading {
            // The load time is measured from the order.
        } else {
            entry.stage_since_ms = self.now_ms;
            entry.next_read_ms = self.now_ms + UNLOAD_MS;
        }
        entry.stage = stage;
        self.put(target, entry);
    }

    pub(super) fn on_order_answered(
        &mut self,
        target: &TargetId,
        order_id: &OrderId,
        reply: order::Reply,
    ) {
        let Some(account) = self.ledger.find_mut(target) else { return };
        let is_pending = account.pending_order.as_ref().is_some_and(|p| p.order_id == *order_id);
        if !is_pending || !account.is_present() {
            return;
        }
        let Some(pending) = account.pending_order.take() else { return };
        let weights = &pending.weights;
        match (pending.action, reply) {
            (order::Action::Load, order::Reply::Accepted) => {
                self.set_stage(target, weights, ledger::ReplicaStage::Loading);
            }
            (order::Action::Load, _) => self.on_load_refused(target, weights, reply),
            (order::Action::CancelLoad, order::Reply::Accepted) => {}
            (order::Action::CancelLoad, _) => {
                self.set_stage(target, weights, ledger::ReplicaStage::Loading);
                self.request_state_read(target);
            }
            (order::Action::Unload, order::Reply::Accepted) => {
                self.set_stage(target, weights, ledger::ReplicaStage::Unloading);
            }
            (order::Action::Unload, _) => {
                self.set_stage(target, weights, ledger::ReplicaStage::Loaded);
                self.request_state_read(target);
            }
        }
        self.plan_next_order(target);
        self.set_timer(target);
    }

    fn on_load_refused(
        &mut self,
        target: &TargetId,
        weights: &catalogue::Weights,
        reply: order::Reply,
    ) {
        metrics::counter!("placement_loads_refused").increment(1);
        self.avoid(target, weights, targets::AVOID_MS);
        self.remove(target, weights);
        match reply {
            order::Reply::Unknown => {
                self.set_reason(&weights.model, Some(NotLoadedReason::Unknown));
            }
            _ => self.request_state_read(target),
        }
    }

    fn request_state_read(&mut self, target: &TargetId) {
        let now_ms = self.now_ms;
        if let Some(account) = self.ledger.find_mut(target) {
            account.state_read_due_ms = Some(now_ms);
        }
    }

    pub(super) fn on_order_lost(&mut self, target: &TargetId, order_id: &OrderId) {
        let Some(account) = self.ledger.find(target) else { return };
        if account.pending_order.as_ref().is_some_and(|pending| pending.order_id == *order_id) {
            self.mark_order_lost(target);
        }
    }

    /// Marks the pending order as lost: only the target's state can settle it now.
    pub(super) fn mark_order_lost(&mut self, target: &TargetId) {
        let Some(account) = self.ledger.find_mut(target) else { return };
        if let Some(pending) = &mut account.pending_order {
            metrics::counter!("placement_orders_lost").increment(1);
            pending.is_lost = true;
        }
        self.set_timer(target);
    }

    /// Picks the next order for a target that has none pending.
    pub(super) fn plan_next_order(&mut self, target: &TargetId) {
        let Some(account) = self.ledger.find(target) else { return };
        if !account.can_receive_order() || !self.can_send_orders {
            return;
        }
        if let Some(weights) = self.find_hung_load(account) {
            self.cancel_hung_load(target, &weights);
            return;
        }
        self.retire_excess(target);
        self.unload_next(target);
        self.evaluate_models_on(target);
        self.schedule_round();
    }

    fn find_hung_load(&self, account: &ledger::TargetAccount) -> Option<catalogue::Weights> {
        let is_hung = |entry: &&ledger::ReplicaEntry| {
            let bound_ms = self.hang_bound_ms(entry);
            entry.stage == ledger::ReplicaStage::Loading
                && self.now_ms >= entry.stage_since_ms + bound_ms
        };
        account.entries().iter().find(is_hung).map(|entry| entry.weights.clone())
    }

    fn hang_bound_ms(&self, entry: &ledger::ReplicaEntry) -> u64 {
        let spec = self.models.get(&entry.weights.model).and_then(|model| model.spec.as_ref());
        let full_speed_ms = spec.map_or(0, |spec| spec.load.from_source(entry.source));
        let slowness = match entry.source {
            catalogue::WeightSource::Store => self.limits.slowness().min(MAX_HANG_SLOWNESS),
            catalogue::WeightSource::Disk | catalogue::WeightSource::Memory => 1.0,
        };
        let factor = self.settings.hang_factor as f64 * slowness;
        ((full_speed_ms as f64 * factor) as u64).max(self.settings.hang_floor_ms)
    }

    fn cancel_hung_load(&mut self, target: &TargetId, weights: &catalogue::Weights) {
        let Some(entry) = self.ledger.find(target).and_then(|a| a.find(weights)) else { return };
        let is_from_store = entry.source == catalogue::WeightSource::Store;
        if is_from_store && !weights.model.is_adapter() {
            self.limits.learn_hang();
        }
        metrics::counter!("placement_loads_hung").increment(1);
        // An adapter can only load where its base is ready, which may be only this target.
        let is_adapter = weights.model.is_adapter();
        let avoid_ms = if is_adapter { targets::AVOID_MS } else { targets::AVOID_HUNG_MS };
        self.avoid(target, weights, avoid_ms);
        self.cancel(target, weights);
        self.set_reason(&weights.model, Some(NotLoadedReason::Hung));
        self.evaluate_by(&weights.model, self.now_ms);
    }

    /// Retires the cheapest loaded replica of a target that holds more than its capacity.
    fn retire_excess(&mut self, target: &TargetId) {
        let Some(account) = self.ledger.find(target) else { return };
        let used = account.used_bytes().0 - account.unloading_bytes().0;
        if used <= account.capacity_bytes.0 {
            return;
        }
        let is_loaded = |entry: &&ledger::ReplicaEntry| entry.stage == ledger::ReplicaStage::Loaded;
        let loaded = account.entries().iter().filter(is_loaded);
        let cheapest = loaded.min_by_key(|entry| {
            let model = self.models.get(&entry.weights.model);
            model.map_or((false, 0), |model| (!model.demand.is_idle(), model.loss_ms))
        });
        if let Some(weights) = cheapest.map(|entry| entry.weights.clone()) {
            self.retire(target, &weights);
        }
    }
}
