//! What processes use, processes that end by themselves, and service after the last fault.

use std::collections::BTreeMap;
use std::net::IpAddr;

use super::{CONTACT, RECOVER};
use crate::record::{Ending, Place, Record};
use crate::report::{Promise, Report};

/// What a router and a voter may use.
const ROUTER_BYTES: u64 = 260 << 20;
const VOTER_BYTES: u64 = 256 << 20;
const DESCRIPTORS: usize = 3_896;
/// What a daemon without work may use of a core.
const IDLE_CORES: f64 = 0.048;
/// The part of requests that must be served after the last fault.
const SERVED_PART: f64 = 0.25;

pub fn check(report: &mut Report, record: &Record) {
    for usage in record.usage.borrow().iter() {
        let max_bytes = if usage.is_router { ROUTER_BYTES } else { VOTER_BYTES };
        let what = || format!("{} holds {} bytes", usage.ip, usage.memory_bytes);
        let held = if usage.memory_bytes <= max_bytes { Ok(()) } else { Err(what()) };
        report.check(Promise::Memory, held);
        let what = || format!("{} holds {} descriptors", usage.ip, usage.descriptors);
        let held = if usage.descriptors <= DESCRIPTORS { Ok(()) } else { Err(what()) };
        report.check(Promise::Descriptors, held);
    }
    for idle in record.idle.borrow().iter() {
        let what = || format!("{} uses {:.3} of a core without work", idle.ip, idle.cores);
        let held = if idle.cores <= IDLE_CORES { Ok(()) } else { Err(what()) };
        report.check(Promise::IdleCores, held);
    }
    report.count(Promise::NoOwnEnd, record.usage.borrow().len() as u64);
    for (ip, code) in record.own_ends.borrow().iter() {
        report.check(Promise::NoOwnEnd, Err(format!("{ip} ended by itself with {code:?}")));
    }
}

/// Each router that is not disturbed serves again some time after the last fault.
pub fn check_recovery(report: &mut Report, record: &Record) {
    let Some(calm) = *record.calm.borrow() else { return };
    let mut routers: BTreeMap<IpAddr, (u32, u32)> = BTreeMap::new();
    for asked in record.asked.borrow().iter().filter(|asked| asked.sent >= calm + RECOVER) {
        if asked.ending == Ending::Left
            || record.is_excused(Place::Router(asked.router), asked.sent, CONTACT)
        {
            continue;
        }
        let (served, all) = routers.entry(asked.router).or_default();
        *served += u32::from(matches!(asked.ending, Ending::Whole { status: 200, .. }));
        *all += 1;
    }
    for (router, (served, all)) in routers {
        let what = || format!("{router} serves {served} of {all} after the last fault");
        let is_held = f64::from(served) >= f64::from(all) * SERVED_PART;
        report.check(Promise::Recovery, if is_held { Ok(()) } else { Err(what()) });
    }
}
