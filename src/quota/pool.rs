//! Decides at a router which requests are admitted within the quotas of their workspaces.

use std::collections::VecDeque;

use super::message::{MAX_WAITING, QuotaAsk, QuotaGrant, QuotaReport, Share, Totals};
use super::{ALONE_MS, ANSWER_MS, CONTACT_MS, GRANT_MS, SHARE_MS};
use crate::ids::TenantId;
use crate::routes::access::Quota;

/// Interval of reports on a workspace that has requests.
const REPORT_MS: u64 = 400;
/// Interval of reports on a workspace that had none of late: its reserve is kept.
const QUIET_REPORT_MS: u64 = 2_000;
/// Time without a request after which a workspace is quiet: its share is returned.
pub const QUIET_AFTER_MS: u64 = 5_000;
/// Time without a request after which everything of a workspace is returned.
const IDLE_AFTER_MS: u64 = 10_000;
/// Least time between two reports that no request waits for.
const REFILL_MS: u64 = 100;
/// Asks that come due within this time join a report.
const JOIN_MS: u64 = 100;
/// Pause after a report that no leader answered.
const RETRY_MS: u64 = 50;
/// Time for which a request waits for a leader that does not answer, or one that has not found out yet what may be
/// spent: most elections end within it.
pub const MAX_WAIT_MS: u64 = 4_000;
/// Requests of a workspace that may wait.
const MAX_WAITING_REQUESTS: usize = 512;
/// Time between two asks for requests that wait although a leader answers.
const ASK_AGAIN_MS: u64 = 40;
/// The time over which spending is measured.
const SLOT_MS: u64 = 500;
/// Credit is held in advance only within a burst of this many requests.
const MIN_BURST_REQUESTS: f64 = 8.0;

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What a request was charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Credit of the leader.
    Credit,
    /// The router's share of the rate, without a leader.
    Accrued,
    /// The router's reserve.
    Reserve,
    /// Nothing: the leader knows no quota of the workspace.
    Unlimited,
}

/// A request that was charged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The workspace.
    pub workspace: TenantId,
    /// What it cost.
    pub cost: u64,
    /// What it was charged to.
    pub source: Source,
}

/// What to do with a request that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is admitted.
    Admitted(Source),
    /// It is refused.
    Refused {
        /// Time until credit is expected.
        retry_in_ms: u64,
    },
    /// It waits for an answer of the leader.
    Wait(Ticket),
}

/// What became of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is admitted.
    Admitted(Source),
    /// It is refused.
    Refused {
        /// Time until credit is expected.
        retry_in_ms: u64,
    },
    /// No leader answers, and neither the reserve nor the share suffices.
    NoLeader,
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    cost: u64,
    since_ms: u64,
}

/// A refusal of the leader that holds for a time.
#[derive(Clone, Copy, Debug)]
struct Closed {
    until_ms: u64,
    /// The least cost that is refused.
    cost: u64,
    /// When credit is expected.
    retry_at_ms: u64,
}

/// What was spent in the present time slot and the two before.
#[derive(Clone, Copy, Debug, Default)]
struct Spending {
    slot: u64,
    units: [u64; 3],
}

impl Spending {
    fn advance(&mut self, now_ms: u64) {
        let slot = now_ms / SLOT_MS;
        for _ in 0..(slot - self.slot.min(slot)).min(3) {
            self.units = [0, self.units[0], self.units[1]];
        }
        self.slot = slot;
    }

    /// What is spent in a slot, if there was spending in both of the last.
    fn steady(&self) -> u64 {
        let [_, last, before] = self.units;
        if last == 0 || before == 0 { 0 } else { (last + before) / 2 }
    }
}

/// What a router has of one workspace.
#[derive(Clone, Debug)]
struct Account {
    workspace: TenantId,
    quota: Quota,
    totals: Totals,
    credit: u64,
    expires_ms: u64,
    reserve: u64,
    share: Share,
    accrued: f64,
    accrued_until_ms: u64,
    waiting: VecDeque<Waiting>,
    spending: Spending,
    largest: u64,
    used_ms: u64,
    asked_ms: u64,
    closed: Option<Closed>,
    is_restricted: bool,
    /// What has to be reported soon.
    has_news: bool,
}

/// An ask whose answer is awaited.
#[derive(Clone, Debug)]
struct Asked {
    workspace: TenantId,
    totals: Totals,
    waiting: usize,
}

