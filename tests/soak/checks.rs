//! Checks the promises against what callers and targets saw.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use crate::gateway_support::header;
use crate::record::{Arrival, Asked, Ending, Kind, Record, Says, Word};
use crate::report::{Promise, Report};
use crate::targets::EVENTS;

/// Time after a fault at a VM, or after a limit is first named, from which a promise holds.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after a word in an answer from which its router must heed it.
const HEED: Duration = Duration::from_millis(500);
/// Time after which a leaving target gets no requests that were sent later.
const DRAIN: Duration = Duration::from_secs(2);
/// Time after which an acknowledged document is in force everywhere.
const APPLY: Duration = Duration::from_secs(2);
/// The window in which requests at a limited target are counted, and what it allows.
const WINDOW: Duration = Duration::from_secs(4);
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// Requests that may reach a target during its pause from one router.
const PAUSE_SLACK: usize = 2;
/// Statuses that promise that the request has not run.
const NOT_RUN: [u16; 4] = [503, 429, 408, 421];

pub fn check(record: &Record) -> Report {
    let mut report = Report::default();
    let arrivals = record.arrivals.borrow();
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.is_run) {
        *runs.entry(&arrival.id).or_default() += 1;
    }
    for asked in record.asked.borrow().iter() {
        check_answer(&mut report, asked);
        check_runs(&mut report, asked, runs.get(asked.id.as_str()).copied().unwrap_or_default());
    }
    check_limits(&mut report, record);
    check_pauses(&mut report, record);
    check_leaving(&mut report, record);
    check_documents(&mut report, record);
    report
}

fn check_answer(report: &mut Report, asked: &Asked) {
    let Ending::Whole { status: 200, head, body } = &asked.ending else { return };
    let is_own = header(head, "attempt-id").as_deref() == Some(&asked.id)
        && header(head, "server-stamp").is_some();
    let expected = match asked.kind {
        Kind::Safe | Kind::Unsafe => format!("ran {}", asked.id),
        Kind::Stream | Kind::ResumableStream => {
            let event = |number| format!("id: {number}\ndata: {}/{number}\n\n", asked.id);
            (1..=EVENTS).map(event).collect()
        }
    };
    let promise = match asked.kind {
        Kind::Safe | Kind::Unsafe => Promise::OwnAnswer,
        Kind::Stream | Kind::ResumableStream => Promise::StreamOrder,
    };
    let held = if is_own && *body == expected {
        Ok(())
    } else {
        Err(format!("{} {:?} got {body:?} with {head:?}", asked.id, asked.kind))
    };
    report.check(promise, held);
}

fn check_runs(report: &mut Report, asked: &Asked, runs: usize) {
    if asked.kind.is_repeatable() {
        return;
    }
    let at_most_once =
        if runs <= 1 { Ok(()) } else { Err(format!("{} ran {runs} times", asked.id)) };
    report.check(Promise::AtMostOnce, at_most_once);
    if let Ending::Whole { status, .. } = &asked.ending
        && NOT_RUN.contains(status)
    {
        let is_true =
            if runs == 0 { Ok(()) } else { Err(format!("{} got {status} and ran", asked.id)) };
        report.check(Promise::NotRunIsTrue, is_true);
    }
}

/// Whether a router was disturbed at a moment, or shortly before it.
fn is_excused(record: &Record, router: IpAddr, at: Instant) -> bool {
    let disturbances = record.disturbances.borrow();
    disturbances.iter().any(|d| d.router == router && (d.from..d.to + CONTACT).contains(&at))
}

/// The words of one kind of one life of a target, in the order of their times.
fn spans(words: &[Word]) -> BTreeMap<(usize, u64, u64), Vec<&Word>> {
    let mut spans: BTreeMap<(usize, u64, u64), Vec<&Word>> = BTreeMap::new();
    for word in words {
        if let Says::Limit(limit) = word.says {
            let key = (word.target, word.life, (limit * 1_000.0) as u64);
            spans.entry(key).or_default().push(word);
        }
    }
    spans
}

