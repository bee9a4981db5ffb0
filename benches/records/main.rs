//! Idempotency records and jobs: rates, sizes, and what a snapshot costs the control thread.
//!
//! Prints one line for each figure. Bounds are those of the design.

mod voters;

use std::hint::black_box;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuebay::consensus::Machine as _;
use fescuebay::control::answer::Answer;
use fescuebay::control::commands::{Command, Entry, Limits, Outcome};
use fescuebay::control::owner::Owner;
use fescuebay::control::queries::{self, Query};
use fescuebay::control::{Machine, jobs, records};
use fescuebay::ids::{Digest, Incarnation, LogIndex};

/// Records in the state, at which memory and snapshots are measured.
const SIZES: [u64; 3] = [100_000, 300_000, 1_000_000];
/// Calls or jobs of which a rate is measured.
const CALLS: u64 = 50_000;
/// Calls of which a rate through three voters is measured.
const VOTED: u64 = 5_000;
/// Entries on their way at once.
const AT_ONCE: usize = 512;
/// Body of a kept answer: a reservation's number and a short text.
const ANSWER_BYTES: usize = 64;
/// Longest time that the control thread may be stalled.
const MAX_STALL: Duration = Duration::from_millis(50);
/// Records a second, from the targets of performance.
const MIN_RECORDS_PER_SECOND: f64 = 5_000.0;

fn main() {
    // `cargo bench --bench records -- voters` measures the voters alone.
    if std::env::args().any(|arg| arg == "voters") {
        return three_voters();
    }
    let mut machine = machine();
    let mut calls = 0;
    let before_bytes = resident_bytes();
    for size in SIZES {
        println!("== {size} answered records, answers of {ANSWER_BYTES} bytes ==");
        while calls < size {
            call(&mut machine, calls);
            calls += 1;
        }
        let used_bytes = resident_bytes().saturating_sub(before_bytes);
        println!("resident memory a 100,000 records     {:8.1} MiB", per_100k(used_bytes, size));
        let bytes = machine.snapshot();
        let snapshot_bytes = bytes.len() as u64;
        println!(
            "snapshot a 100,000 records            {:8.1} MiB",
            per_100k(snapshot_bytes, size)
        );
        restore(bytes, size);
        list(&machine, size);
        calls += rate(&mut machine, calls);
        calls += snapshot_meanwhile(&mut machine, calls);
    }
    jobs_rate();
    three_voters();
}

fn three_voters() {
    for snapshot_every in [1_000, 1_000_000] {
        println!("== three synced voters, a snapshot after {snapshot_every} entries ==");
        voters::run(snapshot_every, voted);
    }
}

/// Records through three voters: alone, many at once, and while the state grows.
async fn voted(voters: voters::Voters) {
    let limits = Command::SetLimits(Box::new(limits()));
    voters.commit_all(1, std::iter::once(limits)).await;
    let mut alone = voters.commit_all(1, (0..500).map(begin)).await;
    print_quantiles("one record, committed alone", &mut alone);
    let mut first = 500;
    for _ in 0..4 {
        let start = Instant::now();
        let commands = (first..first + VOTED).flat_map(|number| [begin(number), finish(number)]);
        let mut times = voters.commit_all(AT_ONCE, commands).await;
        first += VOTED;
        let per_second = VOTED as f64 / start.elapsed().as_secs_f64();
        println!("calls a second with {first:6} records     {per_second:8.0}  (two entries each)");
        print_quantiles("  one entry", &mut times);
        verdict("  records a second", 2.0 * per_second >= MIN_RECORDS_PER_SECOND);
    }
    println!("commands sent again for a lost leader {:8}", voters.resent());
}

fn per_100k(bytes: u64, records: u64) -> f64 {
    bytes as f64 * 1e5 / records as f64 / f64::from(1 << 20)
}

fn machine() -> Machine {
    let mut machine = Machine::default();
    let command = Command::SetLimits(Box::new(limits()));
    machine.execute(Entry { now_ms: 1, command });
    machine
}

