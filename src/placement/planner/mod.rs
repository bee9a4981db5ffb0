//! The leader's state machine of placement.
//!
//! [`Planner::on`] takes the time and an event, and returns what to do. One leader drives one
//! planner from its control thread for as long as its term lasts.

mod entries;
mod models;
mod orders;
mod release;
mod round;
mod targets;
mod timers;
mod wanted;

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{DaemonId, Incarnation, ModelRef, OrderId, TargetId, Term};
use crate::placement::{catalogue, demand, gaps, ledger, load_limits, policy, settings};
use crate::target::order;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Assistant runners that the former leader knew. Given first, so that no order is given before
    /// each of them was heard of or is gone, for a bounded time.
    KnownTargets(Vec<TargetId>),
    /// A target announced itself, perhaps some time ago.
    TargetAnnounced(order::State),
    /// A target answered [`Action::ReadState`].
    StateRead {
        /// The fencing number that the question carried.
        fencing: order::Fencing,
        /// The target's state.
        state: order::State,
    },
    /// [`Action::ReadState`] had no answer.
    StateReadFailed {
        /// The target that was asked.
        target: TargetId,
        /// The fencing number that the question carried.
        fencing: order::Fencing,
    },
    /// A target is gone, with all that it held.
    TargetGone {
        /// The target.
        target: TargetId,
        /// The life of the target that ended.
        incarnation: Incarnation,
    },
    /// A daemon tells the demand for some models.
    DemandReported(demand::DemandReport),
    /// A daemon is gone, with its demand.
    DaemonGone(DaemonId),
    /// A model or adapter is new or differs.
    ModelChanged(Box<catalogue::ModelSpec>),
    /// A model or adapter is no longer served.
    ModelRemoved(ModelRef),
    /// What operators ask for the fleet.
    FleetPolicyChanged(policy::FleetPolicy),
    /// A target answered an order.
    OrderAnswered {
        /// The target.
        target: TargetId,
        /// The order.
        order_id: OrderId,
        /// The answer.
        reply: order::Reply,
    },
    /// An order had no answer: what became of it is not known.
    OrderLost {
        /// The target.
        target: TargetId,
        /// The order.
        order_id: OrderId,
    },
    /// Time went on; due at [`Planner::wake_ms`].
    Tick,
}

/// Why a model that is asked for is not loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotLoadedReason {
    /// All memory is taken by replicas in use.
    NoRoom,
    /// No target may hold it: zones or targets are forbidden, it is too large, or none is there.
    NoTarget,
    /// A load took too long and was given up; another is tried.
    Hung,
    /// A target does not know the weights.
    Unknown,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the order and report its answer or its loss.
    SendOrder {
        /// The target.
        target: TargetId,
        /// The order.
        order: order::Order,
    },
    /// Read the target's state and report it or its loss.
    ReadState {
        /// The target.
        target: TargetId,
        /// The fencing number to ask with.
        fencing: order::Fencing,
    },
    /// No more replicas than `count` are to be loading or loaded from now on. A rise comes before
    /// the order that it allows; a fall comes after the target confirmed it.
    ReplicasDecided {
        /// What is held.
        weights: catalogue::Weights,
        /// How many replicas.
        count: u32,
    },
    /// Requests that wait for the model can be served from about this Unix time.
    ExpectReady {
        /// The model or adapter.
        model: ModelRef,
        /// The time.
        ready_at_ms: u64,
    },
    /// The model can't be loaded now.
    CannotLoad {
        /// The model or adapter.
        model: ModelRef,
        /// Why not.
        reason: NotLoadedReason,
    },
}

/// A model as placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSummary {
    /// The model or adapter.
    pub model: ModelRef,
    /// Replicas wanted.
    pub wanted: u32,
    /// Replicas that may be loading or loaded, in all versions.
    pub decided: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub in_flight: u32,
    /// Why it isn't loaded, if it is wanted and can't be.
    pub reason: Option<NotLoadedReason>,
}

