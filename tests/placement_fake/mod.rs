//! Fake targets, a fake weight store and a faulty network around planners, in virtual time.
#![allow(dead_code, reason = "each test file and bench uses a part")]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use fescuebay::ids::{Incarnation, ModelRef, OrderId, TargetId, Term, Zone};
use fescuebay::placement::catalogue::{self, LoadTimes, Weights};
use fescuebay::placement::{Action, Event, Planner, Settings, demand, policy};
use fescuebay::target::order::{self, Phase, Reply};
use fescuebay::units::Bytes;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const GIB: u64 = 1 << 30;
pub const LOAD: LoadTimes = LoadTimes { memory_ms: 800, disk_ms: 2_500, store_ms: 8_000 };
pub const ADAPTER_LOAD: LoadTimes = LoadTimes { memory_ms: 8, disk_ms: 8, store_ms: 8 };
const UNLOAD_MS: u64 = 20;
/// Copies that a VM keeps in memory.
const MEMORY_COPIES: usize = 2;

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

/// A model or adapter with plain settings.
pub fn spec(model: &str, gib: u64) -> catalogue::ModelSpec {
    let model: ModelRef = name(model);
    let is_adapter = model.is_adapter();
    catalogue::ModelSpec {
        model,
        version: name("1"),
        memory_bytes: Bytes(if is_adapter { GIB / 8 } else { gib * GIB }),
        load: if is_adapter { ADAPTER_LOAD } else { LOAD },
        service_ms: 2_000,
        slots: 8,
        policy: policy::ModelPolicy::default(),
    }
}

/// One daemon's demand for one model.
pub fn demand(daemon: &str, model: &str, waiting: u32, deadline_ms: u64) -> Event {
    Event::DemandReported(demand::DemandReport {
        daemon: name(daemon),
        entries: vec![demand::DemandEntry {
            model: name(model),
            waiting,
            in_flight: 0,
            arrivals: waiting,
            earliest_deadline_ms: Some(deadline_ms),
            class_weight: 1,
        }],
    })
}

/// The weight store, as slow as it is told to be.
#[derive(Clone, Debug)]
pub struct Store {
    pub slowness: f64,
    pub is_stuck: bool,
}

#[derive(Clone, Debug)]
pub struct Replica {
    pub held: order::Held,
    /// When its phase ends; `u64::MAX` for never.
    pub ends_ms: u64,
    pub is_from_store: bool,
    /// Held without an order.
    pub is_rogue: bool,
}

/// A target that does what it is ordered, without checking its memory.
#[derive(Clone, Debug)]
pub struct Fake {
    pub target: TargetId,
    pub zone: Zone,
    pub incarnation: u64,
    pub sequence: u64,
    pub checks_fencing: bool,
    pub memory_bytes: u64,
    pub is_alive: bool,
    pub is_leaving: bool,
    /// The leaders know that it is gone.
    pub is_known_gone: bool,
    /// Loads never end, whatever their source.
    pub is_stuck: bool,
    pub highest: order::Fencing,
    pub replicas: Vec<Replica>,
    pub cached: Vec<order::Cached>,
    pub orders: BTreeMap<OrderId, Reply>,
}

impl Fake {
    pub fn new(at: usize, zone: &str, gib: u64, checks_fencing: bool) -> Self {
        Self {
            target: name(&format!("runner-{at}")),
            zone: name(zone),
            incarnation: 1,
            sequence: 0,
            checks_fencing,
            memory_bytes: gib * GIB,
            is_alive: true,
            is_leaving: false,
            is_known_gone: false,
            is_stuck: false,
            highest: order::Fencing::default(),
            replicas: Vec::new(),
            cached: Vec::new(),
            orders: BTreeMap::new(),
        }
    }

