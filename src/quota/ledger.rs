//! Decides at the leader which routers get credit of the quotas of workspaces.

use super::message::{QuotaAsk, QuotaGrant, QuotaReport, Share, Totals};
use super::pool::QUIET_AFTER_MS;
use super::{ANSWER_MS, Bounds, CONTACT_MS, GRANT_MS, SHARE_MS};
use crate::ids::{DaemonId, TenantId};
use crate::routes::access::Quota;

/// Time by which grants count longer here than at the router that has them: its clock may run slower.
const CLOCK_MARGIN_MS: u64 = 50;
/// Time without an answered report after which the share of a router is held back. It is shorter than
/// [`super::ALONE_MS`] by the longest time that a report takes.
const WITHHOLD_MS: u64 = 1_000;
/// Part of a rate that has to be held back before requests are admitted from reserves.
const RESTRICTED_PART: f64 = 0.1;
/// Time constant of the rates from which shares follow.
const RATE_MS: f64 = 4_000.0;
/// Shares may be larger than the parts of the recent rates by this, so that little of the rate is left over while rates
/// change.
const SHARE_SPREAD: f64 = 1.25;
/// Time for requests that waited while shares were held back to be admitted by the whole rate.
const CLEAR_MS: u64 = 2_000;
/// Time without a report after which a router is forgotten. None of its reports is under way for so long.
const FORGET_MS: u64 = 60_000;
/// Time for which credit is kept for a request that waits. Its router asks again several times within it.
const CLAIM_MS: u64 = 200;
/// The longest time until a refused request is asked to return.
const MAX_RETRY_MS: f64 = 8_000.0;
/// The longest time for which a router refuses requests itself: credit that expires elsewhere is found within it.
const MAX_CLOSED_MS: f64 = 40.0;

/// What the leader knows of a router.
#[derive(Clone, Debug)]
struct Contact {
    router: DaemonId,
    process: u64,
    sequence: u64,
    /// When the last report came.
    heard_ms: u64,
    /// When the last report came that the router knows to be answered.
    answered_ms: u64,
    /// The answer to the last report, for when it is repeated.
    grants: Vec<QuotaGrant>,
}

/// What a router has of one workspace.
#[derive(Clone, Debug)]
struct Holding {
    router: DaemonId,
    process: u64,
    totals: Totals,
    /// Credit that the router may spend, as far as is known.
    credit: f64,
    expires_ms: u64,
    /// Credit for requests that waited, which is spent at once or not at all.
    passing: f64,
    passing_until_ms: u64,
    /// Its share, and the one in the answer that it may not have got.
    share: Share,
    offered: Share,
    reserve: f64,
    /// Units that it may have accrued of its share.
    withheld: f64,
    /// As [`Contact::answered_ms`] and [`Contact::heard_ms`].
    answered_ms: u64,
    heard_ms: u64,
    rate_per_s: f64,
    rate_ms: u64,
    /// When it last spent something or had requests that waited.
    used_ms: u64,
}

impl Holding {
    /// The largest share that the router may believe to have.
    fn possible_share(&self) -> Share {
        self.share.max(self.offered)
    }

    /// What it may have accrued and not spent. A router accrues its part of the burst at most.
    fn accrued(&self, burst: f64) -> f64 {
        self.withheld.min(burst * self.possible_share().fraction())
    }

    /// The recent rate, with `units` spent now.
    fn update_rate(&mut self, now_ms: u64, units: f64) {
        let age_ms = now_ms.saturating_sub(self.rate_ms) as f64;
        self.rate_ms = now_ms;
        self.rate_per_s = self.rate_per_s * (-age_ms / RATE_MS).exp() + units * 1_000.0 / RATE_MS;
    }

    fn rate_at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.rate_ms) as f64;
        self.rate_per_s * (-age_ms / RATE_MS).exp()
    }
}

