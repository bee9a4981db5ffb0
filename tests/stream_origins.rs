//! What routers and voters remember of streams that began, without I/O.

use fescuebay::control::software::{Command, MAX_VERSIONS, State};
use fescuebay::coordinator::routers::RouterContact;
use fescuebay::coordinator::software::{MAX_PREPARATION_MS, Preparation};
use fescuebay::ids::{Sequence, ServiceName, SoftwareVersion, Term};
use fescuebay::membership::feed::FeedCursor;
use fescuebay::origins::message::{BegunStreams, Writer};
use fescuebay::origins::recent::{RecentStreams, ReportTime};
use fescuebay::origins::store::OriginStore;
use fescuebay::origins::{REMEMBER_MS, StreamKey};

fn service(name: &str) -> ServiceName {
    name.parse().unwrap()
}

fn writer(software: &str) -> Writer {
    Writer { service: service("llm"), software: software.parse().unwrap() }
}

fn key(id: &str) -> StreamKey {
    StreamKey::of(id).unwrap()
}

fn cursor(sequence: u64) -> FeedCursor {
    FeedCursor { term: Term(1), sequence: Sequence(sequence) }
}

fn begun(software: &str, ids: &[&str]) -> BegunStreams {
    BegunStreams { writer: writer(software), streams: ids.iter().map(|id| key(id)).collect() }
}

#[test]
fn the_writer_of_a_stream_is_remembered_for_as_long_as_its_caller_may_return() {
    let mut store = OriginStore::default();
    store.record(0, &begun("v1", &["a", "b"]));
    store.record(9_000, &begun("v2", &["c"]));
    for now_ms in [9_000, REMEMBER_MS] {
        assert_eq!(store.find(now_ms, key("a")), Some(&writer("v1")));
        assert_eq!(store.find(now_ms, key("c")), Some(&writer("v2")));
        assert_eq!(store.find(now_ms, key("d")), None);
    }
    store.record(REMEMBER_MS, &begun("v2", &["d"]));
    assert_eq!(store.find(2 * REMEMBER_MS - 1, key("a")), None);
    assert_eq!(store.find(2 * REMEMBER_MS - 1, key("d")), Some(&writer("v2")));
    assert!(!store.is_empty());
    assert_eq!(store.find(9 * REMEMBER_MS, key("d")), None);
    assert!(store.is_empty());
}

#[test]
fn the_memory_of_streams_is_bounded_and_keeps_the_latest() {
    let mut store = OriginStore::default();
    for round in 0..60_u64 {
        let ids: Vec<String> = (0..10_000).map(|number| format!("{round}-{number}")).collect();
        let streams = ids.iter().map(|id| key(id)).collect();
        store.record(round * 100, &BegunStreams { writer: writer("v1"), streams });
        assert!(store.len() <= 410_000, "{}", store.len());
    }
    assert_eq!(store.find(6_000, key("59-7")), Some(&writer("v1")));
    assert_eq!(store.find(6_000, key("0-7")), None);
}

/// A stream that is taken up is told of again, so that it is remembered for longer.
#[test]
fn what_was_told_last_of_a_stream_counts() {
    let mut store = OriginStore::default();
    store.record(0, &begun("v1", &["a"]));
    store.record(0, &begun("v2", &["a"]));
    assert_eq!(store.find(0, key("a")), Some(&writer("v2")));
    store.record(20_000, &begun("v1", &["a"]));
    assert_eq!(store.find(20_000, key("a")), Some(&writer("v1")));
}

/// Guards against streams that nobody knows once their route is split, or a second version has come, after their
/// router was lost: the leader was told only of those that several writers could have begun when they began.
#[test]
fn the_leader_is_told_of_every_stream_and_first_of_those_that_several_writers_can_have_begun() {
    let mut recent = RecentStreams::default();
    assert_eq!(recent.next_report_time(), None);
    assert_eq!(recent.record(0, key("a"), writer("v1"), false), ReportTime::Soon);
    assert_eq!(recent.next_report_time(), Some(ReportTime::Soon));
    let is_urgent = recent.record(0, key("b"), writer("v1"), true);
    assert_eq!(is_urgent, ReportTime::BeforeFirstEvent, "the route leads to two services");
    assert_eq!(recent.next_report_time(), Some(ReportTime::BeforeFirstEvent));
    assert!(recent.can_begin(key("a")) && !recent.can_begin(key("b")));
    assert_eq!(recent.take_report(), [begun("v1", &["a", "b"])]);
    assert_eq!(recent.next_report_time(), None);
    recent.confirm_report();
    assert!(recent.can_begin(key("b")));
    // Streams that were not told of when the second version comes are told of at once.
    recent.record(0, key("c"), writer("v1"), false);
    recent.set_mixed(cursor(1), vec![service("llm")]);
    assert_eq!(recent.next_report_time(), Some(ReportTime::BeforeFirstEvent));
    let is_urgent = recent.record(0, key("d"), writer("v2"), false);
    assert_eq!(is_urgent, ReportTime::BeforeFirstEvent);
    assert_eq!(recent.take_report(), [begun("v1", &["c"]), begun("v2", &["d"])]);
    assert_eq!(recent.next_report_time(), None);
}