    pub fn state(&self) -> order::State {
        order::State {
            software: None,
            target: self.target.clone(),
            incarnation: Incarnation(self.incarnation),
            sequence: self.sequence,
            kind: order::Kind::Assistant,
            availability_zone: self.zone.clone(),
            address: "127.0.0.1:9000".parse().unwrap(),
            memory_bytes: Bytes(self.memory_bytes),
            accelerators: 1,
            holds: self.replicas.iter().map(|replica| replica.held.clone()).collect(),
            cached: self.cached.clone(),
            services: Vec::new(),
            checks_fencing: self.checks_fencing,
            load: order::Load::default(),
            leaving: self.is_leaving,
        }
    }

    pub fn announce(&mut self) -> order::State {
        self.sequence += 1;
        self.state()
    }

    pub fn used(&self) -> u64 {
        self.replicas.iter().map(|replica| replica.held.memory_bytes.0).sum()
    }

    pub fn find(&self, weights: &Weights) -> Option<&Replica> {
        self.replicas.iter().find(|replica| Weights::from(&replica.held) == *weights)
    }

    fn place(&self, weights: &Weights) -> Option<usize> {
        self.replicas.iter().position(|replica| Weights::from(&replica.held) == *weights)
    }

    pub fn is_cached(&self, weights: &Weights) -> Option<order::Tier> {
        let is_copy = |c: &&order::Cached| c.model == weights.model && c.version == weights.version;
        self.cached.iter().filter(is_copy).map(|c| c.tier).min()
    }

    fn order(&mut self, now_ms: u64, order: &order::Order, load_ms: u64, stored: bool) -> Reply {
        if let Some(reply) = self.orders.get(&order.order_id) {
            return *reply;
        }
        if now_ms > order.expires_ms {
            return Reply::Expired;
        }
        if self.checks_fencing && order.fencing < self.highest {
            return Reply::StaleFencing;
        }
        self.highest = self.highest.max(order.fencing);
        let reply = self.obey(now_ms, order, load_ms, stored);
        self.orders.insert(order.order_id.clone(), reply);
        reply
    }

    fn obey(&mut self, now_ms: u64, order: &order::Order, load_ms: u64, stored: bool) -> Reply {
        let weights = Weights { model: order.model.clone(), version: order.version.clone() };
        match (order.action, self.place(&weights)) {
            (order::Action::Load, Some(_)) => {}
            (order::Action::Load, None) => self.replicas.push(Replica {
                held: order::Held {
                    model: weights.model,
                    version: weights.version,
                    phase: Phase::Loading,
                    memory_bytes: order.memory_bytes,
                },
                ends_ms: if self.is_stuck { u64::MAX } else { now_ms.saturating_add(load_ms) },
                is_from_store: stored,
                is_rogue: false,
            }),
            (_, None) => return Reply::Unknown,
            (order::Action::CancelLoad, Some(at)) => {
                if self.replicas[at].held.phase == Phase::Loading {
                    self.replicas.remove(at);
                }
            }
            (order::Action::Unload, Some(at)) => {
                self.replicas[at].held.phase = Phase::Unloading;
                self.replicas[at].ends_ms = now_ms + UNLOAD_MS;
            }
        }
        Reply::Accepted
    }

    /// Ends phases that are over. Returns whether anything changed.
    fn advance(&mut self, now_ms: u64) -> bool {
        let mut has_changed = false;
        for at in (0..self.replicas.len()).rev() {
            if self.replicas[at].ends_ms > now_ms {
                continue;
            }
            has_changed = true;
            self.replicas[at].ends_ms = u64::MAX;
            if self.replicas[at].held.phase == Phase::Loading {
                self.replicas[at].held.phase = Phase::Loaded;
            } else {
                let replica = self.replicas.remove(at);
                self.cache(&Weights::from(&replica.held), order::Tier::Memory);
            }
        }
        has_changed
    }

