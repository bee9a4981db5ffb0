//! Placement measured in virtual time, beside the baselines of the design.
#![allow(dead_code, reason = "each test file and bench uses a part")]

pub mod baseline;
#[path = "../../tests/placement_fake/mod.rs"]
pub mod fake;
pub mod traffic;

use fescuebay::ids::Term;
use fescuebay::placement::{Event, Planner, Settings, catalogue, policy};
use fescuebay::target::order;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use fake::{Decider, Fake, World};
use traffic::Request;

const HOUR_MS: u64 = 3_600_000;
const MODELS: usize = 50;
const ROUTERS: usize = 9;

/// Arrivals, and what they meet.
pub struct Scenario {
    pub name: &'static str,
    pub models: Vec<catalogue::ModelSpec>,
    pub fakes: Vec<Fake>,
    pub fleet: policy::FleetPolicy,
    pub requests: Vec<Request>,
    pub ends_ms: u64,
}

/// What a scenario measured. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Waits of requests that found no replica ready.
    pub cold_ms: Vec<u64>,
    /// Waits of all requests.
    pub wait_ms: Vec<u64>,
    /// Accelerator hours that replicas were held without work.
    pub held_unused_h: f64,
    /// Accelerator hours free while work waited for a model that was not loaded.
    pub free_while_waiting_h: f64,
    pub loads: usize,
    pub unserved: usize,
    pub hours: f64,
}

impl Outcome {
    pub fn cold(&self, percent: usize) -> u64 {
        percentile(&self.cold_ms, percent)
    }

    /// The mean wait that cold starts cause, over all requests.
    pub fn mean_cold(&self) -> u64 {
        self.cold_ms.iter().sum::<u64>() / self.wait_ms.len().max(1) as u64
    }

    pub fn wait(&self, percent: usize) -> u64 {
        percentile(&self.wait_ms, percent)
    }

    /// Replicas loaded in an hour.
    pub fn moved_per_h(&self) -> f64 {
        self.loads as f64 / self.hours
    }

    fn merge(mut self, other: Outcome) -> Outcome {
        self.cold_ms.extend(other.cold_ms);
        self.wait_ms.extend(other.wait_ms);
        self.held_unused_h += other.held_unused_h;
        self.free_while_waiting_h += other.free_while_waiting_h;
        self.loads += other.loads;
        self.unserved += other.unserved;
        self.hours += other.hours;
        self
    }
}

fn percentile(values: &[u64], percent: usize) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let at = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(at).copied().unwrap_or(0)
}

/// What decides in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Planner,
    /// One queue in order of arrival, with so many loads at once, and a fixed keep-alive.
    Fifo {
        at_once: usize,
        keep_alive_ms: u64,
    },
}

/// Runs a scenario over fixed seeds.
pub fn run(scenario: fn(u64) -> Scenario, policy: Policy) -> Outcome {
    let seeds = [1, 2, 3];
    let outcomes = seeds.into_iter().map(|seed| run_once(scenario(seed), policy));
    outcomes.fold(Outcome::default(), Outcome::merge)
}

fn run_once(scenario: Scenario, policy: Policy) -> Outcome {
    match policy {
        Policy::Planner => {
            let mut planner = Planner::new(Term(1), Settings::new().takeover_ms(0));
            planner.handle_event(0, Event::FleetPolicyChanged(scenario.fleet.clone()));
            for model in &scenario.models {
                planner.handle_event(0, Event::ModelChanged(Box::new(model.clone())));
            }
            drive(scenario, planner, true)
        }
        Policy::Fifo { at_once, keep_alive_ms } => {
            let models = scenario.models.clone();
            drive(scenario, baseline::Fifo::new(models, at_once, keep_alive_ms), false)
        }
    }
}

fn drive<D: Decider>(scenario: Scenario, decider: D, is_checked: bool) -> Outcome {
    let mut world = World::new(7, scenario.fakes, decider);
    world.is_checked = is_checked;
    let mut run = traffic::Run::new(world, scenario.models, scenario.requests);
    run.until(scenario.ends_ms);
    let mut outcome = run.outcome();
    outcome.loads = run.world().orders(order::Action::Load).len();
    outcome
}

/// Nine runners, and copies of the models that are spread unevenly: on disk of one or two runners,
/// in memory of one, or in the weight store only.
fn runners(rng: &mut SmallRng, zones: [&str; 3], models: &[catalogue::ModelSpec]) -> Vec<Fake> {
    let runner = |at: usize| Fake::new(at, zones[at % 3], 80, true);
    let mut fakes: Vec<Fake> = (0..9).map(runner).collect();
    for model in models.iter().filter(|model| !model.model.is_adapter()) {
        let copies = match rng.random_range(0..10) {
            0..4 => 0,
            4..8 => 1,
            _ => 2,
        };
        for _ in 0..copies {
            let at = rng.random_range(0..9);
            fakes[at].cache(&model.weights(), order::Tier::Disk);
        }
        if rng.random_range(0..10) == 0 {
            let at = rng.random_range(0..9);
            fakes[at].cache(&model.weights(), order::Tier::Memory);
        }
    }
    fakes
}

fn models() -> Vec<catalogue::ModelSpec> {
    let sizes_gib = [6, 6, 14, 14, 24];
    (0..MODELS).map(|at| fake::spec(&format!("m{at}"), sizes_gib[at % 5])).collect()
}

