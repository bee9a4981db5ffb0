//! Measures of the replicated log against their bounds. Exits with 1 when a bound breaks.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fescuebay::consensus::Machine;
use fescuebay::consensus::entry::VoterId;
use fescuebay::consensus::node::{self, Handle, NoTransport, Settings};
use fescuebay::ids::{DaemonId, GroupId, Incarnation, LogIndex};
use fescuebay::peer::client::{GroupTransport, Pool};
use fescuebay::peer::{Handler, Identity, Key, PeerId, server};
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::task::LocalSet;

const OWN_IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const GROUP: GroupId = GroupId(1);
const RECORD_BYTES: usize = 200;

/// Counts records and keeps a digest of them.
#[derive(Default)]
struct Counter {
    records: u64,
    digest: u32,
}

impl Machine for Counter {
    fn apply(&mut self, _index: LogIndex, entry: &[u8]) -> Vec<u8> {
        self.records += 1;
        self.digest = self.digest.rotate_left(5) ^ crc32fast::hash(entry);
        self.records.to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&(self.records, self.digest)).unwrap()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        (self.records, self.digest) =
            postcard::from_bytes(snapshot).map_err(|error| error.to_string())?;
        Ok(())
    }
}

struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> Self {
        let name = format!("consensus-bench-{:016x}", rand::random::<u64>());
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

fn voter(name: &str) -> VoterId {
    VoterId { daemon: daemon(name), incarnation: Incarnation(1) }
}

/// Hands messages to the voter once it runs.
#[derive(Default)]
struct Receiver {
    handle: RefCell<Option<Handle>>,
}

impl Handler for Receiver {
    fn consensus(&self, from: &DaemonId, _group: GroupId, message: &[u8]) {
        if let Some(handle) = &*self.handle.borrow() {
            handle.receive(from, message);
        }
    }

    async fn ask(&self, _from: PeerId, _request: Vec<u8>) -> Result<Vec<u8>, String> {
        Err("nothing is asked here".to_owned())
    }
}

struct Member {
    pool: Pool,
    server: server::Server,
    receiver: Rc<Receiver>,
    machine: Rc<RefCell<Counter>>,
}

/// Three voters in one process, over loopback and with real files.
struct Group {
    names: [&'static str; 3],
    members: BTreeMap<DaemonId, Member>,
    _folders: Vec<TempFolder>,
}

impl Group {
    async fn start() -> Self {
        let names = ["andina-a-1", "andina-b-1", "andina-c-1"];
        let folders: Vec<TempFolder> = names.iter().map(|_| TempFolder::new()).collect();
        let mut members = BTreeMap::new();
        for name in names {
            let identity = Identity {
                cluster: "bench".to_owned(),
                daemon: daemon(name),
                incarnation: Incarnation(1),
                key: Key::new(b"a key of this bench".to_vec()),
            };
            let receiver = Rc::new(Receiver::default());
            let listen = SocketAddr::new(OWN_IP, 0);
            let server = server::serve(listen, identity.clone(), receiver.clone()).await.unwrap();
            let pool = Pool::new(identity, OWN_IP);
            let machine = Rc::new(RefCell::new(Counter::default()));
            members.insert(daemon(name), Member { pool, server, receiver, machine });
        }
        let addresses: Vec<(DaemonId, SocketAddr)> =
            members.iter().map(|(id, member)| (id.clone(), member.server.address())).collect();
        let voters: Vec<VoterId> = names.iter().map(|name| voter(name)).collect();
        for (name, folder) in names.iter().zip(&folders) {
            let member = &members[&daemon(name)];
            member.pool.set_peers(addresses.clone());
            let settings = Settings::new("bench", GROUP, daemon(name), folder.0.clone())
                .initial_voters(voters.clone());
            let transport = GroupTransport { pool: member.pool.clone(), group: GROUP };
            let machine = member.machine.clone();
            let rng = StdRng::seed_from_u64(rand::random());
            let handle = node::start(settings, machine, transport, rng).unwrap();
            *member.receiver.handle.borrow_mut() = Some(handle);
        }
        Self { names, members, _folders: folders }
    }

    fn handles(&self) -> impl Iterator<Item = Handle> {
        self.members.values().filter_map(|member| member.receiver.handle.borrow().clone())
    }

    async fn leader(&self) -> Handle {
        loop {
            for handle in self.handles() {
                if handle.read_barrier().await.is_ok() {
                    return handle;
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// All voters come to hold exactly the acknowledged records, equal at each.
    async fn check_records(&self, total: u64) {
        for member in self.members.values() {
            while member.machine.borrow().records < total {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        let mut states = self.members.values().map(|member| {
            let machine = member.machine.borrow();
            (machine.records, machine.digest)
        });
        let first = states.next();
        assert_eq!(first.map(|(records, _)| records), Some(total));
        assert!(states.all(|state| Some(state) == first), "the voters differ");
    }

    fn sent_bytes(&self, name: &str) -> u64 {
        let member = &self.members[&daemon(name)];
        let peers = self.names.iter().map(|peer| member.pool.traffic(&daemon(peer)).sent_bytes);
        peers.sum::<u64>() + member.server.traffic().sent_bytes
    }
}

/// A figure and its bound.
struct Measure {
    what: String,
    value: f64,
    bound: f64,
    is_at_least: bool,
}

impl Measure {
    fn print(&self) -> bool {
        let is_met = match self.is_at_least {
            true => self.value >= self.bound,
            false => self.value <= self.bound,
        };
        let relation = if self.is_at_least { "at least" } else { "at most" };
        let verdict = if is_met { "ok" } else { "BROKEN" };
        let Self { what, value, bound, .. } = self;
        println!("{what:<58} {value:>10.1}  ({relation} {bound}) {verdict}");
        is_met
    }
}

/// Many callers propose at once, each one record after the other.
async fn records_a_second(leader: &Handle, callers: usize) -> (u64, f64) {
    const WINDOW: Duration = Duration::from_secs(3);
    let start = Instant::now();
    let one = || {
        let leader = leader.clone();
        async move {
            let mut done = 0_u64;
            while start.elapsed() < WINDOW {
                leader.propose(vec![7; RECORD_BYTES]).await.unwrap();
                done += 1;
            }
            done
        }
    };
    let done = futures::future::join_all((0..callers).map(|_| one())).await;
    let done = done.iter().sum::<u64>();
    (done, done as f64 / start.elapsed().as_secs_f64())
}

async fn throughput() -> Vec<Measure> {
    let group = Group::start().await;
    let leader = group.leader().await;
    let mut measures = Vec::new();
    let mut total = 0;
    for callers in [1, 64, 512] {
        let (done, value) = records_a_second(&leader, callers).await;
        total += done;
        let what = format!("synced records a second, 3 voters, {callers} callers");
        if callers == 512 {
            measures.push(Measure { what, value, bound: 5000.0, is_at_least: true });
        } else {
            println!("{what:<58} {value:>10.1}");
        }
    }
    group.check_records(total).await;
    measures
}

async fn at_rest() -> Vec<Measure> {
    const WINDOW_MS: u64 = 20_000;
    let group = Group::start().await;
    let leader = group.leader().await.status().id.daemon;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before: Vec<u64> = group.names.iter().map(|name| group.sent_bytes(name)).collect();
    tokio::time::sleep(Duration::from_millis(WINDOW_MS)).await;
    let rate = |(name, before): (&&str, &u64)| {
        let value = (group.sent_bytes(name) - before) as f64 * 1000.0 / WINDOW_MS as f64;
        let role = if daemon(name) == leader { "leader" } else { "follower" };
        let what = format!("bytes a second sent by a {role} at rest");
        Measure { what, value, bound: 500.0, is_at_least: false }
    };
    group.names.iter().zip(&before).map(rate).collect()
}

/// The longest of several times to a new leader after the old one stopped without a word.
async fn new_leader() -> Vec<Measure> {
    const TRIES: usize = 5;
    let mut longest_ms = 0.0_f64;
    for _ in 0..TRIES {
        let mut group = Group::start().await;
        let old = group.leader().await.status().id.daemon;
        tokio::time::sleep(Duration::from_secs(2)).await;
        let start = Instant::now();
        let gone = group.members.remove(&old).unwrap();
        let stopped = gone.receiver.handle.borrow_mut().take();
        drop(gone);
        if let Some(handle) = stopped {
            handle.stop().await;
        }
        group.leader().await.propose(vec![1]).await.unwrap();
        longest_ms = longest_ms.max(start.elapsed().as_secs_f64() * 1000.0);
    }
    let what = format!("ms to a new leader that commits, longest of {TRIES}");
    vec![Measure { what, value: longest_ms, bound: 3000.0, is_at_least: false }]
}

async fn restart() -> Vec<Measure> {
    const CHANGES: usize = 10_000;
    let folder = TempFolder::new();
    let settings = || {
        Settings::new("bench", GROUP, daemon("single"), folder.0.clone())
            .initial_voters(vec![voter("single")])
    };
    let start = |settings| {
        let machine = Rc::new(RefCell::new(Counter::default()));
        node::start(settings, machine, NoTransport, StdRng::seed_from_u64(1)).unwrap()
    };
    let handle = start(settings());
    handle.subscribe().wait_for(|leadership| leadership.is_leader).await.unwrap();
    for _ in 0..CHANGES / 100 {
        let proposals = (0..100).map(|_| handle.propose(vec![7; RECORD_BYTES]));
        futures::future::join_all(proposals).await.into_iter().for_each(|done| {
            done.unwrap();
        });
    }
    handle.stop().await;
    drop(handle);
    let begun = Instant::now();
    let opened = settings().open().unwrap();
    let replayed = opened.replay_entries() as f64;
    drop(opened);
    let handle = start(settings());
    handle.subscribe().wait_for(|leadership| leadership.is_leader).await.unwrap();
    handle.read_barrier().await.unwrap();
    let value = begun.elapsed().as_secs_f64() * 1000.0;
    handle.stop().await;
    let measure = |what: &str, value, bound| Measure {
        what: format!("{what} {CHANGES} changes"),
        value,
        bound,
        is_at_least: false,
    };
    vec![
        measure("entries replayed by a restart after", replayed, 1000.0),
        measure("ms until a voter serves again after", value, 2000.0),
    ]
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let mut measures = Vec::new();
    measures.extend(LocalSet::new().block_on(&runtime, throughput()));
    measures.extend(LocalSet::new().block_on(&runtime, new_leader()));
    measures.extend(LocalSet::new().block_on(&runtime, restart()));
    measures.extend(LocalSet::new().block_on(&runtime, at_rest()));
    let broken = measures.iter().filter(|measure| !measure.print()).count();
    std::process::exit(i32::from(broken > 0));
}