    pub fn cache(&mut self, weights: &Weights, tier: order::Tier) {
        let (model, version) = (weights.model.clone(), weights.version.clone());
        let copy = order::Cached { model, version, tier };
        self.cached.retain(|cached| *cached != copy);
        self.cached.push(copy);
        let in_memory = |c: &order::Cached| c.tier == order::Tier::Memory;
        if self.cached.iter().filter(|c| in_memory(c)).count() > MEMORY_COPIES {
            let oldest = self.cached.iter().position(in_memory).unwrap();
            self.cached.remove(oldest);
        }
    }
}

/// What decides: the planner, or a baseline to measure it beside.
pub trait Decider {
    fn handle_event(&mut self, now_ms: u64, event: Event) -> Vec<Action>;
    fn wake_ms(&self) -> Option<u64>;
    fn can_send_orders(&self) -> bool;
}

impl Decider for Planner {
    fn handle_event(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        Planner::handle_event(self, now_ms, event)
    }

    fn wake_ms(&self) -> Option<u64> {
        Planner::wake_ms(self)
    }

    fn can_send_orders(&self) -> bool {
        Planner::can_send_orders(self)
    }
}

/// A message on its way.
#[derive(Clone, Debug)]
pub enum Message {
    Order { leader: usize, target: TargetId, order: order::Order, life: Option<u64> },
    Ask { leader: usize, target: TargetId, fencing: order::Fencing },
    Answer { leader: usize, event: Box<Event> },
    Announcement(Box<order::State>),
    Limit { leader: usize, target: TargetId, call: Call },
    External(Box<Event>),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Call {
    Order(OrderId),
    Ask(order::Fencing),
}

/// When copies of a message arrive, in milliseconds after it was sent. None if it is lost.
pub type Fate = Vec<u64>;

/// Decides what becomes of each message.
pub type Network = Box<dyn FnMut(&Message, &mut SmallRng) -> Fate>;

pub struct Leader<D> {
    pub decider: D,
    pub decided: BTreeMap<Weights, u32>,
    /// When it stops, because its lease ended.
    pub ends_ms: u64,
    open: BTreeSet<Call>,
}

pub struct World<D> {
    pub now_ms: u64,
    pub fakes: Vec<Fake>,
    pub store: Store,
    pub leaders: Vec<Leader<D>>,
    pub order_limit_ms: u64,
    /// Decides what becomes of a message.
    pub fate: Network,
    pub rng: SmallRng,
    /// Every action with its time, by leader.
    pub log: Vec<(u64, usize, Action)>,
    /// Starts from the weight store as the leader sent them.
    pub starts: Vec<u64>,
    pub is_checked: bool,
    /// A phase of a replica ended or a target died since this was cleared.
    pub has_changed: bool,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    messages: BTreeMap<u64, Message>,
    next_message: u64,
}

impl<D: Decider> World<D> {
    pub fn new(seed: u64, fakes: Vec<Fake>, decider: D) -> Self {
        let mut world = Self {
            now_ms: 1_000_000,
            fakes,
            store: Store { slowness: 1.0, is_stuck: false },
            leaders: Vec::new(),
            order_limit_ms: 2_000,
            fate: Box::new(|_, _| vec![1]),
            rng: SmallRng::seed_from_u64(seed),
            log: Vec::new(),
            starts: Vec::new(),
            is_checked: true,
            has_changed: false,
            queue: BinaryHeap::new(),
            messages: BTreeMap::new(),
            next_message: 0,
        };
        world.lead(decider);
        for at in 0..world.fakes.len() {
            world.announce(at);
        }
        world
    }

    /// A new leader starts; the old one goes on for its lease.
    pub fn lead(&mut self, decider: D) {
        self.leaders.push(Leader {
            decider,
            decided: BTreeMap::new(),
            ends_ms: u64::MAX,
            open: BTreeSet::new(),
        });
    }

    pub fn leader(&self) -> &Leader<D> {
        self.leaders.last().unwrap()
    }

