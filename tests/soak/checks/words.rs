//! What targets say of themselves in answers: limits, pauses, and that they leave.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use super::CONTACT;
use crate::record::{Arrival, Place, Record, Says, Word};
use crate::report::{Promise, Report};

/// Time after a word in an answer from which its router must heed it.
const HEED: Duration = Duration::from_millis(500);
/// Time after which a leaving target gets no requests that were sent later.
const DRAIN: Duration = Duration::from_secs(2);
/// The window in which requests at a limited target are counted, and what it allows.
const WINDOW: Duration = Duration::from_secs(4);
const LIMIT_FACTOR: f64 = 1.5;
const LIMIT_SLACK: f64 = 5.0;
/// Requests that may reach a target during its pause from one router.
const PAUSE_SLACK: usize = 2;

pub fn check(report: &mut Report, record: &Record) {
    check_limits(report, record);
    check_pauses(report, record);
    check_leaving(report, record);
}

/// A restart, a freeze or a cut of its router excuses a request, and a disturbed path to its target,
/// on which requests are held up whoever sent them.
fn is_excused(record: &Record, arrival: &Arrival) -> bool {
    let places = [
        Place::Router(arrival.router),
        Place::PeerPath(arrival.router),
        Place::TargetPath(arrival.target),
    ];
    places.iter().any(|place| record.is_excused(*place, arrival.at, CONTACT))
}

/// What was said of limits, by target, life and limit in thousandths, in the order of time.
fn said_limits(words: &[Word]) -> BTreeMap<(usize, u64, u64), Vec<&Word>> {
    let mut said: BTreeMap<(usize, u64, u64), Vec<&Word>> = BTreeMap::new();
    for word in words {
        if let Says::Limit(limit) = word.says {
            let key = (word.target, word.life, (limit * 1_000.0) as u64);
            said.entry(key).or_default().push(word);
        }
    }
    said
}

fn check_limits(report: &mut Report, record: &Record) {
    let (words, arrivals) = (record.words.borrow(), record.arrivals.borrow());
    for ((target, life, limit), said) in said_limits(&words) {
        let limit = limit as f64 / 1_000.0;
        let (Some(first), Some(last)) = (said.first(), said.last()) else { continue };
        let is_told = |arrival: &&Arrival| {
            said.iter().any(|w| w.router == arrival.router && w.at + HEED <= arrival.at)
        };
        let counted: Vec<Instant> = arrivals
            .iter()
            .filter(|a| a.is_meant && a.target == target && a.life == life)
            .filter(|a| (first.at + CONTACT..=last.at).contains(&a.at))
            .filter(|a| !is_excused(record, a))
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
                && (a.target, a.life, a.router) == (word.target, word.life, word.router)
                && (begin..end).contains(&a.at)
                && !is_excused(record, a)
        };
        let count = arrivals.iter().filter(is_counted).count();
        let what = || format!("t{}-{} got {count} in its pause", word.target, word.life);
        let held = if count <= PAUSE_SLACK { Ok(()) } else { Err(what()) };
        report.check(Promise::Pause, held);
    }
}

/// A cut of the router from the voters excuses nothing here.
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
                && !record.is_excused(Place::Router(router), a.at, CONTACT)
                && !record.is_excused(Place::TargetPath(target), a.at, CONTACT)
        };
        let late = arrivals.iter().filter(is_late).count();
        let what = || format!("t{target}-{life} got {late} from {router} after it had left");
        report.check(Promise::Leaving, if late == 0 { Ok(()) } else { Err(what()) });
    }
}
