//! The daemons of our own interface under faults: their signals, their voters' folders, and targets
//! that crash, leave and name limits.

mod callers;
mod checks;
mod faults;

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use fescuebay::ids::Incarnation;
use fescuebay::stand_in;
use fescuebay::units::Bytes;
use serde_json::json;
use tokio::sync::{Mutex, RwLock};
use tokio::task::JoinHandle;

use crate::cluster::{self, Cluster, Daemon};
use crate::record;
use crate::report::Report;
use crate::usage::{self, Watched};
use crate::{Arguments, SERVE_AGAIN};
use callers::{Asked, Caller};

/// Daemons with a folder.
pub const VOTERS: usize = 3;
/// Model that the streams ask for, and the service of calls.
const MODEL: &str = "quill";
const SERVICE: &str = "desk";
/// Memory of a target and of a replica, of which three fit.
const TARGET_GIB: u64 = 16;
const MODEL_GIB: u64 = 5;
/// Two engines, and two targets of the service.
const MIN_TARGETS: usize = 4;
/// Time between two readings of the revision.
const READ_PAUSE: Duration = Duration::from_millis(700);

/// What a run saw.
#[derive(Default)]
struct Seen {
    asked: RefCell<Vec<Asked>>,
    /// Executions by key at targets that are gone.
    past_executions: RefCell<Vec<(String, u32)>>,
    /// Memory that targets that are gone held at most.
    past_peaks: RefCell<Vec<u64>>,
    /// Times at which limits held, with the calls in that time.
    limits: RefCell<Vec<LimitedTime>>,
    /// Acknowledged revisions, and revisions that were read, with the time of the question.
    accepted: RefCell<Vec<(Instant, u64)>>,
    read: RefCell<Vec<(Instant, u64)>>,
}

/// A time in which a target named a limit, from when it must be kept.
struct LimitedTime {
    limit: f64,
    calls: Vec<Instant>,
}

/// A target and its number, which its successors keep.
struct Target {
    number: u16,
    handle: RefCell<Option<stand_in::Handle>>,
    /// One fault at a time.
    turn: Mutex<()>,
}

/// All that runs.
struct Fleet {
    /// Addresses and tokens; the processes are in `daemons`.
    cluster: Cluster,
    daemons: Vec<Mutex<Daemon>>,
    targets: Vec<Target>,
    seen: Rc<Seen>,
    record: record::Shared,
    changes: Cell<u64>,
    /// See the fleet of roles.
    quorum: RwLock<()>,
}

impl Fleet {
    async fn start(name: &str, daemons: usize, targets: usize, record: record::Shared) -> Self {
        let mut cluster = Cluster::of(name, daemons).await;
        let mut handles = Vec::new();
        for number in 0..targets as u16 {
            handles.push(start_target(&cluster, number).await);
        }
        let mut edits = cluster::service(SERVICE);
        let models = cluster::models(&[MODEL, "burro", "veleta"], MODEL_GIB);
        edits.as_array_mut().unwrap().extend(models.as_array().unwrap().iter().cloned());
        let revision = cluster.change(&cluster.daemons[0], "first", edits).await;
        cluster.in_force(revision).await;
        cluster.offers(SERVICE).await;
        let daemons = cluster.take_processes().into_iter().map(Mutex::new).collect();
        let target = |(number, handle)| Target {
            number,
            handle: RefCell::new(Some(handle)),
            turn: Mutex::new(()),
        };
        let targets = (0..).zip(handles).map(target).collect();
        let (seen, changes, quorum) = (Rc::default(), Cell::new(0), RwLock::new(()));
        Self { cluster, daemons, targets, seen, record, changes, quorum }
    }

    fn ip(&self, daemon: usize) -> IpAddr {
        self.cluster.daemons[daemon].ip
    }

    /// Changes the weight of a class, whoever leads. Without an answer it is not known whether the
    /// change was made.
    async fn change(&self, daemon: usize) {
        let number = self.changes.get() + 1;
        self.changes.set(number);
        let at = &self.cluster.daemons[daemon];
        let (_, revisions) = self.cluster.admin(at, "GET", "/revision", json!(null)).await;
        let Some(base) = revisions["accepted"].as_u64() else { return };
        let name = format!("model-{number}");
        let edits = cluster::models(&[name.as_str()], 1);
        let change = json!({ "id": name, "base": base, "reason": "the soak", "edits": edits });
        let (status, made) = self.cluster.admin(at, "POST", "/changes", change).await;
        if let (200 | 201, Some(revision)) = (status, made["revision"].as_u64()) {
            self.seen.accepted.borrow_mut().push((Instant::now(), revision));
        }
    }