    pub fn put(&mut self, at_ms: u64, message: Message) {
        self.queue.push(Reverse((at_ms, self.next_message)));
        self.messages.insert(self.next_message, message);
        self.next_message += 1;
    }

    fn post(&mut self, mut message: Message) {
        for delay_ms in (self.fate)(&message, &mut self.rng) {
            self.put(self.now_ms + delay_ms, message.clone());
            // A repeat comes over the same connection, so it never reaches another life.
            if let Message::Order { target, life, .. } = &mut message {
                let fake = self.fakes.iter().find(|fake| fake.target == *target);
                *life = fake.map(|fake| fake.incarnation);
            }
        }
    }

    pub fn announce(&mut self, at: usize) {
        if self.fakes[at].is_alive {
            let state = self.fakes[at].announce();
            self.post(Message::Announcement(Box::new(state)));
        }
    }

    /// Ends a target; the leaders hear of it later.
    pub fn kill(&mut self, at: usize, heard_after_ms: u64) {
        let fake = &mut self.fakes[at];
        fake.is_alive = false;
        fake.replicas.clear();
        self.has_changed = true;
        let incarnation = Incarnation(fake.incarnation);
        let gone = Event::TargetGone { target: fake.target.clone(), incarnation };
        self.put(self.now_ms + heard_after_ms, Message::External(Box::new(gone)));
    }

    /// Starts a target again in its next life.
    pub fn restart(&mut self, at: usize) {
        let fake = &mut self.fakes[at];
        fake.is_alive = true;
        fake.is_leaving = false;
        fake.is_known_gone = false;
        fake.is_stuck = false;
        fake.incarnation += 1;
        fake.sequence = 0;
        fake.highest = order::Fencing::default();
        fake.orders.clear();
        fake.replicas.clear();
        self.announce(at);
    }

    /// Gives an event to each leader now.
    pub fn tell(&mut self, event: Event) {
        for leader in 0..self.leaders.len() {
            self.give(leader, event.clone());
        }
    }

    fn give(&mut self, leader: usize, event: Event) {
        if self.now_ms >= self.leaders[leader].ends_ms {
            return;
        }
        let actions = self.leaders[leader].decider.handle_event(self.now_ms, event);
        for action in actions {
            self.carry(leader, action);
        }
        self.check();
    }

    fn carry(&mut self, leader: usize, action: Action) {
        let limit_ms = self.now_ms + self.order_limit_ms;
        match action.clone() {
            Action::SendOrder { target, order } => {
                self.count_start(leader, &target, &order);
                let call = Call::Order(order.order_id.clone());
                self.leaders[leader].open.insert(call.clone());
                self.put(limit_ms, Message::Limit { leader, target: target.clone(), call });
                self.post(Message::Order { leader, target, order, life: None });
            }
            Action::ReadState { target, fencing } => {
                let call = Call::Ask(fencing);
                self.leaders[leader].open.insert(call.clone());
                self.put(limit_ms, Message::Limit { leader, target: target.clone(), call });
                self.post(Message::Ask { leader, target, fencing });
            }
            Action::ReplicasDecided { weights, count } => {
                self.leaders[leader].decided.insert(weights, count);
            }
            Action::ExpectReady { .. } | Action::CannotLoad { .. } => {}
        }
        self.log.push((self.now_ms, leader, action));
    }

    fn count_start(&mut self, leader: usize, target: &TargetId, order: &order::Order) {
        let weights = Weights { model: order.model.clone(), version: order.version.clone() };
        let is_load = order.action == order::Action::Load && !order.model.is_adapter();
        let Some(fake) = self.fakes.iter().find(|fake| fake.target == *target) else { return };
        if is_load && leader + 1 == self.leaders.len() && fake.is_cached(&weights).is_none() {
            self.starts.push(self.now_ms);
        }
    }

