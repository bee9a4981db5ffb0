//! The processes of a run, and the faults at them.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{Mutex, RwLock};

use crate::callers;
use crate::common::process::until;
use crate::common::proxy::{PathMode, Proxy};
use crate::documents::{self, Operator};
use crate::gateway_support::status;
use crate::plan::{self, Daemon, Fault, Manner, Size};
use crate::record::{Disturbance, Place, Shared};
use crate::report::Promise;
use crate::roles_support::{Net, Vm, ask, call};
use crate::targets::{self, Target};
use crate::usage::{self, Watched};

/// Pause between the end of a process and its next start.
const RESTART_PAUSE: Duration = Duration::from_millis(150);
/// Time for which a voter counts as lost after it is back.
const CATCH_UP: Duration = Duration::from_secs(4);

/// A process that faults take turns at.
pub struct Process {
    pub vm: Mutex<Vm>,
    pub ip: IpAddr,
    pub control: SocketAddr,
    pub callers: SocketAddr,
    pub is_router: bool,
}

impl Process {
    fn new(vm: Vm, is_router: bool) -> Self {
        let (ip, control, callers) = (vm.ip, vm.control(), vm.callers());
        Self { vm: Mutex::new(vm), ip, control, callers, is_router }
    }

    fn place(&self) -> Place {
        if self.is_router { Place::Router(self.ip) } else { Place::Voter(self.ip) }
    }
}

/// All that runs.
pub struct Fleet {
    pub voters: Vec<Process>,
    pub routers: Vec<Process>,
    /// The paths from other daemons to each voter.
    peers: Vec<Proxy>,
    /// The paths from callers to routers.
    pub callers: Vec<Proxy>,
    pub targets: Rc<Vec<Rc<Target>>>,
    pub operator: Operator,
    record: Shared,
    /// Faults at voters read it. Losing a folder writes it: more voters than may be lost at once
    /// would be lost otherwise.
    quorum: RwLock<()>,
}

