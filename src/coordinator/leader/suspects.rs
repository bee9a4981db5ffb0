//! Collects what routers see of requests that may crash targets.

use super::Leader;
use crate::ids::DaemonId;
use crate::poison::message::{Permission, Report, Statement};
use crate::poison::registry::Registry;
use crate::rate_limit::TargetLife;

impl Leader {
    /// Begins with what this daemon was told while another one led.
    pub fn inherit_suspects(&self, registry: &Registry) {
        let now_ms = self.context.clock.now_ms();
        self.inherit_statements(&registry.statements(now_ms));
    }

    /// Answers a router that reports, and that may want to send a request. `None` if this leader may no
    /// longer be the leader.
    pub fn answer_poison(&self, from: &DaemonId, report: &Report) -> Option<Permission> {
        let now_ms = self.context.clock.now_ms();
        let mut is_changed = self.inherit_statements(&report.statements);
        for observation in &report.observations {
            let mut suspects = self.suspects.borrow_mut();
            if !suspects.record(now_ms, from, observation) {
                continue;
            }
            is_changed = true;
            let death = observation.death.as_ref();
            log::warn!(
                subject:% = observation.subject, router:% = from,
                target:? = death.map(|death| death.life.target.as_str()),
                broke_age_ms:? = death.map(|death| death.broke_age_ms),
                answer_age_ms:? = observation.answer_age_ms,
                deaths = suspects.deaths(&observation.subject),
                standing:? = suspects.standing(now_ms, &observation.subject);
                "what may crash targets is treated in another way"
            );
        }
        let mut suspects = self.suspects.borrow_mut();
        let permission = report
            .wanted
            .as_ref()
            .map_or(Permission::Free, |wanted| suspects.permit(now_ms, from, wanted));
        drop(suspects);
        if is_changed {
            self.tell_suspects();
        }
        let is_sure = !self.is_stopped.get() && (self.context.is_leased)();
        is_sure.then_some(permission)
    }

    /// Takes into account that a target has announced itself: it has not ended.
    pub(super) fn note_alive(&self, life: &TargetLife) {
        if self.suspects.borrow().is_empty() {
            return;
        }
        let now_ms = self.context.clock.now_ms();
        if self.suspects.borrow_mut().record_announcement(now_ms, life) {
            log::info!(
                target_id:% = life.target, life = life.incarnation.0;
                "a target goes on: what it was taken to have ended under is treated in another way"
            );
            self.tell_suspects();
        }
    }

    fn inherit_statements(&self, statements: &[Statement]) -> bool {
        let now_ms = self.context.clock.now_ms();
        let mut is_changed = false;
        for statement in statements {
            if self.suspects.borrow_mut().inherit(now_ms, statement) {
                is_changed = true;
                log::info!(
                    subject:% = statement.subject, deaths = statement.deaths.len(),
                    closed_for_ms:? = statement.closed_for_ms;
                    "an earlier leader knew what may crash targets"
                );
            }
        }
        is_changed
    }

    fn tell_suspects(&self) {
        let closed = self.suspects.borrow().closed(self.context.clock.now_ms());
        metrics::gauge!("fescuebay_poison_closed").set(closed as f64);
        let mut cursor = self.suspects_cursor.get();
        cursor.sequence.0 += 1;
        self.suspects_cursor.set(cursor);
        self.notify_followers();
    }
}
