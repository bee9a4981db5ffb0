//! Failures of daemons and targets, as their watchers and the leader see them.

use fescuebay::ids::{DaemonId, Incarnation, Revision, Sequence, TargetId, Term};
use fescuebay::membership::daemons::{self, DaemonChange, Heartbeat};
use fescuebay::membership::directory::{self, DirectoryEffect, TargetDirectory};
use fescuebay::membership::feed::{ApplyOutcome, FeedBatch, TableFeed};
use fescuebay::membership::table::{Replica, Standing, TableChange};
use fescuebay::membership::targets::{
    AnnouncementOutcome, SilenceTimeouts, TargetEvent, TargetRegistry, TargetReport,
};
use fescuebay::target::order;
use fescuebay::units;
use proptest::test_runner::{Config, RngSeed, TestRunner};

fn state(target: &str, life: u64, sequence: u64) -> order::State {
    order::State {
        software: None,
        target: target.parse().unwrap(),
        incarnation: Incarnation(life),
        sequence,
        kind: order::Kind::Assistant,
        availability_zone: "a".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        memory_bytes: units::Bytes::GIB,
        accelerators: 1,
        holds: Vec::new(),
        cached: Vec::new(),
        services: Vec::new(),
        checks_fencing: true,
        load: order::Load { running: 0, waiting: 0, slots: 4 },
        leaving: false,
    }
}

fn announced(life: u64, sequence: u64) -> TargetEvent {
    TargetEvent::Announced(state("t", life, sequence))
}

#[test]
fn late_repeated_and_older_announcements_change_nothing() {
    let cases = [("repeated", 2, 5), ("out of order", 2, 4), ("of an earlier life", 1, 99)];
    for (what, life, sequence) in cases {
        let mut registry = TargetRegistry::default();
        registry.handle_event(0, announced(2, 5));
        let mut odd = state("t", life, sequence);
        odd.leaving = true;
        let (taken, reports) = registry.handle_event(10, TargetEvent::Announced(odd));
        assert_eq!((taken, reports), (AnnouncementOutcome::Stale, Vec::new()), "{what}");
    }
}

#[test]
fn load_alone_is_not_passed_on() {
    let mut registry = TargetRegistry::default();
    registry.handle_event(0, announced(1, 1));
    let mut busier = state("t", 1, 2);
    busier.load.running = 3;
    assert_eq!(
        registry.handle_event(500, TargetEvent::Announced(busier)),
        (AnnouncementOutcome::Accepted, Vec::new())
    );
    let mut wider = state("t", 1, 3);
    wider.load.slots = 9;
    assert_eq!(registry.handle_event(900, TargetEvent::Announced(wider)).1.len(), 1);
}

#[test]
fn a_silent_target_is_suspected_and_then_gone_within_3_s() {
    let mut registry = TargetRegistry::new(SilenceTimeouts::default());
    registry.handle_event(0, announced(1, 1));
    let mut seen = Vec::new();
    for now_ms in (100..=3_000).step_by(100) {
        for report in registry.handle_event(now_ms, TargetEvent::Tick).1 {
            seen.push((now_ms, report));
        }
    }
    let standing = |report: &TargetReport| match report {
        TargetReport::State(_, standing) => Some(*standing),
        TargetReport::Gone(..) => None,
    };
    let seen: Vec<_> = seen.iter().map(|(at, report)| (*at, standing(report))).collect();
    assert_eq!(seen, [(1_300, Some(Standing::Suspect)), (2_500, None)]);
    assert_eq!(
        registry.handle_event(3_100, announced(1, 1)).0,
        AnnouncementOutcome::Stale,
        "the dead one's echo"
    );
    assert_eq!(registry.handle_event(3_200, announced(2, 1)).1.len(), 1, "its next life");
}

#[test]
fn a_target_that_left_stays_gone_until_its_next_life() {
    let mut registry = TargetRegistry::default();
    registry.handle_event(0, announced(1, 1));
    let target: TargetId = "t".parse().unwrap();
    let (_, reports) = registry.handle_event(10, TargetEvent::Left(target.clone(), Incarnation(1)));
    assert_eq!(reports, [TargetReport::Gone(target.clone(), Incarnation(1))]);
    assert_eq!(registry.handle_event(20, announced(1, 2)).0, AnnouncementOutcome::Stale);
    assert_eq!(
        registry.handle_event(30, TargetEvent::Left(target, Incarnation(1))).0,
        AnnouncementOutcome::Stale
    );
    assert_eq!(registry.handle_event(40, announced(2, 1)).0, AnnouncementOutcome::Accepted);
}

