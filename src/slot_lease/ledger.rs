//! The leader's ledger of the slots of brittle targets.
//!
//! Slots go to the most urgent waiting requests first, wherever they wait, and are shared evenly among
//! routers whose requests are equally urgent. Where there are fewer slots than routers, they go round.

use super::message::{BrittleNews, BrittleStatement, LeaseAsk, LeaseGrant, MilliSlots, RankCount};
use super::{LEASE_MS, MaxRejections};
use crate::ids::{DaemonId, ServiceName, TargetId};
use crate::rate_limit::TargetLife;
use crate::rate_limit::statements::Statements;

/// Time for which a router's count of waiting requests is believed.
const WAITING_TTL_MS: u64 = 400;
/// Time until a router whose requests wait should ask again; it grows with the routers that ask.
const RETRY_MS: u64 = 10;
/// Routers that make that time one millisecond longer.
const ROUTERS_PER_RETRY_MS: u64 = 4;
/// Upper bound of the time for which requests of a silent router are taken to run on after its lease.
const MAX_LINGER_MS: u64 = 10_000;
/// Rejections within this time tell of the same lack of room.
const CUT_INTERVAL_MS: u64 = 300;
/// Targets with more slots than this get fewer than they announced at first.
const MANY_SLOTS: u32 = 8;
/// Part of the slots in use that remain usable after a rejection.
const CUT_PERCENT: u32 = 80;
/// Time without rejections after which one more slot is tried. It is shorter for targets with many slots, by the number
/// of these.
const RAISE_INTERVAL_MS: u64 = 1_000;
const SLOTS_PER_RAISE: u64 = 16;

/// Identifies one request of a router for leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AskNumber {
    /// The process of the router.
    pub process: u64,
    /// Rises with each request of the process.
    pub sequence: u64,
}

/// What a target announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnnouncedSlots {
    /// Its service; `None` if it is not in the route table.
    pub service: Option<ServiceName>,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// A router that holds slots of a target, or waits for some.
#[derive(Clone, Debug)]
struct Holder {
    router: DaemonId,
    number: AskNumber,
    /// Slots that it may use, as far as the leader can tell.
    held: u32,
    running: u32,
    waiting: Vec<RankCount>,
    mean_ms: u32,
    told_ms: u64,
    /// When it was last granted a further slot.
    granted_ms: u64,
}

impl Holder {
    /// Whether it may still use its slots, or its requests may still run.
    fn is_present(&self, now_ms: u64) -> bool {
        let linger_ms = (u64::from(self.mean_ms) * 2).min(MAX_LINGER_MS);
        now_ms < self.told_ms + LEASE_MS + linger_ms
    }

    /// Slots that it uses or waits for.
    fn wanted(&self, now_ms: u64) -> u32 {
        let waiting = self.waiting.iter().map(|known| self.waiting_of(now_ms, known.rank));
        self.running + waiting.sum::<u32>()
    }

    /// Its waiting requests of a rank.
    fn waiting_of(&self, now_ms: u64, rank: u8) -> u32 {
        if now_ms >= self.told_ms + WAITING_TTL_MS {
            return 0;
        }
        self.waiting.iter().filter(|known| known.rank == rank).map(|known| known.count).sum()
    }
}

#[derive(Clone, Debug)]
struct LeasedTarget {
    life: TargetLife,
    announced: AnnouncedSlots,
    /// Slots that may be used at once. Rejections show that they are fewer than announced.
    usable: u32,
    cut_ms: Option<u64>,
    cuts: u64,
    raised_ms: u64,
    /// Sorted by router.
    holders: Vec<Holder>,
}

/// The slots of all brittle targets, as leased by the leader of one term.
#[derive(Clone, Debug)]
pub struct SlotLedger {
    statements: Statements<MaxRejections>,
    /// Sorted by target.
    targets: Vec<LeasedTarget>,
    /// Leases of an earlier leader may be used until then.
    first_grant_ms: u64,
}

