//! The baseline: one queue of loads in order of arrival, the first target with room, and a fixed
//! keep-alive.

use std::collections::{BTreeMap, VecDeque};

use fescuebay::ids::{DaemonId, ModelRef, TargetId};
use fescuebay::placement::{Action, Event, catalogue};
use fescuebay::target::order::{self, Phase};

use super::fake::Decider;

const STARTS_PER_S: usize = 3;

#[derive(Clone, Debug, Default)]
struct Use {
    demand: BTreeMap<(DaemonId, ModelRef), u32>,
    idle_since_ms: u64,
}

impl Use {
    fn is_idle(&self) -> bool {
        self.demand.values().sum::<u32>() == 0
    }
}

pub struct Fifo {
    specs: BTreeMap<ModelRef, catalogue::ModelSpec>,
    uses: BTreeMap<ModelRef, Use>,
    states: BTreeMap<TargetId, order::State>,
    /// Replicas by model: the target, and whether it is ready.
    replicas: BTreeMap<ModelRef, (TargetId, bool)>,
    leaving: BTreeMap<ModelRef, TargetId>,
    queue: VecDeque<ModelRef>,
    starts: VecDeque<u64>,
    at_once: usize,
    keep_alive_ms: u64,
    sequence: u64,
    now_ms: u64,
    wake_ms: u64,
}

impl Fifo {
    pub fn new(models: Vec<catalogue::ModelSpec>, at_once: usize, keep_alive_ms: u64) -> Self {
        Self {
            specs: models.into_iter().map(|model| (model.model.clone(), model)).collect(),
            uses: BTreeMap::new(),
            states: BTreeMap::new(),
            replicas: BTreeMap::new(),
            leaving: BTreeMap::new(),
            queue: VecDeque::new(),
            starts: VecDeque::new(),
            at_once,
            keep_alive_ms,
            sequence: 0,
            now_ms: 0,
            wake_ms: 0,
        }
    }

    fn count(&mut self, daemon: &DaemonId, asked: &ModelRef, name: &ModelRef, count: u32) {
        let now_ms = self.now_ms;
        let used = self.uses.entry(name.clone()).or_default();
        used.demand.insert((daemon.clone(), asked.clone()), count);
        used.idle_since_ms = now_ms;
        let is_known = self.replicas.contains_key(name) || self.queue.contains(name);
        if count > 0 && !is_known {
            self.queue.push_back(name.clone());
        }
    }

    fn learn(&mut self, state: order::State) {
        let target = state.target.clone();
        for held in state.holds.iter().filter(|held| held.phase == Phase::Loaded) {
            if let Some(replica) = self.replicas.get_mut(&held.model) {
                replica.1 = true;
            }
        }
        let holds = |name: &ModelRef| state.holds.iter().any(|held| held.model == *name);
        self.leaving.retain(|name, at| *at != target || holds(name));
        self.states.insert(target, state);
    }

    fn used(&self, target: &TargetId) -> u64 {
        let loaded = self.replicas.iter().filter(|(_, (at, _))| at == target);
        let leaving = self.leaving.iter().filter(|(_, at)| *at == target);
        let names = loaded.map(|(name, _)| name).chain(leaving.map(|(name, _)| name));
        names.map(|name| self.specs[name].memory_bytes.0).sum()
    }

    fn order(&mut self, name: &ModelRef, target: &TargetId, action: order::Action) -> Action {
        self.sequence += 1;
        let spec = &self.specs[name];
        let fencing = order::Fencing { term: fescuebay::ids::Term(1), sequence: self.sequence };
        let order = order::Order {
            fencing,
            order_id: format!("o-{}", self.sequence).parse().unwrap(),
            action,
            model: name.clone(),
            version: spec.version.clone(),
            memory_bytes: spec.memory_bytes,
            expires_ms: u64::MAX,
        };
        Action::SendOrder { target: target.clone(), order }
    }

    fn unload(&mut self, name: &ModelRef) -> Vec<Action> {
        let Some((target, _)) = self.replicas.remove(name) else { return Vec::new() };
        self.leaving.insert(name.clone(), target.clone());
        vec![self.order(name, &target, order::Action::Unload)]
    }

    /// The first target with room for the head of the queue.
    fn room(&self, name: &ModelRef) -> Option<TargetId> {
        if name.is_adapter() {
            let (target, is_ready) = self.replicas.get(&name.base())?;
            return is_ready.then(|| target.clone());
        }
        let need = self.specs[name].memory_bytes.0;
        let has_room = |(target, state): &(&TargetId, &order::State)| {
            self.used(target) + need <= (state.memory_bytes.0 as f64 * 0.8) as u64
        };
        self.states.iter().find(has_room).map(|(target, _)| target.clone())
    }

    fn pump(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.wake_ms = self.now_ms + 1_000;
        while let Some(name) = self.queue.front().cloned() {
            if self.uses[&name].is_idle() || self.replicas.contains_key(&name) {
                self.queue.pop_front();
                continue;
            }
            let in_transit = self.replicas.values().filter(|(_, is_ready)| !is_ready).count();
            if in_transit >= self.at_once {
                return actions;
            }
            let first_ms = self.starts.front().copied().unwrap_or(0);
            if self.starts.len() == STARTS_PER_S && self.now_ms < first_ms + 1_000 {
                self.wake_ms = first_ms + 1_000;
                return actions;
            }
            let Some(target) = self.room(&name) else {
                if self.leaving.is_empty() {
                    actions.extend(self.evict());
                }
                return actions;
            };
            self.queue.pop_front();
            if !name.is_adapter() {
                self.starts.push_back(self.now_ms);
                if self.starts.len() > STARTS_PER_S {
                    self.starts.pop_front();
                }
            }
            self.replicas.insert(name.clone(), (target.clone(), false));
            actions.push(self.order(&name, &target, order::Action::Load));
        }
        actions
    }

    /// Unloads the replica that has been idle for longest.
    fn evict(&mut self) -> Vec<Action> {
        let idle = self.replicas.iter().filter(|(name, (_, is_ready))| {
            *is_ready && !name.is_adapter() && self.uses[*name].is_idle()
        });
        let oldest = idle.map(|(name, _)| (self.uses[name].idle_since_ms, name.clone())).min();
        oldest.map(|(_, name)| self.unload(&name)).unwrap_or_default()
    }

    fn expire(&mut self) -> Vec<Action> {
        let now_ms = self.now_ms;
        let is_over = |name: &ModelRef| {
            let used = &self.uses[name];
            used.is_idle() && now_ms >= used.idle_since_ms + self.keep_alive_ms
        };
        let over: Vec<ModelRef> = self.replicas.keys().filter(|n| is_over(n)).cloned().collect();
        over.iter().flat_map(|name| self.unload(name)).collect()
    }
}

impl Decider for Fifo {
    fn handle_event(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        self.now_ms = now_ms;
        match event {
            Event::TargetAnnounced(state) | Event::StateRead { state, .. } => self.learn(state),
            Event::DemandReported(report) => {
                for entry in report.entries {
                    let count = entry.waiting + entry.in_flight;
                    self.count(&report.daemon, &entry.model, &entry.model.base(), count);
                    if entry.model.is_adapter() {
                        self.count(&report.daemon, &entry.model, &entry.model, count);
                    }
                }
            }
            _ => {}
        }
        let mut actions = self.expire();
        actions.extend(self.pump());
        actions
    }

    fn wake_ms(&self) -> Option<u64> {
        Some(self.wake_ms)
    }

    fn can_send_orders(&self) -> bool {
        true
    }
}
