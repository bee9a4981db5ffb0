//! Route documents: validation, versions that arrive out of order, and route lookup.

use bytes::Bytes;
use fescuebay::platform;
use fescuebay::routes::state::{Command, Outcome, State};
use fescuebay::routes::{self, Document, Version, check, index};
use proptest::prelude::*;

const DOCUMENT: &str = r#"{"version":7,"more":true,"routes":[
 {"name":"one","host":"h.example","pathPrefix":"/one/","kind":"safe","timeoutMs":900,
  "service":"app","maxAttempts":2,"more":[1]},
 {"name":"two","host":"h.example","pathPrefix":"/two/","kind":"unsafe","timeoutMs":900,
  "trafficSplit":[{"service":"app","weight":0.5},{"service":"other","weight":0}]}],
 "services":[{"name":"app","more":{}},{"name":"other"}]}"#;

fn decode_and_check(text: &str) -> routes::Result<Document> {
    let document = platform::document::decode(text.as_bytes())?;
    check::check(&document)?;
    Ok(document)
}

#[test]
fn unknown_fields_are_ignored() {
    let document = decode_and_check(DOCUMENT).unwrap();
    assert_eq!((document.version, document.routes.len()), (Version(7), 2));
}

#[test]
fn an_invalid_document_is_rejected_with_the_place_of_the_problem() {
    let one = r#""pathPrefix":"/one/""#;
    let cases = [
        (r#""version":7"#, r#""version":"seven""#, "document"),
        (r#""version":7,"#, "", "version"),
        (r#""services":"#, r#""services":[],"others":"#, "routes[0].service"),
        (r#""service":"app","maxA"#, r#""service":"nobody","maxA"#, "routes[0].service"),
        (r#""service":"app","maxA"#, r#""maxA"#, "routes[0].service"),
        (r#"{"service":"other","#, r#"{"service":"nobody","#, "routes[1].service"),
        (r#""weight":0.5"#, r#""weight":0"#, "routes[1].weights"),
        (r#""weight":0.5"#, r#""weight":-1"#, "routes[1].weights"),
        (r#""kind":"safe","timeoutMs":900"#, r#""kind":"safe","timeoutMs":0"#, "routes[0].timeout"),
        (r#""kind":"safe""#, r#""kind":"odd""#, "document"),
        (r#""pathPrefix":"/two/""#, one, "routes[1].path prefix"),
        (
            r#""host":"h.example","pathPrefix":"/two/""#,
            r#""host":"H.EXAMPLE","pathPrefix":"/one/""#,
            "routes[1].path prefix",
        ),
        (one, r#""pathPrefix":"/one""#, "routes[0].path prefix"),
        (one, r#""pathPrefix":"one/""#, "routes[0].path prefix"),
        (r#"{"name":"other"}"#, r#"{"name":""}"#, "services[1].name"),
        ("]}", "]", "document"),
    ];
    for (old, new, place) in cases {
        let text = DOCUMENT.replacen(old, new, 1);
        assert_ne!(text, DOCUMENT, "{old} is not in the text");
        let error = decode_and_check(&text).expect_err(new);
        let error = error.current_context().to_string();
        assert!(error.contains(place), "{new}: {error}");
    }
    for end in 0..DOCUMENT.len() {
        assert!(decode_and_check(&DOCUMENT[..end]).is_err(), "cut after {end} bytes");
    }
    assert!(platform::document::decode(b"\xff\xfe{}").is_err());
}

fn command(version: u64, author: char) -> Command {
    Command { version: Version(version), text: Bytes::from(format!("{version}{author}")) }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Two operators send documents with increasing versions concurrently. Each document may arrive
    /// late, more than once and in any order.
    #[test]
    fn resent_and_reordered_documents_never_replace_a_higher_version(
        sent in proptest::collection::vec(0..8_usize, 1..60),
    ) {
        // Two documents have version 5: the one that arrives first stays in force.
        let documents = [
            command(1, 'a'), command(2, 'b'), command(5, 'a'), command(5, 'b'),
            command(9, 'a'), command(12, 'b'), command(40, 'a'), command(41, 'b'),
        ];
        let mut state = State::default();
        let mut highest: Option<Command> = None;
        for index in sent {
            let document = &documents[index];
            let is_newer = highest.as_ref().is_none_or(|known| document.version > known.version);
            let outcome = state.apply(document.clone());
            if is_newer {
                highest = Some(document.clone());
            }
            let known = highest.as_ref().unwrap();
            let expected = if is_newer { Outcome::Stored } else { Outcome::Kept(known.version) };
            prop_assert_eq!(outcome, expected);
            prop_assert_eq!((state.version(), state.text()), (known.version, &known.text));
        }
    }
}

/// A document with version 0 must not be mistaken for the initial state, whose version is also 0.
#[test]
fn a_first_document_of_version_0_is_stored() {
    let mut state = State::default();
    assert_eq!(state.apply(command(0, 'a')), Outcome::Stored);
    assert_eq!(state.apply(command(0, 'b')), Outcome::Kept(Version(0)));
    assert_eq!(state.text(), "0a");
}

#[test]
fn a_request_matches_the_longest_path_prefix_of_its_host() {
    let text = DOCUMENT.replace("/two/", "/one/more/").replace(r#""weight":0}"#, r#""weight":1}"#);
    let index = index::Index::new(decode_and_check(&text).unwrap());
    let found = |host: &str, path: &str| index.find(host, path).map(|route| route.name.clone());
    assert_eq!(found("h.example", "/one/x").as_deref(), Some("one"));
    assert_eq!(found("h.example", "/one/more/x").as_deref(), Some("two"));
    assert_eq!(found("h.example", "/one/more").as_deref(), Some("one"));
    assert_eq!(found("h.example", "/on"), None);
    assert_eq!(found("other.example", "/one/x"), None);
}