/// The credit of a router.
#[derive(Clone, Debug)]
pub struct Pool {
    process: u64,
    sequence: u64,
    answered: u64,
    /// When the last report was sent that was answered.
    contact_ms: Option<u64>,
    /// Whether the last report was not answered, and when that was found.
    lost_ms: Option<u64>,
    /// When the awaited report was sent, and its asks.
    asked: Option<(u64, Vec<Asked>)>,
    next_ticket: u64,
    /// Sorted by workspace. They stay, because the leader compares totals with those before.
    accounts: Vec<Account>,
}

impl Pool {
    /// The pool of a process that starts now.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            sequence: 0,
            answered: 0,
            contact_ms: None,
            lost_ms: None,
            asked: None,
            next_ticket: 0,
            accounts: Vec::new(),
        }
    }

    /// Whether the last report was answered, or none was sent yet.
    pub fn has_leader(&self) -> bool {
        self.lost_ms.is_none()
    }

    /// Decides on a request.
    pub fn admit(
        &mut self,
        now_ms: u64,
        workspace: &TenantId,
        quota: &Quota,
        cost: u64,
    ) -> Decision {
        let (lost, contact_ms) = (self.lost_ms.is_some(), self.contact_ms);
        let ticket = Ticket(self.next_ticket);
        let account = self.account(now_ms, workspace, quota);
        account.note_request(now_ms, cost);
        account.advance(now_ms, lost, contact_ms);
        if account.waiting.is_empty() {
            if let Some(source) = account.try_spend(now_ms, cost, lost) {
                return Decision::Admitted(source);
            }
            let closed = account.closed.filter(|closed| closed.until_ms > now_ms);
            let is_refused = !lost && !account.is_restricted;
            if let Some(closed) = closed.filter(|closed| cost >= closed.cost && is_refused) {
                let retry_in_ms = closed.retry_at_ms.saturating_sub(now_ms);
                return Decision::Refused { retry_in_ms };
            }
        }
        if account.waiting.len() >= MAX_WAITING_REQUESTS {
            return Decision::Refused { retry_in_ms: MAX_WAIT_MS };
        }
        account.waiting.push_back(Waiting { ticket, cost, since_ms: now_ms });
        self.next_ticket += 1;
        Decision::Wait(ticket)
    }

    /// Returns the cost of a request that did not run. The leader adds it to the bucket.
    pub fn refund(&mut self, charge: &Charge) {
        let found = self.accounts.binary_search_by(|known| known.workspace.cmp(&charge.workspace));
        if let Ok(at) = found.map_err(|_| ()).and_then(|at| match charge.source {
            // A reserve is refilled only after a window.
            Source::Reserve | Source::Unlimited => Err(()),
            Source::Credit | Source::Accrued => Ok(at),
        }) {
            self.accounts[at].totals.refunded += charge.cost;
            self.accounts[at].has_news = true;
        }
    }

    /// The leader has changed: it is told at once of everything that is held.
    pub fn begin_leader(&mut self) {
        for account in self.accounts.iter_mut().filter(|account| !account.holds_nothing()) {
            account.has_news = true;
            account.asked_ms = 0;
        }
    }

    /// When a report is due. `None` if there is nothing to report.
    pub fn next_report_ms(&self, now_ms: u64) -> Option<u64> {
        if self.asked.is_some() {
            return None;
        }
        let due_ms = self.accounts.iter().map(|account| account.due_ms(now_ms)).min()?;
        let retry_ms = self.lost_ms.map_or(0, |lost_ms| lost_ms + RETRY_MS);
        (due_ms < u64::MAX).then_some(due_ms.max(retry_ms).max(now_ms))
    }

    /// The report that is due, if any. Its answer goes to [`Pool::apply`], or [`Pool::fail`] is called.
    pub fn take_report(&mut self, now_ms: u64) -> Option<QuotaReport> {
        if self.next_report_ms(now_ms)? > now_ms {
            return None;
        }
        let (lost, contact_ms) = (self.lost_ms.is_some(), self.contact_ms);
        let mut asks = Vec::new();
        for account in &mut self.accounts {
            if account.due_ms(now_ms) <= now_ms + JOIN_MS {
                account.advance(now_ms, lost, contact_ms);
                asks.push(account.ask(now_ms, lost));
            }
        }
        let asked = asks.iter().map(|ask| Asked {
            workspace: ask.workspace.clone(),
            totals: ask.totals,
            waiting: ask.waiting.len(),
        });
        self.asked = Some((now_ms, asked.collect()));
        self.sequence += 1;
        let (process, sequence, answered) = (self.process, self.sequence, self.answered);
        Some(QuotaReport { process, sequence, answered, asks })
    }

    /// Applies the leader's answer to the last report. Returns what becomes of waiting requests.
    pub fn apply(&mut self, now_ms: u64, grants: &[QuotaGrant]) -> Vec<(Ticket, Outcome)> {
        let Some((asked_ms, asked)) = self.asked.take() else { return Vec::new() };
        self.contact_ms = Some(asked_ms);
        self.lost_ms = None;
        self.answered = self.sequence;
        let mut settled = Vec::new();
        for ask in &asked {
            let found = self.accounts.binary_search_by(|known| known.workspace.cmp(&ask.workspace));
            let Ok(at) = found else { continue };
            let account = &mut self.accounts[at];
            // The leader may spend it elsewhere once it knows that this router does not.
            account.has_news |= std::mem::take(&mut account.accrued) > 0.0;
            match grants.iter().find(|grant| grant.workspace == ask.workspace) {
                Some(grant) => account.apply(now_ms, asked_ms, ask, grant, &mut settled),
                None => account.admit_all(&mut settled),
            }
        }
        settled
    }

    /// No leader answered the last report.
    pub fn fail(&mut self, now_ms: u64) -> Vec<(Ticket, Outcome)> {
        let asked = self.asked.take().map(|(_, asked)| asked).unwrap_or_default();
        self.lost_ms = Some(now_ms);
        let contact_ms = self.contact_ms;
        let mut settled = Vec::new();
        for account in &mut self.accounts {
            account.advance(now_ms, true, contact_ms);
            account.settle_alone(now_ms, &mut settled);
            // What a lost report said is said again.
            account.has_news |= asked.iter().any(|ask| ask.workspace == account.workspace);
        }
        settled
    }

    /// Removes a request that does not wait any longer.
    pub fn cancel(&mut self, ticket: Ticket) {
        let asked = self.asked.as_mut().map(|(_, asked)| asked);
        let mut asked = asked.into_iter().flatten();
        for account in &mut self.accounts {
            let found = account.waiting.iter().position(|waiting| waiting.ticket == ticket);
            let Some(at) = found else { continue };
            account.waiting.remove(at);
            if let Some(ask) = asked.find(|ask| ask.workspace == account.workspace)
                && at < ask.waiting
            {
                ask.waiting -= 1;
            }
            return;
        }
    }

    fn account(&mut self, now_ms: u64, workspace: &TenantId, quota: &Quota) -> &mut Account {
        let found = self.accounts.binary_search_by(|known| known.workspace.cmp(workspace));
        let at = found.unwrap_or_else(|at| {
            self.accounts.insert(at, Account::new(now_ms, workspace.clone(), *quota));
            at
        });
        let account = &mut self.accounts[at];
        if account.quota != *quota {
            account.set_quota(*quota);
        }
        account
    }
}

