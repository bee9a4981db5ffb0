//! Requests over fake targets: routers that hold them until a replica is ready, and tell demand.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use fescuebay::ids::{ModelRef, TargetId};
use fescuebay::placement::{Event, catalogue, demand};
use fescuebay::target::order::Phase;

use super::fake::{Decider, World, name};
use super::{HOUR_MS, Outcome, ROUTERS};

const REPORT_MS: u64 = 1_000;
/// Demand that goes on is told again after this time.
const REFRESH_MS: u64 = 4_000;
const DEADLINE_MS: u64 = 600_000;

#[derive(Clone, Debug)]
pub struct Request {
    pub at_ms: u64,
    pub model: usize,
    pub router: usize,
    pub service_ms: u64,
}

struct Waiting {
    request: Request,
    is_cold: bool,
}

#[derive(Clone, Debug, Default)]
struct Told {
    waiting: u32,
    in_flight: u32,
    arrivals: u32,
    is_dirty: bool,
    told_ms: u64,
}

pub struct Run<D> {
    world: World<D>,
    models: Vec<catalogue::ModelSpec>,
    requests: VecDeque<Request>,
    queues: Vec<VecDeque<Waiting>>,
    running: BinaryHeap<Reverse<(u64, TargetId, usize, usize)>>,
    busy: BTreeMap<(TargetId, ModelRef), u32>,
    told: BTreeMap<(usize, usize), Told>,
    report_ms: u64,
    start_ms: u64,
    outcome: Outcome,
}

impl<D: Decider> Run<D> {
    pub fn new(
        world: World<D>,
        models: Vec<catalogue::ModelSpec>,
        mut requests: Vec<Request>,
    ) -> Self {
        let start_ms = world.now_ms;
        requests.iter_mut().for_each(|request| request.at_ms += start_ms);
        let queues = models.iter().map(|_| VecDeque::new()).collect();
        Self {
            world,
            models,
            requests: requests.into(),
            queues,
            running: BinaryHeap::new(),
            busy: BTreeMap::new(),
            told: BTreeMap::new(),
            report_ms: start_ms,
            start_ms,
            outcome: Outcome::default(),
        }
    }

    pub fn world(&self) -> &World<D> {
        &self.world
    }

    pub fn until(&mut self, ends_ms: u64) {
        let end_ms = self.start_ms + ends_ms;
        loop {
            let arrival_ms = self.requests.front().map(|request| request.at_ms);
            let done_ms = self.running.peek().map(|Reverse((at_ms, ..))| *at_ms);
            let times = [self.world.next_ms(), arrival_ms, done_ms, Some(self.report_ms)];
            let next_ms = times.into_iter().flatten().min().unwrap_or(end_ms);
            let is_served = self.requests.is_empty() && self.running.is_empty();
            let is_over = is_served && self.queues.iter().all(VecDeque::is_empty);
            // A burst ends when all is served; an evening goes on until its end.
            if next_ms > end_ms || is_over && ends_ms < HOUR_MS {
                break;
            }
            self.advance(next_ms.max(self.world.now_ms));
        }
        self.outcome.hours = (self.world.now_ms - self.start_ms) as f64 / HOUR_MS as f64;
        self.outcome.unserved = self.queues.iter().map(VecDeque::len).sum();
    }

    pub fn outcome(&self) -> Outcome {
        self.outcome.clone()
    }

    fn advance(&mut self, now_ms: u64) {
        self.integrate(now_ms - self.world.now_ms);
        self.world.step(now_ms);
        self.finish(now_ms);
        self.arrive(now_ms);
        self.dispatch(now_ms);
        self.report(now_ms);
    }

    /// Adds the accelerator time that passes unused.
    fn integrate(&mut self, ms: u64) {
        if ms == 0 {
            return;
        }
        let mut held_unused = 0.0;
        let mut free = 0.0;
        for fake in &self.world.fakes {
            let capacity = fake.memory_bytes as f64 * 0.8;
            free += 1.0 - fake.used() as f64 / capacity;
            for replica in fake.replicas.iter().filter(|r| r.held.phase == Phase::Loaded) {
                let key = (fake.target.clone(), replica.held.model.clone());
                if self.busy.get(&key).is_none_or(|count| *count == 0) {
                    held_unused += replica.held.memory_bytes.0 as f64 / capacity;
                }
            }
        }
        let hours = ms as f64 / HOUR_MS as f64;
        self.outcome.held_unused_h += held_unused * hours;
        let is_unloaded = |at: usize| {
            let model = self.models[at].model.to_string();
            !self.queues[at].is_empty() && self.world.ready(&model).is_empty()
        };
        if (0..self.models.len()).any(is_unloaded) {
            self.outcome.free_while_waiting_h += free * hours;
        }
    }

