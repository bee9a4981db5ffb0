//! Checks what callers, targets and operators of our own interface saw.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use super::callers::{Answer, Asked, Kind};
use super::{Fleet, TARGET_GIB};
use crate::checks::{CONTACT, RECOVER, processes};
use crate::record::Place;
use crate::report::{Promise, Report};

/// The window in which calls at a limited target are counted, and what it allows.
const WINDOW: Duration = Duration::from_secs(4);
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// Time after which an accepted change is in force everywhere.
const APPLY: Duration = Duration::from_secs(5);
/// Time after a request was sent from which a connection may not end without an answer.
const LOST_SLACK: Duration = Duration::from_millis(200);
/// The part of requests that must be served after the last fault.
const SERVED_PART: f64 = 0.25;

pub fn check(fleet: &Fleet, broken: Option<Promise>) -> Report {
    let mut report = Report::default();
    let executions = executions(fleet);
    let mut asked = fleet.seen.asked.borrow_mut();
    if let Some(Promise::NotLost | Promise::Recovery) = broken {
        for asked in asked.iter_mut() {
            (asked.answer, asked.ended) = (None, asked.ended + CONTACT);
        }
    }
    let by_key = reservations(&asked);
    for (key, all) in &by_key {
        let mut runs = executions.get(*key).copied().unwrap_or_default();
        if let Some(Promise::AtMostOnce | Promise::NotRunIsTrue) = broken {
            runs += 1;
        }
        check_reservation(&mut report, key, all, runs);
    }
    for asked in asked.iter() {
        check_answer(&mut report, fleet, asked, broken);
    }
    check_limits(&mut report, fleet, broken);
    check_revisions(&mut report, fleet, broken);
    check_memory(&mut report, fleet);
    check_recovery(&mut report, fleet, &asked);
    processes::check(&mut report, &fleet.record);
    report
}

/// Executions by key over all targets that ever ran.
fn executions(fleet: &Fleet) -> BTreeMap<String, u32> {
    let mut executions: BTreeMap<String, u32> = BTreeMap::new();
    let mut add = |all: &[(String, u32)]| {
        for (key, count) in all {
            *executions.entry(key.clone()).or_default() += count;
        }
    };
    add(&fleet.seen.past_executions.borrow());
    for target in &fleet.targets {
        if let Some(handle) = target.handle.borrow().as_ref() {
            add(&handle.all_executions());
        }
    }
    executions
}

fn reservations(asked: &[Asked]) -> BTreeMap<&str, Vec<&Asked>> {
    let mut by_key: BTreeMap<&str, Vec<&Asked>> = BTreeMap::new();
    for asked in asked {
        if let Kind::Reservation(key) = &asked.kind {
            by_key.entry(key).or_default().push(asked);
        }
    }
    by_key
}

fn check_reservation(report: &mut Report, key: &str, all: &[&Asked], runs: u32) {
    let held = if runs <= 1 { Ok(()) } else { Err(format!("{key} ran {runs} times")) };
    report.check(Promise::AtMostOnce, held);
    let answers = || all.iter().filter_map(|asked| asked.answer.as_ref());
    if answers().any(|answer| answer.status == 201) {
        let held = if runs == 1 { Ok(()) } else { Err(format!("{key} got 201 and ran {runs}")) };
        report.check(Promise::OwnAnswer, held);
    }
    let is_not_run = |answer: &Answer| answer.ran.as_deref() == Some("no");
    if answers().count() == all.len() && answers().all(is_not_run) {
        let held = if runs == 0 { Ok(()) } else { Err(format!("{key} is said not to have run")) };
        report.check(Promise::NotRunIsTrue, held);
    }
}

fn check_answer(report: &mut Report, fleet: &Fleet, asked: &Asked, broken: Option<Promise>) {
    let what = || format!("{:?} at {}: {:?}", asked.kind, asked.daemon, asked.answer);
    if let (Kind::Stream(tokens), Some(answer)) = (&asked.kind, &asked.answer)
        && answer.status == 200
        && answer.is_whole
        && answer.body.contains("[DONE]")
    {
        let is_in_order =
            is_in_order(&answer.body, *tokens) != (broken == Some(Promise::StreamOrder));
        report.check(Promise::StreamOrder, is_in_order.then_some(()).ok_or_else(what));
    }
    if let (Kind::Reservation(key), Some(answer)) = (&asked.kind, &asked.answer)
        && answer.status == 201
        && answer.is_whole
    {
        let is_own = answer.body.contains(key) != (broken == Some(Promise::OwnAnswer));
        report.check(Promise::OwnAnswer, is_own.then_some(()).ok_or_else(what));
    }
    check_lost(report, fleet, asked);
}

