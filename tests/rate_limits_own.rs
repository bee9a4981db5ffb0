//! Targets of our own interface that name rate limits, before daemons as processes.

#[path = "nine/cluster.rs"]
#[allow(dead_code, reason = "the tests of nine daemons use the rest")]
mod cluster;
mod common;
#[path = "nine/web.rs"]
#[allow(dead_code, reason = "the tests of nine daemons use the rest")]
mod web;

use std::time::{Duration, Instant};

use cluster::Cluster;
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

/// The load: six daemons, each with twenty look-ups a second for a service with one limited target.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_limited_target_gets_no_more_than_its_limit_from_six_daemons() {
    let cluster = Cluster::of("limits-own", 6).await;
    let desk = || vec!["desk".parse().unwrap()];
    let target = cluster.target(0, |settings| settings.services(desk())).await;
    let revision = cluster.change(&cluster.daemons[0], "service", cluster::service("desk")).await;
    cluster.in_force(revision).await;
    cluster.offers("desk").await;
    target.name_rate_limit(Some(PerSecond(1.2)));
    let (begin, end) = (Instant::now() + NOTICE, Instant::now() + NOTICE + WINDOW + WINDOW);
    let mut calls = tokio::task::JoinSet::new();
    while Instant::now() < end {
        for daemon in &cluster.daemons {
            let url = format!("http://{}/services/desk/look", daemon.traffic());
            calls.spawn(async move { web::call("GET", &url, &[], "").await });
        }
        tokio::time::sleep(PAUSE).await;
    }
    let answers = calls.join_all().await;
    let most = most_in_window(&target.call_times(), begin);
    assert!(most <= allowed(1.2), "{most} calls in 4 s, {} answers", answers.len());
    assert!(target.call_times().iter().any(|at| *at >= begin), "it is still used");
}
