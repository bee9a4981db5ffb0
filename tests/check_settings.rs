//! `fescuebay check` finds every problem of a settings file, each at its line.

mod common;

use std::fs;
use std::path::Path;

const HASH: &str = "98a64360bb452542fe4a15d4b0a8f28d9d307e6b6564263db5a15b4f40892cd1";

/// Settings without a problem; the comment at the end of a line is its number.
fn good() -> Vec<String> {
    let lines = [
        "[daemon]",                              // 1
        "id = andina-a-1",                       // 2
        "availability_zone = andina-a",          // 3
        "ip = 127.0.1.1",                        // 4
        "traffic_port = 7100",                   // 5
        "admin_port = 7102",                     // 6
        "threads = 2",                           // 7
        "data_folder = .",                       // 8
        "[cluster]",                             // 9
        "id = sanctuary",                        // 10
        &format!("key = {HASH}"),                // 11
        "[peers]",                               // 12
        "andina-a-1 = andina-a 127.0.1.1 voter", // 13
        "andina-b-1 = andina-b 127.0.1.2",       // 14
        "andina-c-1 = andina-c 127.0.1.3:7103",  // 15
        "[tenants]",                             // 16
        &format!("adoption-desk = {HASH}"),      // 17
        "[targets]",                             // 18
        "heartbeat = 500 ms",                    // 19
        "suspect = 1500 ms",                     // 20
        "dead = 5 s",                            // 21
        "checks_fencing = runner-1, runner-2",   // 22
        "[log]",                                 // 23
        "level = info",                          // 24
        "[defaults]",                            // 25
        "deadline = 30 s",                       // 26
    ];
    lines.map(str::to_owned).to_vec()
}

/// The lines and keys of all problems.
fn problems(lines: &[String], name: &str) -> (Option<i32>, Vec<(u64, String)>) {
    let folder = common::folder(&format!("check-{name}"));
    let file = folder.join("settings.ini");
    fs::write(&file, lines.join("\n")).unwrap();
    let output = common::fescuebay()
        .args(["check", "--json", "--settings"])
        .arg(&file)
        .current_dir(&folder)
        .output()
        .unwrap();
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let problems = json.as_array().unwrap().iter().map(|problem| {
        assert!(!problem["what"].as_str().unwrap().is_empty());
        (problem["line"].as_u64().unwrap(), problem["key"].as_str().unwrap().to_owned())
    });
    (output.status.code(), problems.collect())
}

#[test]
fn settings_without_a_problem_pass() {
    assert_eq!(problems(&good(), "good"), (Some(0), Vec::new()));
}

