//! The operators' commands through the built binary, against the admin API over a small fake.

mod common;
mod config_cases;

use std::net::SocketAddr;
use std::process::Output;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use error_stack::Report;
use fescuebay::admin::{self, server, view};
use fescuebay::config::{self, Facts, Fleet, Outcome, State};
use fescuebay::ids::{Digest, IdempotencyKey, JobId, OperatorName, Revision, TenantId};
use fescuebay::settings::Tokens;
use fescuebay::settings::tokens::Hash;
use fescuebay::units::Millis;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const TOKEN: &str = "a-token-of-maria";

/// One control group in memory, whose answers can be lost and one of whose daemons can lag.
struct Fake {
    state: Mutex<State>,
    answers_to_lose: AtomicU32,
    is_lagging: bool,
    done: Mutex<Vec<String>>,
}

impl Fake {
    fn note(&self, done: String) -> admin::Result<()> {
        self.done.lock().unwrap().push(done);
        Ok(())
    }
}

impl admin::Backend for Fake {
    async fn change(&self, change: config::Change) -> admin::Result<Outcome> {
        let mut state = self.state.lock().unwrap();
        let outcome = match state.check(&change, &Facts::default(), 1000) {
            Some(outcome) => outcome,
            None => state.apply(config::Command::Change(change), 1000),
        };
        let lost = self
            .answers_to_lose
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
        match lost {
            Ok(_) => Err(Report::new(admin::Error::Unavailable("no leader".to_owned()))),
            Err(_) => Ok(outcome),
        }
    }

    fn fleet(&self) -> Arc<Fleet> {
        Arc::new(self.state.lock().unwrap().fleet().clone())
    }

    async fn changes(&self, after: Revision, limit: usize) -> admin::Result<Vec<config::Accepted>> {
        let state = self.state.lock().unwrap();
        Ok(state.trail().filter(|made| made.revision > after).take(limit).cloned().collect())
    }

    async fn revision(&self) -> admin::Result<view::Revisions> {
        let accepted = self.fleet().revision();
        let daemon = |name: &str, in_force| view::DaemonRevision {
            daemon: name.parse().unwrap(),
            availability_zone: "andina-a".parse().unwrap(),
            in_force,
            silent_ms: Some(Millis(10)),
        };
        let late = if self.is_lagging { Revision(accepted.0.saturating_sub(1)) } else { accepted };
        Ok(view::Revisions {
            accepted,
            daemons: vec![daemon("andina-a-1", accepted), daemon("andina-c-2", late)],
        })
    }

    async fn targets(&self) -> admin::Result<Vec<view::Target>> {
        Ok(Vec::new())
    }

    async fn models(&self) -> admin::Result<Vec<view::Model>> {
        Ok(Vec::new())
    }

    async fn voters(&self) -> admin::Result<Vec<view::Voter>> {
        Ok(Vec::new())
    }

    async fn replace_voter(&self, replacement: view::Replacement) -> admin::Result<()> {
        self.note(format!("replace {} by {}", replacement.old, replacement.new))
    }

    async fn report(&self, window: view::Window, format: view::Format) -> admin::Result<String> {
        Ok(format!("report on the {window} as {format}"))
    }

    async fn records(&self, filter: view::RecordFilter) -> admin::Result<Vec<view::Record>> {
        let record = view::Record {
            tenant: "desk".parse().unwrap(),
            key: Some("reserve/431".parse().unwrap()),
            state: "unknown".to_owned(),
            daemon: None,
            created_ms: 0,
            expires_ms: 0,
        };
        let is_asked = filter.state.is_none_or(|state| state == record.state)
            && filter.tenant.is_none_or(|tenant| tenant == record.tenant);
        Ok(if is_asked { vec![record] } else { Vec::new() })
    }

    async fn settle_record(
        &self,
        tenant: TenantId,
        key: IdempotencyKey,
        settlement: view::Settlement,
        author: OperatorName,
    ) -> admin::Result<()> {
        let view::Settlement { finding, reason } = settlement;
        self.note(format!("{author}: {tenant} {key} {finding:?} {reason}"))
    }

