//! The leased slots of one router.
//!
//! Leases come from the leader. While none answers, the router goes on with those that it has for as long as they
//! last, and then uses a part of its even share.

use super::message::{BrittleNews, LeaseAsk, LeaseGrant, LeaseRequest, MilliSlots, RankCount};
use super::{LEASE_MS, MaxRejections, Statement};
use crate::ids::{Incarnation, TargetId};
use crate::rate_limit::TargetLife;
use crate::rate_limit::statements::{StatedAt, Statements};

/// Part of its even share that a router uses without a leader: other routers may have one, which leases all
/// slots.
const SHARE_WITHOUT_LEADER: f64 = 0.5;
/// Time between two asks for the same slots, so that leases do not run out.
const RENEW_MS: u64 = LEASE_MS / 3;
/// The same while routers want more slots than there are, so that they go round.
const CONTENDED_MS: u64 = 100;
/// Time for which an unused slot is kept for the next request.
const UNUSED_MS: u64 = 100;
/// Time for which a request whose caller left may still use its slot.
const ABANDONED_MS: u64 = 300;
/// Time for which a target that turned a request away gets none from this router.
const REJECTED_MS: u64 = 250;
/// The time that a request takes on average, before one has ended.
const INITIAL_MEAN_MS: f64 = 200.0;
/// Weight of a request that ended in that average.
const MEAN_WEIGHT: f64 = 0.1;
/// Time for which the leader's word counts that routers want more slots than there are.
const SHARE_TTL_MS: u64 = 300;
/// Time until the leader is asked again that did not answer.
const RETRY_MS: u64 = 100;
/// Longest time after which a refused caller is asked to return.
const MAX_RETURN_MS: u64 = 60_000;

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It was not sent, or the target turned it away.
    NotRun,
    /// The target has answered it.
    Finished,
    /// The router gave it up, and the target may still work on it.
    Abandoned,
}

/// Whether a request may be sent to a target now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Gate {
    /// The target is not brittle.
    Unleased,
    /// There is a slot.
    Open,
    /// There is none.
    Closed {
        /// When the leader may be asked for one.
        ask_ms: u64,
        /// Requests that this router's share of the slots there serves in a millisecond; `None` if it may
        /// get as many slots as it wants.
        rate_per_ms: Option<f64>,
    },
}

/// The requests of a router at a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InUse {
    /// Slots that the target announced.
    pub announced: u32,
    /// Requests that were sent there, or are about to be.
    pub running: u32,
}

#[derive(Clone, Debug)]
struct LeasedTarget {
    life: TargetLife,
    /// The lease, and until when it may be used.
    slots: u32,
    valid_until_ms: u64,
    even_share: Option<MilliSlots>,
    /// When the leader granted it.
    granted_ms: u64,
    /// When the leader may be asked for more slots, and when the lease is renewed.
    ask_ms: u64,
    renew_ms: u64,
    /// Slots that the leader believes this router to use.
    told_slots: u32,
    /// When a slot was last given free.
    freed_ms: u64,
    /// Until when slots may still be used by requests whose callers left.
    abandoned_until_ms: Vec<u64>,
    /// Until when the target gets nothing, since it turned a request away.
    closed_until_ms: u64,
    rejections: u32,
    /// How often its slots were cut, as far as this router was told, and whether this router has not asked again
    /// since.
    cuts: u64,
    is_cut: bool,
    mean_ms: f64,
    /// When the last refused caller was asked to return.
    last_return_ms: u64,
    /// Whether the leader knows the last statement.
    is_told: bool,
}

impl LeasedTarget {
    fn new(now_ms: u64, life: TargetLife, is_told: bool) -> Self {
        Self {
            life,
            slots: 0,
            valid_until_ms: 0,
            even_share: None,
            granted_ms: 0,
            ask_ms: now_ms,
            renew_ms: now_ms,
            told_slots: 0,
            freed_ms: 0,
            abandoned_until_ms: Vec::new(),
            closed_until_ms: 0,
            rejections: 0,
            cuts: 0,
            is_cut: false,
            mean_ms: INITIAL_MEAN_MS,
            last_return_ms: 0,
            is_told,
        }
    }

