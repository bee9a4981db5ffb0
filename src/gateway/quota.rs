//! Admits requests within the quotas of their workspaces: asks the leader for credit, and lets requests wait for it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::attempt::RoutedRequest;
use super::refusal::RefusalReason;
use super::state::RouterState;
use crate::coordinator::client::VoterClient;
use crate::coordinator::message::{Reply, Request};
use crate::ids::TenantId;
use crate::quota;
use crate::quota::message::{QuotaGrant, QuotaReport};
use crate::quota::pool::{Charge, Decision, MAX_WAIT_MS, Outcome, Pool, Source, Ticket};
use crate::routes::access::{Quota, Workspace};

/// Pause before credit is asked for, so that a burst of requests causes one message.
const ASK_PAUSE: Duration = Duration::from_millis(2);
/// Timeout of asking the leader.
const ASK_TIMEOUT_MS: u64 = 300;
/// Part of the time of a request for which it waits at most.
const WAIT_PART: u64 = 2;
/// Least time between two log lines about refusals of one workspace.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Whether a request is within the quota of its workspace.
#[derive(Debug)]
pub(super) enum Admission {
    /// It is.
    Admitted(Charge),
    /// It is not.
    Refused {
        /// Time until credit is expected.
        retry_after_ms: u64,
    },
    /// No leader answers, and what this router may use without one does not suffice.
    NoLeader,
}

/// The quotas at a router.
pub(super) struct QuotaState {
    pool: RefCell<Pool>,
    /// Requests that wait, sorted.
    waiting: RefCell<Vec<(Ticket, oneshot::Sender<Outcome>)>>,
    /// Notified when the leader should be asked.
    wanted: Notify,
    /// Workspaces of which requests were refused: when that was last logged, and how many were since. Sorted.
    refusals: RefCell<Vec<(TenantId, u64, u64)>>,
}

impl QuotaState {
    /// The quotas of a process that starts now.
    pub fn new(process: u64) -> Self {
        Self {
            pool: RefCell::new(Pool::new(process)),
            waiting: RefCell::default(),
            wanted: Notify::new(),
            refusals: RefCell::default(),
        }
    }
}

/// Removes a request that ends while it waits.
struct WaitGuard<'a> {
    router: &'a RouterState,
    ticket: Ticket,
    outcome: oneshot::Receiver<Outcome>,
    charge: Charge,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let state = &self.router.quota;
        state.pool.borrow_mut().cancel(self.ticket);
        state.waiting.borrow_mut().retain(|(ticket, _)| *ticket != self.ticket);
        // It may have been admitted after it ended.
        if let Ok(Outcome::Admitted(source)) = self.outcome.try_recv() {
            self.router.refund_quota(Charge { source, ..self.charge.clone() });
        }
    }
}

/// Charges a request of a caller to the quota of its workspace.
pub(super) async fn charge(
    router: &RouterState,
    routed: &RoutedRequest,
) -> Result<Option<Charge>, RefusalReason> {
    let workspace = routed.identity.workspace();
    let limited = workspace.and_then(|workspace| Some((workspace, workspace.quota.as_ref()?)));
    let Some((workspace, quota)) = limited else { return Ok(None) };
    let cost = quota::cost(quota, routed.info.token_usage.map(super::TokenUsage::total_tokens));
    let max_wait_ms = MAX_WAIT_MS.min(routed.remaining_ms(router) / WAIT_PART);
    match admit(router, workspace, quota, cost, max_wait_ms).await {
        Admission::Admitted(charge) => {
            count("fescuebay_quota_admitted_units_total", &workspace.name, cost);
            Ok(Some(charge))
        }
        Admission::Refused { retry_after_ms } => {
            count("fescuebay_quota_refused_units_total", &workspace.name, cost);
            router.log_quota_refusal(&workspace.name, quota, cost, Some(retry_after_ms));
            Err(RefusalReason::QuotaExceeded { retry_in_ms: retry_after_ms })
        }
        Admission::NoLeader => {
            count("fescuebay_quota_unknown_units_total", &workspace.name, cost);
            router.log_quota_refusal(&workspace.name, quota, cost, None);
            Err(RefusalReason::QuotaUnknown)
        }
    }
}

/// Decides whether a request of this cost is within the quota. It may wait for the leader.
async fn admit(
    router: &RouterState,
    workspace: &Workspace,
    quota: &Quota,
    cost: u64,
    max_wait_ms: u64,
) -> Admission {
    let now_ms = router.now_ms();
    let charge = Charge { workspace: workspace.name.clone(), cost, source: Source::Unlimited };
    let decision = router.quota.pool.borrow_mut().admit(now_ms, &workspace.name, quota, cost);
    router.quota.wanted.notify_one();
    let ticket = match decision {
        Decision::Admitted(source) => return Admission::Admitted(Charge { source, ..charge }),
        Decision::Refused { retry_in_ms } => {
            return Admission::Refused { retry_after_ms: retry_in_ms };
        }
        Decision::Wait(ticket) => ticket,
    };
    let max_wait = Duration::from_millis(max_wait_ms);
    let (sender, outcome) = oneshot::channel();
    router.quota.waiting.borrow_mut().push((ticket, sender));
    let mut waiting = WaitGuard { router, ticket, outcome, charge: charge.clone() };
    match tokio::time::timeout(max_wait, &mut waiting.outcome).await {
        Ok(Ok(Outcome::Admitted(source))) => Admission::Admitted(Charge { source, ..charge }),
        Ok(Ok(Outcome::Refused { retry_in_ms })) => {
            Admission::Refused { retry_after_ms: retry_in_ms }
        }
        Ok(Ok(Outcome::NoLeader) | Err(_)) | Err(_) => Admission::NoLeader,
    }
}

