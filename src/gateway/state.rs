//! State of a router that all of its requests share.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::sync::{Notify, oneshot, watch};

use super::arrivals::ArrivalRates;
use super::balancer::{Balancer, TargetChoice, TargetQuery};
use super::choice::{PermitClaims, PermitUse};
use super::helpers::Helpers;
use super::pool::ConnectionPool;
use super::queue::{RequestQueue, WaiterId, WaitingRequest};
use super::reach::Reachability;
use super::reservation::SlotReservation;
use super::retry_budget::{RetryBudget, RetryBudgetSettings};
use super::{RequestProtocol, TargetNotice, events, origins};
use crate::clock::BootClock;
use crate::coordinator::client::VoterClient;
use crate::ids::{Incarnation, ModelRef, ServiceName, TargetId, Zone};
use crate::membership::feed;
use crate::origins::recent::RecentStreams;
use crate::placement::swap::demand;
use crate::poison::view::View;
use crate::rate_limit::TargetLife;
use crate::rate_limit::permits::PermitPool;
use crate::rate_limit::statements::StatedAt;
use crate::routes::index;
use crate::slot_lease::pool::{Ending, LeasePool};
use crate::web;

/// Upper bound of the memory for request bodies: the VM of a router has little memory.
const MAX_BODIES_BYTES: usize = 32 << 20;

/// Sends a waiting request its slot reservation, or the reason why it cannot get one.
type ReservationSender = oneshot::Sender<Result<SlotReservation, TargetChoice>>;

/// The state of a router, shared by all of its requests.
pub struct RouterState {
    own: Weak<RouterState>,
    /// The local address of connections to targets.
    pub(super) own_ip: IpAddr,
    /// Where this router runs.
    pub(super) zone: Zone,
    pub(super) clock: BootClock,
    pub(super) protocol: &'static dyn RequestProtocol,
    pub(super) index: watch::Sender<Option<Rc<index::Index>>>,
    pub(super) balancer: RefCell<Balancer>,
    pub(super) budget: RefCell<RetryBudget>,
    pub(super) pool: RefCell<ConnectionPool>,
    /// Reads request bodies within a memory limit.
    pub(super) body_reader: web::intake::Intake,
    pub(super) queue: RefCell<RequestQueue>,
    /// How often requests come.
    pub(super) arrival_rates: RefCell<ArrivalRates>,
    senders: RefCell<Vec<(WaiterId, ReservationSender)>>,
    arrivals: RefCell<Vec<(ModelRef, u32)>>,
    pub(super) last_update_ms: Cell<Option<u64>>,
    /// The version of the target table that targets are chosen from.
    pub(super) table_version: Cell<feed::FeedCursor>,
    /// When this router began to learn of the targets from its current leader.
    pub(super) discovery_since_ms: Cell<Option<u64>>,
    /// Notified when demand should be reported to the leader at once.
    pub(super) demand_changed: Notify,
    /// Notified when the leader should be asked for permits, or told of a rate limit.
    pub(super) permits_wanted: Notify,
    /// Notified when a permit may start earlier than was known.
    pub(super) permits_changed: Notify,
    /// Notified when the leader should be asked for slots of brittle targets.
    pub(super) slots_wanted: Notify,
    /// Requests that may crash targets, as far as this router knows.
    pub(super) poison: RefCell<View>,
    /// Notified when there is something to report of such requests.
    pub(super) poison_observed: Notify,
    /// Notified when the leader has told of such requests.
    pub(super) standings_changed: Notify,
    /// What is known of the paths to targets.
    pub(super) reach: RefCell<Reachability>,
    /// Notified when a service is out of reach, or in reach again.
    pub(super) reach_changed: Notify,
    /// The routers that forward requests for this one.
    pub(super) helpers: RefCell<Helpers>,
    /// Notified when the leader has named others.
    pub(super) helpers_changed: Notify,
    /// Requests that this router handles for others now.
    pub(super) forwarded_requests: Cell<usize>,
    /// The port at which routers take requests of each other.
    pub(super) forward_port: u16,
    /// Streams that began at this router.
    pub(super) recent_streams: RefCell<RecentStreams>,
    /// Notified when the leader may have to be told of streams.
    pub(super) streams_begun: Notify,
    /// Notified when the leader was told of streams.
    pub(super) streams_told: Notify,
    /// How long streams are collected before the leader is told.
    pub(super) report_pauses: Cell<origins::ReportPauses>,
    /// Requests that wait to learn who began their streams.
    pub(super) origin_queries: RefCell<Vec<origins::WaitingQuery>>,
    /// Notified when the leader should be asked.
    pub(super) origins_wanted: Notify,
    /// The client of the voters, once the router runs.
    pub(super) voters: RefCell<Option<Rc<VoterClient>>>,
    /// When the process is going to exit, once it is shutting down.
    exit_at_ms: watch::Sender<Option<u64>>,
    salt: Cell<u64>,
}

