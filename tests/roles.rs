//! The roles of a VM as processes of the built binary: served, stopped, cut off, changed.

mod common;
mod gateway_support;
mod roles_support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::process::until;
use gateway_support::{Action, END, ScriptedTarget, answer, on_one_thread, status};
use roles_support::{Net, Vm, ask, call, read, send};

const DOCUMENT: &str = r#"{"version":5,"routes":[
 {"name":"unsafe","host":"h.example","pathPrefix":"/unsafe/","kind":"unsafe","timeoutMs":9000,
  "targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":1},
 {"name":"draft","host":"h.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":20000,
  "targetLatencyMs":800,"priority":1,"service":"llm","maxAttempts":1,"gapTargetMs":300}],
 "services":[{"name":"app"},{"name":"llm"}]}"#;
const CONFIG: &str = "/api/config";

/// What a target says of itself.
fn announcement(service: &str, address: SocketAddr, state: &str, sequence: u64) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"z","version":"v1",
        "slots":64,"state":"{state}",
        "sequence":{sequence},"born":7}}"#
    )
}

/// Announces a target at a voter again and again, for as long as the test runs.
fn announce(voter: SocketAddr, service: &'static str, target: &ScriptedTarget) {
    let (path, address) = (format!("/api/instances/{}", target.id), target.address);
    tokio::task::spawn_local(async move {
        for sequence in 1.. {
            call(voter, "PUT", &path, &announcement(service, address, "ready", sequence)).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    });
}

async fn start_voters(net: &Net, count: usize) -> Vec<Vm> {
    let mut voters: Vec<Vm> = (0..count).map(|number| net.voter(number)).collect();
    voters.iter_mut().for_each(Vm::start);
    let first = voters[0].control();
    until("a first document", async || call(first, "PUT", CONFIG, DOCUMENT).await == 200).await;
    voters
}

async fn is_ready(router: SocketAddr) -> bool {
    call(router, "GET", "/api/readyz", "").await == 200
}

#[test]
fn a_stop_under_64_streams_cuts_none_and_answers_who_still_comes() {
    on_one_thread(async {
        const EVENTS: usize = 60;
        let net = Net::new("roles-stop", 1);
        let voters = start_voters(&net, 1).await;
        let stream = Action::Stream { events: EVENTS, gap_ms: 60 };
        let llm = ScriptedTarget::start("llm-1", vec![stream]).await;
        let app =
            ScriptedTarget::start("app-1", vec![Action::Write(answer("200 OK", "done"))]).await;
        announce(voters[0].control(), "llm", &llm);
        announce(voters[0].control(), "app", &app);
        let mut router = net.router(10);
        router.start();
        let (callers, readiness) = (router.callers(), router.readiness());
        until("the router is ready", async || is_ready(readiness).await).await;
        let post = async |n: usize| {
            let id = format!("Attempt-Id: n{n}\r\nDeadline-Ms: 5000\r\n");
            ask(callers, "POST", "/unsafe/x", &id, "b").await
        };
        until("both services are known", async || {
            status(&post(0).await) == 200 && {
                let id = "Attempt-Id: warm\r\nDeadline-Ms: 9000\r\n";
                status(&ask(callers, "POST", "/draft/x", id, "b").await) == 200
            }
        })
        .await;

        let mut streams = Vec::new();
        for n in 0..64 {
            let id = format!("Attempt-Id: s{n}\r\nDeadline-Ms: 19000\r\n");
            streams.push(send(callers, "POST", "/draft/x", &id, "b").await.unwrap());
        }
        until("64 streams run", async || llm.requests() >= 65).await;
        router.signal("TERM");
        until("the balancer is told", async || !is_ready(readiness).await).await;
        // Callers that the balancer has not told yet come for as long as they can connect.
        let late = Rc::new(RefCell::new(0));
        for n in 1.. {
            let id = format!("Attempt-Id: l{n}\r\nDeadline-Ms: 5000\r\n");
            let Some(stream) = send(callers, "POST", "/unsafe/x", &id, "b").await else { break };
            let answer = read(stream).await;
            assert_eq!(status(&answer), 200, "a late caller got: {answer}");
            assert!(answer.to_ascii_lowercase().contains("connection: close"), "{answer}");
            *late.borrow_mut() += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!(*late.borrow() > 10, "it was still open to callers: {}", late.borrow());
        for (n, stream) in streams.into_iter().enumerate() {
            let answer = read(stream).await;
            let events = answer.matches("data: e").count();
            assert!(events == EVENTS && answer.ends_with(END), "stream {n}: {events} events");
        }
        assert_eq!(router.exit_code().await, Some(0));
    });
}

/// The load: requests that have no answer yet at a router whose process is about to end, for a model
/// that no engine holds or at an engine that hangs.
#[test]
fn a_stop_answers_whoever_has_no_answer_yet_before_the_process_ends() {
    // What callers ask for, where that leaves them, and what they are told.
    let cases = [("Model: m1\r\n", "queued", 503, 0), ("", "sent", 502, 8)];
    for (model, event, expected, requests) in cases {
        on_one_thread(async move {
            let net = Net::new(&format!("roles-{event}"), 1);
            let voters = start_voters(&net, 1).await;
            let llm =
                ScriptedTarget::start("llm-1", vec![Action::WriteAndHang(String::new())]).await;
            announce(voters[0].control(), "llm", &llm);
            let mut router = net.router(10);
            let text = std::fs::read_to_string(&router.settings).unwrap();
            let text = text.replace("limit_s = 12", "limit_s = 5");
            std::fs::write(&router.settings, text).unwrap();
            router.start();
            until("the router is ready", async || is_ready(router.readiness()).await).await;
            // Refused until the router knows the engine, which then hangs.
            let hangs = async || {
                let asked = call(router.callers(), "POST", "/draft/x", "b");
                tokio::time::timeout(Duration::from_secs(2), asked).await.is_err()
            };
            until("the engine is known", hangs).await;
            let before = llm.requests();
            let mut open = Vec::new();
            for n in 0..8 {
                let head = format!("Attempt-Id: w{n}\r\nDeadline-Ms: 19000\r\n{model}");
                open.push(send(router.callers(), "POST", "/draft/x", &head, "b").await.unwrap());
            }
            let line = format!("\"event\":\"{event}\"");
            let are_there = async || {
                let log = router.log();
                (0..8).all(|n| {
                    let own = format!("\"id\":\"w{n}\"");
                    log.lines().any(|l| l.contains(&own) && l.contains(&line))
                })
            };
            until("all of them are there", are_there).await;
            router.signal("TERM");
            for stream in open {
                let answer = read(stream).await;
                assert_eq!(status(&answer), expected, "{event}, and cut off: {answer:?}");
            }
            assert_eq!((router.exit_code().await, llm.requests() - before), (Some(0), requests));
        });
    }
}

/// A target that is told that its leaving is known stops soon after; who is cut off must not say so.
#[test]
fn a_voter_that_is_cut_off_acknowledges_no_leaving_and_no_document() {
    on_one_thread(async {
        let net = Net::new("roles-cut", 3);
        let voters = start_voters(&net, 3).await;
        let target =
            ScriptedTarget::start("app-1", vec![Action::Write(answer("200 OK", "done"))]).await;
        let path = "/api/instances/app-1";
        let body = |state, sequence| announcement("app", target.address, state, sequence);
        for voter in &voters {
            let voter = voter.control();
            let taken = async || call(voter, "PUT", path, &body("ready", 1)).await == 200;
            until("a voter passes announcements on", taken).await;
        }
        // Whichever of them leads, the one that is left has no majority.
        for alone in 0..3 {
            let others: Vec<&Vm> = voters
                .iter()
                .enumerate()
                .filter(|(at, _)| *at != alone)
                .map(|(_, vm)| vm)
                .collect();
            let voter = voters[alone].control();
            let leaving = 100 + alone as u64;
            others.iter().for_each(|vm| vm.signal("STOP"));
            // An old leader may go on until its lease is over, not longer.
            let newer = |version: u64| {
                DOCUMENT.replace(r#""version":5"#, &format!(r#""version":{version}"#))
            };
            let refuses =
                async || call(voter, "PUT", path, &body("draining", leaving)).await == 503;
            until("the leaving is not acknowledged", refuses).await;
            assert_eq!(call(voter, "PUT", path, &body("draining", leaving)).await, 503);
            assert_eq!(call(voter, "PUT", CONFIG, &newer(6 + alone as u64)).await, 503);
            assert_eq!(call(voter, "GET", CONFIG, "").await, 503, "it cannot be sure");
            others.iter().for_each(|vm| vm.signal("CONT"));
            let taken = async || call(voter, "GET", CONFIG, "").await == 200;
            until("the group is together again", taken).await;
        }
        // What had no clear answer may have come into force; what is sent now does, everywhere.
        let last = DOCUMENT.replace(r#""version":5"#, r#""version":90"#);
        let put = async || call(voters[1].control(), "PUT", CONFIG, &last).await == 200;
        until("a later document", put).await;
        for voter in &voters {
            let found = ask(voter.control(), "GET", CONFIG, "", "").await;
            assert!(found.contains(r#""version":90"#), "{found}");
        }
    });
}

#[test]
fn a_changed_settings_file_is_taken_at_the_signal_alone_and_a_wrong_one_never() {
    on_one_thread(async {
        let net = Net::new("roles-reload", 1);
        let mut router = net.router(10);
        router.start();
        until("the router runs", async || router.log().contains("serves callers")).await;
        let good = std::fs::read_to_string(&router.settings).unwrap();
        let other = good.replace("first = ", "first = 127.1.1.9,");
        std::fs::write(&router.settings, &other).unwrap();
        router.signal("HUP");
        until("the change is taken", async || router.log().contains("127.1.1.9")).await;
        assert_eq!(router.log().matches("reload: ").count(), 1, "{}", router.log());

        std::fs::write(&router.settings, good.replace("peer_port", "pear_port")).unwrap();
        router.signal("HUP");
        let refused = async || router.log().contains("reload: the settings file is not taken");
        until("the wrong file is refused", refused).await;
        let is_asked = call(router.readiness(), "GET", "/api/readyz", "").await;
        assert_eq!(is_asked, 503, "it goes on, and knows no document");
        router.signal("TERM");
        assert_eq!(router.exit_code().await, Some(0));
    });
}
