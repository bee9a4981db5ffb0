//! Per-target timers: when to read a target's state, and when to treat an order, a read or the
//! target itself as lost.

use crate::ids::TargetId;
use crate::placement::ledger;
use crate::placement::planner::{Action, Planner};
use crate::target::order;

/// How long the replicas of a target that is gone are remembered, in milliseconds.
const FORGET_MS: u64 = 600_000;
/// Time within which the next incarnation of a target is known to have announced itself, in
/// milliseconds.
const RESTART_DETECTION_MS: u64 = 3_000;

/// The action that the timer of an account triggers.
enum Due {
    Nothing(Option<u64>),
    ReadState,
    OrderLost,
    /// The next incarnation of a target that is gone got no order, or has announced itself.
    StopCountingLoads,
    ReadLost(order::Fencing),
    RemoveAccount,
}

impl Planner {
    /// Sets the timer of an account.
    pub(super) fn set_timer(&mut self, target: &TargetId) {
        let now_ms = self.now_ms;
        let due = self.due_action(target);
        let Some(account) = self.ledger.find_mut(target) else { return };
        let timer_ms = match due {
            Due::Nothing(timer_ms) => timer_ms,
            Due::ReadState
            | Due::OrderLost
            | Due::StopCountingLoads
            | Due::ReadLost(_)
            | Due::RemoveAccount => Some(now_ms),
        };
        if let Some(old_ms) = std::mem::replace(&mut account.timer_ms, timer_ms) {
            self.timers.remove(&(old_ms, target.clone()));
        }
        if let Some(timer_ms) = timer_ms {
            self.timers.insert((timer_ms, target.clone()));
        }
    }

    /// The action due for an account, or the time of the next one.
    fn due_action(&self, target: &TargetId) -> Due {
        let now_ms = self.now_ms;
        let settings = &self.settings;
        let Some(account) = self.ledger.find(target) else { return Due::Nothing(None) };
        let or_later = |at_ms: u64, due: Due| {
            if at_ms <= now_ms { due } else { Due::Nothing(Some(at_ms)) }
        };
        if let ledger::TargetStatus::Gone { since_ms } = account.status {
            if !account.is_counted_in_load_limits {
                return or_later(since_ms + FORGET_MS, Due::RemoveAccount);
            }
            let expires_ms = account.pending_order.as_ref().map_or(0, |pending| pending.expires_ms);
            let expired_ms =
                since_ms.max(expires_ms) + settings.clock_skew_ms + RESTART_DETECTION_MS;
            return or_later(expired_ms, Due::StopCountingLoads);
        }
        if let Some(question) = account.pending_read {
            let timeout_ms = question.sent_ms + 2 * settings.order_limit_ms;
            return or_later(timeout_ms, Due::ReadLost(question.fencing));
        }
        let settled_ms = match &account.pending_order {
            Some(pending) if !pending.is_lost => {
                let bound_ms = settings.clock_skew_ms + settings.order_limit_ms;
                return or_later(pending.expires_ms + bound_ms, Due::OrderLost);
            }
            // Until it has expired, the order may still reach a target that ignores fencing.
            Some(pending) if !account.checks_fencing => pending.expires_ms + settings.clock_skew_ms,
            Some(_) => now_ms,
            None => 0,
        };
        let unread_ms = match account.status {
            ledger::TargetStatus::Read => None,
            _ if account.checks_fencing => Some(now_ms),
            _ => Some(account.former_orders_expire_ms),
        };
        let is_changing = |entry: &&ledger::ReplicaEntry| {
            !matches!(entry.stage, ledger::ReplicaStage::Loaded | ledger::ReplicaStage::Retiring)
        };
        let progress = account.entries().iter().filter(is_changing).map(|entry| entry.next_read_ms);
        let pending_ms = account.pending_order.as_ref().map(|_| settled_ms);
        let due_times = [account.state_read_due_ms, unread_ms, pending_ms].into_iter().flatten();
        let Some(next_read_ms) = due_times.chain(progress).min() else { return Due::Nothing(None) };
        let next_read_ms =
            next_read_ms.max(account.earliest_read_ms).max(settled_ms).max(unread_ms.unwrap_or(0));
        or_later(next_read_ms, Due::ReadState)
    }

    /// Runs the timers that have expired.
    pub(super) fn run_timers(&mut self) {
        while let Some((timer_ms, target)) = self.timers.first().cloned() {
            if timer_ms > self.now_ms {
                break;
            }
            self.timers.pop_first();
            if let Some(account) = self.ledger.find_mut(&target) {
                account.timer_ms = None;
            }
            self.run_timer(&target);
        }
    }

    fn run_timer(&mut self, target: &TargetId) {
        match self.due_action(target) {
            Due::Nothing(_) => self.set_timer(target),
            Due::ReadState => self.read_state(target),
            Due::ReadLost(fencing) => self.on_state_read_failed(target, fencing),
            Due::OrderLost => self.mark_order_lost(target),
            Due::StopCountingLoads => self.stop_counting_loads(target),
            Due::RemoveAccount => self.remove_account(target),
        }
    }

    fn read_state(&mut self, target: &TargetId) {
        let fencing = self.next_fencing();
        let sent_ms = self.now_ms;
        let Some(account) = self.ledger.find_mut(target) else { return };
        account.pending_read = Some(ledger::PendingRead { fencing, sent_ms });
        self.actions.push(Action::ReadState { target: target.clone(), fencing });
        self.set_timer(target);
    }

    /// Removes the loads of a target that is gone from the load limits: its next incarnation would
    /// have announced itself by now.
    fn stop_counting_loads(&mut self, target: &TargetId) {
        let Some(account) = self.ledger.find_mut(target) else { return };
        account.pending_order = None;
        account.is_counted_in_load_limits = false;
        for entry in account.entries().iter().filter(|entry| entry.is_in_transit()) {
            self.limits.end(entry.weights.model.is_adapter(), entry.source);
        }
        self.schedule_round();
        self.set_timer(target);
    }

    fn remove_account(&mut self, target: &TargetId) {
        let Some(account) = self.ledger.find(target) else { return };
        let held: Vec<_> = account.entries().iter().map(|entry| entry.weights.clone()).collect();
        for weights in &held {
            self.remove(target, weights);
        }
        self.ledger.remove(target);
    }
}
