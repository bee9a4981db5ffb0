//! Placement under the failures that its issue lists, at targets of each kind, once and twice.
//! After every step [`World::check`] holds as well.

mod placement_fake;

use fescuebay::ids::Incarnation;
use fescuebay::placement::planner::NotLoadedReason;
use fescuebay::placement::{Action, Event, Planner, catalogue, demand, policy};
use fescuebay::target::order::{self, Phase};
use fescuebay::units::Bytes;
use placement_fake::{
    Fake, GIB, Message, Replica, World, change_leader, demand, name, nine, planner, spec,
};

const FAR_MS: u64 = 1_000_000_000;
/// A former leader's lease, the order limit and the clock skew together.
const TAKEOVER_MS: u64 = 4_500;

fn models() -> Vec<catalogue::ModelSpec> {
    vec![spec("quill", 14), spec("quill:tower", 0), spec("reed", 40)]
}

/// Nine targets that were read, and a leader that gives orders.
fn world(checks_fencing: bool) -> World<Planner> {
    let mut world = World::new(1, nine(checks_fencing), planner(1, 1_000_000, &models()));
    world.run_for(5_000);
    assert!(world.leader().decider.can_send_orders());
    world
}

/// Demand for `quill` goes on for some seconds.
fn ask_for(world: &mut World<Planner>, seconds: u64) {
    for _ in 0..seconds {
        world.tell(demand("d1", "quill", 1, FAR_MS));
        world.run_for(1_000);
    }
}

/// The target that loads or holds `model`.
fn holder(world: &World<Planner>, model: &str) -> usize {
    let model = name(model);
    let holds = |fake: &Fake| fake.replicas.iter().any(|r| r.held.model == model);
    world.fakes.iter().position(|fake| fake.is_alive && holds(fake)).unwrap()
}

fn rogue(spec: &catalogue::ModelSpec) -> Replica {
    Replica {
        held: order::Held {
            model: spec.model.clone(),
            version: spec.version.clone(),
            phase: Phase::Loaded,
            memory_bytes: spec.memory_bytes,
        },
        ends_ms: u64::MAX,
        is_from_store: false,
        is_rogue: true,
    }
}

/// Messages for which `is_lost` holds are lost, the first `count` of them.
fn lose(world: &mut World<Planner>, count: usize, is_lost: impl Fn(&Message) -> bool + 'static) {
    let mut left = count;
    world.fate = Box::new(move |message, _| {
        let is_hit = left > 0 && is_lost(message);
        left -= usize::from(is_hit);
        if is_hit { Vec::new() } else { vec![1] }
    });
}

fn is_order(message: &Message) -> bool {
    matches!(message, Message::Order { .. })
}

fn is_order_answer(message: &Message) -> bool {
    let Message::Answer { event, .. } = message else { return false };
    matches!(**event, Event::OrderAnswered { .. })
}

/// What goes wrong around the first load of a model that is asked for.
#[derive(Clone, Copy, Debug)]
enum Fault {
    TargetDiesWhileLoading,
    TargetRestartsWhileLoading,
    OrderIsLost,
    AnswerIsLost,
    OrderComesTwice,
    OrderComesAfterItExpired,
    LeaderDiesBeforeTheOrder,
    LeaderDiesDuringTheOrder,
    LeaderDiesAfterTheOrder,
    OldOrderComesLate,
    StoreIsSlowThenStuckThenBack,
    LoadHangs,
    IdIsAnnouncedTwice,
    MoreIsReportedThanOrdered,
    TargetDiesDuringDrain,
}

const FAULTS: [Fault; 15] = [
    Fault::TargetDiesWhileLoading,
    Fault::TargetRestartsWhileLoading,
    Fault::OrderIsLost,
    Fault::AnswerIsLost,
    Fault::OrderComesTwice,
    Fault::OrderComesAfterItExpired,
    Fault::LeaderDiesBeforeTheOrder,
    Fault::LeaderDiesDuringTheOrder,
    Fault::LeaderDiesAfterTheOrder,
    Fault::OldOrderComesLate,
    Fault::StoreIsSlowThenStuckThenBack,
    Fault::LoadHangs,
    Fault::IdIsAnnouncedTwice,
    Fault::MoreIsReportedThanOrdered,
    Fault::TargetDiesDuringDrain,
];

