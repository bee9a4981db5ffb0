//! Grants credit of the quotas of workspaces to routers.

use super::Leader;
use crate::ids::{DaemonId, TenantId};
use crate::quota::Bounds;
use crate::quota::ledger::{Ledger, QuotaChange};
use crate::quota::message::{QuotaGrant, QuotaReport};
use crate::routes;
use crate::routes::access::Quota;

impl Leader {
    /// Begins the ledger of quotas. Those of documents that are applied before [`Leader::end_quota_takeover`] were in
    /// force under an earlier leader.
    pub fn begin_quotas(&self, bounds: Bounds) {
        self.quotas.replace(Ledger::new(self.context.clock.now_ms(), bounds));
    }

    /// Quotas of documents that are applied from now on are new.
    pub fn end_quota_takeover(&self) {
        let mut quotas = self.quotas.borrow_mut();
        quotas.end_takeover();
        if !quotas.is_empty() {
            log::info!(
                term = self.term.0, workspaces = quotas.len();
                "term {} takes over the quotas of {} workspaces with empty buckets; what routers hold is \
                 learned from them",
                self.term,
                quotas.len()
            );
        }
    }

    /// Puts the quotas of a document in force.
    pub(super) fn apply_quotas(&self, document: &routes::Document) {
        let workspaces = document.access.workspaces.iter().flatten();
        let quotas: Vec<(TenantId, Quota)> = workspaces
            .filter_map(|workspace| Some((workspace.name.clone(), workspace.quota?)))
            .collect();
        let now_ms = self.context.clock.now_ms();
        let changes = self.quotas.borrow_mut().set_quotas(now_ms, &quotas);
        for QuotaChange { workspace, before, after } in changes {
            log::info!(
                workspace:% = workspace, document = document.version.0, before:? = before,
                after:? = after;
                "the quota of workspace {workspace} is {after:?} from document {} on", document.version
            );
        }
    }

    /// Answers a router that reports what it used and asks for credit. `None` if this leader may no longer be the
    /// leader.
    pub fn answer_quota(&self, from: &DaemonId, report: &QuotaReport) -> Option<Vec<QuotaGrant>> {
        if self.is_stopped.get() || !(self.context.is_leased)() {
            return None;
        }
        let now_ms = self.context.clock.now_ms();
        let grants = self.quotas.borrow_mut().answer(now_ms, from, report);
        // The process may have been suspended since the first check.
        (self.context.is_leased)().then_some(grants)
    }
}
