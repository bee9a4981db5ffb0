//! Checks the promises against what callers, targets and the operator saw.
//!
//! Bounds are those that the users state. What a fault excuses is said at each check.

mod documents;
pub mod processes;
mod requests;
mod targets;
mod words;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway_support::header;
use crate::record::{Asked, Ending, Kind, Record};
use crate::report::{Promise, Report};
use crate::targets::EVENTS;

/// Time after a fault, or after a limit is first named, from which a promise holds.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Time after the last fault from which requests must be served again.
pub const RECOVER: Duration = Duration::from_secs(12);
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
    requests::check(&mut report, record);
    words::check(&mut report, record);
    targets::check(&mut report, record);
    documents::check(&mut report, record);
    processes::check(&mut report, record);
    processes::check_recovery(&mut report, record);
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
