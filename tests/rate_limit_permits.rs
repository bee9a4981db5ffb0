//! Tests of when a router may use a permit, and of which permits a leader grants.

use fescuebay::ids::{DaemonId, Incarnation};
use fescuebay::rate_limit::message::{PermitAsk, PermitGrant};
use fescuebay::rate_limit::permits::{Gate, PermitPool};
use fescuebay::rate_limit::schedule::PermitSchedule;
use fescuebay::rate_limit::statements::StatedAt;
use fescuebay::rate_limit::{Claim, PERMIT_VALID_MS, SCHEDULE_AHEAD_MS, Statement, TargetLife};
use fescuebay::units::PerSecond;

const LED_MS: u64 = 100_000;

fn life() -> TargetLife {
    TargetLife { target: "t".parse().unwrap(), incarnation: Incarnation(1) }
}

fn daemon(name: &str) -> DaemonId {
    name.parse().unwrap()
}

fn name_limit(pool: &mut PermitPool, now_ms: u64, limit: f64) {
    let at = StatedAt { sent_ms: now_ms - 5, read_ms: now_ms };
    assert!(pool.record(now_ms, &life(), Statement::Limited(PerSecond(limit)), at));
}

/// A pool of a router that knows a limit and has a leader.
fn pool(now_ms: u64, limit: f64) -> PermitPool {
    let mut pool = PermitPool::new(7);
    pool.set_routers(6);
    name_limit(&mut pool, now_ms, limit);
    pool
}

fn asks(pool: &PermitPool, now_ms: u64, count: u32) -> Vec<PermitAsk> {
    pool.asks(now_ms, |_| Claim { count, patient: count })
}

fn answer(schedule: &mut PermitSchedule, now_ms: u64, asks: &[PermitAsk]) -> Vec<PermitGrant> {
    for ask in asks {
        schedule.record(now_ms, &ask.statement);
    }
    asks.iter().map(|ask| schedule.grant(now_ms, &daemon("r1"), ask)).collect()
}

/// A leader that has led for long.
fn schedule() -> PermitSchedule {
    PermitSchedule::new(0)
}

#[test]
fn a_permit_is_not_used_after_its_router_was_paused() {
    let mut pool = pool(LED_MS, 2.0);
    let asks = asks(&pool, LED_MS, 1);
    let grants = answer(&mut schedule(), LED_MS, &asks);
    pool.apply_grants(LED_MS + 6, LED_MS, &asks, &grants);
    assert_eq!(pool.gate(LED_MS + 6, &life(), 0), Gate::Permit);
    let permit = pool.reserve(LED_MS + 6, &life().target, life().incarnation).unwrap();
    let woken_ms = LED_MS + PERMIT_VALID_MS + 1;
    assert!(!pool.spend(woken_ms, &life().target, permit), "it is over");
    assert!(matches!(pool.gate(woken_ms, &life(), 0), Gate::Closed { .. }));
}

#[test]
fn a_grant_that_was_long_on_its_way_is_not_used() {
    let mut pool = pool(LED_MS, 2.0);
    let asks = asks(&pool, LED_MS, 1);
    let grants = answer(&mut schedule(), LED_MS, &asks);
    let late_ms = LED_MS + PERMIT_VALID_MS + 50;
    pool.apply_grants(late_ms, LED_MS, &asks, &grants);
    assert!(matches!(pool.gate(late_ms, &life(), 0), Gate::Closed { .. }));
}

#[test]
fn a_request_that_is_not_sent_gives_its_permit_back() {
    let mut pool = pool(LED_MS, 2.0);
    let asks = asks(&pool, LED_MS, 1);
    let grants = answer(&mut schedule(), LED_MS, &asks);
    pool.apply_grants(LED_MS + 6, LED_MS, &asks, &grants);
    let permit = pool.reserve(LED_MS + 6, &life().target, life().incarnation).unwrap();
    assert!(matches!(pool.gate(LED_MS + 7, &life(), 0), Gate::Closed { .. }), "it is reserved");
    pool.release(&life().target, permit);
    assert_eq!(pool.gate(LED_MS + 8, &life(), 0), Gate::Permit);
}

#[test]
fn permits_of_a_higher_limit_are_not_used_once_it_has_fallen() {
    let mut pool = pool(LED_MS, 50.0);
    let asks = asks(&pool, LED_MS, 20);
    let mut schedule = schedule();
    let grants = answer(&mut schedule, LED_MS, &asks);
    assert_eq!(grants[0].starts_in_ms.len(), 20);
    name_limit(&mut pool, LED_MS + 3, 1.0);
    pool.apply_grants(LED_MS + 6, LED_MS, &asks, &grants);
    assert!(matches!(pool.gate(LED_MS + 6, &life(), 0), Gate::Closed { .. }), "granted before");
    name_limit(&mut pool, LED_MS + 20, 0.9);
    let asks = self::asks(&pool, LED_MS + 20, 1);
    let grants = answer(&mut schedule, LED_MS + 23, &asks);
    assert!(grants[0].next_in_ms >= 1_000, "the leader does not begin at once: {grants:?}");
}