/// The token bucket of a workspace.
#[derive(Clone, Debug)]
struct Bucket {
    workspace: TenantId,
    quota: Quota,
    level: f64,
    filled_ms: u64,
    /// Until then, routers unknown to this leader may use shares and reserves of an earlier one.
    restricted_until_ms: u64,
    /// Until then, requests may still wait that came while the bucket got less than the rate.
    clears_ms: u64,
    /// Shares that routers of an earlier leader gave up until then.
    free_share: Share,
    /// Sorted by router.
    holdings: Vec<Holding>,
    /// Reserves that were or may have been spent, and when each counts no longer.
    spent_reserves: Vec<(u64, f64)>,
    /// Credit of processes that ended, and when it expires.
    orphans: Vec<(u64, f64)>,
    /// When the last refused request was asked to return.
    promised_ms: f64,
    /// What was granted of the leader's reserve, and when each counts no longer.
    lent: Vec<(u64, f64)>,
    /// Credit that is kept for a request that waits. Without it, smaller requests of other routers would go before a
    /// large one again and again.
    claim: Option<Claim>,
}

/// Credit that is kept for the requests of a router.
#[derive(Clone, Debug)]
struct Claim {
    router: DaemonId,
    units: f64,
    /// Until then, unless the router asks again.
    until_ms: u64,
}

/// A quota that a document changed.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaChange {
    /// The workspace.
    pub workspace: TenantId,
    /// Its quota before.
    pub before: Option<Quota>,
    /// Its quota from now on.
    pub after: Option<Quota>,
}

/// A report that is being answered.
struct Turn<'a> {
    now_ms: u64,
    router: &'a DaemonId,
    process: u64,
    /// As [`Contact::answered_ms`].
    answered_ms: u64,
    bounds: Bounds,
    /// When this leader began.
    started_ms: u64,
}

impl Turn<'_> {
    /// Time for which something that was spent counts.
    fn window_ms(&self) -> u64 {
        self.bounds.window_ms + CLOCK_MARGIN_MS
    }
}

/// Which waiting requests are admitted.
#[derive(Clone, Copy, Debug, Default)]
struct Chosen {
    /// What those that are admitted cost together.
    admitted: f64,
    /// What those that are refused cost together, and the first of them.
    refused: f64,
    first_refused: Option<f64>,
}

/// The buckets of all workspaces.
#[derive(Clone, Debug)]
pub struct Ledger {
    bounds: Bounds,
    started_ms: u64,
    is_inheriting: bool,
    /// Sorted by workspace.
    buckets: Vec<Bucket>,
    /// Sorted by router.
    contacts: Vec<Contact>,
}

impl Ledger {
    /// The ledger of a leader that starts now. Quotas that are set before [`Ledger::end_takeover`] were those of an
    /// earlier leader.
    pub fn new(now_ms: u64, bounds: Bounds) -> Self {
        Self {
            bounds,
            started_ms: now_ms,
            is_inheriting: true,
            buckets: Vec::new(),
            contacts: Vec::new(),
        }
    }

    /// Workspaces that appear from now on had no quota before, so their buckets start full.
    pub fn end_takeover(&mut self) {
        self.is_inheriting = false;
    }

    /// Whether no workspace has a quota.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Number of workspaces with a quota.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Puts the quotas of a document in force. Returns the changes.
    pub fn set_quotas(&mut self, now_ms: u64, quotas: &[(TenantId, Quota)]) -> Vec<QuotaChange> {
        let mut changes = Vec::new();
        let is_named = |name: &TenantId| quotas.iter().any(|(named, _)| named == name);
        for bucket in self.buckets.iter().filter(|bucket| !is_named(&bucket.workspace)) {
            let (workspace, before) = (bucket.workspace.clone(), Some(bucket.quota));
            changes.push(QuotaChange { workspace, before, after: None });
        }
        self.buckets.retain(|bucket| is_named(&bucket.workspace));
        for (workspace, quota) in quotas {
            let found = self.buckets.binary_search_by(|bucket| bucket.workspace.cmp(workspace));
            let before = match found {
                Ok(at) => {
                    let bucket = &mut self.buckets[at];
                    // What accrued so far accrued at the old rate.
                    bucket.refill(now_ms, &self.bounds);
                    let before = std::mem::replace(&mut bucket.quota, *quota);
                    bucket.refill(now_ms, &self.bounds);
                    Some(before)
                }
                Err(at) => {
                    self.buckets.insert(at, self.new_bucket(now_ms, workspace.clone(), *quota));
                    None
                }
            };
            if before != Some(*quota) {
                let (workspace, after) = (workspace.clone(), Some(*quota));
                changes.push(QuotaChange { workspace, before, after });
            }
        }
        changes
    }

