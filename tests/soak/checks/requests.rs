//! Requests under way: none is lost, all end in time, none goes on after its caller has left, and
//! repeats, attempts and deadlines stay in their bounds.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use super::CONTACT;
use crate::callers::DEADLINE_MS;
use crate::record::{Arrival, Asked, Ending, Place, Record};
use crate::report::{Promise, Report};

/// Time after a request was sent from which a connection may not end without an answer.
const LOST_SLACK: Duration = Duration::from_millis(200);
/// Time for which a fault at a target may still show at its connections.
const TARGET_FAULT: Duration = Duration::from_millis(500);
/// The longest time that the route allows, and how late its answer may be.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(4);
const LATE: Duration = Duration::from_millis(500);
/// Time after its caller left from which a request may reach no target, but for a few in a run.
const GONE: Duration = Duration::from_millis(500);
const GONE_SLACK: usize = 3;
/// Time by which a deadline may be longer than what is left; and how many may be, unless they are a
/// smaller part.
const DEADLINE_SLACK_MS: u64 = 500;
const DEADLINE_COUNT: usize = 20;
const DEADLINE_PART: f64 = 0.2;
/// Repeats that all routers may send in one window, for each request and beyond that.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
const BUDGET_RATIO: f64 = 0.1;
const BUDGET_SLACK: f64 = 10.0;
/// Requests of a run that may exceed the attempts of their route.
const ATTEMPTS_SLACK: usize = 3;

/// Probes that one router may send to a life of a target in one window: one in each half second, and two more.
const MOST_PROBES: usize = 22;

type Arrivals<'a> = BTreeMap<&'a str, Vec<&'a Arrival>>;

pub fn check(report: &mut Report, record: &Record) {
    let (asked, all) = (record.asked.borrow(), record.arrivals.borrow());
    let mut arrivals: Arrivals<'_> = BTreeMap::new();
    // A probe has no id: it is no repeat of another one.
    for arrival in all.iter().filter(|arrival| !arrival.id.is_empty()) {
        arrivals.entry(&arrival.id).or_default().push(arrival);
    }
    for asked in asked.iter() {
        check_lost(report, record, asked, &arrivals);
    }
    check_timeouts(report, record, &asked);
    check_gone(report, record, &asked, &arrivals);
    check_attempts(report, record, &asked, &arrivals);
    check_deadlines(report, record, &asked, &arrivals);
    check_budget(report, &asked, &arrivals);
    check_probes(report, &all);
}

fn arrivals_of<'a>(arrivals: &'a Arrivals<'_>, asked: &Asked) -> &'a [&'a Arrival] {
    arrivals.get(asked.id.as_str()).map_or(&[], Vec::as_slice)
}

/// Whether nothing but planned work was at the router of a request or on the path of its caller.
fn is_router_sound(record: &Record, asked: &Asked) -> bool {
    let span = (asked.sent, asked.ended);
    let places = [
        Place::Router(asked.router),
        Place::CallerPath(asked.router),
        Place::TargetsOf(asked.router),
    ];
    !places.iter().any(|place| record.is_disturbed(*place, span, CONTACT))
}

/// Whether nothing was at the targets that a request reached, or on the paths to them.
fn are_targets_sound(record: &Record, asked: &Asked, arrivals: &[&Arrival]) -> bool {
    let span = (asked.sent, asked.ended);
    arrivals.iter().all(|arrival| {
        let places = [Place::Target(arrival.target), Place::TargetPath(arrival.target)];
        !places.iter().any(|place| record.is_disturbed(*place, span, TARGET_FAULT))
    })
}

/// A stop, a reload or a document loses no request: one that was passed on, or read, gets a whole
/// answer.
fn check_lost(report: &mut Report, record: &Record, asked: &Asked, arrivals: &Arrivals<'_>) {
    let arrivals = arrivals_of(arrivals, asked);
    if asked.ending == Ending::Left
        || !is_router_sound(record, asked)
        || !are_targets_sound(record, asked, arrivals)
    {
        return;
    }
    let is_read = !arrivals.is_empty() || asked.ended > asked.sent + LOST_SLACK;
    let is_whole = matches!(asked.ending, Ending::Whole { .. });
    let what = || {
        let took = asked.ended - asked.sent;
        format!(
            "{} {:?} at {}: {:?} after {took:?}",
            asked.id, asked.kind, asked.router, asked.ending
        )
    };
    report.check(Promise::NotLost, if is_whole || !is_read { Ok(()) } else { Err(what()) });
}

fn check_timeouts(report: &mut Report, record: &Record, asked: &[Asked]) {
    let took = |asked: &Asked| asked.ended - asked.sent;
    let is_counted = |a: &&Asked| {
        a.ending != Ending::Left && took(a) > ROUTE_TIMEOUT && is_router_sound(record, a)
    };
    let counted: Vec<&Asked> = asked.iter().filter(is_counted).collect();
    let late: Vec<&str> = counted
        .iter()
        .filter(|asked| took(asked) > ROUTE_TIMEOUT + LATE)
        .map(|asked| asked.id.as_str())
        .collect();
    report.count(Promise::Timeout, counted.len() as u64);
    if late.len() * 2 > counted.len() {
        let what = format!("{} of {} had no answer in time: {late:?}", late.len(), counted.len());
        report.check(Promise::Timeout, Err(what));
    }
}

