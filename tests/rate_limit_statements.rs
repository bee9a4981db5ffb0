//! Tests of what routers conclude from the rate limits that targets name in their responses.

use fescuebay::gateway::RequestProtocol as _;
use fescuebay::ids::Incarnation;
use fescuebay::platform;
use fescuebay::rate_limit::statements::{MAX_TARGETS, StatedAt, Statements};
use fescuebay::rate_limit::{Statement, TargetLife};
use fescuebay::units::PerSecond;
use http::{HeaderMap, HeaderValue, StatusCode};

fn life(name: &str, incarnation: u64) -> TargetLife {
    TargetLife { target: name.parse().unwrap(), incarnation: Incarnation(incarnation) }
}

fn limited(rate: f64) -> Statement {
    Statement::Limited(PerSecond(rate))
}

fn at(sent_ms: u64, read_ms: u64) -> StatedAt {
    StatedAt { sent_ms, read_ms }
}

fn limit(statements: &Statements, life: &TargetLife) -> Option<f64> {
    statements.limit(&life.target, life.incarnation).map(|rate| rate.0)
}

#[test]
fn a_limit_does_not_end_by_an_answer_that_was_overtaken() {
    let a = life("a", 1);
    let mut statements = Statements::default();
    assert!(statements.record(&a, limited(2.0), at(100, 200)));
    assert!(!statements.record(&a, Statement::Unlimited, at(150, 210)), "sent before it was read");
    assert!(!statements.record(&a, limited(9.0), at(150, 220)), "a looser one alike");
    assert_eq!(limit(&statements, &a), Some(2.0));
    assert!(statements.record(&a, limited(1.0), at(50, 230)), "a stricter one holds at once");
    assert!(!statements.record(&a, Statement::Unknown, at(300, 400)));
    assert!(statements.record(&a, Statement::Unlimited, at(231, 300)));
    assert_eq!(limit(&statements, &a), None);
    assert!(statements.record(&a, limited(3.0), at(231, 300)), "and may begin again");
}

#[test]
fn a_limit_holds_for_one_life_of_one_target() {
    let mut statements = Statements::default();
    assert!(statements.record(&life("a", 2), limited(2.0), at(1, 2)));
    assert_eq!(limit(&statements, &life("a", 3)), None);
    assert_eq!(limit(&statements, &life("b", 2)), None);
    assert!(!statements.record(&life("a", 1), limited(0.5), at(3, 4)), "an earlier life");
    assert!(!statements.record(&life("a", 3), Statement::Unlimited, at(3, 4)));
    assert_eq!(limit(&statements, &life("a", 2)), None, "that life is over");
    assert!(!statements.record(&life("b", 1), Statement::Unlimited, at(5, 6)));
    assert_eq!(limit(&statements, &life("b", 1)), None);
}

#[test]
fn statements_of_many_targets_take_bounded_memory() {
    let mut statements = Statements::default();
    for n in 0..MAX_TARGETS as u64 + 10 {
        statements.record(&life(&format!("t{n}"), 1), limited(1.0), at(n, n));
    }
    let kept =
        (0..MAX_TARGETS + 10).filter(|n| limit(&statements, &life(&format!("t{n}"), 1)).is_some());
    assert_eq!(kept.count(), MAX_TARGETS);
    assert_eq!(limit(&statements, &life("t0", 1)), None, "the oldest went first");
}

#[test]
fn an_unreadable_limit_neither_begins_nor_ends_one() {
    let read = |status, value: Option<&'static [u8]>, id| {
        let mut headers = HeaderMap::new();
        headers.insert("attempt-id", HeaderValue::from_static("a1"));
        if let Some(value) = value {
            headers.insert("server-limit", HeaderValue::from_bytes(value).unwrap());
        }
        platform::REQUESTS.read_notice(status, &headers, id).rate_limit
    };
    let ok = StatusCode::OK;
    assert_eq!(read(ok, Some(b"1.25"), "a1"), limited(1.25));
    assert_eq!(read(ok, Some(b" 0 "), "a1"), limited(0.0));
    assert_eq!(read(StatusCode::SERVICE_UNAVAILABLE, Some(b"3"), "a1"), limited(3.0));
    assert_eq!(read(ok, None, "a1"), Statement::Unlimited);
    for value in [&b"-1"[..], b"nan", b"inf", b"", b"2 a second", b"1,5", b"\xff\xfe"] {
        assert_eq!(read(ok, Some(value), "a1"), Statement::Unknown, "{value:?}");
    }
    // What another request or another target was told says nothing of this one.
    assert_eq!(read(ok, Some(b"2"), "a2"), Statement::Unknown);
    assert_eq!(read(ok, None, "a2"), Statement::Unknown);
    assert_eq!(read(StatusCode::MISDIRECTED_REQUEST, None, "a1"), Statement::Unknown);
}
