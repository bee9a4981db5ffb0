//! Placement on engines that hold few models, carry out one order at a time, and keep copies of
//! weights on their disks.
//!
//! [`Planner::handle_event`] takes the time and an event and returns orders. Most models are asked for
//! seldom and do not fit into accelerator memory together. So each is read once from the weight
//! store onto some disk ([`plan`]), from where it replaces an idle one in well under a second when
//! it is asked for. Models in constant use get as many replicas as their requests in flight need.
//!
//! The other planner of this module's parent gives overlapping orders and settles them by ids; it
//! does not fit engines that count the orders which they accept.

mod adapters;
mod census;
pub mod demand;
mod outlook;
mod plan;
mod site;
mod specs;

use crate::ids::{AdapterName, DaemonId, Incarnation, ModelName, ModelRef, TargetId, Term};
use crate::routes;
use crate::target::order;

use site::Site;
pub use site::Source;

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Load a model or adapter.
    Load,
    /// Unload it once its requests have ended.
    Unload,
}

/// One order to one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The engine.
    pub target: TargetId,
    /// Its life; another life refuses the order.
    pub incarnation: Incarnation,
    /// Where it is called.
    pub address: std::net::SocketAddr,
    /// Names the order towards the planner.
    pub ticket: u64,
    /// The number of orders that the engine has accepted before this one.
    pub expected_orders: u64,
    /// The term of the leader, by which engines tell old leaders.
    pub fencing: Term,
    /// What to do.
    pub operation: Operation,
    /// To which model or adapter.
    pub model: ModelRef,
}

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// It is being carried out.
    Accepted,
    /// What it asks for is so already.
    Holds,
    /// Another order is being carried out, or the count of orders differs.
    Conflict,
    /// A later leader has given orders.
    Fenced,
    /// It is not known to the engine, or another engine answered.
    Refused,
    /// No answer came: it may be carried out now, later or never.
    Lost,
}

/// What an engine tells when it is asked. It is some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The life that tells it, where it is told.
    pub incarnation: Option<Incarnation>,
    /// Orders accepted so far.
    pub accepted_orders: u64,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// The models held, with their adapters.
    pub models: Vec<(ModelName, Vec<AdapterName>)>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The engines of the service are these.
    EngineSpec(routes::Engine),
    /// An engine announced itself.
    Announced(Box<order::State>),
    /// An engine is gone.
    TargetGone(TargetId, Incarnation),
    /// No other daemon gives orders any more: this planner may.
    OrdersAllowed,
    /// A router tells what it has waiting and running.
    RouterDemand(DaemonId, demand::RouterDemand),
    /// An order was answered, or its answer is lost.
    OrderAnswered {
        /// The engine.
        target: TargetId,
        /// The order's ticket.
        ticket: u64,
        /// The answer.
        reply: OrderReply,
    },
    /// An engine was read, or could not be.
    EngineReport {
        /// The engine.
        target: TargetId,
        /// The report; `None` if the request failed.
        report: Option<EngineReport>,
    },
    /// Time went on; due at [`Planner::wake_ms`].
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an order and report its answer.
    SendOrder(Order),
    /// Read the state of an engine and report it.
    RequestReport {
        /// The engine.
        target: TargetId,
        /// Its life.
        incarnation: Incarnation,
        /// Where it is called.
        address: std::net::SocketAddr,
    },
    /// The replicas that routers may use on this engine differ.
    ReplicasChanged(TargetId),
}

/// Limits and times of a planner.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Loads from the weight store at once, over all engines.
    pub max_store_loads: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { max_store_loads: 4 }
    }
}

/// Why a model is loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// Requests wait and no engine holds it.
    Missing,
    /// More requests are in flight than its replicas take.
    Crowded,
    /// No disk has a copy.
    Unread,
}

