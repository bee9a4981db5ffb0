//! Runs a leader while this voter has leadership.

use std::rc::Rc;

use super::{Voter, origins};
use crate::consensus::node;
use crate::control::commands;
use crate::coordinator::leader::{self, Leader};
use crate::coordinator::{Error, Result};
use crate::membership::table::TargetEntry;
use crate::traffic::clock::Clock as WallClock;

impl Voter {
    /// Starts the leader when this voter gains leadership and stops it when leadership is lost.
    pub(super) async fn follow_leadership(self: &Rc<Self>, node: &node::Handle) -> Result<()> {
        let mut leadership = node.subscribe();
        loop {
            let now = leadership.borrow_and_update().clone();
            self.stop_leading();
            self.client.set_leader(now.leader.as_ref().map(|leader| leader.daemon.clone()));
            if now.is_leader {
                // Entries of earlier terms are applied only after an entry of this term is committed.
                let is_ready = node.read_barrier().await.is_ok();
                if is_ready && !leadership.has_changed().unwrap_or(true) {
                    self.start_leading(&now);
                }
            }
            if leadership.changed().await.is_err() || node.status().failure.is_some() {
                let failure = node.status().failure.unwrap_or_default();
                let error = Error { step: "write the log" };
                return Err(error_stack::Report::new(error).attach(failure));
            }
        }
    }

    fn start_leading(self: &Rc<Self>, now: &node::Leadership) {
        let entries = self.known_targets();
        let voter = Rc::downgrade(self);
        let machine = Rc::clone(&self.machine.borrow());
        let context = leader::LeaderContext {
            own_id: self.config.own_id.clone(),
            clock: self.config.clock,
            wall_clock: WallClock::system(),
            engines: Rc::clone(&self.config.engines),
            silence_timeouts: self.config.silence_timeouts,
            placement: self.config.placement,
            is_leased: Rc::new(move || {
                voter.upgrade().and_then(|voter| voter.lease_left_ms()).is_some_and(|ms| ms > 0)
            }),
            record_departure: {
                let voter = Rc::downgrade(self);
                Rc::new(move |command| {
                    let Some(voter) = voter.upgrade() else { return };
                    tokio::task::spawn_local(async move {
                        voter.record(commands::Command::Departures(command)).await;
                    });
                })
            },
            find_departure: Rc::new(move |target, life| {
                machine.borrow().state().departures.find(target, life)
            }),
            software: Rc::new(origins::LoggedSoftware { voter: Rc::downgrade(self) }),
        };
        let leader = Leader::start(now.term, context, &entries);
        leader.inherit_rate_limits(&self.following.rate_limits.borrow());
        leader.inherit_brittle(&self.following.brittle.borrow());
        leader.inherit_suspects(&self.following.suspects.borrow());
        self.led_since_ms.set(self.config.clock.now_ms());
        self.membership_requests.borrow_mut().clear();
        self.tolerated_losses.set(None);
        self.leader.replace(Some(Rc::clone(&leader)));
        leader.begin_quotas(self.config.quotas);
        self.publish_document();
        leader.end_quota_takeover();
        tokio::task::spawn_local(Rc::clone(self).allow_orders(leader));
    }

    /// The targets that a new leader begins with: those that the last leader told of. A voter that has followed
    /// none since its start takes those that it knew before.
    fn known_targets(&self) -> Vec<TargetEntry> {
        let followed = self.following.feed.borrow().table().entries().to_vec();
        let is_new = self.following.silent_ms().is_none() && self.led_since_ms.get() == 0;
        match &self.config.cached_targets {
            Some(cached) if is_new && followed.is_empty() => cached.clone(),
            _ => followed,
        }
    }

    pub(super) fn stop_leading(&self) {
        self.delegated.replace(None);
        if let Some(leader) = self.leader.take() {
            leader.stop();
            self.last_order_ms.set(leader.last_order_ms().or(self.last_order_ms.get()));
        }
    }
}
