//! What targets last said about a limit of theirs.
//!
//! Responses overtake each other: one that was written before a limit may be read after one that
//! names it. A statement was made at some time between the request and the read of the response.
//! Of two whose order this leaves open, the stricter one holds.

use std::fmt;

use super::{Statement, TargetLife};
use crate::ids::{Incarnation, TargetId};
use crate::units::PerSecond;

/// A limit that a target names in its responses.
pub trait Limit: Copy + PartialEq + fmt::Debug {
    /// Rises the less the limit allows.
    fn strictness(self) -> f64;
}

impl Limit for PerSecond {
    fn strictness(self) -> f64 {
        -self.0
    }
}

/// Upper bound of targets whose statements are kept. The one that was heard the longest ago is
/// dropped first.
pub const MAX_TARGETS: usize = 4_096;

/// When a statement was made: some time between these two, by the clock of whoever read it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatedAt {
    /// When the request was sent.
    pub sent_ms: u64,
    /// When the head of its response was read.
    pub read_ms: u64,
}

impl StatedAt {
    /// Age of the request when its response was read, in milliseconds.
    pub fn age_ms(self) -> u64 {
        self.read_ms.saturating_sub(self.sent_ms)
    }
}

#[derive(Clone, Debug)]
struct Entry<L> {
    life: TargetLife,
    /// `None`: the target named a limit before and does no longer.
    limit: Option<L>,
    at: StatedAt,
}

/// The last statements of targets that have ever named a limit, sorted by target.
#[derive(Clone, Debug)]
pub struct Statements<L = PerSecond> {
    entries: Vec<Entry<L>>,
}

impl<L> Default for Statements<L> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<L: Limit> Statements<L> {
    /// Whether no target has ever named a limit.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The targets that have ever named a limit.
    pub fn lives(&self) -> impl Iterator<Item = &TargetLife> {
        self.entries.iter().map(|entry| &entry.life)
    }

    /// The limit of this incarnation of a target, if it names one.
    pub fn limit(&self, target: &TargetId, incarnation: Incarnation) -> Option<L> {
        let entry = &self.entries[self.position(target).ok()?];
        entry.limit.filter(|_| entry.life.incarnation == incarnation)
    }

    /// When this incarnation of a target made its last statement.
    pub fn stated_at(&self, life: &TargetLife) -> Option<StatedAt> {
        let entry = &self.entries[self.position(&life.target).ok()?];
        (entry.life == *life).then_some(entry.at)
    }

    /// Records a statement. Returns whether the limit of this incarnation changed.
    pub fn record(&mut self, life: &TargetLife, statement: Statement<L>, at: StatedAt) -> bool {
        match statement {
            Statement::Unknown => false,
            Statement::Unlimited => self.record_limit(life, None, at),
            Statement::Limited(limit) => self.record_limit(life, Some(limit), at),
        }
    }

    /// Records that a target named this limit, or none. Returns whether the limit changed.
    pub fn record_limit(&mut self, life: &TargetLife, limit: Option<L>, at: StatedAt) -> bool {
        let place = match self.position(&life.target) {
            Ok(place) => place,
            Err(_) if limit.is_none() => return false,
            Err(place) => {
                self.entries.insert(place, Entry { life: life.clone(), limit, at });
                self.drop_oldest();
                return true;
            }
        };
        let entry = &mut self.entries[place];
        if entry.life.incarnation > life.incarnation {
            return false;
        }
        if entry.life.incarnation < life.incarnation {
            *entry = Entry { life: life.clone(), limit, at };
            return limit.is_some();
        }
        let is_earlier = at.read_ms < entry.at.sent_ms;
        let is_later = at.sent_ms > entry.at.read_ms;
        let is_looser = strictness(limit) < strictness(entry.limit);
        if is_earlier || (is_looser && !is_later) {
            return false;
        }
        let is_changed = entry.limit != limit;
        entry.limit = limit;
        if at.read_ms > entry.at.read_ms {
            entry.at = at;
        }
        is_changed
    }

    /// Replaces a statement that was made before `until_ms` by one that takes it into account.
    /// Returns whether the limit changed.
    pub fn replace(
        &mut self,
        life: &TargetLife,
        limit: Option<L>,
        at: StatedAt,
        until_ms: u64,
    ) -> bool {
        let Ok(place) = self.position(&life.target) else {
            return self.record_limit(life, limit, at);
        };
        let entry = &mut self.entries[place];
        if entry.life != *life || entry.at.read_ms > until_ms {
            return self.record_limit(life, limit, at);
        }
        let is_changed = entry.limit != limit;
        *entry = Entry { life: life.clone(), limit, at };
        is_changed
    }

    fn position(&self, target: &TargetId) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.life.target.cmp(target))
    }

    fn drop_oldest(&mut self) {
        if self.entries.len() <= MAX_TARGETS {
            return;
        }
        let oldest = self.entries.iter().enumerate().min_by_key(|(_, entry)| entry.at.read_ms);
        if let Some((at, _)) = oldest {
            self.entries.remove(at);
        }
    }
}

/// Rises the fewer requests a limit allows.
fn strictness<L: Limit>(limit: Option<L>) -> f64 {
    limit.map_or(f64::NEG_INFINITY, Limit::strictness)
}