/// Decides which engine of one service holds which models.
#[derive(Debug)]
pub struct Planner {
    term: Term,
    settings: Settings,
    start_ms: u64,
    now_ms: u64,
    specs: specs::Specs,
    /// Sorted by target.
    sites: Vec<Site>,
    demand: demand::AggregateDemand,
    /// When loads from the weight store were ordered, oldest first.
    store_starts_ms: std::collections::VecDeque<u64>,
    next_ticket: u64,
    is_allowed: bool,
    is_fenced: bool,
    census: census::Census,
    /// When the next round of planning may run.
    plan_ms: u64,
    is_plan_due: bool,
    actions: Vec<Action>,
}

/// Shortest time between two rounds of planning.
const MIN_GAP_MS: u64 = 4;
/// Pairs of a model and an engine for each millisecond that is added to it: counts are taken over all.
const PAIRS_PER_MS: u64 = 4_000;

impl Planner {
    /// The planner of the leader of `term`, which begins at `now_ms`.
    pub fn new(term: Term, settings: Settings, now_ms: u64) -> Self {
        Self {
            term,
            settings,
            start_ms: now_ms,
            now_ms,
            specs: specs::Specs::default(),
            sites: Vec::new(),
            demand: demand::AggregateDemand::default(),
            store_starts_ms: std::collections::VecDeque::new(),
            next_ticket: 0,
            is_allowed: false,
            is_fenced: false,
            census: census::Census::default(),
            plan_ms: 0,
            is_plan_due: false,
            actions: Vec::new(),
        }
    }

    /// Takes an event at `now_ms` and returns what to do, in order. What is returned counts as done.
    #[must_use]
    pub fn handle_event(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        self.now_ms = self.now_ms.max(now_ms);
        self.take(event);
        self.is_plan_due = true;
        self.step_sites();
        if self.now_ms >= self.plan_ms {
            self.plan_round();
        }
        if self.may_order() {
            self.send_due();
        }
        std::mem::take(&mut self.actions)
    }

    /// One round of planning. Rounds are spaced out as there is more to look at.
    fn plan_round(&mut self) {
        let pairs = (self.sites.len() * self.specs.models().len()) as u64;
        self.plan_ms = self.now_ms + MIN_GAP_MS + pairs / PAIRS_PER_MS;
        self.is_plan_due = false;
        self.note_running();
        self.census = census::Census::take(&self.specs, &self.sites, &self.demand);
        if self.may_order() {
            self.plan();
            self.plan_adapters();
        }
    }

    /// Notes at each engine what runs there.
    fn note_running(&mut self) {
        self.sites.iter_mut().for_each(Site::clear_running);
        for running in self.demand.running() {
            let place = self.sites.binary_search_by(|site| site.target.cmp(&running.target));
            if let (Ok(at), Some(model)) = (place, &running.model) {
                self.sites[at].add_running(self.now_ms, model, running.count);
            }
        }
    }

    /// When [`Event::Tick`] is due.
    pub fn wake_ms(&self) -> u64 {
        let sites = self.sites.iter().filter_map(|site| site.wake_ms(self.now_ms));
        let round_ms = if self.is_plan_due { self.plan_ms.max(self.now_ms + 1) } else { u64::MAX };
        let due_ms = sites.min().unwrap_or(u64::MAX).min(round_ms);
        due_ms.min(self.now_ms + demand::RATE_REFRESH_INTERVAL_MS)
    }

    /// The models and adapters that routers may use on an engine, sorted.
    pub fn replicas(&self, target: &TargetId) -> Option<Vec<ModelRef>> {
        let site = &self.sites[self.place(target).ok()?];
        Some(site.replicas(self.now_ms))
    }

    /// Engines that could be given no work for `limit_ms`, each with what keeps it.
    pub fn take_blocked_engines(&mut self, limit_ms: u64) -> Vec<(TargetId, String)> {
        let now_ms = self.now_ms;
        let held = |site: &mut Site| Some((site.target.clone(), site.take_held(now_ms, limit_ms)?));
        self.sites.iter_mut().filter_map(held).collect()
    }