/// Brings a fault about `times` times, while `quill` is asked for.
fn suffer(world: &mut World<Planner>, fault: Fault, times: usize) {
    match fault {
        Fault::TargetDiesWhileLoading | Fault::TargetRestartsWhileLoading => {
            for _ in 0..times {
                ask_for(world, 2);
                let at = holder(world, "quill");
                world.kill(at, 3_000);
                if matches!(fault, Fault::TargetRestartsWhileLoading) {
                    world.restart(at);
                }
                ask_for(world, 5);
            }
        }
        Fault::OrderIsLost => lose(world, times, is_order),
        Fault::AnswerIsLost => lose(world, times, is_order_answer),
        Fault::OrderComesTwice => {
            world.fate = Box::new(move |message, _| {
                if is_order(message) {
                    (0..=times as u64).map(|n| 1 + n * 900).collect()
                } else {
                    vec![1]
                }
            });
        }
        Fault::OrderComesAfterItExpired => delay(world, times, 2_500),
        Fault::LeaderDiesBeforeTheOrder => (0..times).for_each(|_| next_leader(world)),
        Fault::LeaderDiesDuringTheOrder | Fault::OldOrderComesLate => {
            let late_ms = if matches!(fault, Fault::OldOrderComesLate) { 1_900 } else { 300 };
            for _ in 0..times {
                delay(world, 1, late_ms);
                world.tell(demand("d1", "quill", 1, FAR_MS));
                next_leader(world);
                ask_for(world, 5);
            }
        }
        Fault::LeaderDiesAfterTheOrder => {
            for _ in 0..times {
                ask_for(world, 1);
                next_leader(world);
                ask_for(world, 1);
            }
        }
        Fault::StoreIsSlowThenStuckThenBack => {
            for _ in 0..times {
                world.store.slowness = 3.0;
                ask_for(world, 10);
                world.store.is_stuck = true;
                ask_for(world, 60);
                world.store = placement_fake::Store { slowness: 1.0, is_stuck: false };
            }
        }
        Fault::LoadHangs => {
            (0..times).for_each(|at| world.fakes[at].is_stuck = true);
            ask_for(world, 40 * times as u64);
        }
        Fault::IdIsAnnouncedTwice => announce_as_another(world, times),
        Fault::MoreIsReportedThanOrdered => {
            for at in 4..4 + times {
                let spec = &models()[0];
                world.fakes[at].replicas.push(rogue(spec));
                world.announce(at);
                ask_for(world, 1);
            }
        }
        Fault::TargetDiesDuringDrain => {
            for _ in 0..times {
                ask_for(world, 10);
                let at = holder(world, "quill");
                let drained_targets = vec![world.fakes[at].target.clone()];
                world.tell(Event::FleetPolicyChanged(policy::FleetPolicy {
                    drained_targets,
                    ..Default::default()
                }));
                ask_for(world, 1);
                world.kill(at, 1_000);
                ask_for(world, 5);
            }
        }
    }
}

fn next_leader(world: &mut World<Planner>) {
    change_leader(world, &models(), 0);
}

/// Orders come late, the first `count` of them.
fn delay(world: &mut World<Planner>, count: usize, late_ms: u64) {
    let mut left = count;
    world.fate = Box::new(move |message, _| {
        let is_hit = left > 0 && is_order(message);
        left -= usize::from(is_hit);
        if is_hit { vec![late_ms] } else { vec![1] }
    });
}

/// Another process announces itself under the id of a target, in the same life or an older one.
fn announce_as_another(world: &mut World<Planner>, times: usize) {
    for at in 0..times {
        let mut state = world.fakes[at].state();
        state.sequence += 100;
        state.address = "127.0.0.1:9999".parse().unwrap();
        world.tell(Event::TargetAnnounced(state.clone()));
        state.incarnation = Incarnation(0);
        state.holds = vec![rogue(&models()[2]).held];
        world.tell(Event::TargetAnnounced(state));
    }
}

