//! Engines in virtual time that carry out one order at a time, lose answers, carry orders out late,
//! and tell of themselves with a lag. They check what a planner must never do.

#![allow(dead_code)]

use std::collections::BTreeMap;

use fescuebay::ids::{AdapterName, DaemonId, Incarnation, ModelName, ModelRef, TargetId, Term};
use fescuebay::placement::swap::demand::{RouterDemand, RunningRequests, WaitingRequests};
use fescuebay::placement::swap::{
    Action, EngineReport, Event, Operation, Order, OrderReply, Planner, Settings,
};
use fescuebay::routes::{Engine as Spec, Model};
use fescuebay::target::order::{Cached, Held, Kind, Load, Phase, State, Tier};
use fescuebay::units::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Lag of what an engine tells when it is read.
const READ_LAG_MS: u64 = 150;
/// Time that an unload takes when nothing runs.
const UNLOAD_MS: u64 = 20;

pub fn model(number: usize) -> ModelName {
    format!("m{number}").parse().unwrap()
}

pub fn model_ref(number: usize, adapter: Option<usize>) -> ModelRef {
    let adapter = adapter.map(adapter_name);
    ModelRef { model: model(number), adapter }
}

fn adapter_name(number: usize) -> AdapterName {
    format!("a{number}").parse().unwrap()
}

/// Engines that hold three models each.
pub fn spec(models: usize) -> Spec {
    let model = |number| Model {
        name: model(number),
        weights_mb: if number % 2 == 0 { 65_000.0 } else { 72_700.0 },
        store_load_ms: 6_000,
        memory_load_ms: 600,
        disk_load_ms: 800,
        adapter_mb: 66.0,
    };
    Spec {
        slots: 64,
        kv_capacity_tokens: 127_000,
        weights_mb: 230_000.0,
        adapter_slots: 8,
        store_loads_per_s: 3.1,
        models: (0..models).map(model).collect(),
    }
}

#[derive(Clone)]
struct Told {
    at_ms: u64,
    report: EngineReport,
}

/// One engine.
pub struct Engine {
    pub target: TargetId,
    pub holds: BTreeMap<ModelName, Vec<AdapterName>>,
    disk: Vec<ModelName>,
    orders: u64,
    fencing: Term,
    /// The order under way, and when it ends.
    busy: Option<(u64, Operation, ModelName)>,
    told: Vec<Told>,
    sequence: u64,
    pub is_announcement_due: bool,
    /// Until then its announcements are lost.
    cut_until_ms: u64,
}

impl Engine {
    fn new(number: usize, holds: &[usize]) -> Self {
        let holds: BTreeMap<_, _> =
            holds.iter().map(|number| (model(*number), Vec::new())).collect();
        let disk = holds.keys().cloned().collect();
        Self {
            target: format!("e{number}").parse().unwrap(),
            holds,
            disk,
            orders: 0,
            fencing: Term(0),
            busy: None,
            told: Vec::new(),
            sequence: 0,
            is_announcement_due: true,
            cut_until_ms: 0,
        }
    }

    pub fn put_on_disk(&mut self, number: usize) {
        self.disk.push(model(number));
    }

    /// Its next announcement.
    pub fn state(&mut self) -> State {
        self.sequence += 1;
        let held = |model: ModelRef| Held {
            model,
            version: "1".parse().unwrap(),
            phase: Phase::Loaded,
            memory_bytes: Bytes(0),
        };
        let base = |model: &ModelName| ModelRef { model: model.clone(), adapter: None };
        let mut holds = Vec::new();
        for (model, adapters) in &self.holds {
            holds.push(held(base(model)));
            holds.extend(adapters.iter().map(|adapter| {
                held(ModelRef { model: model.clone(), adapter: Some(adapter.clone()) })
            }));
        }
        let cached = self.disk.iter().map(|model| Cached {
            model: base(model),
            version: "1".parse().unwrap(),
            tier: Tier::Disk,
        });
        State {
            target: self.target.clone(),
            incarnation: Incarnation(1),
            sequence: self.sequence,
            kind: Kind::Assistant,
            availability_zone: "z".parse().unwrap(),
            address: "127.0.0.1:80".parse().unwrap(),
            memory_bytes: Bytes(0),
            accelerators: 1,
            holds,
            cached: cached.collect(),
            services: vec!["engines".parse().unwrap()],
            checks_fencing: true,
            load: Load { running: 0, waiting: 0, slots: 64 },
            leaving: false,
        }
    }

    fn tell(&mut self, now_ms: u64) {
        let report = EngineReport {
            incarnation: Some(Incarnation(1)),
            accepted_orders: self.orders,
            is_busy: self.busy.is_some(),
            models: self.holds.iter().map(|(m, a)| (m.clone(), a.clone())).collect(),
        };
        self.told.push(Told { at_ms: now_ms, report });
        if self.told.len() > 200 {
            self.told.drain(..100);
        }
    }

    fn report(&self, now_ms: u64) -> EngineReport {
        let old = self.told.iter().rev().find(|told| told.at_ms + READ_LAG_MS <= now_ms);
        old.or(self.told.first()).map(|told| told.report.clone()).unwrap_or_default()
    }