fn check_gone(report: &mut Report, record: &Record, asked: &[Asked], arrivals: &Arrivals<'_>) {
    let mut late = Vec::new();
    for asked in asked.iter().filter(|a| a.ending == Ending::Left && is_router_sound(record, a)) {
        report.count(Promise::Gone, 1);
        let is_late = |arrival: &&&Arrival| {
            arrival.at > asked.ended + GONE
                && !record.is_excused(Place::TargetPath(arrival.target), arrival.at, CONTACT)
                && !record.is_excused(Place::Router(asked.router), arrival.at, CONTACT)
        };
        late.extend(arrivals_of(arrivals, asked).iter().filter(is_late).map(|a| a.id.as_str()));
    }
    if late.len() > GONE_SLACK {
        report.check(Promise::Gone, Err(format!("sent after their callers left: {late:?}")));
    }
}

/// A request runs at no more targets than its route says; targets that a fault is at don't count.
fn check_attempts(report: &mut Report, record: &Record, asked: &[Asked], arrivals: &Arrivals<'_>) {
    let mut over = Vec::new();
    for asked in asked {
        let arrivals = arrivals_of(arrivals, asked);
        let runs = arrivals.iter().filter(|arrival| arrival.is_run).count();
        report.count(Promise::Attempts, u64::from(runs > 0));
        if runs > asked.kind.max_attempts() && are_targets_sound(record, asked, arrivals) {
            over.push(asked.id.as_str());
        }
    }
    if over.len() > ATTEMPTS_SLACK {
        report.check(Promise::Attempts, Err(format!("ran too often: {over:?}")));
    }
}

/// Targets are told no more time than is left.
fn check_deadlines(report: &mut Report, record: &Record, asked: &[Asked], arrivals: &Arrivals<'_>) {
    let (mut counted, mut over) = (0, Vec::new());
    for asked in asked.iter().filter(|asked| is_router_sound(record, asked)) {
        let arrivals = arrivals_of(arrivals, asked);
        if !are_targets_sound(record, asked, arrivals) {
            continue;
        }
        for arrival in arrivals {
            let took_ms = arrival.at.saturating_duration_since(asked.sent).as_millis() as u64;
            let left_ms = DEADLINE_MS.saturating_sub(took_ms);
            counted += 1;
            if arrival.deadline_ms.is_none_or(|ms| ms > left_ms + DEADLINE_SLACK_MS) {
                over.push(asked.id.as_str());
            }
        }
    }
    report.count(Promise::Deadline, counted);
    if over.len() > DEADLINE_COUNT && over.len() as f64 > counted as f64 * DEADLINE_PART {
        let what = format!("{} of {counted} with a deadline too long", over.len());
        report.check(Promise::Deadline, Err(what));
    }
}

/// Nothing excuses more repeats than the budget of all routers.
fn check_budget(report: &mut Report, asked: &[Asked], arrivals: &Arrivals<'_>) {
    let mut repeats: Vec<Instant> =
        arrivals.values().flat_map(|all| all.iter().skip(1)).map(|arrival| arrival.at).collect();
    repeats.sort();
    let sent = |from: Instant| {
        let window = from..from + BUDGET_WINDOW;
        asked.iter().filter(|asked| window.contains(&asked.sent)).count()
    };
    for begin in &repeats {
        let window = *begin..*begin + BUDGET_WINDOW;
        let count = repeats.iter().filter(|at| window.contains(at)).count();
        let begins = [*begin, *begin - BUDGET_WINDOW / 2, *begin - BUDGET_WINDOW];
        let requests = begins.into_iter().map(sent).max().unwrap_or_default();
        let allowed = requests as f64 * BUDGET_RATIO + BUDGET_SLACK;
        let what = || format!("{count} repeats in 10 s, {requests} requests");
        let held = if count as f64 <= allowed { Ok(()) } else { Err(what()) };
        report.check(Promise::RetryBudget, held);
    }
}

/// No router asks a target too often whether it can be reached.
fn check_probes(report: &mut Report, all: &[Arrival]) {
    let mut probes: BTreeMap<(IpAddr, usize, u64), Vec<Instant>> = BTreeMap::new();
    for arrival in all.iter().filter(|arrival| arrival.id.is_empty()) {
        let place = (arrival.router, arrival.target, arrival.life);
        probes.entry(place).or_default().push(arrival.at);
    }
    for ((router, target, _), mut times) in probes {
        times.sort();
        let most = times.iter().map(|begin| {
            let window = *begin..*begin + BUDGET_WINDOW;
            times.iter().filter(|at| window.contains(at)).count()
        });
        let most = most.max().unwrap_or_default();
        let what = || format!("{router} probed t{target} {most} times in 10 s");
        let held = if most <= MOST_PROBES { Ok(()) } else { Err(what()) };
        report.check(Promise::Probes, held);
    }
}
