//! Entries of another writer among the announcements of targets, with processes of the built binary.

mod common;
mod gateway_support;
mod roles_support;

use std::time::Duration;

use common::process::until;
use gateway_support::{Action, ScriptedTarget, answer, on_one_thread, status};
use roles_support::{Net, Vm, ask, call};

const DOCUMENT: &str = r#"{"version":5,"routes":[
 {"name":"look","host":"h.example","pathPrefix":"/look/","kind":"safe","timeoutMs":5000,
  "targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":2},
 {"name":"draft","host":"h.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":3000,
  "targetLatencyMs":300,"priority":1,"service":"llm","maxAttempts":1,"gapTargetMs":300}],
 "services":[{"name":"app"},{"name":"llm","engine":{"slots":64,"weightsMb":230000,
  "adapterSlots":8,"loadsPerS":3.1,"models":[{"name":"m1","weightsMb":65100,"loadS":6.0}]}}]}"#;

/// A sound entry, of which one value is replaced by an odd one.
fn entry(service: &str, name: &str, value: &str) -> String {
    let fields = [
        ("service", format!("\"{service}\"")),
        ("address", "\"127.0.0.1:9\"".to_owned()),
        ("zone", "\"z\"".to_owned()),
        ("version", "\"v1\"".to_owned()),
        ("slots", "64".to_owned()),
        ("state", "\"ready\"".to_owned()),
        ("coldRemainingMs", "0".to_owned()),
        ("stage", "\"unified\"".to_owned()),
        ("models", r#"[{"name":"m1","version":1,"adapters":[]}]"#.to_owned()),
        ("atHand", r#"{"inMemory":["m1"],"onDisk":[]}"#.to_owned()),
        ("sequence", "1".to_owned()),
        ("born", "1700000000000".to_owned()),
    ];
    let mut texts: Vec<String> = fields
        .iter()
        .map(|(field, usual)| {
            let text = if *field == name { value } else { usual };
            format!("\"{field}\":{text}")
        })
        .collect();
    if !fields.iter().any(|(field, _)| *field == name) {
        texts.push(format!("\"{name}\":{value}"));
    }
    format!("{{{}}}", texts.join(","))
}

fn odd_entries() -> Vec<String> {
    let deep = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let deep_objects = format!("{}1{}", "{\"a\":".repeat(100_000), "}".repeat(100_000));
    let numbers = [
        "1e400",
        "-1",
        "1.5",
        "18446744073709551615",
        "18446744073709551614",
        "99999999999999999999999999",
        "4294967295",
        "9223372036854775807",
        "null",
        "\"7\"",
    ];
    let addresses = [
        "\"127.0.0.1:65536\"",
        "\"127.0.0.1:99999999999\"",
        "\"127.0.0.1:0\"",
        "\"127.0.0.1:-1\"",
        "\"127.0.0.1\"",
        "\"0.0.0.0:0\"",
        "\"[::]:80\"",
        "\"255.255.255.255:65535\"",
        "7",
        "null",
    ];
    let mut bodies = vec![deep(100_000), deep_objects.clone(), "{".repeat(50_000), String::new()];
    for service in ["app", "llm", "unknown"] {
        for field in ["slots", "sequence", "born", "coldRemainingMs", "remainingMs", "kvTotal"] {
            bodies.extend(numbers.iter().map(|number| entry(service, field, number)));
        }
        bodies.extend(addresses.iter().map(|address| entry(service, "address", address)));
        for depth in [100, 1_000, 100_000] {
            bodies.push(entry(service, "other", &deep(depth)));
            bodies.push(entry(service, "models", &deep(depth)));
        }
        bodies.push(entry(service, "other", &deep_objects));
        let odd_models = [
            r#"[{"name":"m1","version":18446744073709551615,"adapters":[]}]"#,
            r#"[{"name":"m1","version":1e300,"adapters":[]}]"#,
            r#"[{"name":"","version":1,"adapters":[""]}]"#,
        ];
        bodies.extend(odd_models.iter().map(|models| entry(service, "models", models)));
        bodies.push(entry(service, "zone", &format!("\"{}\"", "z".repeat(100_000))));
        bodies.push(entry(service, "state", "\"weird\""));
    }
    bodies
}

/// Announces a sound target with the next number.
async fn announce(voter: &Vm, service: &str, target: &ScriptedTarget, sequence: u64) -> u16 {
    let body = entry(service, "address", &format!("\"{}\"", target.address));
    let body = body.replace("\"sequence\":1", &format!("\"sequence\":{sequence}"));
    call(voter.control(), "PUT", &format!("/api/instances/{}", target.id), &body).await
}

/// The processes go on, and what sound targets say is followed, while odd entries come under ids of their
/// own and under the id of a sound target.
#[test]
fn odd_entries_among_announcements_end_no_process_and_stop_no_router() {
    on_one_thread(async {
        let net = Net::new("odd-announcements", 3);
        let mut voters: Vec<Vm> = (0..3).map(|number| net.voter(number)).collect();
        voters.iter_mut().for_each(Vm::start);
        let first = voters[0].control();
        let put = async || call(first, "PUT", "/api/config", DOCUMENT).await == 200;
        until("a first document", put).await;
        let mut router = net.router(10);
        router.start();
        let ok = || vec![Action::Write(answer("200 OK", "done"))];
        let before = ScriptedTarget::start("sound-1", ok()).await;
        let callers = router.callers();
        let serves = async |id: &str| {
            let headers = format!("Attempt-Id: {id}\r\nDeadline-Ms: 4000\r\n");
            status(&ask(callers, "GET", "/look/x", &headers, "").await) == 200
        };
        until("the router serves", async || {
            announce(&voters[0], "app", &before, 1).await;
            serves("a").await
        })
        .await;

        for (number, body) in odd_entries().iter().enumerate() {
            let voter = voters[number % 3].control();
            let path = format!("/api/instances/odd-{number}");
            let code = call(voter, "PUT", &path, body).await;
            assert!([200, 400, 503].contains(&code), "{code} to {}", &body[..body.len().min(200)]);
            let names_no_port = body.contains("127.0.0.1:0\"") || body.contains("0.0.0.0:0\"");
            assert!(!names_no_port || code == 400, "{code} to an address that nobody has: {body}");
            // The same under the id of the target that is in use, unless it names a later life.
            if code != 200 {
                call(voter, "PUT", "/api/instances/sound-1", body).await;
            }
        }
        let after = ScriptedTarget::start("sound-2", ok()).await;
        // A target that is sound goes on announcing itself.
        let mut sequence = 1;
        until("a later target is followed", async || {
            sequence += 1;
            announce(&voters[1], "app", &after, sequence).await;
            serves("b").await;
            after.requests() > 0
        })
        .await;
        for voter in &mut voters {
            assert_eq!(voter.ended(), None, "a voter has ended: {}", voter.ip);
            assert!(!voter.log().contains("panicked"), "{}", voter.ip);
        }
        assert_eq!(router.ended(), None, "the router has ended");
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(announce(&voters[1], "app", &after, sequence + 1).await, 200);
        assert!(serves("c").await, "the router serves on");
    });
}
