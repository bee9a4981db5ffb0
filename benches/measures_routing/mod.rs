//! Simulation of the routing policy in virtual time against FIFO and random baselines, with fixed
//! seeds.
//!
//! A discrete-event loop: jobs arrive at routers, routers send them to targets, and each target
//! runs up to its number of slots at once and queues the rest. No clock is read.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

use fescuebay::ids::{Digest, Incarnation, Sequence};
use fescuebay::membership::table::{Replica, RouteTable, Standing, TargetEntry};
use fescuebay::routing::engine::{
    Action, Arrival, Destination, EngineSettings, EventContext, RoutingEngine, Ticket,
};
use fescuebay::target::order::{Kind, Load};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How jobs are assigned to targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// A `RoutingEngine` for each router.
    Engine,
    /// One queue for all, first in, first out, to a random target with a free slot. What cannot be
    /// answered in time is refused when it reaches the head of the queue.
    Fifo,
    /// A random target immediately; the target queues.
    Random,
}

/// A simulated request.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub at_ms: u64,
    pub length_ms: u64,
    /// The token limit that the caller states.
    pub max_tokens: Option<u32>,
    pub rank: u8,
    pub deadline_ms: u64,
}

/// The outcome of a job.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobOutcome {
    pub wait_ms: Option<u64>,
    pub latency_ms: Option<u64>,
    pub is_refused: bool,
    pub attempts: u32,
}

/// The simulated routers and targets.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub routers: usize,
    pub targets: usize,
    pub slots: u32,
    /// Periods in which a target runs ten times slower: target, start and end time.
    pub slowed: Vec<(usize, u64, u64)>,
    pub seed: u64,
}

const SLOW_FACTOR: u64 = 10;
const TICK_MS: u64 = 20;

