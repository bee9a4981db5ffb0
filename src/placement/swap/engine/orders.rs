//! Orders to one engine: planned, sent, answered, and resolved if no response came.

use super::{
    AdapterChange, EngineState, LoadedAdapter, ModelChange, STALE_REPORT_MS, Sent, UNLOAD_MS,
};
use crate::ids::{ModelName, ModelRef};
use crate::placement::swap::{EngineReport, Operation, OrderReply};

/// Time between removing a replica from the routers' table and its unload, so that the change
/// reaches the routers first.
const ROUTER_UPDATE_MS: u64 = 25;
/// Time that an adapter takes to load.
const ADAPTER_LOAD_MS: u64 = 15;
/// Largest expected age of the state in a report.
const REPORT_LAG_MS: u64 = 400;
/// Delay before the next report request if one failed or showed nothing new.
const REPORT_RETRY_MS: u64 = 300;
/// Time beyond the expected end of a load after which a report is requested.
const LOAD_SLACK_MS: u64 = 300;
/// Delay before an order is sent again after a conflict.
const CONFLICT_RETRY_MS: u64 = 80;
/// Number of consecutive conflicts after which a report is requested.
const CONFLICTS_BEFORE_REPORT: u32 = 2;

impl EngineState {
    /// Plans the unload of `victim`, followed by a load of `then`.
    pub(in crate::placement::swap) fn begin_unload(
        &mut self,
        now_ms: u64,
        victim: &ModelName,
        then: Option<ModelName>,
    ) {
        let due_ms = now_ms + ROUTER_UPDATE_MS;
        self.change =
            ModelChange::Unload { victim: victim.clone(), then, due_ms, is_accepted: false };
        let unloading = self.models.iter_mut().find(|loaded| loaded.model == *victim);
        if let Some(loaded) = unloading {
            loaded.is_unloading = true;
        }
    }

    /// Plans the load of a model that is expected to take `load_ms`.
    pub(in crate::placement::swap) fn begin_load(
        &mut self,
        now_ms: u64,
        model: &ModelName,
        load_ms: u64,
    ) {
        self.unloaded.retain(|(unloaded, _)| unloaded != model);
        let source = self.load_source(model);
        let due_ms = now_ms + load_ms;
        self.change =
            ModelChange::Load { model: model.clone(), source, due_ms, is_accepted: false };
    }

    /// Plans the load of an adapter.
    pub(in crate::placement::swap) fn begin_adapter_load(
        &mut self,
        now_ms: u64,
        adapter: ModelRef,
    ) {
        let due_ms = now_ms;
        self.adapter_changes.push(AdapterChange { operation: Operation::Load, adapter, due_ms });
    }

    /// Plans the unload of an adapter.
    pub(in crate::placement::swap) fn begin_adapter_unload(
        &mut self,
        now_ms: u64,
        adapter: ModelRef,
    ) {
        for base in self.models.iter_mut().filter(|loaded| loaded.model == adapter.model) {
            base.adapters
                .iter_mut()
                .filter(|loaded| Some(&loaded.name) == adapter.adapter.as_ref())
                .for_each(|loaded| loaded.is_unloading = true);
        }
        let due_ms = now_ms + ROUTER_UPDATE_MS;
        self.adapter_changes.push(AdapterChange { operation: Operation::Unload, adapter, due_ms });
    }

    /// The order to send now, if any.
    pub(in crate::placement::swap) fn next_order(
        &self,
        now_ms: u64,
    ) -> Option<(Operation, ModelRef)> {
        if !self.is_usable() || now_ms < self.not_before_ms {
            return None;
        }
        if let Some(sent) = &self.sent {
            // An order without a response is sent again with the same expected number of orders, so
            // that the engine accepts it at most once.
            let can_resend =
                sent.is_lost && self.report_due_ms.is_none() && !self.is_report_requested;
            return can_resend.then(|| (sent.operation, sent.model.clone()));
        }
        let model = |name: &ModelName| ModelRef { model: name.clone(), adapter: None };
        match &self.change {
            ModelChange::Unload { victim, due_ms, is_accepted: false, .. } if now_ms >= *due_ms => {
                return Some((Operation::Unload, model(victim)));
            }
            ModelChange::Load { model: name, is_accepted: false, .. } => {
                return Some((Operation::Load, model(name)));
            }
            ModelChange::None | ModelChange::Unload { .. } | ModelChange::Load { .. } => {}
        }
        if !self.can_change_adapters() {
            return None;
        }
        let due = self.adapter_changes.iter().find(|change| now_ms >= change.due_ms);
        due.map(|change| (change.operation, change.adapter.clone()))
    }

    /// Whether an order for the model or adapter was sent before and is not settled.
    pub(in crate::placement::swap) fn is_resend(&self, model: &ModelRef) -> bool {
        self.sent.as_ref().is_some_and(|sent| sent.model == *model)
    }