/// Builds a [`RouterState`].
pub struct RouterStateBuilder {
    own_ip: IpAddr,
    zone: Zone,
    protocol: &'static dyn RequestProtocol,
    clock: BootClock,
    budget: RetryBudgetSettings,
    forward_port: u16,
}

impl RouterState {
    /// Creates a builder for a router in `zone` that connects to targets from `own_ip`.
    pub fn builder(
        own_ip: IpAddr,
        zone: Zone,
        protocol: &'static dyn RequestProtocol,
    ) -> RouterStateBuilder {
        let budget = RetryBudgetSettings { ratio: 0.1, slack: 10.0, window_ms: 10_000 };
        let clock = BootClock::system();
        RouterStateBuilder { own_ip, zone, protocol, clock, budget, forward_port: 0 }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Whether the router can serve requests: it has a document and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.index().is_some() && self.exit_at_ms.borrow().is_none()
    }

    /// The document in force, indexed for lookups.
    pub(super) fn index(&self) -> Option<Rc<index::Index>> {
        self.index.borrow().clone()
    }

    /// The document in force; waits up to `limit_ms` for the first one.
    pub(super) async fn document_within(&self, limit_ms: u64) -> Option<Rc<index::Index>> {
        if let Some(index) = self.index() {
            return Some(index);
        }
        let mut documents = self.index.subscribe();
        let limit = Duration::from_millis(limit_ms);
        let known = tokio::time::timeout(limit, documents.wait_for(Option::is_some)).await;
        known.ok()?.ok()?.clone()
    }

    /// Time since this router began to learn of the targets from its current leader.
    pub(super) fn discovery_ms(&self) -> Option<u64> {
        Some(self.now_ms().saturating_sub(self.discovery_since_ms.get()?))
    }

    /// Sets the time at which the process exits. From now on the readiness check fails, so that the
    /// upstream load balancer sends no new requests.
    pub(super) fn plan_exit(&self, exit_at_ms: u64) {
        self.exit_at_ms.send_replace(Some(exit_at_ms));
    }

    /// Waits until the process exits in `margin_ms` or less; forever while no exit is planned.
    pub(super) async fn wait_until_exit_in(&self, margin_ms: u64) {
        let mut stops = self.exit_at_ms.subscribe();
        let exit_at_ms = match stops.wait_for(Option::is_some).await {
            Ok(exit_at_ms) => exit_at_ms.unwrap_or_default(),
            // This router owns the sender, so it outlives every waiting task.
            Err(_) => return std::future::pending().await,
        };
        let remaining_ms = exit_at_ms.saturating_sub(margin_ms).saturating_sub(self.now_ms());
        tokio::time::sleep(Duration::from_millis(remaining_ms)).await;
    }

    /// Whether the process exits in `margin_ms` or less.
    pub(super) fn exits_in(&self, margin_ms: u64) -> bool {
        let exit_at_ms = *self.exit_at_ms.borrow();
        exit_at_ms.is_some_and(|at_ms| at_ms.saturating_sub(margin_ms) <= self.now_ms())
    }

    /// Waits until all targets of a service are out of reach.
    pub(super) async fn wait_until_lost(&self, service: &ServiceName) {
        loop {
            let changed = self.reach_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.reach.borrow().is_lost(service) {
                return;
            }
            changed.await;
        }
    }

    /// Time since the last update from a leader.
    pub(super) fn table_age_ms(&self) -> Option<u64> {
        Some(self.now_ms().saturating_sub(self.last_update_ms.get()?))
    }

