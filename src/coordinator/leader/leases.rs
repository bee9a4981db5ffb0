//! Leases slots of brittle targets to routers.

use super::Leader;
use crate::ids::DaemonId;
use crate::rate_limit::TargetLife;
use crate::rate_limit::statements::Statements;
use crate::slot_lease::MaxRejections;
use crate::slot_lease::ledger::{AnnouncedSlots, AskNumber};
use crate::slot_lease::message::{LeaseGrant, LeaseRequest};

impl Leader {
    /// Begins with what this daemon was told of brittle targets while another one led.
    pub fn inherit_brittle(&self, statements: &Statements<MaxRejections>) {
        let now_ms = self.context.clock.now_ms();
        let mut slots = self.slots.borrow_mut();
        for statement in statements.to_messages(now_ms) {
            slots.record(now_ms, &statement);
            log::info!(
                target_id:% = statement.life.target, life = statement.life.incarnation.0,
                max_rejections:? = statement.limit.map(|limit| limit.0),
                sent_age_ms = statement.sent_age_ms, read_age_ms = statement.read_age_ms,
                term = self.term.0;
                "term {} inherits of target {} of incarnation {}, {} ms old: brittle {:?}",
                self.term,
                statement.life.target,
                statement.life.incarnation,
                statement.read_age_ms,
                statement.limit
            );
        }
    }

    /// Answers a router that asks for slots or gives some back. `None` if this leader may no longer be the
    /// leader.
    pub fn answer_leases(
        &self,
        from: &DaemonId,
        request: &LeaseRequest,
    ) -> Option<Vec<LeaseGrant>> {
        let now_ms = self.context.clock.now_ms();
        let mut slots = self.slots.borrow_mut();
        let cuts_before = slots.cuts();
        let mut is_changed = false;
        for ask in &request.asks {
            let statement = &ask.statement;
            if slots.record(now_ms, statement) {
                is_changed = true;
                log::info!(
                    target_id:% = statement.life.target, life = statement.life.incarnation.0,
                    max_rejections:? = statement.limit.map(|limit| limit.0),
                    sent_age_ms = statement.sent_age_ms, read_age_ms = statement.read_age_ms,
                    router:% = from;
                    "target {} of incarnation {} said to router {from} {} ms ago: brittle {:?}",
                    statement.life.target,
                    statement.life.incarnation,
                    statement.read_age_ms,
                    statement.limit
                );
            }
        }
        let number = AskNumber { process: request.process, sequence: request.sequence };
        let mut grants = Vec::new();
        for ask in &request.asks {
            let announced = self.announced_slots(&ask.statement.life);
            grants.push(slots.grant(now_ms, from, number, ask, &announced));
            if ask.rejections > 0 {
                log::info!(
                    target_id:% = ask.statement.life.target, router:% = from,
                    rejections = ask.rejections, announced = announced.slots,
                    usable = slots.usable(&ask.statement.life);
                    "brittle target {} turned {} requests of router {from} away",
                    ask.statement.life.target,
                    ask.rejections
                );
            }
        }
        is_changed |= slots.cuts() > cuts_before;
        drop(slots);
        if is_changed {
            let mut cursor = self.brittle_cursor.get();
            cursor.sequence.0 += 1;
            self.brittle_cursor.set(cursor);
            self.notify_followers();
        }
        let is_sure = !self.is_stopped.get() && (self.context.is_leased)();
        is_sure.then_some(grants)
    }

    fn announced_slots(&self, life: &TargetLife) -> AnnouncedSlots {
        let feed = self.feed.borrow();
        let entries = feed.table().entries();
        let found = entries
            .iter()
            .find(|entry| entry.target == life.target && entry.incarnation == life.incarnation);
        AnnouncedSlots {
            service: found.and_then(|entry| entry.services.first().cloned()),
            slots: found.map_or(0, |entry| entry.slots),
        }
    }
}
