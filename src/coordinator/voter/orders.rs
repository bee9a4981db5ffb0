//! Which daemon gives orders to engines: a new leader waits until the one before gives none.

use std::rc::Rc;
use std::time::Duration;

use super::{Voter, VoterConfig};
use crate::control::{commands, orders};
use crate::coordinator::leader::Leader;
use crate::coordinator::message::{Reply, Request};
use crate::coordinator::takeover::{self, LastOrder, TakeoverStep};
use crate::ids::{DaemonId, Term};

/// Timeout and number of attempts of the request for the last order of another daemon.
const LAST_ORDER_TIMEOUT_MS: u64 = 300;
const LAST_ORDER_ATTEMPTS: u32 = 2;
/// Pause before recording the sender of orders is retried.
const RECORD_RETRY_PAUSE: Duration = Duration::from_millis(50);

impl Voter {
    /// Allows a new leader to send orders once no other daemon sends any and its id is recorded.
    pub(super) async fn allow_orders(self: Rc<Self>, leader: Rc<Leader>) {
        let last = self.machine.borrow().borrow().state().orders.giver().cloned();
        let delegated = self.contact_delegates(&leader);
        if let Some(delegated) = delegated.as_ref().filter(|delegated| delegated.has_slots()) {
            return self.run_delegates(leader, Rc::clone(delegated)).await;
        }
        match takeover::decide_takeover(&self.config.own_id, leader.term(), last.as_ref()) {
            TakeoverStep::Proceed => {
                delegated.iter().for_each(|delegated| self.send_orders_alone(delegated));
                return leader.allow_orders();
            }
            TakeoverStep::Record => {}
            TakeoverStep::WaitAndRecord(giver) => {
                let last = self.last_order_of(giver.as_ref(), leader.term()).await;
                let VoterConfig { takeover_ms, checks_fencing, .. } = self.config;
                let wait_ms = takeover::takeover_wait_ms(takeover_ms, checks_fencing, last);
                log::info!(
                    term = leader.term().0, wait_ms = wait_ms, giver:? = giver, last_order:? = last;
                    "orders in {wait_ms} ms: the last ones of {giver:?}: {last:?}"
                );
                tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            }
        }
        if let Some(delegated) = delegated {
            if self.deal_slots(&leader, &delegated).await {
                return self.run_delegates(leader, delegated).await;
            }
            self.send_orders_alone(&delegated);
        }
        while !leader.is_stopped() {
            let giver = orders::Command { giver: self.config.own_id.clone() };
            if self.record(commands::Command::Orders(giver)).await {
                return leader.allow_orders();
            }
            tokio::time::sleep(RECORD_RETRY_PAUSE).await;
        }
    }

    /// Requests the time of the last order from the daemon that sent it.
    async fn last_order_of(&self, giver: Option<&DaemonId>, term: Term) -> LastOrder {
        let Some(giver) = giver else { return LastOrder::Unknown };
        for _ in 0..LAST_ORDER_ATTEMPTS {
            let asked =
                self.client.ask(giver, Request::LastOrder(term), LAST_ORDER_TIMEOUT_MS).await;
            if let Ok(Reply::LastOrder(last)) = asked {
                return last;
            }
        }
        LastOrder::Unknown
    }

    /// Reports this daemon's last order to the leader of `term`. A local leader of an earlier term is
    /// stopped.
    pub(super) fn last_order(&self, term: Term) -> LastOrder {
        let is_earlier = |leader: &Rc<Leader>| leader.term() < term;
        if self.leader.borrow().as_ref().is_some_and(is_earlier) {
            self.stop_leading();
        }
        let ago_ms = |at_ms| self.config.clock.now_ms().saturating_sub(at_ms);
        self.last_order_ms.get().map_or(LastOrder::Unknown, |at_ms| LastOrder::Ago(ago_ms(at_ms)))
    }
}
