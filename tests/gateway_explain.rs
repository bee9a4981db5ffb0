//! Tests that the log lines of a failed request, found by its id, show the cause of the failure.

mod gateway_support;

use std::sync::{Mutex, PoisonError};

use gateway_support::{Action, Router, ScriptedTarget, answer, events, on_one_thread, status};
use serde_json::Value;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Capture;

impl log::Log for Capture {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target() == fescuebay::gateway::events::LOG_TARGET {
            let mut lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
            lines.push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

static CAPTURE: Capture = Capture;

/// Returns the log lines of the request `a1` and clears all lines.
fn take_lines() -> Vec<Value> {
    let lines = std::mem::take(&mut *LINES.lock().unwrap_or_else(PoisonError::into_inner));
    let parsed = lines.iter().map(|line| serde_json::from_str::<Value>(line).unwrap());
    parsed.filter(|line| line["id"] == "a1").collect()
}

fn event_names(lines: &[Value]) -> Vec<&str> {
    lines.iter().map(|line| line["event"].as_str().unwrap()).collect()
}

#[test]
fn failed_requests_are_explained_by_their_lines() {
    log::set_logger(&CAPTURE).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    on_one_thread(async {
        refused_because_no_target_has_the_model().await;
        stream_cut_off().await;
        non_idempotent_request_answered_with_502().await;
        two_failed_attempts_answered_with_500().await;
        refused_because_all_targets_are_paused().await;
        response_too_large().await;
    });
}

async fn refused_because_no_target_has_the_model() {
    let target = ScriptedTarget::start("a", vec![Action::Write(answer("200 OK", "x"))]).await;
    let router = Router::start(vec![target.entry("llm", &[])]).await;
    let answer = router.request("POST", "/draft/x", "Model: m1\r\nDeadline-Ms: 400\r\n", "b").await;
    assert_eq!(status(&answer), 503);
    let lines = take_lines();
    assert_eq!(event_names(&lines), ["admitted", "queued", "refused"]);
    assert_eq!((&lines[0]["model"], &lines[0]["document"]), (&"m1".into(), &5.into()));
    assert_eq!(lines[1]["why"], "no target holds the model");
    assert_eq!(lines[2]["may_have_run"], false);
}

async fn stream_cut_off() {
    let target = ScriptedTarget::start("a", vec![Action::WriteAndReset(events(1, 2))]).await;
    let router = Router::start(vec![target.entry("llm", &["m1"])]).await;
    router.request("POST", "/draft/x", "Model: m1\r\n", "b").await;
    let lines = take_lines();
    let expected = ["admitted", "sent", "answered", "attempt_failed", "stream_ended"];
    assert_eq!(event_names(&lines), expected);
    assert_eq!((&lines[1]["target"], &lines[1]["life"]), (&"a".into(), &1.into()));
    assert!(lines[1]["table_age_ms"].is_u64());
    assert_eq!((&lines[1]["table"], &lines[1]["closed"]), (&"1.1".into(), &0.into()));
    assert_eq!(lines[3]["failure"], "broken");
    assert_eq!(lines[4]["how"], "broken");
}

/// The connection of the second attempt breaks and the first response is relayed: the lines show
/// both.
async fn two_failed_attempts_answered_with_500() {
    let first = ScriptedTarget::start("a", vec![Action::Write(answer("500 Oops", "why"))]).await;
    let second = ScriptedTarget::start("b", vec![Action::WriteAndReset(String::new())]).await;
    let router =
        Router::start(vec![first.entry("app", &[]), second.suspect_entry("app", &[])]).await;
    let answer = router.request("GET", "/safe/x", "Deadline-Ms: 1000\r\n", "").await;
    assert_eq!(status(&answer), 500);
    let lines = take_lines();
    let expected = ["admitted", "sent", "attempt_failed", "sent", "attempt_failed", "answered"];
    assert_eq!(event_names(&lines), expected);
    assert_eq!((&lines[2]["target"], &lines[2]["failure"]), (&"a".into(), &"failed".into()));
    assert_eq!((&lines[4]["target"], &lines[4]["failure"]), (&"b".into(), &"broken".into()));
    assert_eq!((&lines[5]["target"], &lines[5]["status"]), (&"a".into(), &500.into()));
}

async fn non_idempotent_request_answered_with_502() {
    let foreign = answer("200 OK", "x").replace("{id}", "another");
    let target = ScriptedTarget::start("a", vec![Action::Write(foreign)]).await;
    let router = Router::start(vec![target.entry("app", &[])]).await;
    let answer = router.request("POST", "/unsafe/x", "", "b").await;
    assert_eq!(status(&answer), 502);
    let lines = take_lines();
    assert_eq!(event_names(&lines), ["admitted", "sent", "attempt_failed", "refused"]);
    assert_eq!(lines[2]["failure"], "foreign");
    assert_eq!((&lines[3]["status"], &lines[3]["may_have_run"]), (&502.into(), &true.into()));
}

async fn refused_because_all_targets_are_paused() {
    let pause =
        answer("503 Full", "").replace("Server-Stamp: s1", "Not-Executed: 1\r\nRetry-After: 600");
    let first = ScriptedTarget::start("a", vec![Action::Write(pause.clone())]).await;
    let second = ScriptedTarget::start("b", vec![Action::Write(pause)]).await;
    let router =
        Router::start(vec![first.entry("app", &[]), second.suspect_entry("app", &[])]).await;
    let answer = router.request("POST", "/unsafe/x", "Deadline-Ms: 1000\r\n", "").await;
    assert_eq!(status(&answer), 503);
    let lines = take_lines();
    let expected = ["admitted", "sent", "attempt_failed", "sent", "attempt_failed", "refused"];
    assert_eq!(event_names(&lines), expected);
    assert_eq!((&lines[1]["closed"], &lines[3]["closed"]), (&0.into(), &1.into()));
    assert_eq!(lines[5]["why"], "all targets ask to be left alone");
}

async fn response_too_large() {
    let target =
        ScriptedTarget::start("a", vec![Action::Flood("HTTP/1.1 200 OK\r\nX-A: ".into(), "a")])
            .await;
    let router = Router::start(vec![target.entry("app", &[])]).await;
    let answer = router.request("POST", "/unsafe/x", "", "b").await;
    assert_eq!(status(&answer), 502);
    let lines = take_lines();
    assert_eq!(event_names(&lines), ["admitted", "sent", "attempt_failed", "refused"]);
    assert_eq!(lines[2]["failure"], "too large");
}
