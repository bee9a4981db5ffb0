//! The permits of one router for limited targets.
//!
//! Permits come from the leader. While none answers, the router gives itself permits at a part of
//! its even share of the limit, the first at a random time, so that many routers that lose their
//! leader at once do not send at once.

use super::message::{PermitAsk, PermitGrant, TargetStatement};
use super::statements::{StatedAt, Statements};
use super::{Claim, PERMIT_VALID_MS, Statement, TargetLife, interval_ms, is_much_lower};
use crate::ids::{Incarnation, TargetId};
use crate::units::PerSecond;

/// Part of its even share that a router uses without a leader: other routers may have one, which
/// uses the whole limit.
const SHARE_WITHOUT_LEADER: f64 = 0.5;
/// Longest time after which a refused caller is asked to return.
const MAX_RETURN_MS: u64 = 60_000;

/// Identifies a permit of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitId(u64);

/// Whether a request may be sent to a target now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// The target names no limit.
    Unlimited,
    /// There is a permit.
    Permit,
    /// There is no permit.
    Closed {
        /// When the next one may start. In the past: it has to be asked for.
        next_ms: u64,
        /// When all requests that wait at any router are expected to have a permit.
        clears_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Permit {
    id: PermitId,
    start_ms: u64,
    end_ms: u64,
    is_reserved: bool,
}

#[derive(Clone, Debug)]
struct TargetPermits {
    life: TargetLife,
    /// The last limit, by which the permits were scheduled.
    limit: Option<PerSecond>,
    /// In the order of their starts.
    permits: Vec<Permit>,
    /// When a further permit of the leader may start, and when the waiting requests of all routers
    /// are expected to have theirs.
    next_ms: u64,
    clears_ms: u64,
    /// When the leader may be asked again.
    ask_ms: u64,
    /// Waiting requests of this router that the leader knew of then.
    told_waiting: u32,
    /// When the limit became known.
    since_ms: u64,
    /// The part of an interval, from 0 to 1, after which this router gives itself its first permit
    /// without a leader, and when the next one is due after that.
    phase: f64,
    own_next_ms: Option<u64>,
    /// When the last refused caller was asked to return.
    last_return_ms: u64,
    /// Whether the leader knows the last statement.
    is_told: bool,
}

/// The limits that one router knows, and its permits.
#[derive(Clone, Debug, Default)]
pub struct PermitPool {
    statements: Statements,
    /// Sorted by target; all that name a limit or did.
    targets: Vec<TargetPermits>,
    /// Routers that share the limits, as last told by a leader.
    routers: Option<u32>,
    /// Since when no leader answers.
    leader_lost_ms: Option<u64>,
    last_id: u64,
    /// Seed of the times at which this router gives itself its first permits.
    seed: u64,
}

impl PermitPool {
    /// Creates a pool of a router without limits. Routers take different seeds.
    pub fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Whether no target has ever named a limit.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// The limit of a target, if it names one.
    pub fn limit(&self, target: &TargetId, incarnation: Incarnation) -> Option<PerSecond> {
        self.statements.limit(target, incarnation)
    }

    /// Records what a target said in a response. Returns whether its limit changed.
    pub fn record(
        &mut self,
        now_ms: u64,
        life: &TargetLife,
        statement: Statement,
        at: StatedAt,
    ) -> bool {
        if !self.statements.record(life, statement, at) {
            return false;
        }
        self.apply_change(now_ms, life, false);
        true
    }

    /// Records what a target said to another router, as told by the leader. Returns whether its
    /// limit changed.
    pub fn record_told(&mut self, now_ms: u64, told: &TargetStatement) -> bool {
        let at = told.stated_at(now_ms);
        if !self.statements.record_limit(&told.life, told.limit, at) {
            return false;
        }
        self.apply_change(now_ms, &told.life, true);
        true
    }

    /// Applies a changed limit. A limit that changes a little with each response keeps its permits;
    /// those of a much higher one are dropped.
    fn apply_change(&mut self, now_ms: u64, life: &TargetLife, is_told: bool) {
        let limit = self.limit(&life.target, life.incarnation);
        if let Ok(at) = self.position(&life.target)
            && let Some(limit) = limit
            && self.targets[at].life == *life
            && self.targets[at].limit.is_some_and(|before| !is_much_lower(limit, before))
        {
            let known = &mut self.targets[at];
            (known.limit, known.is_told) = (Some(limit), is_told);
            return;
        }
        let new = TargetPermits {
            life: life.clone(),
            limit,
            permits: Vec::new(),
            next_ms: now_ms,
            clears_ms: now_ms,
            ask_ms: now_ms,
            told_waiting: 0,
            since_ms: now_ms,
            phase: life.target.hash_fraction(self.seed),
            own_next_ms: None,
            last_return_ms: 0,
            is_told,
        };
        match self.position(&life.target) {
            Ok(at) => self.targets[at] = new,
            Err(at) => self.targets.insert(at, new),
        }
        let statements = &self.statements;
        self.targets.retain(|known| statements.stated_at(&known.life).is_some());
    }

    /// Notes that a leader has answered, and how many routers share the limits.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = Some(routers.max(1));
        self.leader_lost_ms = None;
    }

    /// Notes that no leader answered.
    pub fn set_leader_lost(&mut self, now_ms: u64) {
        if self.leader_lost_ms.is_some() {
            return;
        }
        self.leader_lost_ms = Some(now_ms);
        for known in &mut self.targets {
            known.own_next_ms = known.own_next_ms.filter(|next_ms| *next_ms > now_ms);
        }
    }

    /// Notes that another daemon leads, which may know none of the statements.
    pub fn forget_told(&mut self) {
        self.targets.iter_mut().for_each(|known| known.is_told = false);
    }

    /// What all targets last said, for another daemon.
    pub fn statements(&self, now_ms: u64) -> Vec<TargetStatement> {
        self.statements.to_messages(now_ms)
    }

    /// Whether a statement is known that the leader was not told.
    pub fn has_untold(&self) -> bool {
        self.targets.iter().any(|known| !known.is_told)
    }

    /// Whether a request may be sent to a target now, while `claimed` requests before it wait for
    /// permits.
    pub fn gate(&self, now_ms: u64, life: &TargetLife, claimed: u32) -> Gate {
        let limit = self.limit(&life.target, life.incarnation);
        let (Some(limit), Some(known)) = (limit, self.find(life)) else { return Gate::Unlimited };
        let is_open = |permit: &&Permit| !permit.is_reserved && now_ms <= permit.end_ms;
        match known.permits.iter().filter(is_open).nth(claimed as usize) {
            Some(permit) if permit.start_ms <= now_ms => return Gate::Permit,
            Some(permit) => {
                return Gate::Closed { next_ms: permit.start_ms, clears_ms: permit.start_ms };
            }
            None => {}
        }
        match self.own_next_ms(known, limit) {
            None => {
                // The leader took into account the requests that it was told of.
                let ahead = f64::from(claimed.saturating_sub(known.told_waiting));
                let clears_ms = known.clears_ms + (ahead * interval_ms(limit)) as u64;
                Gate::Closed { next_ms: known.next_ms, clears_ms }
            }
            Some(next_ms) if next_ms <= now_ms && claimed == 0 => Gate::Permit,
            Some(next_ms) => {
                let routers = self.routers.unwrap_or(1);
                let ahead_ms = own_interval_ms(limit, routers) * f64::from(claimed);
                let next_ms = next_ms.saturating_add(ahead_ms as u64);
                Gate::Closed { next_ms, clears_ms: next_ms }
            }
        }
    }

    /// When this router may give itself a permit; `None` if it has a leader to ask.
    fn own_next_ms(&self, known: &TargetPermits, limit: PerSecond) -> Option<u64> {
        let lost_ms = self.leader_lost_ms?;
        let Some(routers) = self.routers else { return Some(u64::MAX) };
        let begin_ms = lost_ms.max(known.since_ms);
        let first_ms = || begin_ms + (own_interval_ms(limit, routers) * known.phase) as u64;
        Some(known.own_next_ms.unwrap_or_else(first_ms))
    }

    /// Reserves a permit for a request. `None` if there is none, or the target names no limit.
    pub fn reserve(
        &mut self,
        now_ms: u64,
        target: &TargetId,
        incarnation: Incarnation,
    ) -> Option<PermitId> {
        let limit = self.limit(target, incarnation)?;
        let at = self.position(target).ok()?;
        let own_next_ms = self.own_next_ms(&self.targets[at], limit);
        let next_id = PermitId(self.last_id + 1);
        let known = &mut self.targets[at];
        known.permits.retain(|permit| now_ms <= permit.end_ms);
        let is_usable = |permit: &&mut Permit| !permit.is_reserved && permit.start_ms <= now_ms;
        if let Some(permit) = known.permits.iter_mut().find(is_usable) {
            permit.is_reserved = true;
            return Some(permit.id);
        }
        let routers = self.routers.filter(|_| own_next_ms.is_some_and(|at_ms| at_ms <= now_ms))?;
        known.own_next_ms = Some(now_ms + own_interval_ms(limit, routers) as u64);
        let end_ms = now_ms + PERMIT_VALID_MS;
        known.permits.push(Permit { id: next_id, start_ms: now_ms, end_ms, is_reserved: true });
        self.last_id += 1;
        Some(next_id)
    }

    /// Uses up a reserved permit as its request is sent. Returns whether it was still valid.
    pub fn spend(&mut self, now_ms: u64, target: &TargetId, id: PermitId) -> bool {
        let Ok(at) = self.position(target) else { return false };
        let permits = &mut self.targets[at].permits;
        let Some(place) = permits.iter().position(|permit| permit.id == id) else { return false };
        permits.remove(place).is_valid(now_ms)
    }

    /// Returns a reserved permit whose request was not sent.
    pub fn release(&mut self, target: &TargetId, id: PermitId) {
        let Ok(at) = self.position(target) else { return };
        let found = self.targets[at].permits.iter_mut().find(|permit| permit.id == id);
        if let Some(permit) = found {
            permit.is_reserved = false;
        }
    }

    /// Permits for a target that may be reserved now or later.
    fn unreserved(&self, now_ms: u64, life: &TargetLife) -> u32 {
        let Some(known) = self.find(life) else { return 0 };
        let is_open = |permit: &&Permit| !permit.is_reserved && now_ms <= permit.end_ms;
        known.permits.iter().filter(is_open).count() as u32
    }

    /// What to ask the leader: permits for the requests that wait for each target, beyond those in
    /// hand, and statements that it does not know. Nothing while no leader answers.
    pub fn asks(&self, now_ms: u64, claim: impl Fn(&TargetLife) -> Claim) -> Vec<PermitAsk> {
        if self.leader_lost_ms.is_some() {
            return Vec::new();
        }
        let mut asks = Vec::new();
        for known in &self.targets {
            let claim = claim(&known.life);
            let is_open = known.ask_ms <= now_ms;
            let wanted = claim.count.saturating_sub(self.unreserved(now_ms, &known.life));
            let count = if is_open { wanted } else { 0 };
            if count == 0 && known.is_told {
                continue;
            }
            let statement = self.statements.to_message(now_ms, &known.life);
            asks.push(PermitAsk { statement, count, patient: claim.patient.min(count) });
        }
        asks
    }

    /// Applies the leader's answers to `asks`, which were sent at `asked_ms`.
    pub fn apply_grants(
        &mut self,
        now_ms: u64,
        asked_ms: u64,
        asks: &[PermitAsk],
        grants: &[PermitGrant],
    ) {
        self.leader_lost_ms = None;
        for (ask, grant) in asks.iter().zip(grants) {
            let told = &grant.statement;
            let (life, at) = (&told.life, told.stated_at(now_ms));
            // The leader took into account what it was told with the ask.
            if self.statements.replace(life, told.limit, at, asked_ms) {
                self.apply_change(now_ms, life, true);
            }
            let Ok(at) = self.position(&life.target) else { continue };
            let known = &mut self.targets[at];
            let limit = self.statements.limit(&life.target, life.incarnation);
            known.is_told = grant.statement.limit == limit;
            // Permits of a limit that has changed meanwhile are not used.
            if known.life != *life || !known.is_told {
                continue;
            }
            known.next_ms = now_ms + grant.next_in_ms;
            known.clears_ms = now_ms + grant.clears_in_ms;
            known.ask_ms = now_ms + grant.ask_in_ms;
            known.told_waiting = ask.patient.saturating_sub(grant.starts_in_ms.len() as u32);
            for start_in_ms in &grant.starts_in_ms {
                self.last_id += 1;
                // It ends by the earlier clock reading: the answer may have been long on its way.
                known.permits.push(Permit {
                    id: PermitId(self.last_id),
                    start_ms: now_ms + start_in_ms,
                    end_ms: asked_ms + start_in_ms + PERMIT_VALID_MS,
                    is_reserved: false,
                });
            }
        }
    }

    /// When a caller that is refused now may return: after the requests that wait, and one interval
    /// of this router's share after the caller before.
    pub fn next_return_ms(&mut self, now_ms: u64, life: &TargetLife) -> Option<u64> {
        let limit = self.limit(&life.target, life.incarnation)?;
        let Gate::Closed { next_ms, clears_ms } = self.gate(now_ms, life, 0) else {
            return Some(now_ms);
        };
        let share_ms = interval_ms(limit) * f64::from(self.routers.unwrap_or(1));
        let at = self.position(&life.target).ok()?;
        let known = &mut self.targets[at];
        let first_ms = next_ms.min(now_ms + MAX_RETURN_MS).max(clears_ms).max(now_ms);
        let return_ms = first_ms.max(known.last_return_ms + share_ms as u64);
        known.last_return_ms = return_ms.min(now_ms + MAX_RETURN_MS);
        Some(known.last_return_ms)
    }

    /// The next time after `now_ms` at which a permit starts or may be asked for.
    pub fn next_change_ms(&self, now_ms: u64) -> Option<u64> {
        let changes = self.targets.iter().flat_map(|known| {
            let starts = known.permits.iter().map(|permit| permit.start_ms);
            let limit = self.statements.limit(&known.life.target, known.life.incarnation);
            let own = limit.and_then(|limit| self.own_next_ms(known, limit));
            let asks = [known.next_ms, known.ask_ms];
            let asks = asks.into_iter().filter(move |_| own.is_none());
            starts.chain(own).chain(asks)
        });
        changes.filter(|at_ms| *at_ms > now_ms).min()
    }

    fn find(&self, life: &TargetLife) -> Option<&TargetPermits> {
        let known = &self.targets[self.position(&life.target).ok()?];
        (known.life == *life).then_some(known)
    }

    fn position(&self, target: &TargetId) -> Result<usize, usize> {
        self.targets.binary_search_by(|known| known.life.target.cmp(target))
    }
}

impl Permit {
    fn is_valid(&self, now_ms: u64) -> bool {
        (self.start_ms..=self.end_ms).contains(&now_ms)
    }
}

/// Time between two permits that a router gives itself without a leader.
fn own_interval_ms(limit: PerSecond, routers: u32) -> f64 {
    interval_ms(limit) * f64::from(routers) / SHARE_WITHOUT_LEADER
}
