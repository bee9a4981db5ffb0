//! Aggregates the running requests of all routers by target and sends followers the differences.
//!
//! With a hundred routers that poll twenty times a second and more than a hundred targets, sending
//! all totals in every response would be most of a leader's traffic.

use crate::ids::{DaemonId, TargetId, Term};
use crate::membership::feed::FeedCursor;
use crate::placement::swap::demand::{ROUTER_TIMEOUT_MS, RunningRequests};

/// Minimum time between two sets of totals for one router, per router in the fleet.
const INTERVAL_MS_PER_ROUTER: u64 = 1;
/// Upper bound of that time.
const MAX_INTERVAL_MS: u64 = 400;
/// Targets above which those without requests are removed.
const MAX_TARGETS: usize = 4_096;

/// What changed in the totals.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoadChanges {
    /// The position after these changes.
    pub cursor: FeedCursor,
    /// Whether these are all totals: every other target has no requests.
    pub is_snapshot: bool,
    /// Targets and their requests, sorted by target.
    pub totals: Vec<(TargetId, u32)>,
}

impl LoadChanges {
    /// No changes for a follower at `cursor`.
    pub fn none(cursor: FeedCursor) -> Self {
        Self { cursor, ..Self::default() }
    }
}

#[derive(Debug)]
struct RouterReport {
    daemon: DaemonId,
    at_ms: u64,
    running: Vec<(TargetId, u32)>,
}

#[derive(Debug)]
struct TargetTotal {
    target: TargetId,
    count: u32,
    /// The last change of the total.
    sequence: u64,
}

/// The totals at the leader.
#[derive(Debug)]
pub struct LoadAggregator {
    cursor: FeedCursor,
    /// Sorted by daemon.
    reports: Vec<RouterReport>,
    /// Sorted by target.
    totals: Vec<TargetTotal>,
    /// Followers at or before this position receive all totals.
    oldest_sequence: u64,
    /// Routers and when the totals were last sent to them, sorted.
    last_sent: Vec<(DaemonId, u64)>,
}

impl LoadAggregator {
    /// Creates empty totals for the leader of `term`.
    pub fn new(term: Term) -> Self {
        let cursor = FeedCursor { term, ..FeedCursor::default() };
        Self {
            cursor,
            reports: Vec::new(),
            totals: Vec::new(),
            oldest_sequence: 0,
            last_sent: Vec::new(),
        }
    }

    /// Replaces the running requests of a router.
    pub fn record_running(&mut self, now_ms: u64, daemon: &DaemonId, running: &[RunningRequests]) {
        self.cursor.sequence.0 += 1;
        let running: Vec<(TargetId, u32)> =
            running.iter().map(|running| (running.target.clone(), running.count)).collect();
        let report =
            RouterReport { daemon: daemon.clone(), at_ms: now_ms, running: running.clone() };
        let before = match self.reports.binary_search_by(|known| known.daemon.cmp(daemon)) {
            Ok(at) => std::mem::replace(&mut self.reports[at], report).running,
            Err(at) => {
                self.reports.insert(at, report);
                Vec::new()
            }
        };
        self.replace_report(&before, &running);
    }

    /// Removes the running requests of routers that have been silent for [`SILENT_MS`].
    pub fn remove_silent_routers(&mut self, now_ms: u64) {
        let is_silent =
            |report: &mut RouterReport| now_ms.saturating_sub(report.at_ms) >= ROUTER_TIMEOUT_MS;
        let silent: Vec<RouterReport> = self.reports.extract_if(.., is_silent).collect();
        for report in silent {
            self.cursor.sequence.0 += 1;
            self.replace_report(&report.running, &[]);
        }
        self.last_sent.retain(|(_, sent_ms)| now_ms.saturating_sub(*sent_ms) < ROUTER_TIMEOUT_MS);
        if self.totals.len() > MAX_TARGETS {
            self.totals.retain(|total| total.count > 0);
            self.oldest_sequence = self.cursor.sequence.0;
        }
    }