#[test]
fn a_new_leader_grants_nothing_while_permits_of_the_one_before_may_be_used() {
    let mut schedule = PermitSchedule::new(LED_MS);
    let pool = pool(LED_MS + 10, 40.0);
    let grants = answer(&mut schedule, LED_MS + 10, &asks(&pool, LED_MS + 10, 40));
    let first_ms = LED_MS + SCHEDULE_AHEAD_MS + PERMIT_VALID_MS;
    let starts = &grants[0].starts_in_ms;
    assert!(starts.iter().all(|in_ms| LED_MS + 10 + in_ms >= first_ms), "{starts:?}");
}

/// Guards against a leader that counts what waits twice, or forgets it.
#[test]
fn requests_that_wait_at_other_routers_make_the_wait_longer() {
    let mut schedule = schedule();
    let pool = pool(LED_MS, 2.0);
    let ask = asks(&pool, LED_MS, 10).remove(0);
    schedule.record(LED_MS, &ask.statement);
    let first = schedule.grant(LED_MS, &daemon("r1"), &ask);
    assert_eq!(first.starts_in_ms, [0, 500, 1_000], "no further ahead than that");
    assert_eq!((first.next_in_ms, first.clears_in_ms), (1_500, 1_500 + 7 * 500));
    let second = schedule.grant(LED_MS, &daemon("r2"), &ask);
    assert_eq!(second.clears_in_ms, 1_500 + 17 * 500);
    let none = PermitAsk { count: 0, patient: 0, ..ask };
    let later = schedule.grant(LED_MS + 5, &daemon("r1"), &none);
    assert_eq!(later.clears_in_ms, 1_495 + 10 * 500, "the first router's no longer wait");
}

/// Guards against the first requests of many routers at the same time when their leader is lost.
#[test]
fn routers_without_a_leader_use_a_part_of_their_share_and_not_all_at_once() {
    let mut sends = 0;
    for seed in 0..30 {
        let mut pool = PermitPool::new(seed);
        pool.set_routers(30);
        name_limit(&mut pool, LED_MS, 2.0);
        pool.set_leader_lost(LED_MS);
        for now_ms in LED_MS..LED_MS + 30_000 {
            if pool.gate(now_ms, &life(), 0) == Gate::Permit {
                let permit = pool.reserve(now_ms, &life().target, life().incarnation).unwrap();
                assert!(pool.spend(now_ms, &life().target, permit));
                sends += 1;
            }
        }
    }
    // Half of two a second, over 30 s.
    assert!((25..=35).contains(&sends), "{sends} of 30");
}

#[test]
fn a_router_that_knows_no_number_of_routers_sends_nothing_without_a_leader() {
    let mut pool = PermitPool::new(1);
    name_limit(&mut pool, LED_MS, 2.0);
    pool.set_leader_lost(LED_MS);
    assert!(matches!(pool.gate(LED_MS + 60_000, &life(), 0), Gate::Closed { .. }));
    assert!(asks(&pool, LED_MS, 3).is_empty());
}

/// Guards against a router and a leader that differ on the order of two statements, and ask each
/// other without end.
#[test]
fn what_the_leader_answers_settles_what_its_router_knows() {
    let mut pool = pool(LED_MS, 2.0);
    let asks = asks(&pool, LED_MS, 1);
    let mut grants = answer(&mut schedule(), LED_MS, &asks);
    grants[0].statement.limit = None;
    grants[0].starts_in_ms.clear();
    pool.apply_grants(LED_MS + 6, LED_MS, &asks, &grants);
    assert_eq!(pool.gate(LED_MS + 6, &life(), 0), Gate::Unlimited);
    assert!(self::asks(&pool, LED_MS + 7, 0).is_empty(), "it was told");
}

/// Guards against callers that wait in vain behind others while no leader answers.
#[test]
fn without_a_leader_a_request_behind_others_waits_for_its_own_permit() {
    let mut pool = pool(LED_MS, 2.0);
    pool.set_leader_lost(LED_MS);
    let closed = |claimed| match pool.gate(LED_MS, &life(), claimed) {
        Gate::Closed { clears_ms, .. } => clears_ms,
        Gate::Unlimited | Gate::Permit => panic!("it has no permit yet"),
    };
    // Half of a sixth of two a second is one in six seconds.
    assert_eq!(closed(3) - closed(1), 12_000);
}

/// Guards against permits that are dropped, and news to all routers, with each response of a target
/// whose limit changes all the time.
#[test]
fn a_limit_that_changes_a_little_keeps_its_permits_and_is_no_news() {
    let mut pool = pool(LED_MS, 2.0);
    let mut schedule = schedule();
    let first = asks(&pool, LED_MS, 1);
    let grants = answer(&mut schedule, LED_MS, &first);
    pool.apply_grants(LED_MS + 6, LED_MS, &first, &grants);
    name_limit(&mut pool, LED_MS + 20, 1.9);
    assert_eq!(pool.gate(LED_MS + 20, &life(), 0), Gate::Permit, "it was granted at 2.0");
    let mut told = 0;
    for (number, limit) in [1.9, 2.1, 1.95, 2.0, 1.0, 1.05, 3.0].into_iter().enumerate() {
        let now_ms = LED_MS + 100 + number as u64 * 20;
        name_limit(&mut pool, now_ms, limit + 0.01);
        let ask = asks(&pool, now_ms, 0).remove(0);
        told += u32::from(schedule.record(now_ms, &ask.statement));
    }
    assert_eq!(told, 2, "the fall to one a second, and the rise to three");
}