    async fn read_revisions(self: Rc<Self>) {
        for turn in 0.. {
            let at = &self.cluster.daemons[turn % self.daemons.len()];
            let asked = Instant::now();
            let read = self.cluster.admin(at, "GET", "/revision", json!(null));
            if let Ok((200, revisions)) = tokio::time::timeout(Duration::from_secs(2), read).await
                && let Some(revision) = revisions["accepted"].as_u64()
            {
                self.seen.read.borrow_mut().push((asked, revision));
            }
            tokio::time::sleep(READ_PAUSE).await;
        }
    }
}

impl Watched for Fleet {
    fn processes(&self) -> usize {
        self.daemons.len()
    }

    fn ip_of(&self, at: usize) -> (IpAddr, bool) {
        (self.ip(at), false)
    }

    fn ended(&self, at: usize) -> Option<Option<i32>> {
        let mut daemon = self.daemons[at].try_lock().ok()?;
        let code = daemon.ended()?;
        daemon.start();
        Some(code)
    }

    fn process_id(&self, at: usize) -> Option<u32> {
        self.daemons[at].try_lock().ok()?.process_id()
    }
}

/// Every second target is an engine, the others have the service.
fn is_engine(number: u16) -> bool {
    number % 2 == 1
}

async fn start_target(cluster: &Cluster, number: u16) -> stand_in::Handle {
    let adjust = |settings: stand_in::Settings| {
        // A target that starts again under its name is told from the one before by this.
        let started_ms = UNIX_EPOCH.elapsed().unwrap_or_default().as_millis() as u64;
        let settings = settings.load_ms(300).token_ms(15).announce_every_ms(300).slots(32);
        let settings = settings.incarnation(Incarnation(started_ms));
        match is_engine(number) {
            true => settings.memory_bytes(Bytes(TARGET_GIB * Bytes::GIB.0)),
            false => settings.services(vec![SERVICE.parse().unwrap()]),
        }
    };
    cluster.target(number, adjust).await
}

/// Runs the daemons of our own interface under the faults of a seed.
pub async fn run(arguments: &Arguments) -> Report {
    let size = faults::Size {
        daemons: arguments.processes.max(VOTERS + 1),
        targets: arguments.targets.max(MIN_TARGETS),
    };
    let length_ms = arguments.seconds * 1_000;
    let plan = faults::draw(arguments.seed, length_ms, size);
    println!("soak: own interface, seed {}, {size:?}", arguments.seed);
    plan.iter().for_each(|(at_ms, fault)| println!("{:>8.3} s  {fault:?}", *at_ms as f64 / 1e3));
    let record = record::Record::new(arguments.broken);
    let name = format!("soak-own-{}-{}", arguments.seed, std::process::id());
    let fleet = Fleet::start(&name, size.daemons, size.targets, Rc::clone(&record)).await;
    let fleet = Rc::new(fleet);
    let began = Instant::now();
    let watching = [
        tokio::task::spawn_local(Rc::clone(&fleet).read_revisions()),
        tokio::task::spawn_local(usage::sample(Rc::clone(&fleet), Rc::clone(&record))),
    ];
    let is_open = Rc::new(Cell::new(true));
    let calling = start_callers(arguments, &fleet, &is_open);
    let mut injected = Vec::new();
    for (at_ms, fault) in plan {
        tokio::time::sleep_until((began + Duration::from_millis(at_ms)).into()).await;
        injected.push(tokio::task::spawn_local(Rc::clone(&fleet).inject(fault)));
    }
    for fault in injected {
        fault.await.expect("no fault panics");
    }
    record.calm.replace(Some(Instant::now()));
    tokio::time::sleep(crate::checks::RECOVER + SERVE_AGAIN).await;
    is_open.set(false);
    for caller in calling {
        caller.await.expect("no caller panics");
    }
    watching.iter().for_each(JoinHandle::abort);
    usage::measure_idle(fleet.as_ref(), &record).await;
    println!("soak: {} requests in {:?}", fleet.seen.asked.borrow().len(), began.elapsed());
    let report = checks::check(&fleet, arguments.broken);
    crate::keep_or_drop(&name, arguments.keep, &report);
    report
}

fn start_callers(
    arguments: &Arguments,
    fleet: &Rc<Fleet>,
    is_open: &Rc<Cell<bool>>,
) -> Vec<JoinHandle<()>> {
    let mut calling = Vec::new();
    for daemon in 0..fleet.daemons.len() {
        for number in 0..arguments.callers {
            let caller = Caller {
                daemon: fleet.cluster.daemons[daemon].traffic(),
                seed: arguments.seed * 1_000_000 + daemon as u64 * 1_000 + number,
                is_open: Rc::clone(is_open),
                seen: Rc::clone(&fleet.seen),
            };
            calling.push(tokio::task::spawn_local(caller.run()));
        }
    }
    calling
}
