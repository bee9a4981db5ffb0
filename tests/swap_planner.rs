//! Placement on engines that carry out one order at a time, in virtual time.

mod swap_simulation;

use std::collections::VecDeque;

use fescuebay::ids::ModelRef;
use fescuebay::placement::swap::demand::{RouterDemand, RunningRequests, WaitingRequests};
use fescuebay::placement::swap::{Action, EngineReport, Event, OrderReply};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swap_simulation::{Faults, Simulation, model_ref};

/// Requests of one run of the load: when each came, for what, and when it could be served.
struct Served {
    waits_ms: Vec<u64>,
    unserved: usize,
}

/// Requests for `models` models, of which the first two take most, as the users' sheets have it.
fn play(
    simulation: &mut Simulation,
    seed: u64,
    for_ms: u64,
    rare_per_s: f64,
    busy_per_s: f64,
) -> Served {
    let mut rng = SmallRng::seed_from_u64(seed);
    let models = simulation.spec.models.len();
    let mut waiting: Vec<(u64, ModelRef)> = Vec::new();
    let mut running: VecDeque<(u64, RunningRequests)> = VecDeque::new();
    let mut waits_ms = Vec::new();
    for _ in 0..for_ms {
        simulation.step();
        let now_ms = simulation.now_ms;
        let mut arrived = Vec::new();
        if rng.random_bool(rare_per_s / 1_000.0) {
            arrived.push(model_ref(rng.random_range(2..models), None));
        }
        if rng.random_bool(busy_per_s / 1_000.0) {
            let adapter = rng.random_bool(0.3).then(|| rng.random_range(1..20));
            arrived.push(model_ref(rng.random_range(0..2), adapter));
        }
        waiting.extend(arrived.iter().map(|model| (now_ms, model.clone())));
        let before = waiting.len();
        waiting.retain(|(since_ms, model)| {
            let place = simulation.engines.iter().find(|engine| {
                let replicas = simulation.planner.replicas(&engine.target).unwrap_or_default();
                replicas.contains(model)
            });
            let Some(engine) = place else { return true };
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
        if !arrived.is_empty() || before != waiting.len() || now_ms.is_multiple_of(400) {
            let wanted: Vec<ModelRef> = waiting.iter().map(|(_, model)| model.clone()).collect();
            let running = running.iter().map(|(_, running)| running.clone()).collect();
            simulation.usage(&arrived, &wanted, running);
        }
    }
    Served { waits_ms, unserved: waiting.len() }
}

fn share_within(served: &Served, limit_ms: u64) -> f64 {
    let all = served.waits_ms.len() + served.unserved;
    let within = served.waits_ms.iter().filter(|wait_ms| **wait_ms <= limit_ms).count();
    within as f64 / all.max(1) as f64
}

#[test]
fn an_engine_is_never_ordered_more_than_it_holds() {
    for seed in 0..4 {
        let mut simulation = Simulation::new(seed, 9, 50, Faults::default());
        play(&mut simulation, seed, 20_000, 3.0, 18.0);
    }
}

#[test]
fn lost_and_late_orders_never_lead_to_more_than_an_engine_holds() {
    for seed in 0..4 {
        let mut simulation =
            Simulation::new(seed, 9, 50, Faults { lost: 0.3, late: 0.6, ..Faults::default() });
        play(&mut simulation, seed, 20_000, 3.0, 18.0);
    }
}

/// The load: cuts between engines and the leader, which hold announcements up for seconds, while busy
/// models get adapters and rare ones come and go.
#[test]
fn an_announcement_that_was_held_up_never_leads_to_more_than_an_engine_holds() {
    for seed in 0..8 {
        let faults = Faults { held_up: 0.2, ..Faults::default() };
        let mut simulation = Simulation::new(seed, 3, 9, faults);
        play(&mut simulation, seed, 30_000, 3.0, 30.0);
    }
}

/// An order of an earlier leader may take the number under which this leader's lost order waits.
#[test]
fn a_late_order_of_an_earlier_leader_is_not_taken_for_an_own_one() {
    for seed in 0..24 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut simulation =
            Simulation::new(seed, 6, 30, Faults { lost: 0.7, late: 1.0, ..Faults::default() });
        simulation.run(3);
        for engine in 0..6 {
            // The earlier leader has unloaded a model, which is not announced yet, to load another.
            simulation.engines[engine].holds.remove(&swap_simulation::model(engine * 3));
            simulation.engines[engine].put_on_disk(20 + engine);
            simulation.foreign_load(rng.random_range(100..1_200), engine, 0, 20 + engine);
        }
        play(&mut simulation, seed, 5_000, 12.0, 0.0);
    }
}

#[test]
fn an_order_that_was_lost_does_not_hold_up_an_engine_for_good() {
    for seed in 0..3 {
        let mut simulation =
            Simulation::new(seed, 2, 12, Faults { lost: 0.5, late: 0.3, ..Faults::default() });
        let served = play(&mut simulation, seed, 60_000, 0.5, 0.0);
        assert!(share_within(&served, 15_000) > 0.8, "seed {seed}: {:?}", served.waits_ms);
    }
}

/// The load: a load that takes longer than expected ends while the engine is being asked, so that its
/// answer is of the time before; an adapter is ordered in between.
#[test]
fn an_engine_that_was_last_heard_at_work_is_asked_until_it_rests() {
    let mut simulation = Simulation::new(1, 1, 4, Faults::default());
    let [first, second] = [3, 2].map(|number| model_ref(number, None));
    let target = simulation.engines[0].target.clone();
    simulation.engines[0].holds.clear();
    simulation.engines[0].put_on_disk(3);
    let sent = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::SendOrder(order) => Some(order.ticket),
            Action::RequestReport { .. } | Action::ReplicasChanged(_) => None,
        })
    };
    let usage = |models: &[&ModelRef]| {
        let waiting = |model: &&ModelRef| WaitingRequests {
            model: (*model).clone(),
            count: 1,
            slack_ms: 500,
        };
        let waiting = models.iter().map(waiting).collect();
        Event::RouterDemand(
            "r".parse().unwrap(),
            RouterDemand { waiting, ..RouterDemand::default() },
        )
    };
    let told = |orders, is_busy| {
        let report = EngineReport { accepted_orders: orders, is_busy, ..EngineReport::default() };
        Event::EngineReport { target: target.clone(), report: Some(report) }
    };
    let accepted = |ticket| {
        let (target, reply) = (target.clone(), OrderReply::Accepted);
        Event::OrderAnswered { target, ticket, reply }
    };
    let state =
        |simulation: &mut Simulation| Event::Announced(Box::new(simulation.engines[0].state()));

    let announced = state(&mut simulation);
    let _ = simulation.planner.handle_event(0, announced);
    let _ = simulation.planner.handle_event(10, told(0, false));
    let adapter = model_ref(3, Some(1));
    let ticket =
        sent(&simulation.planner.handle_event(30, usage(&[&first, &adapter]))).expect("a load");
    let _ = simulation.planner.handle_event(40, accepted(ticket));
    let actions = simulation.planner.handle_event(1_500, Event::Tick);
    assert!(
        actions.iter().any(|action| matches!(action, Action::RequestReport { .. })),
        "{actions:?}"
    );
    simulation.engines[0].holds.insert(first.model.clone(), Vec::new());
    let announced = state(&mut simulation);
    let _ = simulation.planner.handle_event(1_501, usage(&[&adapter]));
    let ticket = sent(&simulation.planner.handle_event(1_520, announced)).expect("the adapter");
    let _ = simulation.planner.handle_event(1_521, told(1, true));
    let _ = simulation.planner.handle_event(1_522, accepted(ticket));

    let is_ordered = (1_600..6_000).step_by(100).any(|now_ms| {
        let mut actions = simulation.planner.handle_event(now_ms, usage(&[&second]));
        if actions.iter().any(|action| matches!(action, Action::RequestReport { .. })) {
            actions = simulation.planner.handle_event(now_ms + 50, told(2, false));
        }
        sent(&actions).is_some()
    });
    assert!(is_ordered, "the engine is given up for good");
}

