//! Voters and routers as processes, before targets that a test plays and that keep announcing themselves.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::common::process::until;
use super::common::proxy::{PathMode, Proxy};
use super::roles_support::{Net, Vm, ask, call};

/// Time between two announcements of a target.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(300);
/// Time after which an announcement is sent to another voter.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(300);
const VOTERS: usize = 3;
const CONFIG: &str = "/api/config";

/// What a target says of itself.
#[derive(Clone, Debug)]
pub struct Announced {
    pub id: String,
    pub address: SocketAddr,
    pub service: &'static str,
    /// The version of its software.
    pub software: &'static str,
    /// The number of its incarnation.
    pub born: u64,
    pub slots: u32,
    pub is_leaving: bool,
}

/// The targets that announce themselves, which a test changes as it goes.
pub type Announcements = Rc<RefCell<Vec<Announced>>>;

/// Voters, routers and announced targets.
pub struct Fleet {
    pub voters: Vec<Vm>,
    /// The paths from other daemons to each voter.
    pub peer_paths: Vec<Proxy>,
    pub routers: Vec<Vm>,
    pub targets: Announcements,
    announcing: JoinHandle<()>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.announcing.abort();
    }
}

impl Fleet {
    /// Starts three voters and this many routers; returns once each router serves `probe`.
    pub async fn start(
        name: &str,
        routers: usize,
        document: &str,
        targets: Vec<Announced>,
        probe: &str,
    ) -> Self {
        let net = Net::with_proxies(name, VOTERS);
        let mut peer_paths = Vec::new();
        for number in 0..VOTERS {
            peer_paths.push(net.proxy(number).await);
        }
        let mut voters: Vec<Vm> = (0..VOTERS).map(|number| net.voter(number)).collect();
        voters.iter_mut().for_each(Vm::start);
        let first = voters[0].control();
        until("a first document", async || call(first, "PUT", CONFIG, document).await == 200).await;
        let mut routers: Vec<Vm> = (0..routers).map(|number| net.router(10 + number)).collect();
        routers.iter_mut().for_each(Vm::start);
        let targets = Rc::new(RefCell::new(targets));
        let controls = voters.iter().map(Vm::control).collect();
        let announcing = tokio::task::spawn_local(announce_all(controls, Rc::clone(&targets)));
        let fleet = Self { voters, peer_paths, routers, targets, announcing };
        for router in &fleet.routers {
            until("a router serves", async || {
                call(router.callers(), "POST", probe, "b").await == 200
            })
            .await;
        }
        fleet
    }

    /// The addresses at which the routers take requests.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(Vm::callers).collect()
    }

    /// Kills these routers and starts them again after a while.
    pub async fn kill_routers(&mut self, numbers: std::ops::Range<usize>, down: Duration) {
        self.routers[numbers.clone()].iter().for_each(|router| router.signal("KILL"));
        for router in &mut self.routers[numbers.clone()] {
            router.exit_code().await;
        }
        tokio::time::sleep(down).await;
        numbers.for_each(|number| self.routers[number].start());
    }

    /// Kills a voter and starts it again after a while.
    pub async fn kill_voter(&mut self, number: usize, down: Duration) {
        self.voters[number].signal("KILL");
        self.voters[number].exit_code().await;
        tokio::time::sleep(down).await;
        self.voters[number].start();
    }

    /// Kills all voters and routers at once and starts them again after a while.
    pub async fn kill_all(&mut self, down: Duration) {
        let mut all: Vec<&mut Vm> = self.voters.iter_mut().chain(&mut self.routers).collect();
        for vm in &mut all {
            vm.signal("KILL");
            vm.exit_code().await;
        }
        tokio::time::sleep(down).await;
        all.into_iter().for_each(Vm::start);
    }

    /// The voter that leads: it is named in the answer to an announcement.
    pub async fn leader(&self) -> usize {
        let mut leader = None;
        until("a leader is named", async || {
            let target = self.targets.borrow()[0].clone();
            for voter in &self.voters {
                let path = format!("/api/instances/{}", target.id);
                let found = ask(voter.control(), "PUT", &path, "", &word(&target, 0)).await;
                let named = |vm: &Vm| found.contains(&format!("\"{}\"", vm.control()));
                leader = leader.or(self.voters.iter().position(named));
            }
            leader.is_some()
        })
        .await;
        leader.unwrap()
    }

    /// Changes all paths from a router to voters.
    pub fn set_paths_from(&self, router: usize, mode: PathMode) {
        let ip = self.routers[router].ip;
        self.peer_paths.iter().for_each(|path| path.set_from(ip, mode));
    }
}

/// The announcement of a target.
pub fn word(target: &Announced, sequence: u64) -> String {
    let Announced { address, service, software, born, slots, .. } = target;
    let state = if target.is_leaving { "draining" } else { "ready" };
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"z","version":"{software}",
        "slots":{slots},"state":"{state}","sequence":{sequence},"born":{born}}}"#
    )
}

/// Announces targets to the first voter that takes it, until it is aborted.
async fn announce_all(voters: Vec<SocketAddr>, targets: Announcements) {
    for sequence in 1.. {
        let announced = targets.borrow().clone();
        for target in announced {
            announce(&voters, &target, sequence).await;
        }
        tokio::time::sleep(ANNOUNCE_PAUSE).await;
    }
}

async fn announce(voters: &[SocketAddr], target: &Announced, sequence: u64) {
    let path = format!("/api/instances/{}", target.id);
    let word = word(target, sequence);
    for voter in voters {
        let taken = call(*voter, "PUT", &path, &word);
        if tokio::time::timeout(ANNOUNCE_TIMEOUT, taken).await == Ok(200) {
            return;
        }
    }
}
