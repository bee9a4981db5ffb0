//! A router before targets that break, lie, refuse and hang, from what callers and targets see.

mod gateway_support;

use std::time::Duration;

use fescuebay::coordinator::follow::Follower as _;

use gateway_support::{
    Act, END, Router, Target, answer, document, events, eventually, header, on_one_thread, status,
};
use tokio::io::AsyncReadExt as _;

fn ok(body: &str) -> Act {
    Act::Write(answer("200 OK", body))
}

fn refusal() -> Act {
    let text =
        "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    Act::Write(text.to_owned())
}

/// One target that misbehaves once and another that answers.
async fn two(first: Act) -> (Target, Target, Router) {
    let bad = Target::start("a-bad", vec![first, ok("late")]).await;
    let good = Target::start("b-good", vec![ok("good")]).await;
    let entries = vec![bad.entry("app", &[]), good.last("app", &[])];
    let router = Router::start(entries).await;
    (bad, good, router)
}

/// Acts after which a request may have run, by name.
fn unclear_acts() -> Vec<(&'static str, Act)> {
    let foreign = answer("200 OK", "x").replace("{id}", "another");
    let unsigned = answer("200 OK", "x").replace("Server-Stamp: s1\r\n", "");
    let encoded =
        answer("200 OK", "x").replace("Server-Stamp", "Content-Encoding: br\r\nServer-Stamp");
    let short = answer("200 OK", "whole").replace("whole", "cut");
    vec![
        ("reset", Act::WriteAndReset(String::new())),
        ("garbage", Act::WriteAndReset("nonsense\r\n\r\n".to_owned())),
        ("foreign answer", Act::Write(foreign)),
        ("unsigned answer", Act::Write(unsigned)),
        ("encoded answer", Act::Write(encoded)),
        ("short answer", Act::WriteAndReset(short)),
    ]
}

#[test]
fn work_that_must_not_repeat_is_sent_once_and_never_called_not_run() {
    for (name, act) in unclear_acts() {
        on_one_thread(async move {
            let (bad, good, router) = two(act).await;
            let answer = router.ask("POST", "/unsafe/x", "Deadline-Ms: 1000\r\n", "b").await;
            assert_eq!(status(&answer), 502, "{name}: {answer}");
            assert_eq!((bad.requests(), good.requests()), (1, 0), "{name}");
        });
    }
}

#[test]
fn idempotent_work_is_answered_by_another_target() {
    for (name, act) in unclear_acts() {
        on_one_thread(async move {
            let (bad, good, router) = two(act).await;
            let answer = router.ask("GET", "/safe/x", "Deadline-Ms: 1000\r\n", "").await;
            assert_eq!(status(&answer), 200, "{name}: {answer}");
            assert!(answer.ends_with("good"), "{name}: {answer}");
            assert_eq!((bad.requests(), good.requests()), (1, 1), "{name}");
        });
    }
}

#[test]
fn a_refusal_of_a_target_leads_to_another_one() {
    on_one_thread(async {
        let (bad, good, router) = two(refusal()).await;
        let answer = router.ask("POST", "/unsafe/x", "", "b").await;
        assert_eq!(status(&answer), 200, "{answer}");
        assert_eq!((bad.requests(), good.requests()), (1, 1));
    });
}

#[test]
fn a_failure_of_a_target_is_passed_on_for_work_that_must_not_repeat() {
    on_one_thread(async {
        let (bad, good, router) = two(Act::Write(answer("500 Oops", "why"))).await;
        let answer = router.ask("POST", "/unsafe/x", "", "b").await;
        assert_eq!(status(&answer), 500, "{answer}");
        assert!(answer.contains("s1") && answer.ends_with("why"), "{answer}");
        assert_eq!((bad.requests(), good.requests()), (1, 0));
    });
}

#[test]
fn idempotent_work_whose_target_fails_is_tried_once_more() {
    on_one_thread(async {
        let (bad, good, router) = two(Act::Write(answer("500 Oops", "why"))).await;
        let answer = router.ask("GET", "/safe/x", "", "").await;
        assert_eq!(status(&answer), 200, "{answer}");
        assert_eq!((bad.requests(), good.requests()), (1, 1));
    });
}

