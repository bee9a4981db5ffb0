//! Tracks the prompt prefixes that each target has cached, from its cache events.
//!
//! Events arrive late and with gaps, so the contents are only a hint. After a gap the prefixes of
//! the target are dropped and rebuilt from the events that follow.

use crate::ids::{Incarnation, TargetId};

/// Most prefixes kept for each target; the oldest are dropped.
const MAX_PREFIXES: usize = 4_096;

/// A hash of a prompt prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix(pub u64);

/// A change of a target's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A prefix was cached.
    Stored(Prefix),
    /// A prefix was dropped.
    Removed(Prefix),
    /// All prefixes were dropped.
    Cleared,
}

/// A cache event of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The target.
    pub target: TargetId,
    /// The incarnation of the target.
    pub incarnation: Incarnation,
    /// Increases by one with each event of an incarnation.
    pub sequence: u64,
    /// The change.
    pub change: Change,
}

/// Effect of an event on the map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The event followed the last one.
    Applied,
    /// Events were missed, so the known prefixes of the target were dropped first.
    Rebuilt,
    /// The event was known already, or is of an earlier incarnation.
    Ignored,
}

#[derive(Clone, Debug)]
struct Cache {
    target: TargetId,
    incarnation: Incarnation,
    sequence: u64,
    /// Oldest first.
    prefixes: std::collections::VecDeque<Prefix>,
}

/// Prefixes by target.
#[derive(Clone, Debug, Default)]
pub struct Map {
    caches: Vec<Cache>,
}

impl Map {
    /// Applies an event.
    pub fn apply(&mut self, event: &Event) -> Outcome {
        let place = self.caches.binary_search_by(|cache| cache.target.cmp(&event.target));
        let (at, is_new) = match place {
            Ok(at) => (at, false),
            Err(at) => {
                self.caches.insert(at, Cache::before(event));
                (at, true)
            }
        };
        let cache = &mut self.caches[at];
        let key = (event.incarnation, event.sequence);
        if !is_new && key <= (cache.incarnation, cache.sequence) {
            return Outcome::Ignored;
        }
        let follows =
            event.incarnation == cache.incarnation && event.sequence == cache.sequence + 1;
        if !follows {
            *cache = Cache::before(event);
        }
        cache.take(event);
        if follows { Outcome::Applied } else { Outcome::Rebuilt }
    }

    /// Removes a target.
    pub fn forget(&mut self, target: &TargetId) {
        self.caches.retain(|cache| cache.target != *target);
    }

    /// Whether `target` probably has `prefix` cached.
    pub fn is_likely(&self, target: &TargetId, prefix: Prefix) -> bool {
        let place = self.caches.binary_search_by(|cache| cache.target.cmp(target));
        place.is_ok_and(|at| self.caches[at].prefixes.contains(&prefix))
    }
}

impl Cache {
    /// An empty cache as of just before `event`.
    fn before(event: &Event) -> Self {
        Self {
            target: event.target.clone(),
            incarnation: event.incarnation,
            sequence: event.sequence.saturating_sub(1),
            prefixes: std::collections::VecDeque::new(),
        }
    }

    fn take(&mut self, event: &Event) {
        self.sequence = event.sequence;
        match event.change {
            Change::Stored(prefix) => {
                self.prefixes.retain(|known| *known != prefix);
                self.prefixes.push_back(prefix);
                if self.prefixes.len() > MAX_PREFIXES {
                    self.prefixes.pop_front();
                }
            }
            Change::Removed(prefix) => self.prefixes.retain(|known| *known != prefix),
            Change::Cleared => self.prefixes.clear(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_gap_in_events_drops_the_known_prefixes() {
        let target: TargetId = "t".parse().unwrap();
        let stored = |incarnation, sequence, prefix| Event {
            target: target.clone(),
            incarnation: Incarnation(incarnation),
            sequence,
            change: Change::Stored(Prefix(prefix)),
        };
        let cases = [
            (stored(1, 1, 10), Outcome::Applied, vec![10]),
            (stored(1, 2, 11), Outcome::Applied, vec![10, 11]),
            (stored(1, 2, 11), Outcome::Ignored, vec![10, 11]),
            (stored(1, 4, 13), Outcome::Rebuilt, vec![13]),
            (stored(1, 3, 12), Outcome::Ignored, vec![13]),
            (stored(2, 1, 20), Outcome::Rebuilt, vec![20]),
            (stored(1, 5, 14), Outcome::Ignored, vec![20]),
        ];
        let mut map = Map::default();
        for (event, outcome, known) in cases {
            assert_eq!(map.apply(&event), outcome, "{event:?}");
            for prefix in 10..=20 {
                let is_known = known.contains(&prefix);
                assert_eq!(map.is_likely(&target, Prefix(prefix)), is_known, "{event:?}");
            }
        }
    }
}