    async fn jobs(&self, _limit: usize) -> admin::Result<Vec<view::Job>> {
        Ok(Vec::new())
    }

    async fn cancel_job(
        &self,
        job: JobId,
        _reason: String,
        _author: OperatorName,
    ) -> admin::Result<()> {
        Err(Report::new(admin::Error::NotFound(format!("job {job}"))))
    }

    async fn poison(&self) -> admin::Result<Vec<view::Poison>> {
        Ok(Vec::new())
    }

    async fn lift_poison(
        &self,
        digest: Digest,
        reason: String,
        author: OperatorName,
    ) -> admin::Result<()> {
        self.note(format!("{author}: lift {digest} {reason}"))
    }
}

/// A served fake; it stops with the test.
struct Admin {
    fake: Arc<Fake>,
    address: SocketAddr,
    runtime: tokio::runtime::Runtime,
}

impl Admin {
    fn start(answers_to_lose: u32, is_lagging: bool) -> Self {
        let fake = Arc::new(Fake {
            state: Mutex::new(config_cases::fleet_state()),
            answers_to_lose: AtomicU32::new(answers_to_lose),
            is_lagging,
            done: Mutex::default(),
        });
        let mut tokens = Tokens::default();
        tokens.add_operator("maria".parse().unwrap(), Hash::of(TOKEN));
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let router = server::router(fake.clone(), tokens);
        runtime.spawn(async move { axum::serve(listener, router).await });
        Self { fake, address, runtime }
    }

    /// Runs a command line, split at spaces; `~` stands for a space within an argument.
    fn run(&self, line: &str) -> Output {
        self.run_as(TOKEN, line)
    }

    fn run_as(&self, token: &str, line: &str) -> Output {
        common::fescuebay()
            .args(line.split(' ').map(|argument| argument.replace('~', " ")))
            .env("FESCUEBAY_ADMIN", self.address.to_string())
            .env("FESCUEBAY_TOKEN", token)
            .output()
            .unwrap()
    }

    /// Runs a command line that must succeed, and returns what it printed.
    fn ok(&self, line: &str) -> String {
        let output = self.run(line);
        assert!(output.status.success(), "{line}: {}", common::stderr(&output));
        common::stdout(&output)
    }

    /// Runs a command line that must fail with `code`, and returns its message.
    fn fails(&self, code: i32, line: &str) -> String {
        let output = self.run(line);
        assert_eq!(output.status.code(), Some(code), "{line}: {}", common::stderr(&output));
        common::stderr(&output)
    }

    fn revision(&self) -> Revision {
        self.fake.state.lock().unwrap().fleet().revision()
    }

    /// Sends bytes and returns the whole answer.
    fn raw(&self, request: &str) -> String {
        self.runtime.block_on(async {
            let mut stream = tokio::net::TcpStream::connect(self.address).await.unwrap();
            stream.write_all(request.as_bytes()).await.unwrap();
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.unwrap();
            answer
        })
    }
}

#[test]
fn defaults_and_exceptions_are_made_listed_and_explained() {
    let admin = Admin::start(0, false);
    assert!(admin.ok("defaults set deadline=45~s rank=6 --wait").contains("in force at all 2"));
    let shown = admin.ok("defaults show");
    assert!(shown.contains("deadline             45 s"), "{shown}");
    let added = admin.ok("exceptions add --for model=quill --set rank=2 --reason autumn~fair");
    assert_eq!(added, "accepted: revision 3, exception 1, in force everywhere within seconds\n");
    let listed = admin.ok("exceptions list");
    assert!(listed.contains("1   model=quill  rank = 2  removed  maria  autumn fair"), "{listed}");
    let explained = admin.ok("defaults explain --for model=quill rank");
    assert!(
        explained.contains("rank  2      exception 1  6 (default), 5 (built in)"),
        "{explained}"
    );
    let json: serde_json::Value =
        serde_json::from_str(&admin.ok("defaults explain --for model=quill rank --json")).unwrap();
    assert_eq!(json["values"][0]["decided_by"]["exception"], 1);
    admin.ok("exceptions remove 1 --reason it~is~over");
    assert!(admin.ok("exceptions list").contains("no exceptions"));
    let trail = admin.ok("changes list --after 2");
    assert!(trail.contains("maria: exception for model=quill: rank = 2; autumn fair"), "{trail}");
    assert!(trail.contains("exception 1 removed (it is over)"), "{trail}");
}

