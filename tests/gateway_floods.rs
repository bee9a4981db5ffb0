//! Tests of a router whose targets send data without end.

mod gateway_support;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use gateway_support::{
    Action, END, Router, ScriptedTarget, answer, endless_head, events, eventually, header,
    invalid_responses, on_one_thread, status,
};

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
const CHUNK: &str = "4\r\nxxxx\r\n";

#[test]
fn endless_invalid_data_closes_the_connection_and_is_not_reported_as_not_run() {
    for (name, action) in invalid_responses() {
        on_one_thread(async move {
            let bad = ScriptedTarget::start("a", vec![action.clone()]).await;
            let router = Router::start(vec![bad.entry("app", &[])]).await;
            let got = router.request("POST", "/unsafe/x", "Deadline-Ms: 60000\r\n", "b").await;
            assert_eq!(status(&got), 502, "{name}: {got}");
            eventually(|| bad.seen.borrow().closed_by_router == 1).await;
            let good =
                ScriptedTarget::start("b", vec![Action::Write(answer("200 OK", "good"))]).await;
            router.set_targets(vec![bad.entry("app", &[]), good.suspect_entry("app", &[])]);
            let got = router.request("GET", "/safe/x", "", "").await;
            assert_eq!(
                status(&got),
                200,
                "{name}: an idempotent request is retried elsewhere: {got}"
            );
        });
    }
}

#[test]
fn an_endless_body_is_streamed_and_cut_off_without_a_regular_end() {
    let chunked =
        endless_head().replace("Server-Stamp", "Transfer-Encoding: chunked\r\nServer-Stamp");
    let cases = [
        ("until the connection closes", "/unsafe/x", Action::Flood(endless_head(), "x")),
        ("in chunks", "/unsafe/x", Action::Flood(chunked.clone(), CHUNK)),
        ("a stream", "/draft/x", Action::Flood(chunked, "8\r\ndata: x\n\r\n")),
    ];
    for (name, path, action) in cases {
        on_one_thread(async move {
            let bad = ScriptedTarget::start("a", vec![action]).await;
            let router = Router::start(vec![bad.entry("app", &[]), bad.entry("llm", &[])]).await;
            let service = if path == "/unsafe/x" { "app" } else { "llm" };
            router.set_targets(vec![bad.entry(service, &[])]);
            let got = router.request("POST", path, "Deadline-Ms: 60000\r\n", "b").await;
            assert_eq!(status(&got), 200, "{name}");
            assert!(!got.ends_with(END), "{name}: the body has a regular end");
            assert!(got.len() > 1 << 20, "{name}: {} bytes were relayed", got.len());
            eventually(|| bad.seen.borrow().closed_by_router == 1).await;
        });
    }
}

/// The complete body of a response with chunked encoding or a content length; empty if its end is
/// missing.
fn body_of(answer: &str) -> String {
    let (head, mut rest) = answer.split_once("\r\n\r\n").unwrap();
    if let Some(length) = header(head, "content-length") {
        let is_whole = length.parse() == Ok(rest.len());
        return if is_whole { rest.to_owned() } else { String::new() };
    }
    let mut body = String::new();
    while let Some((size, chunk)) = rest.split_once("\r\n") {
        match usize::from_str_radix(size, 16) {
            Ok(0) => return body,
            Ok(size) => {
                body.push_str(&chunk[..size]);
                rest = &chunk[size + 2..];
            }
            Err(_) => break,
        }
    }
    String::new()
}

#[test]
fn a_large_response_is_relayed_completely() {
    on_one_thread(async {
        let body = "0123456789abcdef".repeat(40_000);
        let target = ScriptedTarget::start("a", vec![Action::Write(answer("200 OK", &body))]).await;
        let router = Router::start(vec![target.entry("app", &[])]).await;
        for path in ["/unsafe/x", "/safe/x"] {
            let got = router.request("POST", path, "", "b").await;
            assert_eq!(status(&got), 200);
            assert!(body_of(&got) == body, "{} bytes received", got.len());
        }
    });
}

/// Guards against unbounded buffering of an event of a resumable stream that never ends and arrives
/// as fast as the connection allows.
#[test]
fn a_stream_with_an_endless_event_is_resumed_at_another_target() {
    on_one_thread(async {
        let head = events(1, 2);
        let bad = ScriptedTarget::start("a", vec![Action::Flood(head, CHUNK)]).await;
        let good = ScriptedTarget::start("b", vec![Action::Write(events(3, 4) + END)]).await;
        let router =
            Router::start(vec![bad.entry("llm", &["m1"]), good.suspect_entry("llm", &["m1"])])
                .await;
        let got = router.request("POST", "/contract/x", "Model: m1\r\n", "b").await;
        assert!(got.contains("e2") && got.contains("e4") && got.ends_with(END), "{got}");
        eventually(|| bad.seen.borrow().closed_by_router == 1).await;
    });
}

/// Guards against streams that stay at a target that keeps sending but completes no event.
#[test]
fn a_stream_with_an_event_that_trickles_without_end_is_resumed_at_another_target() {
    on_one_thread(async {
        for begun in [events(1, 2), events(1, 0)] {
            let first_missing = if begun.contains("e2") { 3 } else { 1 };
            let bad = Action::Trickle { first: begun, more: "4\r\nxxxx\r\n", gap_ms: 50 };
            let bad = ScriptedTarget::start("a", vec![bad]).await;
            let rest = Action::Write(events(first_missing, 4) + END);
            let good = ScriptedTarget::start("b", vec![rest]).await;
            let router =
                Router::start(vec![bad.entry("llm", &["m1"]), good.suspect_entry("llm", &["m1"])])
                    .await;
            let got = router.request("POST", "/contract/x", "Model: m1\r\n", "b").await;
            assert!(got.contains("e1") && got.contains("e4") && got.ends_with(END), "{got}");
            eventually(|| bad.seen.borrow().closed_by_router == 1).await;
        }
    });
}

/// Guards against waiting without limit for a request body that stops halfway or never ends.
#[test]
fn a_request_whose_body_does_not_end_is_answered_within_its_timeout() {
    on_one_thread(async {
        let target = ScriptedTarget::start("a", vec![Action::Write(answer("200 OK", "x"))]).await;
        let router = Router::start(vec![target.entry("app", &[])]).await;
        let cases = [("Content-Length: 900\r\n", "half", 408), (CHUNKED, "bb8\r\n", 413)];
        for (headers, begin, expected) in cases {
            let mut stream = tokio::net::TcpStream::connect(router.address).await.unwrap();
            let head = format!(
                "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n\
                 Deadline-Ms: 300\r\n{headers}\r\n{begin}"
            );
            stream.write_all(head.as_bytes()).await.unwrap();
            if expected == 413 {
                stream.write_all("x".repeat(3_000).as_bytes()).await.unwrap();
            }
            let mut answer = vec![0; 256];
            let count = stream.read(&mut answer).await.unwrap();
            assert_eq!(status(&String::from_utf8_lossy(&answer[..count])), expected);
        }
        assert_eq!(target.requests(), 0, "no request reached the target");
    });
}
