//! State machine that decides which models each target loads, run by the leader.
//!
//! [`Planner::handle_event`] takes the time and an event and returns the actions to carry out. A
//! leader drives one planner from its control thread for as long as its term lasts.

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

/// An input of the planner.
#[derive(Clone, Debug)]
pub enum Event {
    /// Assistant runners that the former leader knew. This is the first event of a term: no order
    /// is sent until each of them has announced itself or is gone, or a timeout has passed.
    KnownTargets(Vec<TargetId>),
    /// A target announced its state. The announcement may be some time old.
    TargetAnnounced(order::State),
    /// A target answered [`Action::ReadState`].
    StateRead {
        /// The fencing number that the request carried.
        fencing: order::Fencing,
        /// The target's state.
        state: order::State,
    },
    /// [`Action::ReadState`] got no response.
    StateReadFailed {
        /// The target that the request was sent to.
        target: TargetId,
        /// The fencing number that the request carried.
        fencing: order::Fencing,
    },
    /// A target is gone, and with it all replicas that it held.
    TargetGone {
        /// The target.
        target: TargetId,
        /// The incarnation that ended.
        incarnation: Incarnation,
    },
    /// A daemon reported its demand for some models.
    DemandReported(demand::DemandReport),
    /// A daemon is gone; its demand no longer counts.
    DaemonGone(DaemonId),
    /// A model or adapter was added or changed.
    ModelChanged(Box<catalogue::ModelSpec>),
    /// A model or adapter is no longer served.
    ModelRemoved(ModelRef),
    /// The operators' policy for the fleet changed.
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
    /// An order got no response: whether the target carries it out is unknown.
    OrderLost {
        /// The target.
        target: TargetId,
        /// The order.
        order_id: OrderId,
    },
    /// A timer expired; due at [`Planner::wake_ms`].
    Tick,
}

/// Why a requested model is not loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotLoadedReason {
    /// All memory is occupied by replicas in use.
    NoRoom,
    /// No target can hold the model: the policy forbids its zones or targets, the model is too
    /// large, or there are no targets.
    NoTarget,
    /// A load exceeded its time limit and was cancelled; another target is tried.
    Hung,
    /// A target has no access to the weights.
    Unknown,
}

/// An output of the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the order, then report the reply or that none came.
    SendOrder {
        /// The target.
        target: TargetId,
        /// The order.
        order: order::Order,
    },
    /// Read the target's state, then report the state or the failure.
    ReadState {
        /// The target.
        target: TargetId,
        /// The fencing number of the request.
        fencing: order::Fencing,
    },
    /// At most `count` replicas may be loading or loaded from now on. An increase precedes the
    /// order that relies on the higher count; a decrease follows the target's confirmation.
    ReplicasDecided {
        /// The weights that the count is for.
        weights: catalogue::Weights,
        /// The maximum number of replicas.
        count: u32,
    },
    /// Waiting requests for the model are expected to be served from this Unix time.
    ExpectReady {
        /// The model or adapter.
        model: ModelRef,
        /// Unix time at which a replica is expected to be ready.
        ready_at_ms: u64,
    },
    /// The model cannot be loaded now.
    CannotLoad {
        /// The model or adapter.
        model: ModelRef,
        /// Why the load is not possible.
        reason: NotLoadedReason,
    },
}

/// Demand and replicas of one model, for reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelSummary {
    /// The model or adapter.
    pub model: ModelRef,
    /// Replicas wanted.
    pub wanted: u32,
    /// Upper bound of the replicas that are loading or loaded, over all versions.
    pub decided: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub in_flight: u32,
    /// Why a wanted model cannot be loaded.
    pub reason: Option<NotLoadedReason>,
}

