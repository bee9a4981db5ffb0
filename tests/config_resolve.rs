//! Resolution of defaults and exceptions, and changes in random order.

mod config_cases;

use config_cases::{accepted, change, exception, fleet_state, setting};
use fescuebay::config::{
    self, Command, Edit, Exception, Fleet, Followed, Key, NewException, Outcome, Scope, Setting,
    State, Subject,
};
use fescuebay::ids::{ExceptionId, Revision};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config(seed: u64) -> Config {
    let (rng_seed, failure_persistence) = (RngSeed::Fixed(seed), None);
    Config { cases: 128, rng_seed, failure_persistence, ..Config::default() }
}

/// Fleets with these edits on top of the shared one.
fn state_with(edits: Vec<Edit>) -> State {
    let mut state = fleet_state();
    let made = change("edits", state.fleet().revision(), edits);
    accepted(state.apply(Command::Change(made), 1000));
    state
}

#[test]
fn the_most_specific_exception_decides() {
    // From weak to strong, as the documentation states.
    let requests = [
        "tenant=desk",
        "class=draft",
        "class=draft,tenant=desk",
        "service=desk",
        "model=quill",
        "tenant=desk,model=quill",
        "class=draft,model=quill",
        "adapter=quill:letters",
        "tenant=desk,adapter=quill:letters",
    ];
    let subject: Scope =
        "tenant=desk,class=draft,service=desk,adapter=quill:letters".parse().unwrap();
    let mut edits = Vec::new();
    for (place, scope) in requests.iter().enumerate() {
        edits.insert(0, exception(scope, "max_waiting", &(place + 1).to_string()));
        let state = state_with(edits.clone());
        let effective = config::resolve(state.fleet(), &subject.subject(0));
        assert_eq!(effective.max_waiting as usize, place + 1, "{scope} is not the strongest");
    }
    let places = [
        "zone=andina-a",
        "model=quill,zone=andina-a",
        "adapter=quill:letters,zone=andina-a",
        "target=runner-1",
        "zone=andina-a,target=runner-1",
    ];
    let subject: Scope = "adapter=quill:letters,zone=andina-a,target=runner-1".parse().unwrap();
    let mut edits = Vec::new();
    for (place, scope) in places.iter().enumerate() {
        let value = if place % 2 == 0 { "no" } else { "yes" };
        edits.insert(0, exception(scope, "placeable", value));
        let state = state_with(edits.clone());
        let effective = config::resolve(state.fleet(), &subject.subject(0));
        assert_eq!(effective.is_placeable, place % 2 == 1, "{scope} is not the strongest");
    }
}

#[test]
fn a_class_is_stronger_than_a_default_and_weaker_than_an_exception() {
    let class: Scope = "class=draft".parse().unwrap();
    let rank = |state: &State| config::resolve(state.fleet(), &class.subject(0)).rank;
    assert_eq!(rank(&state_with(vec![Edit::SetDefault(setting("rank", "7"))])), 1);
    assert_eq!(rank(&state_with(vec![exception("tenant=desk", "rank", "8")])), 1);
    assert_eq!(rank(&state_with(vec![exception("class=draft", "rank", "8")])), 8);
}

#[test]
fn replicas_of_a_model_are_not_those_of_its_adapters() {
    let state = state_with(vec![
        exception("model=quill", "min_replicas", "2"),
        exception("adapter=quill:care", "keep_warm", "00:00-24:00"),
        exception("model=quill", "idle_weight", "5"),
    ]);
    let effective = |scope: &str| {
        let scope: Scope = scope.parse().unwrap();
        config::resolve(state.fleet(), &scope.subject(0))
    };
    assert_eq!(effective("model=quill").least_replicas(0), 2);
    assert_eq!(effective("adapter=quill:letters").least_replicas(0), 0);
    assert_eq!(effective("adapter=quill:care").least_replicas(0), 1);
    assert_eq!(effective("adapter=quill:care").idle_weight, 5.0);
}

