//! Poison requests among innocent ones.

mod control_fakes;

use std::collections::BTreeMap;

use control_fakes::{Group, owner};
use fescuebay::control::commands::{Command, Outcome};
use fescuebay::control::poison::{self, Flight, Lifted, Mirror, Standing, Trial};
use fescuebay::control::queries;
use fescuebay::ids::{Digest, Incarnation, TargetId};

const MINUTE_MS: u64 = 60_000;

fn digest(name: &str) -> Digest {
    Digest::of(&[b"quill", name.as_bytes()])
}

fn target(number: usize) -> TargetId {
    format!("runner-{number}").parse().unwrap()
}

fn apply(group: &Group, command: poison::Command) -> poison::Outcome {
    match group.commit(Command::Poison(command)) {
        Outcome::Poison(outcome) => outcome,
        other => panic!("not an outcome of poison requests: {other:?}"),
    }
}

fn died(group: &Group, number: usize, names: &[&str]) {
    let flight = |name: &&str| Flight {
        digest: digest(name),
        tenant: "santuario".parse().unwrap(),
        model: Some("quill".parse().unwrap()),
    };
    let in_flight = names.iter().map(flight).collect();
    let incarnation = Incarnation(1);
    apply(group, poison::Command::TargetDied { target: target(number), incarnation, in_flight });
}

fn broke(group: &Group, number: usize, name: &str) {
    let flight = Flight {
        digest: digest(name),
        tenant: "santuario".parse().unwrap(),
        model: Some("quill".parse().unwrap()),
    };
    let (incarnation, in_flight) = (Incarnation(1), vec![flight]);
    apply(group, poison::Command::CallsBroke { target: target(number), incarnation, in_flight });
}

fn try_on(group: &Group, name: &str, number: usize, nonce: u64) -> Trial {
    let (digest, target) = (digest(name), target(number));
    match apply(group, poison::Command::Try { digest, target, owner: owner(1, 1), nonce }) {
        poison::Outcome::Tried(trial) => trial,
        other => panic!("{other:?}"),
    }
}

fn end(group: &Group, name: &str, nonce: u64, is_answered: bool) {
    apply(group, poison::Command::EndTrial { digest: digest(name), nonce, is_answered });
}

fn feed(group: &Group, since: u64) -> poison::Feed {
    match group.ask(queries::Query::Poison(poison::Query::Since(since))) {
        queries::Answer::Poison(poison::Answer::Feed(feed)) => feed,
        other => panic!("{other:?}"),
    }
}

fn standing(group: &Group, name: &str) -> Standing {
    Mirror::default().after(&feed(group, 0)).standing(&digest(name), group.now_ms())
}

/// One poison request in a batch with seven innocent ones, which many routers dispatch and retry
/// as the list allows them.
#[test]
fn a_poison_request_among_seven_innocent_ones_kills_two_targets() {
    let names = ["a", "b", "c", "d", "POISON", "e", "f", "g"];
    for targets in [2, 3, 9] {
        let group = Group::new();
        let mut alive: Vec<usize> = (1..=targets).collect();
        let mut deaths = 1;
        let mut answered: BTreeMap<&str, u32> = BTreeMap::new();
        died(&group, 0, &names);
        // Each round, all that are not answered are tried at every target until they are let in.
        for round in 1..40_u64 {
            let mut running: Vec<(&str, usize)> = Vec::new();
            for (name, nonce) in names.into_iter().zip(round * 100..) {
                let is_open = !answered.contains_key(name);
                let place = alive.iter().find(|number| {
                    is_open && try_on(&group, name, **number, nonce) == Trial::Granted
                });
                running.extend(place.map(|number| (name, *number)));
            }
            let places: Vec<usize> = running.iter().map(|(_, number)| *number).collect();
            let is_apart = places.iter().all(|p| places.iter().filter(|q| *q == p).count() == 1);
            assert!(is_apart, "two suspects share a target: {running:?}");
            for (name, number) in running {
                if name == "POISON" {
                    deaths += 1;
                    alive.retain(|other| *other != number);
                    died(&group, number, &["POISON"]);
                } else {
                    *answered.entry(name).or_default() += 1;
                    let nonce = round * 100 + names.iter().position(|n| *n == name).unwrap() as u64;
                    end(&group, name, nonce, true);
                }
            }
            group.change_leader();
        }
        assert_eq!(deaths, 2, "{targets} targets");
        assert_eq!(answered.len(), 7, "an innocent request has no answer");
        assert!(matches!(standing(&group, "POISON"), Standing::Closed { .. }));
        assert_eq!(standing(&group, "a"), Standing::Clear);
    }
}

