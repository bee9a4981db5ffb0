//! The first minute of a newcomer: `fescuebay dev` and the lines that it prints.

mod common;
#[path = "nine/web.rs"]
#[allow(dead_code, reason = "the black-box tests of nine daemons use the rest")]
mod web;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use serde_json::Value;

/// A `dev` process that is ended with the test.
struct Dev {
    child: Child,
    traffic: String,
}

impl Drop for Dev {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start() -> Dev {
    let mut command = common::fescuebay();
    command.arg("dev").stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut child = command.spawn().unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let printed: Vec<String> =
        lines.map(Result::unwrap).take_while(|line| !line.contains("fescuebay report")).collect();
    let stream = printed.iter().find(|line| line.contains("/v1/chat/completions")).unwrap();
    let from = stream.find("http://").unwrap();
    let to = stream.find("/v1/chat").unwrap();
    Dev { child, traffic: stream[from..to].to_owned() }
}

const JSON: [(&str, &str); 1] = [("content-type", "application/json")];

#[tokio::test]
async fn dev_answers_as_printed_refuses_clearly_and_ends_with_code_0() {
    let mut dev = start();
    let complete = format!("{}/v1/chat/completions", dev.traffic);
    let body = r#"{"model":"care-summary","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"ate well"}]}"#;
    // Until the first configuration is in force, the model is not known.
    let mut answer = web::call("POST", &complete, &JSON, body).await.unwrap();
    while answer.status == 404 {
        answer = web::call("POST", &complete, &JSON, body).await.unwrap();
    }
    assert!(answer.is_stream_of(4), "{answer:?}");

    let profile = format!("{}/services/profiles/donkeys/lucero", dev.traffic);
    let profile = web::call("GET", &profile, &[], "").await.unwrap();
    assert_eq!(profile.status, 200, "{profile:?}");

    let desk = format!("{}/services/desk/reservations", dev.traffic);
    let key = [("idempotency-key", "lucero-2026")];
    let first = web::call("POST", &desk, &key, "{}").await.unwrap();
    let again = web::call("POST", &desk, &key, "{}").await.unwrap();
    assert_eq!((first.status, &first.body), (again.status, &again.body));
    assert!(first.body.contains("\"executions\":1"), "{first:?}");

    let cases = [
        ("an unknown model", complete.as_str(), r#"{"model":"nobody"}"#, &JSON[..], 404),
        ("no JSON", complete.as_str(), "{", &JSON[..], 400),
        ("another request under the key", desk.as_str(), r#"{"x":1}"#, &key[..], 422),
        ("a call that may not repeat, without a key", desk.as_str(), "{}", &[][..], 400),
    ];
    for (what, url, body, headers, status) in cases {
        let refused = web::call("POST", url, headers, body).await.unwrap();
        assert_eq!(refused.status, status, "{what}: {refused:?}");
        assert_eq!(refused.ran.as_deref(), Some("no"), "{what}: {refused:?}");
        let problem: Value = serde_json::from_str(&refused.body).unwrap();
        assert!(problem["code"].is_string() && problem["ran"] == "no", "{what}: {problem}");
    }

    let id = dev.child.id().to_string();
    assert!(Command::new("kill").args(["-INT", &id]).status().unwrap().success());
    assert_eq!(dev.child.wait().unwrap().code(), Some(0));
}