/// One line replaced, and the problems that this must give.
type Case = (usize, &'static str, &'static [(u64, &'static str)]);

const CASES: &[Case] = &[
    (2, "id =", &[(2, "id"), (13, "andina-a-1")]),
    (2, "idd = andina-a-1", &[(1, "id"), (2, "idd"), (13, "andina-a-1")]),
    (3, "availability_zone = andina-b", &[(3, "availability_zone")]),
    (4, "ip = vm-1.example", &[(4, "ip")]),
    (4, "ip = 0.0.0.0", &[(4, "ip")]),
    (4, "ip = 127.0.1.2", &[(4, "ip"), (14, "andina-b-1")]),
    (5, "traffic_port = 70000", &[(5, "traffic_port")]),
    (5, "traffic_port = 0", &[(5, "traffic_port")]),
    (5, "traffic_port = 7102", &[(6, "admin_port")]),
    (6, "peer_port = 7100", &[(6, "peer_port")]),
    (7, "threads = many", &[(7, "threads")]),
    (7, "ip = 127.0.1.1", &[(7, "ip")]),
    (7, "incarnation = dawn", &[(7, "incarnation")]),
    (8, "data_folder = /proc/none", &[(8, "data_folder")]),
    (8, "", &[(13, "andina-a-1")]),
    (9, "[clutser]", &[(0, "id"), (0, "key"), (9, "")]),
    (9, "[cluster", &[(0, "id"), (0, "key"), (9, "")]),
    (10, "", &[(9, "id")]),
    (11, "key = secret", &[(11, "key")]),
    (13, "andina-a-1 = andina-a 127.0.1.1", &[(8, "data_folder")]),
    (14, "andina-a-1 = andina-b 127.0.1.2", &[(14, "andina-a-1")]),
    (14, "andina-b-1 = andina-b 127.0.1.3", &[(15, "andina-c-1")]),
    (14, "andina-b-1 = andina-b vm-2", &[(14, "andina-b-1")]),
    (14, "andina-b-1 = andina-b 127.0.1.2 votes", &[(14, "andina-b-1")]),
    (14, "andina-b-1", &[(14, "andina-b-1")]),
    (17, "adoption-desk = a-token-in-clear", &[(16, ""), (17, "adoption-desk")]),
    (17, "", &[(16, "")]),
    (24, "# level = info", &[(24, "")]),
    (19, "heartbeat = 500", &[(19, "heartbeat")]),
    (20, "suspect = 100 ms", &[(20, "suspect")]),
    (21, "dead = 1 s", &[(21, "dead")]),
    (22, "checks_fencing = runner 1:2", &[(22, "checks_fencing")]),
    (24, "level = loud", &[(24, "level")]),
    (24, "level = info\nlevel = warn", &[(25, "level")]),
    (25, "[log]", &[(25, ""), (26, "deadline")]),
    (26, "deadline = 30 min min", &[(26, "deadline")]),
    (26, "deadlines = 30 s", &[(26, "deadlines")]),
    (26, "rank = 12", &[(26, "rank")]),
    (26, "drain = yes", &[(26, "drain")]),
];

#[test]
fn each_problem_is_found_at_its_line() {
    for (case, (line, text, expected)) in CASES.iter().enumerate() {
        let mut lines = good();
        lines[line - 1] = (*text).to_owned();
        let (code, found) = problems(&lines, &format!("case-{case}"));
        let expected: Vec<(u64, String)> =
            expected.iter().map(|(line, key)| (*line, (*key).to_owned())).collect();
        assert_eq!(code, Some(1), "line {line} as {text:?}");
        assert_eq!(found, expected, "line {line} as {text:?}");
    }
}

#[test]
fn all_problems_are_told_at_once() {
    let mut lines = good();
    for (line, text) in [(4, "ip = host"), (11, "key = 7"), (21, "dead = soon"), (26, "rank = x")] {
        lines[line - 1] = text.to_owned();
    }
    let found: Vec<u64> = problems(&lines, "all").1.iter().map(|(line, _)| *line).collect();
    assert_eq!(found, [4, 11, 21, 26]);
}

#[test]
fn no_key_or_token_is_repeated_in_a_problem() {
    let folder = common::folder("check-hidden");
    let file = folder.join("settings.ini");
    let mut lines = good();
    lines[10] = "key = 0123-secret".to_owned();
    lines[16] = "adoption-desk = token-secret".to_owned();
    fs::write(&file, lines.join("\n")).unwrap();
    let output = common::fescuebay().args(["check", "--settings"]).arg(&file).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let printed = common::stdout(&output) + &common::stderr(&output);
    assert!(printed.contains("line 11: [cluster] key: "), "{printed}");
    assert!(!printed.contains("secret"), "{printed}");
}

#[test]
fn a_file_that_cannot_be_read_is_a_problem() {
    let output =
        common::fescuebay().args(["check", "--settings", "no/such/file.ini"]).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(common::stderr(&output).contains("no/such/file.ini cannot be read"));
}

#[test]
fn the_examples_pass() {
    let folder = common::folder("check-examples");
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    for team in ["sanctuary", "gilders"] {
        let mut count = 0;
        for entry in fs::read_dir(examples.join(team)).unwrap() {
            let path = entry.unwrap().path();
            if path.extension().is_some_and(|extension| extension == "ini") {
                let check = common::fescuebay()
                    .args(["check", "--settings"])
                    .arg(&path)
                    .current_dir(&folder)
                    .output()
                    .unwrap();
                assert!(check.status.success(), "{}", common::stdout(&check));
                count += 1;
            }
        }
        assert_eq!(count, 9, "VMs of {team}");
    }
}
