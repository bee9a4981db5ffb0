//! `fescuebay explain`: the story of one request, from lines of several routers and bad ones among them.

mod common;

use std::io::Write as _;
use std::process::{Output, Stdio};

use common::{fescuebay, folder, stderr, stdout};
use fescuebay::story::COLUMNS;

const FIRST: &str = r#"{"time":"2026-03-01T10:00:01.000Z","level":"info","message":"start"}
{"time":"2026-03-01T10:00:02.000Z","request":{"id":"a1","event":"admitted","route":"r-1","document":4,"service":"llm","model":"m1:a60","left_ms":7418}}
{"time":"2026-03-01T10:00:02.001Z","request":{"id":"other","event":"admitted","route":"r-2"}}
{"time":"2026-03-01T10:00:02.002Z","request":{"id":"a1","event":"queued","why":"no target holds the model","waiting":1}}
{"time":"2026-03-01T10:00:02.900Z","request":{"id":"a1","event":"sent","target":"i-1","attempt":1,"table_age_ms":null,"after_ms":900}}
{"time":"2026-03-01T10:00:03.000Z","request":{"id":"a1","event":"attempt_failed","target":"i-1","failure":"broken","after_ms":100}}
{"time":"2026-03-01T10:00:03.400Z","request":{"id":"a1","event":"refused","status":502,"why":"broken","may_have_run":true,"after_ms":1400}}
"#;

/// Runs the command with these arguments and this standard input.
fn explain(arguments: &[&str], input: &[u8]) -> Output {
    let mut command = fescuebay();
    command.arg("explain").args(arguments);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn a_request_is_told_from_its_begin_to_its_end() {
    let output = explain(&["a1"], FIRST.as_bytes());
    let text = stdout(&output);
    assert!(output.status.success(), "{}", stderr(&output));
    assert!(text.lines().all(|line| line.chars().count() <= COLUMNS), "{text}");
    let parts = [
        "request a1",
        "10:00:02.000 admitted",
        "left: 7418 ms",
        "model: m1:a60",
        "10:00:02.002 queued",
        "why: no target holds the model",
        "10:00:02.900 sent",
        "10:00:03.000 attempt failed",
        "failure: broken",
        "10:00:03.400 refused",
        "may have run: true",
        "its end: refused",
    ];
    let mut rest = text.as_str();
    for part in parts {
        let at = rest.find(part).unwrap_or_else(|| panic!("{part} is not next in: {rest}"));
        rest = &rest[at + part.len()..];
    }
    assert!(!text.contains("other") && !text.contains("null"), "{text}");
}

#[test]
fn lines_of_several_files_are_put_in_order_and_bad_ones_named() {
    let folder = folder("explain");
    let one = folder.join("one.log");
    let two = folder.join("two.log");
    std::fs::write(&one, FIRST).unwrap();
    let earlier = r#"router-2 {"time":"2026-03-01T10:00:01.500Z","request":{"id":"a1","event":"refused","status":503}}"#;
    let no_time = r#"{"request":{"id":"a1","event":"sent"}}"#;
    let mut bytes = format!("no line\n\n{earlier}\n{{\"time\":\n{no_time}\n").into_bytes();
    bytes.extend_from_slice(b"\xff\xfe{}\n");
    bytes.extend(vec![b'x'; 2 << 20]);
    std::fs::write(&two, bytes).unwrap();
    let files = [one.to_str().unwrap(), two.to_str().unwrap()];

    let output = explain(&["--json", "a1", files[0], files[1]], b"");
    assert!(output.status.success(), "{}", stderr(&output));
    let story: serde_json::Value = serde_json::from_str(&stdout(&output)).unwrap();
    let events: Vec<&str> =
        story["steps"].as_array().unwrap().iter().map(|s| s["event"].as_str().unwrap()).collect();
    assert_eq!(events, ["refused", "admitted", "queued", "sent", "attempt_failed", "refused"]);
    assert_eq!(story["bad_lines"], 5);
    let bad: Vec<u64> =
        story["bad"].as_array().unwrap().iter().map(|b| b["line"].as_u64().unwrap()).collect();
    assert_eq!(bad, [1, 4, 5, 6, 7]);
    let text = stdout(&explain(&["a1", files[0], files[1]], b""));
    assert!(text.lines().all(|line| line.chars().count() <= COLUMNS), "{text}");
    assert!(text.contains("lines that could not be read: 5"), "{text}");
}

#[test]
fn a_request_that_no_line_names_and_a_file_that_is_not_there_are_told() {
    let output = explain(&["zz"], FIRST.as_bytes());
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("no line names the request zz"), "{}", stderr(&output));
    let output = explain(&["a1", "not-there.log"], b"");
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("not-there.log"), "{}", stderr(&output));
    let cut: String = FIRST.lines().take(4).collect::<Vec<_>>().join("\n");
    let output = explain(&["a1"], cut.as_bytes());
    assert!(stdout(&output).contains("its end is not in these lines"), "{}", stdout(&output));
}
