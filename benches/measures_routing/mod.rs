//! The routing policy in virtual time, beside FIFO and random choice, with fixed seeds.
//!
//! A small event loop: jobs arrive at routers, routers send them to targets, each target runs up to
//! its slots at once and queues the rest. Nothing reads a clock.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

use fescuebay::ids::{Digest, Incarnation, Sequence};
use fescuebay::membership::table::{Replica, RouteTable, Standing, TargetEntry};
use fescuebay::routing::engine::{Action, Arrival, Context, Destination, Engine, Settings, Ticket};
use fescuebay::target::order::{Kind, Load};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// How jobs get to targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The engine of `routing`, one for each router.
    Engine,
    /// One queue for all, first in, first out, to a random target with a free slot. What cannot be
    /// answered in time any more is refused when its turn comes.
    Fifo,
    /// A random target at once; the target queues.
    Random,
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub at_ms: u64,
    pub length_ms: u64,
    /// The token limit that the caller states.
    pub max_tokens: Option<u32>,
    pub rank: u8,
    pub deadline_ms: u64,
}

/// What became of a job.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fate {
    pub wait_ms: Option<u64>,
    pub latency_ms: Option<u64>,
    pub is_refused: bool,
    pub attempts: u32,
}

/// The world that jobs run in.
#[derive(Clone, Debug)]
pub struct World {
    pub routers: usize,
    pub targets: usize,
    pub slots: u32,
    /// Times at which a target runs ten times slower: target, from, until.
    pub slowed: Vec<(usize, u64, u64)>,
    pub seed: u64,
}

const SLOW_FACTOR: u64 = 10;
const TICK_MS: u64 = 20;

impl World {
    /// When work of `length_ms` that starts now ends.
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
struct Sent {
    job: usize,
    router: usize,
    ticket: Ticket,
    attempt: u32,
    target: usize,
    is_over: bool,
}

#[derive(Clone, Debug, Default)]
struct Runner {
    running: Vec<usize>,
    queue: VecDeque<usize>,
}

struct Run<'a> {
    world: &'a World,
    policy: Policy,
    jobs: &'a [Job],
    fates: Vec<Fate>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    runners: Vec<Runner>,
    calls: Vec<Sent>,
    calls_of: Vec<Vec<usize>>,
    engines: Vec<Engine>,
    tickets: Vec<Vec<(Ticket, usize)>>,
    fifo: VecDeque<usize>,
    rng: SmallRng,
    ended: usize,
}

