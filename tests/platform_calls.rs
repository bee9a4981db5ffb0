//! Calls of targets and operators as they come from the wire, wrong ones among them.

use bytes::Bytes;
use fescuebay::coordinator::api::{ApiRequest, ApiResponse, Protocol as _};
use fescuebay::ids::Incarnation;
use fescuebay::platform;
use fescuebay::target::order::{Kind, Tier};

const GOOD: &str = r#"{"service":"engines","address":"10.1.0.9:8080","zone":"z-1","version":"v1",
  "slots":64,"state":"ready","coldRemainingMs":0,"stage":"unified","born":1793091903381,
  "models":[{"name":"m1","version":3,"adapters":["a2"],"more":1}],
  "atHand":{"inMemory":["m2"],"onDisk":["m2","m3"]},"sequence":4,"more":[{}]}"#;

fn call(method: &str, path: &str, body: &str) -> Result<ApiRequest, ApiResponse> {
    let request = http::Request::builder().method(method).uri(path).body(()).unwrap();
    platform::CALLS.parse_request(&request.into_parts().0, Bytes::copy_from_slice(body.as_bytes()))
}

/// The status of the answer to a call that is refused.
fn refused(method: &str, path: &str, body: &str) -> Option<u16> {
    let answer = call(method, path, body).err()?;
    Some(platform::CALLS.encode_response(answer).status().as_u16())
}

#[test]
fn an_announcement_is_read_whole() {
    let Ok(ApiRequest::Announce(state)) = call("PUT", "/api/instances/i-1", GOOD) else { panic!() };
    assert_eq!((state.target.as_str(), state.sequence, state.load.slots), ("i-1", 4, 64));
    assert_eq!((state.kind, state.incarnation), (Kind::Assistant, Incarnation(1793091903381)));
    let held: Vec<String> = state.holds.iter().map(|held| held.model.to_string()).collect();
    assert_eq!(held.len(), 2, "the model and its adapter: {held:?}");
    let copies = |tier| state.cached.iter().filter(|copy| copy.tier == tier).count();
    assert_eq!((copies(Tier::Memory), copies(Tier::Disk)), (1, 2));
    assert!(!state.leaving);
    let leaving = GOOD.replace(r#""ready""#, r#""draining","remainingMs":900"#);
    let Ok(ApiRequest::Announce(state)) = call("PUT", "/api/instances/i-1", &leaving) else {
        panic!()
    };
    assert!(state.leaving);
}

#[test]
fn a_wrong_announcement_is_refused_and_names_no_target() {
    let cases = [
        (r#""service":"engines","#, ""),
        (r#""service":"engines""#, r#""service":7"#),
        (r#""service":"engines""#, r#""service":"""#),
        (r#""address":"10.1.0.9:8080","#, ""),
        ("10.1.0.9:8080", "10.1.0.9"),
        ("10.1.0.9:8080", "nowhere:8080"),
        (r#""slots":64"#, r#""slots":"many""#),
        (r#""slots":64"#, r#""slots":-1"#),
        (r#""state":"ready""#, r#""state":"sleeping""#),
        (r#""state":"ready","#, ""),
        (r#""sequence":4"#, r#""sequence":"four""#),
        (r#""sequence":4"#, r#""sequence":-4"#),
        (r#""sequence":4,"#, ""),
        (r#""born":1793091903381"#, r#""born":"today""#),
        (r#""zone":"z-1""#, r#""zone":null"#),
        (r#""name":"m1""#, r#""name":""#),
        (r#""models":["#, r#""models":[7,"#),
        (r#""more":[{}]}"#, r#""more":[{}]"#),
    ];
    for (old, new) in cases {
        let body = GOOD.replacen(old, new, 1);
        assert_ne!(body, GOOD, "{old} is not in the text");
        assert_eq!(refused("PUT", "/api/instances/i-1", &body), Some(400), "{old} as {new}");
    }
    for end in 0..GOOD.len() {
        assert_eq!(refused("PUT", "/api/instances/i-1", &GOOD[..end]), Some(400), "cut at {end}");
    }
    assert_eq!(refused("PUT", "/api/instances/", GOOD), Some(400), "a target without a name");
}

#[test]
fn a_target_that_leaves_may_say_in_which_life() {
    let left = |body: &str| match call("DELETE", "/api/instances/i-1", body) {
        Ok(ApiRequest::Leave(target, life)) => (target.to_string(), life),
        other => panic!("{other:?}"),
    };
    assert_eq!(left(r#"{"born":5}"#), ("i-1".to_owned(), Some(Incarnation(5))));
    assert_eq!(left(""), ("i-1".to_owned(), None));
    assert_eq!(left("{}"), ("i-1".to_owned(), None));
    // What cannot be read may be of another life, so it ends none.
    for body in ["{", r#"{"born":"x"}"#, r#"{"born":-1}"#, "gone"] {
        assert_eq!(refused("DELETE", "/api/instances/i-1", body), Some(400), "{body}");
    }
}

#[test]
fn unknown_calls_are_not_found() {
    for (method, path) in [
        ("GET", "/"),
        ("POST", "/api/config"),
        ("DELETE", "/api/config"),
        ("GET", "/api/instances/i-1"),
        ("POST", "/api/instances/i-1"),
        ("PUT", "/api/instances"),
    ] {
        assert_eq!(refused(method, path, GOOD), Some(404), "{method} {path}");
    }
}