    fn new_bucket(&self, now_ms: u64, workspace: TenantId, quota: Quota) -> Bucket {
        let is_inherited = self.is_inheriting;
        Bucket {
            workspace,
            quota,
            level: if is_inherited { 0.0 } else { quota.burst },
            filled_ms: now_ms,
            restricted_until_ms: if is_inherited { self.started_ms + SHARE_MS } else { 0 },
            clears_ms: 0,
            free_share: Share::default(),
            holdings: Vec::new(),
            spent_reserves: Vec::new(),
            orphans: Vec::new(),
            promised_ms: 0.0,
            lent: Vec::new(),
            claim: None,
        }
    }

    /// Answers a router. Asks for workspaces without a quota get no answer, and a report that a later one has
    /// overtaken gets none at all.
    pub fn answer(
        &mut self,
        now_ms: u64,
        from: &DaemonId,
        report: &QuotaReport,
    ) -> Vec<QuotaGrant> {
        let is_known = |contact: &Contact| contact.heard_ms + FORGET_MS > now_ms;
        self.contacts.retain(is_known);
        let found = self.contacts.binary_search_by(|contact| contact.router.cmp(from));
        let at = found.unwrap_or_else(|at| {
            let contact = Contact {
                router: from.clone(),
                process: report.process,
                sequence: 0,
                heard_ms: now_ms,
                answered_ms: now_ms,
                grants: Vec::new(),
            };
            self.contacts.insert(at, contact);
            at
        });
        let contact = &mut self.contacts[at];
        if contact.process == report.process {
            match report.sequence.cmp(&contact.sequence) {
                std::cmp::Ordering::Less => return Vec::new(),
                // The first answer may have been received, so nothing else may be granted.
                std::cmp::Ordering::Equal => return contact.grants.clone(),
                std::cmp::Ordering::Greater => {}
            }
            if report.answered == contact.sequence {
                contact.answered_ms = contact.heard_ms;
            }
        } else {
            contact.process = report.process;
            contact.answered_ms = now_ms;
        }
        contact.sequence = report.sequence;
        contact.heard_ms = now_ms;
        let turn = Turn {
            now_ms,
            router: from,
            process: report.process,
            answered_ms: contact.answered_ms,
            bounds: self.bounds,
            started_ms: self.started_ms,
        };
        for bucket in &mut self.buckets {
            let is_asked = report.asks.iter().any(|ask| ask.workspace == bucket.workspace);
            bucket.note_contact(&turn, is_asked);
        }
        let mut grants = Vec::new();
        for ask in &report.asks {
            let found =
                self.buckets.binary_search_by(|bucket| bucket.workspace.cmp(&ask.workspace));
            if let Ok(at) = found {
                grants.push(self.buckets[at].answer(&turn, ask));
            }
        }
        let found = self.contacts.binary_search_by(|contact| contact.router.cmp(from));
        if let Ok(at) = found {
            self.contacts[at].grants = grants.clone();
        }
        grants
    }
}

impl Bucket {
    /// Adds what accrued since the last call, and removes what expired.
    fn refill(&mut self, now_ms: u64, bounds: &Bounds) {
        // The refill is split where a share begins or ends to be held back, or the takeover ends.
        while self.filled_ms < now_ms {
            let from_ms = self.filled_ms;
            let changes = self.holdings.iter().flat_map(|holding| {
                let answered_ms = holding.answered_ms + WITHHOLD_MS;
                let (share_ms, gone_ms) =
                    (holding.heard_ms + SHARE_MS, holding.heard_ms + CONTACT_MS);
                [answered_ms, share_ms, gone_ms, holding.expires_ms, holding.passing_until_ms]
            });
            let orphans = self.orphans.iter().map(|(until_ms, _)| *until_ms);
            let changes = changes.chain(orphans).chain([self.restricted_until_ms]);
            let next_ms = changes.filter(|at| *at > from_ms).min().unwrap_or(now_ms).min(now_ms);
            self.refill_part(from_ms, next_ms);
            self.filled_ms = next_ms;
            // Credit that expires may just have been spent, so it leaves room only for what accrues later.
            self.level = self.level.min(self.room(bounds));
            self.expire(next_ms, bounds);
        }
        self.level = self.level.min(self.room(bounds));
    }

