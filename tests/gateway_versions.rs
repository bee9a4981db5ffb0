//! Tests of a router before targets of two software versions: a stream that broke off goes on at the version
//! that wrote its first events, or ends broken.

mod gateway_support;

use fescuebay::membership::table::TargetEntry;

use gateway_support::{
    Action, END, Router, ScriptedTarget, endless_head, events, header, on_one_thread, status,
};

const MODEL: &str = "Model: m1\r\nDeadline-Ms: 3000\r\n";

fn of_version(entry: TargetEntry, software: &str) -> TargetEntry {
    TargetEntry { software: Some(software.parse().unwrap()), ..entry }
}

/// A target that breaks every stream off after three events.
async fn breaking(id: &str) -> ScriptedTarget {
    ScriptedTarget::start(id, vec![Action::WriteAndReset(events(1, 3))]).await
}

/// A target that can write the rest of such a stream.
async fn whole(id: &str) -> ScriptedTarget {
    ScriptedTarget::start(id, vec![Action::Write(events(4, 6) + END)]).await
}

#[test]
fn a_stream_is_not_resumed_at_a_target_of_another_software_version() {
    on_one_thread(async {
        let (cut, other) = (breaking("a").await, whole("b").await);
        let entries = vec![
            of_version(cut.entry("llm", &["m1"]), "v1"),
            of_version(other.suspect_entry("llm", &["m1"]), "v2"),
        ];
        let router = Router::start(entries).await;
        let answer = router.request("POST", "/contract/x", MODEL, "b").await;
        assert!(answer.contains("data: e3\n") && !answer.ends_with(END), "{answer}");
        assert_eq!((cut.requests(), other.requests()), (1, 0));
    });
}

#[test]
fn a_stream_is_resumed_at_another_target_of_its_software_version() {
    on_one_thread(async {
        let (cut, other, same) = (breaking("a").await, whole("b").await, whole("c").await);
        let entries = vec![
            of_version(cut.entry("llm", &["m1"]), "v1"),
            of_version(other.suspect_entry("llm", &["m1"]), "v2"),
            of_version(same.suspect_entry("llm", &["m1"]), "v1"),
        ];
        for _ in 0..8 {
            let router = Router::start(entries.clone()).await;
            let answer = router.request("POST", "/contract/x", MODEL, "b").await;
            assert!(answer.contains("data: e6\n") && answer.ends_with(END), "{answer}");
        }
        assert_eq!((other.requests(), same.requests()), (0, 8));
        let head = same.seen.borrow().heads[0].clone();
        assert_eq!(header(&head, "last-event-id").as_deref(), Some("3"));
    });
}

/// A target that ended may be back under its id with another version before it is heard of.
#[test]
fn a_stream_is_not_resumed_at_an_incarnation_whose_connection_broke() {
    on_one_thread(async {
        let rest = Action::Write(events(4, 6) + END);
        let cut = [Action::WriteAndReset(events(1, 3)), rest];
        let cut = ScriptedTarget::start("a", cut.to_vec()).await;
        let router = Router::start(vec![of_version(cut.entry("llm", &["m1"]), "v1")]).await;
        let answer = router.request("POST", "/contract/x", MODEL, "b").await;
        assert!(answer.contains("data: e3\n") && !answer.ends_with(END), "{answer}");
        assert_eq!(cut.requests(), 1);
    });
}

/// The software of a target is not known where it names none.
#[test]
fn a_stream_of_an_unknown_software_version_is_not_resumed() {
    on_one_thread(async {
        let (cut, other) = (breaking("a").await, whole("b").await);
        let unknown = |entry| TargetEntry { software: None, ..entry };
        let entries =
            vec![unknown(cut.entry("llm", &["m1"])), unknown(other.suspect_entry("llm", &["m1"]))];
        let router = Router::start(entries).await;
        let answer = router.request("POST", "/contract/x", MODEL, "b").await;
        assert!(answer.contains("data: e3\n") && !answer.ends_with(END), "{answer}");
        assert_eq!(other.requests(), 0);
    });
}

/// A caller that has all events but not the end of a stream takes it up as well.
#[test]
fn a_stream_without_further_events_is_complete() {
    on_one_thread(async {
        let head = events(1, 0);
        let target = ScriptedTarget::start("a", vec![Action::Write(head + END)]).await;
        let router = Router::start(vec![target.entry("llm", &["m1"])]).await;
        for path in ["/contract/x", "/draft/x"] {
            let answer = router.request("POST", path, MODEL, "b").await;
            assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{path}: {answer:?}");
            let is_whole = answer.ends_with(END) || answer.contains("content-length: 0\r\n");
            assert!(is_whole, "{path}: {answer:?}");
        }
    });
}

/// Its target may have ended right after the head.
#[test]
fn a_stream_without_events_that_ends_with_its_connection_is_not_complete() {
    on_one_thread(async {
        let head = endless_head()
            .replace("Server-Stamp", "Content-Type: text/event-stream\r\nServer-Stamp");
        let target = ScriptedTarget::start("a", vec![Action::WriteAndClose(head)]).await;
        let router = Router::start(vec![target.entry("llm", &["m1"])]).await;
        for path in ["/contract/x", "/draft/x"] {
            let answer = router.request("POST", path, MODEL, "b").await;
            assert_eq!(status(&answer), 502, "{path}: {answer:?}");
        }
    });
}
