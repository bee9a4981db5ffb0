//! Tests of [`fescuebay::placement::swap`] against simulated engines in virtual time.

mod swap_simulation;

use std::collections::VecDeque;

use fescuebay::ids::{Incarnation, ModelRef, SoftwareVersion, TargetId};
use fescuebay::placement::swap::demand::{RouterDemand, RunningRequests, WaitingRequests};
use fescuebay::placement::swap::{Action, EngineReport, Event, OrderReply};
use fescuebay::rate_limit::TargetLife;
use fescuebay::units::PerSecond;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swap_simulation::{Faults, Simulation, model_ref};

/// Waiting times of the requests of one run.
struct RunResult {
    /// Time from arrival until a replica was available, of each request that was served.
    waits_ms: Vec<u64>,
    /// Requests that were still waiting at the end.
    unserved: usize,
}

/// Runs requests for `for_ms`: `busy_per_s` for the first two models, 30 % of them for adapters,
/// and `rare_per_s` for all others. Two models that take most of the requests match the load sheets
/// of the users.
fn run_load(
    simulation: &mut Simulation,
    seed: u64,
    for_ms: u64,
    rare_per_s: f64,
    busy_per_s: f64,
) -> RunResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let models = simulation.spec.models.len();
    let mut waiting: Vec<(u64, ModelRef)> = Vec::new();
    let mut running: VecDeque<(u64, RunningRequests)> = VecDeque::new();
    let mut waits_ms = Vec::new();
    for _ in 0..for_ms {
        simulation.step();
        let now_ms = simulation.now_ms;
        let mut arrivals = Vec::new();
        if rng.random_bool(rare_per_s / 1_000.0) {
            arrivals.push(model_ref(rng.random_range(2..models), None));
        }
        if rng.random_bool(busy_per_s / 1_000.0) {
            let adapter = rng.random_bool(0.3).then(|| rng.random_range(1..20));
            arrivals.push(model_ref(rng.random_range(0..2), adapter));
        }
        waiting.extend(arrivals.iter().map(|model| (now_ms, model.clone())));
        let waiting_before = waiting.len();
        waiting.retain(|(since_ms, model)| {
            let serving = simulation.engines.iter().find(|engine| {
                let replicas = simulation.planner.replicas(&engine.target).unwrap_or_default();
                replicas.contains(model)
            });
            let Some(engine) = serving else { return true };
            waits_ms.push(now_ms - since_ms);
            let target = engine.target.clone();
            running.push_back((
                now_ms + 1_300,
                RunningRequests { target, model: Some(model.clone()), count: 1 },
            ));
            false
        });
        while running.front().is_some_and(|(end_ms, _)| *end_ms <= now_ms) {
            running.pop_front();
        }
        if !arrivals.is_empty() || waiting_before != waiting.len() || now_ms.is_multiple_of(400) {
            let wanted: Vec<ModelRef> = waiting.iter().map(|(_, model)| model.clone()).collect();
            let running = running.iter().map(|(_, running)| running.clone()).collect();
            simulation.report_demand(&arrivals, &wanted, running);
        }
    }
    RunResult { waits_ms, unserved: waiting.len() }
}

fn served_share(result: &RunResult, limit_ms: u64) -> f64 {
    let total = result.waits_ms.len() + result.unserved;
    let within = result.waits_ms.iter().filter(|wait_ms| **wait_ms <= limit_ms).count();
    within as f64 / total.max(1) as f64
}

#[test]
fn orders_never_exceed_engine_memory() {
    for seed in 0..4 {
        let mut simulation = Simulation::new(seed, 9, 50, Faults::default());
        run_load(&mut simulation, seed, 20_000, 3.0, 18.0);
    }
}

#[test]
fn lost_and_delayed_orders_never_exceed_engine_memory() {
    for seed in 0..4 {
        let mut simulation = Simulation::new(
            seed,
            9,
            50,
            Faults { lost_replies: 0.3, late_orders: 0.6, ..Faults::default() },
        );
        run_load(&mut simulation, seed, 20_000, 3.0, 18.0);
    }
}

/// Network partitions between engines and the leader delay announcements for seconds, while
/// adapters are loaded on busy models and rare models are loaded and unloaded. An outdated
/// announcement must not make the planner forget a loaded model.
#[test]
fn delayed_announcements_never_exceed_engine_memory() {
    for seed in 0..8 {
        let faults = Faults { delayed_announcements: 0.2, ..Faults::default() };
        let mut simulation = Simulation::new(seed, 3, 9, faults);
        run_load(&mut simulation, seed, 30_000, 3.0, 30.0);
    }
}

