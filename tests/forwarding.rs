//! Requests that one router hands to another because it reaches no target: bounded, never in a circle, at most
//! once, streams as they come.

mod common;
mod fleet_support;
mod gateway_support;
mod partition_support;
mod roles_support;

use std::net::SocketAddr;
use std::time::Duration;

use common::process::until;
use common::proxy::PathMode;
use gateway_support::{on_one_thread, status};
use partition_support::PartitionedFleet;
use roles_support::{Vm, ask, send};
use tokio::io::AsyncReadExt as _;

/// The time of [`look`], and half a second.
const IN_TIME: Duration = Duration::from_millis(2_000);

/// A fleet in which these routers reach no target and know it.
async fn start_cut(name: &str, routers: usize, cut: std::ops::Range<usize>) -> PartitionedFleet {
    let partitioned = PartitionedFleet::start(name, routers, 3).await;
    partitioned.set_paths(cut.clone(), 0..3, PathMode::Reset);
    for router in &partitioned.fleet.routers[cut] {
        until("the router knows that it is cut off", async || {
            look(router.callers(), "probe").await;
            router.log().contains("can be reached from here")
        })
        .await;
    }
    partitioned
}

async fn look(to: SocketAddr, id: &str) -> String {
    let id = format!("{id}-{:x}", rand::random::<u64>());
    ask(to, "GET", "/look/x", &format!("Attempt-Id: {id}\r\nDeadline-Ms: 1500\r\n"), "").await
}

