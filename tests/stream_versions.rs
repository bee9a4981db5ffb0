//! Two software versions of a service side by side: a stream goes on at the version that began it, at this
//! router or at another one, also after routers, voters or targets were lost.

mod common;
mod fleet_support;
mod gateway_support;
mod roles_support;
mod stream_support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use common::proxy::PathMode;
use fleet_support::Fleet;
use gateway_support::on_one_thread;
use stream_support::{
    DOCUMENT, PATH, StreamTarget, Summary, start_targets, take_all, take_all_counted,
};

/// Streams that may hold events of two versions.
const MAX_JOINED: usize = 2;
const STREAMS: usize = 80;
/// Time over which they begin.
const PAUSE: Duration = Duration::from_millis(5);
/// Time after the first one at which something is lost: all of them are under way.
const LOST_AFTER: Duration = Duration::from_millis(700);
const DOWN: Duration = Duration::from_millis(400);
const BOTH: [&str; 6] = ["v1", "v1", "v1", "v2", "v2", "v2"];

async fn start(name: &str, routers: usize, targets: &[Rc<StreamTarget>]) -> Fleet {
    let announced = targets.iter().map(|target| target.announced()).collect();
    Fleet::start(name, routers, DOCUMENT, announced, PATH).await
}

/// What a router tells the leader arrives this much later, and a stream that goes on must not depend on it.
const LEADER_DELAY: PathMode = PathMode::Delayed(25);

/// Checks that no streams are joined, and that those that were taken up go on.
fn check(name: &str, summary: Summary) {
    println!("{name}: {summary:?}");
    assert_eq!(summary.disordered, 0, "{name}: {summary:?}");
    assert!(summary.joined <= MAX_JOINED, "{name}: {summary:?}");
    assert!(summary.goes_on_well(), "{name}: {summary:?}");
}

#[test]
fn a_stream_that_its_target_breaks_off_goes_on_at_its_software_version() {
    on_one_thread(async {
        let targets = start_targets(&BOTH).await;
        let fleet = start("versions-reset", 4, &targets).await;
        targets.iter().for_each(|target| target.breaks_after.set(Some(4)));
        let stories = take_all(&fleet.callers(), STREAMS, PAUSE).await;
        let summary = Summary::of(&stories);
        check("targets reset", summary);
        let resumed: usize = targets.iter().map(|target| target.resumed.get()).sum();
        assert!(resumed >= STREAMS / 2, "streams are resumed: {resumed}");
    });
}

#[test]
fn a_stream_that_is_taken_up_at_another_router_goes_on_at_its_software_version() {
    on_one_thread(async {
        let targets = start_targets(&BOTH).await;
        let mut fleet = start("versions-routers", 4, &targets).await;
        let callers = fleet.callers();
        let (stories, ()) = futures::join!(take_all(&callers, STREAMS, PAUSE), async {
            tokio::time::sleep(LOST_AFTER).await;
            fleet.kill_routers(0..2, DOWN).await;
        });
        let summary = Summary::of(&stories);
        check("two of four routers killed", summary);
        assert!(summary.taken_up >= 12, "{summary:?}");
    });
}

#[test]
fn a_stream_goes_on_at_its_software_version_after_all_routers_were_killed() {
    on_one_thread(async {
        let targets = start_targets(&BOTH).await;
        let mut fleet = start("versions-all", 4, &targets).await;
        let callers = fleet.callers();
        let (stories, ()) = futures::join!(take_all(&callers, STREAMS, PAUSE), async {
            tokio::time::sleep(LOST_AFTER).await;
            fleet.kill_routers(0..4, DOWN).await;
        });
        let summary = Summary::of(&stories);
        check("all routers killed", summary);
        assert!(summary.taken_up >= 12, "{summary:?}");
    });
}

/// The load: many streams that waited begin at once, and their routers are killed right then.
#[test]
fn a_stream_goes_on_if_its_router_is_killed_right_after_its_first_event() {
    on_one_thread(async {
        let targets = start_targets(&BOTH).await;
        let mut fleet = start("versions-first", 4, &targets).await;
        (0..4).for_each(|router| fleet.set_paths_from(router, LEADER_DELAY));
        let (callers, begun) = (fleet.callers(), Rc::new(Cell::new(0)));
        let taking = take_all_counted(&callers, STREAMS, Duration::ZERO, &begun);
        let (stories, ()) = futures::join!(taking, async {
            while begun.get() < STREAMS * 9 / 10 {
                tokio::task::yield_now().await;
            }
            fleet.kill_routers(0..4, DOWN).await;
        });
        let summary = Summary::of(&stories);
        check("killed after the first events", summary);
        assert!(summary.taken_up >= 12, "{summary:?}");
    });
}

