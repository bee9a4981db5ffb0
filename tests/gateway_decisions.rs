//! Decisions of a router, without input or output.

use std::net::SocketAddr;

use fescuebay::gateway::budget::{Budget, Settings};
use fescuebay::gateway::fleet::{Choice, Fleet, Wish};
use fescuebay::gateway::next::{Case, End, Failure, Next, next};
use fescuebay::gateway::queue::{Queue, Waiter};
use fescuebay::ids::{Incarnation, ModelRef, ServiceName, TargetId};
use fescuebay::membership::table::{Replica, Standing, TargetEntry};
use fescuebay::routes::Kind;
use fescuebay::target::order;
use proptest::prelude::*;

fn service() -> ServiceName {
    "app".parse().unwrap()
}

fn entry(name: &str, zone: &str, slots: u32) -> TargetEntry {
    TargetEntry {
        target: name.parse().unwrap(),
        incarnation: Incarnation(1),
        kind: order::Kind::Application,
        availability_zone: zone.parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        standing: Standing::Up,
        slots,
        replicas: vec![Replica { model: "m".parse().unwrap(), version: "1".parse().unwrap() }],
        services: vec![service()],
    }
}

fn fleet(entries: &[TargetEntry]) -> Fleet {
    let mut fleet = Fleet::new("a".parse().unwrap());
    fleet.set_entries(entries);
    fleet
}

fn chosen(fleet: &Fleet, now_ms: u64, avoid: &[TargetId]) -> Option<String> {
    let service = service();
    let wish = Wish { service: &service, model: None, prompt: None, avoid, salt: 1 };
    match fleet.choose(now_ms, &wish) {
        Choice::Target(at) => Some(fleet.target(at).entry.target.to_string()),
        Choice::Full | Choice::Paused { .. } | Choice::NoReplica | Choice::NoTarget => None,
    }
}

#[test]
fn requests_spread_over_targets_and_prefer_their_own_zone() {
    let mut fleet = fleet(&[entry("t1", "a", 6), entry("t2", "b", 6)]);
    let mut counts = [0, 0];
    for _ in 0..12 {
        let Some(name) = chosen(&fleet, 0, &[]) else { break };
        let place = usize::from(name == "t2");
        fleet.begin(0, place, None, 0);
        counts[place] += 1;
    }
    assert_eq!(counts, [6, 6]);
    assert_eq!(chosen(&fleet, 0, &[]), None, "all slots are taken");
}

/// The load: routers that know the same loads each get a request at one moment.
#[test]
fn routers_that_see_equal_loads_do_not_all_choose_one_target() {
    let entries = [entry("t1", "b", 64), entry("t2", "b", 64), entry("t3", "b", 64)];
    let fleet = fleet(&entries);
    let service = service();
    let mut counts = [0; 3];
    for salt in 0..300 {
        let wish = Wish { service: &service, model: None, prompt: None, avoid: &[], salt };
        if let Choice::Target(at) = fleet.choose(0, &wish) {
            counts[at] += 1;
        }
    }
    assert!(counts.iter().all(|count| (60..=140).contains(count)), "{counts:?}");
}

/// The load: long prompts that hold up the events of everything else at their target.
#[test]
fn a_target_with_prompts_to_read_gets_the_next_request_last() {
    let mut fleet = fleet(&[entry("t1", "b", 64), entry("t2", "b", 64)]);
    fleet.begin(0, 0, None, 3_800);
    (0..4).for_each(|_| fleet.begin(0, 1, None, 0));
    assert_eq!(chosen(&fleet, 0, &[]).as_deref(), Some("t2"));
    fleet.read(&"t1".parse().unwrap(), Incarnation(1), 3_800);
    assert_eq!(chosen(&fleet, 0, &[]).as_deref(), Some("t1"));
}

#[test]
fn a_target_that_failed_is_left_alone_for_a_while() {
    let mut fleet = fleet(&[entry("t1", "a", 6), entry("t2", "b", 6)]);
    fleet.failed(1_000, &"t1".parse().unwrap());
    assert_eq!(chosen(&fleet, 1_001, &[]).as_deref(), Some("t2"));
    fleet.failed(1_002, &"t2".parse().unwrap());
    assert!(chosen(&fleet, 1_003, &[]).is_some(), "the last targets are used all the same");
    fleet.succeeded(&"t1".parse().unwrap());
    assert_eq!(chosen(&fleet, 1_004, &[]).as_deref(), Some("t1"));
}

#[test]
fn leaving_targets_get_nothing_and_doubtful_ones_come_last() {
    let mut leaving = entry("t1", "a", 6);
    leaving.standing = Standing::Leaving;
    let mut doubtful = entry("t2", "a", 6);
    doubtful.standing = Standing::Suspect;
    let both = fleet(&[leaving.clone(), doubtful.clone()]);
    assert_eq!(chosen(&both, 0, &[]).as_deref(), Some("t2"));
    let all = fleet(&[leaving, doubtful, entry("t3", "b", 6)]);
    assert_eq!(chosen(&all, 0, &[]).as_deref(), Some("t3"));
}

#[test]
fn a_new_life_of_a_target_begins_without_the_requests_of_the_old_one() {
    let mut fleet = fleet(&[entry("t1", "a", 1)]);
    fleet.begin(0, 0, None, 0);
    assert_eq!(chosen(&fleet, 0, &[]), None);
    let mut reborn = entry("t1", "a", 1);
    reborn.incarnation = Incarnation(2);
    fleet.set_entries(&[reborn]);
    assert_eq!(chosen(&fleet, 0, &[]).as_deref(), Some("t1"));
    fleet.end(&"t1".parse().unwrap(), Incarnation(1), None);
    fleet.begin(0, 0, None, 0);
    assert_eq!(chosen(&fleet, 0, &[]), None, "the end of an old request frees nothing");
}