/// Decides which targets load which models.
#[derive(Debug)]
pub struct Planner {
    term: Term,
    settings: settings::Settings,
    fleet: policy::FleetPolicy,
    now_ms: u64,
    started_ms: Option<u64>,
    can_send_orders: bool,
    sequence: u64,
    awaited_targets: BTreeSet<TargetId>,
    ledger: ledger::Ledger,
    limits: load_limits::LoadLimits,
    fleet_gaps: gaps::GapHistogram,
    // A map, since tens of thousands of adapters become active and idle.
    models: BTreeMap<ModelRef, models::Model>,
    due: BTreeSet<(u64, ModelRef)>,
    short_of_replicas: BTreeSet<ModelRef>,
    timers: BTreeSet<(u64, TargetId)>,
    next_round_ms: Option<u64>,
    last_round_ms: u64,
    actions: Vec<Action>,
}

impl Planner {
    /// Creates the planner for the leader of `term`.
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
            awaited_targets: BTreeSet::new(),
            ledger: ledger::Ledger::default(),
            limits,
            fleet_gaps: gaps::GapHistogram::default(),
            models: BTreeMap::new(),
            due: BTreeSet::new(),
            short_of_replicas: BTreeSet::new(),
            timers: BTreeSet::new(),
            next_round_ms: None,
            last_round_ms: 0,
            actions: Vec::new(),
        }
    }

    /// Processes an event at the Unix time `now_ms` and returns the actions, in order.
    ///
    /// A `now_ms` before that of the last call is replaced by the latter.
    pub fn handle_event(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        self.now_ms = self.now_ms.max(now_ms);
        if self.started_ms.is_none() {
            self.start();
        }
        self.take(event);
        self.run_timers();
        self.evaluate_due_models();
        self.run_round();
        std::mem::take(&mut self.actions)
    }

    fn start(&mut self) {
        self.started_ms = Some(self.now_ms);
        self.limits = load_limits::LoadLimits::new(&self.settings, self.now_ms);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::KnownTargets(targets) => self.awaited_targets = targets.into_iter().collect(),
            Event::TargetAnnounced(state) => self.on_target_announced(state),
            Event::StateRead { fencing, state } => self.on_state_read(fencing, state),
            Event::StateReadFailed { target, fencing } => {
                self.on_state_read_failed(&target, fencing);
            }
            Event::TargetGone { target, incarnation } => self.on_target_gone(&target, incarnation),
            Event::DemandReported(report) => self.on_demand(&report),
            Event::DaemonGone(daemon) => self.on_daemon_gone(&daemon),
            Event::ModelChanged(model) => self.on_model(*model),
            Event::ModelRemoved(model) => self.on_model_gone(&model),
            Event::FleetPolicyChanged(fleet) => self.on_fleet(fleet),
            Event::OrderAnswered { target, order_id, reply } => {
                self.on_order_answered(&target, &order_id, reply);
            }
            Event::OrderLost { target, order_id } => self.on_order_lost(&target, &order_id),
            Event::Tick => {}
        }
    }

    /// The Unix time at which [`Event::Tick`] is due, if any.
    pub fn wake_ms(&self) -> Option<u64> {
        let due_ms = self.due.first().map(|(due_ms, _)| *due_ms);
        let timer_ms = self.timers.first().map(|(timer_ms, _)| *timer_ms);
        [due_ms, timer_ms, self.next_round_ms].into_iter().flatten().min()
    }

    /// Whether orders may be sent: every known target was read, is gone, or did not respond in
    /// time.
    pub fn can_send_orders(&self) -> bool {
        self.can_send_orders
    }

    /// The memory and replicas of each target.
    pub fn ledger(&self) -> &ledger::Ledger {
        &self.ledger
    }

    /// The limits on concurrent loads.
    pub fn limits(&self) -> &load_limits::LoadLimits {
        &self.limits
    }

    /// Models that are wanted, held or requested.
    pub fn models(&self) -> impl Iterator<Item = ModelSummary> + '_ {
        let is_active = |model: &models::Model| {
            model.wanted.count() > 0 || !model.holding_targets.is_empty() || !model.demand.is_idle()
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
