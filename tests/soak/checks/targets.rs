//! Routers that are cut off from all targets, and contents that crash targets.

use std::net::IpAddr;
use std::time::Instant;

use super::CONTACT;
use crate::record::{Asked, Disturbance, Ending, Place, Record};
use crate::report::{Promise, Report};

/// Part of the share of the others by which callers of a router that is cut off are served at least.
const LEAST_SHARE: f64 = 2.0 / 3.0;
/// First tries that may fail there in any case: this many, and a part of all.
const FAILED_SLACK: f64 = 10.0;
const FAILED_PART: f64 = 1.0 / 50.0;
/// The crash of a content after which it must be known.
const KNOWN_CRASH: usize = 5;
/// Requests with it that may reach targets later.
const LATE_SLACK: usize = 3;

pub fn check(report: &mut Report, record: &Record) {
    let disturbances = record.disturbances.borrow().clone();
    for cut in &disturbances {
        if let Place::TargetsOf(router) = cut.place {
            check_cut(report, record, cut, router);
        }
    }
    check_crashes(report, record);
}

/// Whether the voters were disturbed shortly before: then routers may not know of each other.
fn is_core_disturbed(record: &Record, at: Instant) -> bool {
    let disturbances = record.disturbances.borrow();
    let is_near = |d: &&Disturbance| (d.from..d.to + CONTACT).contains(&at);
    disturbances
        .iter()
        .filter(is_near)
        .any(|d| matches!(d.place, Place::Voter(_) | Place::PeerPath(_)))
}

fn is_cut_off(record: &Record, router: IpAddr, at: Instant) -> bool {
    let disturbances = record.disturbances.borrow();
    disturbances.iter().any(|d| d.place == Place::TargetsOf(router) && (d.from..d.to).contains(&at))
}

/// From some time after a cut began, callers of the router are served nearly as often as those of others.
fn check_cut(report: &mut Report, record: &Record, cut: &Disturbance, router: IpAddr) {
    let asked = record.asked.borrow();
    let is_counted = |asked: &&Asked| {
        (cut.from + CONTACT..cut.to).contains(&asked.sent)
            && asked.ended < cut.to
            && asked.ending != Ending::Left
            && !is_core_disturbed(record, asked.sent)
            && ![Place::Router(asked.router), Place::CallerPath(asked.router)]
                .iter()
                .any(|place| record.is_excused(*place, asked.sent, CONTACT))
    };
    let is_served = |asked: &&&Asked| matches!(asked.ending, Ending::Whole { status: 200, .. });
    let counted: Vec<&Asked> = asked.iter().filter(is_counted).collect();
    let off: Vec<&&Asked> = counted.iter().filter(|asked| asked.router == router).collect();
    let is_other = |asked: &&&Asked| !is_cut_off(record, asked.router, asked.sent);
    let others: Vec<&&Asked> = counted.iter().filter(is_other).collect();
    if off.is_empty() || others.is_empty() {
        return;
    }
    let served = |all: &[&&Asked]| all.iter().filter(|asked| is_served(asked)).count() as f64;
    let (served_off, served_others) = (served(&off), served(&others));
    let failed = off.len() as f64 - served_off;
    let is_less =
        served_off / (off.len() as f64) < LEAST_SHARE * served_others / others.len() as f64;
    let is_held = !is_less || failed <= FAILED_SLACK + FAILED_PART * counted.len() as f64;
    let what = || {
        format!(
            "{router} served {served_off} of {}, others {served_others} of {}",
            off.len(),
            others.len()
        )
    };
    report.check(Promise::CutOff, if is_held { Ok(()) } else { Err(what()) });
}

/// Once a content has crashed some targets, next to none of its requests reaches one, whatever restarts.
fn check_crashes(report: &mut Report, record: &Record) {
    let crashes = record.crashes.borrow();
    let Some((known, ..)) = crashes.get(KNOWN_CRASH - 1) else { return };
    let late = crashes.iter().filter(|(at, _, router)| {
        *at > *known + CONTACT
            && !is_core_disturbed(record, *at)
            && !record.is_excused(Place::Router(*router), *at, CONTACT)
    });
    let late = late.count();
    let what = || format!("{late} requests crashed targets after the fifth crash");
    report.check(Promise::Crashes, if late <= LATE_SLACK { Ok(()) } else { Err(what()) });
}