    /// Records an order as sent, and returns the expected number of accepted orders to send with
    /// it.
    pub(in crate::placement::swap) fn record_sent(
        &mut self,
        ticket: u64,
        operation: Operation,
        model: &ModelRef,
    ) -> Option<u64> {
        let (expected_orders, was_lost) = match &self.sent {
            Some(sent) => (sent.expected_orders, true),
            None => (self.accepted_orders?, false),
        };
        let model = model.clone();
        let is_lost = false;
        self.sent = Some(Sent { ticket, operation, model, expected_orders, is_lost, was_lost });
        Some(expected_orders)
    }

    /// Applies the response to an order. Returns whether the replicas may have changed.
    pub(in crate::placement::swap) fn apply_reply(
        &mut self,
        now_ms: u64,
        ticket: u64,
        reply: OrderReply,
    ) -> bool {
        let Some(sent) = self.sent.take_if(|sent| sent.ticket == ticket) else { return false };
        match reply {
            OrderReply::Accepted => self.apply_accepted(now_ms, &sent),
            OrderReply::Holds => self.apply_already_done(now_ms, &sent),
            // The conflict may be with an earlier attempt of the same order: only the number of
            // accepted orders in a report shows whether that attempt was accepted.
            OrderReply::Conflict if sent.was_lost => {
                self.sent = Some(Sent { is_lost: true, ..sent });
                self.report_due_ms = Some(now_ms + REPORT_LAG_MS);
            }
            OrderReply::Conflict => self.apply_conflict(now_ms, &sent),
            OrderReply::Fenced | OrderReply::Refused => {
                self.abandon_change(&sent);
                self.report_due_ms = Some(now_ms + REPORT_LAG_MS);
            }
            OrderReply::Lost => {
                self.sent = Some(Sent { is_lost: true, was_lost: true, ..sent });
                self.report_due_ms = Some(now_ms + REPORT_LAG_MS);
            }
        }
        true
    }

    /// Marks the order as in progress, or as done if it ends immediately.
    fn apply_accepted(&mut self, now_ms: u64, sent: &Sent) {
        self.consecutive_conflicts = 0;
        self.accepted_orders = Some(sent.expected_orders + 1);
        if sent.model.is_adapter() {
            return self.finish_adapter_change(now_ms, sent);
        }
        match &mut self.change {
            ModelChange::Unload { due_ms, is_accepted, .. } => {
                *is_accepted = true;
                *due_ms = now_ms + UNLOAD_MS;
                self.not_before_ms = now_ms + UNLOAD_MS;
                let running = self.find(&sent.model.model).map_or(0, |loaded| loaded.running);
                let wait_ms = if running == 0 { UNLOAD_MS } else { LOAD_SLACK_MS };
                self.report_due_ms = Some(now_ms + wait_ms.max(REPORT_LAG_MS));
                if running == 0 {
                    // Without running requests the unload ends before the next order arrives.
                    self.remove_unloaded(now_ms, &sent.model.model);
                }
            }
            ModelChange::Load { due_ms, is_accepted, .. } => {
                *is_accepted = true;
                self.report_due_ms = Some(*due_ms + LOAD_SLACK_MS);
            }
            ModelChange::None => {}
        }
    }

    /// Removes a model that an accepted order has unloaded.
    fn remove_unloaded(&mut self, now_ms: u64, model: &ModelName) {
        self.unloaded.push((model.clone(), now_ms + STALE_REPORT_MS));
        self.models.retain(|loaded| loaded.model != *model);
        self.finish_change();
    }

    /// Handles the response that the engine is already in the requested state.
    fn apply_already_done(&mut self, now_ms: u64, sent: &Sent) {
        if sent.model.is_adapter() {
            let is_unload = sent.operation == Operation::Unload;
            self.accepted_orders = Some(sent.expected_orders + u64::from(is_unload));
            return self.finish_adapter_change(now_ms, sent);
        }
        // The response does not say whether the engine counted the order as accepted.
        self.abandon_change(sent);
        self.accepted_orders = None;
        self.report_due_ms = Some(now_ms + REPORT_LAG_MS);
    }

    fn apply_conflict(&mut self, now_ms: u64, sent: &Sent) {
        self.consecutive_conflicts += 1;
        self.not_before_ms = now_ms + CONFLICT_RETRY_MS;
        if self.consecutive_conflicts >= CONFLICTS_BEFORE_REPORT {
            // The engine has accepted another number of orders than is known here, so the plan may
            // rest on outdated state.
            self.abandon_change(sent);
            self.accepted_orders = None;
            self.report_due_ms = Some(now_ms + REPORT_LAG_MS);
        }
    }

    /// Drops the change that an order was sent for.
    fn abandon_change(&mut self, sent: &Sent) {
        if sent.model.is_adapter() {
            self.adapter_changes.retain(|change| change.adapter != sent.model);
        } else {
            self.change = ModelChange::None;
        }
        self.finish_change();
    }