/// A delayed order of an earlier leader can be accepted with the order number that this leader's
/// lost order expects. The planner must not take the accepted order for its own.
#[test]
fn delayed_order_of_earlier_leader_is_not_mistaken_for_own_order() {
    for seed in 0..24 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut simulation = Simulation::new(
            seed,
            6,
            30,
            Faults { lost_replies: 0.7, late_orders: 1.0, ..Faults::default() },
        );
        simulation.run(3);
        for engine in 0..6 {
            // The earlier leader has unloaded a model to load another, and the unload has not been
            // announced yet.
            simulation.engines[engine].models.remove(&swap_simulation::model(engine * 3));
            simulation.engines[engine].put_on_disk(20 + engine);
            simulation.schedule_earlier_leader_load(
                rng.random_range(100..1_200),
                engine,
                0,
                20 + engine,
            );
        }
        run_load(&mut simulation, seed, 5_000, 12.0, 0.0);
    }
}

#[test]
fn lost_orders_do_not_block_an_engine_permanently() {
    for seed in 0..3 {
        let mut simulation = Simulation::new(
            seed,
            2,
            12,
            Faults { lost_replies: 0.5, late_orders: 0.3, ..Faults::default() },
        );
        let result = run_load(&mut simulation, seed, 60_000, 0.5, 0.0);
        assert!(served_share(&result, 15_000) > 0.8, "seed {seed}: {:?}", result.waits_ms);
    }
}

/// A model load takes longer than expected and ends while a report is under way, so the report
/// still shows the engine as busy, and an adapter is ordered in between. The planner must keep
/// requesting reports until the engine is idle, or the engine never gets another order.
#[test]
fn reports_are_requested_until_a_busy_engine_is_idle() {
    let mut simulation = Simulation::new(1, 1, 4, Faults::default());
    let [first, second] = [3, 2].map(|number| model_ref(number, None));
    let target = simulation.engines[0].target.clone();
    simulation.engines[0].models.clear();
    simulation.engines[0].put_on_disk(3);
    let sent_ticket = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::SendOrder(order) => Some(order.ticket),
            Action::RequestReport { .. } | Action::ReplicasChanged(_) => None,
        })
    };
    let demand = |models: &[&ModelRef]| {
        let waiting = |model: &&ModelRef| WaitingRequests {
            model: (*model).clone(),
            software: None,
            count: 1,
            slack_ms: 500,
        };
        let waiting = models.iter().map(waiting).collect();
        Event::RouterDemand(
            "r".parse().unwrap(),
            RouterDemand { waiting, ..RouterDemand::default() },
        )
    };
    let reported = |orders, is_busy| {
        let report = EngineReport { accepted_orders: orders, is_busy, ..EngineReport::default() };
        Event::EngineReport { target: target.clone(), report: Some(report) }
    };
    let accepted = |ticket| {
        let (target, reply) = (target.clone(), OrderReply::Accepted);
        Event::OrderAnswered { target, ticket, reply }
    };
    let announcement = |simulation: &mut Simulation| {
        Event::Announced(Box::new(simulation.engines[0].announcement()))
    };

    let announced = announcement(&mut simulation);
    let _ = simulation.planner.handle_event(0, announced);
    let _ = simulation.planner.handle_event(10, reported(0, false));
    let adapter = model_ref(3, Some(1));
    let ticket = sent_ticket(&simulation.planner.handle_event(30, demand(&[&first, &adapter])))
        .expect("an order to load the model");
    let _ = simulation.planner.handle_event(40, accepted(ticket));
    let actions = simulation.planner.handle_event(1_500, Event::Tick);
    assert!(
        actions.iter().any(|action| matches!(action, Action::RequestReport { .. })),
        "{actions:?}"
    );
    simulation.engines[0].models.insert(first.model.clone(), Vec::new());
    let announced = announcement(&mut simulation);
    let _ = simulation.planner.handle_event(1_501, demand(&[&adapter]));
    let ticket = sent_ticket(&simulation.planner.handle_event(1_520, announced))
        .expect("an order to load the adapter");
    let _ = simulation.planner.handle_event(1_521, reported(1, true));
    let _ = simulation.planner.handle_event(1_522, accepted(ticket));

    let is_ordered = (1_600..6_000).step_by(100).any(|now_ms| {
        let mut actions = simulation.planner.handle_event(now_ms, demand(&[&second]));
        if actions.iter().any(|action| matches!(action, Action::RequestReport { .. })) {
            actions = simulation.planner.handle_event(now_ms + 50, reported(2, false));
        }
        sent_ticket(&actions).is_some()
    });
    assert!(is_ordered, "the engine got no further order");
}

