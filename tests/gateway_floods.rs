//! A router before targets whose answers never end.

mod gateway_support;

use std::rc::Rc;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use gateway_support::{
    Act, END, Router, Target, answer, events, eventually, header, on_one_thread, status,
};

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
const CHUNK: &str = "4\r\nxxxx\r\n";

/// The head of a signed answer whose body ends with its connection.
fn endless_head() -> String {
    answer("200 OK", "").replace("Content-Length: 0\r\n", "")
}

/// Bytes that are no answer and never stop, by name.
fn no_answers() -> Vec<(&'static str, Act)> {
    vec![
        ("a header without end", Act::Flood("HTTP/1.1 200 OK\r\nX-A: ".to_owned(), "a")),
        ("headers without end", Act::Flood("HTTP/1.1 200 OK\r\n".to_owned(), "X-A: b\r\n")),
        ("interim answers", Act::Flood(String::new(), "HTTP/1.1 100 Continue\r\n\r\n")),
        ("no protocol", Act::Flood(String::new(), "nonsense ")),
    ]
}

#[test]
fn bytes_without_end_that_are_no_answer_cost_their_connection_and_are_not_called_not_run() {
    for (name, act) in no_answers() {
        on_one_thread(async move {
            let bad = Target::start("a", vec![act.clone()]).await;
            let router = Router::start(vec![bad.entry("app", &[])]).await;
            let got = router.ask("POST", "/unsafe/x", "Deadline-Ms: 60000\r\n", "b").await;
            assert_eq!(status(&got), 502, "{name}: {got}");
            eventually(|| bad.seen.borrow().left == 1).await;
            let good = Target::start("b", vec![Act::Write(answer("200 OK", "good"))]).await;
            router.set(vec![bad.entry("app", &[]), good.last("app", &[])]);
            let got = router.ask("GET", "/safe/x", "", "").await;
            assert_eq!(status(&got), 200, "{name}: an idempotent one goes elsewhere: {got}");
        });
    }
}

#[test]
fn a_body_without_end_is_passed_on_as_it_comes_and_cut_without_looking_whole() {
    let chunked =
        endless_head().replace("Server-Stamp", "Transfer-Encoding: chunked\r\nServer-Stamp");
    let cases = [
        ("by its connection", "/unsafe/x", Act::Flood(endless_head(), "x")),
        ("in chunks", "/unsafe/x", Act::Flood(chunked.clone(), CHUNK)),
        ("a stream", "/draft/x", Act::Flood(chunked, "8\r\ndata: x\n\r\n")),
    ];
    for (name, path, act) in cases {
        on_one_thread(async move {
            let bad = Target::start("a", vec![act]).await;
            let router = Router::start(vec![bad.entry("app", &[]), bad.entry("llm", &[])]).await;
            let service = if path == "/unsafe/x" { "app" } else { "llm" };
            router.set(vec![bad.entry(service, &[])]);
            let got = router.ask("POST", path, "Deadline-Ms: 60000\r\n", "b").await;
            assert_eq!(status(&got), 200, "{name}");
            assert!(!got.ends_with(END), "{name}: it looks whole");
            assert!(got.len() > 1 << 20, "{name}: {} bytes were passed on", got.len());
            eventually(|| bad.seen.borrow().left == 1).await;
        });
    }
}

/// The whole body of an answer that came in chunks or with a length; empty if its end is missing.
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
fn a_large_answer_comes_whole() {
    on_one_thread(async {
        let body = "0123456789abcdef".repeat(40_000);
        let target = Target::start("a", vec![Act::Write(answer("200 OK", &body))]).await;
        let router = Router::start(vec![target.entry("app", &[])]).await;
        for path in ["/unsafe/x", "/safe/x"] {
            let got = router.ask("POST", path, "", "b").await;
            assert_eq!(status(&got), 200);
            assert!(body_of(&got) == body, "{} bytes came", got.len());
        }
    });
}

/// The load: an event of a resumable stream that never ends, sent as fast as the connection takes it.
#[test]
fn an_event_without_end_costs_its_target_the_stream() {
    on_one_thread(async {
        let head = events(1, 2);
        let bad = Target::start("a", vec![Act::Flood(head, CHUNK)]).await;
        let good = Target::start("b", vec![Act::Write(events(3, 4) + END)]).await;
        let router =
            Router::start(vec![bad.entry("llm", &["m1"]), good.last("llm", &["m1"])]).await;
        let got = router.ask("POST", "/contract/x", "Model: m1\r\n", "b").await;
        assert!(got.contains("e2") && got.contains("e4") && got.ends_with(END), "{got}");
        eventually(|| bad.seen.borrow().left == 1).await;
    });
}

/// The memory of this process, in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    let kib: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kib << 10
}

/// The load: a hundred answers without end at once, whose callers do not read.
#[test]
fn a_hundred_answers_without_end_leave_the_memory_of_a_router_as_it_was() {
    const ANSWERS: usize = 100;
    const MAX_GROWTH_BYTES: usize = ANSWERS * (256 << 10);
    let mut acts = no_answers();
    acts.push(("a body", Act::Flood(endless_head(), "x")));
    for (name, act) in acts {
        on_one_thread(async move {
            let bad = Target::start("a", vec![act]).await;
            let entry = fescuebay::membership::table::TargetEntry {
                slots: ANSWERS as u32,
                ..bad.entry("app", &[])
            };
            let router = Rc::new(Router::start(vec![entry]).await);
            let before_bytes = resident_bytes();
            let mut callers = Vec::new();
            for _ in 0..ANSWERS {
                callers.push(router.send("POST", "/unsafe/x", "Deadline-Ms: 1400\r\n", "b").await);
            }
            eventually(|| bad.requests() == ANSWERS).await;
            eventually(|| bad.seen.borrow().left as usize == ANSWERS).await;
            let grown_bytes = resident_bytes().saturating_sub(before_bytes);
            assert!(grown_bytes < MAX_GROWTH_BYTES, "{name}: {grown_bytes} bytes more");
            drop(callers);
        });
    }
}

/// The load: a caller who stops in the middle of a body, and one who never ends it.
#[test]
fn a_caller_whose_body_does_not_end_is_answered_within_its_time() {
    on_one_thread(async {
        let target = Target::start("a", vec![Act::Write(answer("200 OK", "x"))]).await;
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
        assert_eq!(target.requests(), 0, "nothing was passed on");
    });
}
