//! Routers that lost their paths to the targets, while callers and other routers still reach them: their callers
//! are served like those of the others.

mod common;
mod fleet_support;
mod gateway_support;
mod partition_support;
mod roles_support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::proxy::PathMode;
use gateway_support::{on_one_thread, status};
use partition_support::{CONTACT, CUT, PartitionedFleet, Served, Try};
use roles_support::ask;

const ROUTERS: usize = 6;
const TARGETS: usize = 6;
/// Time between two requests at a router.
const PAUSE: Duration = Duration::from_millis(120);
/// Time from [`CONTACT`] on in which first tries are counted. They must end long before the cut does.
const COUNTED: Duration = Duration::from_millis(3_500);
/// Callers of routers that are cut off are served at least this much as often as others.
const LEAST_SHARE: f64 = 2.0 / 3.0;

/// Cuts some routers off while callers press, and returns the tries at those and at the others, from
/// [`CONTACT`] after the cut began until it ends.
async fn cut_off(
    name: &str,
    cut: std::ops::Range<usize>,
    targets: std::ops::Range<usize>,
    mode: PathMode,
) -> (Served, Served) {
    let partitioned = PartitionedFleet::start(name, ROUTERS, TARGETS).await;
    let began = Instant::now() + Duration::from_secs(1);
    let (tries, ()) = futures::join!(
        partitioned.press(PAUSE, Duration::from_secs(1) + CUT + Duration::from_secs(3)),
        async {
            tokio::time::sleep_until(began.into()).await;
            partitioned.set_paths(cut.clone(), targets.clone(), mode);
            tokio::time::sleep(CUT).await;
            partitioned.set_paths(cut.clone(), targets, PathMode::Open);
        }
    );
    let is_counted =
        |one: &&Try| one.sent >= began + CONTACT && one.sent < began + CONTACT + COUNTED;
    let counted = || tries.iter().filter(is_counted);
    let off = Served::of(counted().filter(|one| cut.contains(&one.router)));
    let others = Served::of(counted().filter(|one| !cut.contains(&one.router)));
    let after = tries.iter().filter(|one| one.sent >= began + CUT + Duration::from_secs(1));
    let after = Served::of(after);
    println!("{name}: cut off {off:?}, others {others:?}, after the cut {after:?}");
    for path in ["/look/x", "/order/x", "/draft/x"] {
        let mut statuses: Vec<u16> = counted()
            .filter(|one| cut.contains(&one.router) && one.path == path)
            .map(|one| one.status)
            .collect();
        statuses.sort_unstable();
        println!(
            "{name}: {path}: {:?}",
            statuses.chunk_by(|a, b| a == b).map(|s| (s[0], s.len())).collect::<Vec<_>>()
        );
    }
    assert!(partitioned.most_runs() <= 1, "{name}: a request that may run once ran twice");
    assert!(after.share() > 0.95, "{name}: {after:?}");
    (off, others)
}

fn check(name: &str, (off, others): (Served, Served)) {
    assert!(others.share() > 0.9, "{name}: {others:?}");
    assert!(off.share() >= LEAST_SHARE * others.share(), "{name}: {off:?}, others {others:?}");
}

#[test]
fn callers_of_routers_whose_paths_to_targets_are_silent_are_served() {
    on_one_thread(async {
        let served = cut_off("cut-silent", 0..2, 0..TARGETS, PathMode::Silent).await;
        check("two of six, silent", served);
    });
}

#[test]
fn callers_are_served_while_most_routers_have_lost_their_paths_to_targets() {
    on_one_thread(async {
        let served = cut_off("cut-most", 0..4, 0..TARGETS, PathMode::Silent).await;
        check("four of six, silent", served);
    });
}

#[test]
fn callers_of_routers_whose_connections_to_targets_are_reset_are_served() {
    on_one_thread(async {
        let served = cut_off("cut-reset", 0..2, 0..TARGETS, PathMode::Reset).await;
        check("two of six, reset", served);
    });
}

#[test]
fn callers_of_routers_whose_new_connections_to_targets_are_refused_are_served() {
    on_one_thread(async {
        let served = cut_off("cut-new", 0..2, 0..TARGETS, PathMode::ResetNew).await;
        check("two of six, new connections refused", served);
    });
}

/// One zone's targets, say, are out of reach; the others serve.
#[test]
fn callers_of_routers_that_lost_half_of_the_targets_are_served() {
    on_one_thread(async {
        let served = cut_off("cut-half", 0..2, 0..TARGETS / 2, PathMode::Silent).await;
        check("two of six, half of the targets", served);
    });
}

/// The load: the paths of two routers are reset with many requests for one content under way there, which nobody
/// else asks for. No target has ended, as the leader hears from all of them.
#[test]
fn connections_that_are_reset_make_no_request_one_that_crashes_targets() {
    on_one_thread(async {
        let partitioned = PartitionedFleet::start("cut-again", ROUTERS, TARGETS).await;
        let callers = partitioned.fleet.callers();
        let ask_often = |count: usize| {
            let callers = callers.clone();
            async move {
                let asked = (0..count).map(|n| ask_rare(callers[n % 2]));
                futures::future::join_all(asked).await
            }
        };
        for _ in 0..4 {
            partitioned.set_paths(0..2, 0..TARGETS, PathMode::Reset);
            ask_often(40).await;
            partitioned.set_paths(0..2, 0..TARGETS, PathMode::Open);
            tokio::time::sleep(Duration::from_millis(700)).await;
        }
        tokio::time::sleep(CONTACT).await;
        for to in &callers {
            assert_eq!(ask_rare(*to).await, 200, "after the cut, at {to}");
        }
    });
}

/// Asks for a content that nobody else asks for.
async fn ask_rare(to: SocketAddr) -> u16 {
    let id: u64 = rand::random();
    let headers = format!("Attempt-Id: {id:x}\r\nDeadline-Ms: 1500\r\n");
    status(&ask(to, "POST", "/draft/x", &headers, "rare").await)
}
