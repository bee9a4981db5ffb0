//! Placement: what it achieves in virtual time, and the time that a round takes.

mod measures_placement;

use std::time::{Duration, Instant};

use fescuebay::ids::Term;
use fescuebay::placement::{Action, Event, Planner, Settings, catalogue, demand, policy};
use fescuebay::target::order::{self, Phase};
use measures_placement::fake::{self, Decider, Fake, Replica, World};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The bound on a round at the two-year size.
const BOUND: Duration = Duration::from_millis(50);
const MINUTES: u64 = 3;

/// Times each call of the planner.
struct Timed {
    planner: Planner,
    times: Vec<Duration>,
}

impl Decider for Timed {
    fn handle_event(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        let start = Instant::now();
        let actions = self.planner.handle_event(now_ms, event);
        self.times.push(start.elapsed());
        actions
    }

    fn wake_ms(&self) -> Option<u64> {
        self.planner.wake_ms()
    }

    fn can_send_orders(&self) -> bool {
        self.planner.can_send_orders()
    }
}

struct Size {
    targets: usize,
    models: usize,
    adapters: usize,
    /// Adapters that wake up in an hour.
    wake_ups: u64,
}

const SIZES: [Size; 4] = [
    Size { targets: 9, models: 50, adapters: 60, wake_ups: 60 },
    Size { targets: 375, models: 60, adapters: 7_750, wake_ups: 775 },
    Size { targets: 750, models: 80, adapters: 15_500, wake_ups: 1_550 },
    Size { targets: 1_500, models: 110, adapters: 31_000, wake_ups: 3_100 },
];

fn catalogue(size: &Size) -> Vec<catalogue::ModelSpec> {
    let models = (0..size.models).map(|at| fake::spec(&format!("m{at}"), 24));
    let adapter = |at: usize| fake::spec(&format!("m{}:a{at}", at % size.models), 0);
    models.chain((0..size.adapters).map(adapter)).collect()
}

fn held(spec: &catalogue::ModelSpec) -> Replica {
    Replica {
        held: order::Held {
            model: spec.model.clone(),
            version: spec.version.clone(),
            phase: Phase::Loaded,
            memory_bytes: spec.memory_bytes,
        },
        ends_ms: u64::MAX,
        is_from_store: false,
        is_rogue: false,
    }
}

/// Targets that hold two base models each, and a tenth of the adapters.
fn fakes(size: &Size, specs: &[catalogue::ModelSpec]) -> Vec<Fake> {
    let zones = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let target = |at: usize| Fake::new(at, zones[at % 8], 80, true);
    let mut fakes: Vec<Fake> = (0..size.targets).map(target).collect();
    for (at, fake) in fakes.iter_mut().enumerate() {
        let bases = [2 * at % size.models, (2 * at + 1) % size.models];
        for base in bases {
            fake.replicas.push(held(&specs[base]));
            let adapters = specs[size.models..].iter().skip(base).step_by(size.models);
            let round = 2 * at / size.models;
            let rounds = (2 * size.targets / size.models).max(1);
            let own = adapters.skip(round).step_by(rounds * 10);
            fake.replicas.extend(own.map(held));
        }
    }
    fakes
}

fn entry(
    spec: &catalogue::ModelSpec,
    waiting: u32,
    in_flight: u32,
    now_ms: u64,
) -> demand::DemandEntry {
    demand::DemandEntry {
        model: spec.model.clone(),
        waiting,
        in_flight,
        arrivals: waiting,
        earliest_deadline_ms: Some(now_ms + 30_000),
        class_weight: 1,
    }
}

fn tell(world: &mut World<Timed>, daemon: String, entries: Vec<demand::DemandEntry>) {
    let daemon = fake::name(&daemon);
    world.tell(Event::DemandReported(demand::DemandReport { daemon, entries }));
}

fn sorted(world: &mut World<Timed>) -> Vec<Duration> {
    let times = &mut world.leaders[0].decider.times;
    let mut sorted = std::mem::take(times);
    sorted.sort_unstable();
    sorted
}

/// Rounds of some minutes, then a change of the fleet's weights, then the loss of a zone.
fn rounds(size: &Size) {
    let specs = catalogue(size);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut planner = Planner::new(Term(1), Settings::new().takeover_ms(0));
    for spec in &specs {
        planner.handle_event(1_000_000, Event::ModelChanged(Box::new(spec.clone())));
    }
    let timed = Timed { planner, times: Vec::new() };
    let mut world = World::new(1, fakes(size, &specs), timed);
    world.is_checked = false;
    let busy = (16 * size.targets / size.models) as u32;
    let bases = |world: &mut World<Timed>| {
        let now_ms = world.now_ms;
        let entries = specs[..size.models].iter().map(|spec| entry(spec, 0, busy, now_ms));
        let entries = entries.collect();
        tell(world, "d-base".to_owned(), entries);
    };
    bases(&mut world);
    world.run_for(5_000);
    sorted(&mut world);
    let gap_ms = 3_600_000 / size.wake_ups;
    let end_ms = world.now_ms + MINUTES * 60_000;
    let mut woken = 0;
    while world.now_ms < end_ms {
        let daemon = rng.random_range(0..410);
        let spec = &specs[size.models + rng.random_range(0..size.adapters)];
        let now_ms = world.now_ms;
        tell(&mut world, format!("d{daemon}"), vec![entry(spec, 1, 0, now_ms)]);
        world.run_for(gap_ms.min(1_000));
        tell(&mut world, format!("d{daemon}"), vec![entry(spec, 0, 0, now_ms)]);
        world.run_for(gap_ms.saturating_sub(1_000));
        woken += 1;
        if woken % (4_000 / gap_ms).max(1) == 0 {
            bases(&mut world);
        }
    }
    let times = sorted(&mut world);
    let fleet = policy::FleetPolicy { idle_weight: 0.9, ..policy::FleetPolicy::default() };
    world.tell(Event::FleetPolicyChanged(fleet));
    let reweighed = sorted(&mut world).last().copied().unwrap_or_default();
    let zone = world.fakes[0].zone.clone();
    for at in 0..world.fakes.len() {
        if world.fakes[at].zone == zone {
            world.kill(at, 1);
        }
    }
    world.run_for(10_000);
    let zone_lost = sorted(&mut world).last().copied().unwrap_or_default();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    let worst = at(1.0);
    println!(
        "{:5} targets {:6} adapters: {:6} rounds, p50 {:9.1?} p99 {:9.1?} max {:9.1?}; new weights {:9.1?}; zone lost {:9.1?}  {}",
        size.targets,
        size.adapters,
        times.len(),
        at(0.5),
        at(0.99),
        worst,
        reweighed,
        zone_lost,
        if worst.max(reweighed).max(zone_lost) <= BOUND { "within 50 ms" } else { "OVER 50 ms" },
    );
}

fn main() {
    println!("policy, virtual time, three seeds each");
    for line in measures_placement::measure() {
        let outcome = &line.outcome;
        println!(
            "{:8} {:20} cold p50 {:6} p99 {:6} mean {:5} ms; wait p99 {:6} ms; idle held {:5.2} h, free while waiting {:5.2} h; {:6.1} loads/h; {} unserved",
            line.scenario,
            line.policy,
            outcome.cold(50),
            outcome.cold(99),
            outcome.mean_cold(),
            outcome.wait(99),
            outcome.held_unused_h,
            outcome.free_while_waiting_h,
            outcome.moved_per_h(),
            outcome.unserved,
        );
    }
    println!("time of a round, bound {BOUND:?}");
    SIZES.iter().for_each(rounds);
}
