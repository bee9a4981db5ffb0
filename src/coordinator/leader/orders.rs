//! Executes the actions of the placement planners at engines.

use std::rc::Weak;

use futures::future::LocalBoxFuture;

use super::Leader;
use crate::ids::{Incarnation, TargetId};
use crate::membership::table::TableChange;
use crate::placement::swap;
use crate::target::order;

/// Sends orders of the leader over other daemons.
pub trait OrderRoute {
    /// Sends an order and waits for the response. [`swap::OrderReply::Conflict`] if it certainly was not sent.
    fn send(&self, order: swap::Order) -> LocalBoxFuture<'static, swap::OrderReply>;
}

impl Leader {
    pub(super) fn execute_actions(&self, actions: Vec<swap::Action>) {
        let mut changes = Vec::new();
        for action in actions {
            match action {
                swap::Action::ReplicasChanged(target) => {
                    let entry = self.feed.borrow().table().find(&target).cloned();
                    changes.extend(entry.map(TableChange::Put));
                }
                swap::Action::SendOrder(order) => self.send_order(order),
                swap::Action::RequestReport { target, incarnation, address } => {
                    self.read_state(target, incarnation, address);
                }
            }
        }
        if !changes.is_empty() {
            let shown = changes.into_iter().map(|change| self.with_replicas(change)).collect();
            self.push_changes(shown);
        }
        self.wake.notify_one();
    }

    /// Logs and counts what the planners decided since the last call.
    pub(super) fn report_placement(&self) {
        for (service, planner) in self.planners.borrow_mut().iter_mut() {
            for load in planner.take_started_loads() {
                let swap::StartedLoad { model, target, source, reason, victim, .. } = &load;
                let labels = [("source", format!("{source:?}")), ("reason", format!("{reason:?}"))];
                metrics::counter!("fescuebay_model_loads_total", &labels).increment(1);
                log::info!(
                    target_id:% = target, model:% = model, source:? = source, reason:? = reason,
                    victim:? = victim, gain = load.gain, waiting = load.waiting,
                    replicas = load.replicas, copies = load.copies;
                    "{model} is loaded at {target} from {source:?}: {reason:?}"
                );
            }
            if let Some(summary) = planner.take_summary() {
                let limit = planner.store_load_limit();
                metrics::gauge!("fescuebay_store_loads_at_full_speed", "service" => service.to_string())
                    .set(limit as f64);
                log::info!(service:% = service, store_loads = limit; "placement of {service}: {summary}");
            }
        }
    }

    fn send_order(&self, order: swap::Order) {
        // The lease is checked immediately before sending: a process that resumes after a pause
        // still considers itself the leader.
        if !(self.context.is_leased)() {
            log::warn!("order {} of term {} is held back: no lease", order.ticket, self.term);
            let (target, ticket) = (order.target, order.ticket);
            self.queue_event(swap::Event::OrderAnswered {
                target,
                ticket,
                reply: swap::OrderReply::Lost,
            });
            return;
        }
        let clock = self.context.clock;
        let sent_ms = clock.now_ms();
        let (target, ticket) = (order.target.clone(), order.ticket);
        let line = format!("{:?} {} at {target}", order.operation, order.model);
        let route = self.order_route.borrow().clone();
        let answered = match route {
            Some(route) => route.send(order),
            None => {
                self.last_order_ms.set(Some(sent_ms));
                self.context.engines.send_order(self.context.own_id.clone(), order)
            }
        };
        self.spawn(async move {
            let reply = answered.await;
            log::info!(
                target_id:% = target, order:% = ticket, answered_after_ms = clock.now_ms() - sent_ms,
                reply:? = reply;
                "order {ticket}: {line}: {reply:?}"
            );
            swap::Event::OrderAnswered { target, ticket, reply }
        });
    }

    fn read_state(
        &self,
        target: TargetId,
        incarnation: Incarnation,
        address: std::net::SocketAddr,
    ) {
        let asked = self.context.engines.read_state(target.clone(), incarnation, address);
        self.spawn(async move { swap::Event::EngineReport { target, report: asked.await } });
    }

    fn queue_event(&self, event: swap::Event) {
        self.spawn(async move { event });
    }

    fn spawn(&self, event: impl Future<Output = swap::Event> + 'static) {
        let own = Weak::clone(&self.own);
        let task = tokio::task::spawn_local(async move {
            let event = event.await;
            if let Some(leader) = own.upgrade() {
                leader.broadcast_event(&event);
            }
        });
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    /// Passes an event of one target to the planner of its service.
    pub(super) fn send_to_planner(&self, state: &order::State, event: swap::Event) {
        let Some(service) = state.services.first() else { return };
        let now_ms = self.context.clock.now_ms();
        let mut planners = self.planners.borrow_mut();
        if let Ok(at) = planners.binary_search_by(|(name, _)| name.cmp(service)) {
            let actions = planners[at].1.handle_event(now_ms, event);
            drop(planners);
            self.execute_actions(actions);
        }
    }

    /// Passes a placement event to all planners. Those that do not know its target ignore it.
    pub(super) fn broadcast_event(&self, event: &swap::Event) {
        let now_ms = self.context.clock.now_ms();
        let mut actions = Vec::new();
        for (_, planner) in self.planners.borrow_mut().iter_mut() {
            actions.extend(planner.handle_event(now_ms, event.clone()));
        }
        self.execute_actions(actions);
    }
}
