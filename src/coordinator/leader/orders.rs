//! How the leader has the actions of its planners carried out at engines.

use std::rc::Weak;

use super::Leader;
use crate::ids::{Incarnation, TargetId};
use crate::membership::table::TableChange;
use crate::placement::swap;
use crate::target::order;

impl Leader {
    pub(super) fn carry_out(&self, actions: Vec<swap::Action>) {
        let mut changes = Vec::new();
        for action in actions {
            match action {
                swap::Action::Changed(target) => {
                    let entry = self.feed.borrow().table().find(&target).cloned();
                    changes.extend(entry.map(TableChange::Put));
                }
                swap::Action::Send(order) => self.send(order),
                swap::Action::Read { target, incarnation, address } => {
                    self.read(target, incarnation, address);
                }
            }
        }
        if !changes.is_empty() {
            let shown = changes.into_iter().map(|change| self.with_replicas(change)).collect();
            self.push(shown);
        }
        self.wake.notify_one();
    }

    fn send(&self, order: swap::Order) {
        // The lease is looked at right before, because a leader that was frozen wakes as one.
        if !(self.parts.is_leased)() {
            log::warn!("order {} of term {} is held back: no lease", order.ticket, self.term);
            let (target, ticket) = (order.target, order.ticket);
            self.later(swap::Event::Answered { target, ticket, reply: swap::Reply::Lost });
            return;
        }
        self.ordered_ms.set(Some(self.parts.clock.now_ms()));
        let own = self.parts.own.clone();
        let (target, ticket) = (order.target.clone(), order.ticket);
        let line = format!("{:?} {} at {target}", order.operation, order.model);
        let answered = self.parts.engines.order(own, order);
        self.spawn(async move {
            let reply = answered.await;
            log::info!("order {ticket}: {line}: {reply:?}");
            swap::Event::Answered { target, ticket, reply }
        });
    }

    fn read(&self, target: TargetId, incarnation: Incarnation, address: std::net::SocketAddr) {
        let asked = self.parts.engines.read(target.clone(), incarnation, address);
        self.spawn(async move { swap::Event::Read { target, reading: asked.await } });
    }

    fn later(&self, event: swap::Event) {
        self.spawn(async move { event });
    }

    fn spawn(&self, event: impl Future<Output = swap::Event> + 'static) {
        let own = Weak::clone(&self.own);
        let task = tokio::task::spawn_local(async move {
            let event = event.await;
            if let Some(leader) = own.upgrade() {
                leader.take_event(&event);
            }
        });
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    /// Gives an event of one target to the planner of its service.
    pub(super) fn plan_on(&self, state: &order::State, event: swap::Event) {
        let Some(service) = state.services.first() else { return };
        let now_ms = self.parts.clock.now_ms();
        let mut planners = self.planners.borrow_mut();
        if let Ok(at) = planners.binary_search_by(|(name, _)| name.cmp(service)) {
            let actions = planners[at].1.on(now_ms, event);
            drop(planners);
            self.carry_out(actions);
        }
    }

    /// Takes an event of placement: only the planner that knows its target heeds it.
    pub(super) fn take_event(&self, event: &swap::Event) {
        let now_ms = self.parts.clock.now_ms();
        let mut actions = Vec::new();
        for (_, planner) in self.planners.borrow_mut().iter_mut() {
            actions.extend(planner.on(now_ms, event.clone()));
        }
        self.carry_out(actions);
    }
}
