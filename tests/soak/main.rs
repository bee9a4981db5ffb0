//! A randomised soak of real processes under faults from outside, which checks what callers and
//! targets are promised.
//!
//! `cargo test --test soak` runs it short and seeded; by hand:
//! `cargo test --test soak -- --seed 7 --seconds 120 --processes 40`.

mod callers;
mod checks;
mod documents;
mod fleet;
mod own;
mod plan;
mod record;
mod report;
mod targets;
mod usage;

#[path = "../nine/cluster.rs"]
#[allow(dead_code, reason = "the tests of nine daemons use the rest")]
mod cluster;
#[path = "../common/mod.rs"]
mod common;
#[path = "../gateway_support/mod.rs"]
mod gateway_support;
#[path = "../roles_support/mod.rs"]
mod roles_support;
#[path = "../nine/web.rs"]
#[allow(dead_code, reason = "the tests of nine daemons use the rest")]
mod web;

use std::cell::Cell;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::Parser as _;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;

use callers::Caller;
use fleet::Fleet;
use plan::{Plan, Size};
use report::Promise;

/// Voters of a run.
const VOTERS: usize = 3;
/// Time for which callers go on once requests must be served again after the last fault.
const SERVE_AGAIN: Duration = Duration::from_secs(2);
/// Exit code after a signal.
const INTERRUPTED: u8 = 130;

/// Whose processes run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum Role {
    /// The routers and voters of the users' platform.
    Platform,
    /// The daemons of our own interface.
    Own,
}

/// Runs processes under faults drawn from a seed and checks what is promised.
#[derive(clap::Parser)]
struct Arguments {
    /// Whose processes run.
    #[arg(long, value_enum, default_value_t = Role::Platform)]
    role: Role,
    /// The seed of all faults and of what callers ask for.
    #[arg(long, default_value_t = 3)]
    seed: u64,
    /// How long faults are injected.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Processes, three voters among them.
    #[arg(long, default_value_t = 7)]
    processes: usize,
    /// Targets that the soak plays.
    #[arg(long, default_value_t = 3)]
    targets: usize,
    /// Callers at each router.
    #[arg(long, default_value_t = 4)]
    callers: u64,
    /// Keeps the logs of a run in which nothing broke.
    #[arg(long)]
    keep: bool,
    /// Makes the soak's own side break a promise, to show that the checks see it.
    #[arg(long = "break")]
    broken: Option<Promise>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    // The processes end with the tasks that hold them, also after a signal.
    let report = tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            report = run_role(&arguments) => Some(report),
            () = interrupted() => None,
        }
    });
    let Some(report) = report else {
        println!("soak: interrupted; all processes are ended");
        return ExitCode::from(INTERRUPTED);
    };
    println!("{report}");
    let is_held = report.breaks.is_empty();
    println!("{} passed, {} failed", u32::from(is_held), u32::from(!is_held));
    if is_held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Returns at the first signal to end.
async fn interrupted() {
    let [mut term, mut int, mut hangup] =
        [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()]
            .map(|kind| signal(kind).expect("a handler"));
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
        _ = hangup.recv() => {}
    }
}

async fn run_role(arguments: &Arguments) -> report::Report {
    match arguments.role {
        Role::Platform => run(arguments).await,
        Role::Own => own::run(arguments).await,
    }
}

async fn run(arguments: &Arguments) -> report::Report {
    let size = Size {
        voters: VOTERS,
        routers: arguments.processes.saturating_sub(VOTERS).max(1),
        targets: arguments.targets.max(1),
    };
    let length = Duration::from_secs(arguments.seconds);
    let plan = Plan::draw(arguments.seed, length.as_millis() as u64, size);
    println!("soak: seed {}, {size:?}, from {}\n{plan}", arguments.seed, targets::clock_text());
    let record = record::Record::new(arguments.broken);
    // Several runs of one seed may go at the same time.
    let name = format!("soak-{}-{}", arguments.seed, std::process::id());
    let fleet = Fleet::start(&name, size, Rc::clone(&record), arguments.broken).await;
    let began = Instant::now();
    let watching = [
        tokio::task::spawn_local(Rc::clone(&fleet).read_documents(Rc::clone(&record))),
        tokio::task::spawn_local(usage::sample(Rc::clone(&fleet), Rc::clone(&record))),
    ];
    let is_open = Rc::new(Cell::new(true));
    let calling = start_callers(arguments, &fleet, &record, &is_open);
    inject_all(&fleet, plan, began).await;
    record.calm.replace(Some(Instant::now()));
    tokio::time::sleep(checks::RECOVER + SERVE_AGAIN).await;
    is_open.set(false);
    for caller in calling {
        caller.await.expect("no caller panics");
    }
    watching.iter().for_each(JoinHandle::abort);
    usage::measure_idle(fleet.as_ref(), &record).await;
    let asked = record.asked.borrow().len();
    println!("soak: {asked} requests in {:.1} s", began.elapsed().as_secs_f64());
    let report = checks::check(&record);
    keep_or_drop(&name, arguments.keep, &report);
    report
}

/// Empties the folder of a run in which nothing broke, unless it is to be kept.
fn keep_or_drop(name: &str, is_kept: bool, report: &report::Report) {
    match report.breaks.is_empty() && !is_kept {
        true => drop(common::folder(name)),
        false => println!("soak: settings and logs are in {}", common::path_of(name).display()),
    }
}

fn start_callers(
    arguments: &Arguments,
    fleet: &Fleet,
    record: &record::Shared,
    is_open: &Rc<Cell<bool>>,
) -> Vec<JoinHandle<()>> {
    let mut calling = Vec::new();
    for (number, path) in fleet.callers.iter().enumerate() {
        for caller in 0..arguments.callers {
            let caller = Caller {
                path: path.address,
                router: fleet.routers[number].ip,
                seed: arguments.seed * 1_000_000 + number as u64 * 1_000 + caller,
                is_open: Rc::clone(is_open),
                record: Rc::clone(record),
            };
            calling.push(tokio::task::spawn_local(caller.run()));
        }
    }
    calling
}

/// Injects all faults of a plan, each at its time, and returns when the last one is over.
async fn inject_all(fleet: &Rc<Fleet>, plan: Plan, began: Instant) {
    let mut injected = Vec::new();
    for (at_ms, fault) in plan.faults {
        let due = began + Duration::from_millis(at_ms);
        tokio::time::sleep_until(due.into()).await;
        injected.push(tokio::task::spawn_local(Rc::clone(fleet).inject(fault)));
    }
    for fault in injected {
        fault.await.expect("no fault panics");
    }
}
