//! Rate limits that targets name in their responses, in requests a second over all routers.
//!
//! A router sends a request to a limited target only with a permit. The leader schedules the permits
//! of all routers for a target, one after the other at its limit, so that what routers send adds up
//! to no more than that, their first requests too. A router that reaches no leader uses a part of
//! its even share.
//!
//! Worst-case load: a burst at all routers at the same time for a model whose only targets are
//! limited, while the leader is replaced.
//!
//! [`statements`] keeps what targets last said, [`permits`] decides for one router when it may send,
//! and [`schedule`] decides at the leader who may send when. None of them performs I/O.

pub mod message;
pub mod permits;
pub mod schedule;
pub mod statements;

use crate::ids::{Incarnation, TargetId};
use crate::units::PerSecond;

/// Time for which a permit may be used after its start.
pub const PERMIT_VALID_MS: u64 = 400;
/// How far ahead permits are scheduled.
pub const SCHEDULE_AHEAD_MS: u64 = 1_000;
/// Longest wait for a permit of the preferred target while another one could take the request.
pub const MAX_CHOICE_WAIT_MS: u64 = 60;
/// The rate at which a target is used that names a lower limit: it tells in responses alone when
/// the limit ends.
const MIN_RATE_PER_S: f64 = 0.2;

/// Part of a limit below which a lower one counts as much lower.
const MUCH_LOWER: f64 = 0.7;
/// Part of a limit by which it must have changed to be told to all routers.
const WORTH_TELLING: f64 = 0.1;

/// What the head of a response says about a limit of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Statement<L = PerSecond> {
    /// Nothing can be concluded: the head is not of this target or cannot be read.
    #[default]
    Unknown,
    /// The target names no limit.
    Unlimited,
    /// The target names this limit: of requests a second from all routers together, if it is a rate.
    Limited(L),
}

impl Statement {
    /// Reads a limit in requests a second, as a decimal number. An invalid one says nothing.
    pub fn parse(value: &[u8]) -> Self {
        let text = std::str::from_utf8(value).ok();
        let rate = text.and_then(|text| text.trim().parse::<f64>().ok());
        match rate.filter(|rate| rate.is_finite() && *rate >= 0.0) {
            Some(rate) => Statement::Limited(PerSecond(rate)),
            None => {
                log::info!(
                    "a target names a rate limit of {:?}; invalid value ignored",
                    String::from_utf8_lossy(value)
                );
                Statement::Unknown
            }
        }
    }
}

/// One incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TargetLife {
    /// The target.
    pub target: TargetId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// The requests of a router that wait for permits of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    /// All of them.
    pub count: u32,
    /// Those without another target.
    pub patient: u32,
}

/// Time between two requests that a limit allows.
fn interval_ms(limit: PerSecond) -> f64 {
    1_000.0 / limit.0.max(MIN_RATE_PER_S)
}

/// Whether a limit has fallen so far that permits of the one before would exceed it.
fn is_much_lower(limit: PerSecond, before: PerSecond) -> bool {
    limit.0 < before.0 * MUCH_LOWER
}

/// Whether all routers should be told of a changed limit. One that changes a little with each
/// response would be news without end.
fn is_worth_telling(limit: Option<PerSecond>, told: Option<PerSecond>) -> bool {
    match (limit, told) {
        (Some(limit), Some(told)) => (limit.0 - told.0).abs() > told.0 * WORTH_TELLING,
        (limit, told) => limit.is_some() != told.is_some(),
    }
}
