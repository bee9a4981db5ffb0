//! Timers of accounts: when a target is asked, and when an answer or a target is given up.

use crate::ids::TargetId;
use crate::placement::ledger;
use crate::placement::planner::{Action, Planner};
use crate::target::order;

/// What a target that is gone held is forgotten after this time, in milliseconds.
const FORGET_MS: u64 = 600_000;
/// Time in which the next life of a target is heard of, in milliseconds.
const NEXT_LIFE_MS: u64 = 3_000;

/// What a timer of an account is for.
enum Due {
    Nothing(Option<u64>),
    Ask,
    OrderLost,
    /// The next life of a target that is gone got no order, or was heard of by now.
    Discount,
    AskLost(order::Fencing),
    Forget,
}

impl Planner {
    /// Sets the timer of an account.
    pub(super) fn arm(&mut self, target: &TargetId) {
        let now_ms = self.now_ms;
        let due = self.due_of(target);
        let Some(account) = self.ledger.find_mut(target) else { return };
        let timer_ms = match due {
            Due::Nothing(timer_ms) => timer_ms,
            Due::Ask | Due::OrderLost | Due::Discount | Due::AskLost(_) | Due::Forget => {
                Some(now_ms)
            }
        };
        if let Some(old_ms) = std::mem::replace(&mut account.timer_ms, timer_ms) {
            self.timers.remove(&(old_ms, target.clone()));
        }
        if let Some(timer_ms) = timer_ms {
            self.timers.insert((timer_ms, target.clone()));
        }
    }

    /// What is due at an account, or when something will be.
    fn due_of(&self, target: &TargetId) -> Due {
        let now_ms = self.now_ms;
        let settings = &self.settings;
        let Some(account) = self.ledger.find(target) else { return Due::Nothing(None) };
        let or_later = |at_ms: u64, due: Due| {
            if at_ms <= now_ms { due } else { Due::Nothing(Some(at_ms)) }
        };
        if let ledger::TargetStatus::Gone { since_ms } = account.status {
            if !account.is_counted_in_load_limits {
                return or_later(since_ms + FORGET_MS, Due::Forget);
            }
            let expires_ms = account.pending_order.as_ref().map_or(0, |pending| pending.expires_ms);
            let expired_ms = since_ms.max(expires_ms) + settings.clock_skew_ms + NEXT_LIFE_MS;
            return or_later(expired_ms, Due::Discount);
        }
        if let Some(question) = account.pending_read {
            let lost_ms = question.sent_ms + 2 * settings.order_limit_ms;
            return or_later(lost_ms, Due::AskLost(question.fencing));
        }
        let settled_ms = match &account.pending_order {
            Some(pending) if !pending.is_lost => {
                let bound_ms = settings.clock_skew_ms + settings.order_limit_ms;
                return or_later(pending.expires_ms + bound_ms, Due::OrderLost);
            }
            // Until it has expired, the order may still come to a target that ignores fencing.
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
        let wishes = [account.state_read_due_ms, unread_ms, pending_ms].into_iter().flatten();
        let Some(next_read_ms) = wishes.chain(progress).min() else { return Due::Nothing(None) };
        let next_read_ms =
            next_read_ms.max(account.earliest_read_ms).max(settled_ms).max(unread_ms.unwrap_or(0));
        or_later(next_read_ms, Due::Ask)
    }

    /// Does what is due at accounts.
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
        match self.due_of(target) {
            Due::Nothing(_) => self.arm(target),
            Due::Ask => self.ask(target),
            Due::AskLost(fencing) => self.on_ask_lost(target, fencing),
            Due::OrderLost => self.lose_pending(target),
            Due::Discount => self.discount(target),
            Due::Forget => self.forget(target),
        }
    }

    fn ask(&mut self, target: &TargetId) {
        let fencing = self.next_fencing();
        let sent_ms = self.now_ms;
        let Some(account) = self.ledger.find_mut(target) else { return };
        account.pending_read = Some(ledger::PendingRead { fencing, sent_ms });
        self.actions.push(Action::ReadState { target: target.clone(), fencing });
        self.arm(target);
    }

    /// Loads of a target that is gone no longer count: its next life would have been heard of.
    fn discount(&mut self, target: &TargetId) {
        let Some(account) = self.ledger.find_mut(target) else { return };
        account.pending_order = None;
        account.is_counted_in_load_limits = false;
        for entry in account.entries().iter().filter(|entry| entry.is_in_transit()) {
            self.limits.end(entry.weights.model.is_adapter(), entry.source);
        }
        self.place_soon();
        self.arm(target);
    }

    fn forget(&mut self, target: &TargetId) {
        let Some(account) = self.ledger.find(target) else { return };
        let held: Vec<_> = account.entries().iter().map(|entry| entry.weights.clone()).collect();
        for weights in &held {
            self.remove(target, weights);
        }
        self.ledger.remove(target);
    }
}