#[test]
fn store_loads_stay_within_the_rate_limit() {
    for seed in 0..3 {
        let mut simulation = Simulation::new(seed, 9, 50, Faults::default());
        run_load(&mut simulation, seed, 20_000, 6.0, 18.0);
        let most = simulation.store_starts_ms.iter().enumerate().map(|(at, start_ms)| {
            let after = &simulation.store_starts_ms[at..];
            after.iter().take_while(|later_ms| **later_ms < start_ms + 5_000).count()
        });
        assert!(most.max().unwrap_or(0) <= 20, "seed {seed}: {:?}", simulation.store_starts_ms);
    }
}

#[test]
fn nine_of_ten_requests_for_models_on_disk_are_served_within_two_seconds() {
    let mut shares = Vec::new();
    for seed in 0..3 {
        let mut simulation = Simulation::new(seed, 9, 50, Faults::default());
        // Time to copy every model to a disk: 23 models have no copy, and four are read from the
        // weight store concurrently, in 6 s each.
        simulation.run(60_000);
        let result = run_load(&mut simulation, seed, 20_000, 2.5, 0.0);
        shares.push(served_share(&result, 2_000));
    }
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    assert!(mean >= 0.9, "{shares:?}");
}

#[test]
fn adapters_are_not_ordered_while_their_engine_is_busy() {
    for seed in 0..2 {
        let mut simulation = Simulation::new(seed, 9, 50, Faults::default());
        run_load(&mut simulation, seed, 20_000, 3.0, 18.0);
        let share = f64::from(simulation.conflicts) / f64::from(simulation.orders);
        assert!(
            share < 0.02,
            "seed {seed}: {} of {} orders",
            simulation.conflicts,
            simulation.orders
        );
    }
}

