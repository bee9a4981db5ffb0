//! Orders of one engine: what is begun, sent, answered, and found out about those that were lost.

use super::{Adapter, AdapterWork, Sent, Site, TOLD_LATE_MS, UNLOAD_MS, Work};
use crate::ids::{ModelName, ModelRef};
use crate::placement::swap::{EngineReport, Operation, OrderReply};

/// Time between taking a replica from the routers' table and its unload: the change reaches them.
const CLOSE_MS: u64 = 25;
/// Time that an adapter takes to load.
const ADAPTER_LOAD_MS: u64 = 15;
/// What an engine tells when it is read is at most this old.
const READ_LAG_MS: u64 = 400;
/// Pause before an engine is read again that could not be read, or that told nothing new.
const READ_AGAIN_MS: u64 = 300;
/// Time beyond the expected end of a load after which the engine is asked.
const LOAD_SLACK_MS: u64 = 300;
/// Pause before an order that met another one is sent again.
const CONFLICT_PAUSE_MS: u64 = 80;
/// Conflicts in a row after which the engine is read.
const CONFLICTS_BEFORE_READ: u32 = 2;

impl Site {
    /// Begins to replace a model.
    pub(in crate::placement::swap) fn begin_unload(
        &mut self,
        now_ms: u64,
        victim: &ModelName,
        then: Option<ModelName>,
    ) {
        let due_ms = now_ms + CLOSE_MS;
        self.work = Work::Unload { victim: victim.clone(), then, due_ms, is_accepted: false };
        let closing = self.models.iter_mut().find(|loaded| loaded.model == *victim);
        if let Some(loaded) = closing {
            loaded.is_closing = true;
        }
    }

    /// Begins to load a model that takes `load_ms`.
    pub(in crate::placement::swap) fn begin_load(
        &mut self,
        now_ms: u64,
        model: &ModelName,
        load_ms: u64,
    ) {
        self.dropped.retain(|(dropped, _)| dropped != model);
        let source = self.source(model);
        let due_ms = now_ms + load_ms;
        self.work = Work::Load { model: model.clone(), source, due_ms, is_accepted: false };
    }

    /// Begins to load an adapter.
    pub(in crate::placement::swap) fn begin_adapter_load(
        &mut self,
        now_ms: u64,
        adapter: ModelRef,
    ) {
        let due_ms = now_ms;
        self.adapter_work.push(AdapterWork { operation: Operation::Load, adapter, due_ms });
    }

    /// Begins to unload an adapter.
    pub(in crate::placement::swap) fn begin_adapter_unload(
        &mut self,
        now_ms: u64,
        adapter: ModelRef,
    ) {
        for seat in self.models.iter_mut().filter(|loaded| loaded.model == adapter.model) {
            let seats = seat.adapters.iter_mut();
            seats
                .filter(|seat| Some(&seat.name) == adapter.adapter.as_ref())
                .for_each(|seat| seat.is_closing = true);
        }
        let due_ms = now_ms + CLOSE_MS;
        self.adapter_work.push(AdapterWork { operation: Operation::Unload, adapter, due_ms });
    }

    /// The order to send now, if there is one.
    pub(in crate::placement::swap) fn next_order(
        &self,
        now_ms: u64,
    ) -> Option<(Operation, ModelRef)> {
        if self.is_leaving || self.orders.is_none() || now_ms < self.not_before_ms {
            return None;
        }
        if let Some(sent) = &self.sent {
            // A lost order is sent again under the same count, so that it is accepted once at most.
            let is_settled = sent.is_lost && self.read_due_ms.is_none() && !self.is_reading;
            return is_settled.then(|| (sent.operation, sent.model.clone()));
        }
        let model = |name: &ModelName| ModelRef { model: name.clone(), adapter: None };
        match &self.work {
            Work::Unload { victim, due_ms, is_accepted: false, .. } if now_ms >= *due_ms => {
                return Some((Operation::Unload, model(victim)));
            }
            Work::Load { model: name, is_accepted: false, .. } => {
                return Some((Operation::Load, model(name)));
            }
            Work::None | Work::Unload { .. } | Work::Load { .. } => {}
        }
        if !self.takes_adapters() {
            return None;
        }
        let due = self.adapter_work.iter().find(|work| now_ms >= work.due_ms);
        due.map(|work| (work.operation, work.adapter.clone()))
    }

    /// Whether the order was sent before.
    pub(in crate::placement::swap) fn is_repeat(&self, model: &ModelRef) -> bool {
        self.sent.as_ref().is_some_and(|sent| sent.model == *model)
    }