impl Account {
    fn new(now_ms: u64, workspace: TenantId, quota: Quota) -> Self {
        Self {
            workspace,
            quota,
            totals: Totals::default(),
            credit: 0,
            expires_ms: 0,
            reserve: 0,
            share: Share::default(),
            accrued: 0.0,
            accrued_until_ms: 0,
            waiting: VecDeque::new(),
            spending: Spending::default(),
            largest: 0,
            used_ms: now_ms,
            asked_ms: 0,
            closed: None,
            is_restricted: false,
            has_news: false,
        }
    }

    /// Another document is in force. Of a lowered quota only a part may still be spent.
    fn set_quota(&mut self, quota: Quota) {
        let part = (quota.rate_per_s / self.quota.rate_per_s.max(f64::MIN_POSITIVE)).min(1.0);
        let scaled = |units: u64| (units as f64 * part) as u64;
        (self.credit, self.reserve) = (scaled(self.credit), scaled(self.reserve));
        self.accrued *= part;
        self.quota = quota;
        self.closed = None;
    }

    fn note_request(&mut self, now_ms: u64, cost: u64) {
        self.used_ms = now_ms;
        self.largest = self.largest.max(cost).max(1);
    }

    /// Removes what may not be spent any longer, and adds what accrued of the share.
    fn advance(&mut self, now_ms: u64, is_lost: bool, contact_ms: Option<u64>) {
        self.spending.advance(now_ms);
        if self.expires_ms <= now_ms {
            self.credit = 0;
        }
        let end_ms = contact_ms.map_or(0, |contact_ms| contact_ms + CONTACT_MS);
        if end_ms <= now_ms {
            (self.accrued, self.share, self.reserve) = (0.0, Share::default(), 0);
            return;
        }
        let share_end_ms = end_ms - CONTACT_MS + SHARE_MS;
        if is_lost {
            let from_ms = self.accrued_until_ms.max(end_ms - CONTACT_MS + ALONE_MS);
            let to_ms = now_ms.min(share_end_ms);
            let units = self.quota.rate_per_s * to_ms.saturating_sub(from_ms) as f64 / 1_000.0;
            let share = self.share.fraction();
            self.accrued = (self.accrued + units * share).min(self.quota.burst * share);
        }
        self.accrued_until_ms = now_ms;
        if share_end_ms <= now_ms {
            self.accrued = 0.0;
        }
    }