#[test]
fn explain_names_the_line_and_what_it_goes_before() {
    let state = state_with(vec![
        Edit::SetDefault(setting("rank", "7")),
        exception("tenant=desk", "rank", "3"),
    ]);
    let subject: Scope = "tenant=desk,class=draft".parse().unwrap();
    let lines = config::explain(state.fleet(), &subject.subject(0));
    let rank = lines.iter().find(|line| line.setting.key == Key::Rank).unwrap();
    assert_eq!(rank.setting, setting("rank", "3"));
    assert_eq!(rank.decided_by, config::Source::Exception(ExceptionId(1)));
    let instead: Vec<String> =
        rank.instead_of.iter().map(|(source, value)| format!("{source}: {value}")).collect();
    assert_eq!(instead, ["class draft: 1", "default: 7", "built in: 5"]);
}

const FIELDS: [(&str, &[&str]); 6] = [
    ("tenant", &["desk", "order"]),
    ("class", &["draft"]),
    ("service", &["desk"]),
    ("model", &["quill", "ledger"]),
    ("zone", &["andina-a", "andina-b"]),
    ("target", &["runner-1", "runner-2"]),
];

/// A scope with some of the fields; adapters stand for their model.
fn scope() -> impl Strategy<Value = Scope> {
    let names = FIELDS.map(|(_, names)| proptest::option::of(0..names.len()));
    (names, any::<bool>()).prop_map(|(places, has_adapter)| {
        let parts = FIELDS.iter().zip(places).filter_map(|((field, names), place)| {
            let name = names[place?];
            Some(match (*field, name, has_adapter) {
                ("model", "quill", true) => "adapter=quill:care".to_owned(),
                _ => format!("{field}={name}"),
            })
        });
        parts.collect::<Vec<_>>().join(",").parse().unwrap()
    })
}

fn any_setting() -> impl Strategy<Value = Setting> {
    prop_oneof![
        (0..10u32).prop_map(|rank| setting("rank", &rank.to_string())),
        (1..9u32).prop_map(|waiting| setting("max_waiting", &waiting.to_string())),
        any::<bool>().prop_map(|flag| setting("placeable", if flag { "yes" } else { "no" })),
        any::<bool>().prop_map(|flag| setting("drain", if flag { "yes" } else { "no" })),
        (0..4u32).prop_map(|replicas| setting("min_replicas", &replicas.to_string())),
    ]
}

fn any_edit() -> impl Strategy<Value = Edit> {
    let new = (scope(), any_setting(), proptest::option::of(0..3000u64)).prop_map(
        |(scope, setting, end_ms)| {
            let settings = vec![setting];
            Edit::AddException(NewException { scope, settings, reason: "test".to_owned(), end_ms })
        },
    );
    prop_oneof![
        6 => new,
        2 => any_setting().prop_map(Edit::SetDefault),
        1 => (1..20u64).prop_map(|id| Edit::RemoveException(ExceptionId(id))),
    ]
}

/// Whether an exception applies to a subject, written out field by field.
fn applies(exception: &Exception, subject: &Subject<'_>, key: Key) -> bool {
    fn is_met<T: PartialEq>(asked: &Option<T>, given: Option<&T>) -> bool {
        asked.as_ref().is_none_or(|asked| given == Some(asked))
    }
    let scope = &exception.scope;
    is_met(&scope.tenant, subject.tenant)
        && is_met(&scope.class, subject.class)
        && is_met(&scope.service, subject.service)
        && is_met(&scope.model, subject.model)
        && is_met(&scope.adapter, subject.adapter)
        && is_met(&scope.availability_zone, subject.availability_zone)
        && is_met(&scope.target, subject.target)
        && exception.end_ms.is_none_or(|end_ms| subject.now_ms < end_ms)
        && !(key == Key::MinReplicas
            && scope.model.is_some()
            && scope.adapter.is_none()
            && subject.adapter.is_some())
}

/// The strength of a scope: its most specific field first.
fn strength(scope: &Scope) -> [bool; 7] {
    [
        scope.target.is_some(),
        scope.availability_zone.is_some(),
        scope.adapter.is_some(),
        scope.model.is_some(),
        scope.service.is_some(),
        scope.class.is_some(),
        scope.tenant.is_some(),
    ]
}