#[test]
fn an_idempotent_request_leaves_a_target_that_hangs() {
    on_one_thread(async {
        let (bad, good, router) = two(Act::WriteAndHang(String::new())).await;
        let answer = router.ask("GET", "/safe/x", "Deadline-Ms: 1500\r\n", "").await;
        assert_eq!(status(&answer), 200, "{answer}");
        assert_eq!((bad.requests(), good.requests()), (1, 1));
        eventually(|| bad.seen.borrow().left == 1).await;
    });
}

#[test]
fn a_request_without_an_answer_ends_at_its_time() {
    on_one_thread(async {
        let target = Target::start("a", vec![Act::WriteAndHang(String::new())]).await;
        let router = Router::start(vec![target.entry("app", &[])]).await;
        let answer = router.ask("POST", "/unsafe/x", "Deadline-Ms: 300\r\n", "b").await;
        assert_eq!(status(&answer), 504, "{answer}");
        let deadline_ms: u64 =
            header(&target.seen.borrow().heads[0], "deadline-ms").unwrap().parse().unwrap();
        assert!(deadline_ms <= 300, "{deadline_ms}");
    });
}

#[test]
fn a_second_answer_on_a_connection_reaches_nobody() {
    on_one_thread(async {
        let twice = answer("200 OK", "mine") + &answer("200 OK", "extra");
        let target = Target::start("a", vec![Act::Write(twice), ok("next")]).await;
        let router = Router::start(vec![target.entry("app", &[])]).await;
        let first = router.ask("POST", "/unsafe/x", "", "b").await;
        assert!(first.ends_with("mine"), "{first}");
        let second = router.ask("POST", "/unsafe/x", "", "b").await;
        assert!(second.ends_with("next"), "{second}");
    });
}

#[test]
fn a_kept_connection_that_was_closed_meanwhile_costs_no_request() {
    on_one_thread(async {
        let script = vec![Act::WriteAndClose(answer("200 OK", "first")), ok("second")];
        let target = Target::start("a", script).await;
        let router = Router::start(vec![target.entry("app", &[])]).await;
        let first = router.ask("POST", "/unsafe/x", "", "b").await;
        assert!(first.ends_with("first"), "{first}");
        eventually(|| target.seen.borrow().closed == 1).await;
        let second = router.ask("POST", "/unsafe/x", "", "b").await;
        assert!(second.ends_with("second"), "{second}");
        assert_eq!(target.requests(), 2);
    });
}

/// The load: the last target of a service dies while it runs a request.
#[test]
fn a_request_that_ran_and_finds_no_second_target_is_not_called_not_run() {
    on_one_thread(async {
        let target = Target::start("a", vec![Act::WriteAndReset(String::new())]).await;
        let router = Router::start(vec![target.entry("app", &[])]).await;
        let mut stream = router.send("GET", "/safe/x", "Deadline-Ms: 900\r\n", "").await;
        eventually(|| target.requests() == 1).await;
        router.set(Vec::new());
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.unwrap();
        let answer = String::from_utf8_lossy(&bytes).into_owned();
        assert!(matches!(status(&answer), 502 | 504), "a promise that it did not run: {answer}");
        assert_eq!(target.requests(), 1);
    });
}

/// The bytes have left, and only the target knows whether it ran them.
#[test]
fn a_kept_connection_that_breaks_under_a_request_is_no_reason_to_repeat_it() {
    for (path, expected) in [("/unsafe/x", (502, 2)), ("/safe/x", (200, 3))] {
        on_one_thread(async move {
            let script = vec![ok("first"), Act::WriteAndReset(String::new()), ok("third")];
            let target = Target::start("a", script).await;
            let router = Router::start(vec![target.entry("app", &[])]).await;
            assert_eq!(status(&router.ask("POST", path, "", "b").await), 200);
            let second = router.ask("POST", path, "", "b").await;
            assert_eq!((status(&second), target.requests()), expected, "{path}: {second}");
        });
    }
}

#[test]
fn a_request_whose_caller_left_while_it_waited_is_never_sent() {
    on_one_thread(async {
        let target = Target::start("a", vec![Act::Write(events(1, 2) + END)]).await;
        let router = Router::start(vec![target.entry("llm", &[])]).await;
        let waits = || router.shared.usage().waiting.iter().map(|w| w.count).sum::<u32>();
        let stream = router.send("POST", "/draft/x", MODEL, "b").await;
        eventually(|| waits() == 1).await;
        drop(stream);
        eventually(|| waits() == 0).await;
        router.set(vec![target.entry("llm", &["m1"])]);
        let answer = router.ask("POST", "/draft/x", MODEL, "b").await;
        assert_eq!((status(&answer), target.requests()), (200, 1), "{answer}");
    });
}

