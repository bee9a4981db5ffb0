//! Targets that stop in the middle of the head of a response and close the connection. Callers never get a success
//! for it, at whichever byte it ends.

mod gateway_support;

use fescuebay::membership::table::TargetEntry;
use gateway_support::{
    Action, END, Router, ScriptedTarget, answer, endless_head, events, header, on_one_thread,
    status,
};

/// The head of a response, without its last line.
fn head(whole: &str) -> &str {
    whole.split_once("\r\n\r\n").map_or(whole, |(head, _)| head)
}

/// Heads of each kind: with a length, with chunks, and with neither.
fn heads() -> Vec<String> {
    let heads = [answer("200 OK", "a body"), events(1, 1), endless_head()];
    heads.iter().map(|whole| head(whole).to_owned() + "\r\n\r").collect()
}

/// Both ends of a connection that a target may bring about.
fn endings(text: &str) -> [Action; 2] {
    [Action::WriteAndClose(text.to_owned()), Action::WriteAndReset(text.to_owned())]
}

fn entry(target: &ScriptedTarget, path: &str) -> TargetEntry {
    match path {
        "/contract/x" | "/draft/x" => target.entry("llm", &["m1"]),
        _ => target.entry("app", &[]),
    }
}

/// Sends a request to a router before one target that does this, and checks that no success comes of it.
async fn check_cut(path: &str, what: &str, action: Action) {
    let target = ScriptedTarget::start("a", vec![action]).await;
    let router = Router::start(vec![entry(&target, path)]).await;
    let headers = "Deadline-Ms: 700\r\nModel: m1\r\n";
    let answer = router.request("POST", path, headers, "b").await;
    assert!(status(&answer) >= 500, "{path} after {what:?}: {answer}");
    assert!(header(&answer, "server-stamp").is_none(), "{path} after {what:?}: {answer}");
}

#[test]
fn a_head_that_is_cut_off_is_no_success() {
    on_one_thread(async {
        for path in ["/unsafe/x", "/safe/x", "/draft/x", "/contract/x"] {
            for head in heads() {
                let mut checks = Vec::new();
                for at in 0..=head.len() {
                    for action in endings(&head[..at]) {
                        checks.push(check_cut(path, &head[..at], action));
                    }
                }
                futures::future::join_all(checks).await;
            }
        }
    });
}

/// The response before it on the same connection was whole.
#[test]
fn a_head_that_is_cut_off_on_a_used_connection_is_no_success() {
    on_one_thread(async {
        for head in heads() {
            let mut checks = Vec::new();
            for at in 0..=head.len() {
                checks.extend(endings(&head[..at]).map(check_cut_on_used_connection));
            }
            futures::future::join_all(checks).await;
        }
    });
}

async fn check_cut_on_used_connection(action: Action) {
    let what = format!("{action:?}");
    let script = vec![Action::Write(answer("200 OK", "first")), action];
    let target = ScriptedTarget::start("a", script).await;
    let router = Router::start(vec![target.entry("app", &[])]).await;
    let first = router.request("POST", "/unsafe/x", "", "b").await;
    assert!(first.ends_with("first"), "{first}");
    let answer = router.request("POST", "/unsafe/x", "", "b").await;
    assert!(status(&answer) >= 500, "after {what}: {answer}");
}

/// The second target is to go on with the stream and stops in its head: what the caller has is no whole stream.
#[test]
fn a_stream_whose_rest_is_cut_off_in_its_head_does_not_look_whole() {
    on_one_thread(async {
        let head = head(&events(3, 4)).to_owned() + "\r\n\r";
        let mut checks = Vec::new();
        for at in 0..=head.len() {
            checks.extend(endings(&head[..at]).map(check_cut_rest));
        }
        futures::future::join_all(checks).await;
    });
}

async fn check_cut_rest(action: Action) {
    let what = format!("{action:?}");
    let a = ScriptedTarget::start("a", vec![Action::WriteAndReset(events(1, 2)), action]).await;
    let router = Router::start(vec![entry(&a, "/contract/x")]).await;
    let headers = "Deadline-Ms: 700\r\nModel: m1\r\n";
    let answer = router.request("POST", "/contract/x", headers, "b").await;
    assert!(!answer.ends_with(END), "after {what}: {answer}");
}