#[test]
fn a_target_is_drained_and_taken_back() {
    let admin = Admin::start(0, false);
    admin.ok("drain runner-7 --reason fan~is~loud");
    assert!(admin.ok("exceptions list").contains("target=runner-7  drain = yes"));
    admin.ok("drain runner-7 --undo --reason fan~replaced");
    assert!(admin.ok("exceptions list").contains("no exceptions"));
    assert!(admin.fails(1, "drain runner-7 --undo --reason x").contains("not being drained"));
}

#[test]
fn a_change_on_an_old_revision_is_a_conflict_that_shows_what_differs() {
    let admin = Admin::start(0, false);
    let base = admin.revision();
    admin.ok("defaults set max_waiting=7 --reason first~operator");
    let told = admin.fails(4, &format!("defaults set max_waiting=8 --base {base}"));
    assert!(told.contains("the revision is now 2"), "{told}");
    assert!(told.contains("maria: default max_waiting = 7 (first operator)"), "{told}");
}

#[test]
fn a_lost_answer_is_asked_for_again_and_nothing_is_done_twice() {
    for (answers_to_lose, code) in [(1, 0), (2, 0), (3, 3)] {
        let admin = Admin::start(answers_to_lose, false);
        let base = admin.revision();
        let line = format!(
            "exceptions add --for model=quill --set rank=2 --reason fair --base {base} --change-id c1"
        );
        let output = admin.run(&line);
        assert_eq!(output.status.code(), Some(code), "{}", common::stderr(&output));
        assert_eq!(admin.revision(), base.next());
        if code == 3 {
            let told = common::stderr(&output);
            assert!(told.contains("the same command with --base 1 --change-id c1 tells"), "{told}");
        }
        assert!(admin.ok(&line).contains("accepted: revision 2, exception 1"));
        assert_eq!(admin.revision(), base.next());
    }
}

#[test]
fn a_refusal_names_every_problem() {
    let admin = Admin::start(0, false);
    let line = "exceptions add --for model=quil,class=x --set rank=2 --set drain=yes --reason ~";
    let told = admin.fails(1, line);
    for part in ["a written reason", "no model quil", "no class x", "drain: it governs targets"] {
        assert!(told.contains(part), "{part:?} in {told}");
    }
}

#[test]
fn a_daemon_that_lags_is_named() {
    let admin = Admin::start(0, true);
    let told = admin.fails(6, "defaults set rank=3 --wait=200~ms");
    assert!(told.contains("not in force yet at andina-c-2"), "{told}");
    assert!(admin.ok("revision").contains("andina-c-2  andina-a  1 (lags)"));
}