    /// How long a load that starts now takes, and whether it reads from the weight store.
    fn load_ms(&self, at: usize, order: &order::Order) -> (u64, bool) {
        let weights = Weights { model: order.model.clone(), version: order.version.clone() };
        if order.model.is_adapter() {
            let over = (self.loading(|r| r.held.model.is_adapter()) + 1) as f64 / 30.0;
            return ((ADAPTER_LOAD.store_ms as f64 * over.max(1.0)) as u64, false);
        }
        match self.fakes[at].is_cached(&weights) {
            Some(order::Tier::Memory) => (LOAD.memory_ms, false),
            Some(order::Tier::Disk) => (LOAD.disk_ms, false),
            None if self.store.is_stuck => (u64::MAX, true),
            None => {
                let over = (self.loading(|r| r.is_from_store) + 1) as f64 / 4.0;
                let factor = self.store.slowness * over.max(1.0);
                ((LOAD.store_ms as f64 * factor) as u64, true)
            }
        }
    }

    pub fn loading(&self, filter: impl Fn(&Replica) -> bool) -> usize {
        let replicas = self.fakes.iter().filter(|f| f.is_alive).flat_map(|f| &f.replicas);
        replicas.filter(|r| r.held.phase == Phase::Loading && filter(r)).count()
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Order { leader, target, order, life } => {
                let is_there = |f: &Fake| f.is_alive && life.is_none_or(|l| l == f.incarnation);
                let at = self.fakes.iter().position(|f| f.target == target && is_there(f));
                let Some(at) = at else { return };
                let (load_ms, stored) = self.load_ms(at, &order);
                let reply = self.fakes[at].order(self.now_ms, &order, load_ms, stored);
                let order_id = order.order_id;
                let event = Box::new(Event::OrderAnswered { target, order_id, reply });
                self.post(Message::Answer { leader, event });
            }
            Message::Ask { leader, target, fencing } => {
                let fake = self.fakes.iter_mut().find(|f| f.target == target && f.is_alive);
                let Some(fake) = fake else { return };
                fake.highest = fake.highest.max(fencing);
                let event = Box::new(Event::StateRead { fencing, state: fake.state() });
                self.post(Message::Answer { leader, event });
            }
            Message::Answer { leader, event } => {
                match &*event {
                    Event::OrderAnswered { order_id, .. } => {
                        self.leaders[leader].open.remove(&Call::Order(order_id.clone()));
                    }
                    Event::StateRead { fencing, .. } => {
                        self.leaders[leader].open.remove(&Call::Ask(*fencing));
                    }
                    _ => {}
                }
                self.give(leader, *event);
            }
            Message::Announcement(state) => self.tell(Event::TargetAnnounced(*state)),
            Message::External(event) => {
                if let Event::TargetGone { target, incarnation } = &*event {
                    let fake = self.fakes.iter_mut().find(|fake| fake.target == *target);
                    let fake = fake.filter(|fake| fake.incarnation == incarnation.0);
                    fake.into_iter().for_each(|fake| fake.is_known_gone = true);
                }
                self.tell(*event);
            }
            Message::Limit { leader, target, call } => {
                if !self.leaders[leader].open.remove(&call) {
                    return;
                }
                let event = match call {
                    Call::Order(order_id) => Event::OrderLost { target, order_id },
                    Call::Ask(fencing) => Event::StateReadFailed { target, fencing },
                };
                self.give(leader, event);
            }
        }
    }

    /// When something happens next.
    pub fn next_ms(&self) -> Option<u64> {
        let message_ms = self.queue.peek().map(|Reverse((at_ms, _))| *at_ms);
        let running = self.leaders.iter().filter(|leader| leader.ends_ms > self.now_ms);
        let wake_ms = running.filter_map(|leader| leader.decider.wake_ms()).min();
        let alive = self.fakes.iter().filter(|fake| fake.is_alive);
        let phase_ms = alive.flat_map(|f| &f.replicas).map(|r| r.ends_ms).min();
        [message_ms, wake_ms, phase_ms].into_iter().flatten().min()
    }