impl Fleet {
    /// Starts all processes and waits until every router serves.
    pub async fn start(
        name: &str,
        size: Size,
        record: Shared,
        broken: Option<Promise>,
    ) -> Rc<Self> {
        let net = Net::with_proxies(name, size.voters);
        let mut peers = Vec::new();
        for number in 0..size.voters {
            peers.push(net.proxy(number).await);
        }
        let mut voters: Vec<Vm> = (0..size.voters).map(|number| net.voter(number)).collect();
        voters.iter_mut().for_each(Vm::start);
        let first = voters[0].control();
        until("a first document", async || {
            call(first, "PUT", documents::PATH, &documents::text(1, documents::Content::Own)).await
                == 200
        })
        .await;
        let mut routers: Vec<Vm> =
            (0..size.routers).map(|number| net.router(10 + number)).collect();
        routers.iter_mut().for_each(Vm::start);
        let mut targets = Vec::new();
        for number in 0..size.targets {
            targets.push(Rc::new(Target::start(number, Rc::clone(&record), broken).await));
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
        Rc::new(Self {
            voters: voters.into_iter().map(|vm| Process::new(vm, false)).collect(),
            routers: routers.into_iter().map(|vm| Process::new(vm, true)).collect(),
            peers,
            callers,
            targets,
            operator: Operator::new(Rc::clone(&record), broken),
            record,
            quorum: RwLock::new(()),
        })
    }

    fn process(&self, daemon: Daemon) -> &Process {
        match daemon {
            Daemon::Router(at) => &self.routers[at],
            Daemon::Voter(at) => &self.voters[at],
        }
    }

    /// Injects one fault, and ends it.
    pub async fn inject(self: Rc<Self>, fault: Fault) {
        match fault {
            Fault::Stop(daemon) => self.restart(daemon, "TERM").await,
            Fault::Kill(daemon) => self.restart(daemon, "KILL").await,
            Fault::Pause(daemon, ms) => self.pause(daemon, ms).await,
            Fault::Reload(daemon) => self.reload(daemon).await,
            Fault::RollRouters(first, count) => {
                for at in first..first + count {
                    self.restart(Daemon::Router(at % self.routers.len()), "TERM").await;
                }
            }
            Fault::KillAllVoters => {
                let voters = (0..self.voters.len()).map(Daemon::Voter);
                let kills = voters.map(|voter| self.restart(voter, "KILL"));
                futures::future::join_all(kills).await;
            }
            Fault::WipeVoter(at) => self.wipe(&self.voters[at]).await,
            Fault::PeerPath(from, to, mode, ms) => self.disturb_peers(from, to, mode, ms).await,
            Fault::CutOff(daemon, ms) => self.cut_off(daemon, ms).await,
            Fault::CutOffTargets(at, mode, ms) => self.cut_off_targets(at, mode, ms).await,
            Fault::CrashingContent(ms) => self.send_crashing_content(ms).await,
            Fault::CallerPath(at, mode, ms) => {
                let from = Instant::now();
                disturb_path(&self.callers[at], mode, ms).await;
                self.note(Place::CallerPath(self.routers[at].ip), from, false);
            }
            Fault::TargetPath(at, mode, ms) => self.disturb_target_path(at, mode, ms).await,
            Fault::LateAnnouncements(at, ms) => {
                self.targets[at].is_late.set(true);
                tokio::time::sleep(Duration::from_millis(ms)).await;
                self.targets[at].is_late.set(false);
            }
            Fault::Target(at, manner, ms) => self.change_manner(at, manner, ms).await,
            Fault::NewDocument => self.operator.put_next(&self.voters).await,
            Fault::RacingDocuments => self.operator.race(&self.voters).await,
            Fault::OtherContent => self.operator.put_other_content(&self.voters).await,
            Fault::InvalidDocument => self.operator.put_invalid(&self.voters).await,
        }
    }

    fn note(&self, place: Place, from: Instant, is_planned: bool) {
        let disturbance = Disturbance { place, from, to: Instant::now(), is_planned };
        self.record.disturbances.borrow_mut().push(disturbance);
    }

    async fn restart(&self, daemon: Daemon, signal: &str) {
        let _lost = self.quorum.read().await;
        let process = self.process(daemon);
        let mut vm = process.vm.lock().await;
        let from = Instant::now();
        vm.signal(signal);
        vm.exit_code().await;
        let ended = Instant::now();
        tokio::time::sleep(RESTART_PAUSE).await;
        vm.start();
        // What a stop must not lose are the requests before its end.
        self.note(process.place(), from, signal == "TERM");
        self.note(process.place(), ended, false);
    }

    async fn reload(&self, daemon: Daemon) {
        let process = self.process(daemon);
        let vm = process.vm.lock().await;
        until("it handles signals", async || vm.process_id().is_some_and(usage::handles_hangup))
            .await;
        let from = Instant::now();
        vm.signal("HUP");
        self.note(process.place(), from, true);
    }

    async fn pause(&self, daemon: Daemon, ms: u64) {
        let _lost = self.quorum.read().await;
        let process = self.process(daemon);
        let vm = process.vm.lock().await;
        let from = Instant::now();
        vm.signal("STOP");
        tokio::time::sleep(Duration::from_millis(ms)).await;
        vm.signal("CONT");
        self.note(process.place(), from, false);
    }

    async fn wipe(&self, voter: &Process) {
        let _all_others_run = self.quorum.write().await;
        tokio::time::sleep(CATCH_UP).await;
        let mut vm = voter.vm.lock().await;
        let from = Instant::now();
        vm.signal("KILL");
        vm.exit_code().await;
        vm.lose_data();
        vm.start();
        drop(vm);
        tokio::time::sleep(CATCH_UP).await;
        self.note(voter.place(), from, false);
    }

    async fn disturb_peers(&self, from: Daemon, to: usize, mode: PathMode, ms: u64) {
        let _lost = self.quorum.read().await;
        let (begun, process) = (Instant::now(), self.process(from));
        self.peers[to].set_from(process.ip, mode);
        tokio::time::sleep(Duration::from_millis(ms)).await;
        self.peers[to].set_from(process.ip, PathMode::Open);
        self.note(Place::PeerPath(process.ip), begun, false);
        self.note(Place::PeerPath(self.voters[to].ip), begun, false);
    }

    async fn cut_off(&self, daemon: Daemon, ms: u64) {
        let _lost = self.quorum.read().await;
        let (begun, process) = (Instant::now(), self.process(daemon));
        let set = |mode| {
            self.peers.iter().for_each(|path| path.set_from(process.ip, mode));
            if let Daemon::Voter(at) = daemon {
                self.peers[at].set(mode);
            }
        };
        set(PathMode::Silent);
        tokio::time::sleep(Duration::from_millis(ms)).await;
        set(PathMode::Open);
        self.note(Place::PeerPath(process.ip), begun, false);
    }

    async fn disturb_target_path(&self, at: usize, mode: PathMode, ms: u64) {
        let from = Instant::now();
        disturb_path(&self.targets[at].path, mode, ms).await;
        self.note(Place::TargetPath(at), from, false);
    }

    /// Cuts a router off from all targets. It stays in touch with voters and callers.
    async fn cut_off_targets(&self, at: usize, mode: PathMode, ms: u64) {
        let (from, ip) = (Instant::now(), self.routers[at].ip);
        let set = |mode| self.targets.iter().for_each(|target| target.path.set_from(ip, mode));
        set(mode);
        self.record.cut_off.borrow_mut().push(ip);
        tokio::time::sleep(Duration::from_millis(ms)).await;
        self.record.cut_off.borrow_mut().retain(|other| *other != ip);
        set(PathMode::Open);
        self.note(Place::TargetsOf(ip), from, false);
    }

    /// Sends requests with one content that crashes targets, to one router after the other.
    async fn send_crashing_content(&self, ms: u64) {
        let end = Instant::now() + Duration::from_millis(ms);
        for turn in 0.. {
            if Instant::now() >= end {
                return;
            }
            let to = self.callers[turn % self.callers.len()].address;
            tokio::task::spawn_local(callers::ask_crashing(to));
            tokio::time::sleep(Duration::from_millis(plan::CRASHING_PAUSE_MS)).await;
        }
    }

    async fn change_manner(&self, at: usize, manner: Manner, ms: u64) {
        let target = &self.targets[at];
        let _turn = target.turn.lock().await;
        let from = Instant::now();
        target.manner.set(manner);
        tokio::time::sleep(Duration::from_millis(ms)).await;
        target.restart();
        if !manner.is_sound() {
            self.note(Place::Target(at), from, false);
        }
    }
}

impl Fleet {
    fn at(&self, at: usize) -> &Process {
        self.voters.iter().chain(&self.routers).nth(at).expect("one of the processes")
    }
}

impl Watched for Fleet {
    fn processes(&self) -> usize {
        self.voters.len() + self.routers.len()
    }

    fn ip_of(&self, at: usize) -> (IpAddr, bool) {
        (self.at(at).ip, self.at(at).is_router)
    }

    fn ended(&self, at: usize) -> Option<Option<i32>> {
        let mut vm = self.at(at).vm.try_lock().ok()?;
        let code = vm.ended()?;
        vm.start();
        Some(code)
    }

    fn process_id(&self, at: usize) -> Option<u32> {
        self.at(at).vm.try_lock().ok()?.process_id()
    }
}

async fn disturb_path(path: &Proxy, mode: PathMode, ms: u64) {
    path.set(mode);
    tokio::time::sleep(Duration::from_millis(ms)).await;
    path.set(PathMode::Open);
}