/// Whether a stream has the words that it was asked for, in turn.
fn is_in_order(body: &str, tokens: usize) -> bool {
    let words = body.split("\"content\":\"").skip(1);
    let words: Vec<&str> = words.filter_map(|rest| rest.split('"').next()).collect();
    let expected = ["one ", "two ", "three "].into_iter().cycle();
    words.len() == tokens && words.into_iter().zip(expected).all(|(word, other)| word == other)
}

/// Requests at a daemon that nothing but a planned stop was at, while no target failed, end whole.
fn check_lost(report: &mut Report, fleet: &Fleet, asked: &Asked) {
    let span = (asked.sent, asked.ended);
    let record = &fleet.record;
    let is_sound = |place| !record.is_disturbed(place, span, CONTACT);
    if !is_sound(Place::Router(asked.daemon.ip()))
        || !(0..fleet.targets.len()).all(|target| is_sound(Place::Target(target)))
    {
        return;
    }
    let is_read = asked.ended > asked.sent + LOST_SLACK;
    let is_whole = asked.answer.as_ref().is_some_and(|answer| answer.is_whole);
    let what = || {
        let took = asked.ended - asked.sent;
        format!("{:?} at {}: {:?} after {took:?}", asked.kind, asked.daemon, asked.answer)
    };
    let is_held = is_whole || (!is_read && asked.answer.is_none());
    report.check(Promise::NotLost, is_held.then_some(()).ok_or_else(what));
}

fn check_limits(report: &mut Report, fleet: &Fleet, broken: Option<Promise>) {
    for limited in fleet.seen.limits.borrow().iter() {
        let factor = if broken == Some(Promise::Limit) { -LIMIT_FACTOR } else { LIMIT_FACTOR };
        let allowed = factor * limited.limit * WINDOW.as_secs_f64() + LIMIT_SLACK;
        for begin in &limited.calls {
            let window = *begin..*begin + WINDOW;
            let count = limited.calls.iter().filter(|at| window.contains(at)).count();
            let what = || format!("{count} calls in 4 s at a limit of {} a second", limited.limit);
            report.check(Promise::Limit, (count as f64 <= allowed).then_some(()).ok_or_else(what));
        }
    }
}

/// A daemon that was disturbed, or a group without a majority, may show an older revision.
fn check_revisions(report: &mut Report, fleet: &Fleet, broken: Option<Promise>) {
    let accepted = fleet.seen.accepted.borrow();
    let newest_before = |end: Instant| {
        let before = accepted.iter().filter(|(at, _)| *at <= end);
        before.map(|(_, revision)| *revision).max().unwrap_or_default()
    };
    let Some(calm) = *fleet.record.calm.borrow() else { return };
    for (asked, revision) in fleet.seen.read.borrow().iter().filter(|(at, _)| *at >= calm + RECOVER)
    {
        let newest = newest_before(*asked - APPLY);
        let revision = if broken == Some(Promise::DocumentNotOlder) { 0 } else { *revision };
        let what = || format!("revision {revision} was read, {newest} is accepted");
        report
            .check(Promise::DocumentNotOlder, (revision >= newest).then_some(()).ok_or_else(what));
    }
}

fn check_memory(report: &mut Report, fleet: &Fleet) {
    let max_bytes = TARGET_GIB << 30;
    let mut peaks = fleet.seen.past_peaks.borrow().clone();
    if fleet.record.is_broken(Promise::ReplicaMemory) {
        peaks.push(max_bytes + 1);
    }
    for target in &fleet.targets {
        peaks.extend(target.handle.borrow().as_ref().map(|handle| handle.peak_memory_bytes().0));
    }
    for peak_bytes in peaks {
        let what = || format!("a target held {peak_bytes} bytes of replicas");
        let held = (peak_bytes <= max_bytes).then_some(()).ok_or_else(what);
        report.check(Promise::ReplicaMemory, held);
    }
}

fn check_recovery(report: &mut Report, fleet: &Fleet, asked: &[Asked]) {
    let Some(calm) = *fleet.record.calm.borrow() else { return };
    let mut daemons: BTreeMap<IpAddr, (u32, u32)> = BTreeMap::new();
    for asked in asked.iter().filter(|asked| asked.sent >= calm + RECOVER) {
        let (served, all) = daemons.entry(asked.daemon.ip()).or_default();
        let is_served = |answer: &Answer| matches!(answer.status, 200 | 201) && answer.is_whole;
        *served += u32::from(asked.answer.as_ref().is_some_and(is_served));
        *all += 1;
    }
    for (daemon, (served, all)) in daemons {
        let what = || format!("{daemon} serves {served} of {all} after the last fault");
        let is_held = f64::from(served) >= f64::from(all) * SERVED_PART;
        report.check(Promise::Recovery, is_held.then_some(()).ok_or_else(what));
    }
}