#[test]
fn a_model_that_is_asked_for_is_loaded_once_after_every_fault() {
    for fault in FAULTS {
        for checks_fencing in [true, false] {
            for times in [1, 2] {
                let case = format!("{fault:?}, checks fencing: {checks_fencing}, {times} times");
                let mut world = world(checks_fencing);
                suffer(&mut world, fault, times);
                ask_for(&mut world, 60);
                assert_eq!(world.ready("quill").len(), 1, "{case}");
                assert_eq!(world.loading(|_| true), 0, "{case}");
                for account in world.leader().decider.ledger().accounts() {
                    let fake = world.fakes.iter().find(|f| f.target == account.target).unwrap();
                    let is_equal = account.used_bytes().0 == fake.used() || !fake.is_alive;
                    assert!(is_equal, "{case}: the ledger differs at {}", fake.target);
                }
            }
        }
    }
}

#[test]
fn a_burst_at_many_routers_yields_one_decision() {
    let mut world = world(true);
    for daemon in 1..=9 {
        world.tell(demand(&format!("d{daemon}"), "quill", 1, FAR_MS));
    }
    world.run_for(9_000);
    assert_eq!(world.ready("quill").len(), 1);
    assert_eq!(world.orders(order::Action::Load).len(), 1);
}

#[test]
fn a_new_leader_waits_only_for_targets_that_ignore_fencing() {
    for (checks_fencing, first_ms) in [(true, 2_500), (false, TAKEOVER_MS)] {
        let mut world = world(checks_fencing);
        let start_ms = world.now_ms;
        change_leader(&mut world, &models(), 0);
        ask_for(&mut world, 10);
        let orders = world.orders(order::Action::Load);
        let wait_ms = orders[0].0 - start_ms;
        assert!((first_ms..first_ms + 100).contains(&wait_ms), "{checks_fencing}: {wait_ms} ms");
    }
}

#[test]
fn a_lost_order_keeps_its_memory_until_the_state_settles_it() {
    for checks_fencing in [true, false] {
        let mut world = world(checks_fencing);
        lose(&mut world, 1, is_order);
        world.tell(demand("d1", "quill", 1, FAR_MS));
        world.run_for(1_999);
        let reserved = |world: &World<Planner>| -> u64 {
            let accounts = world.leader().decider.ledger().accounts();
            accounts.iter().map(|account| account.used_bytes().0).sum()
        };
        assert_eq!(reserved(&world), 14 * GIB);
        // The order is taken for lost after 2,000 ms. Where it can still come it is waited for.
        world.run_for(201);
        let expected = if checks_fencing { 1 } else { 0 };
        assert_eq!(world.orders(order::Action::Load).len(), 1 + expected);
        world.run_for(800);
        assert_eq!(world.orders(order::Action::Load).len(), 2);
    }
}

/// Eight models in the weight store, of which four load; the first on `runner-0`.
fn store_is_full() -> World<Planner> {
    let models: Vec<_> = (0..8).map(|at| spec(&format!("m{at}"), 14)).collect();
    let mut world = World::new(1, nine(true), planner(1, 1_000_000, &models));
    world.run_for(5_000);
    for at in 0..4 {
        world.tell(demand("d1", &format!("m{at}"), 1, FAR_MS));
        world.run_for(400);
    }
    assert_eq!(world.loading(|replica| replica.is_from_store), 4);
    world
}

#[test]
fn a_load_counts_until_the_next_life_of_its_target_would_have_been_heard_of() {
    let mut world = store_is_full();
    world.run_for(12_000);
    assert_eq!(world.loading(|replica| replica.is_from_store), 0);
    // The order meets the next life of its target, which is heard of late.
    world.fate = Box::new(|message, _| match message {
        Message::Announcement(state) if state.incarnation.0 > 1 => vec![2_900],
        _ => vec![1],
    });
    world.tell(demand("d1", "m4", 1, FAR_MS));
    let target = world.orders(order::Action::Load).last().unwrap().1.clone();
    let at = world.fakes.iter().position(|fake| fake.target == target).unwrap();
    world.kill(at, 2);
    world.restart(at);
    for second in 0..8 {
        (4..8).for_each(|m| world.tell(demand("d1", &format!("m{m}"), 1 + second, FAR_MS)));
        world.run_for(1_000);
    }
    // World::check has seen at most four loads from the store throughout.
    assert_eq!(world.fakes[at].incarnation, 2);
}