    /// Adds what accrues in a time in which nothing changes.
    fn refill_part(&mut self, from_ms: u64, to_ms: u64) {
        let units = self.quota.rate_per_s * (to_ms - from_ms) as f64 / 1_000.0;
        let (mut known, mut withheld) = (0.0, 0.0);
        for holding in &mut self.holdings {
            let share = holding.possible_share().fraction();
            known += share;
            if from_ms >= holding.answered_ms + WITHHOLD_MS && from_ms < holding.heard_ms + SHARE_MS
            {
                holding.withheld += units * share;
                withheld += share;
            }
        }
        let known = (known + self.free_share.fraction()).min(1.0);
        let usable = if from_ms < self.restricted_until_ms { known } else { 1.0 };
        self.level += units * (usable - withheld).max(0.0);
    }

    /// Removes the credit, shares and reserves that routers may not use any longer. They count as used.
    fn expire(&mut self, now_ms: u64, bounds: &Bounds) {
        let window_ms = bounds.window_ms + CLOCK_MARGIN_MS;
        for holding in &mut self.holdings {
            if holding.expires_ms <= now_ms {
                holding.credit = 0.0;
            }
            if holding.heard_ms + SHARE_MS <= now_ms {
                holding.withheld = 0.0;
            }
            if holding.passing_until_ms <= now_ms {
                // It counts as spent, with the next report too.
                holding.totals.spent += std::mem::take(&mut holding.passing) as u64;
            }
            if holding.heard_ms + CONTACT_MS <= now_ms && holding.reserve > 0.0 {
                self.spent_reserves.push((now_ms + window_ms, holding.reserve));
                holding.reserve = 0.0;
            }
        }
        self.holdings.retain(|holding| holding.heard_ms + CONTACT_MS > now_ms);
        self.spent_reserves.retain(|(until_ms, _)| *until_ms > now_ms);
        self.orphans.retain(|(until_ms, _)| *until_ms > now_ms);
        self.lent.retain(|(until_ms, _)| *until_ms > now_ms);
    }

    /// The highest level at which everything that may be spent at once is within the burst.
    fn room(&self, bounds: &Bounds) -> f64 {
        let held = |known: &Holding| known.credit + known.passing + known.accrued(self.quota.burst);
        let held: f64 = self.holdings.iter().map(held).sum();
        let orphans: f64 = self.orphans.iter().map(|(_, units)| units).sum();
        self.quota.burst + bounds.overfill(&self.quota) - held - orphans
    }

    fn find(&self, router: &DaemonId) -> Result<usize, usize> {
        self.holdings.binary_search_by(|known| known.router.cmp(router))
    }

    /// A router reported. What was held back for it is free again; if it asks for this workspace, less what its ask says.
    fn note_contact(&mut self, turn: &Turn<'_>, is_asked: bool) {
        let Ok(at) = self.find(turn.router) else { return };
        let is_same = self.holdings[at].process == turn.process;
        let is_withheld = self.holdings[at].answered_ms + WITHHOLD_MS <= turn.now_ms;
        if !is_same || is_withheld {
            self.refill(turn.now_ms, &turn.bounds);
        }
        // The refill removes routers that were silent for long.
        let Ok(at) = self.find(turn.router) else { return };
        if is_same {
            let holding = &mut self.holdings[at];
            holding.answered_ms = holding.answered_ms.max(turn.answered_ms);
            holding.heard_ms = turn.now_ms;
            if !is_asked {
                self.level += holding.accrued(self.quota.burst);
                holding.withheld = 0.0;
            }
            return;
        }
        // The process ended. It may have spent all that it had.
        let ended = self.holdings.remove(at);
        let until_ms = ended.expires_ms.max(ended.passing_until_ms).max(turn.now_ms + 1);
        self.orphans.push((until_ms, ended.credit + ended.passing));
        self.spent_reserves.push((turn.now_ms + CONTACT_MS + turn.window_ms(), ended.reserve));
    }

