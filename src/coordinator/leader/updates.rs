//! Answers the long polls of followers with updates, and processes the usage that they report.

use std::rc::Weak;
use std::time::Duration;

use super::Leader;
use crate::coordinator::follow;
use crate::coordinator::loads;
use crate::coordinator::message::{WatchRequest, WatchResponse};
use crate::ids::DaemonId;
use crate::placement::swap;
use crate::placement::swap::demand;
use crate::placement::swap::expected::ExpectedLoad;

/// The minimum time between two notifications of followers grows by one millisecond for each of this
/// many routers.
const ROUTERS_PER_MS: u64 = 2;
/// Upper bound of the minimum time between two notifications.
const MAX_NOTIFY_INTERVAL_MS: u64 = 100;

impl Leader {
    /// Schedules a notification of waiting followers. Changes in quick succession are combined into
    /// one response to each follower.
    pub(super) fn notify_followers(&self) {
        if self.is_stopped.get() {
            return self.update_count.send_modify(|number| *number += 1);
        }
        if self.is_notify_pending.replace(true) {
            return;
        }
        let interval_ms =
            (self.routers.borrow().len() as u64 / ROUTERS_PER_MS).clamp(1, MAX_NOTIFY_INTERVAL_MS);
        let due_ms = self.last_notified_ms.get() + interval_ms;
        let wait_ms = due_ms.saturating_sub(self.context.clock.now_ms());
        let own = Weak::clone(&self.own);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            if let Some(leader) = own.upgrade() {
                leader.is_notify_pending.set(false);
                leader.last_notified_ms.set(leader.context.clock.now_ms());
                leader.update_count.send_modify(|number| *number += 1);
            }
        });
    }

    /// Processes the requests waiting and running at a router.
    pub fn record_usage(&self, from: &DaemonId, usage: demand::RouterDemand) {
        let now_ms = self.context.clock.now_ms();
        self.loads.borrow_mut().record_running(now_ms, from, &usage.running);
        self.record_leaving(&usage.leaving);
        self.note_lost_services(from, &usage.lost_services);
        if let Some(report) = &usage.speeds {
            self.record_speeds(now_ms, from, &report.samples);
        }
        let mut actions = Vec::new();
        for (_, planner) in self.planners.borrow_mut().iter_mut() {
            actions.extend(
                planner
                    .handle_event(now_ms, swap::Event::RouterDemand(from.clone(), usage.clone())),
            );
        }
        self.execute_actions(actions);
    }

    /// Answers a long poll, at once if there are updates, otherwise after a timeout. `None` if this
    /// leader may no longer be the leader.
    pub async fn answer_watch(
        &self,
        from: &DaemonId,
        watch: WatchRequest,
        voters: Vec<DaemonId>,
    ) -> Option<WatchResponse> {
        if watch.is_router {
            self.note_router(from, &watch);
            self.record_usage(from, watch.usage.clone());
        }
        let mut updates = self.update_count.subscribe();
        let timeout = tokio::time::sleep(follow::LONG_POLL_TIMEOUT);
        tokio::pin!(timeout);
        loop {
            updates.borrow_and_update();
            if self.is_stopped.get() || self.has_updates(&watch) {
                break;
            }
            tokio::select! {
                () = &mut timeout => break,
                _ = updates.changed() => {}
            }
        }
        let response = self.build_response(from, &watch, voters);
        let is_sure = !self.is_stopped.get() && (self.context.is_leased)();
        is_sure.then_some(response)
    }

    fn has_updates(&self, watch: &WatchRequest) -> bool {
        self.feed.borrow().cursor() != watch.cursor
            || self.has_document_for(watch)
            || self.has_rate_limits_for(watch)
            || self.has_brittle_for(watch)
            || self.has_suspects_for(watch)
            || self.has_mixed_services_for(watch)
    }

    /// Whether a follower was told other services with several software versions.
    fn has_mixed_services_for(&self, watch: &WatchRequest) -> bool {
        self.software.borrow().cursor != watch.mixed_services
    }

    /// Whether a follower has other statements of targets on their rate limits. Voters keep them
    /// for when they lead.
    fn has_rate_limits_for(&self, watch: &WatchRequest) -> bool {
        self.rate_limits_cursor.get() != watch.rate_limits
    }

    /// Whether a follower was told other targets to be brittle. Voters keep them for when they lead.
    fn has_brittle_for(&self, watch: &WatchRequest) -> bool {
        self.brittle_cursor.get() != watch.brittle
    }

    /// Whether a follower was told something else of what may crash targets. Voters keep it for when
    /// they lead.
    fn has_suspects_for(&self, watch: &WatchRequest) -> bool {
        self.suspects_cursor.get() != watch.suspects
    }

    /// Whether there is a newer document for a router. Voters have it in their log.
    fn has_document_for(&self, watch: &WatchRequest) -> bool {
        watch.is_router && self.version() > watch.routes
    }

    /// Returns the changed request totals for a router. Voters do not use them.
    fn loads_for(&self, from: &DaemonId, watch: &WatchRequest) -> loads::LoadChanges {
        if !watch.is_router {
            return loads::LoadChanges::none(watch.loads);
        }
        let (now_ms, routers) = (self.context.clock.now_ms(), self.routers.borrow().len());
        self.loads.borrow_mut().changes_for_router(now_ms, from, watch.loads, routers)
    }

    fn build_response(
        &self,
        from: &DaemonId,
        watch: &WatchRequest,
        voters: Vec<DaemonId>,
    ) -> WatchResponse {
        let is_newer = self.has_document_for(watch);
        WatchResponse {
            term: self.term,
            batch: self.feed.borrow().since(watch.cursor),
            document: self.document.borrow().clone().filter(|_| is_newer),
            routers: self.routers.borrow().len().max(1) as u32,
            loads: self.loads_for(from, watch),
            rate_limits: self.has_rate_limits_for(watch).then(|| {
                let now_ms = self.context.clock.now_ms();
                (self.rate_limits_cursor.get(), self.permits.borrow().statements(now_ms))
            }),
            brittle: self.has_brittle_for(watch).then(|| {
                let now_ms = self.context.clock.now_ms();
                (self.brittle_cursor.get(), self.slots.borrow().news(now_ms))
            }),
            suspects: self.has_suspects_for(watch).then(|| {
                let now_ms = self.context.clock.now_ms();
                (self.suspects_cursor.get(), self.suspects.borrow().statements(now_ms))
            }),
            mixed_services: self
                .has_mixed_services_for(watch)
                .then(|| self.software.borrow().mixed()),
            voters,
            expected_loads: self.expected_loads_for(from, watch),
            speeds: watch
                .usage
                .speeds
                .as_ref()
                .and_then(|report| self.speeds.borrow().changes_since(report.cursor)),
        }
    }

    /// When the models are expected to be loaded that requests wait for at a router. The router has
    /// reported them with this poll or after it.
    fn expected_loads_for(&self, from: &DaemonId, watch: &WatchRequest) -> Vec<ExpectedLoad> {
        if !watch.is_router {
            return Vec::new();
        }
        let now_ms = self.context.clock.now_ms();
        let planners = self.planners.borrow();
        planners.iter().flat_map(|(_, planner)| planner.expected_loads(now_ms, from)).collect()
    }
}