    /// Counts a request for a model, as input of placement.
    pub(super) fn record_arrival(&self, model: &ModelRef) {
        let mut arrivals = self.arrivals.borrow_mut();
        match arrivals.binary_search_by(|(known, _)| known.cmp(model)) {
            Ok(at) => arrivals[at].1 += 1,
            Err(at) => arrivals.insert(at, (model.clone(), 1)),
        }
    }

    /// Reserves a slot at the best target, if one is free now.
    pub(super) fn try_reserve(
        &self,
        query: &TargetQuery<'_>,
        prompt_tokens: u64,
        may_await: bool,
    ) -> Result<SlotReservation, TargetChoice> {
        let claims = self.permit_claims_before(query.rank);
        let permit_use = PermitUse { claims: claims.as_ref(), may_await };
        let choice = self.balancer.borrow().choose_with(self.now_ms(), query, permit_use);
        match choice {
            TargetChoice::Selected(index) => Ok(self.reserve(index, query.model, prompt_tokens)),
            other => Err(other),
        }
    }

    fn reserve(
        &self,
        index: usize,
        model: Option<&ModelRef>,
        prompt_tokens: u64,
    ) -> SlotReservation {
        let started_ms = self.now_ms();
        let mut balancer = self.balancer.borrow_mut();
        let permit = balancer.start_request(started_ms, index, model, prompt_tokens);
        let target = balancer.target(index);
        SlotReservation {
            router: Weak::clone(&self.own),
            target: target.entry.target.clone(),
            incarnation: target.entry.incarnation,
            address: target.entry.address,
            software: target.entry.software.clone(),
            in_flight: target.in_flight(),
            table_version: self.table_version.get(),
            permit,
            model: model.cloned(),
            unread_tokens: prompt_tokens,
            started_ms,
            is_answered: false,
            ending: Ending::NotRun,
        }
    }

    /// Waits in the queue for a slot. Dropping the future removes the request from the queue.
    ///
    /// # Errors
    /// The reason why no slot can become free while the request may wait.
    pub(super) async fn wait_for_slot(
        &self,
        id: &str,
        mut waiter: WaitingRequest,
        reason: TargetChoice,
    ) -> Result<SlotReservation, TargetChoice> {
        let waiter_id = self.queue.borrow_mut().next_id();
        waiter.id = waiter_id;
        let unavailable_targets =
            self.balancer.borrow().count_unavailable(self.now_ms(), &waiter.service);
        let is_model_missing = matches!(reason, TargetChoice::NoReplica);
        waiter.awaited = self.awaited_permit(reason);
        let is_permit_awaited = waiter.awaited.is_some();
        self.queue.borrow_mut().insert(waiter);
        let (sender, reservation) = oneshot::channel();
        self.senders.borrow_mut().push((waiter_id, sender));
        let guard = QueueGuard { router: self, waiter_id };
        let queue_len = self.queue.borrow().len();
        events::emit(
            id,
            &events::RequestEvent::Queued {
                reason: wait_reason(reason),
                queue_len,
                unavailable_targets,
            },
        );
        if is_model_missing {
            self.demand_changed.notify_one();
        }
        if is_permit_awaited {
            self.permits_wanted.notify_one();
            self.permits_changed.notify_one();
            self.slots_wanted.notify_one();
        }
        let reservation = reservation.await;
        drop(guard);
        // The sender is kept for as long as the request waits.
        reservation.unwrap_or(Err(reason))
    }