impl SlotLedger {
    /// Creates the ledger of a leader that starts at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self {
            statements: Statements::default(),
            targets: Vec::new(),
            first_grant_ms: now_ms + LEASE_MS,
        }
    }

    /// What to tell routers of all targets that are brittle or were.
    pub fn news(&self, now_ms: u64) -> Vec<BrittleNews> {
        let cuts = |life: &TargetLife| self.find(life).map_or(0, |known| known.cuts);
        let statements = self.statements.to_messages(now_ms).into_iter();
        statements.map(|statement| BrittleNews { cuts: cuts(&statement.life), statement }).collect()
    }

    /// Records a statement. Returns whether all routers should be told of it.
    pub fn record(&mut self, now_ms: u64, statement: &BrittleStatement) -> bool {
        let at = statement.stated_at(now_ms);
        self.statements.record_limit(&statement.life, statement.limit, at)
    }

    /// Answers the ask of a router at a target that announced this many slots.
    pub fn grant(
        &mut self,
        now_ms: u64,
        router: &DaemonId,
        number: AskNumber,
        ask: &LeaseAsk,
        announced: &AnnouncedSlots,
    ) -> LeaseGrant {
        let life = &ask.statement.life;
        let statement = self.statements.to_message(now_ms, life);
        let Some(max_rejections) = statement.limit else {
            self.targets.retain(|known| known.life.target != life.target);
            return LeaseGrant { statement, cuts: 0, slots: 0, even_share: None, ask_in_ms: 0 };
        };
        let can_grow = now_ms >= self.first_grant_ms;
        let target = self.target(now_ms, life, announced);
        target.holders.retain(|holder| holder.is_present(now_ms));
        target.adapt(now_ms, announced.slots, max_rejections, ask.rejections);
        let Some(at) = target.record_ask(now_ms, router, number, ask) else {
            // The router has asked again meanwhile.
            let (cuts, ask_in_ms) = (target.cuts, RETRY_MS);
            return LeaseGrant { statement, cuts, slots: 0, even_share: None, ask_in_ms };
        };
        let slots = target.lease(now_ms, at, ask.kept, can_grow);
        let ask_in_ms = RETRY_MS + target.holders.len() as u64 / ROUTERS_PER_RETRY_MS;
        let (cuts, even_share) = (target.cuts, target.even_share(now_ms));
        LeaseGrant { statement, cuts, slots, even_share, ask_in_ms }
    }

    /// Slots of a target that may be used at once, if it is brittle.
    pub fn usable(&self, life: &TargetLife) -> Option<u32> {
        self.find(life).map(|known| known.usable)
    }

    /// How often the slots of targets were cut.
    pub fn cuts(&self) -> u64 {
        self.targets.iter().map(|known| known.cuts).sum()
    }

    fn find(&self, life: &TargetLife) -> Option<&LeasedTarget> {
        let known = &self.targets[self.position(&life.target).ok()?];
        (known.life == *life).then_some(known)
    }

    /// The ledger of a target, begun anew for a later incarnation.
    fn target(
        &mut self,
        now_ms: u64,
        life: &TargetLife,
        announced: &AnnouncedSlots,
    ) -> &mut LeasedTarget {
        let usable = self.initial_slots(announced);
        let new = || LeasedTarget {
            life: life.clone(),
            announced: announced.clone(),
            usable,
            cut_ms: None,
            cuts: 0,
            raised_ms: now_ms,
            holders: Vec::new(),
        };
        let at = match self.position(&life.target) {
            Ok(at) => at,
            Err(_) => {
                let statements = &self.statements;
                self.targets.retain(|known| statements.stated_at(&known.life).is_some());
                let at = self.targets.partition_point(|known| known.life.target < life.target);
                self.targets.insert(at, new());
                at
            }
        };
        if self.targets[at].life.incarnation < life.incarnation {
            self.targets[at] = new();
        }
        &mut self.targets[at]
    }

    /// The slots of a target of which nothing is known: as large a part of what it announced as is usable at the
    /// others of its service, and not all of many, since it falls over if most of them are missing.
    fn initial_slots(&self, announced: &AnnouncedSlots) -> u32 {
        let slots = announced.slots.max(1);
        let careful = if slots > MANY_SLOTS { slots - slots / 4 } else { slots };
        let alike =
            self.targets.iter().filter(|known| known.announced.service == announced.service);
        let usable = alike.map(|known| slots * known.usable / known.announced.slots.max(1));
        usable.min().unwrap_or(careful).clamp(1, careful)
    }

    fn position(&self, target: &TargetId) -> Result<usize, usize> {
        self.targets.binary_search_by(|known| known.life.target.cmp(target))
    }
}

impl LeasedTarget {
    /// Adapts the usable slots: fewer after rejections, more after a time without.
    fn adapt(
        &mut self,
        now_ms: u64,
        announced: u32,
        max_rejections: MaxRejections,
        rejections: u32,
    ) {
        let is_cut = self.cut_ms.is_some_and(|cut_ms| now_ms < cut_ms + CUT_INTERVAL_MS);
        if rejections > 0 && !is_cut {
            let held: u32 = self.holders.iter().map(|holder| holder.held).sum();
            let in_use = held.clamp(1, self.usable);
            self.usable = (in_use * CUT_PERCENT / 100).max(1);
            self.cuts += 1;
            (self.cut_ms, self.raised_ms) = (Some(now_ms), now_ms);
        }
        // Where one rejection is one too many, none is risked.
        let interval_ms = RAISE_INTERVAL_MS / (u64::from(announced) / SLOTS_PER_RAISE).max(1);
        let is_due = max_rejections.0 > 0 && now_ms >= self.raised_ms + interval_ms;
        if rejections == 0 && is_due {
            self.usable += 1;
            self.raised_ms = now_ms;
        }
        self.usable = self.usable.clamp(1, announced.max(1));
    }

