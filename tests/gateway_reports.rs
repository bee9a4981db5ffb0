//! Faults that other operators reported of systems like this one: refusals that are written twice, and
//! streams that are continued by an error or end inside an event.

mod gateway_support;

use gateway_support::{
    Action, END, Router, ScriptedTarget, answer, endless_head, events, on_one_thread, status,
};

const MODEL: &str = "Model: m1\r\nDeadline-Ms: 3000\r\n";

fn ok(body: &str) -> Action {
    Action::Write(answer("200 OK", body))
}

/// The head and text of an error of a target, in ways in which a router may take them for a stream.
fn errors() -> Vec<(&'static str, String)> {
    let plain = answer("500 Oops", "the engine is broken\n\n");
    let event = "event: error\ndata: the engine is broken\n\n";
    let chunked = events(1, 0).replace("200 OK", "500 Oops");
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    let head_as_text = answer("502 Bad Gateway", "HTTP/1.1 500 the engine is broken\r\n\r\n");
    let json = answer("200 OK", "{\"error\": \"the engine is broken\"}\n\n")
        .replace("Content-Length", "Content-Type: application/json\r\nContent-Length");
    vec![
        ("an error", plain),
        ("an error as a stream", format!("{chunked}{chunk}{END}")),
        ("a head as text", head_as_text),
        ("an error with the status of a success", json),
    ]
}

/// The next target answers with an error after a stream has begun and broken off.
#[test]
fn a_stream_is_not_continued_by_the_error_of_the_next_target() {
    for (name, error) in errors() {
        on_one_thread(async move {
            let cut = ScriptedTarget::start("a", vec![Action::WriteAndReset(events(1, 3))]).await;
            let other = ScriptedTarget::start("b", vec![Action::Write(error)]).await;
            let entries = vec![cut.entry("llm", &["m1"]), other.suspect_entry("llm", &["m1"])];
            let router = Router::start(entries).await;
            let answer = router.request("POST", "/contract/x", MODEL, "b").await;
            assert!(answer.contains("data: e3\n"), "{name}: {answer}");
            assert!(!answer.contains("broken") && !answer.contains("500"), "{name}: {answer}");
            assert!(!answer.ends_with(END), "{name}: it ends as if it were complete: {answer}");
            assert_eq!(other.requests(), 1, "{name}");
        });
    }
}

/// The last event is cut, and the stream ends with its last chunk or with its connection.
#[test]
fn a_stream_that_ends_inside_an_event_is_not_passed_off_as_complete() {
    let part = "id: 4\ndata: e";
    let chunked = format!("{}{:x}\r\n{part}\r\n{END}", events(1, 3), part.len());
    let whole: String = (1..=3).map(|n| format!("id: {n}\ndata: e{n}\n\n")).collect();
    let until_close = format!("{}{whole}{part}", endless_head());
    for path in ["/draft/x", "/contract/x"] {
        for text in [&chunked, &until_close] {
            let (text, path) = (text.clone(), path.to_owned());
            on_one_thread(async move {
                let target = ScriptedTarget::start("a", vec![Action::WriteAndClose(text)]).await;
                let router = Router::start(vec![target.entry("llm", &["m1"])]).await;
                let answer = router.request("POST", &path, MODEL, "b").await;
                assert!(answer.contains("data: e3\n"), "{path}: {answer}");
                assert!(!answer.ends_with(END), "{path}: it ends as if it were complete: {answer}");
            });
        }
    }
}

/// A stream without a length or chunks that ends with its connection, after its last event.
#[test]
fn a_stream_that_ends_with_its_connection_is_complete() {
    for path in ["/draft/x", "/contract/x"] {
        on_one_thread(async move {
            let whole: String = (1..=3).map(|n| format!("id: {n}\ndata: e{n}\n\n")).collect();
            let text = format!("{}{whole}", endless_head());
            let target = ScriptedTarget::start("a", vec![Action::WriteAndClose(text)]).await;
            let router = Router::start(vec![target.entry("llm", &["m1"])]).await;
            let answer = router.request("POST", path, MODEL, "b").await;
            assert!(answer.contains("data: e3\n") && answer.ends_with(END), "{path}: {answer}");
        });
    }
}

/// A faulty target writes an earlier refusal once more on a kept connection, with the id of the earlier
/// request or without one. It runs the request that it seems to refuse.
#[test]
fn a_refusal_that_may_be_an_earlier_one_does_not_say_that_a_request_has_not_run() {
    let refused = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    let misdirected = "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n";
    let earlier = refused.replace("Not-Executed", "Attempt-Id: earlier\r\nNot-Executed");
    for text in [refused, misdirected, earlier.as_str()] {
        let text = text.to_owned();
        on_one_thread(async move {
            let script = vec![ok("first"), Action::Write(text.clone())];
            let faulty = ScriptedTarget::start("a", script).await;
            let other = ScriptedTarget::start("b", vec![ok("second run")]).await;
            let entries = vec![faulty.entry("app", &[]), other.suspect_entry("app", &[])];
            let router = Router::start(entries).await;
            let send = async || router.request("POST", "/unsafe/x", "Deadline-Ms: 1000\r\n", "b");
            assert_eq!(status(&send().await.await), 200);
            let answer = send().await.await;
            assert_eq!(status(&answer), 502, "{text}: {answer}");
            assert_eq!((faulty.requests(), other.requests()), (2, 0), "{text}");
        });
    }
}