    fn finish(&mut self, now_ms: u64) {
        let Some((end_ms, operation, model)) = self.busy.clone() else { return };
        if now_ms < end_ms {
            return;
        }
        self.busy = None;
        match operation {
            Operation::Load => {
                self.holds.insert(model.clone(), Vec::new());
                if !self.disk.contains(&model) {
                    self.disk.push(model);
                }
            }
            Operation::Unload => drop(self.holds.remove(&model)),
        }
        self.is_announcement_due = true;
        self.tell(now_ms);
    }

    fn take(&mut self, now_ms: u64, order: &Order, spec: &Spec) -> OrderReply {
        if order.fencing < self.fencing {
            return OrderReply::Fenced;
        }
        self.fencing = order.fencing;
        if self.busy.is_some() || order.expected_orders != self.orders {
            return OrderReply::Conflict;
        }
        let holds = self.holds.contains_key(&order.model.model);
        let reply = match (&order.model.adapter, order.operation) {
            (None, Operation::Load) if holds => return OrderReply::Holds,
            (None, Operation::Load) => {
                let is_on_disk = self.disk.contains(&order.model.model);
                let load_ms = if is_on_disk { 800 } else { 6_000 };
                let name = order.model.model.clone();
                self.busy = Some((now_ms + load_ms, Operation::Load, name));
                OrderReply::Accepted
            }
            (None, Operation::Unload) if !holds => return OrderReply::Holds,
            (None, Operation::Unload) => {
                let name = order.model.model.clone();
                self.busy = Some((now_ms + UNLOAD_MS, Operation::Unload, name));
                OrderReply::Accepted
            }
            (Some(_), _) if !holds => return OrderReply::Refused,
            (Some(adapter), operation) => {
                let adapters = self.holds.get_mut(&order.model.model).unwrap();
                let was_there = adapters.contains(adapter);
                adapters.retain(|known| known != adapter);
                if operation == Operation::Load {
                    adapters.push(adapter.clone());
                }
                if was_there && operation == Operation::Load {
                    return OrderReply::Holds;
                }
                if operation == Operation::Load { OrderReply::Accepted } else { OrderReply::Holds }
            }
        };
        self.orders += 1;
        if order.fencing > Term(0) {
            self.check(spec);
        }
        self.tell(now_ms);
        reply
    }

    /// What an engine must never be ordered.
    fn check(&self, spec: &Spec) {
        let size_mb = |name: &ModelName| {
            spec.models.iter().find(|model| model.name == *name).unwrap().weights_mb
        };
        let adapters: usize = self.holds.values().map(Vec::len).sum();
        let mut total_mb: f64 = self.holds.keys().map(size_mb).sum();
        total_mb += adapters as f64 * 66.0;
        if let Some((_, Operation::Load, name)) = &self.busy {
            total_mb += size_mb(name);
        }
        assert!(total_mb <= spec.weights_mb, "{} was ordered beyond its memory", self.target);
        let slots = spec.adapter_slots as usize;
        assert!(adapters <= slots, "{} was ordered {adapters} adapters", self.target);
    }
}

/// How engines misbehave.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// Share of orders whose answer is lost.
    pub lost: f64,
    /// Share of lost orders that are carried out seconds later.
    pub late: f64,
    /// Share of announcements that a cut holds up for seconds, and with them all that follow until it
    /// is over.
    pub held_up: f64,
}

enum Due {
    Answer(TargetId, u64, OrderReply),
    Read(TargetId, EngineReport),
    Late(Order),
    Announced(Box<State>),
}

/// A planner and its engines in virtual time.
pub struct Simulation {
    pub now_ms: u64,
    pub planner: Planner,
    pub engines: Vec<Engine>,
    pub spec: Spec,
    pub faults: Faults,
    pub conflicts: u32,
    pub orders: u32,
    /// When each load from the weight store began.
    pub store_starts_ms: Vec<u64>,
    wake_ms: u64,
    due: Vec<(u64, Due)>,
    rng: SmallRng,
}

