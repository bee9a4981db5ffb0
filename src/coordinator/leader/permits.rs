//! Grants permits for limited targets to routers.

use super::Leader;
use crate::ids::DaemonId;
use crate::placement::swap;
use crate::rate_limit::message::{PermitAsk, PermitGrant};
use crate::rate_limit::statements::Statements;

impl Leader {
    /// Begins with what this daemon was told of rate limits while another one led.
    pub fn inherit_rate_limits(&self, statements: &Statements) {
        let now_ms = self.context.clock.now_ms();
        let mut permits = self.permits.borrow_mut();
        for statement in statements.to_messages(now_ms) {
            permits.record(now_ms, &statement);
            log::info!(
                target_id:% = statement.life.target, life = statement.life.incarnation.0,
                limit_per_s:? = statement.limit.map(|limit| limit.0),
                sent_age_ms = statement.sent_age_ms, read_age_ms = statement.read_age_ms,
                term = self.term.0;
                "term {} inherits of target {} of incarnation {}, {} ms old: rate limit {:?}",
                self.term,
                statement.life.target,
                statement.life.incarnation,
                statement.read_age_ms,
                statement.limit
            );
        }
    }

    /// The limits that targets name now, as an event of placement.
    pub(super) fn rate_limits_event(&self) -> swap::Event {
        let statements = self.permits.borrow().statements(self.context.clock.now_ms());
        let limited = statements.into_iter().filter_map(|told| Some((told.life, told.limit?)));
        swap::Event::RateLimits(limited.collect())
    }

    /// Answers a router that asks for permits or passes on statements. `None` if this leader may no
    /// longer be the leader.
    pub fn answer_permits(&self, from: &DaemonId, asks: &[PermitAsk]) -> Option<Vec<PermitGrant>> {
        let now_ms = self.context.clock.now_ms();
        let mut permits = self.permits.borrow_mut();
        let mut is_changed = false;
        for ask in asks {
            let statement = &ask.statement;
            if permits.record(now_ms, statement) {
                is_changed = true;
                log::info!(
                    target_id:% = statement.life.target, life = statement.life.incarnation.0,
                    limit_per_s:? = statement.limit.map(|limit| limit.0),
                    sent_age_ms = statement.sent_age_ms, read_age_ms = statement.read_age_ms,
                    router:% = from;
                    "target {} of incarnation {} named to router {from} {} ms ago: rate limit {:?}",
                    statement.life.target,
                    statement.life.incarnation,
                    statement.read_age_ms,
                    statement.limit
                );
            }
        }
        let grants = asks.iter().map(|ask| permits.grant(now_ms, from, ask)).collect();
        drop(permits);
        if is_changed {
            self.broadcast_event(&self.rate_limits_event());
            let mut cursor = self.rate_limits_cursor.get();
            cursor.sequence.0 += 1;
            self.rate_limits_cursor.set(cursor);
            self.notify_followers();
        }
        let is_sure = !self.is_stopped.get() && (self.context.is_leased)();
        is_sure.then_some(grants)
    }
}
