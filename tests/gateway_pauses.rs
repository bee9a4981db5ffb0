//! A router before targets that ask to be left alone for a time.

mod gateway_support;

use fescuebay::gateway::Protocol as _;
use fescuebay::gateway::fleet::{Choice, Fleet, Wish};
use fescuebay::gateway::gates::{Gate, Gates, MAX_GATES};
use fescuebay::ids::{Incarnation, ServiceName, TargetId};
use fescuebay::membership::table::TargetEntry;
use fescuebay::platform;
use http::{HeaderMap, HeaderValue, StatusCode};

use gateway_support::{
    Act, END, Router, Target, answer, events, eventually, header, on_one_thread, status,
};

const LIFE: Incarnation = Incarnation(1);

/// A refusal that asks for ten minutes.
fn pause() -> Act {
    let text = "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nRetry-After: 600\r\n\
                Content-Length: 0\r\n\r\n";
    Act::Write(text.to_owned())
}

fn ok(body: &str) -> Act {
    Act::Write(answer("200 OK", body))
}

fn name(text: &str) -> TargetId {
    text.parse().unwrap()
}

#[test]
fn a_target_that_asked_to_be_left_alone_gets_nothing_whatever_the_table_shows() {
    on_one_thread(async {
        let a = Target::start("a", vec![pause(), ok("early")]).await;
        let b = Target::start("b", vec![ok("good")]).await;
        let router = Router::start(vec![a.entry("app", &[]), b.last("app", &[])]).await;
        for n in 0..10 {
            let path = if n % 2 == 0 { "/unsafe/x" } else { "/safe/x" };
            assert_eq!(status(&router.ask("POST", path, "", "").await), 200);
            if n == 5 {
                router.set(vec![b.last("app", &[])]);
                router.set(vec![a.entry("app", &[]), b.last("app", &[])]);
            }
        }
        assert_eq!((a.requests(), b.requests()), (1, 10));
        let later = TargetEntry { incarnation: Incarnation(2), ..a.entry("app", &[]) };
        router.set(vec![later, b.last("app", &[])]);
        router.ask("POST", "/unsafe/x", "", "").await;
        assert_eq!(a.requests(), 2, "a later life asked for nothing");
    });
}

/// The load: all callers at once, more than the target has places for.
#[test]
fn a_hundred_callers_at_once_are_refused_when_the_only_target_asks_to_be_left_alone() {
    on_one_thread(async {
        let a = Target::start("a", vec![pause()]).await;
        let router = std::rc::Rc::new(Router::start(vec![a.entry("app", &[])]).await);
        let ask = |_| {
            let router = std::rc::Rc::clone(&router);
            tokio::task::spawn_local(async move { router.ask("POST", "/unsafe/x", "", "").await })
        };
        for asked in (0..100).map(ask).collect::<Vec<_>>() {
            let answer = asked.await.unwrap();
            assert_eq!(status(&answer), 503, "{answer}");
            let retry_s: f64 = header(&answer, "retry-after").unwrap().parse().unwrap();
            assert!((590.0..=602.0).contains(&retry_s), "back when it opens: {retry_s}");
        }
        let places = 6;
        assert!(a.requests() <= places, "{} reached it", a.requests());
    });
}

/// The load: a stream breaks at one target, and the other one that has its model wants nothing.
#[test]
fn a_stream_is_not_resumed_at_a_target_that_asked_to_be_left_alone() {
    on_one_thread(async {
        let a = Target::start("a", vec![Act::Stream { events: 3, gap_ms: 50 }]).await;
        let b = Target::start("b", vec![pause()]).await;
        let router = Router::start(vec![a.last("llm", &["m1"]), b.entry("llm", &["m1"])]).await;
        let answer = router.ask("POST", "/contract/x", "Model: m1\r\n", "b").await;
        assert!(answer.contains("e3") && answer.ends_with(END), "{answer}");
        assert_eq!((a.requests(), b.requests()), (1, 1));
        let broken = Target::start("c", vec![Act::WriteAndReset(events(1, 2))]).await;
        router.set(vec![broken.entry("llm", &["m1"]), b.entry("llm", &["m1"])]);
        router.ask("POST", "/contract/x", "Model: m1\r\n", "b").await;
        eventually(|| broken.requests() >= 1).await;
        assert_eq!(b.requests(), 1, "it was not asked to go on");
    });
}

fn fleet(entries: &[TargetEntry]) -> Fleet {
    let mut fleet = Fleet::new("z".parse().unwrap());
    fleet.set_entries(entries);
    fleet
}

fn choose(fleet: &Fleet, now_ms: u64) -> Choice {
    let service: ServiceName = "app".parse().unwrap();
    let wish = Wish { service: &service, model: None, prompt: None, avoid: &[], salt: 1 };
    fleet.choose(now_ms, &wish)
}

