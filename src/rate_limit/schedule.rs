//! The leader's schedule of permits for limited targets.
//!
//! Permits of one target start one interval of its limit after the other, as in the generic cell
//! rate algorithm. A schedule that was idle catches up on a short time only, so a target that was
//! not used gets no burst.

use super::message::{PermitAsk, PermitGrant, TargetStatement};
use super::statements::{StatedAt, Statements};
use super::{PERMIT_VALID_MS, SCHEDULE_AHEAD_MS, TargetLife, interval_ms};
use crate::ids::{DaemonId, TargetId};

/// Unused time that a schedule catches up on.
const CATCH_UP_MS: f64 = 500.0;
/// A permit that starts within this time starts at once.
pub const AT_ONCE_MS: u64 = 20;
/// Time for which the number of requests that wait at a router counts.
const WAITING_TTL_MS: u64 = 2_000;

#[derive(Clone, Debug)]
struct Waiting {
    router: DaemonId,
    count: u32,
    told_ms: u64,
}

#[derive(Clone, Debug)]
struct TargetSchedule {
    life: TargetLife,
    /// When the next permit starts at the earliest.
    next_ms: f64,
    /// Requests without a permit, by router.
    waiting: Vec<Waiting>,
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

    /// Records a statement. Returns whether a limit changed.
    pub fn record(&mut self, now_ms: u64, statement: &TargetStatement) -> bool {
        let at = statement.stated_at(now_ms);
        let before = self.statements.limit(&statement.life.target, statement.life.incarnation);
        let is_changed = self.statements.record_limit(&statement.life, statement.limit, at);
        let after = self.statements.limit(&statement.life.target, statement.life.incarnation);
        let Some(limit) = after.filter(|_| is_changed) else { return is_changed };
        let schedule = self.schedule(now_ms, &statement.life);
        match before {
            // Routers drop the permits of a higher limit as soon as they hear of the lower one.
            Some(before) if before > limit => {
                let restart_ms = now_ms as f64 + interval_ms(limit);
                schedule.next_ms = schedule.next_ms.max(restart_ms);
            }
            Some(_) | None => {}
        }
        true
    }

    /// Grants permits to a router.
    pub fn grant(&mut self, now_ms: u64, router: &DaemonId, ask: &PermitAsk) -> PermitGrant {
        let life = &ask.statement.life;
        let statement = self.statements.to_message(now_ms, life);
        let Some(limit) = statement.limit else {
            let starts_in_ms = Vec::new();
            return PermitGrant { statement, starts_in_ms, next_in_ms: 0, clears_in_ms: 0 };
        };
        let interval_ms = interval_ms(limit);
        let schedule = self.schedule(now_ms, life);
        let catch_up_ms = (CATCH_UP_MS - interval_ms).max(0.0);
        schedule.next_ms = schedule.next_ms.max(now_ms as f64 - catch_up_ms);
        let mut starts_in_ms = Vec::new();
        for number in 0..ask.count {
            let start_in_ms = schedule.start_in_ms(now_ms);
            let limit_ms = if number < ask.patient { SCHEDULE_AHEAD_MS } else { AT_ONCE_MS };
            if start_in_ms > limit_ms {
                break;
            }
            starts_in_ms.push(start_in_ms);
            schedule.next_ms += interval_ms;
        }
        // Requests with another target do not wait for this one.
        let unserved = ask.patient.saturating_sub(starts_in_ms.len() as u32);
        let waiting = schedule.update_waiting(now_ms, router, unserved);
        let next_in_ms = schedule.start_in_ms(now_ms);
        let clears_in_ms = next_in_ms + (f64::from(waiting) * interval_ms) as u64;
        PermitGrant { statement, starts_in_ms, next_in_ms, clears_in_ms }
    }

    /// The schedule of a target, begun anew for a later incarnation.
    fn schedule(&mut self, now_ms: u64, life: &TargetLife) -> &mut TargetSchedule {
        let next_ms = self.first_start_ms.max(now_ms) as f64;
        let new = || TargetSchedule { life: life.clone(), next_ms, waiting: Vec::new() };
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

    /// Sets the number of requests that wait at a router, and returns that of all routers.
    fn update_waiting(&mut self, now_ms: u64, router: &DaemonId, count: u32) -> u32 {
        self.waiting.retain(|waiting| {
            waiting.router != *router && now_ms < waiting.told_ms + WAITING_TTL_MS
        });
        if count > 0 {
            self.waiting.push(Waiting { router: router.clone(), count, told_ms: now_ms });
        }
        self.waiting.iter().map(|waiting| waiting.count).sum()
    }
}

impl Statements {
    /// What a target last said, for another daemon.
    pub(super) fn to_message(&self, now_ms: u64, life: &TargetLife) -> TargetStatement {
        let StatedAt { sent_ms, read_ms } = self.stated_at(life).unwrap_or_default();
        TargetStatement {
            life: life.clone(),
            limit: self.limit(&life.target, life.incarnation),
            sent_age_ms: now_ms.saturating_sub(sent_ms),
            read_age_ms: now_ms.saturating_sub(read_ms),
        }
    }

    fn to_messages(&self, now_ms: u64) -> Vec<TargetStatement> {
        self.lives().map(|life| self.to_message(now_ms, life)).collect()
    }
}
