//! Targets that name rate limits, before a fleet of processes: what they get adds up over all routers.

mod common;
mod gateway_support;
mod rate_limit_support;
mod roles_support;

use std::time::{Duration, Instant};

use common::process::until;
use common::proxy::PathMode;
use gateway_support::on_one_thread;
use rate_limit_support::{Answer, Fleet, LimitedTarget, Manner, NOTICE, WINDOW, allowed, press};

/// Checks that every refused caller was told when to return.
fn check_refusals(answers: &[Answer]) {
    let refused = answers.iter().filter(|answer| answer.status == 503);
    for answer in refused {
        assert!(answer.retry_after_s.is_some_and(|s| s > 0.0), "{answer:?}");
    }
    let other = answers.iter().find(|answer| ![200, 503].contains(&answer.status));
    assert!(other.is_none(), "{other:?}");
}

/// Presses on this many routers before one target that takes 1.2 requests a second.
fn press_on_one_target(name: &str, routers: usize, pause: Duration) {
    on_one_thread(async {
        let target = LimitedTarget::start("app-1", None).await;
        let fleet = Fleet::start(name, routers, vec![target]).await;
        let target = &fleet.targets[0];
        target.limit.set(Some(1.2));
        let from = Instant::now() + NOTICE;
        let answers = fleet.press("/order/x", pause, NOTICE + WINDOW + WINDOW).await;
        let most = target.most_in_window(from);
        assert!(most <= allowed(1.2), "{most} requests in 4 s, {} answers", answers.len());
        assert!(target.since(from) > 0, "it is still used");
        check_refusals(&answers);
    });
}

/// The load: one router with twenty callers a second for a service with one limited target.
#[test]
fn a_limited_target_gets_no_more_than_its_limit_from_one_router() {
    press_on_one_target("rate-limits-one", 1, Duration::from_millis(50));
}

/// The load: six routers, each with twenty callers a second for a service with one limited target.
#[test]
fn a_limited_target_gets_no_more_than_its_limit_from_six_routers() {
    press_on_one_target("rate-limits-six", 6, Duration::from_millis(50));
}

/// The load: thirty routers, each with two callers a second. The first request of each alone is
/// more than the target takes.
#[test]
fn a_limited_target_gets_no_more_than_its_limit_from_thirty_routers() {
    press_on_one_target("rate-limits-thirty", 30, Duration::from_millis(500));
}

/// The load: requests for a service of which one target is limited, and has the lowest cost for most
/// of them since it gets so few.
#[test]
fn other_targets_take_what_a_limited_one_does_not() {
    on_one_thread(async {
        let limited = LimitedTarget::start("app-1", Some(2.0)).await;
        let free = LimitedTarget::start("app-2", None).await;
        let fleet = Fleet::start("rate-limits-rest", 3, vec![limited, free]).await;
        let from = Instant::now() + NOTICE;
        let pause = Duration::from_millis(50);
        let answers = fleet.press("/order/x", pause, NOTICE + WINDOW + WINDOW).await;
        assert!(answers.iter().all(|answer| answer.status == 200), "nobody is refused");
        let most = fleet.targets[0].most_in_window(from);
        assert!(most <= allowed(2.0), "{most} requests in 4 s");
        assert!(fleet.targets[0].since(from) > 0, "it is still used");
    });
}

/// The load: a limited target that refuses requests, then breaks streams off, which are sent again
/// and resumed.
#[test]
fn retries_and_resumed_streams_count_against_a_limit() {
    on_one_thread(async {
        let targets = vec![
            LimitedTarget::start("app-1", None).await,
            LimitedTarget::start("app-2", None).await,
        ];
        let fleet = Fleet::start("rate-limits-retries", 2, targets).await;
        for target in &fleet.targets {
            target.limit.set(Some(1.5));
        }
        let from = Instant::now() + NOTICE;
        fleet.targets[0].manner.set(Manner::Refusing);
        fleet.targets[1].manner.set(Manner::BreakingOff);
        let pause = Duration::from_millis(50);
        fleet.press("/draft/x", pause, NOTICE + WINDOW).await;
        for target in &fleet.targets {
            target.manner.set(Manner::BreakingOff);
        }
        fleet.press("/look/x", pause, WINDOW).await;
        for target in &fleet.targets {
            let most = target.most_in_window(from);
            assert!(most <= allowed(1.5), "{}: {most} requests in 4 s", target.id);
        }
    });
}

