//! Placement by model swapping, for engines that hold few models, carry out one order at a time and
//! keep copies of weights on their disks.
//!
//! [`Planner::handle_event`] takes the time and an event and returns actions. Most models are
//! requested rarely and do not fit into accelerator memory together. Each is therefore copied once
//! from the weight store to some disk ([`plan`]); from there it replaces an idle model in well
//! under a second when it is requested. Models in constant use get as many replicas as their
//! arrivals and the time of their requests need ([`load_history`]).
//!
//! The planner in [`super::planner`] sends overlapping orders and matches them by id, which does
//! not fit engines that count the orders they accept.

mod adapters;
pub mod demand;
mod engine;
pub mod expected;
mod load_history;
mod model_counts;
pub mod order_slots;
mod plan;
mod round;
mod specs;
mod store_speed;
mod summary;

use std::collections::VecDeque;

use crate::ids::{AdapterName, DaemonId, Incarnation, ModelName, ModelRef, TargetId, Term};
use crate::rate_limit::TargetLife;
use crate::routes;
use crate::target::order;
use crate::units::PerSecond;

use demand::AggregateDemand;
use engine::EngineState;
pub use engine::Source;
use load_history::LoadHistory;
use model_counts::ModelCounts;
use specs::EngineSpecs;
use store_speed::StoreSpeed;
pub use summary::StartedLoad;

/// What an order does. Log lines print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Operation {
    /// Load a model or adapter.
    Load,
    /// Unload a model or adapter once its requests have ended.
    Unload,
}

/// One order to one engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Order {
    /// The engine.
    pub target: TargetId,
    /// Incarnation of the engine; any other incarnation rejects the order.
    pub incarnation: Incarnation,
    /// Address to send the order to.
    pub address: std::net::SocketAddr,
    /// Identifies the order in [`Event::OrderAnswered`]; not sent to the engine.
    pub ticket: u64,
    /// Number of orders that the engine must have accepted before this one.
    pub expected_orders: u64,
    /// Term of the leader, the fencing token by which engines reject orders of earlier leaders.
    pub fencing: Term,
    /// What to do.
    pub operation: Operation,
    /// The model or adapter to load or unload.
    pub model: ModelRef,
}

/// Response of an engine to an order. Log lines print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum OrderReply {
    /// The engine is carrying out the order.
    Accepted,
    /// The engine is already in the requested state.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs from the expected
    /// one.
    Conflict,
    /// A leader of a later term has sent orders.
    Fenced,
    /// The engine does not know the model or adapter, or another engine answered.
    Refused,
    /// No response: the order may be carried out now, later or never.
    Lost,
}

/// State that an engine reports on request. It is some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Incarnation of the reporting engine, if it reports one.
    pub incarnation: Option<Incarnation>,
    /// Number of orders accepted by this incarnation.
    pub accepted_orders: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// The loaded models with their adapters.
    pub models: Vec<(ModelName, Vec<AdapterName>)>,
}

/// Input of the planner.
#[derive(Clone, Debug)]
pub enum Event {
    /// The specification of the service's engines is new or has changed.
    EngineSpec(routes::Engine),
    /// An engine announced its state.
    Announced(Box<order::State>),
    /// An incarnation of an engine was removed from the target table.
    TargetGone(TargetId, Incarnation),
    /// No other daemon sends orders any more, so this planner may.
    OrdersAllowed,
    /// The rate limits that engines name now; all others name none.
    RateLimits(Vec<(TargetLife, PerSecond)>),
    /// A router reported its waiting and running requests.
    RouterDemand(DaemonId, demand::RouterDemand),
    /// An order was answered, or no response came.
    OrderAnswered {
        /// The engine.
        target: TargetId,
        /// [`Order::ticket`] of the order.
        ticket: u64,
        /// The response.
        reply: OrderReply,
    },
    /// A requested report arrived, or the request failed.
    EngineReport {
        /// The engine.
        target: TargetId,
        /// The report; `None` if the request failed.
        report: Option<EngineReport>,
    },
    /// Time has passed; due at [`Planner::wake_ms`].
    Tick,
    /// The slots whose engines cannot get orders now, replacing those of the last such event.
    OrdersClosed(order_slots::ClosedSlots),
    /// The speeds of engines relative to each other; all others count as 1.
    EngineSpeeds(Vec<(TargetLife, f64)>),
}

