//! Targets of our own interface that name rate limits, before daemons as processes.

#[path = "nine/cluster.rs"]
#[allow(dead_code, reason = "the tests of nine daemons use the rest")]
mod cluster;
mod common;
#[path = "nine/web.rs"]
#[allow(dead_code, reason = "the tests of nine daemons use the rest")]
mod web;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cluster::Cluster;
use fescuebay::stand_in;
use fescuebay::units::PerSecond;

/// The length of the sliding window in which calls are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a limit is first named from which it must be kept.
const NOTICE: Duration = Duration::from_secs(3);
/// Time between two calls at each daemon.
const PAUSE: Duration = Duration::from_millis(50);

/// The most calls that a limit allows in one window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5
}

/// The most calls in any window that begins at `from` or later.
fn most_in_window(times: &[Instant], from: Instant) -> usize {
    let later: Vec<Instant> = times.iter().copied().filter(|at| *at >= from).collect();
    let count =
        |begin: Instant| later.iter().filter(|at| (begin..begin + WINDOW).contains(at)).count();
    later.iter().map(|begin| count(*begin)).max().unwrap_or_default()
}

/// Six daemons before one target of a plain service, all of which serve.
async fn start(name: &str) -> (Cluster, stand_in::Handle) {
    let cluster = Cluster::of(name, 6).await;
    let desk = || vec!["desk".parse().unwrap()];
    let target = cluster.target(0, |settings| settings.services(desk())).await;
    let revision = cluster.change(&cluster.daemons[0], "service", cluster::service("desk")).await;
    cluster.in_force(revision).await;
    cluster.offers("desk").await;
    (cluster, target)
}

/// Calls at these daemons until `end`, twenty a second each; returns how many were answered.
async fn press(daemons: Vec<SocketAddr>, end: Instant) -> usize {
    let mut calls = tokio::task::JoinSet::new();
    while Instant::now() < end {
        for daemon in &daemons {
            let url = format!("http://{daemon}/services/desk/look");
            calls.spawn(async move { web::call("GET", &url, &[], "").await });
        }
        tokio::time::sleep(PAUSE).await;
    }
    calls.join_all().await.iter().flatten().count()
}

/// The load: six daemons, each with twenty look-ups a second for a service with one limited target.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_limited_target_gets_no_more_than_its_limit_from_six_daemons() {
    let (cluster, target) = start("limits-own").await;
    target.name_rate_limit(Some(PerSecond(1.2)));
    let begin = Instant::now() + NOTICE;
    let daemons = cluster.daemons.iter().map(cluster::Daemon::traffic).collect();
    let answers = press(daemons, begin + WINDOW + WINDOW).await;
    let most = most_in_window(&target.call_times(), begin);
    assert!(most <= allowed(1.2), "{most} calls in 4 s, {answers} answers");
    assert!(target.call_times().iter().any(|at| *at >= begin), "it is still used");
}

/// The load: the same, while the leader is killed and started again, a daemon is paused and wakes
/// with permits that are over, another is restarted and knows no limit, and the limit falls and ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_limit_is_kept_through_a_lost_leader_a_paused_and_a_restarted_daemon() {
    let (mut cluster, target) = start("limits-own-faults").await;
    target.name_rate_limit(Some(PerSecond(6.0)));
    let begin = Instant::now() + NOTICE;
    let daemons: Vec<SocketAddr> = cluster.daemons.iter().map(cluster::Daemon::traffic).collect();
    let pressing = tokio::spawn(press(daemons.clone(), begin + 4 * WINDOW));
    tokio::time::sleep(NOTICE).await;
    let leader = cluster.leader().await;
    cluster.daemons[leader].kill();
    cluster.daemons[3].signal("STOP");
    cluster.daemons[4].kill();
    cluster.daemons[4].start();
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.daemons[3].signal("CONT");
    cluster.daemons[leader].start();
    tokio::time::sleep(WINDOW).await;
    target.name_rate_limit(Some(PerSecond(1.5)));
    let fallen = Instant::now() + NOTICE;
    let answers = pressing.await.unwrap();
    let times = target.call_times();
    let most = most_in_window(&times, begin);
    assert!(most <= allowed(6.0), "{most} calls in 4 s, {answers} answers");
    let most = most_in_window(&times, fallen);
    assert!(most <= allowed(1.5), "{most} calls in 4 s after the fall");
    assert!(times.iter().any(|at| *at >= fallen), "it is still used");
    target.name_rate_limit(None);
    let is_over = async || {
        let before = target.call_times().len();
        press(daemons.clone(), Instant::now() + Duration::from_millis(500)).await;
        target.call_times().len() - before >= 20
    };
    common::process::until("the end of the limit is followed", is_over).await;
}