    /// Notes an order that is sent, and returns the count of orders to send it under.
    pub(in crate::placement::swap) fn sent(
        &mut self,
        ticket: u64,
        operation: Operation,
        model: &ModelRef,
    ) -> Option<u64> {
        let (expected_orders, was_lost) = match &self.sent {
            Some(sent) => (sent.expected_orders, true),
            None => (self.orders?, false),
        };
        let model = model.clone();
        let is_lost = false;
        self.sent = Some(Sent { ticket, operation, model, expected_orders, is_lost, was_lost });
        Some(expected_orders)
    }

    /// Takes the answer to an order. Returns whether routers see a change.
    pub(in crate::placement::swap) fn answered(
        &mut self,
        now_ms: u64,
        ticket: u64,
        reply: OrderReply,
    ) -> bool {
        let Some(sent) = self.sent.take_if(|sent| sent.ticket == ticket) else { return false };
        match reply {
            OrderReply::Accepted => self.accepted(now_ms, &sent),
            OrderReply::Holds => self.holds(now_ms, &sent),
            // Perhaps with itself: only the count of orders tells.
            OrderReply::Conflict if sent.was_lost => {
                self.sent = Some(Sent { is_lost: true, ..sent });
                self.read_due_ms = Some(now_ms + READ_LAG_MS);
            }
            OrderReply::Conflict => self.conflict(now_ms, &sent),
            OrderReply::Fenced | OrderReply::Refused => {
                self.drop_work(&sent);
                self.read_due_ms = Some(now_ms + READ_LAG_MS);
            }
            OrderReply::Lost => {
                self.sent = Some(Sent { is_lost: true, was_lost: true, ..sent });
                self.read_due_ms = Some(now_ms + READ_LAG_MS);
            }
        }
        true
    }

    /// The order is under way, or done if it is one that ends at once.
    fn accepted(&mut self, now_ms: u64, sent: &Sent) {
        self.conflicts = 0;
        self.orders = Some(sent.expected_orders + 1);
        if sent.model.is_adapter() {
            return self.adapter_done(now_ms, sent);
        }
        match &mut self.work {
            Work::Unload { due_ms, is_accepted, .. } => {
                *is_accepted = true;
                *due_ms = now_ms + UNLOAD_MS;
                self.not_before_ms = now_ms + UNLOAD_MS;
                let running = self.find(&sent.model.model).map_or(0, |loaded| loaded.running);
                let wait_ms = if running == 0 { UNLOAD_MS } else { LOAD_SLACK_MS };
                self.read_due_ms = Some(now_ms + wait_ms.max(READ_LAG_MS));
                if running == 0 {
                    // Nothing runs on it, so it is gone when the next order arrives.
                    self.forget_model(now_ms, &sent.model.model);
                }
            }
            Work::Load { due_ms, is_accepted, .. } => {
                *is_accepted = true;
                self.read_due_ms = Some(*due_ms + LOAD_SLACK_MS);
            }
            Work::None => {}
        }
    }

    /// Takes a model out that an accepted order has unloaded.
    fn forget_model(&mut self, now_ms: u64, model: &ModelName) {
        self.dropped.push((model.clone(), now_ms + TOLD_LATE_MS));
        self.models.retain(|loaded| loaded.model != *model);
        self.finish_work();
    }

    fn holds(&mut self, now_ms: u64, sent: &Sent) {
        if sent.model.is_adapter() {
            let is_unload = sent.operation == Operation::Unload;
            self.orders = Some(sent.expected_orders + u64::from(is_unload));
            return self.adapter_done(now_ms, sent);
        }
        // Whether it counted as accepted is not told.
        self.drop_work(sent);
        self.orders = None;
        self.read_due_ms = Some(now_ms + READ_LAG_MS);
    }

    fn conflict(&mut self, now_ms: u64, sent: &Sent) {
        self.conflicts += 1;
        self.not_before_ms = now_ms + CONFLICT_PAUSE_MS;
        if self.conflicts >= CONFLICTS_BEFORE_READ {
            // The count of orders differs from what is known here: nothing planned holds.
            self.drop_work(sent);
            self.orders = None;
            self.read_due_ms = Some(now_ms + READ_LAG_MS);
        }
    }

    /// Gives up what an order was for.
    fn drop_work(&mut self, sent: &Sent) {
        if sent.model.is_adapter() {
            self.adapter_work.retain(|work| work.adapter != sent.model);
        } else {
            self.work = Work::None;
        }
        self.finish_work();
    }

