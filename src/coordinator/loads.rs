//! Requests at each target over all routers, told to followers by what changed.
//!
//! Load at its worst: a hundred routers that ask for news twenty times a second, before a hundred and
//! more targets. All totals in every answer would be most of what a leader sends.

use crate::ids::{DaemonId, TargetId, Term};
use crate::membership::feed::FeedCursor;
use crate::placement::swap::demand::{Running, SILENT_MS};

/// A router is told the totals at most once in a time that grows with the routers: so long for each.
const PAUSE_MS_PER_ROUTER: u64 = 1;
/// The longest such time.
const MAX_PAUSE_MS: u64 = 400;
/// Targets that are kept; those without requests go when there are more.
const MAX_TARGETS: usize = 4_096;

/// What changed in the totals.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Changes {
    /// How far they lead.
    pub cursor: FeedCursor,
    /// Whether these are all totals, so that every other target has no requests.
    pub is_whole: bool,
    /// Targets and their requests, sorted by target.
    pub totals: Vec<(TargetId, u32)>,
}

impl Changes {
    /// Nothing new for a follower at `cursor`.
    pub fn none(cursor: FeedCursor) -> Self {
        Self { cursor, ..Self::default() }
    }
}

#[derive(Debug)]
struct Told {
    daemon: DaemonId,
    at_ms: u64,
    running: Vec<(TargetId, u32)>,
}

#[derive(Debug)]
struct Total {
    target: TargetId,
    count: u32,
    /// The change that made it so.
    sequence: u64,
}

/// The totals at a leader.
#[derive(Debug)]
pub struct Loads {
    cursor: FeedCursor,
    /// Sorted by daemon.
    told: Vec<Told>,
    /// Sorted by target.
    totals: Vec<Total>,
    /// Followers that are no further than this get all totals.
    forgotten: u64,
    /// Routers and when they were last told the totals, sorted.
    pauses: Vec<(DaemonId, u64)>,
}

impl Loads {
    /// The totals of the leader of `term`.
    pub fn new(term: Term) -> Self {
        let cursor = FeedCursor { term, ..FeedCursor::default() };
        Self { cursor, told: Vec::new(), totals: Vec::new(), forgotten: 0, pauses: Vec::new() }
    }

    /// Takes what a router has running now.
    pub fn take(&mut self, now_ms: u64, daemon: &DaemonId, running: &[Running]) {
        self.cursor.sequence.0 += 1;
        let running: Vec<(TargetId, u32)> =
            running.iter().map(|running| (running.target.clone(), running.count)).collect();
        let told = Told { daemon: daemon.clone(), at_ms: now_ms, running: running.clone() };
        let before = match self.told.binary_search_by(|known| known.daemon.cmp(daemon)) {
            Ok(at) => std::mem::replace(&mut self.told[at], told).running,
            Err(at) => {
                self.told.insert(at, told);
                Vec::new()
            }
        };
        self.replace(&before, &running);
    }

    /// Drops what routers told that have been silent since.
    pub fn forget_silent(&mut self, now_ms: u64) {
        let is_silent = |told: &mut Told| now_ms.saturating_sub(told.at_ms) >= SILENT_MS;
        let silent: Vec<Told> = self.told.extract_if(.., is_silent).collect();
        for told in silent {
            self.cursor.sequence.0 += 1;
            self.replace(&told.running, &[]);
        }
        self.pauses.retain(|(_, told_ms)| now_ms.saturating_sub(*told_ms) < SILENT_MS);
        if self.totals.len() > MAX_TARGETS {
            self.totals.retain(|total| total.count > 0);
            self.forgotten = self.cursor.sequence.0;
        }
    }

    /// Replaces one router's part. Totals that come out the same have not changed.
    fn replace(&mut self, before: &[(TargetId, u32)], after: &[(TargetId, u32)]) {
        after.iter().for_each(|(target, _)| self.know(target));
        let mut touched: Vec<(usize, u32)> = Vec::new();
        for (target, count) in after {
            let Ok(at) = self.place(target) else { continue };
            touched.push((at, self.totals[at].count));
            self.totals[at].count += count;
        }
        for (target, count) in before {
            let Ok(at) = self.place(target) else { continue };
            touched.push((at, self.totals[at].count));
            self.totals[at].count = self.totals[at].count.saturating_sub(*count);
        }
        // The first note of a place says what it had at the begin; the sort keeps their order.
        touched.sort_by_key(|(at, _)| *at);
        touched.dedup_by_key(|(at, _)| *at);
        for (at, count) in touched {
            let total = &mut self.totals[at];
            if total.count != count {
                total.sequence = self.cursor.sequence.0;
            }
        }
    }

    /// Makes a place for a target that is new.
    fn know(&mut self, target: &TargetId) {
        if let Err(at) = self.place(target) {
            self.totals.insert(at, Total { target: target.clone(), count: 0, sequence: 0 });
        }
    }

    fn place(&self, target: &TargetId) -> Result<usize, usize> {
        self.totals.binary_search_by(|total| total.target.cmp(target))
    }

    /// What one of `routers` routers is told: what changed, or nothing if it was told a moment ago.
    pub fn tell(
        &mut self,
        now_ms: u64,
        router: &DaemonId,
        cursor: FeedCursor,
        routers: usize,
    ) -> Changes {
        let pause_ms = (routers as u64 * PAUSE_MS_PER_ROUTER).min(MAX_PAUSE_MS);
        let place = self.pauses.binary_search_by(|(known, _)| known.cmp(router));
        let is_early = place.is_ok_and(|at| now_ms < self.pauses[at].1 + pause_ms);
        if is_early && cursor.term == self.cursor.term {
            return Changes::none(cursor);
        }
        match place {
            Ok(at) => self.pauses[at].1 = now_ms,
            Err(at) => self.pauses.insert(at, (router.clone(), now_ms)),
        }
        self.since(cursor)
    }

    /// What changed since a follower was told.
    pub fn since(&self, cursor: FeedCursor) -> Changes {
        let is_known = cursor.term == self.cursor.term && cursor <= self.cursor;
        let is_whole = !is_known || cursor.sequence.0 <= self.forgotten;
        let is_told = |total: &&Total| match is_whole {
            true => total.count > 0,
            false => total.sequence > cursor.sequence.0,
        };
        let totals = self.totals.iter().filter(is_told);
        let totals = totals.map(|total| (total.target.clone(), total.count)).collect();
        Changes { cursor: self.cursor, is_whole, totals }
    }
}

/// A follower's copy of the totals.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Sorted by target.
    totals: Vec<(TargetId, u32)>,
}

impl Totals {
    /// Takes what changed.
    pub fn take(&mut self, changes: &Changes) {
        if changes.is_whole {
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
