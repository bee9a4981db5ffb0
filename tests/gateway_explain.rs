//! From the id of a failed request to its cause, by log lines alone.

mod gateway_support;

use std::sync::{Mutex, PoisonError};

use gateway_support::{Act, Router, Target, answer, events, on_one_thread, status};
use serde_json::Value;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Capture;

impl log::Log for Capture {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target() == fescuebay::gateway::events::TARGET {
            let mut lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
            lines.push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

static CAPTURE: Capture = Capture;

/// The lines of the request `a1`, and forgets them.
fn story() -> Vec<Value> {
    let lines = std::mem::take(&mut *LINES.lock().unwrap_or_else(PoisonError::into_inner));
    let parsed = lines.iter().map(|line| serde_json::from_str::<Value>(line).unwrap());
    parsed.filter(|line| line["id"] == "a1").collect()
}

fn names(story: &[Value]) -> Vec<&str> {
    story.iter().map(|line| line["event"].as_str().unwrap()).collect()
}

#[test]
fn failed_requests_are_explained_by_their_lines() {
    log::set_logger(&CAPTURE).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    on_one_thread(async {
        refused_for_lack_of_a_model().await;
        cut_in_the_middle_of_a_stream().await;
        sent_once_and_answered_502().await;
        failed_twice_and_answered_500().await;
        refused_since_the_targets_ask_to_be_left_alone().await;
        cut_for_too_many_bytes().await;
    });
}

async fn refused_for_lack_of_a_model() {
    let target = Target::start("a", vec![Act::Write(answer("200 OK", "x"))]).await;
    let router = Router::start(vec![target.entry("llm", &[])]).await;
    let answer = router.ask("POST", "/draft/x", "Model: m1\r\nDeadline-Ms: 400\r\n", "b").await;
    assert_eq!(status(&answer), 503);
    let story = story();
    assert_eq!(names(&story), ["admitted", "queued", "refused"]);
    assert_eq!((&story[0]["model"], &story[0]["document"]), (&"m1".into(), &5.into()));
    assert_eq!(story[1]["why"], "no target holds the model");
    assert_eq!(story[2]["may_have_run"], false);
}

async fn cut_in_the_middle_of_a_stream() {
    let target = Target::start("a", vec![Act::WriteAndReset(events(1, 2))]).await;
    let router = Router::start(vec![target.entry("llm", &["m1"])]).await;
    router.ask("POST", "/draft/x", "Model: m1\r\n", "b").await;
    let story = story();
    let expected = ["admitted", "sent", "answered", "attempt_failed", "stream_ended"];
    assert_eq!(names(&story), expected);
    assert_eq!((&story[1]["target"], &story[1]["life"]), (&"a".into(), &1.into()));
    assert!(story[1]["table_age_ms"].is_u64());
    assert_eq!((&story[1]["table"], &story[1]["closed"]), (&"1.1".into(), &0.into()));
    assert_eq!(story[3]["failure"], "broken");
    assert_eq!(story[4]["how"], "broken");
}

/// The second try breaks, and the first answer is passed on: the lines tell both.
async fn failed_twice_and_answered_500() {
    let first = Target::start("a", vec![Act::Write(answer("500 Oops", "why"))]).await;
    let second = Target::start("b", vec![Act::WriteAndReset(String::new())]).await;
    let router = Router::start(vec![first.entry("app", &[]), second.last("app", &[])]).await;
    let answer = router.ask("GET", "/safe/x", "Deadline-Ms: 1000\r\n", "").await;
    assert_eq!(status(&answer), 500);
    let story = story();
    let expected = ["admitted", "sent", "attempt_failed", "sent", "attempt_failed", "answered"];
    assert_eq!(names(&story), expected);
    assert_eq!((&story[2]["target"], &story[2]["failure"]), (&"a".into(), &"failed".into()));
    assert_eq!((&story[4]["target"], &story[4]["failure"]), (&"b".into(), &"broken".into()));
    assert_eq!((&story[5]["target"], &story[5]["status"]), (&"a".into(), &500.into()));
}

async fn sent_once_and_answered_502() {
    let foreign = answer("200 OK", "x").replace("{id}", "another");
    let target = Target::start("a", vec![Act::Write(foreign)]).await;
    let router = Router::start(vec![target.entry("app", &[])]).await;
    let answer = router.ask("POST", "/unsafe/x", "", "b").await;
    assert_eq!(status(&answer), 502);
    let story = story();
    assert_eq!(names(&story), ["admitted", "sent", "attempt_failed", "refused"]);
    assert_eq!(story[2]["failure"], "foreign");
    assert_eq!((&story[3]["status"], &story[3]["may_have_run"]), (&502.into(), &true.into()));
}

async fn refused_since_the_targets_ask_to_be_left_alone() {
    let pause =
        answer("503 Full", "").replace("Server-Stamp: s1", "Not-Executed: 1\r\nRetry-After: 600");
    let first = Target::start("a", vec![Act::Write(pause.clone())]).await;
    let second = Target::start("b", vec![Act::Write(pause)]).await;
    let router = Router::start(vec![first.entry("app", &[]), second.last("app", &[])]).await;
    let answer = router.ask("POST", "/unsafe/x", "Deadline-Ms: 1000\r\n", "").await;
    assert_eq!(status(&answer), 503);
    let story = story();
    let expected = ["admitted", "sent", "attempt_failed", "sent", "attempt_failed", "refused"];
    assert_eq!(names(&story), expected);
    assert_eq!((&story[1]["closed"], &story[3]["closed"]), (&0.into(), &1.into()));
    assert_eq!(story[5]["why"], "all targets ask to be left alone");
}

async fn cut_for_too_many_bytes() {
    let target = Target::start("a", vec![Act::Flood("HTTP/1.1 200 OK\r\nX-A: ".into(), "a")]).await;
    let router = Router::start(vec![target.entry("app", &[])]).await;
    let answer = router.ask("POST", "/unsafe/x", "", "b").await;
    assert_eq!(status(&answer), 502);
    let story = story();
    assert_eq!(names(&story), ["admitted", "sent", "attempt_failed", "refused"]);
    assert_eq!(story[2]["failure"], "too large");
}
