//! Builds the state of a router.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::{Rc, Weak};

use tokio::sync::{Notify, watch};

use super::RouterState;
use crate::clock::BootClock;
use crate::gateway::access::RevocationSettings;
use crate::gateway::balancer::Balancer;
use crate::gateway::quota::QuotaState;
use crate::gateway::retry_budget::{RetryBudget, RetryBudgetSettings};
use crate::gateway::{RequestProtocol, origins};
use crate::ids::Zone;
use crate::rate_limit::permits::PermitPool;
use crate::slot_lease::pool::LeasePool;
use crate::web;
use crate::web::held::MemoryBounds;
use crate::web::read_ahead;

/// Builds a [`RouterState`].
pub struct RouterStateBuilder {
    pub(super) own_ip: IpAddr,
    pub(super) zone: Zone,
    pub(super) protocol: &'static dyn RequestProtocol,
    pub(super) clock: BootClock,
    pub(super) budget: RetryBudgetSettings,
    pub(super) forward_port: u16,
    pub(super) revocation: RevocationSettings,
    pub(super) memory: MemoryBounds,
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

    /// Sets what is done about keys without a leader.
    pub fn revocation(mut self, revocation: RevocationSettings) -> Self {
        self.revocation = revocation;
        self
    }

    /// Sets the bounds of what is held for requests and callers.
    pub fn memory(mut self, memory: MemoryBounds) -> Self {
        self.memory = memory;
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
            revocation: self.revocation,
            index: watch::Sender::new(None),
            balancer: RefCell::new(balancer),
            budget: RefCell::new(RetryBudget::new(self.budget)),
            output_lengths: RefCell::default(),
            pool: RefCell::default(),
            body_reader: web::intake::Intake::new(self.memory.bodies_bytes),
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
            quota: QuotaState::new(rand::random()),
            observations: RefCell::default(),
            reviewed_ms: Cell::new(0),
            held: read_ahead::Account::new(self.clock, self.memory.held_bytes),
            overload: RefCell::default(),
        })
    }
}
