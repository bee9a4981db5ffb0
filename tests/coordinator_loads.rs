//! Load totals of targets: followers receive only what changed, and the totals always cover all
//! routers.

use std::collections::BTreeMap;

use fescuebay::coordinator::loads::{LoadAggregator, LoadTotals};
use fescuebay::ids::{DaemonId, TargetId, Term};
use fescuebay::membership::feed::FeedCursor;
use fescuebay::placement::swap::demand::RunningRequests;
use proptest::prelude::*;

fn target(number: usize) -> TargetId {
    format!("t{number}").parse().unwrap()
}

fn router(number: usize) -> DaemonId {
    format!("r{number}").parse().unwrap()
}

fn running(counts: &[(usize, u32)]) -> Vec<RunningRequests> {
    let each = |(number, count): &(usize, u32)| RunningRequests {
        target: target(*number),
        model: None,
        count: *count,
    };
    counts.iter().map(each).collect()
}

/// A step: a router tells, or a follower asks (and its answer may be lost), or time passes.
#[derive(Clone, Debug)]
enum Step {
    Tell(usize, Vec<(usize, u32)>),
    Ask(usize, bool),
    Pass(u64),
    NewLeader,
}

fn step() -> impl Strategy<Value = Step> {
    let counts = proptest::collection::vec((0..7_usize, 0..4_u32), 0..9);
    prop_oneof![
        6 => (0..4_usize, counts).prop_map(|(router, counts)| Step::Tell(router, counts)),
        4 => (0..3_usize, any::<bool>()).prop_map(|(at, is_lost)| Step::Ask(at, is_lost)),
        2 => (1..3_000_u64).prop_map(Step::Pass),
        1 => Just(Step::NewLeader),
    ]
}

/// What one follower has.
#[derive(Default)]
struct Follower {
    cursor: FeedCursor,
    totals: LoadTotals,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn followers_know_what_all_routers_have_together(
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut loads = LoadAggregator::new(Term(1));
        let mut term = 1;
        let mut now_ms = 0;
        let mut told: BTreeMap<usize, (u64, Vec<(usize, u32)>)> = BTreeMap::new();
        let mut followers: Vec<Follower> = (0..3).map(|_| Follower::default()).collect();
        for step in steps {
            match step {
                Step::Tell(number, counts) => {
                    loads.record_running(now_ms, &router(number), &running(&counts));
                    told.insert(number, (now_ms, counts));
                }
                Step::Ask(at, is_lost) => {
                    let follower = &mut followers[at];
                    let changes = loads.changes_since(follower.cursor);
                    if is_lost {
                        continue;
                    }
                    follower.cursor = changes.cursor;
                    follower.totals.apply(&changes);
                    let mut expected: BTreeMap<TargetId, u32> = BTreeMap::new();
                    for (number, count) in told.values().flat_map(|(_, counts)| counts) {
                        *expected.entry(target(*number)).or_default() += count;
                    }
                    expected.retain(|_, count| *count > 0);
                    let expected: Vec<_> = expected.into_iter().collect();
                    prop_assert_eq!(follower.totals.all(), expected);
                }
                Step::Pass(ms) => {
                    now_ms += ms;
                    loads.remove_silent_routers(now_ms);
                    told.retain(|_, (at_ms, _)| now_ms - *at_ms < 2_500);
                }
                Step::NewLeader => {
                    term += 1;
                    loads = LoadAggregator::new(Term(term));
                    told.clear();
                }
            }
        }
    }
}

/// The load: many routers ask again and again while little changes.
#[test]
fn what_has_not_changed_is_not_told_again() {
    let mut loads = LoadAggregator::new(Term(4));
    let counts: Vec<(usize, u32)> = (0..140).map(|number| (number, 2)).collect();
    loads.record_running(0, &router(1), &running(&counts));
    let first = loads.changes_since(FeedCursor::default());
    assert_eq!((first.is_snapshot, first.totals.len()), (true, 140));
    loads.record_running(10, &router(1), &running(&counts));
    let mut one_more = counts.clone();
    one_more[7].1 = 3;
    loads.record_running(20, &router(1), &running(&one_more));
    let later = loads.changes_since(first.cursor);
    assert_eq!((later.is_snapshot, later.totals), (false, vec![(target(7), 3)]));
    // One request moves to another router: the total is the same.
    loads.record_running(30, &router(1), &running(&counts));
    loads.record_running(30, &router(2), &running(&[(7, 1)]));
    let mut totals = LoadTotals::default();
    totals.apply(&first);
    totals.apply(&loads.changes_since(first.cursor));
    assert_eq!(totals.all().iter().map(|(_, count)| count).sum::<u32>(), 281);
}

/// The load: hundreds of routers that ask ten times a second, before hundreds of targets.
#[test]
fn many_routers_are_told_totals_less_often_and_miss_none() {
    const ASKS: u64 = 100;
    const GAP_MS: u64 = 10;
    let tells = |routers: usize| {
        let mut loads = LoadAggregator::new(Term(1));
        let (mut cursor, mut totals, mut told) = (FeedCursor::default(), LoadTotals::default(), 0);
        for ask in 0..ASKS {
            let now_ms = ask * GAP_MS;
            loads.record_running(now_ms, &router(1), &running(&[(1, 1 + ask as u32 % 2)]));
            let changes = loads.changes_for_router(now_ms, &router(2), cursor, routers);
            told += u64::from(!changes.totals.is_empty());
            totals.apply(&changes);
            cursor = changes.cursor;
        }
        // Once the pause is over, it has what there is now.
        let changes = loads.changes_for_router(ASKS * GAP_MS + 1_000, &router(2), cursor, routers);
        totals.apply(&changes);
        assert_eq!(totals.all(), [(target(1), 2)]);
        told
    };
    assert_eq!(tells(6), ASKS, "few routers are told all at once");
    assert!(tells(300) * 20 <= ASKS, "{} times a second", tells(300));
}

/// A leader of another term does not count from where a router is.
#[test]
fn a_router_that_followed_another_leader_is_told_all_at_once() {
    let mut loads = LoadAggregator::new(Term(2));
    loads.record_running(0, &router(1), &running(&[(1, 3)]));
    let first = loads.changes_for_router(0, &router(2), FeedCursor::default(), 300);
    assert!(first.is_snapshot);
    let again = loads.changes_for_router(1, &router(2), FeedCursor::default(), 300);
    assert!(again.is_snapshot, "its first answer was lost");
}
