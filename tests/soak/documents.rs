//! The operator: documents in order, at the same time, under a used version, and invalid ones; and
//! what voters and routers show of them.
//!
//! Each version has a route of its own, so that a router shows which one is in force there.

use std::cell::Cell;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Process};
use crate::gateway_support::status;
use crate::record::{Reading, RouteProbe, Shared};
use crate::report::Promise;
use crate::roles_support::{ask, call};

pub const PATH: &str = "/api/config";
/// Time between two readings of the document.
const READ_PAUSE: Duration = Duration::from_millis(700);
/// Time for one call of the operator.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// What stands under a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    Own,
    /// What must not be taken, since the version has been used.
    Other,
    /// A route that names an unknown service.
    Invalid,
}

/// The text of a document.
pub fn text(version: u64, content: Content) -> String {
    let service = if content == Content::Invalid { "nobody" } else { "app" };
    let route = |path: &str, kind: &str, attempts: u32, more: &str| {
        format!(
            r#"{{"name":"{path}","host":"h.example","pathPrefix":"/{path}/","kind":"{kind}",
            "timeoutMs":4000,"targetLatencyMs":600,"priority":1,"service":"{service}",
            "maxAttempts":{attempts}{more}}}"#
        )
    };
    let stream = r#","gapTargetMs":400"#;
    let resumable = r#","gapTargetMs":400,"resumable":true"#;
    let own_route = match content {
        Content::Own | Content::Invalid => format!("v{version}"),
        Content::Other => format!("other{version}"),
    };
    let routes = [
        route("look", "safe", 2, ""),
        route("order", "unsafe", 1, ""),
        route("draft", "streaming", 1, stream),
        route("contract", "streaming", 2, resumable),
        route(&own_route, "safe", 2, ""),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"app"}}]}}"#,
        routes.join(",")
    )
}

/// Sends documents, and records what was acknowledged.
pub struct Operator {
    record: Shared,
    /// The last version that was sent.
    version: Cell<u64>,
    broken: Option<Promise>,
}

impl Operator {
    pub fn new(record: Shared, broken: Option<Promise>) -> Self {
        Self { record, version: Cell::new(1), broken }
    }

    fn next_version(&self) -> u64 {
        self.version.set(self.version.get() + 1);
        self.version.get()
    }

    /// Sends a document to the voters in turn, from one of them on, until one acknowledges it.
    async fn put(&self, voters: &[Process], first: usize, version: u64) {
        self.record.sent.borrow_mut().push((Instant::now(), version));
        for at in 0..voters.len() {
            let voter = &voters[(first + at) % voters.len()];
            let text = text(version, Content::Own);
            let put = call(voter.control, "PUT", PATH, &text);
            if tokio::time::timeout(CALL_LIMIT, put).await == Ok(200) {
                self.record.acknowledged.borrow_mut().push((Instant::now(), version));
                return;
            }
        }
    }

    pub async fn put_next(&self, voters: &[Process]) {
        let version = self.next_version();
        self.put(voters, version as usize, version).await;
    }

    pub async fn race(&self, voters: &[Process]) {
        let (one, other) = (self.next_version(), self.next_version());
        tokio::join!(self.put(voters, 0, one), self.put(voters, 1, other));
    }

    /// Sends other content under the highest version that is acknowledged: it may be acknowledged
    /// and must change nothing.
    pub async fn put_other_content(&self, voters: &[Process]) {
        let versions = self.record.acknowledged.borrow().iter().map(|(_, v)| *v).max();
        let Some(version) = versions else { return };
        let text = text(version, Content::Other);
        let put = call(voters[version as usize % voters.len()].control, "PUT", PATH, &text);
        let _ = tokio::time::timeout(CALL_LIMIT, put).await;
    }

    pub async fn put_invalid(&self, voters: &[Process]) {
        let version = self.next_version();
        let text = text(version, Content::Invalid);
        let put = call(voters[version as usize % voters.len()].control, "PUT", PATH, &text);
        // Without an answer nothing is known.
        if let Ok(status) = tokio::time::timeout(CALL_LIMIT, put).await
            && status != 0
        {
            let is_refused =
                !(200..300).contains(&status) && self.broken != Some(Promise::InvalidRefused);
            self.record.invalid_refused.borrow_mut().push(is_refused);
        }
    }

    fn newest_acknowledged(&self) -> u64 {
        self.record.acknowledged.borrow().iter().map(|(_, version)| *version).max().unwrap_or(1)
    }
}

impl Fleet {
    /// Reads the document at all voters in turn, and what routers show of it, until it is aborted.
    pub async fn read_documents(self: std::rc::Rc<Self>, record: Shared) {
        for turn in 0.. {
            let voter = &self.voters[turn % self.voters.len()];
            let asked = Instant::now();
            let read = ask(voter.control, "GET", PATH, "", "");
            if let Ok(text) = tokio::time::timeout(CALL_LIMIT, read).await
                && status(&text) == 200
                && let Some(version) = version_in(&text)
            {
                let version = match self.operator.broken {
                    Some(Promise::DocumentNotOlder | Promise::DocumentKept) => 0,
                    _ => version,
                };
                let is_own_content = text.contains(&format!("/v{version}/"))
                    && self.operator.broken != Some(Promise::DocumentContent);
                record.read.borrow_mut().push(Reading { asked, version, is_own_content });
            }
            self.probe_router(&record, turn).await;
            tokio::time::sleep(READ_PAUSE).await;
        }
    }

    async fn probe_router(&self, record: &Shared, turn: usize) {
        let router = &self.routers[turn % self.routers.len()];
        let (asked, version) = (Instant::now(), self.operator.newest_acknowledged());
        let head = format!("Attempt-Id: probe{turn}\r\nDeadline-Ms: 1000\r\n");
        let path = match self.operator.broken {
            Some(Promise::DocumentInForce) => "/nowhere/x".to_owned(),
            _ => format!("/v{version}/x"),
        };
        let sent = ask(router.callers, "POST", &path, &head, "b");
        if let Ok(text) = tokio::time::timeout(CALL_LIMIT, sent).await {
            let status = status(&text);
            let answered = Instant::now();
            let probe = RouteProbe { asked, answered, router: router.ip, version, status };
            record.probes.borrow_mut().push(probe);
        }
    }
}

fn version_in(text: &str) -> Option<u64> {
    let (_, rest) = text.split_once(r#""version":"#)?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}