#[test]
fn the_weight_store_is_asked_no_more_often_than_allowed() {
    for seed in 0..3 {
        let mut simulation = Simulation::new(seed, 9, 50, Faults::default());
        play(&mut simulation, seed, 20_000, 6.0, 18.0);
        let most = simulation.store_starts_ms.iter().enumerate().map(|(at, start_ms)| {
            let after = &simulation.store_starts_ms[at..];
            after.iter().take_while(|later_ms| **later_ms < start_ms + 5_000).count()
        });
        assert!(most.max().unwrap_or(0) <= 20, "seed {seed}: {:?}", simulation.store_starts_ms);
    }
}

#[test]
fn models_on_some_disk_are_served_in_time_for_nine_requests_of_ten() {
    let mut shares = Vec::new();
    for seed in 0..3 {
        let mut simulation = Simulation::new(seed, 9, 50, Faults::default());
        // Every model gets onto a disk first: 23 are on none, and four are read at once in 6 s.
        simulation.run(60_000);
        let served = play(&mut simulation, seed, 20_000, 2.5, 0.0);
        shares.push(share_within(&served, 2_000));
    }
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    assert!(mean >= 0.9, "{shares:?}");
}

#[test]
fn an_adapter_is_not_ordered_while_its_engine_is_at_work() {
    for seed in 0..2 {
        let mut simulation = Simulation::new(seed, 9, 50, Faults::default());
        play(&mut simulation, seed, 20_000, 3.0, 18.0);
        let share = f64::from(simulation.conflicts) / f64::from(simulation.orders);
        assert!(
            share < 0.02,
            "seed {seed}: {} of {} orders",
            simulation.conflicts,
            simulation.orders
        );
    }
}

#[test]
fn adapters_are_served_within_their_objective() {
    let mut shares = Vec::new();
    for seed in 0..3 {
        let mut simulation = Simulation::new(seed, 9, 50, Faults::default());
        simulation.run(10_000);
        let served = play(&mut simulation, seed, 30_000, 0.0, 18.0);
        shares.push(share_within(&served, 500));
    }
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    assert!(mean >= 0.9, "{shares:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 6, ..ProptestConfig::default() })]

    #[test]
    fn no_mix_of_load_and_trouble_overcommits_an_engine(
        seed in 0_u64..10_000,
        lost in 0.0_f64..0.5,
        late in 0.0_f64..1.0,
        held_up in 0.0_f64..0.3,
        rare_per_s in 0.0_f64..8.0,
    ) {
        let mut simulation = Simulation::new(seed, 5, 30, Faults { lost, late, held_up });
        play(&mut simulation, seed, 15_000, rare_per_s, 12.0);
    }
}