fn limits() -> Limits {
    let mut limits = Limits::default();
    limits.records.max_records = 2_000_000;
    limits.records.max_records_per_tenant = 2_000_000;
    limits.records.max_answers_bytes = 1 << 30;
    limits.jobs.max_bytes = 1 << 30;
    limits
}

/// Applies one encoded entry and returns how long that took.
fn apply(machine: &mut Machine, command: Command) -> (Outcome, Duration) {
    let entry = Entry { now_ms: 1_000, command }.encode();
    let start = Instant::now();
    let outcome = machine.apply(LogIndex(1), &entry);
    let took = start.elapsed();
    (Outcome::decode(&outcome).expect("the machine encoded it"), took)
}

/// The two entries of a call: its record and its end.
fn call(machine: &mut Machine, number: u64) -> [Duration; 2] {
    let (begun, begin_took) = apply(machine, begin(number));
    assert_eq!(begun, Outcome::Records(records::Outcome::Begun(records::Begun::Recorded)));
    let (_, finish_took) = apply(machine, finish(number));
    [begin_took, finish_took]
}

fn key(number: u64) -> String {
    let digest = Digest::of(&[&number.to_le_bytes()]).to_string();
    digest[..36].to_owned()
}

fn begin(number: u64) -> Command {
    Command::Records(records::Command::Begin {
        tenant: "santuario".parse().expect("a name"),
        key: key(number).parse().expect("a name"),
        digest: Digest::of(&[b"reserve", &number.to_le_bytes()]),
        owner: owner(),
        nonce: records::Nonce(number),
    })
}

fn finish(number: u64) -> Command {
    let body = Bytes::from(vec![b'x'; ANSWER_BYTES]);
    Command::Records(records::Command::Finish {
        tenant: "santuario".parse().expect("a name"),
        key: key(number).parse().expect("a name"),
        nonce: records::Nonce(number),
        end: records::End::Answered(Answer::new(200, "application/json", body)),
    })
}

fn owner() -> Owner {
    Owner { daemon: "daemon-1".parse().expect("a name"), incarnation: Incarnation(1) }
}

/// Measures calls, and returns how many it made.
fn rate(machine: &mut Machine, first: u64) -> u64 {
    let start = Instant::now();
    let calls = (first..first + CALLS).flat_map(|number| call(machine, number));
    let mut times: Vec<Duration> = calls.collect();
    let applied: Duration = times.iter().sum();
    let per_second = CALLS as f64 / applied.as_secs_f64();
    println!("calls a second, begun and ended       {per_second:8.0}  (alone, without the log)");
    println!(
        "  with encoding and decoding          {:8.0}",
        CALLS as f64 / start.elapsed().as_secs_f64()
    );
    print_quantiles("one entry", &mut times);
    verdict("records a second", per_second >= MIN_RECORDS_PER_SECOND);
    CALLS
}

fn quantile(times: &mut [Duration], percent: usize) -> Duration {
    times.sort_unstable();
    times[(times.len() - 1) * percent / 100]
}

/// Takes a snapshot on another thread while calls go on, and returns how many calls it made.
fn snapshot_meanwhile(machine: &mut Machine, first: u64) -> u64 {
    let start = Instant::now();
    let frozen = machine.freeze();
    let freeze = start.elapsed();
    let encoder = std::thread::spawn(move || {
        let start = Instant::now();
        black_box(frozen.encode());
        start.elapsed()
    });
    let mut times = Vec::new();
    let mut calls = 0;
    while calls == 0 || !encoder.is_finished() {
        times.extend(call(machine, first + calls));
        calls += 1;
    }
    let encode = encoder.join().expect("the encoder ends");
    println!("freeze {freeze:?}; encode on another thread {encode:?}");
    print_quantiles("one entry meanwhile", &mut times);
    verdict("stall of a snapshot", freeze + quantile(&mut times, 100) <= MAX_STALL);
    let start = Instant::now();
    black_box(machine.snapshot());
    println!("encode on the control thread instead  {:?}", start.elapsed());
    calls
}