fn table(world: &World) -> Arc<RouteTable> {
    let entry = |number: usize| TargetEntry {
        target: format!("runner-{number:04}").parse().unwrap(),
        incarnation: Incarnation(1),
        kind: Kind::Assistant,
        availability_zone: "andina-a".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        standing: Standing::Up,
        slots: world.slots,
        replicas: vec![Replica { model: "quill".parse().unwrap(), version: "1".parse().unwrap() }],
        services: vec![],
    };
    Arc::new(RouteTable::new(Sequence(1), (0..world.targets).map(entry).collect()))
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

/// Runs `jobs`, sorted by arrival, and tells what became of each.
pub fn run(world: &World, policy: Policy, jobs: &[Job]) -> Vec<Fate> {
    let mut run = Run::new(world, policy, jobs);
    while run.ended < jobs.len() {
        let Some(Reverse((now_ms, _, event))) = run.events.pop() else { break };
        run.handle(now_ms, event);
    }
    run.fates
}

impl<'a> Run<'a> {
    /// A run with all arrivals scheduled.
    fn new(world: &'a World, policy: Policy, jobs: &'a [Job]) -> Self {
        let mut run = Run {
            world,
            policy,
            jobs,
            fates: vec![Fate::default(); jobs.len()],
            events: BinaryHeap::new(),
            sequence: 0,
            runners: vec![Runner::default(); world.targets],
            calls: Vec::new(),
            calls_of: vec![Vec::new(); jobs.len()],
            engines: vec![Engine::new(Settings::default()); world.routers],
            tickets: vec![Vec::new(); world.routers],
            fifo: VecDeque::new(),
            rng: SmallRng::seed_from_u64(world.seed),
            ended: 0,
        };
        let table = table(world);
        for router in 0..world.routers {
            run.decide(0, router, |engine, cx| engine.set_table(cx, table.clone()));
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
        let calls = |runner: &Runner| runner.running.len() + runner.queue.len();
        self.runners.iter().map(calls).max().unwrap_or(0)
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
                    self.decide(now_ms, sent.router, |engine, cx| engine.hedge(cx, ticket));
                }
            }
            Event::Tick => {
                for router in 0..self.engines.len() {
                    self.decide(now_ms, router, |engine, cx| engine.tick(cx, |_| None));
                }
                self.schedule(now_ms + TICK_MS, Event::Tick);
            }
        }
    }

    /// Tells one engine of an event and carries its actions out.
    fn decide<T>(
        &mut self,
        now_ms: u64,
        router: usize,
        event: impl FnOnce(&mut Engine, &mut Context<'_>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let mut cx = Context { now_ms, rng: &mut self.rng, out: &mut out };
        let value = event(&mut self.engines[router], &mut cx);
        for action in out {
            match action {
                Action::Start(start) => {
                    let job = self.job_of(router, start.ticket);
                    let (ticket, attempt) = (start.ticket, start.attempt);
                    let call = self.send(now_ms, job, router, ticket, attempt, start.place);
                    if let Some(delay_ms) = start.hedge_after_ms {
                        self.schedule(now_ms + delay_ms, Event::Hedge { call });
                    }
                }
                Action::Refuse { ticket, .. } => {
                    let job = self.job_of(router, ticket);
                    self.fates[job].is_refused = true;
                    self.ended += 1;
                }
                Action::Demand(_) | Action::Died { .. } => {}
            }
        }
        value
    }

    fn job_of(&self, router: usize, ticket: Ticket) -> usize {
        self.tickets[router][ticket.place as usize].1
    }

    fn arrive(&mut self, now_ms: u64, job: usize) {
        let spec = self.jobs[job];
        match self.policy {
            Policy::Engine => {
                let router = self.rng.random_range(0..self.engines.len());
                let next = self.engines[router].next_ticket();
                let place = next.place as usize;
                if self.tickets[router].len() <= place {
                    self.tickets[router].resize(place + 1, (next, 0));
                }
                self.tickets[router][place] = (next, job);
                let arrival = arrival(job, &spec);
                self.decide(now_ms, router, |engine, cx| engine.arrive(cx, arrival, |_| None));
            }
            Policy::Fifo => {
                self.fifo.push_back(job);
                self.serve_fifo(now_ms);
            }
            Policy::Random => {
                let target = self.rng.random_range(0..self.world.targets) as u32;
                let ticket = Ticket { place: 0, generation: 0 };
                self.send(now_ms, job, 0, ticket, 0, target);
            }
        }
    }

    fn serve_fifo(&mut self, now_ms: u64) {
        loop {
            let slots = self.world.slots as usize;
            let free: Vec<usize> = (0..self.world.targets)
                .filter(|target| self.runners[*target].running.len() < slots)
                .collect();
            if free.is_empty() {
                return;
            }
            let Some(job) = self.fifo.pop_front() else { return };
            let spec = self.jobs[job];
            if now_ms + spec.length_ms > spec.at_ms + spec.deadline_ms {
                self.fates[job].is_refused = true;
                self.ended += 1;
                continue;
            }
            let target = free[self.rng.random_range(0..free.len())] as u32;
            let ticket = Ticket { place: 0, generation: 0 };
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
        place: u32,
    ) -> usize {
        let target = place as usize;
        let call = self.calls.len();
        self.calls.push(Sent { job, router, ticket, attempt, target, is_over: false });
        self.fates[job].attempts += 1;
        self.calls_of[job].push(call);
        self.runners[target].queue.push_back(call);
        self.serve_target(now_ms, target);
        call
    }

    fn serve_target(&mut self, now_ms: u64, target: usize) {
        while self.runners[target].running.len() < self.world.slots as usize {
            let Some(call) = self.runners[target].queue.pop_front() else { return };
            let job = self.calls[call].job;
            self.runners[target].running.push(call);
            let wait_ms = now_ms - self.jobs[job].at_ms;
            self.fates[job].wait_ms.get_or_insert(wait_ms);
            let end_ms = self.world.end_ms(target, now_ms, self.jobs[job].length_ms);
            self.schedule(end_ms, Event::Finish { target, call });
        }
    }

    /// Takes a call off its target.
    fn free(&mut self, now_ms: u64, target: usize, call: usize) {
        self.calls[call].is_over = true;
        self.runners[target].running.retain(|other| *other != call);
        self.runners[target].queue.retain(|other| *other != call);
        self.serve_target(now_ms, target);
    }

    fn finish(&mut self, now_ms: u64, target: usize, call: usize) {
        if self.calls[call].is_over {
            return;
        }
        let Sent { job, router, ticket, attempt, .. } = self.calls[call];
        self.fates[job].latency_ms = Some(now_ms - self.jobs[job].at_ms);
        self.ended += 1;
        for other in std::mem::take(&mut self.calls_of[job]) {
            if other != call && !self.calls[other].is_over {
                self.free(now_ms, self.calls[other].target, other);
            }
        }
        let runner = &self.runners[target];
        let (running, waiting) = (runner.running.len() as u32, runner.queue.len() as u32);
        let load = Some(Load { running, waiting, slots: self.world.slots });
        self.free(now_ms, target, call);
        match self.policy {
            Policy::Engine => {
                self.decide(now_ms, router, |engine, cx| {
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

/// Arrivals at random, `per_second` on average, from `from_ms` to `until_ms`.
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

/// A measure beside its baseline.
#[derive(Clone, Debug)]
pub struct Measure {
    pub name: &'static str,
    pub value: f64,
    pub fifo: f64,
    pub random: f64,
    /// What `value` is held against, and the bound on it.
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

/// 95% short work and 5% of 50 times the length, at four fifths of capacity.
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

/// Head-of-line blocking: p99 wait of short work behind stragglers.
pub fn head_of_line(seed: u64) -> Measure {
    let world = World { routers: 1, targets: 4, slots: 4, slowed: vec![], seed };
    let jobs = straggler_jobs(seed);
    let p99 = |policy| {
        let fates = run(&world, policy, &jobs);
        let waits = jobs.iter().zip(&fates).filter(|(job, _)| job.length_ms == SHORT_MS);
        quantile(waits.map(|(_, f)| f.wait_ms.unwrap_or(u64::MAX)).collect(), 0.99) as f64
    };
    let (value, fifo, random) = (p99(Policy::Engine), p99(Policy::Fifo), p99(Policy::Random));
    let name = "p99 wait of short work, ms";
    Measure { name, value, fifo, random, ratio: value / fifo, bound: 0.25, is_upper_bound: true }
}

/// Work at half of capacity.
fn steady_jobs(seed: u64, is_even: bool) -> Vec<Job> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let times = poisson(&mut rng, 720.0, 0, 60_000);
    let job = |at_ms| {
        let length_ms = if is_even {
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
/// `is_even`: all work is of about the same length, so that the tail shows every call that was slowed;
/// else lengths are exponential.
pub fn slowed_targets(seed: u64, is_even: bool, period_ms: u64) -> Measure {
    let mut rng = SmallRng::seed_from_u64(seed + 1);
    let slowed = (0..60_000 / period_ms).map(|period| {
        let from_ms = period * period_ms + rng.random_range(0..period_ms - 300);
        (rng.random_range(0..9), from_ms, from_ms + 300)
    });
    let slowed = World { routers: 9, targets: 9, slots: 8, slowed: slowed.collect(), seed };
    let calm = World { slowed: vec![], ..slowed.clone() };
    let jobs = steady_jobs(seed, is_even);
    let p99 = |world: &World, policy| {
        let fates = run(world, policy, &jobs);
        quantile(fates.iter().map(|f| f.latency_ms.unwrap_or(u64::MAX)).collect(), 0.99) as f64
    };
    let value = p99(&slowed, Policy::Engine);
    let ratio = value / p99(&calm, Policy::Engine);
    let (fifo, random) = (p99(&slowed, Policy::Fifo), p99(&slowed, Policy::Random));
    let name = "p99 latency with 1 target in 9 slowed, ms";
    Measure { name, value, fifo, random, ratio, bound: 1.3, is_upper_bound: true }
}

/// What a crest came to.
#[derive(Clone, Debug)]
pub struct Crest {
    /// Answered in time beside what capacity allows, for each rank that capacity reaches.
    pub by_rank: Vec<Measure>,
    /// Attempts for each answered request.
    pub attempts_per_answer: f64,
}

const CREST_FROM_MS: u64 = 10_000;
const CREST_UNTIL_MS: u64 = 25_000;
const CREST_DEADLINE_MS: u64 = 2000;
const CREST_LENGTH_MS: u64 = 50;

fn crest_jobs(seed: u64) -> Vec<Job> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let capacity = 480.0;
    let mut times = poisson(&mut rng, capacity * 0.5, 0, CREST_FROM_MS);
    times.extend(poisson(&mut rng, capacity * 3.0, CREST_FROM_MS, CREST_UNTIL_MS));
    times.extend(poisson(&mut rng, capacity * 0.5, CREST_UNTIL_MS, 35_000));
    let job = |at_ms| {
        let rank = match rng.random_range(0..100) {
            0..15 => 0,
            15..50 => 1,
            _ => 2,
        };
        let (length_ms, deadline_ms) = (CREST_LENGTH_MS, CREST_DEADLINE_MS);
        Job { at_ms, length_ms, max_tokens: None, rank, deadline_ms }
    };
    times.into_iter().map(job).collect()
}

/// Service at a crest of three times capacity: nine routers, six targets of four slots.
pub fn crest(seed: u64) -> Crest {
    let world = World { routers: 9, targets: 6, slots: 4, slowed: vec![], seed };
    let jobs = crest_jobs(seed);
    let in_crest = |job: &Job| (CREST_FROM_MS..CREST_UNTIL_MS).contains(&job.at_ms);
    let answered = |fates: &[Fate], rank: u8| {
        let hit = |(job, fate): &(&Job, &Fate)| {
            let in_time = fate.latency_ms.is_some_and(|ms| ms <= job.deadline_ms);
            job.rank == rank && in_crest(job) && in_time
        };
        jobs.iter().zip(fates).filter(hit).count() as f64
    };
    let runs = [Policy::Engine, Policy::Fifo, Policy::Random].map(|p| run(&world, p, &jobs));
    let slots = world.targets as u64 * u64::from(world.slots);
    // Work of the crest may be answered until its last deadline, but shares that time with later
    // work of its own rank and of better ones.
    let served_ms = CREST_UNTIL_MS + CREST_DEADLINE_MS - CREST_FROM_MS;
    let mut left = (slots * served_ms / CREST_LENGTH_MS) as f64;
    let tail = CREST_UNTIL_MS..CREST_UNTIL_MS + CREST_DEADLINE_MS;
    let mut by_rank = Vec::new();
    for rank in 0..3 {
        let asked = jobs.iter().filter(|job| job.rank == rank && in_crest(job)).count() as f64;
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
    let attempts: u32 = runs[0].iter().map(|fate| fate.attempts).sum();
    let answers = runs[0].iter().filter(|fate| fate.latency_ms.is_some()).count();
    Crest { by_rank, attempts_per_answer: f64::from(attempts) / answers as f64 }
}

/// The most loaded target, beside an even share, when nine routers get ten requests each at once.
pub fn herd(seed: u64) -> Measure {
    let world = World { routers: 9, targets: 9, slots: 16, slowed: vec![], seed };
    let job = Job { at_ms: 100, length_ms: 500, max_tokens: None, rank: 1, deadline_ms: 30_000 };
    let jobs = vec![job; 90];
    let peak = |policy| Run::new(&world, policy, &jobs).peak_after_arrivals() as f64 / 10.0;
    let (value, fifo, random) = (peak(Policy::Engine), peak(Policy::Fifo), peak(Policy::Random));
    let name = "most loaded target at a burst, beside an even share";
    Measure { name, value, fifo, random, ratio: value, bound: 1.5, is_upper_bound: true }
}