#[test]
fn a_target_that_flaps_is_held_back_and_trusted_again_later() {
    let mut registry = TargetRegistry::default();
    let last_standing = |reports: Vec<TargetReport>| match reports.last() {
        Some(TargetReport::State(_, standing)) => Some(*standing),
        _ => None,
    };
    let mut now_ms = 0;
    let mut standing = None;
    for life in 1..=4 {
        standing = last_standing(registry.handle_event(now_ms, announced(life, 1)).1);
        now_ms += 3_000;
        registry.handle_event(now_ms, TargetEvent::Tick);
    }
    assert_eq!(standing, Some(Standing::Suspect), "after three returns in 9 s");
    let mut trusted_ms = None;
    for sequence in 2..400 {
        now_ms += 500;
        let reports = registry.handle_event(now_ms, announced(4, sequence)).1;
        let is_up = last_standing(reports) == Some(Standing::Up);
        trusted_ms = trusted_ms.or(is_up.then_some(now_ms));
    }
    let trusted_ms = trusted_ms.expect("it is trusted again");
    assert!((20_000..120_000).contains(&trusted_ms), "trusted after {trusted_ms} ms");
}

fn report(life: u64, sequence: u64) -> TargetReport {
    TargetReport::State(Box::new(state("t", life, sequence)), Standing::Up)
}

fn daemon(name: &str) -> DaemonId {
    name.parse().unwrap()
}

#[test]
fn only_the_daemon_that_watches_a_target_can_end_it() {
    let target: TargetId = "t".parse().unwrap();
    let gone = |life| TargetReport::Gone(target.clone(), Incarnation(life));
    let cases = [
        ("its home", "b", 1, 2),
        ("its former home", "a", 1, 0),
        ("its home, of an earlier life", "b", 0, 0),
    ];
    for (what, from, life, effects) in cases {
        let mut directory = TargetDirectory::default();
        directory.report(&daemon("a"), report(1, 1));
        directory.report(&daemon("b"), report(1, 2));
        assert_eq!(directory.report(&daemon(from), gone(life)).len(), effects, "{what}");
    }
}

#[test]
fn a_new_leader_keeps_the_targets_that_it_knows_until_they_are_confirmed_or_late() {
    let mut old = TargetDirectory::default();
    old.report(&daemon("a"), report(1, 7));
    let mut directory = TargetDirectory::from_entries(1_000, &old.entries(), &|_, _| None);
    assert_eq!(directory.entries().len(), 1);
    assert_eq!(directory.tick(1_000 + directory::ADOPTION_TIMEOUT_MS - 1), []);
    let lost = directory.clone().tick(1_000 + directory::ADOPTION_TIMEOUT_MS);
    assert!(
        matches!(lost[0], DirectoryEffect::Table(TableChange::Remove(_))),
        "nobody confirmed it"
    );
    directory.report(&daemon("c"), report(1, 7));
    assert_eq!(directory.tick(99_000), [], "it was confirmed");
}

#[test]
fn the_targets_of_a_lost_daemon_wait_for_another_home() {
    let mut directory = TargetDirectory::default();
    directory.report(&daemon("a"), report(1, 1));
    directory.handle_daemon_loss(500, &daemon("a"));
    assert_eq!(directory.report(&daemon("b"), report(1, 2)).len(), 1, "state, no table change");
    assert_eq!(directory.tick(99_000), []);
}

#[test]
fn a_drained_target_gets_no_new_work_and_no_report_brings_it_back() {
    let mut directory = TargetDirectory::default();
    directory.report(&daemon("a"), report(1, 1));
    assert_eq!(directory.set_drained(|_| true).len(), 1);
    directory.report(&daemon("a"), report(1, 2));
    assert_eq!(directory.entries()[0].standing, Standing::Leaving);
    directory.set_drained(|_| false);
    assert_eq!(directory.entries()[0].standing, Standing::Up);
}

fn heartbeat(life: u64, is_leaving: bool) -> Heartbeat {
    Heartbeat {
        daemon: daemon("d"),
        incarnation: Incarnation(life),
        availability_zone: "a".parse().unwrap(),
        revision: Revision(1),
        target_address: "127.0.0.1:7101".parse().unwrap(),
        is_leaving,
    }
}