fn count(name: &'static str, workspace: &TenantId, units: u64) {
    metrics::counter!(name, "workspace" => workspace.to_string()).increment(units);
}

/// Asks the leader for credit, and reports what was spent.
pub(super) async fn ask_quota(client: Rc<VoterClient>, router: Rc<RouterState>) {
    loop {
        wait_until_due(&router).await;
        tokio::time::sleep(ASK_PAUSE).await;
        let Some(report) = router.take_quota_report() else { continue };
        for ask in &report.asks {
            count("fescuebay_quota_asks_total", &ask.workspace, 1);
        }
        let message = Request::Quota(Box::new(report));
        match client.ask_leader(&message, ASK_TIMEOUT_MS, ASK_TIMEOUT_MS).await {
            Ok(Reply::Quota(grants)) => router.apply_quota_answer(Some(&grants)),
            other => {
                log::info!("no leader grants credit of quotas: {:?}", other.err());
                metrics::counter!("fescuebay_quota_asks_lost_total").increment(1);
                router.apply_quota_answer(None);
            }
        }
    }
}

/// Waits until a report is due.
async fn wait_until_due(router: &RouterState) {
    loop {
        let wanted = router.quota.wanted.notified();
        let now_ms = router.now_ms();
        let due_ms = router.quota.pool.borrow().next_report_ms(now_ms);
        match due_ms {
            Some(due_ms) if due_ms <= now_ms => return,
            Some(due_ms) => {
                let wait = Duration::from_millis(due_ms - now_ms);
                tokio::select! {
                    () = wanted => {}
                    () = tokio::time::sleep(wait) => {}
                }
            }
            None => wanted.await,
        }
    }
}

impl RouterState {
    /// The report on quotas that is due, if any. Its answer has to be applied.
    pub fn take_quota_report(&self) -> Option<QuotaReport> {
        self.quota.pool.borrow_mut().take_report(self.now_ms())
    }

    /// Applies the answer of the leader to the last report, or that there is none.
    pub fn apply_quota_answer(&self, grants: Option<&[QuotaGrant]>) {
        let now_ms = self.now_ms();
        let mut pool = self.quota.pool.borrow_mut();
        let had_leader = pool.has_leader();
        let settled = match grants {
            Some(grants) => pool.apply(now_ms, grants),
            None => pool.fail(now_ms),
        };
        let has_leader = pool.has_leader();
        drop(pool);
        if has_leader != had_leader {
            log::info!(
                has_leader = has_leader, requests = settled.len();
                "quotas are kept {} a leader from now on", if has_leader { "with" } else { "without" }
            );
        }
        for (ticket, outcome) in settled {
            let mut waiting = self.quota.waiting.borrow_mut();
            if let Ok(at) = waiting.binary_search_by_key(&ticket, |(ticket, _)| *ticket) {
                // A request that ended meanwhile has taken its ticket along.
                let _ = waiting.remove(at).1.send(outcome);
            }
        }
    }

    /// Tells a new leader of all credit that is held.
    pub(super) fn begin_quota_leader(&self) {
        self.quota.pool.borrow_mut().begin_leader();
        self.quota.wanted.notify_one();
    }

    /// Returns what a request cost that certainly did not run.
    pub(super) fn refund_quota(&self, charge: Charge) {
        count("fescuebay_quota_refunded_units_total", &charge.workspace, charge.cost);
        self.quota.pool.borrow_mut().refund(&charge);
        self.quota.wanted.notify_one();
    }

    /// Logs the first refusal of a workspace in a second, with the number of those before.
    fn log_quota_refusal(
        &self,
        workspace: &TenantId,
        quota: &Quota,
        cost: u64,
        retry_in_ms: Option<u64>,
    ) {
        let now_ms = self.now_ms();
        let mut refusals = self.quota.refusals.borrow_mut();
        let found = refusals.binary_search_by(|(known, ..)| known.cmp(workspace));
        let at = found.unwrap_or_else(|at| {
            refusals.insert(at, (workspace.clone(), 0, 0));
            at
        });
        let (_, logged_ms, unlogged) = &mut refusals[at];
        if *logged_ms != 0 && *logged_ms + LOG_INTERVAL_MS > now_ms {
            *unlogged += 1;
            return;
        }
        *logged_ms = now_ms.max(1);
        let before = std::mem::take(unlogged);
        log::info!(
            workspace:% = workspace, cost = cost, rate_per_s = quota.rate_per_s,
            burst = quota.burst, retry_in_ms:? = retry_in_ms, unlogged_refusals = before;
            "a request of workspace {workspace} is refused by its quota"
        );
    }
}

impl RoutedRequest {
    /// Returns what this request cost, unless that was done before.
    pub(super) fn refund_quota(&self, router: &RouterState) {
        if let Some(charge) = self.charge.take() {
            router.refund_quota(charge);
        }
    }
}