/// Output of the planner, for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an order and return its response as [`Event::OrderAnswered`].
    SendOrder(Order),
    /// Request the state of an engine and return it as [`Event::EngineReport`].
    RequestReport {
        /// The engine.
        target: TargetId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Address to send the request to.
        address: std::net::SocketAddr,
    },
    /// The replicas that routers may use on this engine may have changed.
    ReplicasChanged(TargetId),
}

/// Limits of a planner.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of concurrent loads from the weight store over all engines, until the number that it
    /// serves at full speed is learned.
    pub max_store_loads: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { max_store_loads: 4 }
    }
}

/// Why a model is to be loaded. Log lines and metrics print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadReason {
    /// Requests wait and no engine has the model loaded.
    NoReplica,
    /// The model has fewer replicas than its requests in flight and arrival rate need.
    TooFewReplicas,
    /// No engine has a copy, so the model is loaded once to get it onto a disk.
    NoCopy,
    /// Fewer engines have a copy than the model needed replicas in the last minute.
    TooFewCopies,
}

/// Decides which engines of one service hold which models.
#[derive(Debug)]
pub struct Planner {
    term: Term,
    start_ms: u64,
    now_ms: u64,
    specs: EngineSpecs,
    /// Sorted by target.
    engines: Vec<EngineState>,
    demand: AggregateDemand,
    /// The rate limits of engines, sorted.
    rate_limits: Vec<(TargetLife, PerSecond)>,
    /// The known speeds of engines, sorted.
    speeds: Vec<(TargetLife, f64)>,
    history: LoadHistory,
    store: StoreSpeed,
    /// Loads that were started since they were last taken.
    started: Vec<StartedLoad>,
    summary_ms: u64,
    /// Times at which loads from the weight store were ordered, oldest first.
    store_starts_ms: VecDeque<u64>,
    last_ticket: u64,
    is_ordering_allowed: bool,
    is_fenced: bool,
    counts: ModelCounts,
    /// Earliest time of the next planning round.
    next_round_ms: u64,
    is_round_due: bool,
    actions: Vec<Action>,
    closed_slots: order_slots::ClosedSlots,
}

/// Shortest time between two planning rounds.
const MIN_ROUND_INTERVAL_MS: u64 = 4;
/// Pairs of model and engine per millisecond added to the shortest interval: each round counts over
/// all pairs.
const COUNTED_PAIRS_PER_MS: u64 = 4_000;

impl Planner {
    /// Creates the planner of the leader of `term`, which starts at `now_ms`.
    pub fn new(term: Term, settings: Settings, now_ms: u64) -> Self {
        Self {
            term,
            start_ms: now_ms,
            now_ms,
            specs: EngineSpecs::default(),
            engines: Vec::new(),
            demand: AggregateDemand::default(),
            rate_limits: Vec::new(),
            speeds: Vec::new(),
            history: LoadHistory::new(now_ms),
            store: StoreSpeed::new(settings.max_store_loads, now_ms),
            started: Vec::new(),
            summary_ms: now_ms,
            store_starts_ms: VecDeque::new(),
            last_ticket: 0,
            is_ordering_allowed: false,
            is_fenced: false,
            counts: ModelCounts::default(),
            next_round_ms: 0,
            is_round_due: false,
            actions: Vec::new(),
            closed_slots: order_slots::ClosedSlots::default(),
        }
    }

    /// Handles an event at `now_ms` and returns the actions to carry out, in order. The planner
    /// assumes that all of them are carried out.
    #[must_use]
    pub fn handle_event(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        self.now_ms = self.now_ms.max(now_ms);
        self.apply_event(event);
        self.is_round_due = true;
        self.update_engines();
        if self.now_ms >= self.next_round_ms {
            self.run_round();
        }
        if self.can_order() {
            self.send_due_orders();
        }
        std::mem::take(&mut self.actions)
    }

    /// Runs one planning round. The interval between rounds grows with the number of pairs of model
    /// and engine.
    fn run_round(&mut self) {
        let pairs = (self.engines.len() * self.specs.models().len()) as u64;
        self.next_round_ms = self.now_ms + MIN_ROUND_INTERVAL_MS + pairs / COUNTED_PAIRS_PER_MS;
        self.is_round_due = false;
        self.update_running();
        self.update_rate_limits();
        self.update_store();
        let is_new = self.now_ms < self.start_ms + plan::DISCOVERY_MS;
        self.counts = ModelCounts::collect(
            &self.specs,
            &self.engines,
            &self.demand,
            &mut self.history,
            self.now_ms,
            is_new,
        );
        if self.can_order() {
            self.plan_loads();
            self.plan_adapters();
        }
    }