#[test]
fn a_copy_in_memory_is_not_relied_on_while_an_unload_may_displace_it() {
    let mut world = store_is_full();
    let (old, held) = (spec("m5", 14), spec("m4", 14));
    let fake = &mut world.fakes[8];
    fake.cache(&old.weights(), order::Tier::Memory);
    fake.cache(&spec("m6", 14).weights(), order::Tier::Memory);
    let mut replica = rogue(&held);
    replica.is_rogue = false;
    fake.replicas.push(replica);
    world.is_checked = false;
    world.announce(8);
    world.run_for(10);
    world.is_checked = true;
    assert_eq!(world.orders(order::Action::Unload).len(), 1, "nobody wants it");
    // The order for the copy arrives when the unload has displaced it.
    world.fate = Box::new(|message, _| match message {
        Message::Order { .. } => vec![40],
        _ => vec![1],
    });
    world.tell(demand("d1", "m5", 1, FAR_MS));
    world.run_for(1_000);
    assert_eq!(world.loading(|replica| replica.is_from_store), 4);
}

#[test]
fn a_load_whose_demand_is_gone_is_cancelled() {
    let mut world = world(true);
    world.tell(demand("d1", "quill", 1, FAR_MS));
    world.run_for(1_000);
    world.tell(demand("d1", "quill", 0, FAR_MS));
    world.run_for(4_000);
    assert_eq!(world.orders(order::Action::CancelLoad).len(), 1);
    assert_eq!(world.loading(|_| true), 0);
}

#[test]
fn a_new_leader_keeps_what_is_loaded_though_it_knows_no_past() {
    let mut world = world(true);
    ask_for(&mut world, 10);
    world.tell(demand("d1", "quill", 0, FAR_MS));
    change_leader(&mut world, &models(), 0);
    world.run_for(8_000);
    assert_eq!(world.ready("quill").len(), 1);
}

#[test]
fn a_hung_load_is_given_up_and_tried_elsewhere() {
    let mut world = world(true);
    (0..8).for_each(|at| world.fakes[at].is_stuck = true);
    ask_for(&mut world, 45);
    let gave_up = |action: &Action| {
        matches!(action, Action::CannotLoad { reason: NotLoadedReason::Hung, .. })
    };
    assert!(world.log.iter().any(|(_, _, action)| gave_up(action)));
    let first = world.orders(order::Action::CancelLoad)[0].0;
    let loads = world.orders(order::Action::Load);
    assert!(first - loads[0].0 >= 32_000, "given up before four times its time");
    assert_ne!(loads[0].1, loads[1].1);
}

#[test]
fn an_adapter_that_hung_is_tried_again_where_its_base_is_ready() {
    let mut world = world(true);
    ask_for(&mut world, 10);
    let at = holder(&world, "quill");
    world.fakes[at].is_stuck = true;
    for second in 0..20 {
        world.fakes[at].is_stuck = second < 5;
        ask_for(&mut world, 1);
        world.tell(demand("d1", "quill:tower", 1, FAR_MS));
    }
    assert_eq!(world.ready("quill:tower").len(), 1);
}

#[test]
fn a_new_version_is_loaded_beside_the_old_one_which_then_goes() {
    let mut world = world(true);
    ask_for(&mut world, 10);
    let mut upgraded = spec("quill", 14);
    upgraded.version = name("2");
    world.tell(Event::ModelChanged(Box::new(upgraded.clone())));
    for _ in 0..20 {
        ask_for(&mut world, 1);
        assert!(!world.ready("quill").is_empty(), "no version is ready");
    }
    let ready = world.ready("quill");
    assert_eq!(ready.len(), 1);
    assert!(ready[0].find(&upgraded.weights()).is_some());
}

#[test]
fn a_drained_target_keeps_its_replica_until_another_is_ready() {
    for is_zone in [false, true] {
        let mut world = world(true);
        ask_for(&mut world, 10);
        let at = holder(&world, "quill");
        let fake = &world.fakes[at];
        let mut fleet = policy::FleetPolicy::default();
        if is_zone {
            fleet.drained_zones = vec![fake.zone.clone()];
        } else {
            fleet.drained_targets = vec![fake.target.clone()];
        }
        world.tell(Event::FleetPolicyChanged(fleet.clone()));
        for _ in 0..20 {
            ask_for(&mut world, 1);
            assert!(!world.ready("quill").is_empty(), "no replica is ready");
        }
        let ready = world.ready("quill");
        let is_drained = |fake: &Fake| fleet.is_drained(&fake.target, &fake.zone);
        assert!(ready.len() == 1 && !is_drained(ready[0]), "zone: {is_zone}");
    }
}