    fn finish_adapter_change(&mut self, now_ms: u64, sent: &Sent) {
        self.adapter_changes
            .retain(|change| change.adapter != sent.model || change.operation != sent.operation);
        let Some(name) = sent.model.adapter.clone() else { return };
        let base = self.models.iter_mut().find(|loaded| loaded.model == sent.model.model);
        let Some(base) = base else { return };
        base.adapters.retain(|adapter| adapter.name != name);
        if sent.operation == Operation::Load {
            base.adapters.push(LoadedAdapter {
                name,
                ready_ms: now_ms + ADAPTER_LOAD_MS,
                last_used_ms: now_ms,
                is_unloading: false,
                is_published: false,
            });
        }
    }

    /// Returns whether a report is to be requested now, and if so records the request.
    pub(in crate::placement::swap) fn take_due_report_request(&mut self, now_ms: u64) -> bool {
        let is_due =
            !self.is_report_requested && self.report_due_ms.is_some_and(|due_ms| now_ms >= due_ms);
        if is_due {
            self.is_report_requested = true;
            self.report_due_ms = None;
        }
        is_due
    }

    /// Applies a report, `None` if the request failed. Returns whether the replicas may have
    /// changed.
    pub(in crate::placement::swap) fn apply_report(
        &mut self,
        now_ms: u64,
        report: Option<EngineReport>,
    ) -> bool {
        self.is_report_requested = false;
        let is_own =
            |report: &EngineReport| report.incarnation.is_none_or(|i| i == self.incarnation);
        let Some(report) = report.filter(is_own) else {
            self.report_due_ms = Some(now_ms + REPORT_RETRY_MS);
            return false;
        };
        match self.sent.take() {
            Some(sent) if sent.is_lost => self.resolve_lost_order(now_ms, sent, &report),
            sent => {
                let is_answered = sent.is_none();
                self.sent = sent;
                if is_answered
                    && self.accepted_orders.is_none_or(|known| report.accepted_orders > known)
                {
                    self.accepted_orders = Some(report.accepted_orders);
                    self.consecutive_conflicts = 0;
                }
            }
        }
        self.is_engine_busy = report.is_busy;
        // A report from before the last order does not show which models the engine holds now.
        let is_current = self.accepted_orders.is_some_and(|known| report.accepted_orders >= known);
        if is_current && !report.is_busy {
            self.apply_reported_models(&report.models, now_ms);
        }
        self.follow_up_report(now_ms, &report, is_current);
        true
    }

    /// Determines from a report what became of an order without a response.
    ///
    /// An increase of the number of accepted orders by one does not suffice: the engine may have
    /// accepted a delayed order of an earlier leader instead. The report must show the effect of
    /// the order as well.
    fn resolve_lost_order(&mut self, now_ms: u64, sent: Sent, report: &EngineReport) {
        let is_next = report.accepted_orders == sent.expected_orders + 1;
        if report.accepted_orders < sent.expected_orders || (is_next && report.is_busy) {
            // The report is from before the order, or from before its end.
            self.sent = Some(sent);
            self.report_due_ms = Some(now_ms + REPORT_RETRY_MS);
        } else if report.accepted_orders == sent.expected_orders {
            // The order was not accepted: it is sent again.
            let pause_ms = if report.is_busy { REPORT_RETRY_MS } else { 0 };
            self.not_before_ms = now_ms + pause_ms;
            self.sent = Some(sent);
        } else if is_next && (sent.model.is_adapter() || has_effect(&sent, report)) {
            self.apply_accepted(now_ms, &sent);
        } else {
            self.abandon_change(&sent);
            self.accepted_orders = Some(report.accepted_orders);
        }
    }

    /// Schedules the next report while the engine is busy or an accepted order has not ended, and
    /// drops an accepted change that has ended without effect.
    fn follow_up_report(&mut self, now_ms: u64, report: &EngineReport, is_current: bool) {
        if report.is_busy {
            // The report may be from before the end of the engine's last order. The engine gets no
            // orders until a report shows it idle, so reports must be requested until then,
            // whatever else is in progress.
            self.report_due_ms = Some(now_ms + REPORT_RETRY_MS);
            return;
        }
        let is_accepted = match &self.change {
            ModelChange::Unload { is_accepted, .. } | ModelChange::Load { is_accepted, .. } => {
                *is_accepted
            }
            ModelChange::None => false,
        };
        if self.sent.is_some() || !is_accepted {
            return;
        }
        if is_current {
            // The order has ended without the requested effect.
            self.change = ModelChange::None;
            self.finish_change();
        } else {
            self.report_due_ms = Some(now_ms + REPORT_RETRY_MS);
        }
    }
}

/// Whether the report of an idle engine shows the effect of an order for a model.
fn has_effect(sent: &Sent, report: &EngineReport) -> bool {
    let is_loaded = report.models.iter().any(|(model, _)| *model == sent.model.model);
    is_loaded == (sent.operation == Operation::Load)
}
