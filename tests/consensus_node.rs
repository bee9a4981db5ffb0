//! Voters with real files on one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use fescuebay::consensus::Machine;
use fescuebay::consensus::entry::VoterId;
use fescuebay::consensus::node::{self, Error, Handle, NoTransport, Settings, Transport};
use fescuebay::consensus::timing::Timing;
use fescuebay::ids::{DaemonId, GroupId, Incarnation, LogIndex};
use fescuebay::storage::disk::{Disk, Folder};
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::task::LocalSet;

/// Keeps all commands in order.
#[derive(Default)]
struct Journal {
    commands: Vec<Vec<u8>>,
    replayed: usize,
}

impl Machine for Journal {
    fn apply(&mut self, _index: LogIndex, entry: &[u8]) -> Vec<u8> {
        self.commands.push(entry.to_vec());
        self.replayed += 1;
        (self.commands.len() as u64).to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.commands).unwrap()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        self.commands = postcard::from_bytes(snapshot).map_err(|error| error.to_string())?;
        Ok(())
    }
}

struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> Self {
        let name = format!("consensus-{:016x}", rand::random::<u64>());
        Self(PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn daemon(name: &str) -> DaemonId {
    name.parse().unwrap()
}

fn voter(name: &str, incarnation: u64) -> VoterId {
    VoterId { daemon: daemon(name), incarnation: Incarnation(incarnation) }
}

fn settings(name: &str, folder: &TempFolder) -> Settings {
    let timing =
        Timing { heartbeat_ms: 100, election_ms: 2500, election_jitter_ms: 300, lease_ms: 2000 };
    Settings::new("test", GroupId(1), daemon(name), folder.0.clone()).timing(timing)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

async fn leads(handle: &Handle) {
    handle.subscribe().wait_for(|leadership| leadership.is_leader).await.unwrap();
}

#[test]
fn a_single_voter_keeps_what_it_acknowledged_and_replays_little() {
    run(async {
        let folder = TempFolder::new();
        let single =
            || settings("andina-a-1", &folder).initial_voters(vec![voter("andina-a-1", 1)]);
        let machine = Rc::new(RefCell::new(Journal::default()));
        let handle = node::start(single(), machine, NoTransport, StdRng::seed_from_u64(1)).unwrap();
        leads(&handle).await;
        let proposals = (0..10_000_u64).map(|at| {
            let handle = handle.clone();
            async move { handle.propose(at.to_le_bytes().to_vec()).await }
        });
        for (at, outcome) in futures::future::join_all(proposals).await.into_iter().enumerate() {
            assert_eq!(outcome.unwrap(), (at as u64 + 1).to_le_bytes());
        }
        for at in 10_000..10_300_u64 {
            handle.propose(at.to_le_bytes().to_vec()).await.unwrap();
        }
        handle.read_barrier().await.unwrap();
        handle.stop().await;
        assert!(matches!(
            handle.propose(Vec::new()).await.unwrap_err().current_context(),
            Error::Unavailable(_)
        ));

        let machine = Rc::new(RefCell::new(Journal::default()));
        let opened = single().open().unwrap();
        assert!(opened.replay_entries() <= 1000, "{} entries", opened.replay_entries());
        let handle = opened.start(machine.clone(), NoTransport, StdRng::seed_from_u64(2)).unwrap();
        leads(&handle).await;
        handle.read_barrier().await.unwrap();
        assert!(machine.borrow().replayed <= 1000);
        let expected: Vec<_> = (0..10_300_u64).map(|at| at.to_le_bytes().to_vec()).collect();
        assert_eq!(machine.borrow().commands, expected);
        handle.stop().await;
    });
}

/// A folder whose syncs fail once the flag is set.
#[derive(Clone)]
struct Failing {
    folder: Folder,
    is_failing: Arc<AtomicBool>,
}

impl Disk for Failing {
    fn list(&self) -> io::Result<Vec<String>> {
        self.folder.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.folder.read(name)
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.folder.create(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.folder.append(name, bytes)
    }

    fn truncate(&mut self, name: &str, length_bytes: u64) -> io::Result<()> {
        self.folder.truncate(name, length_bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        match self.is_failing.load(Ordering::SeqCst) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => self.folder.sync(name),
        }
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.folder.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.folder.remove(name)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.folder.sync_folder()
    }
}

#[test]
fn a_voter_whose_disk_fails_stops_and_acknowledges_nothing() {
    run(async {
        let folder = TempFolder::new();
        let is_failing = Arc::new(AtomicBool::new(false));
        let disk =
            Failing { folder: Folder::open(&folder.0).unwrap(), is_failing: is_failing.clone() };
        let mut opened = settings("a", &folder).open_on(disk).unwrap();
        opened.form(vec![voter("a", 1)]).unwrap();
        let machine = Rc::new(RefCell::new(Journal::default()));
        let handle = opened.start(machine.clone(), NoTransport, StdRng::seed_from_u64(1)).unwrap();
        leads(&handle).await;
        handle.propose(b"kept".to_vec()).await.unwrap();
        is_failing.store(true, Ordering::SeqCst);
        let lost = handle.propose(b"lost".to_vec()).await.unwrap_err();
        assert_eq!(*lost.current_context(), Error::Unknown);
        let refused = handle.propose(b"later".to_vec()).await.unwrap_err();
        assert!(matches!(refused.current_context(), Error::Unavailable(_)));
        assert!(handle.read_barrier().await.is_err());
        let status = handle.status();
        assert!(status.failure.is_some_and(|failure| failure.contains("sync")));
        assert!(!handle.subscribe().borrow().is_leader);
        assert_eq!(machine.borrow().commands, [b"kept"]);
    });
}

type Routes = Rc<RefCell<BTreeMap<DaemonId, Handle>>>;

/// Hands messages over directly; a cut daemon neither sends nor receives.
#[derive(Clone)]
struct Direct {
    own: DaemonId,
    routes: Routes,
    cut: Rc<RefCell<Vec<DaemonId>>>,
    sent: Rc<Cell<u64>>,
}

impl Transport for Direct {
    fn send(&self, to: &DaemonId, message: Vec<u8>) {
        let cut = self.cut.borrow();
        if cut.contains(&self.own) || cut.contains(to) {
            return;
        }
        self.sent.set(self.sent.get() + 1);
        let (from, to, routes) = (self.own.clone(), to.clone(), self.routes.clone());
        tokio::task::spawn_local(async move {
            let handle = routes.borrow().get(&to).cloned();
            if let Some(handle) = handle {
                handle.receive(&from, &message);
            }
        });
    }
}

struct Group {
    routes: Routes,
    cut: Rc<RefCell<Vec<DaemonId>>>,
    machines: BTreeMap<DaemonId, Rc<RefCell<Journal>>>,
}

impl Group {
    fn new() -> Self {
        Self { routes: Routes::default(), cut: Rc::default(), machines: BTreeMap::new() }
    }

    fn start(&mut self, name: &str, settings: Settings) {
        let own = daemon(name);
        let machine = Rc::new(RefCell::new(Journal::default()));
        let transport = Direct {
            own: own.clone(),
            routes: self.routes.clone(),
            cut: self.cut.clone(),
            sent: Rc::default(),
        };
        let seed = u64::from(name.as_bytes()[0]);
        let rng = StdRng::seed_from_u64(seed);
        let handle = node::start(settings, machine.clone(), transport, rng).unwrap();
        self.routes.borrow_mut().insert(own.clone(), handle);
        self.machines.insert(own, machine);
    }

    async fn leader(&self) -> Handle {
        loop {
            let handles: Vec<Handle> = self.routes.borrow().values().cloned().collect();
            for handle in handles {
                let id = handle.status().id.daemon;
                if !self.cut.borrow().contains(&id) && handle.read_barrier().await.is_ok() {
                    return handle;
                }
            }
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
    }
}

#[test]
fn a_lost_voter_is_replaced_and_then_a_second_vm_is_lost() {
    run(async {
        let folders: Vec<TempFolder> = (0..4).map(|_| TempFolder::new()).collect();
        let names = ["a", "b", "c"];
        let voters: Vec<VoterId> = names.iter().map(|name| voter(name, 1)).collect();
        let mut group = Group::new();
        for (name, folder) in names.iter().zip(&folders) {
            let settings = settings(name, folder).snapshot_every(50);
            group.start(name, settings.initial_voters(voters.clone()));
        }
        let mut expected = Vec::new();
        let leader = group.leader().await;
        for at in 0..100_u64 {
            expected.push(at.to_le_bytes().to_vec());
            leader.propose(at.to_le_bytes().to_vec()).await.unwrap();
        }

        // One follower loses its disk and comes back with a new identity.
        let lost = names.iter().find(|name| daemon(name) != leader.status().id.daemon).unwrap();
        let handle = group.routes.borrow_mut().remove(&daemon(lost)).unwrap();
        handle.stop().await;
        let leader = group.leader().await;
        // Its first new folder is lost as well before it answered.
        let gone = leader.replace(voter(lost, 1), voter(lost, 9)).await.unwrap_err();
        assert!(matches!(gone.current_context(), Error::Unavailable(_)));
        group.start(lost, settings(lost, &folders[3]).new_incarnation(Incarnation(2)));
        let leader = group.leader().await;
        leader.replace(voter(lost, 1), voter(lost, 2)).await.unwrap();

        // Right after the repair the leader's VM goes.
        group.cut.borrow_mut().push(leader.status().id.daemon);
        let next = group.leader().await;
        let membership = next.status().core.membership;
        assert!(membership.is_voter(&voter(lost, 2)) && !membership.is_voter(&voter(lost, 1)));
        next.propose(b"after".to_vec()).await.unwrap();
        expected.push(b"after".to_vec());
        assert_eq!(group.machines[&next.status().id.daemon].borrow().commands, expected);
        assert!(leader.propose(b"cut off".to_vec()).await.is_err());
    });
}