    /// Records what a router has and wants. Returns its place, or `None` if it has asked again meanwhile.
    fn record_ask(
        &mut self,
        now_ms: u64,
        router: &DaemonId,
        number: AskNumber,
        ask: &LeaseAsk,
    ) -> Option<usize> {
        let at = match self.holders.binary_search_by(|holder| holder.router.cmp(router)) {
            Ok(at) => at,
            Err(at) => {
                let holder = Holder {
                    router: router.clone(),
                    number,
                    held: 0,
                    running: 0,
                    waiting: Vec::new(),
                    mean_ms: 0,
                    told_ms: now_ms,
                    granted_ms: 0,
                };
                self.holders.insert(at, holder);
                at
            }
        };
        let holder = &mut self.holders[at];
        if holder.number.process == number.process && holder.number.sequence > number.sequence {
            return None;
        }
        holder.number = number;
        holder.held = ask.kept;
        holder.running = ask.running;
        holder.waiting.clone_from(&ask.waiting);
        holder.mean_ms = ask.mean_ms;
        holder.told_ms = now_ms;
        Some(at)
    }

    /// Leases slots to the router at `at`, which goes on using `kept` of them until it is answered.
    fn lease(&mut self, now_ms: u64, at: usize, kept: u32, can_grow: bool) -> u32 {
        let share = self.share(now_ms, at);
        let held: u32 = self.holders.iter().map(|holder| holder.held).sum();
        let free = if can_grow { self.usable.saturating_sub(held) } else { 0 };
        let slots = match share.checked_sub(kept) {
            Some(wanted) => kept + wanted.min(free),
            None if self.is_contended(now_ms) => share,
            // Nobody wants those that it does not use now.
            None => kept,
        };
        // Until enough requests have ended, none is begun in place of one that has.
        let excess = held.saturating_sub(self.usable);
        let slots = if excess > 0 { slots.min(kept.saturating_sub(excess)) } else { slots };
        let holder = &mut self.holders[at];
        if slots > kept {
            holder.granted_ms = now_ms;
        }
        holder.held = slots.max(kept);
        slots
    }

    /// The share of one router in the usable slots: the most urgent waiting requests first, and requests that
    /// run last, since no slot that they use is free. Equally urgent ones are served by turns.
    fn share(&self, now_ms: u64, at: usize) -> u32 {
        let mut turns: Vec<usize> = (0..self.holders.len()).collect();
        turns.sort_by_key(|turn| self.holders[*turn].granted_ms);
        let mut ranks: Vec<u8> = self
            .holders
            .iter()
            .flat_map(|holder| &holder.waiting)
            .map(|known| known.rank)
            .collect();
        ranks.sort_unstable();
        ranks.dedup();
        let mut left = self.usable;
        let mut share = 0;
        for rank in ranks {
            let wanted = |turn: usize| self.holders[turn].waiting_of(now_ms, rank);
            share += deal(&turns, wanted, &mut left, at);
        }
        share + deal(&turns, |turn| self.holders[turn].running, &mut left, at)
    }

    /// Whether routers want more slots than are usable.
    fn is_contended(&self, now_ms: u64) -> bool {
        self.holders.iter().map(|holder| holder.wanted(now_ms)).sum::<u32>() > self.usable
    }

    /// The slots for each router that wants some, if they want more than are usable.
    fn even_share(&self, now_ms: u64) -> Option<MilliSlots> {
        let wanting = self.holders.iter().filter(|holder| holder.wanted(now_ms) > 0).count();
        self.is_contended(now_ms).then(|| MilliSlots(self.usable * 1_000 / wanting.max(1) as u32))
    }
}

/// Deals slots one by one, by turns, to those that want some, and returns how many `at` got.
fn deal(turns: &[usize], wanted: impl Fn(usize) -> u32, left: &mut u32, at: usize) -> u32 {
    let mut dealt = 0;
    for round in 1.. {
        let mut is_anyone_left = false;
        for turn in turns {
            if *left == 0 {
                return dealt;
            }
            if wanted(*turn) < round {
                continue;
            }
            is_anyone_left = true;
            *left -= 1;
            dealt += u32::from(*turn == at);
        }
        if !is_anyone_left {
            break;
        }
    }
    dealt
}