    /// Replaces the share of one router. Totals whose value stays the same do not count as changed.
    fn replace_report(&mut self, before: &[(TargetId, u32)], after: &[(TargetId, u32)]) {
        after.iter().for_each(|(target, _)| self.ensure_target(target));
        let mut touched: Vec<(usize, u32)> = Vec::new();
        for (target, count) in after {
            let Ok(at) = self.position(target) else { continue };
            touched.push((at, self.totals[at].count));
            self.totals[at].count += count;
        }
        for (target, count) in before {
            let Ok(at) = self.position(target) else { continue };
            touched.push((at, self.totals[at].count));
            self.totals[at].count = self.totals[at].count.saturating_sub(*count);
        }
        // The first record of a target holds its original total; the sort is stable.
        touched.sort_by_key(|(at, _)| *at);
        touched.dedup_by_key(|(at, _)| *at);
        for (at, count) in touched {
            let total = &mut self.totals[at];
            if total.count != count {
                total.sequence = self.cursor.sequence.0;
            }
        }
    }

    /// Adds a target if it is new.
    fn ensure_target(&mut self, target: &TargetId) {
        if let Err(at) = self.position(target) {
            self.totals.insert(at, TargetTotal { target: target.clone(), count: 0, sequence: 0 });
        }
    }

    fn position(&self, target: &TargetId) -> Result<usize, usize> {
        self.totals.binary_search_by(|total| total.target.cmp(target))
    }

    /// Returns the changes for one of `routers` routers, or none if it received totals recently.
    pub fn changes_for_router(
        &mut self,
        now_ms: u64,
        router: &DaemonId,
        cursor: FeedCursor,
        routers: usize,
    ) -> LoadChanges {
        let interval_ms = (routers as u64 * INTERVAL_MS_PER_ROUTER).min(MAX_INTERVAL_MS);
        let position = self.last_sent.binary_search_by(|(known, _)| known.cmp(router));
        let is_early = position.is_ok_and(|at| now_ms < self.last_sent[at].1 + interval_ms);
        if is_early && cursor.term == self.cursor.term {
            return LoadChanges::none(cursor);
        }
        match position {
            Ok(at) => self.last_sent[at].1 = now_ms,
            Err(at) => self.last_sent.insert(at, (router.clone(), now_ms)),
        }
        self.changes_since(cursor)
    }

    /// Returns the changes after `cursor`, or all totals if they are no longer known.
    pub fn changes_since(&self, cursor: FeedCursor) -> LoadChanges {
        let is_known = cursor.term == self.cursor.term && cursor <= self.cursor;
        let is_snapshot = !is_known || cursor.sequence.0 <= self.oldest_sequence;
        let is_included = |total: &&TargetTotal| match is_snapshot {
            true => total.count > 0,
            false => total.sequence > cursor.sequence.0,
        };
        let totals = self.totals.iter().filter(is_included);
        let totals = totals.map(|total| (total.target.clone(), total.count)).collect();
        LoadChanges { cursor: self.cursor, is_snapshot, totals }
    }
}

/// A follower's copy of the totals.
#[derive(Clone, Debug, Default)]
pub struct LoadTotals {
    /// Sorted by target.
    totals: Vec<(TargetId, u32)>,
}

impl LoadTotals {
    /// Applies changes.
    pub fn apply(&mut self, changes: &LoadChanges) {
        if changes.is_snapshot {
            self.totals.clear();
        }
        for (target, count) in &changes.totals {
            match self.totals.binary_search_by(|(known, _)| known.cmp(target)) {
                Ok(at) if *count == 0 => drop(self.totals.remove(at)),
                Ok(at) => self.totals[at].1 = *count,
                Err(_) if *count == 0 => {}
                Err(at) => self.totals.insert(at, (target.clone(), *count)),
            }
        }
    }

    /// Requests at each target that has any, sorted by target.
    pub fn all(&self) -> &[(TargetId, u32)] {
        &self.totals
    }
}
