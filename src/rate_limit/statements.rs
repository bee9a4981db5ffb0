//! What targets last said about their rate limits.
//!
//! Responses overtake each other: one that was written before a limit may be read after one that
//! names it. A stricter statement therefore holds at once, and a looser one only if its request was
//! sent after the last statement had been read.

use super::{Statement, TargetLife};
use crate::ids::{Incarnation, TargetId};
use crate::units::PerSecond;

/// Upper bound of targets whose statements are kept. The one that was heard the longest ago is
/// dropped first.
pub const MAX_TARGETS: usize = 4_096;

/// When a statement was made: some time between these two, by the clock of whoever read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedAt {
    /// When the request was sent.
    pub sent_ms: u64,
    /// When the head of its response was read.
    pub read_ms: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    life: TargetLife,
    /// `None`: the target named a limit before and does no longer.
    limit: Option<PerSecond>,
    at: StatedAt,
}

/// The last statements of targets that have ever named a limit, sorted by target.
#[derive(Clone, Debug, Default)]
pub struct Statements {
    entries: Vec<Entry>,
}

impl Statements {
    /// Whether no target has ever named a limit.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The limit of this incarnation of a target, if it names one.
    pub fn limit(&self, target: &TargetId, incarnation: Incarnation) -> Option<PerSecond> {
        let entry = &self.entries[self.position(target).ok()?];
        entry.limit.filter(|_| entry.life.incarnation == incarnation)
    }

    /// Records a statement. Returns whether the limit of this incarnation changed.
    pub fn record(&mut self, life: &TargetLife, statement: Statement, at: StatedAt) -> bool {
        let limit = match statement {
            Statement::Unknown => return false,
            Statement::Unlimited => None,
            Statement::Limited(limit) => Some(limit),
        };
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
        let is_looser = strictness(limit) < strictness(entry.limit);
        let is_later = match is_looser {
            true => at.sent_ms > entry.at.read_ms,
            false => at.read_ms >= entry.at.read_ms,
        };
        // A stricter statement that was overtaken may be old or new; the strict side is safe.
        if !is_later && (is_looser || strictness(limit) == strictness(entry.limit)) {
            return false;
        }
        let is_changed = entry.limit != limit;
        entry.limit = limit;
        if at.read_ms > entry.at.read_ms {
            entry.at = at;
        }
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
fn strictness(limit: Option<PerSecond>) -> f64 {
    limit.map_or(f64::NEG_INFINITY, |limit| -limit.0)
}
