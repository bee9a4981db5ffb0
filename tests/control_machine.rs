//! The replicated machine: its entries, its time, its snapshots.

mod control_fakes;

use control_fakes::{Group, answer, owner, request};
use fescuebay::consensus::Machine as _;
use fescuebay::control::commands::{Command, Entry, Outcome};
use fescuebay::control::{Machine, orders, outcomes, poison, records};
use fescuebay::ids::LogIndex;

fn begin(number: u64) -> Command {
    let request = request(&format!("donkey-{number}"));
    Command::Records(records::Command::Begin {
        tenant: request.tenant,
        key: request.key,
        digest: request.digest,
        owner: owner(1, 1),
        nonce: records::Nonce(number),
    })
}

fn finish(number: u64) -> Command {
    let request = request(&format!("donkey-{number}"));
    let end = records::End::Answered(answer("kept"));
    let (tenant, key, nonce) = (request.tenant, request.key, records::Nonce(number));
    Command::Records(records::Command::Finish { tenant, key, nonce, end })
}

#[test]
fn an_entry_that_cannot_be_read_changes_nothing_on_any_voter() {
    let mut machine = Machine::default();
    let before = machine.snapshot();
    for entry in [&b""[..], b"\xff\xff\xff", &[1, 250, 3]] {
        let outcome = Outcome::decode(&machine.apply(LogIndex(1), entry)).unwrap();
        assert!(matches!(outcome, Outcome::Rejected(_)), "{outcome:?}");
    }
    assert_eq!(machine.snapshot(), before);
}

#[test]
fn the_time_of_the_state_never_falls() {
    let mut machine = Machine::default();
    for (stamp_ms, reached_ms) in [(5, 5), (9, 9), (3, 9), (0, 9), (12, 12)] {
        machine.execute(Entry { now_ms: stamp_ms, command: Command::Tick });
        assert_eq!(machine.state().now_ms(), reached_ms);
    }
}

#[test]
fn snapshots_of_another_format_or_cut_short_are_refused_and_leave_the_state() {
    let group = Group::new();
    group.commit(begin(1));
    let snapshot = group.snapshot();
    let mut newer = snapshot.clone();
    newer[0] += 1;
    let mut machine = Machine::default();
    machine.restore(&snapshot).unwrap();
    assert!(machine.restore(&newer).unwrap_err().contains("format 7"));
    assert!(machine.restore(&snapshot[..snapshot.len() - 1]).is_err());
    assert!(machine.restore(b"").is_err());
    assert_eq!(machine.snapshot(), snapshot);
}

/// Format 1 ends before the document of routes, format 2 before doubts about poison requests, format
/// 3 before who gives orders, format 4 before targets that leave, format 5 before software versions. All
/// are empty here: the version and the text of the document take a byte each, doubts take one, and so
/// does the missing name; targets that leave take two, and software versions one.
#[test]
fn snapshots_of_earlier_formats_are_read_without_what_came_later() {
    let group = Group::new();
    group.commit(begin(1));
    let snapshot = group.snapshot();
    for (format, later_bytes) in [(1, 7), (2, 5), (3, 4), (4, 3), (5, 1)] {
        let mut earlier = snapshot[..snapshot.len() - later_bytes].to_vec();
        earlier[0] = format;
        let mut machine = Machine::default();
        machine.restore(&earlier).unwrap();
        assert_eq!(machine.snapshot(), snapshot, "format {format}");
        assert!(machine.restore(&earlier[..earlier.len() - 1]).is_err(), "format {format}");
    }
}

#[test]
fn who_gives_orders_survives_a_snapshot() {
    let mut machine = Machine::default();
    assert_eq!(machine.state().orders.giver(), None);
    for giver in ["first", "second"] {
        let command = Command::Orders(orders::Command { giver: giver.parse().unwrap() });
        machine.execute(Entry { now_ms: 1, command });
        let mut restored = Machine::default();
        restored.restore(&machine.snapshot()).unwrap();
        assert_eq!(restored.state().orders.giver(), Some(&giver.parse().unwrap()));
    }
}

