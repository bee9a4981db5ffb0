//! What routers and voters remember of streams that began, without I/O.

use fescuebay::control::software::{Command, MAX_VERSIONS, State};
use fescuebay::ids::{ServiceName, SoftwareVersion};
use fescuebay::origins::message::{BegunStreams, Writer};
use fescuebay::origins::recent::RecentStreams;
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

#[test]
fn the_leader_is_told_of_streams_only_where_several_versions_or_services_can_have_begun_them() {
    let mut recent = RecentStreams::default();
    assert!(!recent.record(0, key("a"), writer("v1"), false));
    assert!(recent.record(0, key("b"), writer("v1"), true), "the route leads to two services");
    assert_eq!(recent.take_report(), [begun("v1", &["b"])]);
    assert!(!recent.has_report());
    // Streams that began before the second version came are told of when it comes.
    recent.set_mixed(vec![service("llm")]);
    assert!(recent.record(0, key("c"), writer("v2"), false));
    assert_eq!(recent.take_report(), [begun("v1", &["a"]), begun("v2", &["c"])]);
    assert!(!recent.has_report());
}

#[test]
fn a_lost_report_is_told_again_and_another_leader_is_told_all() {
    let mut recent = RecentStreams::default();
    recent.set_mixed(vec![service("llm")]);
    recent.record(0, key("a"), writer("v1"), false);
    let report = recent.take_report();
    recent.put_back(&report);
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