    /// Updates the running requests of each engine from the routers' reports.
    fn update_running(&mut self) {
        self.engines.iter_mut().for_each(EngineState::clear_running);
        for running in self.demand.running() {
            let found = self.engines.binary_search_by(|engine| engine.target.cmp(&running.target));
            if let (Ok(at), Some(model)) = (found, &running.model) {
                self.engines[at].add_running(self.now_ms, model, running.count);
            }
        }
    }

    /// Updates the rate limit of each engine.
    fn update_rate_limits(&mut self) {
        for engine in &mut self.engines {
            let is_same = |(life, _): &&(TargetLife, PerSecond)| {
                life.target == engine.target && life.incarnation == engine.incarnation
            };
            let found = self.rate_limits.iter().find(is_same);
            engine.limit_per_s = found.map(|(_, limit)| limit.0);
            let life = |(life, _): &(TargetLife, f64)| {
                life.target.cmp(&engine.target).then(life.incarnation.cmp(&engine.incarnation))
            };
            let speed = self.speeds.binary_search_by(life).map_or(1.0, |at| self.speeds[at].1);
            engine.speed = speed;
        }
    }

    /// Learns from the loads from the weight store that are in progress or have ended.
    fn update_store(&mut self) {
        let (engines, specs) = (&self.engines, &self.specs);
        let find = |target: &TargetId| {
            let at = engines.binary_search_by(|engine| engine.target.cmp(target)).ok()?;
            Some(&engines[at])
        };
        let started = engines.iter().filter_map(|engine| {
            let model = engine.store_load()?;
            let nominal_ms = specs.find_model(model)?.store_load_ms;
            Some((engine.target.clone(), model.clone(), nominal_ms))
        });
        self.store.update(
            self.now_ms,
            started,
            |target, model| find(target).is_some_and(|engine| engine.store_load() == Some(model)),
            |target, model| find(target).is_some_and(|engine| engine.find(model).is_some()),
        );
    }

    /// Time at which [`Event::Tick`] is due.
    pub fn wake_ms(&self) -> u64 {
        let engines = self.engines.iter().filter_map(|engine| engine.wake_ms(self.now_ms));
        let round_ms =
            if self.is_round_due { self.next_round_ms.max(self.now_ms + 1) } else { u64::MAX };
        let due_ms = engines.min().unwrap_or(u64::MAX).min(round_ms);
        due_ms.min(self.now_ms + demand::RATE_REFRESH_INTERVAL_MS)
    }

    /// The models and adapters that routers may use on an engine, sorted; `None` if the engine is
    /// unknown.
    pub fn replicas(&self, target: &TargetId) -> Option<Vec<ModelRef>> {
        let engine = &self.engines[self.find_engine(target).ok()?];
        Some(engine.replicas(self.now_ms))
    }

    /// Engines that have been unable to take a change for `limit_ms`, each with a description of
    /// its state for the log. An engine is returned again only after another `limit_ms`.
    pub fn take_blocked_engines(&mut self, limit_ms: u64) -> Vec<(TargetId, String)> {
        let now_ms = self.now_ms;
        let blocked = |engine: &mut EngineState| {
            Some((engine.target.clone(), engine.take_blocked_state(now_ms, limit_ms)?))
        };
        self.engines.iter_mut().filter_map(blocked).collect()
    }