#[test]
fn a_lost_report_is_told_again_and_another_leader_is_told_all() {
    let mut recent = RecentStreams::default();
    recent.set_mixed(cursor(1), vec![service("llm")]);
    recent.record(0, key("a"), writer("v1"), false);
    let report = recent.take_report();
    recent.put_back();
    assert_eq!(recent.take_report(), report);
    recent.record(1, key("b"), writer("v1"), false);
    recent.begin_leader();
    assert_eq!(recent.take_report(), [begun("v1", &["a", "b"])]);
    recent.record(REMEMBER_MS, key("c"), writer("v1"), false);
    recent.begin_leader();
    assert_eq!(recent.take_report(), [begun("v1", &["b", "c"])], "those of long ago are dropped");
}

#[test]
fn the_record_of_versions_is_bounded_and_keeps_the_last_one() {
    let mut state = State::default();
    let add = |state: &mut State, software: String| {
        state.apply(Command::Add(service("llm"), software.parse().unwrap()));
    };
    let version = |name: &str| name.parse::<SoftwareVersion>().unwrap();
    add(&mut state, "v0".to_owned());
    assert_eq!(state.mixed().count(), 0);
    state.apply(Command::Remove(service("llm"), version("v0")));
    assert!(state.has(&service("llm"), &version("v0")), "the last one stays");
    for number in 0..2 * MAX_VERSIONS {
        add(&mut state, format!("v{number}"));
    }
    assert_eq!(state.versions(&service("llm")).len(), MAX_VERSIONS);
    assert_eq!(state.mixed().count(), 1);
    let last = version(&format!("v{}", 2 * MAX_VERSIONS - 1));
    assert!(state.has(&service("llm"), &last));
    state.apply(Command::Remove(service("llm"), last.clone()));
    assert!(!state.has(&service("llm"), &last));
}

/// A leader counts on it that a router has told of what it says.
#[test]
fn a_router_has_told_of_all_streams_once_the_leader_has_its_report() {
    let mut recent = RecentStreams::default();
    recent.record(0, key("a"), writer("v1"), false);
    assert_eq!(recent.told(), FeedCursor::default());
    recent.set_mixed(cursor(1), vec![service("llm")]);
    assert_eq!(recent.told(), FeedCursor::default());
    recent.take_report();
    assert!(!recent.can_begin(key("a")));
    assert_eq!((recent.told(), recent.told_after_report()), (FeedCursor::default(), cursor(1)));
    recent.put_back();
    assert_eq!(recent.told_after_report(), FeedCursor::default());
    recent.take_report();
    recent.confirm_report();
    assert!(recent.can_begin(key("a")));
    assert_eq!(recent.told(), cursor(1));
    // Streams of other services that are told of soon don't count.
    recent.record(1, key("b"), Writer { service: service("other"), ..writer("v1") }, false);
    assert_eq!(recent.told(), cursor(1));
}

/// The load: a second version comes while routers run, are lost without a word, or have just come back.
#[test]
fn a_further_version_is_held_back_until_routers_have_told_of_their_streams() {
    const LATE_MS: u64 = 100_000;
    let preparation = Preparation {
        service: service("llm"),
        software: "v2".parse().unwrap(),
        since_ms: LATE_MS,
        announced: cursor(2),
    };
    let contact = |started_ms, sequence| RouterContact {
        router: "r".parse().unwrap(),
        zone: None,
        heard_ms: LATE_MS,
        started_ms,
        streams_told: cursor(sequence),
        lost_services: Vec::new(),
    };
    let is_complete = |now_ms, leading_since_ms, routers: &[RouterContact]| {
        preparation.is_complete(now_ms, leading_since_ms, routers)
    };
    assert!(is_complete(LATE_MS, 0, &[]), "no router has streams");
    assert!(is_complete(LATE_MS, 0, &[contact(0, 2), contact(0, 3)]));
    assert!(!is_complete(LATE_MS, 0, &[contact(0, 2), contact(0, 1)]), "one has not told yet");
    assert!(!is_complete(LATE_MS, 0, &[contact(LATE_MS - 400, 2)]), "one has just started");
    assert!(!is_complete(LATE_MS, LATE_MS - 400, &[contact(0, 2)]), "the leader is new");
    let end_ms = LATE_MS + MAX_PREPARATION_MS;
    assert!(is_complete(end_ms, LATE_MS - 400, &[contact(LATE_MS, 1)]), "it does not take longer");
}
