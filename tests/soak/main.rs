//! A randomised soak of real processes under faults from outside, which checks what callers and
//! targets are promised.
//!
//! `cargo test --test soak` runs it short and seeded; by hand:
//! `cargo test --test soak -- --seed 7 --seconds 120 --processes 40`.

mod callers;
mod checks;
mod fleet;
mod plan;
mod record;
mod report;
mod targets;

#[path = "../common/mod.rs"]
mod common;
#[path = "../gateway_support/mod.rs"]
mod gateway_support;
#[path = "../roles_support/mod.rs"]
mod roles_support;

use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::Parser as _;

use callers::Caller;
use fleet::Fleet;
use plan::{Plan, Size};
use report::Promise;

/// Voters of a run.
const VOTERS: usize = 3;
/// Time after the last fault in which requests still end.
const SETTLE: Duration = Duration::from_secs(8);

/// Runs processes under faults drawn from a seed and checks what is promised.
#[derive(clap::Parser)]
struct Arguments {
    /// The seed of all faults and of what callers ask for.
    #[arg(long, default_value_t = 1)]
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
    let report = tokio::task::LocalSet::new().block_on(&runtime, run(&arguments));
    println!("{report}");
    let is_held = report.breaks.is_empty();
    println!("{} passed, {} failed", u32::from(is_held), u32::from(!is_held));
    if is_held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
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
    let record = record::Shared::default();
    // Several runs of one seed may go at the same time.
    let name = format!("soak-{}-{}", arguments.seed, std::process::id());
    let fleet = Fleet::start(&name, size, Rc::clone(&record), arguments.broken).await;
    let began = Instant::now();
    let reading = tokio::task::spawn_local(Rc::clone(&fleet).read_documents());
    let mut work = Vec::new();
    for (number, path) in fleet.callers.iter().enumerate() {
        for caller in 0..arguments.callers {
            let seed = arguments.seed * 1_000_000 + number as u64 * 1_000 + caller;
            let (router, end) = (path.address, began + length + SETTLE / 2);
            let caller = Caller { router, seed, end, record: Rc::clone(&record) };
            work.push(tokio::task::spawn_local(caller.run()));
        }
    }
    for (at_ms, fault) in plan.faults {
        let due = began + Duration::from_millis(at_ms);
        tokio::time::sleep_until(due.into()).await;
        work.push(tokio::task::spawn_local(Rc::clone(&fleet).inject(fault)));
    }
    for task in work {
        task.await.expect("no part of the soak panics");
    }
    reading.abort();
    let asked = record.asked.borrow().len();
    println!("soak: {asked} requests in {:.1} s", began.elapsed().as_secs_f64());
    let report = checks::check(&record);
    match report.breaks.is_empty() && !arguments.keep {
        true => drop(common::folder(&name)),
        false => println!("soak: settings and logs are in {}", common::path_of(&name).display()),
    }
    report
}
