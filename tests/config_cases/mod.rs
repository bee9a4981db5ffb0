//! Changes and fleets that the tests of the configuration share.

#![allow(dead_code, reason = "each test file uses a part of it")]

use fescuebay::config::{Change, Command, Edit, NewException, Outcome, Setting, State};
use fescuebay::ids::Revision;

/// A setting of the key called `name`.
pub fn setting(name: &str, value: &str) -> Setting {
    Setting::read(name, value).unwrap()
}

/// Adds an exception that sets one key.
pub fn exception(scope: &str, key: &str, value: &str) -> Edit {
    Edit::AddException(NewException {
        scope: scope.parse().unwrap(),
        settings: vec![setting(key, value)],
        reason: "a test".to_owned(),
        end_ms: None,
    })
}

/// A change by one operator.
pub fn change(id: &str, base: Revision, edits: Vec<Edit>) -> Change {
    let (id, author) = (id.parse().unwrap(), "maria".parse().unwrap());
    Change { id, base, author, reason: String::new(), edits }
}

/// Edits as operators write them.
pub fn edits(json: &str) -> Vec<Edit> {
    serde_json::from_str(json).unwrap()
}

/// The revision of an accepted change.
pub fn accepted(outcome: Outcome) -> Revision {
    match outcome {
        Outcome::Accepted { revision, .. } => revision,
        other => panic!("not accepted: {other:?}"),
    }
}

/// A fleet with a model of 16 GiB, two adapters, a class and a service.
pub fn fleet_state() -> State {
    let edits = edits(
        r#"[
        {"put_model":{"name":"quill","version":"1","memory_bytes":17179869184,"slots":8,"adapters":[
            {"name":"letters","version":"1","memory_bytes":268435456},
            {"name":"care","version":"1","memory_bytes":268435456}]}},
        {"put_model":{"name":"ledger","version":"1","memory_bytes":8589934592,"slots":8,"adapters":[]}},
        {"put_class":{"name":"draft","rank":1,"weight":20,"deadline_ms":600000,"is_important":true}},
        {"put_service":{"name":"desk","idempotent":[{"method":"POST","path":"/search"}]}}
        ]"#,
    );
    let mut state = State::default();
    accepted(state.apply(Command::Change(change("catalogue", Revision(0), edits)), 0));
    state
}
