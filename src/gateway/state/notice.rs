//! What targets say of themselves in the heads of their responses.

use super::RouterState;
use crate::gateway::TargetNotice;
use crate::ids::{Incarnation, TargetId};
use crate::rate_limit::statements::StatedAt;
use crate::rate_limit::{self, TargetLife};

impl RouterState {
    /// Applies a notice that a target sent in the head of the response to a request of `sent_ms`.
    pub(in crate::gateway) fn apply_notice(
        &self,
        target: &TargetId,
        incarnation: Incarnation,
        sent_ms: u64,
        notice: TargetNotice,
    ) {
        let life = TargetLife { target: target.clone(), incarnation };
        let at = StatedAt { sent_ms, read_ms: self.now_ms() };
        self.note_rate_limit(&life, notice.rate_limit, at);
        self.note_brittle(&life, notice.brittle, at);
        if notice.is_leaving {
            self.note_leaving(&life, at);
        }
        if let Some(pause_ms) = notice.pause_ms.filter(|pause_ms| *pause_ms > 0) {
            self.note_pause(&life, at, pause_ms);
        }
    }

    fn note_rate_limit(&self, life: &TargetLife, statement: rate_limit::Statement, at: StatedAt) {
        let mut balancer = self.balancer.borrow_mut();
        if !balancer.permits_mut().record(at.read_ms, life, statement, at) {
            return;
        }
        drop(balancer);
        let TargetLife { target, incarnation } = life;
        let sent_age_ms = at.age_ms();
        log::info!(
            target_id:% = target, life = incarnation.0, sent_age_ms = sent_age_ms,
            rate_limit:? = statement;
            "target {target} of incarnation {incarnation} says in an answer to a request of {sent_age_ms} ms \
             ago: rate limit {statement:?}"
        );
        metrics::counter!("fescuebay_rate_limit_changes_total").increment(1);
        self.permits_wanted.notify_one();
        self.dispatch_waiting();
    }

    fn note_leaving(&self, life: &TargetLife, at: StatedAt) {
        let TargetLife { target, incarnation } = life;
        if self.balancer.borrow_mut().record_leaving(target, *incarnation) {
            log::info!(
                target_id:% = target, life = incarnation.0, sent_age_ms = at.age_ms(),
                table_age_ms:? = self.table_age_ms();
                "target {target} of incarnation {incarnation} says in an answer that it leaves"
            );
            metrics::counter!("fescuebay_targets_leaving_total").increment(1);
            // The leader may not know yet that the target is leaving.
            self.demand_changed.notify_one();
        }
        self.pool.borrow_mut().close_target(target, *incarnation);
    }

    fn note_pause(&self, life: &TargetLife, at: StatedAt, pause_ms: u64) {
        let TargetLife { target, incarnation } = life;
        let (now_ms, salt) = (self.now_ms(), self.next_salt());
        let mut balancer = self.balancer.borrow_mut();
        if !balancer.record_pause(now_ms, target, *incarnation, pause_ms, salt) {
            return;
        }
        drop(balancer);
        log::info!(
            target_id:% = target, life = incarnation.0, pause_ms = pause_ms, sent_age_ms = at.age_ms();
            "target {target} of incarnation {incarnation} asks to be left alone for {pause_ms} ms"
        );
        metrics::counter!("fescuebay_target_pauses_total").increment(1);
        // Requests that wait for a paused target are refused at once.
        self.dispatch_waiting();
    }
}
