//! Documents: what is read is not older than what was acknowledged, routers obey it, and what is
//! invalid or comes under a used version changes nothing.

use std::time::{Duration, Instant};

use super::{CONTACT, RECOVER};
use crate::record::{Place, Record, RouteProbe};
use crate::report::{Promise, Report};

/// Time after which an acknowledged document is in force everywhere.
const APPLY: Duration = Duration::from_secs(2);
/// What an unstable group of voters adds to that at routers.
const UNSTABLE_GROUP: Duration = Duration::from_secs(5);

pub fn check(report: &mut Report, record: &Record) {
    check_readings(report, record);
    check_routers(report, record);
    check_end(report, record);
    for is_refused in record.invalid_refused.borrow().iter() {
        let what = || "an invalid document was acknowledged".to_owned();
        report.check(Promise::InvalidRefused, is_refused.then_some(()).ok_or_else(what));
    }
}

/// The newest version that was acknowledged before a moment.
fn newest_before(record: &Record, end: Instant) -> u64 {
    let acknowledged = record.acknowledged.borrow();
    let before = acknowledged.iter().filter(|(at, _)| *at <= end);
    before.map(|(_, version)| *version).max().unwrap_or_default()
}

fn check_readings(report: &mut Report, record: &Record) {
    for reading in record.read.borrow().iter() {
        let newest = newest_before(record, reading.asked - APPLY);
        let version = reading.version;
        let what = || format!("version {version} was read, {newest} is acknowledged");
        let held = if version >= newest { Ok(()) } else { Err(what()) };
        report.check(Promise::DocumentNotOlder, held);
        let what = || format!("version {version} was read with other content");
        let held = if reading.is_own_content { Ok(()) } else { Err(what()) };
        report.check(Promise::DocumentContent, held);
    }
}

/// A router that is disturbed or cut off from the voters is excused.
fn check_routers(report: &mut Report, record: &Record) {
    let probes = record.probes.borrow();
    for probe in probes.iter().filter(|probe| probe.status != 0 && must_be_in_force(record, probe))
    {
        let what = || format!("version {} is not in force at {}", probe.version, probe.router);
        let held = if probe.status == 404 { Err(what()) } else { Ok(()) };
        report.check(Promise::DocumentInForce, held);
    }
}

fn must_be_in_force(record: &Record, probe: &RouteProbe) -> bool {
    let since = probe.asked - APPLY - UNSTABLE_GROUP;
    let is_newest = newest_before(record, since) == probe.version;
    let is_last = record
        .sent
        .borrow()
        .iter()
        .all(|(at, version)| *version <= probe.version || *at > probe.answered);
    let places = [Place::Router(probe.router), Place::PeerPath(probe.router)];
    let is_excused =
        places.iter().any(|place| record.is_excused(*place, probe.asked, CONTACT + UNSTABLE_GROUP));
    is_newest && is_last && !is_excused
}

/// At the end the newest acknowledged document can be read.
fn check_end(report: &mut Report, record: &Record) {
    let Some(calm) = *record.calm.borrow() else { return };
    let read = record.read.borrow();
    let at_end = read.iter().filter(|reading| reading.asked >= calm + RECOVER);
    let version = at_end.map(|reading| reading.version).max();
    let newest = newest_before(record, calm);
    let what = || format!("{version:?} was read at the end, {newest} is acknowledged");
    let held = if version >= Some(newest) { Ok(()) } else { Err(what()) };
    report.check(Promise::DocumentKept, held);
}
