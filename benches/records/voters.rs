//! Records through three voters with real files, all on one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fescuebay::consensus::entry::VoterId;
use fescuebay::consensus::node::{self, Handle, Settings, Transport};
use fescuebay::control::Machine;
use fescuebay::control::commands::{Command, Entry, Outcome};
use fescuebay::ids::{DaemonId, GroupId, Incarnation};
use futures::StreamExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::task::LocalSet;

type Routes = Rc<RefCell<BTreeMap<DaemonId, Handle>>>;

/// Hands messages over directly.
struct Direct {
    own: DaemonId,
    routes: Routes,
}

impl Transport for Direct {
    fn send(&self, to: &DaemonId, message: Vec<u8>) {
        let (from, to, routes) = (self.own.clone(), to.clone(), Rc::clone(&self.routes));
        tokio::task::spawn_local(async move {
            let handle = routes.borrow().get(&to).cloned();
            if let Some(handle) = handle {
                handle.receive(&from, &message);
            }
        });
    }
}

struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let name = format!("records-{:016x}", rand::random::<u64>());
        Self(PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What is left behind is only a folder of the target directory.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Three voters of one group.
pub struct Voters {
    routes: Routes,
    leader: RefCell<Handle>,
    lost: Cell<u64>,
    _folders: Vec<Folder>,
}

/// Runs `measure` with three voters whose machines start empty and that take a snapshot after at
/// most `snapshot_every` entries.
pub fn run<F: Future<Output = ()>>(snapshot_every: u64, measure: impl FnOnce(Voters) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime can be built");
    LocalSet::new()
        .block_on(&runtime, async { measure(Voters::start(snapshot_every).await).await });
}

impl Voters {
    async fn start(snapshot_every: u64) -> Self {
        let names = ["andina-a-1", "andina-b-1", "andina-c-1"];
        let names = names.map(|name| name.parse::<DaemonId>().expect("a name"));
        let voter = |name: &DaemonId| VoterId { daemon: name.clone(), incarnation: Incarnation(1) };
        let voters: Vec<VoterId> = names.iter().map(voter).collect();
        let folders: Vec<Folder> = names.iter().map(|_| Folder::new()).collect();
        let routes = Routes::default();
        for (name, folder) in names.iter().zip(&folders) {
            let settings = Settings::new("bench", GroupId(1), name.clone(), folder.0.clone())
                .initial_voters(voters.clone())
                .snapshot_every(snapshot_every);
            let machine = Rc::new(RefCell::new(Machine::default()));
            let transport = Direct { own: name.clone(), routes: Rc::clone(&routes) };
            let rng = StdRng::seed_from_u64(u64::from(name.as_str().as_bytes()[7]));
            let handle = node::start(settings, machine, transport, rng).expect("the voter starts");
            routes.borrow_mut().insert(name.clone(), handle);
        }
        let leader = RefCell::new(leader(&routes).await);
        Self { routes, leader, lost: Cell::new(0), _folders: folders }
    }

    /// Commands that were sent again because their outcome was lost with a leader.
    pub fn resent(&self) -> u64 {
        self.lost.get()
    }

    async fn commit(&self, command: Command) -> (Outcome, Duration) {
        let entry = Entry { now_ms: 1_000, command }.encode();
        let start = Instant::now();
        loop {
            let handle = self.leader.borrow().clone();
            if let Ok(outcome) = handle.propose(entry.clone()).await {
                let outcome = Outcome::decode(&outcome).expect("the machine encoded it");
                return (outcome, start.elapsed());
            }
            self.lost.set(self.lost.get() + 1);
            let next = leader(&self.routes).await;
            self.leader.replace(next);
        }
    }

    /// Commits `commands`, up to `at_once` of them at a time, and returns how long each took.
    pub async fn commit_all(
        &self,
        at_once: usize,
        commands: impl Iterator<Item = Command>,
    ) -> Vec<Duration> {
        let commits = commands.map(|command| async { self.commit(command).await.1 });
        futures::stream::iter(commits).buffer_unordered(at_once).collect().await
    }
}

async fn leader(routes: &Routes) -> Handle {
    loop {
        let handles: Vec<Handle> = routes.borrow().values().cloned().collect();
        for handle in handles {
            if let Some(failure) = handle.status().failure {
                panic!("a voter stopped: {failure}");
            }
            if handle.read_barrier().await.is_ok() {
                return handle;
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
