//! What the configuration costs: time to resolve and to follow a change, memory, bytes on the wire.
//!
//! Run with `cargo bench --bench config`. Every figure is of this run; ratios are within it.

use std::fs;
use std::hint::black_box;
use std::time::Instant;

use fescuebay::config::catalogue::{Adapter, Class, Model};
use fescuebay::config::{
    self, Accepted, Change, Command, Edit, Facts, Fleet, NewException, Outcome, Setting, State,
    Subject,
};
use fescuebay::ids::{AdapterName, ClassName, ModelName, Revision, TenantId};
use fescuebay::units::{Bytes, Millis};

/// Calls of one timed loop.
const CALLS: usize = 200_000;
/// Loops, of which the median counts.
const LOOPS: usize = 7;
/// Requests a second at the two-year size.
const REQUESTS_PER_S: f64 = 4_200.0;
/// Changes a day at the two-year size.
const CHANGES_PER_DAY: f64 = 2_300.0;
/// Tenants of the timed requests.
const TENANTS: usize = 40;

fn name<T: std::str::FromStr>(text: String) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a generated name")
}

fn model(number: usize, adapters: usize) -> Model {
    let adapter = |place| Adapter {
        name: name(format!("adapter-{number:03}-{place:05}")),
        version: name("2026-12".to_owned()),
        memory_bytes: Bytes(256 << 20),
    };
    Model {
        name: name(format!("model-{number:03}")),
        version: name("2026-12".to_owned()),
        memory_bytes: Bytes(16 << 30),
        slots: 8,
        adapters: (0..adapters).map(adapter).collect(),
    }
}

fn class(number: usize) -> Class {
    let name = name(format!("class-{number}"));
    Class { name, rank: 3, weight: 10, deadline_ms: Millis(60_000), is_important: false }
}

/// Exceptions of every kind that governs requests, the most of them for adapters.
fn exception(number: usize, models: usize) -> Edit {
    let scope = match number % 8 {
        0 => format!("tenant=tenant-{number}"),
        1 => format!("class=class-{},tenant=tenant-{number}", number % 8),
        2 => format!("model=model-{:03},tenant=tenant-{number}", number % models),
        3 => format!("model=model-{:03},zone=zone-{number}", number % models),
        _ => {
            format!("adapter=model-{0:03}:adapter-{0:03}-{1:05}", number % models, number / models)
        }
    };
    let setting = match number % 8 {
        3 => ("placeable", "no"),
        _ => ("max_waiting", "50"),
    };
    let settings = vec![Setting::read(setting.0, setting.1).expect("a known key")];
    let scope = scope.parse().expect("a generated scope");
    let reason = "the reason of an operator, about as long as people write".to_owned();
    Edit::AddException(NewException { scope, settings, reason, end_ms: None })
}

fn make(state: &mut State, edits: Vec<Edit>) {
    let base = state.fleet().revision();
    let (id, author) = (name(format!("change-{base}")), name("maria".to_owned()));
    let change = Change { id, base, author, reason: String::new(), edits };
    let outcome = state.apply(Command::Change(change), 0);
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
}

fn state(models: usize, adapters: usize, exceptions: usize) -> State {
    let mut state = State::default();
    make(&mut state, (0..8).map(class).map(Edit::PutClass).collect());
    for number in 0..models {
        let share = adapters / models + usize::from(number < adapters % models);
        make(&mut state, vec![Edit::PutModel(model(number, share))]);
    }
    let edits: Vec<Edit> = (0..exceptions).map(|number| exception(number, models)).collect();
    if !edits.is_empty() {
        make(&mut state, edits);
    }
    state
}

/// The median time of one call in nanoseconds.
fn time_ns(calls: usize, mut call: impl FnMut(usize)) -> f64 {
    let mut loops: Vec<f64> = (0..LOOPS)
        .map(|_| {
            let start = Instant::now();
            (0..calls).for_each(&mut call);
            start.elapsed().as_nanos() as f64 / calls as f64
        })
        .collect();
    loops.sort_by(f64::total_cmp);
    loops[LOOPS / 2]
}

fn resolve_ns(fleet: &Fleet, models: usize) -> f64 {
    let tenants: Vec<TenantId> = (0..TENANTS).map(|n| name(format!("tenant-{n}"))).collect();
    let classes: Vec<ClassName> = (0..8).map(|n| name(format!("class-{n}"))).collect();
    let models: Vec<ModelName> = (0..models).map(|n| name(format!("model-{n:03}"))).collect();
    let adapters: Vec<AdapterName> =
        (0..models.len()).map(|n| name(format!("adapter-{n:03}-00000"))).collect();
    time_ns(CALLS, |call| {
        let place = call % models.len();
        let subject = Subject {
            tenant: Some(&tenants[call % tenants.len()]),
            class: Some(&classes[call % classes.len()]),
            model: Some(&models[place]),
            adapter: Some(&adapters[place]),
            ..Subject::default()
        };
        black_box(config::resolve(fleet, &subject));
    })
}

fn follow_us(state: &State) -> f64 {
    let fleet = state.fleet();
    let change = Change {
        id: name("one-more".to_owned()),
        base: fleet.revision(),
        author: name("maria".to_owned()),
        reason: String::new(),
        edits: vec![Edit::SetDefault(Setting::read("rank", "4").expect("a known key"))],
    };
    let accepted = Accepted { revision: fleet.revision().next(), at_ms: 0, change };
    time_ns(200, |_| {
        let mut next = fleet.clone();
        next.follow(&accepted);
        black_box(next.revision());
    }) / 1000.0
}