    fn finish(&mut self, now_ms: u64) {
        while let Some(Reverse((at_ms, ..))) = self.running.peek() {
            if *at_ms > now_ms {
                break;
            }
            let Some(Reverse((_, target, model, router))) = self.running.pop() else { break };
            let mut names = vec![self.models[model].model.clone()];
            if names[0].is_adapter() {
                names.push(names[0].base());
            }
            for name in names {
                *self.busy.entry((target.clone(), name)).or_insert(1) -= 1;
            }
            let told = self.told.entry((router, model)).or_default();
            told.in_flight -= 1;
            told.is_dirty = true;
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        while self.requests.front().is_some_and(|request| request.at_ms <= now_ms) {
            let Some(request) = self.requests.pop_front() else { break };
            let model = &self.models[request.model];
            let is_cold = self.world.ready(&model.model.to_string()).is_empty();
            let told = self.told.entry((request.router, request.model)).or_default();
            told.waiting += 1;
            told.arrivals += 1;
            told.is_dirty = true;
            let (router, at) = (request.router, request.model);
            self.queues[at].push_back(Waiting { request, is_cold });
            let is_first = self.told[&(router, at)].waiting == 1;
            if is_first && is_cold {
                self.tell(now_ms, router, vec![at]);
            }
        }
    }

    fn dispatch(&mut self, now_ms: u64) {
        for at in 0..self.models.len() {
            while !self.queues[at].is_empty() {
                let Some(target) = self.free_target(at) else { break };
                let Some(waiting) = self.queues[at].pop_front() else { break };
                let wait_ms = now_ms - waiting.request.at_ms;
                self.outcome.wait_ms.push(wait_ms);
                if waiting.is_cold {
                    self.outcome.cold_ms.push(wait_ms);
                }
                self.start(now_ms, target, &waiting.request);
            }
        }
    }

    fn start(&mut self, now_ms: u64, target: TargetId, request: &Request) {
        let mut names = vec![self.models[request.model].model.clone()];
        if names[0].is_adapter() {
            names.push(names[0].base());
        }
        for name in names {
            *self.busy.entry((target.clone(), name)).or_insert(0) += 1;
        }
        let told = self.told.entry((request.router, request.model)).or_default();
        told.waiting -= 1;
        told.in_flight += 1;
        told.is_dirty = true;
        let end_ms = now_ms + request.service_ms;
        self.running.push(Reverse((end_ms, target, request.model, request.router)));
    }

    /// The ready target with the fewest requests that has a free slot.
    fn free_target(&self, at: usize) -> Option<TargetId> {
        let model = &self.models[at];
        let busy = |target: &TargetId| {
            let key = (target.clone(), model.model.clone());
            self.busy.get(&key).copied().unwrap_or(0)
        };
        let ready = self.world.ready(&model.model.to_string());
        let counted = ready.into_iter().map(|fake| (busy(&fake.target), fake.target.clone()));
        let least = counted.min()?;
        (least.0 < model.slots).then_some(least.1)
    }

    fn report(&mut self, now_ms: u64) {
        if now_ms < self.report_ms {
            return;
        }
        self.report_ms = now_ms + REPORT_MS;
        for router in 0..ROUTERS {
            let told = self.told.iter().filter(|((at, _), _)| *at == router);
            let is_due = |told: &Told| {
                let goes_on = told.waiting + told.in_flight > 0;
                told.is_dirty || goes_on && now_ms >= told.told_ms + REFRESH_MS
            };
            let due: Vec<usize> =
                told.filter(|(_, told)| is_due(told)).map(|((_, model), _)| *model).collect();
            if !due.is_empty() {
                self.tell(now_ms, router, due);
            }
        }
    }

    fn tell(&mut self, now_ms: u64, router: usize, due: Vec<usize>) {
        let mut entries = Vec::new();
        for at in due {
            let first = self.queues[at].front().map(|waiting| waiting.request.at_ms);
            let Some(told) = self.told.get_mut(&(router, at)) else { continue };
            entries.push(demand::DemandEntry {
                model: self.models[at].model.clone(),
                waiting: told.waiting,
                in_flight: told.in_flight,
                arrivals: std::mem::take(&mut told.arrivals),
                earliest_deadline_ms: first.map(|at_ms| at_ms + DEADLINE_MS),
                class_weight: 1,
            });
            told.is_dirty = false;
            told.told_ms = now_ms;
        }
        let daemon = name(&format!("d{router}"));
        self.world.tell(Event::DemandReported(demand::DemandReport { daemon, entries }));
    }
}