fn print_quantiles(what: &str, times: &mut [Duration]) {
    let (median, p99) = (quantile(times, 50), quantile(times, 99));
    println!("{what}: p50 {median:?}, p99 {p99:?}, longest {:?}", quantile(times, 100));
}

fn list(machine: &Machine, size: u64) {
    let start = Instant::now();
    let (mut after, mut rows, mut longest) = (None, 0, Duration::ZERO);
    loop {
        let query = records::Query::List { after, max_rows: 1_000, only_unknown: false };
        let page_start = Instant::now();
        let answer = machine.query(&Query::Records(query));
        longest = longest.max(page_start.elapsed());
        let queries::Answer::Records(records::View::Page(page)) = answer else { break };
        let Some(last) = page.last() else { break };
        after = Some(last.at);
        rows += page.len();
    }
    println!("list {rows} records in pages: {:?}, longest page {longest:?}", start.elapsed());
    assert!(rows as u64 == size, "the list is not whole");
    let query = records::Query::List { after: None, max_rows: 1_000, only_unknown: true };
    let start = Instant::now();
    black_box(machine.query(&Query::Records(query)));
    println!("look for unknown ones among all       {:?}", start.elapsed());
}

fn restore(bytes: Vec<u8>, size: u64) {
    let mut restored = Machine::default();
    let start = Instant::now();
    restored.restore(&bytes).expect("the snapshot can be read");
    println!("restore                               {:?}", start.elapsed());
    assert_eq!(restored.state().records.len() as u64, size);
}

fn jobs_rate() {
    println!("== jobs ==");
    let mut machine = machine();
    let mut times = Vec::new();
    for number in 0..CALLS {
        times.extend(job(&mut machine, number));
    }
    let applied: Duration = times.iter().sum();
    let per_second = CALLS as f64 / applied.as_secs_f64();
    println!("jobs a second, from door to end       {per_second:8.0}  (alone, without the log)");
    print_quantiles("one entry", &mut times);
}

/// The three entries of a job: its submission, its lease, its answer.
fn job(machine: &mut Machine, number: u64) -> [Duration; 3] {
    let id: fescuebay::ids::JobId = format!("job-{number}").parse().expect("a name");
    let submission = jobs::Submission {
        id: id.clone(),
        tenant: "dorado".parse().expect("a name"),
        class: "restoration-report".parse().expect("a name"),
        rank: 0,
        deadline_ms: 1_000_000_000,
        min_run_ms: 1_000,
        max_answer_bytes: 4_096,
        digest: Digest::of(&[&number.to_le_bytes()]),
        work: jobs::Work {
            method: "POST".to_owned(),
            path: "/v1/chat/completions".to_owned(),
            content_type: "application/json".into(),
            body: Bytes::from(vec![b'x'; 1_024]),
            model: Some("quill:tower".parse().expect("a model")),
            is_idempotent: true,
        },
    };
    let submit = jobs::Command::Submit(Box::new(submission));
    let (outcome, submit_took) = apply(machine, Command::Jobs(submit));
    let accepted = jobs::Outcome::Submitted(jobs::Submitted::Accepted);
    assert_eq!(outcome, Outcome::Jobs(accepted), "job {number}");
    let lease = jobs::Command::Lease { owner: owner(), max_jobs: 1, nonce: number };
    let (_, lease_took) = apply(machine, Command::Jobs(lease));
    let answer = Answer::new(200, "application/json", Bytes::from(vec![b'y'; 4_096]));
    let complete = jobs::Command::Complete { id, lease: 1, answer };
    let (_, complete_took) = apply(machine, Command::Jobs(complete));
    [submit_took, lease_took, complete_took]
}

fn verdict(what: &str, is_held: bool) {
    println!("{what}: {}", if is_held { "within its bound" } else { "OVER ITS BOUND" });
}

/// Resident memory of this process.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
