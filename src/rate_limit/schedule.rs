//! The leader's schedule of permits for limited targets.
//!
//! Permits of one target start one interval of its limit after the other, as in the generic cell
//! rate algorithm. A schedule that was idle catches up on a short time only, so a target that was
//! not used gets no burst.

use super::message::{PermitAsk, PermitGrant, TargetStatement};
use super::statements::Statements;
use super::{
    PERMIT_VALID_MS, SCHEDULE_AHEAD_MS, TargetLife, interval_ms, is_much_lower, is_worth_telling,
};
use crate::ids::{DaemonId, TargetId};
use crate::units::PerSecond;

/// Unused time that a schedule catches up on.
const CATCH_UP_MS: f64 = 500.0;
/// A permit that starts within this time starts at once.
pub const AT_ONCE_MS: u64 = 20;
/// Part of the time ahead by which the router that was granted a permit last is set back.
const MAX_SETBACK_PERCENT: u64 = 75;
/// Time for which the number of requests that wait at a router counts.
const WAITING_TTL_MS: u64 = 2_000;

/// A router that asked lately.
#[derive(Clone, Debug)]
struct WaitingRouter {
    router: DaemonId,
    /// Its requests without a permit.
    waiting: u32,
    told_ms: u64,
    /// When it was last granted a permit.
    granted_ms: u64,
}

#[derive(Clone, Debug)]
struct TargetSchedule {
    life: TargetLife,
    /// The limit that all routers were told of.
    told: Option<PerSecond>,
    /// When the next permit starts at the earliest.
    next_ms: f64,
    routers: Vec<WaitingRouter>,
}

/// The permits of all limited targets, as scheduled by the leader of one term.
#[derive(Clone, Debug)]
pub struct PermitSchedule {
    statements: Statements,
    /// Sorted by target.
    schedules: Vec<TargetSchedule>,
    /// Permits of an earlier leader, and of routers that had none, may be used until then.
    first_start_ms: u64,
}