    /// Does all that happens until `until_ms`.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(next_ms) = self.next_ms().filter(|next_ms| *next_ms <= until_ms) {
            self.step(next_ms);
        }
        self.now_ms = self.now_ms.max(until_ms);
    }

    pub fn run_for(&mut self, ms: u64) {
        self.run_until(self.now_ms + ms);
    }

    /// Does all that happens at `next_ms`.
    pub fn step(&mut self, next_ms: u64) {
        self.now_ms = self.now_ms.max(next_ms);
        for at in 0..self.fakes.len() {
            if self.fakes[at].is_alive && self.fakes[at].advance(self.now_ms) {
                self.has_changed = true;
                self.announce(at);
            }
        }
        while let Some(Reverse((at_ms, id))) = self.queue.peek().copied() {
            if at_ms > self.now_ms {
                break;
            }
            self.queue.pop();
            if let Some(message) = self.messages.remove(&id) {
                self.deliver(message);
            }
        }
        for leader in 0..self.leaders.len() {
            let wake_ms = self.leaders[leader].decider.wake_ms();
            if wake_ms.is_some_and(|wake_ms| wake_ms <= self.now_ms) {
                self.give(leader, Event::Tick);
            }
        }
        self.check();
    }

    /// Replicas of each model that are loading or loaded in truth, without those that were held
    /// without an order.
    pub fn truth(&self) -> BTreeMap<Weights, u32> {
        let mut truth = BTreeMap::new();
        for replica in self.fakes.iter().filter(|f| f.is_alive).flat_map(|f| &f.replicas) {
            if replica.held.phase != Phase::Unloading && !replica.is_rogue {
                *truth.entry(Weights::from(&replica.held)).or_insert(0) += 1;
            }
        }
        truth
    }

    /// Targets that hold a replica ready for work.
    pub fn ready(&self, model: &str) -> Vec<&Fake> {
        let model: ModelRef = name(model);
        let is_ready = |r: &Replica| r.held.model == model && r.held.phase == Phase::Loaded;
        let alive = self.fakes.iter().filter(|fake| fake.is_alive);
        alive.filter(|fake| fake.replicas.iter().any(is_ready)).collect()
    }

    /// What must hold at every moment.
    pub fn check(&self) {
        if !self.is_checked {
            return;
        }
        let now_ms = self.now_ms;
        for (weights, count) in self.truth() {
            let decided = |leader: &Leader<D>| leader.decided.get(&weights).copied().unwrap_or(0);
            let current = self.leader();
            let allowed = if current.decider.can_send_orders() {
                decided(current)
            } else {
                self.leaders.iter().map(decided).max().unwrap_or(0)
            };
            let model = &weights.model;
            let history = || self.history(&weights).join("\n");
            assert!(
                count <= allowed,
                "{now_ms}: {count} of {model}, {allowed} decided\n{}",
                history()
            );
        }
        for fake in self.fakes.iter().filter(|fake| fake.is_alive) {
            let has_rogue = fake.replicas.iter().any(|replica| replica.is_rogue);
            let capacity = (fake.memory_bytes as f64 * 0.8) as u64;
            let used = fake.used();
            assert!(used <= capacity || has_rogue, "{now_ms}: {used} on {}", fake.target);
        }
        let stored = self.loading(|replica| replica.is_from_store);
        let from_store = || {
            let alive = self.fakes.iter().filter(|fake| fake.is_alive);
            let held = alive.flat_map(|fake| fake.replicas.iter().map(move |r| (&fake.target, r)));
            let loading = held.filter(|(_, r)| r.is_from_store && r.held.phase == Phase::Loading);
            let lines = loading.map(|(target, r)| {
                let history = self.history(&Weights::from(&r.held)).join("\n");
                format!("== {target} {}\n{history}", r.held.model)
            });
            lines.collect::<Vec<_>>().join("\n")
        };
        assert!(stored <= 4, "{now_ms}: {stored} loads from the weight store\n{}", from_store());
        let adapters = self.loading(|replica| replica.held.model.is_adapter());
        assert!(adapters <= 30, "{now_ms}: {adapters} adapters in transit");
        if let [.., first, _, _, last] = self.starts[..] {
            assert!(last - first >= 1_000, "{now_ms}: 4 starts in {} ms", last - first);
        }
    }

    /// What the leaders did about these weights, for the message of a failed check.
    fn history(&self, weights: &Weights) -> Vec<String> {
        let is_about = |action: &Action| match action {
            Action::SendOrder { order, .. } => order.model == weights.model,
            Action::ReplicasDecided { weights: decided, .. } => decided == weights,
            Action::ReadState { .. } | Action::ExpectReady { .. } | Action::CannotLoad { .. } => {
                false
            }
        };
        let logged = self.log.iter().filter(|(_, _, action)| is_about(action));
        let mut lines: Vec<String> =
            logged.map(|(at_ms, leader, action)| format!("{at_ms} {leader} {action:?}")).collect();
        lines.drain(..lines.len().saturating_sub(30));
        for fake in &self.fakes {
            let held = fake.find(weights).map(|replica| replica.held.phase);
            lines.push(format!("{} life {} {held:?}", fake.target, fake.incarnation));
        }
        lines
    }

    /// Orders that the leaders gave, with their time.
    pub fn orders(&self, action: order::Action) -> Vec<(u64, &TargetId, &order::Order)> {
        let sent = self.log.iter().filter_map(|(at_ms, _, logged)| match logged {
            Action::SendOrder { target, order } if order.action == action => {
                Some((*at_ms, target, order))
            }
            _ => None,
        });
        sent.collect()
    }
}