    /// Whether an engine rejected an order in favor of a later leader; this planner then sends
    /// none.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    fn can_order(&self) -> bool {
        self.is_ordering_allowed && !self.is_fenced
    }

    fn find_engine(&self, target: &TargetId) -> Result<usize, usize> {
        self.engines.binary_search_by(|engine| engine.target.cmp(target))
    }

    fn apply_event(&mut self, event: Event) {
        match event {
            Event::EngineSpec(engine) => self.specs = EngineSpecs::new(engine),
            Event::Announced(state) => self.apply_announcement(&state),
            Event::TargetGone(target, incarnation) => self.remove_engine(&target, incarnation),
            Event::OrdersAllowed => self.is_ordering_allowed = true,
            Event::RateLimits(mut rate_limits) => {
                rate_limits.sort_by(|(a, _), (b, _)| a.cmp(b));
                self.rate_limits = rate_limits;
            }
            Event::RouterDemand(router, demand) => {
                self.demand.apply_report(self.now_ms, router, demand);
            }
            Event::OrderAnswered { target, ticket, reply } => {
                self.apply_reply(&target, ticket, reply);
            }
            Event::EngineReport { target, report } => self.apply_report(&target, report),
            Event::Tick => self.demand.remove_silent_routers(self.now_ms),
            Event::OrdersClosed(closed) => {
                self.closed_slots = closed;
                self.engines.iter_mut().for_each(|engine| engine.apply_closed(closed));
            }
            Event::EngineSpeeds(mut speeds) => {
                // A speed that is no positive number would make a capacity meaningless.
                speeds.retain(|(_, speed)| speed.is_finite() && *speed > 0.0);
                speeds.sort_by(|(a, _), (b, _)| a.cmp(b));
                self.speeds = speeds;
            }
        }
    }

    fn apply_announcement(&mut self, state: &order::State) {
        match self.find_engine(&state.target) {
            Ok(at) if self.engines[at].incarnation > state.incarnation => return,
            Ok(at) if self.engines[at].incarnation < state.incarnation => {
                self.engines[at] = EngineState::new(state, self.now_ms);
            }
            Ok(at) => self.engines[at].apply_announcement(state, self.now_ms),
            Err(at) => self.engines.insert(at, EngineState::new(state, self.now_ms)),
        }
        if let Ok(at) = self.find_engine(&state.target) {
            self.engines[at].apply_closed(self.closed_slots);
        }
        self.actions.push(Action::ReplicasChanged(state.target.clone()));
    }

    fn remove_engine(&mut self, target: &TargetId, incarnation: Incarnation) {
        if let Ok(at) = self.find_engine(target)
            && self.engines[at].incarnation <= incarnation
        {
            self.engines.remove(at);
        }
    }

    fn apply_reply(&mut self, target: &TargetId, ticket: u64, reply: OrderReply) {
        let Ok(at) = self.find_engine(target) else { return };
        self.is_fenced |= reply == OrderReply::Fenced;
        if self.engines[at].apply_reply(self.now_ms, ticket, reply) {
            self.actions.push(Action::ReplicasChanged(target.clone()));
        }
    }

    fn apply_report(&mut self, target: &TargetId, report: Option<EngineReport>) {
        let Ok(at) = self.find_engine(target) else { return };
        if self.engines[at].apply_report(self.now_ms, report) {
            self.actions.push(Action::ReplicasChanged(target.clone()));
        }
    }

    /// Publishes adapters that became ready and requests the reports that are due.
    fn update_engines(&mut self) {
        for engine in &mut self.engines {
            if engine.publish_ready_adapters(self.now_ms) {
                self.actions.push(Action::ReplicasChanged(engine.target.clone()));
            }
            if engine.take_due_report_request(self.now_ms) {
                self.actions.push(Action::RequestReport {
                    target: engine.target.clone(),
                    incarnation: engine.incarnation,
                    address: engine.address,
                });
            }
        }
    }

    fn send_due_orders(&mut self) {
        for at in 0..self.engines.len() {
            let due = self.engines[at].next_order(self.now_ms);
            let Some((operation, model)) = due else { continue };
            self.send_order(at, operation, model);
        }
    }

    fn send_order(&mut self, at: usize, operation: Operation, model: ModelRef) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let is_store_load = operation == Operation::Load
            && !model.is_adapter()
            && self.engines[at].load_source(&model.model) == Source::Store;
        if is_store_load && !self.engines[at].is_resend(&model) {
            self.store_starts_ms.push_back(self.now_ms);
        }
        let engine = &mut self.engines[at];
        let Some(expected_orders) = engine.record_sent(ticket, operation, &model) else {
            return;
        };
        self.actions.push(Action::SendOrder(Order {
            target: engine.target.clone(),
            incarnation: engine.incarnation,
            address: engine.address,
            ticket,
            expected_orders,
            fencing: self.term,
            operation,
            model,
        }));
    }
}
