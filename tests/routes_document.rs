//! The document of routes: what is refused, and which version is in force however it comes.

use bytes::Bytes;
use fescuebay::platform;
use fescuebay::routes::state::{Command, Outcome, State};
use fescuebay::routes::{self, Document, Version, check, index};
use proptest::prelude::*;

const GOOD: &str = r#"{"version":7,"more":true,"routes":[
 {"name":"one","host":"h.example","pathPrefix":"/one/","kind":"safe","timeoutMs":900,
  "service":"app","maxAttempts":2,"more":[1]},
 {"name":"two","host":"h.example","pathPrefix":"/two/","kind":"unsafe","timeoutMs":900,
  "trafficSplit":[{"service":"app","weight":0.5},{"service":"other","weight":0}]}],
 "services":[{"name":"app","more":{}},{"name":"other"}]}"#;

fn read(text: &str) -> routes::Result<Document> {
    let document = platform::document::decode(text.as_bytes())?;
    check::check(&document)?;
    Ok(document)
}

#[test]
fn unknown_fields_are_passed_over() {
    let document = read(GOOD).unwrap();
    assert_eq!((document.version, document.routes.len()), (Version(7), 2));
}

#[test]
fn what_is_invalid_is_refused_with_its_place() {
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
        let text = GOOD.replacen(old, new, 1);
        assert_ne!(text, GOOD, "{old} is not in the text");
        let error = read(&text).expect_err(new);
        let error = error.current_context().to_string();
        assert!(error.contains(place), "{new}: {error}");
    }
    for end in 0..GOOD.len() {
        assert!(read(&GOOD[..end]).is_err(), "cut after {end} bytes");
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

    /// Two operators send documents of rising versions at the same time; each may come late and more
    /// than once, in any order.
    #[test]
    fn the_highest_version_is_in_force_whatever_is_resent_or_overtaken(
        sent in proptest::collection::vec(0..8_usize, 1..60),
    ) {
        // Two of them have the same version: the first that comes stays.
        let documents = [
            command(1, 'a'), command(2, 'b'), command(5, 'a'), command(5, 'b'),
            command(9, 'a'), command(12, 'b'), command(40, 'a'), command(41, 'b'),
        ];
        let mut state = State::default();
        let mut highest: Option<Command> = None;
        for at in sent {
            let document = &documents[at];
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

/// Version 0 is a version like any other, also as the first.
#[test]
fn a_first_document_of_version_0_is_in_force() {
    let mut state = State::default();
    assert_eq!(state.apply(command(0, 'a')), Outcome::Stored);
    assert_eq!(state.apply(command(0, 'b')), Outcome::Kept(Version(0)));
    assert_eq!(state.text(), "0a");
}

#[test]
fn the_longest_prefix_of_the_host_is_taken() {
    let text = GOOD.replace("/two/", "/one/more/").replace(r#""weight":0}"#, r#""weight":1}"#);
    let index = index::Index::new(read(&text).unwrap());
    let found = |host: &str, path: &str| index.find(host, path).map(|route| route.name.clone());
    assert_eq!(found("h.example", "/one/x").as_deref(), Some("one"));
    assert_eq!(found("h.example", "/one/more/x").as_deref(), Some("two"));
    assert_eq!(found("h.example", "/one/more").as_deref(), Some("one"));
    assert_eq!(found("h.example", "/on"), None);
    assert_eq!(found("other.example", "/one/x"), None);
}