/// A planner of `term` that knows `models`.
pub fn planner(term: u64, now_ms: u64, models: &[catalogue::ModelSpec]) -> Planner {
    let mut planner = Planner::new(Term(term), Settings::new());
    for model in models {
        planner.handle_event(now_ms, Event::ModelChanged(Box::new(model.clone())));
    }
    planner
}

/// The next leader takes over from the current one, which goes on for `lease_ms`.
pub fn change_leader(world: &mut World<Planner>, models: &[catalogue::ModelSpec], lease_ms: u64) {
    let term = world.leaders.len() as u64 + 1;
    world.leaders.last_mut().unwrap().ends_ms = world.now_ms + lease_ms;
    let known = world.fakes.iter().filter(|fake| !fake.is_known_gone);
    let known = Event::KnownTargets(known.map(|fake| fake.target.clone()).collect());
    world.lead(planner(term, world.now_ms, models));
    let leader = world.leaders.len() - 1;
    world.give(leader, known);
    for at in 0..world.fakes.len() {
        world.announce(at);
    }
}

/// Nine runners of 80 GiB in three zones.
pub fn nine(checks_fencing: bool) -> Vec<Fake> {
    let zones = ["andina-a", "andina-b", "andina-c"];
    (0..9).map(|at| Fake::new(at, zones[at % 3], 80, checks_fencing)).collect()
}

/// A message is lost, late or doubled with these chances in a hundred.
pub fn faulty(lost: u32, late: u32, twice: u32) -> Network {
    Box::new(move |message, rng| {
        let roll = rng.random_range(0..100);
        let delay_ms = rng.random_range(1..=5);
        // What daemons tell the leader of targets may be late but comes.
        let may_be_lost = !matches!(message, Message::Announcement(_));
        if roll < lost && may_be_lost {
            return Vec::new();
        }
        if roll < lost + late {
            return vec![rng.random_range(100..4_000)];
        }
        if roll < lost + late + twice {
            return vec![delay_ms, rng.random_range(5..3_000)];
        }
        vec![delay_ms]
    })
}