/// The exception that decides a key, found by looking at all of them.
fn decider<'a>(fleet: &'a Fleet, subject: &Subject<'_>, key: Key) -> Option<&'a Exception> {
    let sets = |exception: &&Exception| {
        applies(exception, subject, key)
            && exception.settings.iter().any(|setting| setting.key == key)
    };
    fleet.exceptions().iter().filter(sets).max_by_key(|exception| strength(&exception.scope))
}

proptest! {
    #![proptest_config(config(41))]

    #[test]
    fn resolution_agrees_with_a_search_and_with_explain(
        edits in proptest::collection::vec(any_edit(), 1..40),
        subjects in proptest::collection::vec((scope(), 0..4000u64), 8),
    ) {
        let mut state = fleet_state();
        for (place, edit) in edits.into_iter().enumerate() {
            let made = change(&format!("e{place}"), state.fleet().revision(), vec![edit]);
            state.apply(Command::Change(made), 10);
        }
        let fleet = state.fleet();
        for (scope, now_ms) in &subjects {
            let subject = scope.subject(*now_ms);
            let effective = config::resolve(fleet, &subject);
            for line in config::explain(fleet, &subject) {
                let key = line.setting.key;
                prop_assert_eq!(&line.setting.value, &effective.get(key));
                let expected = decider(fleet, &subject, key);
                if let Some(exception) = expected {
                    prop_assert_eq!(line.decided_by, config::Source::Exception(exception.id));
                } else {
                    let is_exception = matches!(line.decided_by, config::Source::Exception(_));
                    prop_assert!(!is_exception, "{} by {}", key, line.decided_by);
                }
            }
        }
    }

    /// Operators race, resend and work from old revisions; routers hear changes late, twice and
    /// out of order. Each step is an operator, the age of the base, and an edit.
    #[test]
    fn revisions_never_fall_and_every_observer_ends_alike(
        steps in proptest::collection::vec((0..3usize, 0..3u64, any_edit()), 1..60),
        heard in proptest::collection::vec((0..3usize, 0..60usize), 0..200),
    ) {
        let mut state = fleet_state();
        let start = state.fleet().clone();
        let mut replica = state.clone();
        let mut sent: Vec<(config::Change, Outcome)> = Vec::new();
        for (place, (operator, age, edit)) in steps.into_iter().enumerate() {
            let before = state.fleet().revision();
            let base = Revision(before.0.saturating_sub(age));
            let made = change(&format!("o{operator}-{place}"), base, vec![edit]);
            let outcome = state.apply(Command::Change(made.clone()), place as u64);
            replica.apply(Command::Change(made.clone()), place as u64);
            let after = state.fleet().revision();
            let is_accepted = matches!(outcome, Outcome::Accepted { .. });
            prop_assert_eq!(after, if is_accepted { before.next() } else { before });
            prop_assert!(!is_accepted || base == before, "made on an old base");
            sent.push((made, outcome));
            // Any earlier change, sent again, gives its first outcome and changes nothing.
            let (again, first) = &sent[(place * 7 + operator) % sent.len()];
            let fleet = state.fleet().clone();
            prop_assert_eq!(&state.apply(Command::Change(again.clone()), u64::MAX), first);
            prop_assert_eq!(state.fleet(), &fleet);
        }
        prop_assert_eq!(&replica, &state);

        let made: Vec<config::Accepted> =
            state.since(start.revision()).unwrap().cloned().collect();
        let mut routers = [start.clone(), start.clone(), start];
        for (router, place) in heard {
            let Some(accepted) = made.get(place) else { continue };
            let before = routers[router].revision();
            let followed = routers[router].follow(accepted);
            let after = routers[router].revision();
            prop_assert!(after >= before);
            prop_assert_eq!(followed == Followed::Applied, after == accepted.revision && after > before);
        }
        for router in &mut routers {
            for accepted in &made {
                router.follow(accepted);
            }
            prop_assert_eq!(&*router, state.fleet());
        }
    }
}