/// The targets of the old version leave and end, and then all routers are killed: no stream of the old version
/// goes on at the new one, which is all that is left.
#[test]
fn a_stream_of_a_software_version_that_has_left_does_not_go_on_at_another_one() {
    on_one_thread(async {
        let targets = start_targets(&BOTH).await;
        let mut fleet = start("versions-left", 4, &targets).await;
        let callers = fleet.callers();
        let (stories, ()) = futures::join!(take_all(&callers, STREAMS, PAUSE), async {
            tokio::time::sleep(LOST_AFTER).await;
            fleet.targets.borrow_mut().iter_mut().take(3).for_each(|old| old.is_leaving = true);
            tokio::time::sleep(Duration::from_millis(300)).await;
            targets.iter().take(3).for_each(|old| old.stop());
            fleet.kill_routers(0..4, DOWN).await;
        });
        let summary = Summary::of(&stories);
        println!("{summary:?}");
        assert!(summary.taken_up >= 12, "{summary:?}");
        assert_eq!(summary.disordered, 0, "{summary:?}");
        assert!(summary.joined <= MAX_JOINED, "{summary:?}");
    });
}

/// A second version appears while streams of the first one run, which began when it was alone.
#[test]
fn a_stream_that_began_before_a_second_software_version_came_goes_on_at_its_own() {
    on_one_thread(async {
        let targets = start_targets(&BOTH).await;
        let mut fleet = start("versions-second", 4, &targets[..3]).await;
        let callers = fleet.callers();
        let (stories, ()) = futures::join!(take_all(&callers, STREAMS, PAUSE), async {
            tokio::time::sleep(LOST_AFTER).await;
            let newer = targets.iter().skip(3).map(|newer| newer.announced());
            fleet.targets.borrow_mut().extend(newer);
            tokio::time::sleep(Duration::from_millis(300)).await;
            fleet.kill_routers(0..4, DOWN).await;
        });
        let summary = Summary::of(&stories);
        check("a second version came", summary);
        assert!(summary.taken_up >= 12, "{summary:?}");
    });
}

/// The leader is lost together with all routers: what it was told is known to the others.
#[test]
fn a_stream_goes_on_at_its_software_version_after_the_leader_and_all_routers_were_killed() {
    on_one_thread(async {
        let targets = start_targets(&BOTH).await;
        let mut fleet = start("versions-leader", 4, &targets).await;
        let callers = fleet.callers();
        let leader = fleet.leader().await;
        let (stories, ()) = futures::join!(take_all(&callers, STREAMS, PAUSE), async {
            tokio::time::sleep(LOST_AFTER).await;
            fleet.kill_voter(leader, Duration::ZERO).await;
            fleet.kill_routers(0..4, DOWN).await;
        });
        let summary = Summary::of(&stories);
        check("leader and all routers killed", summary);
        assert!(summary.taken_up >= 12, "{summary:?}");
    });
}

/// Nobody remembers who began the streams: those that two versions can have begun are refused.
#[test]
fn streams_are_not_joined_after_all_voters_and_routers_were_killed() {
    on_one_thread(async {
        let targets = start_targets(&BOTH).await;
        let mut fleet = start("versions-voters", 4, &targets).await;
        let callers = fleet.callers();
        let (stories, ()) = futures::join!(take_all(&callers, STREAMS, PAUSE), async {
            tokio::time::sleep(LOST_AFTER).await;
            fleet.kill_all(DOWN).await;
        });
        let summary = Summary::of(&stories);
        println!("all voters and routers killed: {summary:?}");
        assert!(summary.taken_up >= 12, "{summary:?}");
        assert!(summary.joined <= MAX_JOINED, "{summary:?}");
    });
}

/// The only version that has served is on record, so that no stream of it is refused.
#[test]
fn a_stream_of_the_only_software_version_goes_on_after_all_voters_and_routers_were_killed() {
    on_one_thread(async {
        let targets = start_targets(&["v1"; 6]).await;
        let mut fleet = start("versions-one", 4, &targets).await;
        let callers = fleet.callers();
        let (stories, ()) = futures::join!(take_all(&callers, STREAMS, PAUSE), async {
            tokio::time::sleep(LOST_AFTER).await;
            fleet.kill_all(DOWN).await;
        });
        let summary = Summary::of(&stories);
        check("all voters and routers killed, one version", summary);
        assert!(summary.taken_up >= 12, "{summary:?}");
    });
}
