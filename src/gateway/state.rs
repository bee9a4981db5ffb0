//! State of a router that all of its requests share.

mod builder;
mod notice;
mod outlook;
mod waiting;

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::access::RevocationSettings;
use super::arrivals::ArrivalRates;
use super::balancer::Balancer;
use super::forecast::Observations;
use super::helpers::Helpers;
use super::overload::Overload;
use super::pool::ConnectionPool;
use super::queue::{RequestQueue, WaiterId};
use super::quota::QuotaState;
use super::reach::Reachability;
use super::retry_budget::{RetryBudget, RetryBudgetSettings};
use super::token_need::OutputLengths;
use super::{RequestProtocol, origins};
use crate::clock::BootClock;
use crate::coordinator::client::VoterClient;
use crate::ids::{ModelRef, ServiceName, Zone};
use crate::membership::feed;
use crate::origins::recent::RecentStreams;
use crate::placement::swap::demand;
use crate::poison::view::View;
use crate::routes::index;
use crate::web;

pub use builder::RouterStateBuilder;
pub(super) use outlook::QueuePlace;
use waiting::ReservationSender;
pub(super) use waiting::shortage;

/// The state of a router, shared by all of its requests.
pub struct RouterState {
    own: Weak<RouterState>,
    /// The local address of connections to targets.
    pub(super) own_ip: IpAddr,
    /// Where this router runs.
    pub(super) zone: Zone,
    pub(super) clock: BootClock,
    pub(super) protocol: &'static dyn RequestProtocol,
    /// What is done about keys without a leader.
    pub(super) revocation: RevocationSettings,
    pub(super) index: watch::Sender<Option<Rc<index::Index>>>,
    pub(super) balancer: RefCell<Balancer>,
    pub(super) budget: RefCell<RetryBudget>,
    /// How long the outputs of routes are.
    pub(super) output_lengths: RefCell<OutputLengths>,
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
    /// Credit of the quotas of workspaces.
    pub(super) quota: QuotaState,
    /// What is known of how long requests wait and run.
    pub(super) observations: RefCell<Observations>,
    /// When the forecasts of waiting requests were last reviewed.
    reviewed_ms: Cell<u64>,
    /// What is held for callers that have not read it yet.
    pub(super) held: web::read_ahead::Account,
    /// Whether this router is overloaded.
    pub(super) overload: RefCell<Overload>,
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
        RouterStateBuilder {
            own_ip,
            zone,
            protocol,
            clock,
            budget,
            forward_port: 0,
            revocation: RevocationSettings::default(),
            memory: web::held::MemoryBounds::of_memory(None),
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Whether the router is to get requests: it has a document, is not shutting down and not away because of an
    /// overload.
    pub fn is_ready(&self) -> bool {
        let is_away = self.overload.borrow().is_away(self.now_ms());
        self.index().is_some() && self.exit_at_ms.borrow().is_none() && !is_away
    }

    /// The account of what is held for callers.
    pub fn held(&self) -> &web::read_ahead::Account {
        &self.held
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

    /// Returns a new seed for the next choice of a target.
    pub(super) fn next_salt(&self) -> u64 {
        self.salt.set(self.salt.get().wrapping_add(1));
        self.salt.get()
    }

    /// Waiting and running requests, and the arrivals since the last call.
    pub(super) fn take_usage(&self) -> demand::RouterDemand {
        let now_ms = self.now_ms();
        let mut balancer = self.balancer.borrow_mut();
        demand::RouterDemand {
            arrivals: self.arrivals.take(),
            waiting: self.queue.borrow().waiting_by_model(now_ms),
            running: balancer.report_running(),
            leaving: balancer.unreported_leaving(),
            lost_services: self.reach.borrow().lost_services(),
            speeds: Some(balancer.take_speed_report(now_ms)),
        }
    }
}