/// The load: two targets with limits of their own, of which one falls and ends.
#[test]
fn each_target_has_the_limit_that_it_named_last() {
    on_one_thread(async {
        let targets = vec![
            LimitedTarget::start("app-1", Some(12.0)).await,
            LimitedTarget::start("app-2", Some(1.0)).await,
        ];
        let fleet = Fleet::start("rate-limits-each", 2, targets).await;
        let (falling, low) = (&fleet.targets[0], &fleet.targets[1]);
        let begun = Instant::now();
        let pause = Duration::from_millis(20);
        fleet.press("/order/x", pause, NOTICE + WINDOW).await;
        assert!(falling.most_in_window(begun + NOTICE) <= allowed(12.0));
        falling.limit.set(Some(1.5));
        let fallen = Instant::now() + NOTICE;
        fleet.press("/order/x", pause, NOTICE + WINDOW).await;
        let most = falling.most_in_window(fallen);
        assert!(most <= allowed(1.5), "{most} requests in 4 s after the fall");
        let most = low.most_in_window(begun + NOTICE);
        assert!(most <= allowed(1.0), "{most} requests in 4 s at the other one");
        falling.limit.set(None);
        let is_over = async || {
            let before = falling.arrivals.borrow().len();
            fleet.press("/order/x", pause, Duration::from_millis(500)).await;
            falling.arrivals.borrow().len() - before >= 20
        };
        until("the end of the limit is followed", is_over).await;
    });
}

/// The load: callers press while the leader is killed, a router is paused and wakes with permits that
/// are over, another one is restarted and knows no limit, and the leader's successor begins.
#[test]
fn a_limit_is_kept_through_a_lost_leader_a_paused_and_a_restarted_router() {
    on_one_thread(async {
        let target = LimitedTarget::start("app-1", Some(2.0)).await;
        let mut fleet = Fleet::start("rate-limits-faults", 6, vec![target]).await;
        let from = Instant::now() + NOTICE;
        let leader = fleet.leader().await;
        let callers = fleet.routers.iter().map(|router| router.callers()).collect();
        let pause = Duration::from_millis(50);
        let length = NOTICE + WINDOW + WINDOW + WINDOW;
        let pressing = tokio::task::spawn_local(press(callers, "/order/x", pause, length));
        tokio::time::sleep(NOTICE).await;
        fleet.voters[leader].signal("KILL");
        fleet.routers[0].signal("STOP");
        fleet.routers[1].signal("KILL");
        fleet.routers[1].exit_code().await;
        fleet.routers[1].start();
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet.routers[0].signal("CONT");
        fleet.voters[leader].exit_code().await;
        fleet.voters[leader].start();
        let answers = pressing.await.unwrap();
        let target = &fleet.targets[0];
        let most = target.most_in_window(from);
        assert!(most <= allowed(2.0), "{most} requests in 4 s, {} answers", answers.len());
        let after = Instant::now();
        let is_used = async || {
            fleet.press("/order/x", pause, Duration::from_millis(500)).await;
            target.since(after) > 0
        };
        until("it is used again", is_used).await;
    });
}

/// The load: callers press on six routers while two of them reach no voter, are heard again, and
/// one more is cut off in one direction.
#[test]
fn a_limit_is_kept_by_routers_that_are_cut_off_from_the_voters() {
    on_one_thread(async {
        let target = LimitedTarget::start("app-1", Some(2.0)).await;
        let fleet = Fleet::start("rate-limits-cut", 6, vec![target]).await;
        let from = Instant::now() + NOTICE;
        let callers = fleet.routers.iter().map(|router| router.callers()).collect();
        let pause = Duration::from_millis(50);
        let length = NOTICE + WINDOW + WINDOW + WINDOW;
        let pressing = tokio::task::spawn_local(press(callers, "/order/x", pause, length));
        tokio::time::sleep(NOTICE).await;
        fleet.set_paths_from(0, PathMode::Silent);
        fleet.set_paths_from(1, PathMode::Silent);
        tokio::time::sleep(WINDOW).await;
        let while_cut = fleet.targets[0].since(Instant::now() - WINDOW);
        fleet.set_paths_from(0, PathMode::Open);
        fleet.set_paths_from(1, PathMode::Open);
        fleet.set_paths_from(2, PathMode::OneWay);
        tokio::time::sleep(WINDOW).await;
        fleet.set_paths_from(2, PathMode::Open);
        let answers = pressing.await.unwrap();
        let most = fleet.targets[0].most_in_window(from);
        assert!(most <= allowed(2.0), "{most} requests in 4 s, {} answers", answers.len());
        assert!(while_cut >= 5, "{while_cut} requests in 4 s while two routers were cut off");
        check_refusals(&answers);
    });
}