impl PermitSchedule {
    /// Creates the schedule of a leader that starts at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self {
            statements: Statements::default(),
            schedules: Vec::new(),
            first_start_ms: now_ms + SCHEDULE_AHEAD_MS + PERMIT_VALID_MS,
        }
    }

    /// The last statements of all targets that name a limit or did.
    pub fn statements(&self, now_ms: u64) -> Vec<TargetStatement> {
        self.statements.to_messages(now_ms)
    }

    /// Records a statement. Returns whether all routers should be told of it.
    pub fn record(&mut self, now_ms: u64, statement: &TargetStatement) -> bool {
        let at = statement.stated_at(now_ms);
        let before = self.statements.limit(&statement.life.target, statement.life.incarnation);
        if !self.statements.record_limit(&statement.life, statement.limit, at) {
            return false;
        }
        let after = self.statements.limit(&statement.life.target, statement.life.incarnation);
        let schedule = self.schedule(now_ms, &statement.life);
        // Routers drop the permits of a much higher limit as soon as they hear of the lower one.
        if let (Some(before), Some(limit)) = (before, after)
            && is_much_lower(limit, before)
        {
            let restart_ms = now_ms as f64 + interval_ms(limit);
            schedule.next_ms = schedule.next_ms.max(restart_ms);
        }
        let is_news = is_worth_telling(after, schedule.told);
        if is_news {
            schedule.told = after;
        }
        is_news
    }

    /// Grants permits to a router.
    pub fn grant(&mut self, now_ms: u64, router: &DaemonId, ask: &PermitAsk) -> PermitGrant {
        let life = &ask.statement.life;
        let statement = self.statements.to_message(now_ms, life);
        let Some(limit) = statement.limit else {
            return PermitGrant {
                statement,
                starts_in_ms: Vec::new(),
                next_in_ms: 0,
                ask_in_ms: 0,
                clears_in_ms: 0,
            };
        };
        let interval_ms = interval_ms(limit);
        let schedule = self.schedule(now_ms, life);
        let catch_up_ms = (CATCH_UP_MS - interval_ms).max(0.0);
        schedule.next_ms = schedule.next_ms.max(now_ms as f64 - catch_up_ms);
        let ahead_ms = schedule.ahead_ms(now_ms, router);
        let mut starts_in_ms = Vec::new();
        for number in 0..ask.count {
            let start_in_ms = schedule.start_in_ms(now_ms);
            let limit_ms = if number < ask.patient { ahead_ms } else { AT_ONCE_MS };
            if start_in_ms > limit_ms {
                break;
            }
            starts_in_ms.push(start_in_ms);
            schedule.next_ms += interval_ms;
        }
        // Requests with another target do not wait for this one.
        let unserved = ask.patient.saturating_sub(starts_in_ms.len() as u32);
        schedule.update_waiting(now_ms, router, unserved, !starts_in_ms.is_empty());
        let waiting: u32 = schedule.routers.iter().map(|router| router.waiting).sum();
        let next_in_ms = schedule.start_in_ms(now_ms);
        let ask_in_ms = next_in_ms.saturating_sub(schedule.ahead_ms(now_ms, router));
        let clears_in_ms = next_in_ms + (f64::from(waiting) * interval_ms) as u64;
        PermitGrant { statement, starts_in_ms, next_in_ms, ask_in_ms, clears_in_ms }
    }

    /// The schedule of a target, begun anew for a later incarnation.
    fn schedule(&mut self, now_ms: u64, life: &TargetLife) -> &mut TargetSchedule {
        let next_ms = self.first_start_ms.max(now_ms) as f64;
        let new =
            || TargetSchedule { life: life.clone(), told: None, next_ms, routers: Vec::new() };
        let at = match self.position(&life.target) {
            Ok(at) => at,
            Err(_) => {
                let statements = &self.statements;
                self.schedules.retain(|known| statements.stated_at(&known.life).is_some());
                let at = self.schedules.partition_point(|s| s.life.target < life.target);
                self.schedules.insert(at, new());
                at
            }
        };
        if self.schedules[at].life.incarnation < life.incarnation {
            self.schedules[at] = new();
        }
        &mut self.schedules[at]
    }

    fn position(&self, target: &TargetId) -> Result<usize, usize> {
        self.schedules.binary_search_by(|schedule| schedule.life.target.cmp(target))
    }
}

impl TargetSchedule {
    fn start_in_ms(&self, now_ms: u64) -> u64 {
        (self.next_ms - now_ms as f64).max(0.0).ceil() as u64
    }

    /// How far ahead permits are granted to a router: the less far, the more of the waiting routers
    /// have had none for longer.
    fn ahead_ms(&self, now_ms: u64, router: &DaemonId) -> u64 {
        let last_ms = |id: &DaemonId| {
            let known = self.routers.iter().find(|known| known.router == *id);
            known.map_or(0, |known| known.granted_ms)
        };
        let own_ms = last_ms(router);
        let waits = |known: &&WaitingRouter| {
            known.waiting > 0 && known.router != *router && now_ms < known.told_ms + WAITING_TTL_MS
        };
        let others = self.routers.iter().filter(waits);
        let (before, count) = others.fold((0, 1), |(before, count), known| {
            (before + u64::from(known.granted_ms < own_ms), count + 1)
        });
        SCHEDULE_AHEAD_MS - SCHEDULE_AHEAD_MS * MAX_SETBACK_PERCENT * before / (count * 100)
    }

    /// Notes how many requests wait at a router, and whether it was granted a permit.
    fn update_waiting(&mut self, now_ms: u64, router: &DaemonId, waiting: u32, is_granted: bool) {
        self.routers.retain(|known| now_ms < known.told_ms + WAITING_TTL_MS);
        let at = match self.routers.iter().position(|known| known.router == *router) {
            Some(at) => at,
            None => {
                let router = router.clone();
                self.routers.push(WaitingRouter { router, waiting, told_ms: 0, granted_ms: 0 });
                self.routers.len() - 1
            }
        };
        let known = &mut self.routers[at];
        (known.waiting, known.told_ms) = (waiting, now_ms);
        if is_granted {
            known.granted_ms = now_ms;
        }
    }
}