#[test]
fn edits_in_a_file_are_one_change() {
    let admin = Admin::start(0, false);
    let file = common::folder("cli-edits").join("edits.json");
    std::fs::write(
        &file,
        r#"[{"remove_service":"desk"},{"set_default":{"key":"rank","value":"4"}}]"#,
    )
    .unwrap();
    admin.ok(&format!("changes make --reason tidy --edits {}", file.display()));
    assert_eq!(admin.revision(), Revision(2));
    assert!(admin.ok("catalogue").contains("no services"));
    std::fs::write(&file, r#"[{"set_default":{"key":"rank","value":"44"}}]"#).unwrap();
    let told = admin.fails(1, &format!("changes make --reason x --edits {}", file.display()));
    assert!(told.contains("it must lie between 0 and 9"), "{told}");
}

#[test]
fn commands_on_work_reach_the_backend_with_their_author() {
    let admin = Admin::start(0, false);
    let digest = Digest::of(&[b"x"]);
    admin.ok("records settle desk reserve/431 --ran --reason the~desk~shows~it");
    admin.ok(&format!("poison lift {digest} --reason engine~mended"));
    admin.ok("voters replace --old andina-b-1 --new andina-b-2");
    assert_eq!(
        *admin.fake.done.lock().unwrap(),
        [
            "maria: desk reserve/431 Ran the desk shows it".to_owned(),
            format!("maria: lift {digest} engine mended"),
            "replace andina-b-1 by andina-b-2".to_owned(),
        ]
    );
    for line in ["voters", "voters list"] {
        assert_eq!(admin.ok(line), "no voters\n");
    }
    assert!(admin.ok("records list --state unknown --tenant desk").contains("reserve/431"));
    assert!(admin.ok("records list --state answered").contains("no records"));
    assert!(admin.fails(1, "jobs cancel job-1 --reason x").contains("there is no job job-1"));
    assert_eq!(admin.ok("report --window week --html"), "report on the week as html\n");
    assert!(admin.fails(1, &format!("poison lift {digest} --reason ~")).contains("write a reason"));
    admin.fails(2, "poison lift 0 --reason x");
}

#[test]
fn each_kind_of_failure_has_its_exit_code() {
    let admin = Admin::start(0, false);
    assert_eq!(admin.run_as("another-token", "revision").status.code(), Some(5));
    assert_eq!(admin.run_as("a-tenants-token", "defaults set rank=1").status.code(), Some(5));
    assert_eq!(admin.revision(), Revision(1));
    admin.fails(2, "exceptions add --for model=quill --set rank=1");
    admin.fails(2, "defaults set rank=12");
    let nobody = common::fescuebay()
        .args(["revision", "--admin", "127.0.0.1:1"])
        .env("FESCUEBAY_TOKEN", TOKEN)
        .output()
        .unwrap();
    assert_eq!(nobody.status.code(), Some(3));
    assert!(!common::stderr(&nobody).contains(TOKEN));
    assert_eq!(common::fescuebay().arg("revision").output().unwrap().status.code(), Some(5));
}

#[test]
fn what_is_malformed_is_a_problem_and_the_daemon_stays_up() {
    let admin = Admin::start(0, false);
    let deep = r#"{"id":"a","base":1,"edits":[{"set_default":"#.to_owned() + &"[".repeat(100_000);
    let huge = "x".repeat((8 << 20) + 1);
    let edit = r#"{"id":"a","base":1,"edits":[{"set_default":{"key":"rank","value":"1"}}],"x":1}"#;
    let cases: &[(&str, &str, &str, &str)] = &[
        ("POST /admin/v1/changes", TOKEN, "{", "400"),
        ("POST /admin/v1/changes", TOKEN, &deep, "422"),
        ("POST /admin/v1/changes", TOKEN, &huge, "413"),
        ("POST /admin/v1/changes", TOKEN, edit, "422"),
        ("POST /admin/v1/changes", "no-token", edit, "401"),
        ("GET /admin/v1/nothing", TOKEN, "", "404"),
        ("GET /admin/v1/nothing", "no-token", "", "401"),
        ("GET /nothing", "no-token", "", "404"),
        ("DELETE /admin/v1/targets", TOKEN, "", "405"),
        ("GET /admin/v1/report?window=year", TOKEN, "", "400"),
        ("GET /admin/v1/defaults/explain?scope=colour=red", TOKEN, "", "400"),
        ("POST /admin/v1/poison/0/lift", TOKEN, r#"{"reason":"x"}"#, "400"),
    ];
    for (path, token, body, status) in cases {
        let answer = admin.raw(&format!(
            "{path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {token}\r\n\
             Content-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{path} gave {answer}");
        assert!(answer.contains("application/problem+json"), "{path} gave {answer}");
    }
    assert_eq!(admin.revision(), Revision(1));
    admin.ok("revision");
}

#[test]
fn help_and_completions_name_every_command() {
    let help = common::fescuebay().arg("--help").output().unwrap();
    let completions = common::fescuebay().args(["completions", "bash"]).output().unwrap();
    for command in ["check", "defaults", "exceptions", "drain", "report", "records", "poison"] {
        assert!(common::stdout(&help).contains(command), "{command}");
        assert!(common::stdout(&completions).contains(command), "{command}");
    }
    let version = common::fescuebay().arg("--version").output().unwrap();
    assert_eq!(common::stdout(&version), format!("fescuebay {}\n", env!("CARGO_PKG_VERSION")));
}