/// At least 90 % of the requests for the two busy models and their adapters must meet the objective
/// of 500 ms.
#[test]
fn adapters_are_served_within_their_latency_objective() {
    let mut shares = Vec::new();
    for seed in 0..3 {
        let mut simulation = Simulation::new(seed, 9, 50, Faults::default());
        simulation.run(10_000);
        let result = run_load(&mut simulation, seed, 30_000, 0.0, 18.0);
        shares.push(served_share(&result, 500));
    }
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    assert!(mean >= 0.9, "{shares:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 6, ..ProptestConfig::default() })]

    #[test]
    fn no_combination_of_load_and_faults_exceeds_engine_memory(
        seed in 0_u64..10_000,
        lost_replies in 0.0_f64..0.5,
        late_orders in 0.0_f64..1.0,
        delayed_announcements in 0.0_f64..0.3,
        rare_per_s in 0.0_f64..8.0,
    ) {
        let faults = Faults { lost_replies, late_orders, delayed_announcements };
        let mut simulation = Simulation::new(seed, 5, 30, faults);
        run_load(&mut simulation, seed, 15_000, rare_per_s, 12.0);
    }
}

/// The load: a busy model whose engines all name a low rate limit. They run few requests, so counts
/// of those show no need.
#[test]
fn a_model_on_limited_engines_gets_a_replica_on_another_one() {
    for is_limited in [false, true] {
        let mut simulation = Simulation::new(1, 4, 12, Faults::default());
        run_load(&mut simulation, 1, 10_000, 0.5, 8.0);
        let busy = model_ref(0, None);
        let holders = |simulation: &Simulation| {
            let holds = |target: &TargetId| {
                simulation.planner.replicas(target).unwrap_or_default().contains(&busy)
            };
            let targets = simulation.engines.iter().map(|engine| engine.target.clone());
            targets.filter(holds).collect::<Vec<TargetId>>()
        };
        let before = holders(&simulation);
        assert!(before.len() < 4, "{before:?}");
        let lives = simulation.engines.iter().filter(|engine| before.contains(&engine.target));
        let limits = lives.map(|engine| {
            let (target, incarnation) = (engine.target.clone(), Incarnation(1));
            (TargetLife { target, incarnation }, PerSecond(0.5))
        });
        let limits = Event::RateLimits(limits.filter(|_| is_limited).collect());
        let now_ms = simulation.now_ms;
        let _ = simulation.planner.handle_event(now_ms, limits);
        run_load(&mut simulation, 2, 10_000, 0.5, 8.0);
        let after = holders(&simulation);
        let is_elsewhere = after.iter().any(|target| !before.contains(target));
        assert!(!is_limited || is_elsewhere, "{before:?}, {after:?}");
    }
}

/// The load: streams of two software versions broke off, and callers take them up while models were moved.
/// Engines 0 and 1 have one version, engine 2 another; model 0 is loaded on engine 0 alone and on the disks
/// of engines 1 and 2.
#[test]
fn a_model_is_loaded_on_an_engine_of_the_software_version_that_waiting_streams_need() {
    let version = |name: &str| name.parse::<SoftwareVersion>().unwrap();
    for adapter in [None, Some(1)] {
        let mut simulation = Simulation::new(1, 3, 9, Faults::default());
        for (at, name) in ["v1", "v1", "v2"].iter().enumerate() {
            simulation.engines[at].software = Some(version(name));
            simulation.engines[at].is_announcement_due = true;
        }
        simulation.engines[1].put_on_disk(0);
        simulation.engines[2].put_on_disk(0);
        for _ in 0..2_000 {
            simulation.step();
        }
        let wanted = (model_ref(0, adapter), Some(version("v2")));
        let is_served_by = |simulation: &Simulation, at: usize| {
            let target = &simulation.engines[at].target;
            simulation.planner.replicas(target).unwrap_or_default().contains(&wanted.0)
        };
        for _ in 0..1_500 {
            if simulation.now_ms.is_multiple_of(100) {
                simulation.report_bound_demand(&[], std::slice::from_ref(&wanted), Vec::new());
            }
            simulation.step();
        }
        assert!(is_served_by(&simulation, 2), "{adapter:?}: the engine of the version has it");
        assert!(!simulation.engines[1].models.contains_key(&wanted.0.model), "{adapter:?}");
        assert!(simulation.store_starts_ms.is_empty() || adapter.is_some());
    }
}

/// A stream that needs a version whose engines have no copy does not take a load from the weight store, which
/// its caller would not wait for.
#[test]
fn a_stream_that_needs_a_software_version_loads_nothing_from_the_weight_store() {
    let version = |name: &str| name.parse::<SoftwareVersion>().unwrap();
    let mut simulation = Simulation::new(1, 3, 9, Faults::default());
    for (at, name) in ["v1", "v1", "v2"].iter().enumerate() {
        simulation.engines[at].software = Some(version(name));
        simulation.engines[at].is_announcement_due = true;
    }
    for _ in 0..4_000 {
        if simulation.now_ms.is_multiple_of(100) {
            let wanted = (model_ref(0, None), Some(version("v2")));
            simulation.report_bound_demand(&[], &[wanted], Vec::new());
        }
        simulation.step();
    }
    assert!(simulation.store_starts_ms.is_empty(), "{:?}", simulation.store_starts_ms);
}

/// The load: after an outage requests wait for more models than engines can swap in at once, among them one
/// of a broken stream that a single engine can continue.
#[test]
fn a_broken_stream_does_not_wait_behind_new_requests_for_other_models() {
    let version = |name: &str| name.parse::<SoftwareVersion>().unwrap();
    let mut simulation = Simulation::new(1, 2, 24, Faults::default());
    for (at, name) in ["v1", "v2"].iter().enumerate() {
        simulation.engines[at].software = Some(version(name));
        simulation.engines[at].is_announcement_due = true;
        (6..24).for_each(|model| simulation.engines[at].put_on_disk(model));
    }
    for _ in 0..2_000 {
        simulation.step();
    }
    // The new requests come first in the order of names, and more of them wait for each model.
    let broken = (model_ref(9, None), Some(version("v2")));
    let mut waiting = vec![broken.clone()];
    for model in 10..24 {
        waiting.extend([(model_ref(model, None), None), (model_ref(model, None), None)]);
    }
    for _ in 0..1_500 {
        if simulation.now_ms.is_multiple_of(100) {
            simulation.report_bound_demand(&[], &waiting, Vec::new());
        }
        simulation.step();
    }
    assert!(simulation.engines[1].models.contains_key(&broken.0.model));
}
