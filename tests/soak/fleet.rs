//! The processes of a run, the faults at them, and the operator's documents.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Mutex;

use crate::common::process::until;
use crate::common::proxy::{PathMode, Proxy};
use crate::gateway_support::status;
use crate::plan::{Fault, Size};
use crate::record::{Disturbance, Shared};
use crate::report::Promise;
use crate::roles_support::{Net, Vm, ask, call};
use crate::targets::{self, Target};

const CONFIG: &str = "/api/config";
/// Pause between the end of a process and its next start.
const RESTART_PAUSE: Duration = Duration::from_millis(150);
/// Time between two readings of the document.
const READ_PAUSE: Duration = Duration::from_millis(700);
/// Time for one call of the operator.
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// A process that faults take turns at.
struct Process {
    vm: Mutex<Vm>,
    ip: IpAddr,
    control: SocketAddr,
}

/// All that runs.
pub struct Fleet {
    voters: Vec<Process>,
    routers: Vec<Process>,
    /// The paths from callers to routers.
    pub callers: Vec<Proxy>,
    pub targets: Rc<Vec<Target>>,
    record: Shared,
    version: Cell<u64>,
    is_broken: bool,
}

fn document(version: u64) -> String {
    let route = |path: &str, kind: &str, attempts: u32, more: &str| {
        format!(
            r#"{{"name":"{path}","host":"h.example","pathPrefix":"/{path}/","kind":"{kind}",
            "timeoutMs":4000,"targetLatencyMs":600,"priority":1,"service":"app",
            "maxAttempts":{attempts}{more}}}"#
        )
    };
    let stream = r#","gapTargetMs":400"#;
    let resumable = r#","gapTargetMs":400,"resumable":true"#;
    let routes = [
        route("look", "safe", 2, ""),
        route("order", "unsafe", 1, ""),
        route("draft", "streaming", 1, stream),
        route("contract", "streaming", 2, resumable),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"app"}}]}}"#,
        routes.join(",")
    )
}

impl Fleet {
    /// Starts all processes and waits until every router serves.
    pub async fn start(
        name: &str,
        size: Size,
        record: Shared,
        broken: Option<Promise>,
    ) -> Rc<Self> {
        let net = Net::new(name, size.voters);
        let mut voters: Vec<Vm> = (0..size.voters).map(|number| net.voter(number)).collect();
        voters.iter_mut().for_each(Vm::start);
        let first = voters[0].control();
        until("a first document", async || call(first, "PUT", CONFIG, &document(1)).await == 200)
            .await;
        let mut routers: Vec<Vm> =
            (0..size.routers).map(|number| net.router(10 + number)).collect();
        routers.iter_mut().for_each(Vm::start);
        let mut targets = Vec::new();
        for number in 0..size.targets {
            targets.push(Target::start(number, Rc::clone(&record), broken).await);
        }
        let targets = Rc::new(targets);
        let controls = voters.iter().map(Vm::control).collect();
        tokio::task::spawn_local(targets::announce(controls, Rc::clone(&targets)));
        let mut callers = Vec::new();
        for router in &routers {
            until("a router serves", async || {
                let head = "Attempt-Id: first\r\nDeadline-Ms: 1000\r\n";
                status(&ask(router.callers(), "POST", "/look/x", head, "b").await) == 200
            })
            .await;
            callers.push(Proxy::start(router.callers()).await);
        }
        let process = |vm: Vm| Process { ip: vm.ip, control: vm.control(), vm: Mutex::new(vm) };
        Rc::new(Self {
            voters: voters.into_iter().map(process).collect(),
            routers: routers.into_iter().map(process).collect(),
            callers,
            targets,
            record,
            version: Cell::new(1),
            is_broken: broken == Some(Promise::DocumentNotOlder),
        })
    }

    /// Injects one fault, and ends it.
    pub async fn inject(self: Rc<Self>, fault: Fault) {
        match fault {
            Fault::StopRouter(at) => self.restart(&self.routers[at], "TERM").await,
            Fault::KillRouter(at) => self.restart(&self.routers[at], "KILL").await,
            Fault::PauseRouter(at, ms) => self.pause(&self.routers[at], ms).await,
            Fault::ReloadRouter(at) => self.routers[at].vm.lock().await.signal("HUP"),
            Fault::StopVoter(at) => self.restart(&self.voters[at], "TERM").await,
            Fault::KillVoter(at) => self.restart(&self.voters[at], "KILL").await,
            Fault::PauseVoter(at, ms) => self.pause(&self.voters[at], ms).await,
            Fault::CallerPath(at, mode, ms) => disturb_path(&self.callers[at], mode, ms).await,
            Fault::TargetPath(at, mode, ms) => {
                let from = Instant::now();
                disturb_path(&self.targets[at].path, mode, ms).await;
                // Requests that were held up on the way come in a bunch, whoever sent them.
                self.routers.iter().for_each(|router| self.disturbed(router, from));
            }
            Fault::Target(at, manner, ms) => {
                let (target, life) = (&self.targets[at], self.targets[at].life.get());
                target.manner.set(manner);
                tokio::time::sleep(Duration::from_millis(ms)).await;
                if target.life.get() == life && target.manner.get() == manner {
                    target.restart();
                }
            }
            Fault::NewDocument => self.put_document().await,
        }
    }

    fn disturbed(&self, process: &Process, from: Instant) {
        let disturbance = Disturbance { router: process.ip, from, to: Instant::now() };
        self.record.disturbances.borrow_mut().push(disturbance);
    }

    async fn restart(&self, process: &Process, signal: &str) {
        let mut vm = process.vm.lock().await;
        let from = Instant::now();
        vm.signal(signal);
        vm.exit_code().await;
        tokio::time::sleep(RESTART_PAUSE).await;
        vm.start();
        self.disturbed(process, from);
    }

    async fn pause(&self, process: &Process, ms: u64) {
        let vm = process.vm.lock().await;
        let from = Instant::now();
        vm.signal("STOP");
        tokio::time::sleep(Duration::from_millis(ms)).await;
        vm.signal("CONT");
        self.disturbed(process, from);
    }

    async fn put_document(&self) {
        let version = self.version.get() + 1;
        self.version.set(version);
        for voter in &self.voters {
            let text = document(version);
            let put = call(voter.control, "PUT", CONFIG, &text);
            if tokio::time::timeout(CALL_LIMIT, put).await == Ok(200) {
                self.record.acknowledged.borrow_mut().push((Instant::now(), version));
                return;
            }
        }
    }

    /// Reads the document at all voters in turn, until it is aborted.
    pub async fn read_documents(self: Rc<Self>) {
        for turn in 0.. {
            let voter = &self.voters[turn % self.voters.len()];
            let asked = Instant::now();
            let read = ask(voter.control, "GET", CONFIG, "", "");
            if let Ok(text) = tokio::time::timeout(CALL_LIMIT, read).await
                && status(&text) == 200
                && let Some(version) = version_in(&text)
            {
                let version = if self.is_broken { 0 } else { version };
                self.record.read.borrow_mut().push((asked, version));
            }
            tokio::time::sleep(READ_PAUSE).await;
        }
    }
}

async fn disturb_path(path: &Proxy, mode: PathMode, ms: u64) {
    path.set(mode);
    tokio::time::sleep(Duration::from_millis(ms)).await;
    path.set(PathMode::Open);
}

fn version_in(text: &str) -> Option<u64> {
    let (_, rest) = text.split_once(r#""version":"#)?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}