/// First requests for 50 models arrive at nine routers within half a second.
pub fn burst(seed: u64) -> Scenario {
    let mut rng = SmallRng::seed_from_u64(seed);
    let models = models();
    let fakes = runners(&mut rng, ["lima-callao", "lima-ate", "lima-surco"], &models);
    let mut requests = Vec::new();
    for model in 0..MODELS {
        for _ in 0..rng.random_range(1..=4) {
            requests.push(Request {
                at_ms: 10_000 + rng.random_range(0..500),
                model,
                router: rng.random_range(0..ROUTERS),
                service_ms: rng.random_range(1_000..3_000),
            });
        }
    }
    requests.sort_by_key(|request| request.at_ms);
    let fleet = gilders();
    Scenario { name: "burst", models, fakes, fleet, requests, ends_ms: 900_000 }
}

/// The sanctuary's evening: adopters come now and then and ask a few times each.
pub fn evening(seed: u64) -> Scenario {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut models = models();
    for adapter in 0..60 {
        models.push(fake::spec(&format!("m{}:a{adapter}", adapter % 8), 0));
    }
    let fakes = runners(&mut rng, ["andina-a", "andina-b", "andina-c"], &models);
    let ends_ms = 6 * HOUR_MS;
    let mut requests = Vec::new();
    let mut order: Vec<usize> = (0..models.len()).collect();
    order.shuffle(&mut rng);
    let mut at_ms = 10_000;
    while at_ms < ends_ms - HOUR_MS / 2 {
        // The most asked for come about as often as all others together.
        let rank = (models.len() as f64).powf(rng.random::<f64>()) as usize - 1;
        session(&mut rng, &mut requests, at_ms, order[rank]);
        at_ms += exponential_ms(&mut rng, 90_000.0);
    }
    requests.sort_by_key(|request| request.at_ms);
    Scenario { name: "evening", models, fakes, fleet: sanctuary(), requests, ends_ms }
}

fn session(rng: &mut SmallRng, requests: &mut Vec<Request>, start_ms: u64, model: usize) {
    let mut at_ms = start_ms;
    let router = rng.random_range(0..ROUTERS);
    for _ in 0..rng.random_range(2..=6) {
        let service_ms = rng.random_range(2_000..6_000);
        requests.push(Request { at_ms, model, router, service_ms });
        at_ms += service_ms + exponential_ms(rng, 40_000.0);
    }
}

/// The gilders' day: steady work on some models, and every 20 minutes a crest of eight times as
/// much on three of them, for one minute.
pub fn crest(seed: u64) -> Scenario {
    let mut rng = SmallRng::seed_from_u64(seed);
    let models = models();
    let fakes = runners(&mut rng, ["lima-callao", "lima-ate", "lima-surco"], &models);
    let ends_ms = 2 * HOUR_MS;
    let mut requests = Vec::new();
    for model in 0..15 {
        let mut at_ms = 10_000;
        while at_ms < ends_ms - 300_000 {
            let is_crest =
                at_ms % 1_200_000 < 60_000 && model % 5 == (at_ms / 1_200_000 % 5) as usize;
            let mean_ms = if is_crest { 250.0 } else { 2_000.0 };
            requests.push(Request {
                at_ms,
                model,
                router: rng.random_range(0..ROUTERS),
                service_ms: rng.random_range(1_000..4_000),
            });
            at_ms += exponential_ms(&mut rng, mean_ms);
        }
    }
    requests.sort_by_key(|request| request.at_ms);
    Scenario { name: "crest", models, fakes, fleet: gilders(), requests, ends_ms }
}

fn exponential_ms(rng: &mut SmallRng, mean_ms: f64) -> u64 {
    let uniform: f64 = rng.random_range(1e-9..1.0);
    (-uniform.ln() * mean_ms) as u64 + 1
}

/// Weights of the sanctuary: idle hours and cold start.
pub fn sanctuary() -> policy::FleetPolicy {
    policy::FleetPolicy {
        idle_weight: 1.0,
        cold_start_weight: 4.0,
        headroom_weight: 0.0,
        ..policy::FleetPolicy::default()
    }
}

/// Weights of the gilders: the crest.
pub fn gilders() -> policy::FleetPolicy {
    policy::FleetPolicy {
        idle_weight: 0.2,
        cold_start_weight: 20.0,
        headroom_weight: 0.5,
        ..policy::FleetPolicy::default()
    }
}

/// One line of the report.
pub struct Line {
    pub scenario: &'static str,
    pub policy: &'static str,
    pub outcome: Outcome,
}

const TEN_MINUTES_MS: u64 = 600_000;
const FIFO: Policy = Policy::Fifo { at_once: 4, keep_alive_ms: TEN_MINUTES_MS };
const FIFO_ONE: Policy = Policy::Fifo { at_once: 1, keep_alive_ms: TEN_MINUTES_MS };

/// Everything that is measured, each policy over the same arrivals.
pub fn measure() -> Vec<Line> {
    let line = |scenario, policy, outcome| Line { scenario, policy, outcome };
    vec![
        line("burst", "planner", run(burst, Policy::Planner)),
        line("burst", "one queue, 4 at once", run(burst, FIFO)),
        line("burst", "one queue, 1 at once", run(burst, FIFO_ONE)),
        line("evening", "planner", run(evening, Policy::Planner)),
        line("evening", "keep-alive 10 min", run(evening, FIFO)),
        line("crest", "planner", run(crest, Policy::Planner)),
        line("crest", "one queue, 4 at once", run(crest, FIFO)),
    ]
}
