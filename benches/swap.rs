//! Planning time of a leader with a backlog, for growing numbers of engines, models and routers.
//!
//! `cargo bench --bench swap` prints the mean time to process a router's report, and its ratio to
//! that of the smallest size in the same run. A leader processes many reports per second beside its
//! other work.

#[path = "../tests/swap_simulation/mod.rs"]
mod swap_simulation;

use std::time::{Duration, Instant};

use fescuebay::placement::swap::Event;
use fescuebay::placement::swap::demand::{RouterDemand, RunningRequests, WaitingRequests};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swap_simulation::{Faults, Simulation, model_ref};

/// Time between two reports of any routers: a router sends one as soon as a request has to wait.
const REPORT_INTERVAL_MS: u64 = 6;
/// Number of reports of each router.
const ROUNDS: usize = 20;
/// Entries of running requests in each report.
const RUNNING_PER_ROUTER: usize = 25;

/// Size of a simulated fleet.
struct FleetSize {
    engines: usize,
    models: usize,
    routers: usize,
    /// Models, and as many adapters, that requests wait for.
    waiting: usize,
}

const SIZES: [FleetSize; 3] = [
    FleetSize { engines: 12, models: 50, routers: 17, waiting: 10 },
    FleetSize { engines: 60, models: 333, routers: 83, waiting: 100 },
    FleetSize { engines: 140, models: 778, routers: 86, waiting: 200 },
];

impl FleetSize {
    /// The report of one router.
    fn router_demand(&self, router: usize, rng: &mut SmallRng) -> RouterDemand {
        let running = (0..RUNNING_PER_ROUTER).map(|_| {
            let engine = rng.random_range(0..self.engines);
            let model = (engine * 3 + rng.random_range(0..3)) % self.models;
            let adapter = rng.random_bool(0.3).then(|| rng.random_range(1..60));
            let target = format!("e{engine}").parse().unwrap();
            RunningRequests { target, model: Some(model_ref(model, adapter)), count: 1 }
        });
        let own_numbers = (0..self.waiting).filter(|number| number % self.routers == router);
        let waiting = own_numbers.flat_map(|number| {
            let rare = model_ref(self.models - 1 - number, None);
            let adapter = model_ref(number % 6, Some(1 + number % 60));
            [rare, adapter].map(|model| WaitingRequests {
                model,
                software: None,
                count: 1,
                slack_ms: 100,
            })
        });
        let waiting = waiting.collect();
        RouterDemand { waiting, running: running.collect(), ..RouterDemand::default() }
    }

    /// Measures the mean and the longest time to process a report.
    fn measure(&self) -> (Duration, Duration) {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut simulation = Simulation::new(1, self.engines, self.models, Faults::default());
        simulation.run(1_500);
        let demands: Vec<RouterDemand> =
            (0..self.routers).map(|router| self.router_demand(router, &mut rng)).collect();
        let (mut total, mut longest) = (Duration::ZERO, Duration::ZERO);
        for _ in 0..ROUNDS {
            for (router, demand) in demands.iter().enumerate() {
                simulation.now_ms += REPORT_INTERVAL_MS;
                let event =
                    Event::RouterDemand(format!("r{router}").parse().unwrap(), demand.clone());
                let start = Instant::now();
                let actions = simulation.planner.handle_event(simulation.now_ms, event);
                let elapsed = start.elapsed();
                drop(actions);
                total += elapsed;
                longest = longest.max(elapsed);
            }
        }
        (total / (ROUNDS * self.routers) as u32, longest)
    }
}

fn main() {
    println!("engines  models  waiting  mean us  longest us  ratio");
    let mut smallest = None;
    for size in &SIZES {
        let (mean, longest) = size.measure();
        let ratio = mean.as_secs_f64() / smallest.get_or_insert(mean).as_secs_f64();
        println!(
            "{:>7}  {:>6}  {:>7}  {:>7}  {:>10}  {ratio:>5.1}",
            size.engines,
            size.models,
            size.waiting,
            mean.as_micros(),
            longest.as_micros()
        );
    }
}