    fn adapter_done(&mut self, now_ms: u64, sent: &Sent) {
        self.adapter_work
            .retain(|work| work.adapter != sent.model || work.operation != sent.operation);
        let Some(name) = sent.model.adapter.clone() else { return };
        let place = self.models.iter_mut().find(|loaded| loaded.model == sent.model.model);
        let Some(loaded) = place else { return };
        loaded.adapters.retain(|adapter| adapter.name != name);
        if sent.operation == Operation::Load {
            loaded.adapters.push(Adapter {
                name,
                ready_ms: now_ms + ADAPTER_LOAD_MS,
                used_ms: now_ms,
                is_closing: false,
                is_told: false,
            });
        }
    }

    /// Whether the engine is to be read now; notes that it is.
    pub(in crate::placement::swap) fn take_read_due(&mut self, now_ms: u64) -> bool {
        let is_due = !self.is_reading && self.read_due_ms.is_some_and(|due_ms| now_ms >= due_ms);
        if is_due {
            self.is_reading = true;
            self.read_due_ms = None;
        }
        is_due
    }

    /// Takes what the engine told. Returns whether routers see a change.
    pub(in crate::placement::swap) fn apply_report(
        &mut self,
        now_ms: u64,
        report: Option<EngineReport>,
    ) -> bool {
        self.is_reading = false;
        let is_own =
            |report: &EngineReport| report.incarnation.is_none_or(|i| i == self.incarnation);
        let Some(report) = report.filter(is_own) else {
            self.read_due_ms = Some(now_ms + READ_AGAIN_MS);
            return false;
        };
        match self.sent.take() {
            Some(sent) if sent.is_lost => self.settle(now_ms, sent, &report),
            sent => {
                let is_answered = sent.is_none();
                self.sent = sent;
                if is_answered && self.orders.is_none_or(|known| report.accepted_orders > known) {
                    self.orders = Some(report.accepted_orders);
                    self.conflicts = 0;
                }
            }
        }
        self.is_engine_busy = report.is_busy;
        // A report from before the last order says nothing of what the engine holds now.
        let is_current = self.orders.is_some_and(|known| report.accepted_orders >= known);
        if is_current && !report.is_busy {
            self.take_reading(&report.models, now_ms);
        }
        self.ask_while_at_work(now_ms, &report, is_current);
        true
    }

    /// Finds out what became of an order whose answer was lost.
    ///
    /// That the count has risen by one is not enough: a late order of an earlier leader may have
    /// taken the number. So the effect has to show as well.
    fn settle(&mut self, now_ms: u64, sent: Sent, report: &EngineReport) {
        let is_next = report.accepted_orders == sent.expected_orders + 1;
        if report.accepted_orders < sent.expected_orders || (is_next && report.is_busy) {
            // It tells of a time before the order, or before its end.
            self.sent = Some(sent);
            self.read_due_ms = Some(now_ms + READ_AGAIN_MS);
        } else if report.accepted_orders == sent.expected_orders {
            let pause_ms = if report.is_busy { READ_AGAIN_MS } else { 0 };
            self.not_before_ms = now_ms + pause_ms;
            self.sent = Some(sent);
        } else if is_next && (sent.model.is_adapter() || has_effect(&sent, report)) {
            self.accepted(now_ms, &sent);
        } else {
            self.drop_work(&sent);
            self.orders = Some(report.accepted_orders);
        }
    }

    /// Asks again while the engine is at work, or an accepted order does not show its end.
    fn ask_while_at_work(&mut self, now_ms: u64, report: &EngineReport, is_current: bool) {
        if report.is_busy {
            // It may tell of a time before its last order ended. Until it is heard at rest it gets
            // no orders, so it has to be asked, whatever else is under way.
            self.read_due_ms = Some(now_ms + READ_AGAIN_MS);
            return;
        }
        let is_accepted = match &self.work {
            Work::Unload { is_accepted, .. } | Work::Load { is_accepted, .. } => *is_accepted,
            Work::None => false,
        };
        if self.sent.is_some() || !is_accepted {
            return;
        }
        if is_current {
            // It is over, and did not lead to what was asked for.
            self.work = Work::None;
            self.finish_work();
        } else {
            self.read_due_ms = Some(now_ms + READ_AGAIN_MS);
        }
    }
}

/// Whether an engine at rest shows what an order of a model asked for.
fn has_effect(sent: &Sent, report: &EngineReport) -> bool {
    let is_held = report.models.iter().any(|(model, _)| *model == sent.model.model);
    is_held == (sent.operation == Operation::Load)
}