    fn answer(&mut self, turn: &Turn<'_>, ask: &QuotaAsk) -> QuotaGrant {
        self.refill(turn.now_ms, &turn.bounds);
        let at = self.account(turn, ask);
        self.level = self.level.min(self.room(&turn.bounds));
        if ask.largest == 0 {
            // The router has given up all that it had.
            self.holdings.remove(at);
            return QuotaGrant::nothing(self.workspace.clone());
        }
        self.lend(turn, ask);
        let is_restricted = self.is_restricted(turn.now_ms);
        let chosen = self.choose(turn, ask);
        self.update_claim(turn, &chosen, is_restricted);
        let kept = ask.kept as f64;
        let needed = (chosen.admitted - kept).max(0.0);
        self.level -= needed;
        let left = kept + needed - chosen.admitted;
        // Half of the bucket stays for routers that did not spend steadily.
        let spare = ((self.level - self.quota.burst / 2.0) / 2.0).max(0.0);
        let extra = (ask.ahead as f64 - left).clamp(0.0, spare).floor();
        self.level -= extra;
        self.holdings[at].update_rate(turn.now_ms, chosen.admitted);
        let share = self.next_share(turn.now_ms, at);
        let reserve = self.next_reserve(turn, at, ask);
        let holding = &mut self.holdings[at];
        holding.credit = left + extra;
        holding.passing = chosen.admitted;
        holding.passing_until_ms = turn.now_ms + ANSWER_MS + CLOCK_MARGIN_MS;
        holding.offered = share;
        // The answer may be lost.
        holding.reserve = reserve.max(ask.reserve as f64);
        let lasting = holding.credit as u64;
        let credit = lasting + chosen.admitted as u64;
        let (retry_in_ms, closed_ms) = self.retry_after(turn.now_ms, &chosen);
        QuotaGrant {
            workspace: self.workspace.clone(),
            credit,
            lasting,
            reserve: reserve as u64,
            share,
            retry_in_ms,
            closed_ms,
            is_restricted,
        }
    }

    /// Whether the bucket gets much less than the rate, because other routers may be using their shares.
    fn is_restricted(&mut self, now_ms: u64) -> bool {
        let is_silent = |known: &&Holding| {
            known.answered_ms + WITHHOLD_MS <= now_ms && now_ms < known.heard_ms + SHARE_MS
        };
        let silent = self.holdings.iter().filter(is_silent);
        let withheld: f64 = silent.map(|known| known.possible_share().fraction()).sum();
        if now_ms < self.restricted_until_ms || withheld >= RESTRICTED_PART {
            self.clears_ms = now_ms + CLEAR_MS;
        }
        now_ms < self.clears_ms
    }

    /// The holding of a router that is not known. What it has was granted by an earlier leader.
    fn adopt(turn: &Turn<'_>, ask: &QuotaAsk) -> Holding {
        Holding {
            router: turn.router.clone(),
            process: turn.process,
            totals: ask.totals,
            credit: ask.kept as f64,
            expires_ms: turn.now_ms + GRANT_MS + CLOCK_MARGIN_MS,
            passing: 0.0,
            passing_until_ms: 0,
            share: ask.share,
            offered: ask.share,
            reserve: ask.reserve as f64,
            withheld: ask.accrued as f64,
            // What a router has of an earlier leader accrues until it knows the answer.
            answered_ms: match ask.share {
                Share(0) => turn.now_ms,
                _ => turn.now_ms.saturating_sub(WITHHOLD_MS),
            },
            heard_ms: turn.now_ms,
            rate_per_s: ask.ahead as f64 * 1_000.0 / RATE_MS,
            rate_ms: turn.now_ms,
            used_ms: turn.now_ms,
        }
    }