/// Time that the leader takes to check a change against all it knows.
fn check_us(state: &State) -> f64 {
    let facts = Facts { memory_bytes: Some(Bytes(u64::MAX)), ..Facts::default() };
    let change = Change {
        id: name("one-more".to_owned()),
        base: state.fleet().revision(),
        author: name("maria".to_owned()),
        reason: String::new(),
        edits: vec![Edit::SetDefault(Setting::read("rank", "4").expect("a known key"))],
    };
    time_ns(5, |_| {
        black_box(state.check(&change, &facts, 0));
    }) / 1000.0
}

/// Resident memory of this process.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the state of this process");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("resident memory");
    let kib = line.split_whitespace().nth(1).and_then(|kib| kib.parse::<u64>().ok());
    kib.expect("a number of KiB") * 1024
}

/// Returns what it measured, so that its memory is not used again.
fn memory() -> Vec<Vec<Fleet>> {
    println!("memory of a fleet with 110 models, as a router gets it (decoded)");
    println!("{:>10} {:>12} {:>12} {:>14}", "adapters", "encoded", "resident", "bytes/adapter");
    let mut held = Vec::new();
    // So many copies that memory which earlier steps left free does not count.
    for (adapters, copies) in [(1_000, 2_000), (10_000, 200), (31_000, 64)] {
        let encoded = postcard::to_stdvec(state(110, adapters, 0).fleet()).expect("a fleet");
        let before = resident_bytes();
        let fleets: Vec<Fleet> =
            (0..copies).map(|_| postcard::from_bytes(&encoded).expect("a fleet")).collect();
        let each = (resident_bytes().saturating_sub(before)) / fleets.len() as u64;
        println!(
            "{adapters:>10} {:>12} {each:>12} {:>14.0}",
            encoded.len(),
            each as f64 / adapters as f64
        );
        held.push(fleets);
    }
    held
}

/// Returns what it measured, so that its memory is not used again.
fn trail() -> Vec<Vec<State>> {
    println!("\naudit trail, as a voter keeps it (decoded)");
    println!("{:>10} {:>12} {:>12} {:>14}", "changes", "encoded", "resident", "bytes/change");
    let mut held = Vec::new();
    for (changes, copies) in [(1_000, 200), (3_000, 64), (10_000, 20)] {
        let mut state = state(110, 0, 0);
        for number in 0..changes {
            let waiting = (number % 90 + 1).to_string();
            let setting = Setting::read("max_waiting", &waiting).expect("a known key");
            make(&mut state, vec![Edit::SetDefault(setting)]);
        }
        let encoded = postcard::to_stdvec(&state).expect("a state");
        let before = resident_bytes();
        let states: Vec<State> =
            (0..copies).map(|_| postcard::from_bytes(&encoded).expect("a state")).collect();
        let each = (resident_bytes().saturating_sub(before)) / states.len() as u64;
        println!(
            "{changes:>10} {:>12} {each:>12} {:>14.0}",
            encoded.len(),
            each as f64 / f64::from(changes)
        );
        held.push(states);
    }
    held
}

fn wire() {
    println!("\nbytes of an accepted change on the wire");
    let cases = [
        ("one default", vec![Edit::SetDefault(Setting::read("deadline", "45 s").expect("a key"))]),
        ("one exception", vec![exception(4, 110)]),
        (
            "one adapter",
            vec![Edit::PutAdapter(name("model-001".to_owned()), model(1, 1).adapters.remove(0))],
        ),
        ("one hundred exceptions", (0..100).map(|number| exception(number, 110)).collect()),
    ];
    for (what, edits) in cases {
        let change = Change {
            id: name("cli-0123456789abcdef".to_owned()),
            base: Revision(2_300),
            author: name("maria".to_owned()),
            reason: String::new(),
            edits,
        };
        let accepted = Accepted { revision: Revision(2_301), at_ms: 1_800_000_000_000, change };
        let bytes = postcard::to_stdvec(&accepted).expect("a change").len();
        let per_s = bytes as f64 * CHANGES_PER_DAY / 86_400.0;
        println!("{what:>24}: {bytes:>6} bytes; at 2,300 changes a day {per_s:.1} bytes a second");
    }
}

fn main() {
    let held = (memory(), trail());
    black_box(&held);
    println!("\nresolve, and follow a change");
    println!(
        "{:>8} {:>9} {:>11} {:>12} {:>16} {:>11} {:>10}",
        "models",
        "adapters",
        "exceptions",
        "resolve ns",
        "% of a core at*",
        "follow us",
        "check us"
    );
    for (models, adapters, exceptions) in
        [(50, 60, 20), (110, 31_000, 20), (110, 31_000, 200), (110, 31_000, 2_000)]
    {
        let state = state(models, adapters, exceptions);
        let ns = resolve_ns(state.fleet(), models);
        let percent = ns * REQUESTS_PER_S / 1e9 * 100.0;
        let follow = follow_us(&state);
        let check = check_us(&state);
        println!(
            "{models:>8} {adapters:>9} {exceptions:>11} {ns:>12.0} {percent:>16.3} {follow:>11.1} \
             {check:>10.0}"
        );
    }
    println!("* all 4,200 requests a second of the fleet, resolved in one daemon");
    wire();
    drop(held);
}