#[test]
fn one_death_counts_once_however_many_daemons_tell_it() {
    let group = Group::new();
    (0..9).for_each(|_| died(&group, 1, &["a"]));
    assert_eq!(standing(&group, "a"), Standing::Suspect);
    died(&group, 2, &["a"]);
    assert!(matches!(standing(&group, "a"), Standing::Closed { .. }));
    assert!(matches!(try_on(&group, "a", 3, 1), Trial::Closed { .. }));
}

/// Two connections may break by chance: that closes a request briefly, and two deaths for long.
#[test]
fn broken_calls_close_a_request_briefly_until_their_deaths_are_certain() {
    let closed_until_ms = |group: &Group, name: &str| match standing(group, name) {
        Standing::Closed { until_ms } => until_ms - group.now_ms(),
        other => panic!("{name} is {other:?}"),
    };
    let group = Group::new();
    for name in ["chance", "venom"] {
        broke(&group, 1, name);
        assert_eq!(standing(&group, name), Standing::Suspect);
        assert_eq!(try_on(&group, name, 2, 7), Trial::Granted);
        broke(&group, 2, name);
        assert!(closed_until_ms(&group, name) <= MINUTE_MS);
    }
    group.change_leader();
    died(&group, 1, &["venom"]);
    assert!(closed_until_ms(&group, "venom") <= MINUTE_MS, "the second death is in doubt");
    died(&group, 2, &["venom"]);
    assert!(closed_until_ms(&group, "venom") > 60 * MINUTE_MS);
    group.pass(2 * MINUTE_MS);
    assert_eq!(standing(&group, "chance"), Standing::Clear);
    assert!(matches!(standing(&group, "venom"), Standing::Closed { .. }));
}

/// A call that broke ends its own trial, and counts against no other suspect.
#[test]
fn a_broken_call_ends_its_own_trial_alone() {
    let group = Group::new();
    ["a", "b"].into_iter().for_each(|name| broke(&group, 1, name));
    assert_eq!(try_on(&group, "a", 2, 1), Trial::Granted);
    assert_eq!(try_on(&group, "b", 2, 2), Trial::TargetBusy);
    broke(&group, 2, "innocent");
    assert_eq!(standing(&group, "a"), Standing::Suspect);
    broke(&group, 2, "a");
    assert!(matches!(standing(&group, "a"), Standing::Closed { .. }));
    assert_eq!(try_on(&group, "b", 2, 3), Trial::Granted);
    end(&group, "b", 3, true);
    assert_eq!(standing(&group, "b"), Standing::Clear);
}

#[test]
fn a_trial_whose_daemon_died_with_its_target_still_counts() {
    let group = Group::new();
    died(&group, 1, &["a"]);
    assert_eq!(try_on(&group, "a", 2, 1), Trial::Granted);
    group.daemon_gone(&owner(1, 1));
    // Another daemon tells of the death; it had other work there.
    died(&group, 2, &["innocent"]);
    assert!(matches!(standing(&group, "a"), Standing::Closed { .. }));
    assert_eq!(standing(&group, "innocent"), Standing::Suspect);
}

#[test]
fn trials_are_one_to_a_suspect_and_one_to_a_target() {
    let group = Group::new();
    died(&group, 1, &["a", "b"]);
    let cases = [
        ("a", 2, 1, Trial::Granted),
        ("a", 2, 1, Trial::Granted), // sent again
        ("a", 3, 2, Trial::Busy),
        ("b", 2, 3, Trial::TargetBusy),
        ("b", 3, 3, Trial::Granted),
        ("clean", 2, 4, Trial::NotSuspect),
    ];
    for (name, number, nonce, expected) in cases {
        assert_eq!(try_on(&group, name, number, nonce), expected, "{name} on {number}");
        group.change_leader();
    }
    end(&group, "a", 9, true); // not its trial
    assert_eq!(standing(&group, "a"), Standing::Suspect);
    end(&group, "a", 1, false);
    assert_eq!(try_on(&group, "a", 4, 5), Trial::Granted);
    group.daemon_gone(&owner(1, 1));
    assert_eq!(
        try_on(&group, "a", 5, 6),
        Trial::Granted,
        "the trial of a dead daemon holds nothing"
    );
}