/// Voters that restored at different entries go on alike.
#[test]
fn a_restored_voter_goes_on_like_one_that_never_stopped() {
    let mut limits = fescuebay::control::commands::Limits::default();
    limits.records.max_records = 400;
    limits.records.answer_retention_ms = 20_000;
    limits.records.tombstone_retention_ms = 20_000;
    let mut steady = Machine::default();
    let mut restored = Machine::default();
    for number in 0..6_000_u64 {
        let command = match number {
            0 => Command::SetLimits(Box::new(limits.clone())),
            _ if number % 50 == 1 => Command::Tick,
            _ if number % 997 == 0 => Command::DaemonGone(owner(1, number / 997)),
            _ if number % 2 == 0 => begin(number),
            _ => finish(number - 1),
        };
        let entry = Entry { now_ms: 1_000_000 + number * 13, command }.encode();
        let index = LogIndex(number + 1);
        assert_eq!(steady.apply(index, &entry), restored.apply(index, &entry), "entry {number}");
        if number % 211 == 0 {
            let mut next = Machine::default();
            next.restore(&restored.snapshot()).unwrap();
            restored = next;
        }
    }
    assert_eq!(steady.snapshot(), restored.snapshot());
    assert!(!steady.state().records.is_empty());
}

#[test]
fn a_frozen_picture_stays_as_it_was_while_the_state_goes_on() {
    let group = Group::new();
    (0..500).for_each(|number| drop(group.commit(begin(number))));
    let mut machine = Machine::default();
    machine.restore(&group.snapshot()).unwrap();
    let frozen = machine.freeze();
    for number in 0..1_000 {
        machine.execute(Entry { now_ms: 2_000_000, command: finish(number) });
        machine.execute(Entry { now_ms: 2_000_000, command: begin(number + 500) });
    }
    machine.execute(Entry { now_ms: 2_000_000, command: Command::DaemonGone(owner(1, 1)) });
    assert_eq!(frozen.encode(), group.snapshot());
    assert_ne!(machine.snapshot(), group.snapshot());
}

#[test]
fn lists_come_in_pages_and_in_order() {
    let group = Group::new();
    (0..2_500).for_each(|number| drop(group.commit(begin(number))));
    (0..1_000).for_each(|number| drop(group.commit(finish(number))));
    group.daemon_gone(&owner(1, 1));
    for (only_unknown, expected) in [(false, 2_500), (true, 1_500)] {
        let (mut after, mut seen) = (None, Vec::new());
        loop {
            let query = records::Query::List { after, max_rows: 5_000, only_unknown };
            let records::View::Page(rows) = group.ask_records(query) else { panic!("no page") };
            let Some(last) = rows.last() else { break };
            assert!(rows.len() <= 1_000);
            after = Some(last.at);
            seen.extend(rows.iter().map(|row| row.at));
        }
        assert!(seen.is_sorted());
        seen.dedup();
        assert_eq!(seen.len(), expected, "only unknown: {only_unknown}");
    }
}

/// The parts of the state that other tests leave out of their snapshots.
#[test]
fn snapshots_hold_every_part() {
    let group = Group::new();
    group.commit(Command::Poison(poison::Command::TargetDied {
        target: "runner-1".parse().unwrap(),
        incarnation: fescuebay::ids::Incarnation(4),
        in_flight: vec![poison::Flight {
            digest: request("x").digest,
            tenant: "dorado".parse().unwrap(),
            model: None,
        }],
    }));
    group.commit(Command::Poison(poison::Command::CallsBroke {
        target: "runner-2".parse().unwrap(),
        incarnation: fescuebay::ids::Incarnation(2),
        in_flight: vec![poison::Flight {
            digest: request("y").digest,
            tenant: "dorado".parse().unwrap(),
            model: None,
        }],
    }));
    let mut tally = outcomes::Tally::default();
    tally.check(5, outcomes::Promise::GracefulStop, Err("cut off".to_owned()));
    let batch = outcomes::Batch { sequence: 1, tally };
    let add = outcomes::Command::Add { owner: owner(1, 1), batch };
    group.commit(Command::Outcomes(Box::new(add)));
    group.change_leader(); // compares the snapshots
}
