//! Changes of the configuration: one wins, conflicts tell what differs, repeats change nothing,
//! bad ones are refused with every problem.

mod config_cases;

use config_cases::{accepted, change, edits, exception, fleet_state, setting};
use fescuebay::config::{Command, Edit, Facts, Fleet, Followed, Outcome, State, state};
use fescuebay::ids::{ExceptionId, Revision};
use fescuebay::units::Bytes;

const NOW_MS: u64 = 1_800_000_000_000;

#[test]
fn of_two_operators_at_one_revision_one_wins() {
    let mut state = fleet_state();
    let base = state.fleet().revision();
    let first = change("first", base, vec![Edit::SetDefault(setting("max_waiting", "7"))]);
    let second = change("second", base, vec![Edit::SetDefault(setting("max_waiting", "8"))]);
    let revision = accepted(state.apply(Command::Change(first.clone()), NOW_MS));
    assert_eq!(revision, base.next());
    let outcome = state.apply(Command::Change(second.clone()), NOW_MS + 1);
    let Outcome::Conflict { current, since } = outcome.clone() else { panic!("{outcome:?}") };
    assert_eq!(current, revision);
    assert_eq!(since.iter().map(|made| &made.change).collect::<Vec<_>>(), [&first]);
    assert_eq!(state.fleet().base().max_waiting, 7);
    // A repeat after a lost answer gives the first outcome, whatever came in between.
    let third = change("third", revision, vec![Edit::SetDefault(setting("max_waiting", "9"))]);
    assert_eq!(accepted(state.apply(Command::Change(third), NOW_MS + 2)), revision.next());
    assert_eq!(state.apply(Command::Change(second), NOW_MS + 3), outcome);
    assert_eq!(accepted(state.apply(Command::Change(first), NOW_MS + 4)), revision);
    assert_eq!(state.fleet().base().max_waiting, 9);
    assert_eq!(state.fleet().revision(), revision.next());
}

#[test]
fn a_change_id_cannot_stand_for_another_change() {
    let mut state = fleet_state();
    let base = state.fleet().revision();
    let made = change("id", base, vec![Edit::SetDefault(setting("rank", "1"))]);
    let other = change("id", base.next(), vec![Edit::SetDefault(setting("rank", "2"))]);
    accepted(state.apply(Command::Change(made), NOW_MS));
    let outcome = state.apply(Command::Change(other), NOW_MS);
    assert!(matches!(outcome, Outcome::Refused { .. }), "{outcome:?}");
    assert_eq!(state.fleet().base().rank, 1);
}

/// Edits that are refused, and a part of each problem that must be named.
type BadChange = (&'static str, &'static str, &'static [&'static str]);

