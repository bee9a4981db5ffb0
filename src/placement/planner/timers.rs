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
        if let ledger::Standing::Gone { since_ms } = account.standing {
            if !account.is_counted {
                return or_later(since_ms + FORGET_MS, Due::Forget);
            }
            let expires_ms = account.pending.as_ref().map_or(0, |pending| pending.expires_ms);
            let expired_ms = since_ms.max(expires_ms) + settings.clock_skew_ms + NEXT_LIFE_MS;
            return or_later(expired_ms, Due::Discount);
        }
        if let Some(question) = account.question {
            let lost_ms = question.asked_ms + 2 * settings.order_limit_ms;
            return or_later(lost_ms, Due::AskLost(question.fencing));
        }
        let settled_ms = match &account.pending {
            Some(pending) if !pending.is_lost => {
                let bound_ms = settings.clock_skew_ms + settings.order_limit_ms;
                return or_later(pending.expires_ms + bound_ms, Due::OrderLost);
            }
            // Until it has expired, the order may still come to a target that ignores fencing.
            Some(pending) if !account.checks_fencing => pending.expires_ms + settings.clock_skew_ms,
            Some(_) => now_ms,
            None => 0,
        };
        let unread_ms = match account.standing {
            ledger::Standing::Known => None,
            _ if account.checks_fencing => Some(now_ms),
            _ => Some(account.quiet_ms),
        };
        let is_changing = |entry: &&ledger::Entry| {
            !matches!(entry.stage, ledger::Stage::Loaded | ledger::Stage::Retiring)
        };
        let progress = account.entries().iter().filter(is_changing).map(|entry| entry.ask_ms);
        let pending_ms = account.pending.as_ref().map(|_| settled_ms);
        let wishes = [account.read_ms, unread_ms, pending_ms].into_iter().flatten();
        let Some(ask_ms) = wishes.chain(progress).min() else { return Due::Nothing(None) };
        let ask_ms = ask_ms.max(account.retry_ms).max(settled_ms).max(unread_ms.unwrap_or(0));
        or_later(ask_ms, Due::Ask)
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
        let asked_ms = self.now_ms;
        let Some(account) = self.ledger.find_mut(target) else { return };
        account.question = Some(ledger::Question { fencing, asked_ms });
        self.actions.push(Action::AskState { target: target.clone(), fencing });
        self.arm(target);
    }

    /// Loads of a target that is gone no longer count: its next life would have been heard of.
    fn discount(&mut self, target: &TargetId) {
        let Some(account) = self.ledger.find_mut(target) else { return };
        account.pending = None;
        account.is_counted = false;
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