impl Scenario {
    /// The end time of a job of `length_ms` that starts at `start_ms`.
    fn end_ms(&self, target: usize, start_ms: u64, length_ms: u64) -> u64 {
        let (mut now_ms, mut left) = (start_ms, length_ms.max(1) * SLOW_FACTOR);
        loop {
            let inside = |w: &&(usize, u64, u64)| w.0 == target && w.1 <= now_ms && now_ms < w.2;
            let (speed, change_ms) = match self.slowed.iter().find(inside) {
                Some(window) => (1, window.2),
                None => {
                    let later = self.slowed.iter().filter(|w| w.0 == target && w.1 > now_ms);
                    (SLOW_FACTOR, later.map(|w| w.1).min().unwrap_or(u64::MAX))
                }
            };
            let need_ms = left.div_ceil(speed);
            if now_ms.saturating_add(need_ms) <= change_ms {
                return now_ms + need_ms;
            }
            left -= (change_ms - now_ms) * speed;
            now_ms = change_ms;
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish { target: usize, call: usize },
    Arrive { job: usize },
    Hedge { call: usize },
    Tick,
}

#[derive(Clone, Copy, Debug)]
struct SentCall {
    job: usize,
    router: usize,
    ticket: Ticket,
    attempt: u32,
    target: usize,
    is_over: bool,
}

#[derive(Clone, Debug, Default)]
struct SimulatedTarget {
    running: Vec<usize>,
    queue: VecDeque<usize>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    jobs: &'a [Job],
    outcomes: Vec<JobOutcome>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    target_states: Vec<SimulatedTarget>,
    calls: Vec<SentCall>,
    calls_of: Vec<Vec<usize>>,
    engines: Vec<RoutingEngine>,
    tickets: Vec<Vec<(Ticket, usize)>>,
    fifo: VecDeque<usize>,
    rng: SmallRng,
    ended: usize,
}

fn table(scenario: &Scenario) -> Arc<RouteTable> {
    let entry = |number: usize| TargetEntry {
        software: None,
        target: format!("runner-{number:04}").parse().unwrap(),
        incarnation: Incarnation(1),
        kind: Kind::Assistant,
        availability_zone: "andina-a".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        standing: Standing::Up,
        slots: scenario.slots,
        replicas: vec![Replica { model: "quill".parse().unwrap(), version: "1".parse().unwrap() }],
        services: vec![],
    };
    Arc::new(RouteTable::new(Sequence(1), (0..scenario.targets).map(entry).collect()))
}

fn arrival(job: usize, spec: &Job) -> Arrival {
    Arrival {
        destination: Destination::Model("quill".parse().unwrap()),
        tenant: "santuario".parse().unwrap(),
        class: format!("class-{}", spec.rank).parse().unwrap(),
        rank: spec.rank,
        weight: 1.0,
        deadline_ms: spec.at_ms + spec.deadline_ms,
        max_waiting: u32::MAX,
        max_in_flight: u32::MAX,
        is_idempotent: true,
        is_stream: false,
        max_tokens: spec.max_tokens,
        conversation: None,
        digest: Digest::of(&[&job.to_le_bytes()]),
        is_suspect: false,
        body_bytes: 100,
    }
}

/// Simulates `jobs`, sorted by arrival, and returns their outcomes.
pub fn run(scenario: &Scenario, policy: Policy, jobs: &[Job]) -> Vec<JobOutcome> {
    let mut run = Simulation::new(scenario, policy, jobs);
    while run.ended < jobs.len() {
        let Some(Reverse((now_ms, _, event))) = run.events.pop() else { break };
        run.handle(now_ms, event);
    }
    run.outcomes
}

impl<'a> Simulation<'a> {
    /// Creates a simulation with all arrivals scheduled.
    fn new(scenario: &'a Scenario, policy: Policy, jobs: &'a [Job]) -> Self {
        let mut run = Simulation {
            scenario,
            policy,
            jobs,
            outcomes: vec![JobOutcome::default(); jobs.len()],
            events: BinaryHeap::new(),
            sequence: 0,
            target_states: vec![SimulatedTarget::default(); scenario.targets],
            calls: Vec::new(),
            calls_of: vec![Vec::new(); jobs.len()],
            engines: vec![RoutingEngine::new(EngineSettings::default()); scenario.routers],
            tickets: vec![Vec::new(); scenario.routers],
            fifo: VecDeque::new(),
            rng: SmallRng::seed_from_u64(scenario.seed),
            ended: 0,
        };
        let table = table(scenario);
        for router in 0..scenario.routers {
            run.handle_event(0, router, |engine, cx| engine.set_table(cx, table.clone()));
        }
        for (job, spec) in jobs.iter().enumerate() {
            run.schedule(spec.at_ms, Event::Arrive { job });
        }
        run.schedule(TICK_MS, Event::Tick);
        run
    }

    /// The most calls at one target once all jobs have arrived.
    fn peak_after_arrivals(&mut self) -> usize {
        for job in 0..self.jobs.len() {
            self.arrive(self.jobs[job].at_ms, job);
        }
        let calls = |state: &SimulatedTarget| state.running.len() + state.queue.len();
        self.target_states.iter().map(calls).max().unwrap_or(0)
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn handle(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::Arrive { job } => self.arrive(now_ms, job),
            Event::Finish { target, call } => self.finish(now_ms, target, call),
            Event::Hedge { call } => {
                let sent = self.calls[call];
                if !sent.is_over {
                    let ticket = sent.ticket;
                    self.handle_event(now_ms, sent.router, |engine, cx| engine.hedge(cx, ticket));
                }
            }
            Event::Tick => {
                for router in 0..self.engines.len() {
                    self.handle_event(now_ms, router, |engine, cx| engine.tick(cx, |_| None));
                }
                self.schedule(now_ms + TICK_MS, Event::Tick);
            }
        }
    }

    /// Passes an event to one engine and carries out its actions.
    fn handle_event<T>(
        &mut self,
        now_ms: u64,
        router: usize,
        event: impl FnOnce(&mut RoutingEngine, &mut EventContext<'_>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let mut cx = EventContext { now_ms, rng: &mut self.rng, out: &mut out };
        let value = event(&mut self.engines[router], &mut cx);
        for action in out {
            match action {
                Action::StartAttempt(start) => {
                    let job = self.job_of(router, start.ticket);
                    let (ticket, attempt) = (start.ticket, start.attempt);
                    let call = self.send(now_ms, job, router, ticket, attempt, start.target_index);
                    if let Some(delay_ms) = start.hedge_after_ms {
                        self.schedule(now_ms + delay_ms, Event::Hedge { call });
                    }
                }
                Action::Refuse { ticket, .. } => {
                    let job = self.job_of(router, ticket);
                    self.outcomes[job].is_refused = true;
                    self.ended += 1;
                }
                Action::AskPermits | Action::ReportDemand(_) | Action::TargetDied { .. } => {}
            }
        }
        value
    }

    fn job_of(&self, router: usize, ticket: Ticket) -> usize {
        self.tickets[router][ticket.index as usize].1
    }

    fn arrive(&mut self, now_ms: u64, job: usize) {
        let spec = self.jobs[job];
        match self.policy {
            Policy::Engine => {
                let router = self.rng.random_range(0..self.engines.len());
                let next = self.engines[router].next_ticket();
                let index = next.index as usize;
                if self.tickets[router].len() <= index {
                    self.tickets[router].resize(index + 1, (next, 0));
                }
                self.tickets[router][index] = (next, job);
                let arrival = arrival(job, &spec);
                self.handle_event(now_ms, router, |engine, cx| {
                    engine.arrive(cx, arrival, |_| None)
                });
            }
            Policy::Fifo => {
                self.fifo.push_back(job);
                self.serve_fifo(now_ms);
            }
            Policy::Random => {
                let target = self.rng.random_range(0..self.scenario.targets) as u32;
                let ticket = Ticket { index: 0, generation: 0 };
                self.send(now_ms, job, 0, ticket, 0, target);
            }
        }
    }

    fn serve_fifo(&mut self, now_ms: u64) {
        loop {
            let slots = self.scenario.slots as usize;
            let free: Vec<usize> = (0..self.scenario.targets)
                .filter(|target| self.target_states[*target].running.len() < slots)
                .collect();
            if free.is_empty() {
                return;
            }
            let Some(job) = self.fifo.pop_front() else { return };
            let spec = self.jobs[job];
            if now_ms + spec.length_ms > spec.at_ms + spec.deadline_ms {
                self.outcomes[job].is_refused = true;
                self.ended += 1;
                continue;
            }
            let target = free[self.rng.random_range(0..free.len())] as u32;
            let ticket = Ticket { index: 0, generation: 0 };
            self.send(now_ms, job, 0, ticket, 0, target);
        }
    }

    fn send(
        &mut self,
        now_ms: u64,
        job: usize,
        router: usize,
        ticket: Ticket,
        attempt: u32,
        index: u32,
    ) -> usize {
        let target = index as usize;
        let call = self.calls.len();
        self.calls.push(SentCall { job, router, ticket, attempt, target, is_over: false });
        self.outcomes[job].attempts += 1;
        self.calls_of[job].push(call);
        self.target_states[target].queue.push_back(call);
        self.serve_target(now_ms, target);
        call
    }

    fn serve_target(&mut self, now_ms: u64, target: usize) {
        while self.target_states[target].running.len() < self.scenario.slots as usize {
            let Some(call) = self.target_states[target].queue.pop_front() else { return };
            let job = self.calls[call].job;
            self.target_states[target].running.push(call);
            let wait_ms = now_ms - self.jobs[job].at_ms;
            self.outcomes[job].wait_ms.get_or_insert(wait_ms);
            let end_ms = self.scenario.end_ms(target, now_ms, self.jobs[job].length_ms);
            self.schedule(end_ms, Event::Finish { target, call });
        }
    }

    /// Removes a call from its target.
    fn release(&mut self, now_ms: u64, target: usize, call: usize) {
        self.calls[call].is_over = true;
        self.target_states[target].running.retain(|other| *other != call);
        self.target_states[target].queue.retain(|other| *other != call);
        self.serve_target(now_ms, target);
    }

    fn finish(&mut self, now_ms: u64, target: usize, call: usize) {
        if self.calls[call].is_over {
            return;
        }
        let SentCall { job, router, ticket, attempt, .. } = self.calls[call];
        self.outcomes[job].latency_ms = Some(now_ms - self.jobs[job].at_ms);
        self.ended += 1;
        for other in std::mem::take(&mut self.calls_of[job]) {
            if other != call && !self.calls[other].is_over {
                self.release(now_ms, self.calls[other].target, other);
            }
        }
        let state = &self.target_states[target];
        let (running, waiting) = (state.running.len() as u32, state.queue.len() as u32);
        let load = Some(Load { running, waiting, slots: self.scenario.slots });
        self.release(now_ms, target, call);
        match self.policy {
            Policy::Engine => {
                self.handle_event(now_ms, router, |engine, cx| {
                    engine.first_byte(cx, ticket, attempt, load);
                    engine.complete(cx, ticket, attempt);
                });
            }
            Policy::Fifo => self.serve_fifo(now_ms),
            Policy::Random => {}
        }
    }
}

/// The value below which `share` of the values lie.
pub fn quantile(mut values: Vec<u64>, share: f64) -> u64 {
    values.sort_unstable();
    let at = ((values.len() as f64 * share) as usize).min(values.len().saturating_sub(1));
    values.get(at).copied().unwrap_or(0)
}

/// Poisson arrivals, `per_second` on average, from `from_ms` to `until_ms`.
pub fn poisson(rng: &mut SmallRng, per_second: f64, from_ms: u64, until_ms: u64) -> Vec<u64> {
    let mut at_ms = from_ms as f64;
    let mut times = Vec::new();
    loop {
        at_ms += -(1.0 - rng.random::<f64>()).ln() * 1000.0 / per_second;
        if at_ms >= until_ms as f64 {
            return times;
        }
        times.push(at_ms as u64);
    }
}

/// A measured value with its baselines.
#[derive(Clone, Debug)]
pub struct Measure {
    pub name: &'static str,
    pub value: f64,
    pub fifo: f64,
    pub random: f64,
    /// The ratio that is checked against `bound`.
    pub ratio: f64,
    pub bound: f64,
    pub is_upper_bound: bool,
}

impl Measure {
    pub fn holds(&self) -> bool {
        if self.is_upper_bound { self.ratio <= self.bound } else { self.ratio >= self.bound }
    }
}

const SHORT_MS: u64 = 20;
const LONG_MS: u64 = 1000;

/// 95% short jobs and 5% that take 50 times as long, at four fifths of capacity.
pub fn straggler_jobs(seed: u64) -> Vec<Job> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let times = poisson(&mut rng, 185.0, 0, 60_000);
    let job = |at_ms| {
        let length_ms = if rng.random_bool(0.05) { LONG_MS } else { SHORT_MS };
        let max_tokens = Some((length_ms / 10) as u32);
        Job { at_ms, length_ms, max_tokens, rank: 1, deadline_ms: 120_000 }
    };
    times.into_iter().map(job).collect()
}

/// Head-of-line blocking: p99 wait of short jobs behind long ones.
pub fn head_of_line(seed: u64) -> Measure {
    let scenario = Scenario { routers: 1, targets: 4, slots: 4, slowed: vec![], seed };
    let jobs = straggler_jobs(seed);
    let p99 = |policy| {
        let outcomes = run(&scenario, policy, &jobs);
        let waits = jobs.iter().zip(&outcomes).filter(|(job, _)| job.length_ms == SHORT_MS);
        quantile(waits.map(|(_, f)| f.wait_ms.unwrap_or(u64::MAX)).collect(), 0.99) as f64
    };
    let (value, fifo, random) = (p99(Policy::Engine), p99(Policy::Fifo), p99(Policy::Random));
    let name = "p99 wait of short work, ms";
    Measure { name, value, fifo, random, ratio: value / fifo, bound: 0.25, is_upper_bound: true }
}

/// Jobs at half of capacity.
fn steady_jobs(seed: u64, is_uniform: bool) -> Vec<Job> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let times = poisson(&mut rng, 720.0, 0, 60_000);
    let job = |at_ms| {
        let length_ms = if is_uniform {
            rng.random_range(40..=60)
        } else {
            (-(1.0 - rng.random::<f64>()).ln() * 50.0) as u64 + 1
        };
        Job { at_ms, length_ms, max_tokens: None, rank: 1, deadline_ms: 30_000 }
    };
    times.into_iter().map(job).collect()
}

/// Tail latency while one target in nine is slowed ten times for 300 ms in each period.
///
/// `is_uniform`: all jobs take about the same time, so that the tail shows every call that was
/// slowed; otherwise durations are exponentially distributed.
pub fn slowed_targets(seed: u64, is_uniform: bool, period_ms: u64) -> Measure {
    let mut rng = SmallRng::seed_from_u64(seed + 1);
    let slowed = (0..60_000 / period_ms).map(|period| {
        let from_ms = period * period_ms + rng.random_range(0..period_ms - 300);
        (rng.random_range(0..9), from_ms, from_ms + 300)
    });
    let slowed = Scenario { routers: 9, targets: 9, slots: 8, slowed: slowed.collect(), seed };
    let calm = Scenario { slowed: vec![], ..slowed.clone() };
    let jobs = steady_jobs(seed, is_uniform);
    let p99 = |scenario: &Scenario, policy| {
        let outcomes = run(scenario, policy, &jobs);
        quantile(outcomes.iter().map(|f| f.latency_ms.unwrap_or(u64::MAX)).collect(), 0.99) as f64
    };
    let value = p99(&slowed, Policy::Engine);
    let ratio = value / p99(&calm, Policy::Engine);
    let (fifo, random) = (p99(&slowed, Policy::Fifo), p99(&slowed, Policy::Random));
    let name = "p99 latency with 1 target in 9 slowed, ms";
    Measure { name, value, fifo, random, ratio, bound: 1.3, is_upper_bound: true }
}

/// The results of an overload.
#[derive(Clone, Debug)]
pub struct OverloadResult {
    /// Requests answered in time relative to what capacity allows, for each rank that gets
    /// capacity.
    pub by_rank: Vec<Measure>,
    /// Attempts for each answered request.
    pub attempts_per_answer: f64,
}

const OVERLOAD_FROM_MS: u64 = 10_000;
const OVERLOAD_UNTIL_MS: u64 = 25_000;
const OVERLOAD_DEADLINE_MS: u64 = 2000;
const OVERLOAD_LENGTH_MS: u64 = 50;

fn overload_jobs(seed: u64) -> Vec<Job> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let capacity = 480.0;
    let mut times = poisson(&mut rng, capacity * 0.5, 0, OVERLOAD_FROM_MS);
    times.extend(poisson(&mut rng, capacity * 3.0, OVERLOAD_FROM_MS, OVERLOAD_UNTIL_MS));
    times.extend(poisson(&mut rng, capacity * 0.5, OVERLOAD_UNTIL_MS, 35_000));
    let job = |at_ms| {
        let rank = match rng.random_range(0..100) {
            0..15 => 0,
            15..50 => 1,
            _ => 2,
        };
        let (length_ms, deadline_ms) = (OVERLOAD_LENGTH_MS, OVERLOAD_DEADLINE_MS);
        Job { at_ms, length_ms, max_tokens: None, rank, deadline_ms }
    };
    times.into_iter().map(job).collect()
}