#[test]
fn a_copy_of_the_list_follows_its_changes() {
    let group = Group::new();
    let mut mirror = Mirror::default();
    let check = |mirror: &Mirror, expected: &[(&str, bool, bool)]| {
        for (name, is_suspect, is_closed) in expected {
            let standing = mirror.standing(&digest(name), group.now_ms());
            assert_eq!(standing == Standing::Suspect, *is_suspect, "{name}: {standing:?}");
            assert_eq!(matches!(standing, Standing::Closed { .. }), *is_closed, "{name}");
        }
    };
    died(&group, 1, &["a", "b"]);
    mirror = mirror.after(&feed(&group, mirror.revision()));
    check(&mirror, &[("a", true, false), ("b", true, false), ("c", false, false)]);
    died(&group, 2, &["a"]);
    let feed_2 = feed(&group, mirror.revision());
    assert_eq!(feed_2.put.len(), 1, "only what changed is told");
    mirror = mirror.after(&feed_2);
    check(&mirror, &[("a", false, true), ("b", true, false)]);
    group.pass(31 * MINUTE_MS);
    mirror = mirror.after(&feed(&group, mirror.revision()));
    check(&mirror, &[("a", false, true), ("b", false, false)]);
    // A list whose removals are forgotten comes whole.
    for round in 0..1_200 {
        let name = format!("r{round}");
        died(&group, 1, &[&name]);
        apply(
            &group,
            poison::Command::Lift {
                digest: digest(&name),
                by: "rosa".to_owned(),
                reason: "a test".to_owned(),
            },
        );
    }
    let whole = feed(&group, mirror.revision());
    assert!(whole.is_whole);
    assert_eq!(mirror.after(&whole), Mirror::default().after(&feed(&group, 0)));
    group.pass(25 * 60 * MINUTE_MS);
    mirror = mirror.after(&feed(&group, mirror.revision()));
    check(&mirror, &[("a", false, false)]);
}

#[test]
fn an_operator_lifts_a_digest_with_a_reason() {
    let group = Group::new();
    died(&group, 1, &["a"]);
    died(&group, 2, &["a"]);
    let lift = |reason: &str| {
        let (by, reason) = ("rosa".to_owned(), reason.to_owned());
        apply(&group, poison::Command::Lift { digest: digest("a"), by, reason })
    };
    assert_eq!(lift(" "), poison::Outcome::Lifted(Lifted::NoReason));
    assert_eq!(lift("the engine is mended"), poison::Outcome::Lifted(Lifted::Done));
    assert_eq!(lift("again"), poison::Outcome::Lifted(Lifted::NotListed));
    assert_eq!(standing(&group, "a"), Standing::Clear);
    let list = group.ask(queries::Query::Poison(poison::Query::List));
    let queries::Answer::Poison(poison::Answer::List { rows, lifts }) = list else {
        panic!("{list:?}");
    };
    assert_eq!((rows.len(), lifts.len(), lifts[0].reason.as_str()), (0, 1, "the engine is mended"));
}

#[test]
fn the_list_stays_within_its_bound_and_keeps_what_is_closed() {
    let group = Group::new();
    let mut limits = fescuebay::control::commands::Limits::default();
    limits.poison.max_digests = 8;
    group.commit(Command::SetLimits(Box::new(limits)));
    died(&group, 1, &["a"]);
    died(&group, 2, &["a"]);
    for round in 0..50 {
        group.pass(1_000);
        died(&group, 3 + round, &[&format!("s{round}")]);
    }
    assert!(matches!(standing(&group, "a"), Standing::Closed { .. }));
    assert_eq!(standing(&group, "s49"), Standing::Suspect);
    assert_eq!(feed(&group, 0).put.len(), 8);
}