#[test]
fn a_missing_model_is_told_from_a_full_target() {
    let fleet = fleet(&[entry("t1", "a", 6)]);
    let (service, other) = (service(), "other".parse::<ModelRef>().unwrap());
    let wish = Wish { service: &service, model: Some(&other), prompt: None, avoid: &[], salt: 1 };
    assert_eq!(fleet.choose(0, &wish), Choice::NoReplica);
    let none = "none".parse().unwrap();
    assert_eq!(fleet.choose(0, &Wish { service: &none, ..wish }), Choice::NoTarget);
}

/// The load: an engine that comes back under its old name with empty memory, at which a wave asks for a
/// model; tables go on to show it there until the engine is heard.
#[test]
fn a_target_that_lacks_a_model_is_not_asked_again_while_old_tables_show_it() {
    let (service, model): (_, ModelRef) = (service(), "m".parse().unwrap());
    let wish = Wish { service: &service, model: Some(&model), prompt: None, avoid: &[], salt: 1 };
    let shown = [entry("t1", "a", 6)];
    let mut empty = shown.clone();
    empty[0].replicas.clear();

    let mut fleet = fleet(&shown);
    fleet.lacks(1_000, &shown[0].target, &model);
    for now_ms in [1_000, 1_200, 1_400, 1_700] {
        fleet.set_entries(&shown);
        assert_eq!(fleet.choose(now_ms, &wish), Choice::NoReplica, "at {now_ms} ms");
    }
    // The engine was heard; what the table shows after that was loaded since.
    fleet.set_entries(&empty);
    fleet.set_entries(&shown);
    assert_eq!(fleet.choose(1_800, &wish), Choice::Target(0));
    // A word that no table contradicts or confirms does not count for ever.
    fleet.lacks(2_000, &shown[0].target, &model);
    assert_eq!(fleet.choose(2_000 + 5_000, &wish), Choice::Target(0));
}

#[test]
fn what_may_have_run_is_never_called_not_run() {
    let failures = [
        Failure::NotSent,
        Failure::NotRun,
        Failure::Lacking,
        Failure::Broken,
        Failure::Foreign,
        Failure::Silent,
        Failure::Failed,
    ];
    let resumable = Kind::Stream { is_resumable: true, gap_target_ms: 300, max_gap_ms: 3_200 };
    let plain = Kind::Stream { is_resumable: false, gap_target_ms: 300, max_gap_ms: 3_200 };
    for failure in failures {
        for kind in [Kind::Idempotent, Kind::AtMostOnce, resumable, plain] {
            for earlier in 0..2 {
                for is_over in [false, true] {
                    let runs = earlier + u32::from(failure.may_have_run());
                    let case = Case { failure, kind, runs, max_runs: 2, is_over };
                    let decided = next(&case);
                    let is_not_run = decided == Next::End(End::NotRun);
                    assert!(!is_not_run || runs == 0, "{case:?}: {decided:?}");
                    let repeats = decided == Next::Again && runs > 0;
                    assert!(!repeats || kind.is_repeatable(), "{case:?}: {decided:?}");
                    assert!(!is_over || decided != Next::Again, "{case:?}");
                }
            }
        }
    }
}

#[test]
fn the_queue_serves_by_rank_and_then_by_arrival() {
    let mut queue = Queue::default();
    for rank in [2, 0, 1, 0] {
        let waiter = Waiter {
            ticket: queue.next_ticket(),
            service: service(),
            model: None,
            prompt: None,
            tokens: 0,
            avoid: Vec::new(),
            rank,
            target_ms: 0,
        };
        queue.insert(waiter);
    }
    let served = queue.serve(|_| Some(()));
    let order: Vec<(u8, u64)> = served.iter().map(|(w, ())| (w.rank, w.ticket.0)).collect();
    assert_eq!(order, [(0, 2), (0, 4), (1, 3), (2, 1)]);
    assert!(queue.is_empty());
}

proptest! {
    /// Routers that know of each other stay within the budget in every window, however their
    /// requests and repeats are spread.
    #[test]
    fn all_routers_together_stay_within_the_budget(
        routers in 1_u32..12,
        steps in prop::collection::vec((0_usize..12, 0_u64..400, any::<bool>()), 1..600),
    ) {
        let settings = Settings { ratio: 0.2, slack: 56.0, window_ms: 10_000 };
        let mut budgets = vec![Budget::new(settings); routers as usize];
        budgets.iter_mut().for_each(|budget| budget.set_routers(routers));
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut now_ms = 100_000;
        for (router, wait_ms, is_repeat) in steps {
            now_ms += wait_ms / 10;
            let budget = &mut budgets[router % routers as usize];
            if is_repeat {
                if budget.take(now_ms, &service()) {
                    repeats.push(now_ms);
                }
            } else {
                budget.request(now_ms, &service());
                requests.push(now_ms);
            }
            let begin_ms = now_ms - settings.window_ms;
            let within = |times: &[u64]| times.iter().filter(|at_ms| **at_ms > begin_ms).count();
            let allowed = within(&requests) as f64 * settings.ratio + settings.slack;
            prop_assert!(within(&repeats) as f64 <= allowed);
        }
    }
}