/// The load: all callers come back when the time has passed.
#[test]
fn requests_come_back_one_at_first_and_more_as_the_target_answers() {
    on_one_thread(async {
        let a = Target::start("a", vec![ok("x")]).await;
        let mut fleet = fleet(&[TargetEntry { slots: 64, ..a.entry("app", &[]) }]);
        let target = name("a");
        assert!(fleet.pauses(100, &target, LIFE, 1_000, 7));
        let Choice::Paused { opens_ms } = choose(&fleet, 100) else { panic!("it is paused") };
        assert!((1_100..=1_200).contains(&opens_ms), "spread over a tenth: {opens_ms}");
        assert_eq!(choose(&fleet, opens_ms - 1), Choice::Paused { opens_ms });
        let mut rounds = Vec::new();
        for round in 0..4 {
            let now_ms = opens_ms + round * 10;
            let mut begun = 0;
            while let Choice::Target(at) = choose(&fleet, now_ms) {
                fleet.begin(now_ms, at, None, 0);
                begun += 1;
                if begun == 50 {
                    break;
                }
            }
            assert!(begun == 50 || choose(&fleet, now_ms) == Choice::Full);
            rounds.push(begun);
            for _ in 0..begun {
                fleet.answered(now_ms, &target, LIFE);
                fleet.end(&target, LIFE, None);
            }
        }
        assert_eq!(rounds, [1, 2, 4, 8]);
        for _ in 0..50 {
            let Choice::Target(at) = choose(&fleet, opens_ms + 50) else { panic!("it is open") };
            fleet.begin(opens_ms + 50, at, None, 0);
        }
    });
}

#[test]
fn a_first_request_without_an_answer_is_followed_by_another_one() {
    on_one_thread(async {
        let a = Target::start("a", vec![ok("x")]).await;
        let mut fleet = fleet(&[a.entry("app", &[])]);
        let target = name("a");
        fleet.pauses(0, &target, LIFE, 1_000, 7);
        for now_ms in [1_200, 1_300, 1_400] {
            let Choice::Target(at) = choose(&fleet, now_ms) else { panic!("one may go") };
            fleet.begin(now_ms, at, None, 0);
            assert_eq!(choose(&fleet, now_ms), Choice::Full, "it is on its way");
            fleet.end(&target, LIFE, None);
            fleet.unanswered(now_ms, &target, LIFE);
        }
        fleet.answered(900, &target, LIFE);
        let Choice::Target(at) = choose(&fleet, 1_500) else { panic!("one may go") };
        fleet.begin(1_500, at, None, 0);
        assert_eq!(choose(&fleet, 1_500), Choice::Full, "an answer to what was sent before it");
    });
}

#[test]
fn of_several_times_the_latest_holds_and_leaving_goes_before_all() {
    let mut gates = Gates::default();
    let target = name("a");
    assert!(gates.pauses(&target, LIFE, 5_000));
    assert!(!gates.pauses(&target, LIFE, 3_000));
    assert_eq!(gates.of(4_000, &target, LIFE), Gate::Paused { until_ms: 5_000 });
    assert!(gates.pauses(&target, LIFE, 9_000));
    assert_eq!(gates.of(6_000, &target, LIFE), Gate::Paused { until_ms: 9_000 });
    assert_eq!(gates.of(6_000, &target, Incarnation(2)), Gate::Open);
    assert!(gates.leaves(&target, LIFE));
    assert!(!gates.pauses(&target, LIFE, 99_000));
    assert_eq!(gates.of(100_000, &target, LIFE), Gate::Leaving);
    assert!(gates.leaves(&target, Incarnation(2)), "a later life");
    assert!(!gates.leaves(&target, LIFE), "a late answer of the earlier one");
    assert!(gates.is_leaving(&target, Incarnation(2)));
}

/// The load: targets that come and go for months.
#[test]
fn what_targets_said_is_bounded_and_the_oldest_word_goes_first() {
    let mut gates = Gates::default();
    for number in 0..MAX_GATES + 5 {
        gates.leaves(&name(&format!("t{number}")), LIFE);
    }
    assert_eq!(gates.leaving().count(), MAX_GATES);
    assert!(!gates.is_leaving(&name("t4"), LIFE));
    assert!(gates.is_leaving(&name("t5"), LIFE));
}

#[test]
fn times_are_read_as_whole_or_fractional_seconds_and_nothing_else_is_heeded() {
    let cases = [
        ("2", Some(2_000)),
        (" 0.25 ", Some(250)),
        ("0", Some(0)),
        ("1e9", Some(3_600_000)),
        ("-3", None),
        ("NaN", None),
        ("inf", None),
        ("soon", None),
        ("", None),
        ("Wed, 21 Oct 2015 07:28:00 GMT", None),
    ];
    for (text, expected) in cases {
        let mut headers = HeaderMap::new();
        headers.insert("attempt-id", HeaderValue::from_static("r1"));
        headers.insert("retry-after", HeaderValue::from_str(text).unwrap());
        let read = |status, id| platform::REQUESTS.notice(status, &headers, id).pause_ms;
        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        assert_eq!(read(unavailable, "r1"), expected, "{text:?}");
        assert_eq!(read(unavailable, "r2"), None, "the answer to another request");
        assert_eq!(read(StatusCode::TOO_MANY_REQUESTS, "r1"), None, "another status");
    }
}