#[test]
fn a_target_that_leaves_gets_nothing_and_its_replica_is_rebuilt() {
    let mut world = world(true);
    ask_for(&mut world, 10);
    let at = holder(&world, "quill");
    world.fakes[at].is_leaving = true;
    world.announce(at);
    ask_for(&mut world, 12);
    let target = &world.fakes[at].target;
    assert!(world.ready("quill").iter().any(|fake| fake.target != *target));
    assert_eq!(
        world.orders(order::Action::Load).iter().filter(|(_, t, _)| *t == target).count(),
        1
    );
}

#[test]
fn adapters_go_where_their_base_is_warm_and_leave_before_it() {
    let mut world = world(true);
    world.tell(demand("d1", "quill:tower", 1, FAR_MS));
    world.run_for(9_500);
    let ready = world.ready("quill:tower");
    assert_eq!(ready.len(), 1);
    assert_eq!(ready[0].target, world.ready("quill")[0].target);
    world.tell(Event::ModelRemoved(name("quill")));
    world.tell(Event::ModelRemoved(name("quill:tower")));
    world.tell(demand("d1", "quill:tower", 0, FAR_MS));
    world.run_for(5_000);
    let unloads = world.orders(order::Action::Unload);
    let names: Vec<String> = unloads.iter().map(|(_, _, o)| o.model.to_string()).collect();
    assert_eq!(names, ["quill:tower", "quill"]);
}

#[test]
fn replicas_spread_over_zones() {
    let mut fakes = nine(true);
    for (at, fake) in fakes.iter_mut().enumerate() {
        fake.zone = name(["andina-a", "andina-b", "andina-c"][at / 3]);
    }
    let mut world = World::new(1, fakes, planner(1, 1_000_000, &models()));
    world.run_for(5_000);
    world.tell(demand("d1", "quill", 80, world.now_ms + 20_000));
    world.run_for(12_000);
    let ready = world.ready("quill");
    let mut zones: Vec<String> = ready.iter().map(|fake| fake.zone.to_string()).collect();
    zones.sort();
    zones.dedup();
    assert!(ready.len() >= 3 && zones.len() == 3, "{} replicas in {zones:?}", ready.len());
}

#[test]
fn a_model_goes_where_it_leaves_the_least_memory_free() {
    let mut world = world(true);
    world.fakes[4].cache(&spec("quill", 14).weights(), order::Tier::Disk);
    world.announce(4);
    world.run_for(10);
    ask_for(&mut world, 4);
    assert_eq!(holder(&world, "quill"), 4);
    world.tell(demand("d1", "reed", 1, FAR_MS));
    world.run_for(9_000);
    assert_eq!(holder(&world, "reed"), 4);
}

#[test]
fn work_that_waits_takes_the_memory_of_idle_replicas() {
    let models: Vec<_> = (0..12).map(|at| spec(&format!("m{at}"), 40)).collect();
    let mut world = World::new(1, nine(true), planner(1, 1_000_000, &models));
    // Idle replicas cost nothing, so that only waiting work takes their memory.
    world.tell(Event::FleetPolicyChanged(policy::FleetPolicy {
        idle_weight: 0.0,
        ..Default::default()
    }));
    world.run_for(5_000);
    let ask_for = |world: &mut World<Planner>, models: std::ops::Range<usize>, seconds| {
        for _ in 0..seconds {
            let names = models.clone().map(|at| format!("m{at}"));
            names.for_each(|name| world.tell(demand("d1", &name, 1, FAR_MS)));
            world.run_for(1_000);
        }
    };
    ask_for(&mut world, 0..9, 40);
    for at in 0..9 {
        assert_eq!(world.ready(&format!("m{at}")).len(), 1, "m{at}");
    }
    (0..8).for_each(|at| world.tell(demand("d1", &format!("m{at}"), 0, FAR_MS)));
    ask_for(&mut world, 8..12, 12);
    for at in 8..12 {
        assert_eq!(world.ready(&format!("m{at}")).len(), 1, "m{at}");
    }
}