    /// Assigns free slots to waiting requests, in queue order.
    pub(super) fn dispatch_waiting(&self) {
        if self.queue.borrow().is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let mut claims = PermitClaims::default();
        let mut is_permit_wanted = false;
        let served = self.queue.borrow_mut().take_placed(|waiter| {
            let query = TargetQuery {
                service: &waiter.service,
                model: waiter.model.as_ref(),
                prompt_prefix: waiter.prompt_prefix,
                avoided_targets: &waiter.avoided_targets,
                continuation: &waiter.continuation,
                rank: waiter.rank,
                salt: self.salt.get(),
            };
            let permit_use = PermitUse { claims: Some(&claims), may_await: waiter.may_await };
            let choice = self.balancer.borrow().choose_with(now_ms, &query, permit_use);
            waiter.awaited = self.awaited_permit(choice);
            if let Some(awaited) = &waiter.awaited {
                claims.add(awaited.life.clone(), !awaited.has_alternative);
                is_permit_wanted = true;
            }
            match choice {
                TargetChoice::Selected(index) => {
                    Some(Ok(self.reserve(index, waiter.model.as_ref(), waiter.prompt_tokens)))
                }
                TargetChoice::AllPaused { .. } => Some(Err(choice)),
                TargetChoice::AllLimited { clears_at_ms, .. }
                    if clears_at_ms > waiter.give_up_ms =>
                {
                    Some(Err(choice))
                }
                TargetChoice::AwaitSlot { .. } if !waiter.is_judged => {
                    let (service, rank) = (&waiter.service, waiter.rank);
                    let is_late = self.is_slot_late(choice, service, rank, waiter.give_up_ms);
                    waiter.is_judged = is_late.is_some();
                    (is_late == Some(true)).then_some(Err(choice))
                }
                TargetChoice::AwaitPermit { .. }
                | TargetChoice::AwaitSlot { .. }
                | TargetChoice::AllFull
                | TargetChoice::AllLimited { .. }
                | TargetChoice::NoReplica
                | TargetChoice::NoTarget => None,
            }
        });
        if is_permit_wanted {
            self.permits_wanted.notify_one();
            self.slots_wanted.notify_one();
        }
        for (waiter, reservation) in served {
            let mut senders = self.senders.borrow_mut();
            let Some(at) = senders.iter().position(|(id, _)| *id == waiter.id) else {
                continue;
            };
            let (_, sender) = senders.swap_remove(at);
            drop(senders);
            // If the request was cancelled meanwhile, the reservation is dropped, which releases
            // the slot.
            let _ = sender.send(reservation);
        }
    }

    /// Applies a notice that a target sent in the head of the response to a request of `sent_ms`.
    pub(super) fn apply_notice(
        &self,
        target: &TargetId,
        incarnation: Incarnation,
        sent_ms: u64,
        notice: TargetNotice,
    ) {
        let life = TargetLife { target: target.clone(), incarnation };
        let at = StatedAt { sent_ms, read_ms: self.now_ms() };
        let mut balancer = self.balancer.borrow_mut();
        let is_changed = balancer.permits_mut().record(at.read_ms, &life, notice.rate_limit, at);
        drop(balancer);
        self.note_brittle(target, incarnation, notice.brittle, at);
        if is_changed {
            log::info!(
                target_id:% = target, life = incarnation.0,
                sent_age_ms = at.read_ms.saturating_sub(sent_ms),
                rate_limit:? = notice.rate_limit;
                "target {target} of incarnation {incarnation} says in an answer to a request of {} ms \
                 ago: rate limit {:?}",
                at.read_ms.saturating_sub(sent_ms),
                notice.rate_limit
            );
            metrics::counter!("fescuebay_rate_limit_changes_total").increment(1);
            self.permits_wanted.notify_one();
            self.dispatch_waiting();
        }
        if notice.is_leaving && self.balancer.borrow_mut().record_leaving(target, incarnation) {
            log::info!(
                target_id:% = target, life = incarnation.0,
                sent_age_ms = at.read_ms.saturating_sub(sent_ms),
                table_age_ms:? = self.table_age_ms();
                "target {target} of incarnation {incarnation} says in an answer that it leaves"
            );
            metrics::counter!("fescuebay_targets_leaving_total").increment(1);
            // The leader may not know yet that the target is leaving.
            self.demand_changed.notify_one();
        }
        if notice.is_leaving {
            self.pool.borrow_mut().close_target(target, incarnation);
        }
        let Some(pause_ms) = notice.pause_ms.filter(|pause_ms| *pause_ms > 0) else { return };
        let (now_ms, salt) = (self.now_ms(), self.next_salt());
        if self.balancer.borrow_mut().record_pause(now_ms, target, incarnation, pause_ms, salt) {
            log::info!(
                target_id:% = target, life = incarnation.0, pause_ms = pause_ms,
                sent_age_ms = at.read_ms.saturating_sub(sent_ms);
                "target {target} of incarnation {incarnation} asks to be left alone for {pause_ms} ms"
            );
            metrics::counter!("fescuebay_target_pauses_total").increment(1);
            // Requests that wait for a paused target are refused at once.
            self.dispatch_waiting();
        }
    }

