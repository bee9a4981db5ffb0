//! What a leader's planning costs with a backlog, as the engines, models and routers grow.
//!
//! `cargo bench --bench swap` prints the mean time of a router's report, and its ratio to the smallest
//! size in the same run: a leader has to take many of them a second beside all else.

#[path = "../tests/swap_simulation/mod.rs"]
mod swap_simulation;

use std::time::{Duration, Instant};

use fescuebay::placement::swap::Event;
use fescuebay::placement::swap::demand::{RouterDemand, RunningRequests, WaitingRequests};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swap_simulation::{Faults, Simulation, model_ref};

/// Time between two reports: routers tell when they have something to wait for.
const GAP_MS: u64 = 6;
const ROUNDS: usize = 20;
const RUNNING_EACH: usize = 25;

/// A size: engines, models, routers, and models and adapters that are waited for.
struct Size {
    engines: usize,
    models: usize,
    routers: usize,
    waiting: usize,
}

const SIZES: [Size; 3] = [
    Size { engines: 12, models: 50, routers: 17, waiting: 10 },
    Size { engines: 60, models: 333, routers: 83, waiting: 100 },
    Size { engines: 140, models: 778, routers: 86, waiting: 200 },
];

impl Size {
    /// What one router has running and waiting.
    fn usage(&self, router: usize, rng: &mut SmallRng) -> RouterDemand {
        let running = (0..RUNNING_EACH).map(|_| {
            let engine = rng.random_range(0..self.engines);
            let model = (engine * 3 + rng.random_range(0..3)) % self.models;
            let adapter = rng.random_bool(0.3).then(|| rng.random_range(1..60));
            let target = format!("e{engine}").parse().unwrap();
            RunningRequests { target, model: Some(model_ref(model, adapter)), count: 1 }
        });
        let own = (0..self.waiting).filter(|number| number % self.routers == router);
        let waiting = own.flat_map(|number| {
            let rare = model_ref(self.models - 1 - number, None);
            let adapter = model_ref(number % 6, Some(1 + number % 60));
            [rare, adapter].map(|model| WaitingRequests { model, count: 1, slack_ms: 100 })
        });
        let waiting = waiting.collect();
        RouterDemand { waiting, running: running.collect(), ..RouterDemand::default() }
    }

    /// The mean and the longest time of a report.
    fn time(&self) -> (Duration, Duration) {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut simulation = Simulation::new(1, self.engines, self.models, Faults::default());
        simulation.run(1_500);
        let usages: Vec<RouterDemand> =
            (0..self.routers).map(|router| self.usage(router, &mut rng)).collect();
        let (mut total, mut longest) = (Duration::ZERO, Duration::ZERO);
        for _ in 0..ROUNDS {
            for (router, usage) in usages.iter().enumerate() {
                simulation.now_ms += GAP_MS;
                let event =
                    Event::RouterDemand(format!("r{router}").parse().unwrap(), usage.clone());
                let begun = Instant::now();
                let actions = simulation.planner.handle_event(simulation.now_ms, event);
                let took = begun.elapsed();
                drop(actions);
                total += took;
                longest = longest.max(took);
            }
        }
        (total / (ROUNDS * self.routers) as u32, longest)
    }
}

fn main() {
    println!("engines  models  waiting  mean us  longest us  ratio");
    let mut smallest = None;
    for size in &SIZES {
        let (mean, longest) = size.time();
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