    /// Counts what a router used and returned. Returns where its holding is.
    fn account(&mut self, turn: &Turn<'_>, ask: &QuotaAsk) -> usize {
        let at = match self.find(turn.router) {
            Ok(at) => at,
            Err(at) => {
                self.holdings.insert(at, Self::adopt(turn, ask));
                return at;
            }
        };
        let holding = &mut self.holdings[at];
        let totals = std::mem::replace(&mut holding.totals, ask.totals);
        let since = |now: u64, before: u64| now.saturating_sub(before) as f64;
        let spent = since(ask.totals.spent, totals.spent);
        let accrued = since(ask.totals.accrued, totals.accrued);
        let reserve = since(ask.totals.reserve, totals.reserve);
        let refunded = since(ask.totals.refunded, totals.refunded);
        // What requests that waited got was counted when it was granted.
        holding.update_rate(turn.now_ms, (spent - holding.passing).max(0.0) + accrued + reserve);
        if spent + accrued + reserve > 0.0 || !ask.waiting.is_empty() {
            holding.used_ms = turn.now_ms;
        }
        let free_share = holding.possible_share().0.saturating_sub(ask.share.0);
        // What it spent of its share was held back, and less than its part of the burst is left of that.
        let unspent = (holding.withheld - accrued - ask.accrued as f64)
            .min(self.quota.burst * holding.possible_share().fraction());
        (holding.share, holding.offered) = (ask.share, ask.share);
        holding.withheld = ask.accrued as f64;
        if ask.share == Share::default() {
            // It accrues nothing before it knows the next answer.
            holding.answered_ms = turn.now_ms;
        }
        if turn.now_ms < self.restricted_until_ms {
            self.free_share.0 += free_share;
        }
        holding.reserve = ask.reserve as f64;
        let kept = ask.kept as f64;
        // Credit that expired counts as spent already.
        let is_valid = holding.expires_ms > turn.now_ms;
        let lasting = if is_valid { holding.credit } else { 0.0 };
        let returned = if is_valid || holding.passing > 0.0 {
            lasting + std::mem::take(&mut holding.passing) - spent - kept
        } else {
            -kept
        };
        holding.credit = kept;
        holding.expires_ms = turn.now_ms + GRANT_MS + CLOCK_MARGIN_MS;
        self.level += returned + refunded + unspent;
        if reserve > 0.0 {
            self.spent_reserves.push((turn.now_ms + turn.window_ms(), reserve));
        }
        at
    }

    /// Adds what waiting requests lack from the leader's reserve, while the shares of silent routers are held back.
    fn lend(&mut self, turn: &Turn<'_>, ask: &QuotaAsk) {
        // An earlier leader may have granted its reserve until this one began.
        if !self.knows_reserves(turn) || !self.is_restricted(turn.now_ms) {
            return;
        }
        let all: f64 = ask.waiting.iter().map(|cost| f64::from(*cost)).sum();
        let lacking = all - ask.kept as f64 - self.level;
        let lent: f64 = self.lent.iter().map(|(_, units)| units).sum();
        let units = lacking.min(turn.bounds.leader_reserve(&self.quota) - lent);
        if units > 0.0 {
            self.level += units;
            self.lent.push((turn.now_ms + ANSWER_MS + turn.window_ms(), units));
        }
    }

    /// Chooses which waiting requests are admitted, in their order.
    fn choose(&self, turn: &Turn<'_>, ask: &QuotaAsk) -> Chosen {
        let is_other =
            |claim: &&Claim| claim.router != *turn.router && claim.until_ms > turn.now_ms;
        let level = match self.claim.as_ref().filter(is_other) {
            Some(claim) => self.level.min((self.level - claim.units).max(0.0)),
            None => self.level,
        };
        let mut left = level + ask.kept as f64;
        // A request that is larger than the burst is admitted when the bucket is full, and others wait longer.
        let full = self.quota.burst.min(self.room(&turn.bounds) + ask.kept as f64);
        let mut chosen = Chosen::default();
        for cost in ask.waiting.iter().map(|cost| f64::from(*cost)) {
            let is_large = cost > self.quota.burst && left >= full && full > 0.0;
            if cost <= left || is_large {
                left -= cost;
                chosen.admitted += cost;
            } else {
                chosen.first_refused = chosen.first_refused.or(Some(cost));
                chosen.refused += cost;
            }
        }
        chosen
    }