/// Decides what is loaded where.
#[derive(Debug)]
pub struct Planner {
    term: Term,
    settings: settings::Settings,
    fleet: policy::FleetPolicy,
    now_ms: u64,
    started_ms: Option<u64>,
    can_send_orders: bool,
    sequence: u64,
    awaited: BTreeSet<TargetId>,
    ledger: ledger::Ledger,
    limits: load_limits::LoadLimits,
    fleet_gaps: gaps::GapHistogram,
    // Maps, because tens of thousands of adapters wake up and fall idle.
    models: BTreeMap<ModelRef, models::Model>,
    due: BTreeSet<(u64, ModelRef)>,
    short: BTreeSet<ModelRef>,
    timers: BTreeSet<(u64, TargetId)>,
    place_ms: Option<u64>,
    placed_ms: u64,
    actions: Vec<Action>,
}

impl Planner {
    /// The planner of the leader of `term`.
    pub fn new(term: Term, settings: settings::Settings) -> Self {
        let limits = load_limits::LoadLimits::new(&settings, 0);
        Self {
            term,
            settings,
            fleet: policy::FleetPolicy::default(),
            now_ms: 0,
            started_ms: None,
            can_send_orders: false,
            sequence: 0,
            awaited: BTreeSet::new(),
            ledger: ledger::Ledger::default(),
            limits,
            fleet_gaps: gaps::GapHistogram::default(),
            models: BTreeMap::new(),
            due: BTreeSet::new(),
            short: BTreeSet::new(),
            timers: BTreeSet::new(),
            place_ms: None,
            placed_ms: 0,
            actions: Vec::new(),
        }
    }

    /// Takes an event at the Unix time `now_ms` and returns what to do, in order.
    ///
    /// Time that goes back is taken to stand still.
    pub fn handle_event(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        self.now_ms = self.now_ms.max(now_ms);
        if self.started_ms.is_none() {
            self.start();
        }
        self.take(event);
        self.run_timers();
        self.run_due();
        self.run_placement();
        std::mem::take(&mut self.actions)
    }

    fn start(&mut self) {
        self.started_ms = Some(self.now_ms);
        self.limits = load_limits::LoadLimits::new(&self.settings, self.now_ms);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::KnownTargets(targets) => self.awaited = targets.into_iter().collect(),
            Event::TargetAnnounced(state) => self.on_announcement(state),
            Event::StateRead { fencing, state } => self.on_state(fencing, state),
            Event::StateReadFailed { target, fencing } => self.on_ask_lost(&target, fencing),
            Event::TargetGone { target, incarnation } => self.on_gone(&target, incarnation),
            Event::DemandReported(report) => self.on_demand(&report),
            Event::DaemonGone(daemon) => self.on_daemon_gone(&daemon),
            Event::ModelChanged(model) => self.on_model(*model),
            Event::ModelRemoved(model) => self.on_model_gone(&model),
            Event::FleetPolicyChanged(fleet) => self.on_fleet(fleet),
            Event::OrderAnswered { target, order_id, reply } => {
                self.on_answer(&target, &order_id, reply);
            }
            Event::OrderLost { target, order_id } => self.on_lost(&target, &order_id),
            Event::Tick => {}
        }
    }

    /// The Unix time at which [`Event::Tick`] is due, if any.
    pub fn wake_ms(&self) -> Option<u64> {
        let due_ms = self.due.first().map(|(due_ms, _)| *due_ms);
        let timer_ms = self.timers.first().map(|(timer_ms, _)| *timer_ms);
        [due_ms, timer_ms, self.place_ms].into_iter().flatten().min()
    }

    /// Whether it gives orders: every target that it has heard of was read, or can't be.
    pub fn can_send_orders(&self) -> bool {
        self.can_send_orders
    }

    /// The memory of each target.
    pub fn ledger(&self) -> &ledger::Ledger {
        &self.ledger
    }

    /// The limits on loads.
    pub fn limits(&self) -> &load_limits::LoadLimits {
        &self.limits
    }

    /// Models that are wanted, held or asked for.
    pub fn models(&self) -> impl Iterator<Item = ModelSummary> + '_ {
        let is_active = |model: &models::Model| {
            model.wanted.count() > 0 || !model.sites.is_empty() || !model.demand.is_idle()
        };
        self.models.iter().filter(move |(_, model)| is_active(model)).map(|(name, model)| {
            ModelSummary {
                model: name.clone(),
                wanted: model.wanted.count(),
                decided: model.decided.iter().map(|(_, count)| count).sum(),
                waiting: model.demand.waiting(),
                in_flight: model.demand.in_flight(),
                reason: model.reason,
            }
        })
    }
}