#[test]
fn what_the_router_sets_is_not_taken_from_callers() {
    on_one_thread(async {
        let target = Target::start("a", vec![ok("x")]).await;
        let router = Router::start(vec![target.entry("app", &[])]).await;
        let sent = "Hold: h\r\nPin-Ms: 5\r\nKv-Backup: x\r\nKv-From: y\r\nKv-Fetch: z\r\n\
                    Expect-Instance: other\r\nRequest-Priority: 0\r\nX-Own: kept\r\n\
                    Connection: X-Hop\r\nX-Hop: gone\r\nDeadline-Ms: 900\r\n";
        let answer = router.ask("POST", "/unsafe/x?q=1", sent, "b").await;
        assert_eq!(status(&answer), 200, "{answer}");
        let head = target.seen.borrow().heads[0].clone();
        for name in ["hold", "pin-ms", "kv-backup", "kv-from", "kv-fetch", "x-hop"] {
            assert_eq!(header(&head, name), None, "{head}");
        }
        assert!(head.starts_with("POST /unsafe/x?q=1 HTTP/1.1"), "{head}");
        assert_eq!(header(&head, "expect-instance").as_deref(), Some("a"));
        assert_eq!(header(&head, "request-priority").as_deref(), Some("2"));
        assert_eq!(header(&head, "x-own").as_deref(), Some("kept"));
        assert_eq!(header(&head, "attempt-id").as_deref(), Some("a1"));
    });
}

#[test]
fn requests_that_cannot_be_routed_are_refused_at_once() {
    on_one_thread(async {
        let router = Router::start(Vec::new()).await;
        assert_eq!(status(&router.ask("GET", "/other/x", "", "").await), 404);
        let large = "x".repeat(2_000);
        assert_eq!(status(&router.ask("POST", "/unsafe/x", "", &large).await), 413);
        let no_target = router.ask("POST", "/unsafe/x", "", "b").await;
        assert_eq!(status(&no_target), 503, "{no_target}");
    });
}

/// The load: all routers and voters come back at once, and callers with them.
#[test]
fn a_request_that_comes_before_the_first_document_is_served_when_it_is_known() {
    on_one_thread(async {
        let target = Target::start("a", vec![ok("good")]).await;
        let router = Router::bare().await;
        let mut stream = router.send("POST", "/unsafe/x", "Deadline-Ms: 1500\r\n", "b").await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        router.shared.apply_document(document());
        router.set(vec![target.entry("app", &[])]);
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.unwrap();
        assert_eq!(status(&String::from_utf8_lossy(&bytes)), 200);
    });
}

/// A group of voters that comes back needs 1.5 s or more: who is refused before returns later.
#[test]
fn a_caller_who_found_no_document_is_not_asked_back_before_one_can_be_there() {
    on_one_thread(async {
        let bare = Router::bare().await;
        let begin = tokio::time::Instant::now();
        let answer = bare.ask("GET", "/safe/x", "Deadline-Ms: 1500\r\n", "").await;
        let held_s = begin.elapsed().as_secs_f64();
        assert_eq!(status(&answer), 503, "{answer}");
        let retry_after_s: f64 = header(&answer, "retry-after").unwrap().parse().unwrap();
        assert!(held_s + retry_after_s >= 1.5, "held {held_s} s, {answer}");
    });
}

/// The load: all routers and voters come back at once, and callers with them.
#[test]
fn a_request_that_comes_before_the_targets_are_known_is_served_when_they_are() {
    on_one_thread(async {
        let target = Target::start("a", vec![ok("good")]).await;
        let router = Router::start(Vec::new()).await;
        let mut stream = router.send("POST", "/unsafe/x", "", "b").await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        router.set(vec![target.entry("app", &[])]);
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.unwrap();
        assert_eq!(status(&String::from_utf8_lossy(&bytes)), 200);
    });
}

const MODEL: &str = "Model: m1\r\nDeadline-Ms: 3000\r\n";

#[test]
fn a_stream_is_passed_on_as_it_comes_and_ends_whole() {
    on_one_thread(async {
        let target = Target::start("a", vec![Act::Write(events(1, 5) + END)]).await;
        let router = Router::start(vec![target.entry("llm", &["m1"])]).await;
        let answer = router.ask("POST", "/draft/x", MODEL, "b").await;
        assert!((1..=5).all(|number| answer.contains(&format!("data: e{number}\n"))), "{answer}");
        assert!(answer.ends_with(END), "{answer}");
    });
}

