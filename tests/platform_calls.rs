//! Parsing of valid and invalid HTTP requests from targets and operators.

use bytes::Bytes;
use fescuebay::coordinator::api::{ApiRequest, ApiResponse, Protocol as _};
use fescuebay::ids::Incarnation;
use fescuebay::platform;
use fescuebay::target::order::{Kind, Tier};

const VALID: &str = r#"{"service":"engines","address":"10.1.0.9:8080","zone":"z-1","version":"v1",
  "slots":64,"state":"ready","coldRemainingMs":0,"stage":"unified","born":1793091903381,
  "models":[{"name":"m1","version":3,"adapters":["a2"],"more":1}],
  "atHand":{"inMemory":["m2"],"onDisk":["m2","m3"]},"sequence":4,"more":[{}]}"#;

fn parse(method: &str, path: &str, body: &str) -> Result<ApiRequest, ApiResponse> {
    let request = http::Request::builder().method(method).uri(path).body(()).unwrap();
    platform::CALLS.parse_request(&request.into_parts().0, Bytes::copy_from_slice(body.as_bytes()))
}

/// The status of the error response, or nothing if the request is valid.
fn error_status(method: &str, path: &str, body: &str) -> Option<u16> {
    let response = parse(method, path, body).err()?;
    Some(platform::CALLS.encode_response(response).status().as_u16())
}

#[test]
fn a_valid_announcement_is_decoded() {
    let Ok(ApiRequest::Announce(state)) = parse("PUT", "/api/instances/i-1", VALID) else {
        panic!()
    };
    assert_eq!((state.target.as_str(), state.sequence, state.load.slots), ("i-1", 4, 64));
    assert_eq!((state.kind, state.incarnation), (Kind::Assistant, Incarnation(1793091903381)));
    let held: Vec<String> = state.holds.iter().map(|held| held.model.to_string()).collect();
    assert_eq!(held.len(), 2, "the model and its adapter: {held:?}");
    let copies = |tier| state.cached.iter().filter(|copy| copy.tier == tier).count();
    assert_eq!((copies(Tier::Memory), copies(Tier::Disk)), (1, 2));
    assert!(!state.leaving);
    assert_eq!(state.software, Some("v1".parse().unwrap()));
    let leaving = VALID.replace(r#""ready""#, r#""draining","remainingMs":900"#);
    let Ok(ApiRequest::Announce(state)) = parse("PUT", "/api/instances/i-1", &leaving) else {
        panic!()
    };
    assert!(state.leaving);
}

#[test]
fn an_invalid_announcement_is_rejected() {
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
        (r#""version":"v1","#, ""),
        (r#""version":"v1""#, r#""version":1"#),
        (r#""version":"v1""#, r#""version":"""#),
        (r#""name":"m1""#, r#""name":""#),
        (r#""models":["#, r#""models":[7,"#),
        (r#""more":[{}]}"#, r#""more":[{}]"#),
    ];
    for (old, new) in cases {
        let body = VALID.replacen(old, new, 1);
        assert_ne!(body, VALID, "{old} is not in the text");
        assert_eq!(error_status("PUT", "/api/instances/i-1", &body), Some(400), "{old} as {new}");
    }
    for end in 0..VALID.len() {
        assert_eq!(
            error_status("PUT", "/api/instances/i-1", &VALID[..end]),
            Some(400),
            "cut at {end}"
        );
    }
    assert_eq!(error_status("PUT", "/api/instances/", VALID), Some(400), "a target without a name");
}

#[test]
fn a_leave_notice_states_an_optional_incarnation() {
    let parse_leave = |body: &str| match parse("DELETE", "/api/instances/i-1", body) {
        Ok(ApiRequest::Leave(target, incarnation)) => (target.to_string(), incarnation),
        other => panic!("{other:?}"),
    };
    assert_eq!(parse_leave(r#"{"born":5}"#), ("i-1".to_owned(), Some(Incarnation(5))));
    assert_eq!(parse_leave(""), ("i-1".to_owned(), None));
    assert_eq!(parse_leave("{}"), ("i-1".to_owned(), None));
    // An unreadable notice may concern another incarnation, so it must not end any.
    for body in ["{", r#"{"born":"x"}"#, r#"{"born":-1}"#, "gone"] {
        assert_eq!(error_status("DELETE", "/api/instances/i-1", body), Some(400), "{body}");
    }
}

#[test]
fn unknown_paths_and_methods_are_not_found() {
    for (method, path) in [
        ("GET", "/"),
        ("POST", "/api/config"),
        ("DELETE", "/api/config"),
        ("GET", "/api/instances/i-1"),
        ("POST", "/api/instances/i-1"),
        ("PUT", "/api/instances"),
    ] {
        assert_eq!(error_status(method, path, VALID), Some(404), "{method} {path}");
    }
}