    /// Spends what a request costs, if something suffices.
    fn try_spend(&mut self, now_ms: u64, cost: u64, is_lost: bool) -> Option<Source> {
        if self.expires_ms > now_ms && self.credit >= cost {
            self.credit -= cost;
            self.totals.spent += cost;
            self.spending.units[0] += cost;
            return Some(Source::Credit);
        }
        if is_lost && self.accrued >= cost as f64 {
            self.accrued -= cost as f64;
            self.totals.accrued += cost;
            self.has_news = true;
            return Some(Source::Accrued);
        }
        if is_lost { self.try_reserve(cost) } else { None }
    }

    fn try_reserve(&mut self, cost: u64) -> Option<Source> {
        self.reserve = self.reserve.checked_sub(cost)?;
        self.totals.reserve += cost;
        self.has_news = true;
        Some(Source::Reserve)
    }

    /// Credit that is wanted in advance.
    fn ahead(&self) -> u64 {
        let is_small = self.quota.burst < MIN_BURST_REQUESTS * self.largest as f64;
        if is_small { 0 } else { self.spending.steady() }
    }

    fn is_idle(&self, now_ms: u64) -> bool {
        self.waiting.is_empty() && self.used_ms + IDLE_AFTER_MS <= now_ms
    }

    fn holds_nothing(&self) -> bool {
        self.credit == 0 && self.reserve == 0 && self.share == Share::default()
    }

    /// When the leader has to be told or asked something.
    fn due_ms(&self, now_ms: u64) -> u64 {
        let closed_ms = self.closed.map_or(0, |closed| closed.until_ms);
        if !self.waiting.is_empty() {
            return now_ms.max(closed_ms);
        }
        let ahead = self.ahead();
        let is_closed = closed_ms > now_ms;
        if self.has_news || (self.credit < ahead / 2 && !is_closed) {
            return self.asked_ms + REFILL_MS;
        }
        if self.holds_nothing() {
            return u64::MAX;
        }
        if self.is_idle(now_ms) {
            return now_ms;
        }
        let keeps_share = self.credit > 0 || self.share > Share::default();
        let report_ms = self.asked_ms + if keeps_share { REPORT_MS } else { QUIET_REPORT_MS };
        report_ms.min(self.used_ms + IDLE_AFTER_MS)
    }

    fn ask(&mut self, now_ms: u64, is_lost: bool) -> QuotaAsk {
        self.asked_ms = now_ms;
        self.has_news = false;
        let is_over = self.is_idle(now_ms);
        if is_over {
            (self.credit, self.reserve, self.share) = (0, 0, Share::default());
            (self.accrued, self.largest) = (0.0, 0);
        }
        // Without a leader the share is kept, so that the next one learns of it.
        if !is_lost && self.used_ms + QUIET_AFTER_MS <= now_ms {
            self.share = Share::default();
        }
        let ahead = self.ahead();
        if self.waiting.is_empty() {
            self.credit = self.credit.min(ahead);
        }
        let waiting = self.waiting.iter().take(MAX_WAITING);
        let waiting = waiting.map(|waiting| u32::try_from(waiting.cost).unwrap_or(u32::MAX));
        QuotaAsk {
            workspace: self.workspace.clone(),
            totals: self.totals,
            kept: self.credit,
            accrued: self.accrued.ceil() as u64,
            reserve: self.reserve,
            share: self.share,
            ahead,
            largest: self.largest,
            waiting: waiting.collect(),
        }
    }

