//! Applies the leader's updates to a router.

use std::rc::Rc;

use super::state::RouterState;
use crate::coordinator::speeds::SpeedChanges;
use crate::coordinator::{follow, loads};
use crate::ids::ServiceName;
use crate::membership::{feed, table};
use crate::placement::swap::demand;
use crate::placement::swap::expected::ExpectedLoad;
use crate::poison::message::Statement;
use crate::rate_limit::message;
use crate::routes::{self, index};
use crate::slot_lease::message::BrittleNews;

impl follow::Follower for RouterState {
    fn usage(&self) -> demand::RouterDemand {
        self.take_usage()
    }

    fn apply_document(&self, document: routes::Document) {
        log::info!(
            document = document.version.0, table_age_ms:? = self.table_age_ms();
            "document {} is in force", document.version
        );
        self.balancer.borrow_mut().set_document(&document);
        self.index.send_replace(Some(Rc::new(index::Index::new(document))));
    }

    fn handle_table_change(&self, feed: &feed::TableFeed) {
        let entries: &[table::TargetEntry] = feed.table().entries();
        self.balancer.borrow_mut().set_entries(entries);
        self.table_version.set(feed.cursor());
        self.dispatch_waiting();
    }

    fn apply_rate_limits(&self, told: &[message::TargetStatement]) {
        let now_ms = self.now_ms();
        for statement in told {
            let mut balancer = self.balancer.borrow_mut();
            if balancer.permits_mut().record_told(now_ms, statement) {
                log::info!(
                    target_id:% = statement.life.target, life = statement.life.incarnation.0,
                    limit_per_s:? = statement.limit.map(|limit| limit.0),
                    sent_age_ms = statement.sent_age_ms, read_age_ms = statement.read_age_ms;
                    "target {} of incarnation {} named to another router {} ms ago: rate limit {:?}",
                    statement.life.target,
                    statement.life.incarnation,
                    statement.read_age_ms,
                    statement.limit
                );
            }
        }
        self.dispatch_waiting();
    }

    fn apply_brittle(&self, told: &[BrittleNews]) {
        self.apply_brittle_news(told);
    }

    fn apply_mixed_services(&self, cursor: feed::FeedCursor, services: &[ServiceName]) {
        self.set_mixed_services(cursor, services);
    }

    fn streams_told(&self) -> feed::FeedCursor {
        self.recent_streams.borrow().told()
    }

    fn handle_leader_change(&self) {
        self.discovery_since_ms.set(Some(self.now_ms()));
        self.balancer.borrow_mut().permits_mut().forget_told();
        self.balancer.borrow_mut().leases_mut().forget_told();
        self.poison.borrow_mut().begin_leader();
        self.poison_observed.notify_one();
        self.recent_streams.borrow_mut().begin_leader();
        self.streams_begun.notify_one();
        self.begin_quota_leader();
    }

    fn apply_suspects(&self, told: &[Statement]) {
        self.apply_standings(told);
    }

    fn apply_expected_loads(&self, told: &[ExpectedLoad]) {
        self.observations.borrow_mut().set_told(self.now_ms(), told);
    }

    fn apply_loads(&self, routers: u32, changes: &loads::LoadChanges) {
        self.last_update_ms.set(Some(self.now_ms()));
        self.budget.borrow_mut().set_routers(routers);
        self.set_report_pauses(routers);
        self.overload.borrow_mut().set_routers(routers);
        let mut balancer = self.balancer.borrow_mut();
        balancer.apply_load_totals(self.now_ms(), routers, changes);
        balancer.permits_mut().set_routers(routers);
        balancer.leases_mut().set_routers(routers);
        let has_untold = balancer.permits().has_untold();
        drop(balancer);
        if has_untold {
            self.permits_wanted.notify_one();
        }
        self.dispatch_waiting();
    }

    fn apply_speeds(&self, changes: &SpeedChanges) {
        for speed in &changes.speeds {
            log::info!(
                target_id:% = speed.target, life = speed.incarnation.0, percent = speed.percent,
                cursor:% = changes.cursor;
                "target {} of incarnation {} takes {}% of the usual time, says the leader",
                speed.target,
                speed.incarnation,
                speed.percent
            );
        }
        self.balancer.borrow_mut().apply_speeds(changes);
    }
}
