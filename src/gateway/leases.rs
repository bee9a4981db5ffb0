//! The slots that a router leases at brittle targets: what is asked of the leader, and what it grants.

use std::rc::Rc;
use std::time::Duration;

use super::balancer::TargetChoice;
use super::reservation::SlotReservation;
use super::state::RouterState;
use super::wait_limit;
use crate::coordinator::client::VoterClient;
use crate::coordinator::message::{Reply, Request};
use crate::ids::ServiceName;
use crate::rate_limit::TargetLife;
use crate::rate_limit::statements::StatedAt;
use crate::slot_lease::Statement;
use crate::slot_lease::message::{BrittleNews, LeaseRequest};
use crate::slot_lease::pool::Ending;

/// Pause before slots are asked for, so that a burst of requests causes one message.
const ASK_PAUSE: Duration = Duration::from_millis(2);
/// Timeout of asking the leader.
const ASK_TIMEOUT_MS: u64 = 300;

/// Asks the leader for slots of brittle targets, and gives unused ones back.
pub(super) async fn ask_slots(client: Rc<VoterClient>, router: Rc<RouterState>) {
    loop {
        wait_until_due(&router).await;
        tokio::time::sleep(ASK_PAUSE).await;
        if let Some(request) = router.take_lease_request() {
            ask(&client, &router, request).await;
        }
        router.dispatch_waiting();
    }
}

/// Waits until slots are wanted, or something changes with time.
async fn wait_until_due(router: &RouterState) {
    let wanted = router.slots_wanted.notified();
    let now_ms = router.now_ms();
    let next_ms = router.balancer.borrow().leases().next_change_ms(now_ms);
    match next_ms {
        Some(at_ms) => {
            let wait = Duration::from_millis(at_ms - now_ms);
            tokio::select! {
                () = wanted => {}
                () = tokio::time::sleep(wait) => {}
            }
        }
        None => wanted.await,
    }
}

async fn ask(client: &VoterClient, router: &RouterState, request: LeaseRequest) {
    let asked_ms = router.now_ms();
    let message = Request::LeaseSlots(Box::new(request.clone()));
    let reply = client.ask_leader(&message, ASK_TIMEOUT_MS, ASK_TIMEOUT_MS).await;
    let now_ms = router.now_ms();
    let mut balancer = router.balancer.borrow_mut();
    match reply {
        Ok(Reply::LeasedSlots(grants)) => {
            balancer.leases_mut().apply_grants(now_ms, asked_ms, &request, &grants);
        }
        other => {
            log::info!("no leader leases slots: {:?}", other.err());
            metrics::counter!("fescuebay_lease_asks_lost_total").increment(1);
            balancer.leases_mut().set_leader_lost(&request);
        }
    }
}

impl RouterState {
    fn take_lease_request(&self) -> Option<LeaseRequest> {
        let queue = self.queue.borrow();
        let waiting = |life: &TargetLife| queue.waiting_by_rank(life);
        self.balancer.borrow_mut().take_lease_request(self.now_ms(), waiting)
    }

    /// Whether a request of this rank gets a slot of a brittle target too late; `None` if that is not known.
    pub(super) fn is_slot_late(
        &self,
        choice: TargetChoice,
        service: &ServiceName,
        rank: u8,
        give_up_ms: u64,
    ) -> Option<bool> {
        let TargetChoice::AwaitSlot { ahead, interval_us, .. } = choice else { return None };
        let now_ms = self.now_ms();
        let urgent_per_ms = self.arrival_rates.borrow().before_per_ms(now_ms, service, rank);
        let wait_ms = wait_limit::expected_slot_wait_ms(ahead, interval_us, urgent_per_ms)?;
        Some(now_ms.saturating_add(wait_ms) > give_up_ms)
    }

    /// Records that a target turned a request away.
    pub(super) fn note_rejected(&self, reservation: &mut SlotReservation) {
        reservation.note_ended(Ending::NotRun);
        let (now_ms, life) = (self.now_ms(), reservation.life());
        let mut balancer = self.balancer.borrow_mut();
        if balancer.leases().limit(&life.target, life.incarnation).is_none() {
            return;
        }
        balancer.leases_mut().record_rejection(now_ms, &life);
        drop(balancer);
        log::info!(
            target_id:% = life.target, life = life.incarnation.0, in_flight = reservation.in_flight;
            "brittle target {} turned a request away", life.target
        );
        metrics::counter!("fescuebay_brittle_rejections_total").increment(1);
        self.slots_wanted.notify_one();
    }

    /// Records what a target said in a response about how brittle it is.
    pub(super) fn note_brittle(&self, life: &TargetLife, statement: Statement, at: StatedAt) {
        let mut balancer = self.balancer.borrow_mut();
        if !balancer.leases_mut().record(at.read_ms, life, statement, at) {
            return;
        }
        drop(balancer);
        let TargetLife { target, incarnation } = life;
        let sent_age_ms = at.age_ms();
        log::info!(
            target_id:% = target, life = incarnation.0, sent_age_ms = sent_age_ms,
            brittle:? = statement;
            "target {target} of incarnation {incarnation} says in an answer to a request of \
             {sent_age_ms} ms ago: brittle {statement:?}"
        );
        metrics::counter!("fescuebay_brittle_changes_total").increment(1);
        self.slots_wanted.notify_one();
    }

    /// Applies what brittle targets said to other routers.
    pub(super) fn apply_brittle_news(&self, told: &[BrittleNews]) {
        let now_ms = self.now_ms();
        for news in told {
            let mut balancer = self.balancer.borrow_mut();
            if balancer.leases_mut().record_told(now_ms, news) {
                let statement = &news.statement;
                log::info!(
                    target_id:% = statement.life.target, life = statement.life.incarnation.0,
                    max_rejections:? = statement.limit.map(|limit| limit.0),
                    sent_age_ms = statement.sent_age_ms, read_age_ms = statement.read_age_ms;
                    "target {} of incarnation {} said to another router {} ms ago: brittle {:?}",
                    statement.life.target,
                    statement.life.incarnation,
                    statement.read_age_ms,
                    statement.limit
                );
            }
        }
        self.slots_wanted.notify_one();
        self.dispatch_waiting();
    }
}