    fn apply(
        &mut self,
        now_ms: u64,
        asked_ms: u64,
        ask: &Asked,
        grant: &QuotaGrant,
        settled: &mut Vec<(Ticket, Outcome)>,
    ) {
        let spent = self.totals.spent - ask.totals.spent;
        self.credit = grant.credit.saturating_sub(spent);
        self.expires_ms = asked_ms + GRANT_MS;
        let reserve = self.totals.reserve - ask.totals.reserve;
        self.reserve = grant.reserve.saturating_sub(reserve);
        self.share = grant.share;
        self.is_restricted = grant.is_restricted;
        if asked_ms + ANSWER_MS <= now_ms {
            // The process was suspended while it waited for the answer. The requests are asked for again.
            self.credit = 0;
            return;
        }
        self.closed = None;
        let per_ms = (self.quota.rate_per_s / 1_000.0).max(f64::MIN_POSITIVE);
        let mut refused = 0.0;
        let mut kept = VecDeque::new();
        for _ in 0..ask.waiting {
            let Some(waiting) = self.waiting.pop_front() else { break };
            let is_restricted = self.is_restricted;
            let reserve = |account: &mut Self| {
                if is_restricted { account.try_reserve(waiting.cost) } else { None }
            };
            let spent = self.try_spend(now_ms, waiting.cost, false).or_else(|| reserve(self));
            let outcome = match spent {
                Some(source) => Outcome::Admitted(source),
                None if is_restricted && waiting.since_ms + MAX_WAIT_MS > now_ms => {
                    self.close(now_ms, ASK_AGAIN_MS, waiting.cost, 0);
                    kept.push_back(waiting);
                    continue;
                }
                None => {
                    let after_ms = u64::from(grant.retry_in_ms) + (refused / per_ms) as u64;
                    refused += waiting.cost as f64;
                    self.close(now_ms, u64::from(grant.closed_ms), waiting.cost, after_ms);
                    Outcome::Refused { retry_in_ms: after_ms }
                }
            };
            settled.push((waiting.ticket, outcome));
        }
        // Requests that came meanwhile use what is left, in their order.
        while kept.is_empty()
            && let Some(waiting) = self.waiting.front().copied()
            && let Some(source) = self.try_spend(now_ms, waiting.cost, false)
        {
            self.waiting.pop_front();
            settled.push((waiting.ticket, Outcome::Admitted(source)));
        }
        kept.append(&mut self.waiting);
        self.waiting = kept;
        self.credit = self.credit.min(grant.lasting);
    }

    fn close(&mut self, now_ms: u64, for_ms: u64, cost: u64, retry_in_ms: u64) {
        let least = self.closed.map_or(cost, |closed| closed.cost.min(cost));
        self.closed = Some(Closed {
            until_ms: now_ms + for_ms,
            cost: least,
            retry_at_ms: now_ms + retry_in_ms,
        });
    }

    /// The leader knows no quota of the workspace.
    fn admit_all(&mut self, settled: &mut Vec<(Ticket, Outcome)>) {
        for waiting in self.waiting.drain(..) {
            settled.push((waiting.ticket, Outcome::Admitted(Source::Unlimited)));
        }
        (self.credit, self.reserve, self.share) = (0, 0, Share::default());
    }

    /// Decides on waiting requests without a leader.
    fn settle_alone(&mut self, now_ms: u64, settled: &mut Vec<(Ticket, Outcome)>) {
        let mut kept = VecDeque::new();
        while let Some(waiting) = self.waiting.pop_front() {
            if let Some(source) = self.try_spend(now_ms, waiting.cost, true) {
                settled.push((waiting.ticket, Outcome::Admitted(source)));
            } else if waiting.since_ms + MAX_WAIT_MS <= now_ms {
                settled.push((waiting.ticket, Outcome::NoLeader));
            } else {
                kept.push_back(waiting);
            }
        }
        self.waiting = kept;
    }
}