#[test]
fn a_replaced_daemon_is_never_mistaken_for_its_predecessor() {
    let mut known = daemons::DaemonRegistry::default();
    let (d, first, second) = (daemon("d"), Incarnation(1), Incarnation(2));
    assert_eq!(
        known.handle_heartbeat(0, heartbeat(1, false)),
        [DaemonChange::Joined(d.clone(), first)],
        "its first life"
    );
    assert_eq!(
        known.handle_heartbeat(100, heartbeat(2, false)),
        [DaemonChange::Gone(d.clone(), first), DaemonChange::Joined(d.clone(), second)],
        "its second life ends the first"
    );
    assert_eq!(known.handle_heartbeat(200, heartbeat(1, false)), [], "an echo of the first");
    let silent: Vec<_> = (1..90).flat_map(|tick| known.tick(100 + tick * 100)).collect();
    let expected =
        [DaemonChange::Suspected(d.clone(), second), DaemonChange::Gone(d.clone(), second)];
    assert_eq!(silent, expected);
    let returned = known.handle_heartbeat(9_500, heartbeat(2, false));
    assert_eq!(returned, [DaemonChange::Returned(d.clone(), second)], "it was only cut off");
    let leaving = known.handle_heartbeat(9_600, heartbeat(2, true));
    assert_eq!(leaving, [DaemonChange::Leaving(d, second)]);
}

#[test]
fn a_follower_equals_its_feed_after_any_loss_and_repetition() {
    let config = Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..Config::default()
    };
    // Each step: which target changes, whether it goes, whether the batch is lost, whether the
    // leader is replaced.
    let step = (0..6_u8, 0..9_u8, 0..3_u8, 0..12_u8);
    let steps = proptest::collection::vec(step, 1..60);
    let run = TestRunner::new(config).run(&steps, |steps| {
        let mut feed = TableFeed::new(Term(1), Vec::new());
        let mut follower = TableFeed::default();
        let mut late: Vec<FeedBatch> = Vec::new();
        for (target, form, fate, replaced) in steps {
            if replaced == 0 {
                let term = feed.cursor().term.next();
                feed = TableFeed::new(term, feed.table().entries().to_vec());
            }
            // Of two changes in one push the second builds on the first.
            feed.push(vec![change(target, form), change((target + form) % 6, form / 2)]);
            let batch = feed.since(follower.cursor());
            match fate {
                0 => late.push(batch),
                1 => {
                    follower.apply(batch);
                }
                _ => {
                    let before = follower.cursor();
                    for batch in late.drain(..) {
                        follower.apply(batch);
                    }
                    assert!(follower.cursor() >= before, "a late batch took the follower back");
                    if follower.apply(batch) == ApplyOutcome::Gap {
                        follower.apply(feed.since(follower.cursor()));
                    }
                }
            }
        }
        follower.apply(feed.since(follower.cursor()));
        assert_eq!(follower.cursor(), feed.cursor());
        assert_eq!(follower.table().entries(), feed.table().entries());
        assert_eq!(feed.since(follower.cursor()), FeedBatch::Empty);
        Ok(())
    });
    run.unwrap();
}

/// A change of a target: it goes, or it holds what this form says.
fn change(target: u8, form: u8) -> TableChange {
    let name: TargetId = format!("t-{target}").parse().unwrap();
    if form == 0 {
        return TableChange::Remove(name);
    }
    let mut directory = TargetDirectory::default();
    directory.report(
        &daemon("a"),
        TargetReport::State(Box::new(state(name.as_str(), 1, 1)), Standing::Up),
    );
    let mut entry = directory.entries().remove(0);
    let replica = |number: u8| Replica {
        model: format!("m{}", number % 3).parse().unwrap(),
        version: format!("{}", number / 3).parse().unwrap(),
    };
    entry.replicas = (0..form).filter(|number| number % 3 != form % 4).map(replica).collect();
    entry.replicas.sort();
    entry.slots = u32::from(form / 7);
    TableChange::Put(entry)
}

/// The load: adapters that come and go on a hundred engines, told to a hundred routers.
#[test]
fn of_a_target_that_holds_one_thing_more_only_that_is_told() {
    let TableChange::Put(mut entry) = change(1, 6) else { panic!("it does not go") };
    let mut feed = TableFeed::new(Term(3), vec![entry.clone()]);
    let behind = feed.cursor();
    let more = Replica { model: "z9".parse().unwrap(), version: "1".parse().unwrap() };
    let left = entry.replicas.remove(0);
    entry.replicas.push(more.clone());
    feed.push(vec![TableChange::Put(entry.clone())]);
    let FeedBatch::Changes { changes, .. } = feed.since(behind) else { panic!("one change") };
    let target = entry.target.clone();
    let expected = TableChange::Replicas { target, removed: vec![left], added: vec![more] };
    assert_eq!(changes, [expected]);
    assert_eq!(feed.table().entries(), [entry]);
}

#[test]
fn a_follower_far_behind_gets_the_whole_table() {
    let mut feed = TableFeed::new(Term(3), Vec::new());
    let behind = feed.cursor();
    for _ in 0..5_000 {
        feed.push(vec![change(1, 5)]);
    }
    assert!(matches!(feed.since(behind), FeedBatch::Snapshot { .. }));
    assert_eq!(feed.cursor().sequence, Sequence(5_001));
}