#[test]
fn a_broken_stream_that_may_not_be_resumed_does_not_look_whole() {
    on_one_thread(async {
        let cut = Target::start("a", vec![Act::WriteAndReset(events(1, 3))]).await;
        let other = Target::start("b", vec![Act::Write(events(1, 5) + END)]).await;
        let entries = vec![cut.entry("llm", &["m1"]), other.last("llm", &["m1"])];
        let router = Router::start(entries).await;
        let answer = router.ask("POST", "/draft/x", MODEL, "b").await;
        assert!(answer.contains("data: e1\n") && !answer.ends_with(END), "{answer}");
        assert_eq!(other.requests(), 0);
    });
}

#[test]
fn a_broken_stream_goes_on_at_another_target_without_a_gap() {
    for cut_within_an_event in [false, true] {
        on_one_thread(async move {
            let mut first = events(1, 3);
            if cut_within_an_event {
                first += "7\r\nid: 4\nd\r\n";
            }
            let cut = Target::start("a", vec![Act::WriteAndReset(first)]).await;
            let other = Target::start("b", vec![Act::Write(events(4, 6) + END)]).await;
            let entries = vec![cut.entry("llm", &["m1"]), other.last("llm", &["m1"])];
            let router = Router::start(entries).await;
            let answer = router.ask("POST", "/contract/x", MODEL, "b").await;
            for number in 1..=6 {
                let event = format!("id: {number}\ndata: e{number}\n");
                assert_eq!(answer.matches(&event).count(), 1, "{number}: {answer}");
            }
            assert!(answer.ends_with(END), "{answer}");
            let head = other.seen.borrow().heads[0].clone();
            assert_eq!(header(&head, "last-event-id").as_deref(), Some("3"));
        });
    }
}

#[test]
fn a_stalled_stream_is_closed_before_another_target_goes_on() {
    on_one_thread(async {
        let stalled = Target::start("a", vec![Act::WriteAndHang(events(1, 2))]).await;
        let other = Target::start("b", vec![Act::Write(events(3, 4) + END)]).await;
        let entries = vec![stalled.entry("llm", &["m1"]), other.last("llm", &["m1"])];
        let router = Router::start(entries).await;
        let answer = router.ask("POST", "/contract/x", MODEL, "b").await;
        assert!(answer.contains("data: e4\n") && answer.ends_with(END), "{answer}");
        eventually(|| stalled.seen.borrow().left == 1).await;
    });
}

#[test]
fn a_target_is_left_when_its_caller_leaves() {
    for (path, act) in [
        ("/draft/x", Act::WriteAndHang(events(1, 2))),
        ("/draft/x", Act::WriteAndHang(String::new())),
        ("/contract/x", Act::WriteAndHang(events(1, 2))),
    ] {
        on_one_thread(async move {
            let target = Target::start("a", vec![act]).await;
            let router = Router::start(vec![target.entry("llm", &["m1"])]).await;
            let stream = router.send("POST", path, MODEL, "b").await;
            eventually(|| target.requests() == 1).await;
            drop(stream);
            // A target that works on would keep this test from ending.
            eventually(|| target.seen.borrow().left == 1).await;
        });
    }
}

#[test]
fn a_request_waits_for_a_model_that_is_being_loaded() {
    on_one_thread(async {
        let target = Target::start("a", vec![Act::Write(events(1, 2) + END)]).await;
        let router = Router::start(vec![target.entry("llm", &[])]).await;
        let mut stream = router.send("POST", "/draft/x", MODEL, "b").await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(target.requests(), 0);
        router.set(vec![target.entry("llm", &["m1"])]);
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.unwrap();
        assert_eq!(status(&String::from_utf8_lossy(&bytes)), 200);
    });
}

#[test]
fn a_request_for_a_model_that_does_not_come_is_refused_as_not_run() {
    on_one_thread(async {
        let target = Target::start("a", vec![ok("x")]).await;
        let router = Router::start(vec![target.entry("llm", &[])]).await;
        let model = "Model: m1\r\nDeadline-Ms: 600\r\n";
        let answer = router.ask("POST", "/draft/x", model, "b").await;
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(header(&answer, "retry-after").is_some(), "{answer}");
        assert_eq!(target.requests(), 0);
    });
}