fn check_limits(report: &mut Report, record: &Record) {
    let (words, arrivals) = (record.words.borrow(), record.arrivals.borrow());
    for ((target, life, limit), said) in spans(&words) {
        let limit = limit as f64 / 1_000.0;
        let (Some(first), Some(last)) = (said.first(), said.last()) else { continue };
        let is_told = |arrival: &&Arrival| {
            said.iter().any(|w| w.router == arrival.router && w.at + HEED <= arrival.at)
        };
        let counted: Vec<Instant> = arrivals
            .iter()
            .filter(|a| a.is_meant && a.target == target && a.life == life)
            .filter(|a| (first.at + CONTACT..=last.at).contains(&a.at))
            .filter(|a| !is_excused(record, a.router, a.at))
            .filter(is_told)
            .map(|arrival| arrival.at)
            .collect();
        let allowed = LIMIT_FACTOR * limit * WINDOW.as_secs_f64() + LIMIT_SLACK;
        for begin in &counted {
            let window = *begin..*begin + WINDOW;
            let count = counted.iter().filter(|at| window.contains(at)).count();
            let what = || format!("t{target}-{life} at {limit} a second got {count} in 4 s");
            let held = if count as f64 <= allowed { Ok(()) } else { Err(what()) };
            report.check(Promise::Limit, held);
        }
    }
}

fn check_pauses(report: &mut Report, record: &Record) {
    let (words, arrivals) = (record.words.borrow(), record.arrivals.borrow());
    for word in words.iter() {
        let Says::PauseS(seconds) = word.says else { continue };
        let (begin, end) = (word.at + HEED, word.at + Duration::from_secs(u64::from(seconds)));
        let is_counted = |a: &&Arrival| {
            a.is_meant
                && a.target == word.target
                && a.life == word.life
                && a.router == word.router
                && (begin..end).contains(&a.at)
                && !is_excused(record, a.router, a.at)
        };
        let count = arrivals.iter().filter(is_counted).count();
        let what = || format!("t{}-{} got {count} in its pause", word.target, word.life);
        let held = if count <= PAUSE_SLACK { Ok(()) } else { Err(what()) };
        report.check(Promise::Pause, held);
    }
}

fn check_leaving(report: &mut Report, record: &Record) {
    let (words, arrivals, asked) =
        (record.words.borrow(), record.arrivals.borrow(), record.asked.borrow());
    let sent: BTreeMap<&str, Instant> =
        asked.iter().map(|asked| (asked.id.as_str(), asked.sent)).collect();
    let mut firsts: BTreeMap<(usize, u64, IpAddr), Instant> = BTreeMap::new();
    for word in words.iter().filter(|word| word.says == Says::Leaving) {
        firsts.entry((word.target, word.life, word.router)).or_insert(word.at);
    }
    for ((target, life, router), said) in firsts {
        let is_late = |a: &&Arrival| {
            a.is_meant
                && (a.target, a.life, a.router) == (target, life, router)
                && sent.get(a.id.as_str()).is_some_and(|sent| *sent > said + DRAIN)
                && !is_excused(record, router, a.at)
        };
        let late = arrivals.iter().filter(is_late).count();
        let what = || format!("t{target}-{life} got {late} from {router} after it had left");
        report.check(Promise::Leaving, if late == 0 { Ok(()) } else { Err(what()) });
    }
}

fn check_documents(report: &mut Report, record: &Record) {
    let acknowledged = record.acknowledged.borrow();
    for (asked, version) in record.read.borrow().iter() {
        let in_force = acknowledged.iter().filter(|(at, _)| *at + APPLY <= *asked);
        let newest = in_force.map(|(_, version)| *version).max().unwrap_or_default();
        let what = || format!("version {version} was read, {newest} is acknowledged");
        let held = if *version >= newest { Ok(()) } else { Err(what()) };
        report.check(Promise::DocumentNotOlder, held);
    }
}