    /// Gives all slots back that are not in use if the target had to turn requests away since they were leased.
    fn note_cuts(&mut self, now_ms: u64, cuts: u64) {
        if cuts > self.cuts {
            (self.cuts, self.is_cut) = (cuts, true);
            (self.ask_ms, self.renew_ms) = (now_ms, now_ms);
        }
    }

    fn is_leased(&self, now_ms: u64) -> bool {
        now_ms <= self.valid_until_ms
    }

    fn abandoned(&self, now_ms: u64) -> u32 {
        self.abandoned_until_ms.iter().filter(|until_ms| now_ms < **until_ms).count() as u32
    }

    /// Slots that requests of this router use or may still use.
    fn used(&self, now_ms: u64, in_use: InUse) -> u32 {
        in_use.running + self.abandoned(now_ms)
    }

    /// Slots that this router goes on using when it asks the leader while `waiting` requests wait.
    fn kept(&self, now_ms: u64, used: u32, waiting: u32) -> u32 {
        if !self.is_leased(now_ms) {
            return used;
        }
        let is_fresh = self.even_share.is_none() && now_ms < self.freed_ms + UNUSED_MS;
        let wanted = if is_fresh { self.slots } else { used + waiting };
        wanted.min(self.slots).max(used)
    }
}

/// The brittle targets that one router knows, and its slots there.
#[derive(Clone, Debug, Default)]
pub struct LeasePool {
    statements: Statements<MaxRejections>,
    /// Sorted by target; all that are brittle or were.
    targets: Vec<LeasedTarget>,
    /// Routers that share the slots, as last told by a leader.
    routers: Option<u32>,
    /// Whether no leader answers.
    is_leader_lost: bool,
    /// Identifies this process, and its last request for leases.
    process: u64,
    sequence: u64,
}

impl LeasePool {
    /// Creates the pool of a router process. Each takes another number.
    pub fn new(process: u64) -> Self {
        Self { process, ..Self::default() }
    }

    /// Whether no target has ever been brittle.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// The requests that a target may turn away in a second, if it is brittle.
    pub fn limit(&self, target: &TargetId, incarnation: Incarnation) -> Option<MaxRejections> {
        self.statements.limit(target, incarnation)
    }

    /// Records what a target said in a response. Returns whether that is new.
    pub fn record(
        &mut self,
        now_ms: u64,
        life: &TargetLife,
        statement: Statement,
        at: StatedAt,
    ) -> bool {
        let is_changed = self.statements.record(life, statement, at);
        if is_changed {
            self.apply_change(now_ms, life, false);
        }
        is_changed
    }

    /// Records what a target said to another router, as told by the leader. Returns whether that is new.
    pub fn record_told(&mut self, now_ms: u64, news: &BrittleNews) -> bool {
        let told = &news.statement;
        let at = told.stated_at(now_ms);
        let is_changed = self.statements.record_limit(&told.life, told.limit, at);
        if is_changed {
            self.apply_change(now_ms, &told.life, true);
        }
        if let Ok(at) = self.position(&told.life.target)
            && self.targets[at].life == told.life
        {
            self.targets[at].note_cuts(now_ms, news.cuts);
        }
        is_changed
    }

    fn apply_change(&mut self, now_ms: u64, life: &TargetLife, is_told: bool) {
        match self.position(&life.target) {
            Ok(at) if self.targets[at].life == *life => self.targets[at].is_told = is_told,
            Ok(at) => self.targets[at] = LeasedTarget::new(now_ms, life.clone(), is_told),
            Err(at) => self.targets.insert(at, LeasedTarget::new(now_ms, life.clone(), is_told)),
        }
        let statements = &self.statements;
        self.targets.retain(|known| statements.stated_at(&known.life).is_some());
    }

