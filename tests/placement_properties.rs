//! Random demand, deaths, lost, late and doubled messages and changes of leader. After every step
//! [`World::check`] holds: replicas at most those decided, memory within capacity, limits on loads.

mod placement_fake;

use fescuebay::ids::ModelRef;
use fescuebay::placement::{Event, Planner, catalogue, policy};
use fescuebay::target::order;
use placement_fake::{
    GIB, Replica, World, change_leader, demand, faulty, name, nine, planner, spec,
};
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::test_runner::{Config, RngSeed, TestRunner};

const MODELS: usize = 14;
const TARGETS: usize = 9;

#[derive(Clone, Debug)]
enum Step {
    Ask { daemon: u8, model: usize, waiting: u32, left_ms: u64 },
    Calm { daemon: u8, model: usize },
    Kill { at: usize, heard_after_ms: u64 },
    Restart { at: usize },
    Leave { at: usize },
    Drain { at: usize },
    Rogue { at: usize, model: usize },
    StoreSlow { slowness: u8 },
    StoreStuck,
    StoreBack,
    Stick { at: usize },
    Lead,
    Upgrade { model: usize },
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let (at, model, daemon) = (0..TARGETS, 0..MODELS, 0..3u8);
    prop_oneof![
        8 => (daemon.clone(), model.clone(), 1..90u32, 500..60_000u64).prop_map(
            |(daemon, model, waiting, left_ms)| Step::Ask { daemon, model, waiting, left_ms }),
        4 => (daemon, model.clone()).prop_map(|(daemon, model)| Step::Calm { daemon, model }),
        2 => (at.clone(), 1..3_000u64).prop_map(
            |(at, heard_after_ms)| Step::Kill { at, heard_after_ms }),
        3 => at.clone().prop_map(|at| Step::Restart { at }),
        1 => at.clone().prop_map(|at| Step::Leave { at }),
        1 => at.clone().prop_map(|at| Step::Drain { at }),
        1 => (at.clone(), model.clone()).prop_map(|(at, model)| Step::Rogue { at, model }),
        1 => (2..9u8).prop_map(|slowness| Step::StoreSlow { slowness }),
        1 => Just(Step::StoreStuck),
        2 => Just(Step::StoreBack),
        1 => at.prop_map(|at| Step::Stick { at }),
        1 => Just(Step::Lead),
        1 => model.prop_map(|model| Step::Upgrade { model }),
        9 => (1..6_000u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// Ten base models of several sizes, and adapters on the first of them.
fn models() -> Vec<catalogue::ModelSpec> {
    let base = |at: usize| spec(&model_name(at), [6, 14, 14, 24, 40][at % 5]);
    (0..MODELS).map(base).collect()
}

fn model_name(at: usize) -> String {
    if at < 10 { format!("m{at}") } else { format!("m0:a{at}") }
}

/// Time for which a former leader goes on beside the next one, where targets ignore fencing.
const LEASE_MS: u64 = 2_000;

fn take(world: &mut World<Planner>, models: &mut [catalogue::ModelSpec], step: &Step) {
    match step {
        Step::Ask { daemon, model, waiting, left_ms } => {
            let deadline_ms = world.now_ms + left_ms;
            world.tell(demand(&format!("d{daemon}"), &model_name(*model), *waiting, deadline_ms));
        }
        Step::Calm { daemon, model } => {
            world.tell(demand(&format!("d{daemon}"), &model_name(*model), 0, 0));
        }
        Step::Kill { at, heard_after_ms } => world.kill(*at, *heard_after_ms),
        Step::Restart { at } => world.restart(*at),
        Step::Leave { at } => {
            world.fakes[*at].is_leaving = true;
            world.announce(*at);
        }
        Step::Drain { at } => {
            let drained_targets = vec![world.fakes[*at].target.clone()];
            let fleet = policy::FleetPolicy { drained_targets, ..policy::FleetPolicy::default() };
            world.tell(Event::FleetPolicyChanged(fleet));
        }
        Step::Rogue { at, model } => add_rogue(world, *at, &models[*model]),
        Step::StoreSlow { slowness } => world.store.slowness = f64::from(*slowness),
        Step::StoreStuck => world.store.is_stuck = true,
        Step::StoreBack => {
            world.store.is_stuck = false;
            world.store.slowness = 1.0;
        }
        Step::Stick { at } => world.fakes[*at].is_stuck = true,
        Step::Lead => {
            let do_all_check = world.fakes.iter().all(|fake| fake.checks_fencing);
            change_leader(world, models, if do_all_check { 0 } else { LEASE_MS });
        }
        Step::Upgrade { model } => {
            models[*model].version = name(&format!("{}", world.now_ms));
            world.tell(Event::ModelChanged(Box::new(models[*model].clone())));
        }
        Step::Wait { ms } => world.run_for(*ms),
    }
}

/// The target loads a replica that nobody ordered.
fn add_rogue(world: &mut World<Planner>, at: usize, spec: &catalogue::ModelSpec) {
    let fake = &mut world.fakes[at];
    if !fake.is_alive || fake.find(&spec.weights()).is_some() {
        return;
    }
    fake.replicas.push(Replica {
        held: order::Held {
            model: spec.model.clone(),
            version: spec.version.clone(),
            phase: order::Phase::Loaded,
            memory_bytes: spec.memory_bytes,
        },
        ends_ms: u64::MAX,
        is_from_store: false,
        is_rogue: true,
    });
    world.announce(at);
}

fn run(checks_fencing: impl Fn(usize) -> bool, seed: u64) {
    let config = Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let steps = proptest::collection::vec(step(), 20..120);
    let mut runner = TestRunner::new(config);
    let result = runner.run(&(any::<u64>(), steps), |(seed, steps)| {
        let mut models = models();
        let mut fakes = nine(true);
        for (at, fake) in fakes.iter_mut().enumerate() {
            fake.checks_fencing = checks_fencing(at);
        }
        let mut world = World::new(seed, fakes, planner(1, 1_000_000, &models));
        world.fate = faulty(4, 4, 4);
        for step in &steps {
            take(&mut world, &mut models, step);
        }
        settle(&mut world, &mut models);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Once the faults are over, what is asked for is loaded, and nothing is left in between.
fn settle(world: &mut World<Planner>, models: &mut [catalogue::ModelSpec]) {
    world.fate = Box::new(|_, _| vec![1]);
    take(world, models, &Step::StoreBack);
    world.tell(Event::FleetPolicyChanged(policy::FleetPolicy::default()));
    for at in 0..TARGETS {
        world.kill(at, 10);
        world.run_for(20);
        world.restart(at);
    }
    for second in 0..180 {
        if second % 5 == 0 {
            for daemon in ["d0", "d1", "d2"] {
                (1..MODELS).for_each(|m| world.tell(demand(daemon, &model_name(m), 0, 0)));
                let deadline_ms = world.now_ms + 60_000;
                world.tell(demand(daemon, "m0:a10", 1, deadline_ms));
            }
        }
        world.run_for(1_000);
    }
    let is_ready = !world.ready("m0:a10").is_empty();
    assert!(is_ready, "the adapter is not loaded: {:#?}", world.leader().decider);
    let changing = world.loading(|replica| replica.held.model != name::<ModelRef>("m0"));
    assert_eq!(changing, 0, "a load never ended");
    let planner = &world.leader().decider;
    for account in planner.ledger().accounts() {
        let is_settled = account.pending_order.as_ref().is_none_or(|p| p.expires_ms > world.now_ms);
        assert!(is_settled, "an order was never settled: {account:?}");
        let fake = world.fakes.iter().find(|fake| fake.target == account.target).unwrap();
        if account.can_receive_order() {
            assert_eq!(account.used_bytes().0, fake.used(), "of {} GiB", fake.memory_bytes / GIB);
        }
    }
}

#[test]
fn targets_that_check_fencing() {
    run(|_| true, 11);
}

#[test]
fn targets_that_ignore_fencing() {
    run(|_| false, 12);
}

#[test]
fn targets_of_both_kinds() {
    run(|at| at % 2 == 0, 13);
}