    /// Whether a later leader's orders were met, so that this one gives no more.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    fn may_order(&self) -> bool {
        self.is_allowed && !self.is_fenced
    }

    fn place(&self, target: &TargetId) -> Result<usize, usize> {
        self.sites.binary_search_by(|site| site.target.cmp(target))
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::EngineSpec(engine) => self.specs = specs::Specs::new(engine),
            Event::Announced(state) => self.on_state(&state),
            Event::TargetGone(target, incarnation) => self.on_gone(&target, incarnation),
            Event::OrdersAllowed => self.is_allowed = true,
            Event::RouterDemand(daemon, usage) => self.demand.take(self.now_ms, daemon, usage),
            Event::OrderAnswered { target, ticket, reply } => {
                self.on_answer(&target, ticket, reply);
            }
            Event::EngineReport { target, report } => self.on_report(&target, report),
            Event::Tick => self.demand.forget_silent(self.now_ms),
        }
    }

    fn on_state(&mut self, state: &order::State) {
        let place = self.place(&state.target);
        match place {
            Ok(at) if self.sites[at].incarnation > state.incarnation => return,
            Ok(at) if self.sites[at].incarnation < state.incarnation => {
                self.sites[at] = Site::new(state, self.now_ms);
            }
            Ok(at) => self.sites[at].announced(state, self.now_ms),
            Err(at) => self.sites.insert(at, Site::new(state, self.now_ms)),
        }
        self.actions.push(Action::ReplicasChanged(state.target.clone()));
    }

    fn on_gone(&mut self, target: &TargetId, incarnation: Incarnation) {
        if let Ok(at) = self.place(target)
            && self.sites[at].incarnation <= incarnation
        {
            self.sites.remove(at);
        }
    }

    fn on_answer(&mut self, target: &TargetId, ticket: u64, reply: OrderReply) {
        let Ok(at) = self.place(target) else { return };
        self.is_fenced |= reply == OrderReply::Fenced;
        if self.sites[at].answered(self.now_ms, ticket, reply) {
            self.actions.push(Action::ReplicasChanged(target.clone()));
        }
    }

    fn on_report(&mut self, target: &TargetId, report: Option<EngineReport>) {
        let Ok(at) = self.place(target) else { return };
        if self.sites[at].apply_report(self.now_ms, report) {
            self.actions.push(Action::ReplicasChanged(target.clone()));
        }
    }

    /// Asks engines whose state is unclear, and ends steps that are done.
    fn step_sites(&mut self) {
        for site in &mut self.sites {
            if site.take_ready(self.now_ms) {
                self.actions.push(Action::ReplicasChanged(site.target.clone()));
            }
            if site.take_read_due(self.now_ms) {
                self.actions.push(Action::RequestReport {
                    target: site.target.clone(),
                    incarnation: site.incarnation,
                    address: site.address,
                });
            }
        }
    }

    /// Sends the orders whose time has come.
    fn send_due(&mut self) {
        for at in 0..self.sites.len() {
            let Some((operation, model)) = self.sites[at].next_order(self.now_ms) else { continue };
            self.send(at, operation, model);
        }
    }

    fn send(&mut self, at: usize, operation: Operation, model: ModelRef) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let is_store_load = operation == Operation::Load
            && !model.is_adapter()
            && self.sites[at].source(&model.model) == Source::Store;
        if is_store_load && !self.sites[at].is_repeat(&model) {
            self.store_starts_ms.push_back(self.now_ms);
        }
        let site = &mut self.sites[at];
        let Some(expected_orders) = site.sent(ticket, operation, &model) else {
            return;
        };
        self.actions.push(Action::SendOrder(Order {
            target: site.target.clone(),
            incarnation: site.incarnation,
            address: site.address,
            ticket,
            expected_orders,
            fencing: self.term,
            operation,
            model,
        }));
    }
}