const BAD_CHANGES: &[BadChange] = &[
    ("nothing", "[]", &["it changes nothing"]),
    (
        "no reason",
        r#"[{"add_exception":{"scope":"model=quill","settings":[{"key":"rank","value":"1"}],"reason":" "}}]"#,
        &["needs a written reason"],
    ),
    (
        "unknown names",
        r#"[{"add_exception":{"scope":"class=x,service=y,adapter=quill:z","settings":[{"key":"rank","value":"1"}],"reason":"r"}}]"#,
        &["no adapter quill:z", "no class x", "no service y"],
    ),
    (
        "unknown model",
        r#"[{"add_exception":{"scope":"model=quil","settings":[{"key":"rank","value":"1"}],"reason":"r"}}]"#,
        &["there is no model quil"],
    ),
    (
        "no scope",
        r#"[{"add_exception":{"scope":"","settings":[{"key":"rank","value":"1"}],"reason":"r"}}]"#,
        &["names nothing"],
    ),
    (
        "no settings",
        r#"[{"add_exception":{"scope":"model=quill","settings":[],"reason":"r"}}]"#,
        &["sets nothing"],
    ),
    (
        "key twice",
        r#"[{"add_exception":{"scope":"model=quill","settings":[{"key":"rank","value":"1"},{"key":"rank","value":"2"}],"reason":"r"}}]"#,
        &["rank is set twice"],
    ),
    (
        "ended",
        r#"[{"add_exception":{"scope":"model=quill","settings":[{"key":"rank","value":"1"}],"reason":"r","end_ms":1800000000000}}]"#,
        &["ends before it begins"],
    ),
    (
        "wrong reach",
        r#"[{"add_exception":{"scope":"tenant=desk","settings":[{"key":"min_replicas","value":"1"},{"key":"drain","value":"yes"},{"key":"store_at_once","value":"2"},{"key":"placeable","value":"no"}],"reason":"r"}}]"#,
        &[
            "min_replicas: it governs replicas",
            "drain: it governs targets",
            "store_at_once: it is for the whole fleet",
            "placeable: it governs places",
        ],
    ),
    (
        "request key of a place",
        r#"[{"add_exception":{"scope":"zone=andina-a","settings":[{"key":"deadline","value":"1 s"}],"reason":"r"}}]"#,
        &["deadline: it governs requests"],
    ),
    (
        "contradiction",
        r#"[{"add_exception":{"scope":"model=quill","settings":[{"key":"rank","value":"1"}],"reason":"a"}},{"add_exception":{"scope":"model=quill","settings":[{"key":"rank","value":"2"}],"reason":"b"}}]"#,
        &["edit 2: exception 1 sets rank for model=quill already"],
    ),
    (
        "limits cross",
        r#"[{"add_exception":{"scope":"model=quill","settings":[{"key":"min_replicas","value":"5"}],"reason":"r"}}]"#,
        &["min_replicas 5 is above max_replicas 3"],
    ),
    (
        "defaults cross",
        r#"[{"set_default":{"key":"max_replicas","value":"0"}},{"set_default":{"key":"keep_warm","value":"18:00-24:00"}}]"#,
        &["keep_warm 18:00-24:00 contradicts max_replicas 0"],
    ),
    (
        "draining all",
        r#"[{"set_default":{"key":"drain","value":"yes"}}]"#,
        &["drain is no default"],
    ),
    ("unknown exception", r#"[{"remove_exception":7}]"#, &["there is no exception 7"]),
    (
        "unknown removals",
        r#"[{"remove_model":"a"},{"remove_class":"b"},{"remove_service":"c"},{"remove_adapter":["quill","d"]},{"put_adapter":["e",{"name":"f","version":"1","memory_bytes":1}]}]"#,
        &[
            "edit 1: there is no model a",
            "edit 2: there is no class b",
            "edit 3: there is no service c",
            "edit 4: there is no adapter quill:d",
            "edit 5: there is no model e",
        ],
    ),
    (
        "model in use",
        r#"[{"add_exception":{"scope":"adapter=quill:letters","settings":[{"key":"rank","value":"1"}],"reason":"r"}},{"remove_adapter":["quill","letters"]},{"remove_model":"quill"}]"#,
        &["edit 2: exception 1 still names it", "edit 3: exception 1 still names it"],
    ),
    (
        "bad catalogue",
        r#"[{"put_model":{"name":"m","version":"1","memory_bytes":0,"slots":0,"adapters":[]}},{"put_class":{"name":"c","rank":12,"weight":0,"deadline_ms":1,"is_important":false}},{"put_service":{"name":"s","idempotent":[{"method":"post","path":"x"}]}}]"#,
        &[
            "m takes no memory",
            "m has no slots",
            "class c: rank",
            "class c: weight",
            "class c: deadline",
            "no HTTP method in capitals",
            "does not begin with /",
        ],
    ),
];

#[test]
fn bad_changes_are_refused_with_every_problem() {
    for (name, json, expected) in BAD_CHANGES {
        let mut state = fleet_state();
        let before = state.fleet().clone();
        let change = change("bad", before.revision(), edits(json));
        let outcome = state.apply(Command::Change(change), NOW_MS);
        let Outcome::Refused { problems } = &outcome else { panic!("{name}: {outcome:?}") };
        let told: Vec<String> = problems.iter().map(ToString::to_string).collect();
        for part in *expected {
            assert!(told.iter().any(|what| what.contains(part)), "{name}: {part:?} in {told:#?}");
        }
        assert_eq!(problems.len(), expected.len(), "{name}: {told:#?}");
        assert_eq!(*state.fleet(), before, "{name}");
    }
}

#[test]
fn what_only_the_leader_knows_is_checked_before_the_commit() {
    let state = fleet_state();
    let target = |id: &str, memory_bytes| {
        (id.parse().unwrap(), "andina-a".parse().unwrap(), Bytes(memory_bytes))
    };
    let targets = [target("runner-1", 24 << 30), target("runner-3", 16 << 30)];
    let facts = Facts::new(targets, Vec::new(), vec!["desk".parse().unwrap()]);
    let cases = [
        (exception("tenant=dusk", "rank", "1"), "there is no tenant dusk"),
        (exception("zone=andina-x", "drain", "yes"), "there is no availability zone andina-x"),
        (exception("target=runner-2", "drain", "yes"), "there is no target runner-2"),
        (exception("zone=andina-a", "placeable", "no"), "no availability zone would be left for"),
        (exception("model=quill", "min_replicas", "3"), "kept at any demand would take 48 GiB"),
        (exception("adapter=quill:care", "min_replicas", "3"), ""),
        (Edit::SetDefault(setting("min_replicas", "2")), "would take 49 GiB"),
        (
            edits(r#"[{"put_model":{"name":"big","version":"1","memory_bytes":34359738368,"slots":1,"adapters":[]}}]"#)
                .remove(0),
            "big takes 32 GiB, the largest target has 24 GiB",
        ),
    ];
    for (edit, part) in cases {
        let change = change("facts", state.fleet().revision(), vec![edit]);
        let outcome = state.check(&change, &facts, NOW_MS);
        if part.is_empty() {
            assert_eq!(outcome, None, "it fits");
            continue;
        }
        let Some(Outcome::Refused { problems }) = &outcome else { panic!("{part}: {outcome:?}") };
        assert!(problems[0].what.contains(part), "{part}: {problems:?}");
        assert_eq!(state.check(&change, &Facts::default(), NOW_MS), None, "{part}");
    }
}

#[test]
fn what_was_wrong_before_does_not_stop_other_changes() {
    let mut state = fleet_state();
    let mut more = exception("tenant=desk,model=quill", "rank", "1");
    let mut limit = exception("model=quill", "max_replicas", "9");
    for edit in [&mut more, &mut limit] {
        if let Edit::AddException(new) = edit {
            new.end_ms = Some(NOW_MS + 1000);
        }
    }
    let edits = vec![more, limit, exception("model=quill", "min_replicas", "5")];
    let made = change("made", state.fleet().revision(), edits);
    accepted(state.apply(Command::Change(made), NOW_MS));
    // The higher limit has ended, and a zone with most of the memory is lost.
    let facts = Facts { memory_bytes: Some(Bytes(1)), ..Facts::default() };
    let other =
        change("other", state.fleet().revision(), vec![exception("model=ledger", "rank", "2")]);
    assert_eq!(state.check(&other, &facts, NOW_MS + 5000), None);
    accepted(state.apply(Command::Change(other), NOW_MS + 5000));
    let worse = exception("adapter=quill:care", "min_replicas", "5");
    let worse = change("worse", state.fleet().revision(), vec![worse]);
    let outcome = state.apply(Command::Change(worse), NOW_MS + 5000);
    assert!(matches!(outcome, Outcome::Refused { .. }), "{outcome:?}");
}

#[test]
fn an_exception_that_ended_is_not_in_force_and_then_not_listed() {
    let mut state = fleet_state();
    let mut ends = exception("model=quill", "rank", "1");
    if let Edit::AddException(new) = &mut ends {
        new.end_ms = Some(NOW_MS + 1000);
    }
    let made = change("ends", state.fleet().revision(), vec![ends]);
    accepted(state.apply(Command::Change(made), NOW_MS));
    let scope: fescuebay::config::Scope = "model=quill".parse().unwrap();
    let rank = |state: &State, now_ms| {
        fescuebay::config::resolve(state.fleet(), &scope.subject(now_ms)).rank
    };
    assert_eq!((rank(&state, NOW_MS + 999), rank(&state, NOW_MS + 1000)), (1, 5));
    // The same key may be set again once the first exception ended.
    let again =
        change("again", state.fleet().revision(), vec![exception("model=quill", "rank", "2")]);
    accepted(state.apply(Command::Change(again), NOW_MS + 1000));
    assert_eq!(state.fleet().exceptions().len(), 2);
    let later =
        change("later", state.fleet().revision(), vec![Edit::SetDefault(setting("rank", "6"))]);
    accepted(state.apply(Command::Change(later), NOW_MS + 2 * 86_400_000));
    let ids: Vec<ExceptionId> = state.fleet().exceptions().iter().map(|e| e.id).collect();
    assert_eq!(ids, [ExceptionId(2)]);
}

#[test]
fn routers_follow_changes_and_see_gaps() {
    let mut state = fleet_state();
    let mut router = state.fleet().clone();
    let base = state.fleet().revision();
    for rank in 1..4 {
        let edit = Edit::SetDefault(setting("rank", &rank.to_string()));
        let change = change(&format!("change-{rank}"), state.fleet().revision(), vec![edit]);
        accepted(state.apply(Command::Change(change), NOW_MS));
    }
    let made: Vec<_> = state.since(base).unwrap().cloned().collect();
    assert_eq!(router.follow(&made[1]), Followed::Gap);
    assert_eq!(router.follow(&made[0]), Followed::Applied);
    assert_eq!(router.follow(&made[0]), Followed::Known);
    assert_eq!(router.follow(&made[1]), Followed::Applied);
    assert_eq!(router.follow(&made[2]), Followed::Applied);
    assert_eq!(router, *state.fleet());
}

#[test]
fn the_audit_trail_is_bounded_and_a_late_router_is_told() {
    let mut state = State::default();
    for number in 0..state::TRAIL_CHANGES as u64 + 5 {
        let edit = Edit::SetDefault(setting("max_waiting", &(number % 90 + 1).to_string()));
        let change = change(&format!("change-{number}"), Revision(number), vec![edit]);
        accepted(state.apply(Command::Change(change), NOW_MS + number));
    }
    assert_eq!(state.trail().count(), state::TRAIL_CHANGES);
    assert!(
        state.since(Revision(4)).is_none(),
        "changes 5 and later are kept, change 5 is missing"
    );
    assert_eq!(state.since(Revision(5)).unwrap().count(), state::TRAIL_CHANGES);
    // A repeat that is older than the trail cannot be made twice: its base is gone.
    let old = change("change-0", Revision(0), vec![Edit::SetDefault(setting("max_waiting", "1"))]);
    assert!(matches!(state.apply(Command::Change(old), NOW_MS), Outcome::Conflict { .. }));
}

#[test]
fn a_state_survives_its_encoding() {
    let mut state = fleet_state();
    let base = state.fleet().revision();
    let made = change("made", base, vec![exception("zone=andina-a", "drain", "yes")]);
    accepted(state.apply(Command::Change(made.clone()), NOW_MS));
    state.apply(Command::Change(change("late", base, vec![])), NOW_MS);
    let bytes = postcard::to_stdvec(&state).unwrap();
    let restored: State = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(restored, state);
    let zone = "zone=andina-a".parse::<fescuebay::config::Scope>().unwrap();
    assert!(fescuebay::config::resolve(restored.fleet(), &zone.subject(NOW_MS)).is_draining);
    let json = serde_json::to_string(state.fleet()).unwrap();
    assert_eq!(serde_json::from_str::<Fleet>(&json).unwrap(), *state.fleet());
}

#[test]
fn the_catalogues_of_the_examples_are_accepted() {
    for team in ["sanctuary", "gilders"] {
        let file = format!("{}/examples/{team}/catalogue.json", env!("CARGO_MANIFEST_DIR"));
        let edits = edits(&std::fs::read_to_string(file).unwrap());
        let mut state = State::default();
        let change = change("catalogue", Revision(0), edits);
        assert_eq!(accepted(state.apply(Command::Change(change), NOW_MS)), Revision(1));
        assert!(!state.fleet().catalogue().models.is_empty());
    }
}