    /// Keeps credit for the request that has waited longest, while requests wait for the bucket.
    fn update_claim(&mut self, turn: &Turn<'_>, chosen: &Chosen, is_restricted: bool) {
        let is_own = |claim: &Claim| claim.router == *turn.router || claim.until_ms <= turn.now_ms;
        if !self.claim.as_ref().is_none_or(is_own) {
            return;
        }
        self.claim = chosen.first_refused.filter(|_| is_restricted).map(|cost| Claim {
            router: turn.router.clone(),
            units: cost.min(self.quota.burst),
            until_ms: turn.now_ms + CLAIM_MS,
        });
    }

    /// The time after which the first refused request may return, and the one for which no request of its cost is
    /// admitted. Later callers are told later times.
    fn retry_after(&mut self, now_ms: u64, chosen: &Chosen) -> (u32, u32) {
        let Some(cost) = chosen.first_refused else { return (0, 0) };
        let per_ms = (self.quota.rate_per_s / 1_000.0).max(f64::MIN_POSITIVE);
        let needed = cost.min(self.quota.burst) - self.level;
        let wait_ms = (needed / per_ms).clamp(1.0, MAX_RETRY_MS);
        let now = now_ms as f64;
        let start = self.promised_ms.max(now + wait_ms).min(now + MAX_RETRY_MS);
        self.promised_ms = start + chosen.refused / per_ms;
        ((start - now) as u32, wait_ms.min(MAX_CLOSED_MS) as u32)
    }

    /// The share of a router: its part of the recent rates, as far as others do not have it.
    fn next_share(&self, now_ms: u64, at: usize) -> Share {
        let own = &self.holdings[at];
        if now_ms < self.restricted_until_ms {
            return own.share;
        }
        let is_quiet = |known: &Holding| known.used_ms + QUIET_AFTER_MS <= now_ms;
        if is_quiet(own) {
            return Share::default();
        }
        let active = self.holdings.iter().filter(|known| !is_quiet(known));
        let all: f64 = active.map(|known| known.rate_at(now_ms)).sum();
        let target = if all > 0.0 { SHARE_SPREAD * own.rate_at(now_ms) / all } else { 0.0 };
        let target = Share((target * f64::from(Share::WHOLE.0)) as u32);
        let others = self.holdings.iter().enumerate().filter(|(other, _)| *other != at);
        let taken: u32 = others.map(|(_, known)| known.possible_share().0).sum();
        target.min(Share(Share::WHOLE.0.saturating_sub(taken)))
    }

    /// The reserve of a router: its part of what all reserves have together, at least one request.
    fn next_reserve(&self, turn: &Turn<'_>, at: usize, ask: &QuotaAsk) -> f64 {
        let own = &self.holdings[at];
        let budget = turn.bounds.reserve(&self.quota);
        let all: f64 = self.holdings.iter().map(|known| known.rate_at(turn.now_ms)).sum();
        let part = if all > 0.0 { own.rate_at(turn.now_ms) / all } else { 0.0 };
        let target = (budget * part).max(ask.largest as f64).min(budget).floor();
        if target <= own.reserve || !self.knows_reserves(turn) {
            return own.reserve.min(target);
        }
        let others = self.holdings.iter().enumerate().filter(|(other, _)| *other != at);
        let taken: f64 = others.map(|(_, known)| known.reserve).sum();
        let spent: f64 = self.spent_reserves.iter().map(|(_, units)| units).sum();
        let next = target.min(budget - taken - spent).max(own.reserve).floor();
        // Less than one request cannot be used.
        if next < ask.largest as f64 { own.reserve } else { next }
    }

    /// Whether all reserves are known. Those of an earlier leader may be spent for a time, and count for a window.
    fn knows_reserves(&self, turn: &Turn<'_>) -> bool {
        let known_ms = turn.started_ms + CONTACT_MS + turn.window_ms();
        self.restricted_until_ms == 0 || turn.now_ms >= known_ms
    }
}