impl Simulation {
    /// `engines` engines that hold three of `models` models each.
    pub fn new(seed: u64, engines: usize, models: usize, faults: Faults) -> Self {
        let mut planner = Planner::new(Term(1), Settings::default(), 0);
        let _ = planner.handle_event(0, Event::OrdersAllowed);
        let spec = spec(models);
        let _ = planner.handle_event(0, Event::EngineSpec(spec.clone()));
        let engines = (0..engines).map(|at| {
            Engine::new(at, &[at * 3 % models, (at * 3 + 1) % models, (at * 3 + 2) % models])
        });
        Self {
            now_ms: 0,
            planner,
            engines: engines.collect(),
            spec,
            faults,
            conflicts: 0,
            orders: 0,
            store_starts_ms: Vec::new(),
            wake_ms: 0,
            due: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// An order of an earlier leader, which an engine carries out at `at_ms` if it has accepted as
    /// many orders as that leader knew of.
    pub fn foreign_load(&mut self, at_ms: u64, engine: usize, expected_orders: u64, model: usize) {
        let order = Order {
            target: self.engines[engine].target.clone(),
            incarnation: Incarnation(1),
            address: "127.0.0.1:80".parse().unwrap(),
            ticket: 0,
            expected_orders,
            fencing: Term(0),
            operation: Operation::Load,
            model: model_ref(model, None),
        };
        self.due.push((at_ms, Due::Late(order)));
    }

    /// Tells the planner what arrived since it was last told, and what waits and runs.
    pub fn usage(
        &mut self,
        arrived: &[ModelRef],
        waiting: &[ModelRef],
        running: Vec<RunningRequests>,
    ) {
        let waiting = waiting
            .iter()
            .map(|model| WaitingRequests { model: model.clone(), count: 1, slack_ms: 1_000 })
            .collect::<Vec<_>>();
        let arrivals = arrived.iter().map(|model| (model.clone(), 1)).collect();
        let usage = RouterDemand { arrivals, waiting, running, leaving: Vec::new() };
        let router: DaemonId = "r".parse().unwrap();
        let actions = self.planner.handle_event(self.now_ms, Event::RouterDemand(router, usage));
        self.carry_out(actions);
    }

    /// Whether routers may use the model somewhere.
    pub fn is_served(&self, model: &ModelRef) -> bool {
        self.engines.iter().any(|engine| {
            let replicas = self.planner.replicas(&engine.target).unwrap_or_default();
            replicas.contains(model)
        })
    }

    /// Lets a millisecond pass.
    pub fn step(&mut self) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        for at in 0..self.engines.len() {
            let engine = &mut self.engines[at];
            engine.finish(now_ms);
            let is_regular = (now_ms + at as u64 * 100).is_multiple_of(1_200);
            if std::mem::take(&mut engine.is_announcement_due) || is_regular {
                let state = Box::new(engine.state());
                engine.tell(now_ms);
                if now_ms < engine.cut_until_ms {
                    continue;
                }
                let share = self.faults.held_up;
                if share > 0.0 && self.rng.random_bool(share) {
                    engine.cut_until_ms = now_ms + self.rng.random_range(3_000..6_000);
                    self.due.push((engine.cut_until_ms, Due::Announced(state)));
                    continue;
                }
                let actions = self.planner.handle_event(now_ms, Event::Announced(state));
                self.carry_out(actions);
            }
        }
        let due: Vec<_> = self.due.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).collect();
        for (_, due) in due {
            self.arrive(due);
        }
        if now_ms.is_multiple_of(25) || now_ms >= self.wake_ms {
            let actions = self.planner.handle_event(now_ms, Event::Tick);
            self.carry_out(actions);
            self.wake_ms = self.planner.wake_ms();
        }
    }

    pub fn run(&mut self, for_ms: u64) {
        (0..for_ms).for_each(|_| self.step());
    }

    fn arrive(&mut self, due: Due) {
        let now_ms = self.now_ms;
        let event = match due {
            Due::Answer(target, ticket, reply) => Event::OrderAnswered { target, ticket, reply },
            Due::Read(target, report) => Event::EngineReport { target, report: Some(report) },
            Due::Announced(state) => Event::Announced(state),
            Due::Late(order) => {
                self.deliver(&order);
                return;
            }
        };
        let actions = self.planner.handle_event(now_ms, event);
        self.carry_out(actions);
    }

    fn deliver(&mut self, order: &Order) -> OrderReply {
        let spec = self.spec.clone();
        let engine = self.engines.iter_mut().find(|e| e.target == order.target).unwrap();
        let is_from_store = !engine.disk.contains(&order.model.model);
        let reply = engine.take(self.now_ms, order, &spec);
        if reply == OrderReply::Accepted
            && order.operation == Operation::Load
            && !order.model.is_adapter()
            && is_from_store
        {
            self.store_starts_ms.push(self.now_ms);
        }
        reply
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendOrder(order) => self.send(order),
                Action::RequestReport { target, .. } => {
                    let engine = self.engines.iter().find(|e| e.target == target).unwrap();
                    let report = engine.report(self.now_ms);
                    // The answer takes its time, so what it tells is older still.
                    let delay_ms = self.rng.random_range(2..60);
                    self.due.push((self.now_ms + delay_ms, Due::Read(target, report)));
                }
                Action::ReplicasChanged(_) => {}
            }
        }
    }

    fn send(&mut self, order: Order) {
        self.orders += 1;
        let (target, ticket) = (order.target.clone(), order.ticket);
        if self.rng.random_bool(self.faults.lost) {
            if self.rng.random_bool(self.faults.late) {
                let late_ms = self.rng.random_range(2_000..=12_000);
                self.due.push((self.now_ms + late_ms, Due::Late(order)));
            } else if self.rng.random_bool(0.5) {
                self.deliver(&order);
            }
            self.due.push((self.now_ms + 700, Due::Answer(target, ticket, OrderReply::Lost)));
            return;
        }
        let reply = self.deliver(&order);
        self.conflicts += u32::from(reply == OrderReply::Conflict);
        self.due.push((self.now_ms + 3, Due::Answer(target, ticket, reply)));
    }
}