/// How often a router logged this event of a request.
fn count(router: &Vm, id: &str, event: &str) -> usize {
    let (id, event) = (format!(r#""id":"{id}""#), format!(r#""event":"{event}""#));
    router.log().lines().filter(|line| line.contains(&id) && line.contains(&event)).count()
}

#[test]
fn a_request_is_never_forwarded_twice_in_a_row() {
    on_one_thread(async {
        let partitioned = start_cut("forward-circle", 4, 0..4).await;
        let routers = &partitioned.fleet.routers;
        let id = "circle-1";
        let headers = format!("Attempt-Id: {id}\r\nDeadline-Ms: 1500\r\n");
        let answer = ask(routers[0].callers(), "POST", "/order/x", &headers, "b").await;
        assert!(matches!(status(&answer), 502..=504), "{answer}");
        tokio::time::sleep(Duration::from_millis(300)).await;
        let forwarded: Vec<usize> =
            routers.iter().map(|router| count(router, id, "forwarded")).collect();
        assert_eq!(forwarded[1..], [0, 0, 0], "by who first took it, and by nobody else");
        assert!(forwarded[0] <= 3, "{forwarded:?}");
    });
}

/// The other router sends the request on and is killed before it answers.
#[test]
fn a_request_whose_answer_is_lost_with_the_other_router_runs_once() {
    on_one_thread(async {
        let mut partitioned = start_cut("forward-lost", 2, 0..1).await;
        let to = partitioned.fleet.routers[0].callers();
        let headers = "Attempt-Id: order-lost\r\nDeadline-Ms: 1500\r\n";
        let asked =
            tokio::task::spawn_local(
                async move { ask(to, "POST", "/order/slow", headers, "b").await },
            );
        let is_seen = |partitioned: &PartitionedFleet| {
            partitioned.targets.iter().any(|t| t.seen.borrow().iter().any(|id| id == "order-lost"))
        };
        until("a target runs it", async || is_seen(&partitioned)).await;
        partitioned.fleet.kill_routers(1..2, Duration::ZERO).await;
        let answer = asked.await.unwrap();
        assert_eq!(status(&answer), 502, "it may have run: {answer}");
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(partitioned.most_runs(), 1);
    });
}

#[test]
fn a_forwarded_stream_arrives_event_by_event_and_ends_with_its_caller() {
    on_one_thread(async {
        let partitioned = start_cut("forward-stream", 2, 0..1).await;
        let to = partitioned.fleet.routers[0].callers();
        let headers = "Attempt-Id: stream-1\r\nDeadline-Ms: 5000\r\n";
        let mut stream = send(to, "POST", "/draft/slow", headers, "b").await.unwrap();
        let mut text = String::new();
        let mut buffer = [0; 1 << 10];
        while !text.contains("data: e5\n") {
            let count = stream.read(&mut buffer).await.unwrap();
            assert!(count > 0, "cut off: {text}");
            text += &String::from_utf8_lossy(&buffer[..count]);
        }
        assert!(text.starts_with("HTTP/1.1 200 OK"), "{text}");
        drop(stream);
        let left = || partitioned.targets.iter().map(|target| target.left.get()).sum::<usize>();
        until("the target is told that its caller left", async || left() == 1).await;
    });
}

/// Guards against forwarded streams that stay open without end if the router that helps stands still.
#[test]
fn a_forwarded_stream_ends_at_its_deadline_if_the_other_router_stands_still() {
    on_one_thread(async {
        let partitioned = start_cut("forward-stopped", 2, 0..1).await;
        let routers = &partitioned.fleet.routers;
        let headers = "Attempt-Id: stream-3\r\nDeadline-Ms: 2000\r\n";
        let mut stream =
            send(routers[0].callers(), "POST", "/draft/slow", headers, "b").await.unwrap();
        let mut buffer = [0; 1 << 10];
        let mut text = String::new();
        while !text.contains("data: e2\n") {
            let count = stream.read(&mut buffer).await.unwrap();
            assert!(count > 0, "cut off: {text}");
            text += &String::from_utf8_lossy(&buffer[..count]);
        }
        routers[1].signal("STOP");
        let mut rest = Vec::new();
        let ended = tokio::time::timeout(10 * IN_TIME, stream.read_to_end(&mut rest)).await;
        routers[1].signal("CONT");
        assert!(ended.is_ok(), "the answer never ends");
        text += &String::from_utf8_lossy(&rest);
        assert!(!text.ends_with(gateway_support::END), "it does not look whole: {text}");
    });
}

/// The router that helps is killed in the middle of a stream: the answer does not look whole.
#[test]
fn a_forwarded_stream_that_is_lost_with_the_other_router_does_not_look_whole() {
    on_one_thread(async {
        let mut partitioned = start_cut("forward-broken", 2, 0..1).await;
        let to = partitioned.fleet.routers[0].callers();
        let headers = "Attempt-Id: stream-2\r\nDeadline-Ms: 5000\r\n";
        let mut stream = send(to, "POST", "/draft/slow", headers, "b").await.unwrap();
        let mut buffer = [0; 1 << 10];
        let mut text = String::new();
        while !text.contains("data: e2\n") {
            let count = stream.read(&mut buffer).await.unwrap();
            text += &String::from_utf8_lossy(&buffer[..count]);
        }
        partitioned.fleet.kill_routers(1..2, Duration::ZERO).await;
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        text += &String::from_utf8_lossy(&rest);
        assert!(!text.ends_with(gateway_support::END), "{text}");
    });
}

/// A router that is cut off is no help, and the others take their share.
#[test]
fn forwarded_requests_are_spread_over_the_routers_that_reach_targets() {
    on_one_thread(async {
        let partitioned = start_cut("forward-spread", 5, 0..2).await;
        let routers = &partitioned.fleet.routers;
        let asked = (0..60).map(|_| look(routers[0].callers(), "spread"));
        let answers = futures::future::join_all(asked).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        for answer in answers {
            assert_eq!(status(&answer), 200, "{answer}");
        }
        let handled = |router: &Vm| {
            let log = router.log();
            let lines = log.lines().filter(|line| line.contains(r#""id":"spread-"#));
            lines.filter(|line| line.contains(r#""event":"answered""#)).count()
        };
        let shares = || -> Vec<usize> { routers[2..].iter().map(handled).collect() };
        until("all are logged", async || shares().iter().sum::<usize>() == 60).await;
        let shares = shares();
        assert_eq!(handled(&routers[1]), 0, "it is cut off itself");
        assert!(shares.iter().all(|share| (10..=30).contains(share)), "{shares:?}");
    });
}

/// A stopping router sends nothing new to targets when it is about to exit, since that would be cut off. The same
/// holds for what it forwards.
#[test]
fn a_router_that_is_about_to_exit_forwards_no_request() {
    on_one_thread(async {
        let mut partitioned = PartitionedFleet::start("forward-stop", 2, 3).await;
        let router = &mut partitioned.fleet.routers[0];
        router.signal("TERM");
        router.exit_code().await;
        let text = std::fs::read_to_string(&router.settings).unwrap();
        std::fs::write(&router.settings, text.replace("limit_s = 12", "limit_s = 5")).unwrap();
        router.start();
        partitioned.set_paths(0..1, 0..3, PathMode::Reset);
        let router = &partitioned.fleet.routers[0];
        let to = router.callers();
        until("the router forwards", async || status(&look(to, "probe").await) == 200).await;
        router.signal("TERM");
        // It still takes connections, and exits in less than 3 s.
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        let headers = "Attempt-Id: order-late\r\nDeadline-Ms: 5000\r\n";
        let answer = ask(to, "POST", "/order/slow", headers, "b").await;
        assert_eq!(status(&answer), 503, "{answer}");
        assert_eq!(count(router, "order-late", "forwarded"), 0);
    });
}

/// The request that asks the leader for routers ends with its caller while others wait for the answer.
#[test]
fn requests_are_forwarded_after_a_caller_left_while_the_leader_was_asked() {
    on_one_thread(async {
        let partitioned = start_cut("forward-left", 2, 0..1).await;
        let to = partitioned.fleet.routers[0].callers();
        assert_eq!(status(&look(to, "before").await), 200);
        partitioned.fleet.set_paths_from(0, PathMode::Delayed(150));
        // What the leader said is no longer used.
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let left = tokio::time::timeout(Duration::from_millis(70), look(to, "left")).await;
        assert!(left.is_err(), "it left before it was answered");
        partitioned.fleet.set_paths_from(0, PathMode::Open);
        let answers = futures::future::join_all((0..20).map(|_| look(to, "after"))).await;
        let statuses: Vec<u16> = answers.iter().map(|answer| status(answer)).collect();
        assert_eq!(statuses, vec![200; 20]);
    });
}

/// Nobody names routers while there is no leader: each request is answered in its time.
#[test]
fn requests_that_wait_for_a_lost_leader_to_name_routers_are_refused_in_time() {
    on_one_thread(async {
        let partitioned = start_cut("forward-leader", 2, 0..1).await;
        let to = partitioned.fleet.routers[0].callers();
        partitioned.fleet.set_paths_from(0, PathMode::Silent);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let in_time = |_| tokio::time::timeout(IN_TIME, look(to, "alone"));
        let answers = futures::future::join_all((0..40).map(in_time)).await;
        let late = answers.iter().filter(|answer| answer.is_err()).count();
        assert_eq!(late, 0, "of 40 requests with 1.5 s each");
    });
}