    /// Notes that a leader has answered, and how many routers share the slots.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = Some(routers.max(1));
        self.is_leader_lost = false;
    }

    /// Notes that another daemon leads, which may know none of the statements.
    pub fn forget_told(&mut self) {
        self.targets.iter_mut().for_each(|known| known.is_told = false);
    }

    /// Whether a request may be sent to a target now, before which `claimed` others wait for slots there.
    pub fn gate(&self, now_ms: u64, life: &TargetLife, in_use: InUse, claimed: u32) -> Gate {
        let Some(known) = self.find_brittle(life) else { return Gate::Unleased };
        let slots = self.usable(now_ms, known, in_use.announced);
        if known.used(now_ms, in_use) + claimed < slots {
            return Gate::Open;
        }
        let even_share = known.even_share.filter(|_| now_ms < known.granted_ms + SHARE_TTL_MS);
        let rate_per_ms = even_share.map(|MilliSlots(share)| {
            f64::from(slots).max(f64::from(share) / 1_000.0) / known.mean_ms
        });
        Gate::Closed { ask_ms: known.ask_ms.max(known.closed_until_ms), rate_per_ms }
    }

    /// Whether a request that is among `in_use` may still be sent. While its connection was opened, the lease
    /// may have run out, or the target may have turned another request away.
    pub fn may_send(&self, now_ms: u64, life: &TargetLife, in_use: InUse) -> bool {
        let Some(known) = self.find_brittle(life) else { return true };
        let slots =
            self.usable(now_ms, known, in_use.announced).max(match known.is_leased(now_ms) {
                // The leader was told that these are in use.
                true => known.told_slots,
                false => 0,
            });
        now_ms >= known.closed_until_ms && known.used(now_ms, in_use) <= slots
    }

    /// Slots that this router may use at a target now.
    fn usable(&self, now_ms: u64, known: &LeasedTarget, announced: u32) -> u32 {
        if now_ms < known.closed_until_ms || known.is_cut {
            0
        } else if known.is_leased(now_ms) {
            known.slots
        } else if self.is_leader_lost {
            self.own_share(&known.life.target, announced)
        } else {
            0
        }
    }

    /// The slots that this router uses without a leader. Where they are fewer than routers, it is drawn which of
    /// these use one.
    fn own_share(&self, target: &TargetId, announced: u32) -> u32 {
        let Some(routers) = self.routers else { return 0 };
        let share = f64::from(announced) * SHARE_WITHOUT_LEADER / f64::from(routers);
        let is_drawn = target.hash_fraction(self.process) < share.fract();
        share as u32 + u32::from(is_drawn)
    }

    /// Records that a request at a target has ended.
    pub fn record_end(&mut self, now_ms: u64, life: &TargetLife, took_ms: u64, ending: Ending) {
        let Ok(at) = self.position(&life.target) else { return };
        let known = &mut self.targets[at];
        if known.life != *life {
            return;
        }
        known.freed_ms = now_ms;
        known.abandoned_until_ms.retain(|until_ms| now_ms < *until_ms);
        match ending {
            Ending::NotRun => {}
            Ending::Finished => known.mean_ms += (took_ms as f64 - known.mean_ms) * MEAN_WEIGHT,
            Ending::Abandoned => known.abandoned_until_ms.push(now_ms + ABANDONED_MS),
        }
    }

    /// Records that a target turned a request away.
    pub fn record_rejection(&mut self, now_ms: u64, life: &TargetLife) {
        let Ok(at) = self.position(&life.target) else { return };
        let known = &mut self.targets[at];
        if known.life == *life {
            known.rejections += 1;
            known.closed_until_ms = now_ms + REJECTED_MS;
            known.ask_ms = known.ask_ms.min(now_ms);
        }
    }

    /// What to ask the leader now, if anything: for more slots, to keep those in use, and to give others back.
    /// Slots that are not kept are not used any more.
    pub fn take_request(
        &mut self,
        now_ms: u64,
        in_use: impl Fn(&TargetLife) -> InUse,
        waiting: impl Fn(&TargetLife) -> Vec<RankCount>,
    ) -> Option<LeaseRequest> {
        if self.is_leader_lost {
            return None;
        }
        let statements = &self.statements;
        let mut asks = Vec::new();
        for known in &mut self.targets {
            let is_brittle = statements.limit(&known.life.target, known.life.incarnation).is_some();
            let used = known.used(now_ms, in_use(&known.life));
            let waiting = if is_brittle { waiting(&known.life) } else { Vec::new() };
            let count: u32 = waiting.iter().map(|known| known.count).sum();
            let kept = known.kept(now_ms, used, count);
            let wants_more = used + count > known.slots || !known.is_leased(now_ms);
            let is_renewal_due = now_ms >= known.renew_ms && kept.max(known.told_slots) > 0;
            let is_more_due = now_ms >= known.ask_ms && count > 0 && wants_more;
            let is_less = kept < known.told_slots;
            let is_asking =
                is_brittle && (is_renewal_due || is_more_due || is_less || known.rejections > 0);
            if !is_asking && known.is_told {
                continue;
            }
            (known.slots, known.told_slots) = (known.slots.min(kept), kept);
            let renew_in_ms = if known.even_share.is_some() { CONTENDED_MS } else { RENEW_MS };
            (known.ask_ms, known.renew_ms) = (now_ms + RETRY_MS, now_ms + renew_in_ms);
            asks.push(LeaseAsk {
                statement: statements.to_message(now_ms, &known.life),
                kept,
                running: used,
                waiting,
                rejections: std::mem::take(&mut known.rejections),
                mean_ms: known.mean_ms as u32,
            });
        }
        if asks.is_empty() {
            return None;
        }
        self.sequence += 1;
        Some(LeaseRequest { process: self.process, sequence: self.sequence, asks })
    }

    /// Applies the leader's answers to a request that was sent at `asked_ms`.
    pub fn apply_grants(
        &mut self,
        now_ms: u64,
        asked_ms: u64,
        request: &LeaseRequest,
        grants: &[LeaseGrant],
    ) {
        self.is_leader_lost = false;
        for (ask, grant) in request.asks.iter().zip(grants) {
            let told = &grant.statement;
            let (life, at) = (&told.life, told.stated_at(now_ms));
            // The leader took into account what it was told with the request.
            if self.statements.replace(life, told.limit, at, asked_ms) {
                self.apply_change(now_ms, life, true);
            }
            let limit = self.statements.limit(&life.target, life.incarnation);
            let Ok(at) = self.position(&life.target) else { continue };
            let known = &mut self.targets[at];
            if known.life != *life || ask.statement.life != *life {
                continue;
            }
            known.is_told = told.limit == limit;
            (known.cuts, known.is_cut) = (grant.cuts, false);
            known.slots = grant.slots;
            known.told_slots = grant.slots.max(ask.kept);
            (known.even_share, known.granted_ms) = (grant.even_share, now_ms);
            // It ends by the earlier clock reading: the answer may have been long on its way.
            known.valid_until_ms = asked_ms + LEASE_MS;
            known.ask_ms = now_ms + grant.ask_in_ms;
        }
    }

    /// Notes that no leader answered a request.
    pub fn set_leader_lost(&mut self, request: &LeaseRequest) {
        self.is_leader_lost = true;
        for ask in &request.asks {
            let Ok(at) = self.position(&ask.statement.life.target) else { continue };
            let known = &mut self.targets[at];
            if known.life == ask.statement.life {
                known.rejections += ask.rejections;
                known.renew_ms = 0;
            }
        }
    }

    /// The next time after `now_ms` at which the leader has to be asked, or something may be sent that may not
    /// be sent now.
    pub fn next_change_ms(&self, now_ms: u64) -> Option<u64> {
        let brittle = self.targets.iter().filter(|known| self.find_brittle(&known.life).is_some());
        let changes = brittle.flat_map(|known| {
            let ends = known.abandoned_until_ms.iter().copied();
            let freed_ms = known.freed_ms + UNUSED_MS;
            ends.chain([known.ask_ms, known.renew_ms, known.closed_until_ms, freed_ms])
        });
        changes.filter(|at_ms| *at_ms > now_ms).min()
    }

    /// When a caller may return that is refused because brittle targets are full: `interval_ms` after the one before.
    pub fn next_return_ms(&mut self, now_ms: u64, life: &TargetLife, interval_ms: u64) -> u64 {
        let Ok(at) = self.position(&life.target) else { return now_ms };
        let known = &mut self.targets[at];
        let return_ms = now_ms.max(known.last_return_ms) + interval_ms;
        known.last_return_ms = return_ms.min(now_ms + MAX_RETURN_MS);
        known.last_return_ms
    }

    fn find_brittle(&self, life: &TargetLife) -> Option<&LeasedTarget> {
        self.limit(&life.target, life.incarnation)?;
        let known = &self.targets[self.position(&life.target).ok()?];
        (known.life == *life).then_some(known)
    }

    fn position(&self, target: &TargetId) -> Result<usize, usize> {
        self.targets.binary_search_by(|known| known.life.target.cmp(target))
    }
}
