//! What the leader tells its followers, and what they tell it.

use std::rc::Weak;
use std::time::Duration;

use super::Leader;
use crate::coordinator::follow;
use crate::coordinator::loads;
use crate::coordinator::message::{News, Watch};
use crate::ids::DaemonId;
use crate::placement::swap;
use crate::placement::swap::demand;

/// Followers are woken at most once in a time that grows with the routers: a millisecond for each of
/// these.
const ROUTERS_PER_MS: u64 = 2;
/// The longest time between two wakes.
const MAX_GAP_MS: u64 = 100;

impl Leader {
    /// Those who wait look again for news, soon: changes that come close together make one answer
    /// to each follower.
    pub(super) fn tell(&self) {
        if self.is_stopped.get() {
            return self.news.send_modify(|number| *number += 1);
        }
        if self.is_telling.replace(true) {
            return;
        }
        let gap_ms = (self.routers.borrow().len() as u64 / ROUTERS_PER_MS).clamp(1, MAX_GAP_MS);
        let due_ms = self.told_ms.get() + gap_ms;
        let wait_ms = due_ms.saturating_sub(self.parts.clock.now_ms());
        let own = Weak::clone(&self.own);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            if let Some(leader) = own.upgrade() {
                leader.is_telling.set(false);
                leader.told_ms.set(leader.parts.clock.now_ms());
                leader.news.send_modify(|number| *number += 1);
            }
        });
    }

    /// Takes what a router has waiting and running.
    pub fn usage(&self, from: &DaemonId, usage: demand::RouterDemand) {
        let now_ms = self.parts.clock.now_ms();
        self.loads.borrow_mut().take(now_ms, from, &usage.running);
        self.take_leaving(&usage.leaving);
        let mut actions = Vec::new();
        for (_, planner) in self.planners.borrow_mut().iter_mut() {
            actions.extend(
                planner
                    .handle_event(now_ms, swap::Event::RouterDemand(from.clone(), usage.clone())),
            );
        }
        self.carry_out(actions);
    }

    /// Answers a follower, at once if there is news, else after a while. `None` if this leader
    /// cannot be sure that it still leads.
    pub async fn watch(
        &self,
        from: &DaemonId,
        watch: Watch,
        voters: Vec<DaemonId>,
    ) -> Option<News> {
        if watch.is_router {
            self.count_router(from);
            self.usage(from, watch.usage.clone());
        }
        let mut news = self.news.subscribe();
        let held = tokio::time::sleep(follow::HOLD);
        tokio::pin!(held);
        loop {
            news.borrow_and_update();
            if self.is_stopped.get() || self.has_news(&watch) {
                break;
            }
            tokio::select! {
                () = &mut held => break,
                _ = news.changed() => {}
            }
        }
        let news = self.news_for(from, &watch, voters);
        let is_sure = !self.is_stopped.get() && (self.parts.is_leased)();
        is_sure.then_some(news)
    }

    fn has_news(&self, watch: &Watch) -> bool {
        self.feed.borrow().cursor() != watch.cursor || self.has_document_for(watch)
    }

    /// Whether there is a document that a router lacks. Voters have it in their log.
    fn has_document_for(&self, watch: &Watch) -> bool {
        watch.is_router && self.version() > watch.routes
    }

    /// What a router is told of requests at targets; voters need none of it.
    fn loads_for(&self, from: &DaemonId, watch: &Watch) -> loads::Changes {
        if !watch.is_router {
            return loads::Changes::none(watch.loads);
        }
        let (now_ms, routers) = (self.parts.clock.now_ms(), self.routers.borrow().len());
        self.loads.borrow_mut().tell(now_ms, from, watch.loads, routers)
    }

    fn news_for(&self, from: &DaemonId, watch: &Watch, voters: Vec<DaemonId>) -> News {
        let is_newer = self.has_document_for(watch);
        News {
            term: self.term,
            batch: self.feed.borrow().since(watch.cursor),
            document: self.document.borrow().clone().filter(|_| is_newer),
            routers: self.routers.borrow().len().max(1) as u32,
            loads: self.loads_for(from, watch),
            voters,
        }
    }

    fn count_router(&self, router: &DaemonId) {
        let now_ms = self.parts.clock.now_ms();
        let mut routers = self.routers.borrow_mut();
        match routers.binary_search_by(|(known, _)| known.cmp(router)) {
            Ok(at) => routers[at].1 = now_ms,
            Err(at) => routers.insert(at, (router.clone(), now_ms)),
        }
    }
}