/// Service during an overload of three times capacity: nine routers, six targets of four slots.
pub fn overload(seed: u64) -> OverloadResult {
    let scenario = Scenario { routers: 9, targets: 6, slots: 4, slowed: vec![], seed };
    let jobs = overload_jobs(seed);
    let in_overload = |job: &Job| (OVERLOAD_FROM_MS..OVERLOAD_UNTIL_MS).contains(&job.at_ms);
    let answered = |outcomes: &[JobOutcome], rank: u8| {
        let hit = |(job, outcome): &(&Job, &JobOutcome)| {
            let in_time = outcome.latency_ms.is_some_and(|ms| ms <= job.deadline_ms);
            job.rank == rank && in_overload(job) && in_time
        };
        jobs.iter().zip(outcomes).filter(hit).count() as f64
    };
    let runs = [Policy::Engine, Policy::Fifo, Policy::Random].map(|p| run(&scenario, p, &jobs));
    let slots = scenario.targets as u64 * u64::from(scenario.slots);
    // Jobs of the overload may be answered until its last deadline, but shares that time with later
    // work of its own rank and of better ones.
    let served_ms = OVERLOAD_UNTIL_MS + OVERLOAD_DEADLINE_MS - OVERLOAD_FROM_MS;
    let mut left = (slots * served_ms / OVERLOAD_LENGTH_MS) as f64;
    let tail = OVERLOAD_UNTIL_MS..OVERLOAD_UNTIL_MS + OVERLOAD_DEADLINE_MS;
    let mut by_rank = Vec::new();
    for rank in 0..3 {
        let asked = jobs.iter().filter(|job| job.rank == rank && in_overload(job)).count() as f64;
        let is_later = |job: &&Job| job.rank == rank && tail.contains(&job.at_ms);
        left -= jobs.iter().filter(is_later).count() as f64;
        let allowed = asked.min(left);
        left -= allowed;
        if allowed < 1.0 {
            continue;
        }
        let [value, fifo, random] = [0, 1, 2].map(|at: usize| answered(&runs[at], rank) / allowed);
        let name = ["rank 0 answered in time", "rank 1 answered in time", "rank 2 answered"];
        let name = name[usize::from(rank)];
        let (ratio, bound) = (value, 0.95);
        by_rank.push(Measure { name, value, fifo, random, ratio, bound, is_upper_bound: false });
    }
    let attempts: u32 = runs[0].iter().map(|outcome| outcome.attempts).sum();
    let answers = runs[0].iter().filter(|outcome| outcome.latency_ms.is_some()).count();
    OverloadResult { by_rank, attempts_per_answer: f64::from(attempts) / answers as f64 }
}

/// Calls at the most loaded target relative to an even share, when nine routers get ten requests
/// each at the same time.
pub fn burst_imbalance(seed: u64) -> Measure {
    let scenario = Scenario { routers: 9, targets: 9, slots: 16, slowed: vec![], seed };
    let job = Job { at_ms: 100, length_ms: 500, max_tokens: None, rank: 1, deadline_ms: 30_000 };
    let jobs = vec![job; 90];
    let peak =
        |policy| Simulation::new(&scenario, policy, &jobs).peak_after_arrivals() as f64 / 10.0;
    let (value, fifo, random) = (peak(Policy::Engine), peak(Policy::Fifo), peak(Policy::Random));
    let name = "most loaded target at a burst, beside an even share";
    Measure { name, value, fifo, random, ratio: value, bound: 1.5, is_upper_bound: true }
}
