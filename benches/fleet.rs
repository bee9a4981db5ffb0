//! What daemons at rest cost: memory, processor time and control traffic of real processes, at
//! several numbers of daemons and of announced targets.
//!
//! `cargo bench --bench fleet` takes about four minutes; `-- small` leaves out the largest sizes.

#![allow(dead_code, reason = "the helpers of the black-box tests are shared")]

#[path = "../tests/nine/cluster.rs"]
mod cluster;
#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/nine/web.rs"]
mod web;

use std::time::{Duration, Instant};

use cluster::{Cluster, Daemon};
use fescuebay::stand_in;

/// Time for a fleet to come to rest.
const SETTLE: Duration = Duration::from_secs(8);
/// Time that is measured.
const WATCHED_S: u64 = 15;
/// Ticks of processor time in a second, as the kernel tells them to programs.
const TICKS_PER_S: f64 = 100.0;
/// Resident memory of an idle daemon today.
const MEMORY_BOUND_MB: f64 = 48.0;
/// Control traffic of a daemon at rest, each way.
const TRAFFIC_BOUND: f64 = 500.0;
/// Changes whose time until they are in force is taken.
const CHANGES: usize = 20;
/// Longest time until a change is in force at nine daemons.
const IN_FORCE_BOUND: Duration = Duration::from_secs(2);
/// Processor time for control, in percent of a core.
const PROCESSOR_BOUND: f64 = 4.8;

/// Counters of one process.
#[derive(Clone, Copy, Debug, Default)]
struct Reading {
    memory_mb: f64,
    processor_s: f64,
    sent_bytes: f64,
    received_bytes: f64,
}

/// What a daemon takes a second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    memory_mb: f64,
    processor_percent: f64,
    sent_per_s: f64,
    received_per_s: f64,
}

fn processor_s(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

fn memory_mb(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("0");
    let kb = line.split_whitespace().nth(1).and_then(|field| field.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}

async fn bytes(daemon: &Daemon, name: &str) -> f64 {
    let url = format!("http://{}/metrics", daemon.traffic());
    let text = web::call("GET", &url, &[], "").await.map(|answer| answer.body).unwrap_or_default();
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

async fn read(daemon: &Daemon) -> Reading {
    let id = daemon.process_id().expect("it runs");
    Reading {
        memory_mb: memory_mb(id),
        processor_s: processor_s(id),
        sent_bytes: bytes(daemon, "peer_sent_bytes_total").await,
        received_bytes: bytes(daemon, "peer_received_bytes_total").await,
    }
}

async fn rates(cluster: &Cluster) -> Vec<Rate> {
    let mut before = Vec::new();
    for daemon in &cluster.daemons {
        before.push(read(daemon).await);
    }
    tokio::time::sleep(Duration::from_secs(WATCHED_S)).await;
    let mut rates = Vec::new();
    for (daemon, before) in cluster.daemons.iter().zip(before) {
        let after = read(daemon).await;
        let per_s = |before: f64, after: f64| (after - before) / WATCHED_S as f64;
        rates.push(Rate {
            memory_mb: after.memory_mb,
            processor_percent: 100.0 * per_s(before.processor_s, after.processor_s),
            sent_per_s: per_s(before.sent_bytes, after.sent_bytes),
            received_per_s: per_s(before.received_bytes, after.received_bytes),
        });
    }
    rates
}

fn largest(rates: &[Rate], value: impl Fn(&Rate) -> f64) -> f64 {
    rates.iter().map(value).fold(0.0, f64::max)
}

fn row(what: &str, size: usize, role: &str, rates: &[Rate]) {
    println!(
        "{what:>8} {size:>5} {role:<9} {:>7.1} {:>9.2} {:>10.0} {:>10.0}",
        largest(rates, |rate| rate.memory_mb),
        largest(rates, |rate| rate.processor_percent),
        largest(rates, |rate| rate.sent_per_s),
        largest(rates, |rate| rate.received_per_s),
    );
}

/// Prints the leader, the worst other voter and the worst router; returns the worst router.
async fn measure(what: &str, size: usize, cluster: &Cluster) -> Rate {
    tokio::time::sleep(SETTLE).await;
    let leader = cluster.leader().await;
    let rates = rates(cluster).await;
    let followers: Vec<Rate> = (0..3).filter(|at| *at != leader).map(|at| rates[at]).collect();
    row(what, size, "leader", &rates[leader..=leader]);
    row(what, size, "follower", &followers);
    row(what, size, "router", &rates[3..]);
    Rate {
        memory_mb: largest(&rates[3..], |rate| rate.memory_mb),
        processor_percent: largest(&rates[3..], |rate| rate.processor_percent),
        sent_per_s: largest(&rates[3..], |rate| rate.sent_per_s),
        received_per_s: largest(&rates[3..], |rate| rate.received_per_s),
    }
}

/// The longest time from sending a change until all daemons of a cluster have it in force.
async fn longest_in_force(cluster: &Cluster) -> Duration {
    let mut longest = Duration::ZERO;
    for n in 0..CHANGES {
        let daemon = &cluster.daemons[n % cluster.daemons.len()];
        let id = format!("change-{n}");
        let edits = cluster::models(&[id.as_str()], 1);
        let sent = Instant::now();
        let revision = cluster.change(daemon, &id, edits).await;
        cluster.in_force(revision).await;
        longest = longest.max(sent.elapsed());
    }
    longest
}

async fn run(is_small: bool) -> bool {
    println!(
        "{:>8} {:>5} {:<9} {:>7} {:>9} {:>10} {:>10}",
        "what", "size", "role", "MB", "% core", "sent B/s", "recv B/s"
    );
    let mut is_kept = true;
    let sizes: &[usize] = if is_small { &[9] } else { &[9, 30, 100] };
    for size in sizes {
        let cluster = Cluster::of(&format!("fleet-{size}"), *size).await;
        let router = measure("daemons", *size, &cluster).await;
        let in_force = longest_in_force(&cluster).await;
        println!("{CHANGES} changes at {size} daemons, longest until in force: {in_force:.2?}");
        is_kept &= *size > 9 || in_force <= IN_FORCE_BOUND;
        is_kept &= router.memory_mb <= MEMORY_BOUND_MB;
        is_kept &= router.processor_percent <= PROCESSOR_BOUND;
        is_kept &= router.sent_per_s.max(router.received_per_s) <= TRAFFIC_BOUND;
    }
    let sizes: &[u16] = if is_small { &[50] } else { &[50, 500, 1_500] };
    let cluster = Cluster::of("fleet-targets", 9).await;
    let mut targets: Vec<stand_in::Handle> = Vec::new();
    for size in sizes {
        for number in targets.len() as u16..*size {
            targets.push(cluster.target(number, |settings| settings).await);
        }
        measure("targets", usize::from(*size), &cluster).await;
    }
    println!(
        "bounds of a router at rest: {MEMORY_BOUND_MB} MB, {PROCESSOR_BOUND} % of a core, \
         {TRAFFIC_BOUND} B/s each way: {}",
        if is_kept { "kept" } else { "BROKEN" }
    );
    is_kept
}

fn main() -> std::process::ExitCode {
    let is_small = std::env::args().any(|arg| arg == "small");
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    match runtime.block_on(run(is_small)) {
        true => std::process::ExitCode::SUCCESS,
        false => std::process::ExitCode::FAILURE,
    }
}