    /// Returns a new seed for the next choice of a target.
    pub(super) fn next_salt(&self) -> u64 {
        self.salt.set(self.salt.get().wrapping_add(1));
        self.salt.get()
    }

    /// Waiting and running requests, and the arrivals since the last call.
    pub(super) fn take_usage(&self) -> demand::RouterDemand {
        demand::RouterDemand {
            arrivals: self.arrivals.take(),
            waiting: self.queue.borrow().waiting_by_model(self.now_ms()),
            running: self.balancer.borrow().running(),
            leaving: self.balancer.borrow().unreported_leaving(),
            lost_services: self.reach.borrow().lost_services(),
        }
    }
}

/// The reason why a request waits, as written to its log line.
fn wait_reason(choice: TargetChoice) -> &'static str {
    match choice {
        TargetChoice::Selected(_) => "a target is free",
        TargetChoice::AwaitPermit { .. } => "a permit for a limited target is asked for",
        TargetChoice::AwaitSlot { .. } => "a slot of a brittle target is asked for",
        TargetChoice::AllFull => "all targets are full",
        TargetChoice::AllLimited { .. } => "all targets are at their rate limits",
        TargetChoice::AllPaused { .. } => "all targets ask to be left alone",
        TargetChoice::NoReplica => "no target holds the model",
        TargetChoice::NoTarget => "the service has no targets",
    }
}

/// Removes a request from the queue on drop.
struct QueueGuard<'a> {
    router: &'a RouterState,
    waiter_id: WaiterId,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.router.queue.borrow_mut().remove(self.waiter_id);
        self.router.senders.borrow_mut().retain(|(id, _)| *id != self.waiter_id);
    }
}

impl RouterStateBuilder {
    /// Sets the clock.
    pub fn clock(mut self, clock: BootClock) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the retry budget.
    pub fn budget(mut self, budget: RetryBudgetSettings) -> Self {
        self.budget = budget;
        self
    }

    /// Sets the port at which routers take requests of each other.
    pub fn forward_port(mut self, port: u16) -> Self {
        self.forward_port = port;
        self
    }

    /// The state of a router, shared by all of its requests.
    pub fn build(self) -> Rc<RouterState> {
        let mut balancer = Balancer::new(self.zone.clone());
        *balancer.permits_mut() = PermitPool::new(rand::random());
        *balancer.leases_mut() = LeasePool::new(rand::random());
        Rc::new_cyclic(|own| RouterState {
            own: Weak::clone(own),
            own_ip: self.own_ip,
            zone: self.zone,
            clock: self.clock,
            protocol: self.protocol,
            index: watch::Sender::new(None),
            balancer: RefCell::new(balancer),
            budget: RefCell::new(RetryBudget::new(self.budget)),
            pool: RefCell::default(),
            body_reader: web::intake::Intake::new(MAX_BODIES_BYTES),
            queue: RefCell::default(),
            arrival_rates: RefCell::default(),
            senders: RefCell::default(),
            arrivals: RefCell::default(),
            last_update_ms: Cell::new(None),
            table_version: Cell::default(),
            discovery_since_ms: Cell::new(None),
            demand_changed: Notify::new(),
            permits_wanted: Notify::new(),
            permits_changed: Notify::new(),
            slots_wanted: Notify::new(),
            poison: RefCell::default(),
            poison_observed: Notify::new(),
            standings_changed: Notify::new(),
            reach: RefCell::default(),
            reach_changed: Notify::new(),
            helpers: RefCell::default(),
            helpers_changed: Notify::new(),
            forwarded_requests: Cell::new(0),
            forward_port: self.forward_port,
            recent_streams: RefCell::default(),
            streams_begun: Notify::new(),
            streams_told: Notify::new(),
            report_pauses: Cell::new(origins::ReportPauses::of(1)),
            origin_queries: RefCell::default(),
            origins_wanted: Notify::new(),
            voters: RefCell::default(),
            exit_at_ms: watch::Sender::new(None),
            salt: Cell::new(rand::random()),
        })
    }
}