/// What operators ask for one model, and what follows without any demand.
#[test]
fn exceptions_of_operators_work() {
    const DAY_MS: u64 = 86_400_000;
    let evening = policy::DailyWindow { from_minute: 18 * 60, to_minute: 1440 };
    let pinned = policy::ModelPolicy { min_replicas: 2, ..Default::default() };
    let warm = policy::ModelPolicy { keep_warm: vec![evening], ..Default::default() };
    let forbidden = policy::ModelPolicy {
        min_replicas: 9,
        forbidden_zones: vec![name("andina-a"), name("andina-b")],
        ..Default::default()
    };
    let capped = policy::ModelPolicy { min_replicas: 3, max_replicas: 1, ..Default::default() };
    // The policy, the hour of the day, and the replicas that are held.
    let cases = [
        ("pinned", pinned, 3, 2),
        ("warm in the evening", warm.clone(), 19, 1),
        ("warm in the evening", warm, 17, 0),
        ("two zones forbidden", forbidden, 3, 3),
        ("capped", capped, 3, 1),
    ];
    for (case, policy, hour, count) in cases {
        let mut model = spec("quill", 14);
        model.policy = policy;
        let mut world = World::new(1, nine(true), planner(1, 0, &[model]));
        world.now_ms = DAY_MS + hour * 3_600_000;
        (0..9).for_each(|at| world.announce(at));
        world.run_for(60_000);
        let ready = world.ready("quill");
        assert_eq!(ready.len(), count, "{case}, {hour}:00");
        let is_allowed = |fake: &&Fake| fake.zone == name("andina-c");
        assert!(case != "two zones forbidden" || ready.iter().all(is_allowed), "{case}");
    }
}

#[test]
fn a_warm_window_ends() {
    let mut model = spec("quill", 14);
    let window = policy::DailyWindow { from_minute: 0, to_minute: 30 };
    model.policy = policy::ModelPolicy { keep_warm: vec![window], ..Default::default() };
    let mut world = World::new(1, nine(true), planner(1, 0, &[model]));
    world.run_for(60_000);
    assert_eq!(world.ready("quill").len(), 1);
    world.run_for(30 * 60_000);
    assert_eq!(world.ready("quill").len(), 0);
}

#[test]
fn urgent_and_weighty_work_is_loaded_first() {
    let entry = |model: &str, waiting, deadline_ms, class_weight| demand::DemandEntry {
        model: name(model),
        waiting,
        in_flight: 0,
        arrivals: waiting,
        earliest_deadline_ms: Some(deadline_ms),
        class_weight,
    };
    let models: Vec<_> = ["a", "b", "c", "d", "e"].iter().map(|model| spec(model, 6)).collect();
    let mut world = World::new(1, nine(true), planner(1, 1_000_000, &models));
    world.run_for(5_000);
    let now_ms = world.now_ms;
    world.tell(Event::DemandReported(demand::DemandReport {
        daemon: name("d1"),
        entries: vec![
            entry("a", 1, now_ms + 90_000, 9),
            entry("b", 9, now_ms + 50_000, 1),
            entry("c", 1, now_ms + 50_000, 5),
            entry("d", 2, now_ms + 50_000, 1),
            entry("e", 1, now_ms + 20_000, 1),
        ],
    }));
    world.run_for(20_000);
    let loads = world.orders(order::Action::Load);
    let names: Vec<String> = loads.iter().map(|(_, _, o)| o.model.to_string()).collect();
    assert_eq!(names, ["e", "c", "b", "d", "a"]);
}

#[test]
fn cached_copies_are_loaded_before_the_weight_store_is_asked() {
    let mut world = world(true);
    let weights = spec("quill", 14).weights();
    world.fakes[4].cache(&weights, order::Tier::Disk);
    world.fakes[7].cache(&weights, order::Tier::Memory);
    (0..9).for_each(|at| world.announce(at));
    world.run_for(10);
    world.tell(demand("d1", "quill", 1, FAR_MS));
    world.run_for(1_000);
    assert_eq!(world.ready("quill")[0].target, world.fakes[7].target);
}

#[test]
fn a_model_that_fits_nowhere_is_given_up_with_the_reason() {
    let mut world = world(true);
    let mut large = spec("reed", 0);
    large.memory_bytes = Bytes(65 * GIB);
    world.tell(Event::ModelChanged(Box::new(large)));
    world.tell(demand("d1", "reed", 1, FAR_MS));
    world.run_for(1_000);
    let gave_up = Action::CannotLoad { model: name("reed"), reason: NotLoadedReason::NoTarget };
    assert_eq!(world.log.iter().filter(|(_, _, action)| *action == gave_up).count(), 1);
}
