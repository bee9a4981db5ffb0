//! Streams whose routers are lost around a change: of their route, or of the software versions that serve. Their
//! callers take them up at other routers, which have to know who began them.

mod common;
mod fleet_support;
mod gateway_support;
mod roles_support;
mod stream_support;

use std::rc::Rc;
use std::time::Duration;

use common::proxy::{PathMode, Proxy};
use fleet_support::Fleet;
use gateway_support::on_one_thread;
use roles_support::call;
use stream_support::{
    DOCUMENT, PATH, StreamTarget, Summary, start_targets, take_all, take_all_from,
};

const CONFIG: &str = "/api/config";
const STREAMS: usize = 80;
/// Time between the begins of two streams.
const PAUSE: Duration = Duration::from_millis(5);
/// Time after the first begin at which all streams are under way.
const ALL_BEGUN: Duration = Duration::from_millis(550);
/// Time in which a change reaches all routers.
const APPLIED: Duration = Duration::from_millis(150);
const DOWN: Duration = Duration::from_millis(400);
/// Streams that are taken up again at least, so that a share of them says something.
const MIN_TAKEN_UP: usize = 12;

/// The document with these destinations of its route.
fn document(version: u32, destinations: &str) -> String {
    let version = format!(r#""version":{version},"#);
    DOCUMENT
        .replace(r#""version":5,"#, &version)
        .replace(r#""service":"llm","maxAttempts""#, &format!(r#"{destinations},"maxAttempts""#))
        .replace(r#"[{"name":"llm"}]"#, r#"[{"name":"llm"},{"name":"other"}]"#)
}

/// The route leads to the service `llm` alone.
const ONE: &str = r#""service":"llm""#;
/// The route leads to the service `other` alone.
const MOVED: &str = r#""service":"other""#;
const SPLIT: &str =
    r#""trafficSplit":[{"service":"llm","weight":90},{"service":"other","weight":10}]"#;
/// A fleet whose route leads to the service `llm`, next to targets of the service `other`.
async fn start(name: &str, llm: &[Rc<StreamTarget>], other: &[Rc<StreamTarget>]) -> Fleet {
    let announced = llm.iter().map(|target| target.announced());
    let others = other.iter().map(|target| target.announced_in("other"));
    let announced = announced.chain(others).collect();
    Fleet::start(name, 4, &document(5, ONE), announced, PATH).await
}

async fn start_others(software: &'static str) -> Vec<Rc<StreamTarget>> {
    let mut targets = Vec::new();
    for number in 0..3 {
        targets.push(StreamTarget::start(&format!("other-{number}"), software).await);
    }
    targets
}

async fn put(fleet: &Fleet, document: &str) {
    let voter = fleet.voters[0].control();
    common::process::until("a document is taken", async || {
        call(voter, "PUT", CONFIG, document).await == 200
    })
    .await;
}

/// Streams run at all routers, their route becomes another one, and two of the routers are killed.
async fn change_and_kill(fleet: &mut Fleet, changed: &str) -> Summary {
    let callers = fleet.callers();
    let (stories, ()) = futures::join!(take_all(&callers, STREAMS, PAUSE), async {
        tokio::time::sleep(ALL_BEGUN).await;
        put(fleet, changed).await;
        tokio::time::sleep(APPLIED).await;
        fleet.kill_routers(0..2, DOWN).await;
    });
    let summary = Summary::of(&stories);
    println!("{summary:?}");
    assert!(summary.taken_up >= MIN_TAKEN_UP, "{summary:?}");
    assert_eq!(summary.disordered, 0, "{summary:?}");
    assert_eq!(summary.joined, 0, "{summary:?}");
    summary
}

/// Guards against streams that are refused because their route leads to two services now, and nobody was told
/// of them when it led to one.
#[test]
fn a_stream_goes_on_after_its_route_was_split_and_its_router_killed() {
    on_one_thread(async {
        let (targets, others) = (start_targets(&["v1"; 3]).await, start_others("w1").await);
        let mut fleet = start("changes-split", &targets, &others).await;
        let summary = change_and_kill(&mut fleet, &document(6, SPLIT)).await;
        assert!(summary.goes_on_well(), "{summary:?}");
    });
}

/// Guards against streams that are refused because the service that began them is not one of their route any more.
#[test]
fn a_stream_goes_on_where_its_route_has_moved_to_a_service_of_the_same_version() {
    on_one_thread(async {
        let (targets, others) = (start_targets(&["v1"; 3]).await, start_others("v1").await);
        let mut fleet = start("changes-moved", &targets, &others).await;
        let summary = change_and_kill(&mut fleet, &document(6, MOVED)).await;
        assert!(summary.goes_on_well(), "{summary:?}");
    });
}

/// Guards against streams that go on at another version, since it is the only one of the service of their route now.
#[test]
fn a_stream_is_not_joined_where_its_route_has_moved_to_a_service_of_another_version() {
    on_one_thread(async {
        let (targets, others) = (start_targets(&["v1"; 3]).await, start_others("w1").await);
        let mut fleet = start("changes-joined", &targets, &others).await;
        // The route goes, and one of another name takes its requests.
        let wider = document(6, MOVED).replace("\"draft\"", "\"all\"").replace("/draft/", "/");
        change_and_kill(&mut fleet, &wider).await;
    });
}

/// Guards against streams that are refused because a second version has come since their router fell silent: their
/// callers notice later than a release is held back.
#[test]
fn a_stream_goes_on_if_a_release_begins_after_its_router_lost_power() {
    on_one_thread(async {
        let targets = start_targets(&["v1", "v1", "v1", "v2", "v2", "v2"]).await;
        let mut fleet = start("changes-power", &targets[..3], &[]).await;
        let mut callers = fleet.callers();
        let entry = Proxy::start(callers[0]).await;
        callers[0] = entry.address;
        let (stories, ()) = futures::join!(take_all(&callers, STREAMS, PAUSE), async {
            tokio::time::sleep(ALL_BEGUN).await;
            lose_power(&mut fleet, &entry).await;
            let newer = targets.iter().skip(3).map(|newer| newer.announced());
            fleet.targets.borrow_mut().extend(newer);
        });
        let summary = Summary::of(&stories);
        println!("{summary:?}");
        assert!(summary.taken_up >= MIN_TAKEN_UP, "{summary:?}");
        assert_eq!(summary.joined, 0, "{summary:?}");
        assert!(summary.goes_on_well(), "{summary:?}");
    });
}

/// The first router ends, and its callers behind `entry` are told nothing.
async fn lose_power(fleet: &mut Fleet, entry: &Proxy) {
    entry.set(PathMode::Silent);
    fleet.routers[0].signal("KILL");
    fleet.routers[0].exit_code().await;
}

/// Two routers that do not hear of the leader, or stand still, for a while.
#[derive(Clone, Copy, Debug)]
enum OutOfStep {
    /// They are cut off from all voters.
    CutOff,
    /// They are suspended.
    Suspended,
}

impl OutOfStep {
    fn begin(self, fleet: &Fleet) {
        for router in 2..4 {
            match self {
                Self::CutOff => fleet.set_paths_from(router, PathMode::Silent),
                Self::Suspended => fleet.routers[router].signal("STOP"),
            }
        }
    }

    /// Ends it. Suspended routers have the table of before, and callers come at once; those that are cut off see
    /// callers come before.
    async fn end(self, fleet: &Fleet) {
        match self {
            Self::CutOff => {
                tokio::time::sleep(STILL_CUT).await;
                (2..4).for_each(|router| fleet.set_paths_from(router, PathMode::Open));
            }
            Self::Suspended => (2..4).for_each(|router| fleet.routers[router].signal("CONT")),
        }
    }
}

#[test]
fn a_stream_of_a_new_version_is_not_joined_at_routers_that_are_cut_off() {
    on_one_thread(begin_at_a_new_version("changes-cut", OutOfStep::CutOff, false));
}

#[test]
fn a_stream_of_lost_new_targets_is_not_joined_at_routers_that_are_cut_off() {
    on_one_thread(begin_at_a_new_version("changes-cut-lost", OutOfStep::CutOff, true));
}

#[test]
fn a_stream_of_a_new_version_is_not_joined_at_routers_that_were_suspended() {
    on_one_thread(begin_at_a_new_version("changes-stop", OutOfStep::Suspended, false));
}

#[test]
fn a_stream_of_lost_new_targets_is_not_joined_at_routers_that_were_suspended() {
    on_one_thread(begin_at_a_new_version("changes-stop-lost", OutOfStep::Suspended, true));
}

/// Time for which routers are still cut off when callers come.
const STILL_CUT: Duration = Duration::from_millis(1_500);
/// Time after which a version is on record although some routers have not told of their streams.
const RECORDED: Duration = Duration::from_millis(2_500);

/// Guards against streams of a new version that go on at the only version that a router with an old table knows.
/// The load: half of the routers are out of step as targets of a second version join, all others are killed, or the
/// new targets are lost, and callers take their streams up at those.
async fn begin_at_a_new_version(name: &str, how: OutOfStep, are_targets_lost: bool) {
    let targets = start_targets(&["v1", "v1", "v1", "v2", "v2", "v2"]).await;
    let mut fleet = start(name, &targets[..3], &[]).await;
    how.begin(&fleet);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let newer = targets.iter().skip(3).map(|newer| newer.announced());
    fleet.targets.borrow_mut().extend(newer);
    tokio::time::sleep(RECORDED).await;
    let all = fleet.callers();
    // Whoever begins at a router in step goes on at one that is not.
    let (stories, ()) = futures::join!(
        take_all_from(&all[..2], &all[2..], STREAMS, PAUSE),
        lose(&mut fleet, &targets, how, are_targets_lost)
    );
    let summary = Summary::of(&stories);
    println!("{how:?}, targets lost {are_targets_lost}: {summary:?}");
    assert!(summary.taken_up >= MIN_TAKEN_UP, "{summary:?}");
    assert_eq!(summary.joined, 0, "{how:?}: {summary:?}");
    assert_eq!(summary.disordered, 0, "{how:?}: {summary:?}");
    assert!(are_targets_lost || summary.goes_on_well(), "{how:?}: {summary:?}");
}

/// All streams have begun, and the new targets or the routers in step are lost.
async fn lose(
    fleet: &mut Fleet,
    targets: &[Rc<StreamTarget>],
    how: OutOfStep,
    are_targets_lost: bool,
) {
    tokio::time::sleep(ALL_BEGUN).await;
    match are_targets_lost {
        true => targets.iter().skip(3).for_each(|newer| newer.stop()),
        false => fleet.kill_routers(0..2, DOWN).await,
    }
    how.end(fleet).await;
}
