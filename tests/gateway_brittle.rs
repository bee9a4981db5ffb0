//! Tests of one router before targets that say that they are brittle (`Server-Brittle`).

mod gateway_support;

use std::time::Duration;

use fescuebay::gateway::RequestProtocol as _;
use fescuebay::platform;
use fescuebay::slot_lease::{MaxRejections, Statement};
use http::{HeaderMap, HeaderValue, StatusCode};

use gateway_support::{Action, Router, ScriptedTarget, answer, eventually, on_one_thread, status};

/// An answer of a brittle target.
fn brittle() -> Action {
    let named = "Server-Brittle: 4\r\nContent-Length";
    Action::Write(answer("200 OK", "ok").replacen("Content-Length", named, 1))
}

#[test]
fn a_brittle_target_names_the_requests_that_it_may_turn_away() {
    let cases: [(Option<&[u8]>, Statement); 5] = [
        (Some(b"4"), Statement::Limited(MaxRejections(4))),
        (Some(b" 0 "), Statement::Limited(MaxRejections(0))),
        (Some(b"many"), Statement::Unknown),
        (Some(b"\xff"), Statement::Unknown),
        (None, Statement::Unlimited),
    ];
    for (value, expected) in cases {
        let mut headers = HeaderMap::new();
        headers.insert("attempt-id", HeaderValue::from_static("a1"));
        if let Some(value) = value {
            headers.insert("server-brittle", HeaderValue::from_bytes(value).unwrap());
        }
        let notice = platform::REQUESTS.read_notice(StatusCode::OK, &headers, "a1");
        assert_eq!(notice.brittle, expected, "{value:?}");
        let notice = platform::REQUESTS.read_notice(StatusCode::OK, &headers, "other");
        assert_eq!(notice.brittle, Statement::Unknown, "the answer to another request");
    }
}

/// Guards against requests that a router sends of its own accord to targets that have no room for them.
#[test]
fn a_brittle_target_gets_a_connection_and_no_request_as_a_probe() {
    on_one_thread(async {
        let a = ScriptedTarget::start("a", vec![brittle()]).await;
        let b = ScriptedTarget::start("b", vec![brittle()]).await;
        let c = ScriptedTarget::start("c", vec![Action::WriteAndHang(String::new())]).await;
        let router = Router::start(vec![a.entry("app", &[])]).await;
        for target in [&a, &b] {
            router.set_targets(vec![target.entry("app", &[])]);
            assert_eq!(status(&router.request("POST", "/unsafe/x", "", "").await), 200);
        }
        router.set_targets([&a, &b, &c].map(|target| target.entry("app", &[])).to_vec());
        let connections = || [&a, &b].map(|target| target.seen.borrow().connections);
        let before = connections();
        let answer = router.request("POST", "/unsafe/x", "Deadline-Ms: 1200\r\n", "").await;
        assert_eq!(status(&answer), 504, "{answer}");
        eventually(|| connections() != before).await;
        // A request would follow the connection at once.
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!((a.seen.borrow().probes, b.seen.borrow().probes), (0, 0));
        assert_eq!((a.requests(), b.requests(), c.requests()), (1, 1, 1));
    });
}

/// Guards against a request that is cut off without an answer because the target whose slot it waited for has left:
/// the place of that target in the list was kept over the wait.
#[test]
fn a_request_that_waits_for_a_slot_is_answered_although_the_target_leaves() {
    on_one_thread(async {
        let other = ScriptedTarget::start("a", vec![brittle()]).await;
        let target = ScriptedTarget::start("b", vec![brittle()]).await;
        let router = Router::start(vec![other.entry("llm", &[]), target.entry("app", &[])]).await;
        assert_eq!(status(&router.request("POST", "/unsafe/x", "", "").await), 200);
        // No leader grants slots, so the next request waits for one until its time is up.
        let waiting = router.request("POST", "/unsafe/x", "Deadline-Ms: 1200\r\n", "");
        let (answer, ()) = futures::join!(waiting, async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            router.set_targets(vec![other.entry("llm", &[])]);
        });
        assert_eq!(status(&answer), 503, "{answer}");
        assert_eq!(target.requests(), 1, "the second request was not sent");
    });
}
