//! Restrictions that targets announce in their responses: leaving, or paused for some time.
//!
//! Worst-case load: a release under full load while no leader is reachable, and overloaded targets
//! that ask for a pause. A restriction overrides the target table for as long as that incarnation
//! of the target lasts. When a pause is over, the target gets one request first (slow start), and
//! more as it answers.

use crate::ids::{Incarnation, TargetId};

/// Upper bound of remembered restrictions. The oldest is dropped first.
pub const MAX_RESTRICTED_TARGETS: usize = 2_048;
/// Requests that a target may get right after a pause.
const INITIAL_CREDITS: u32 = 1;
/// Further requests that a target may get for each response during slow start.
const CREDITS_PER_ANSWER: u32 = 2;
/// Number of credits at which slow start ends.
const UNRESTRICTED_CREDITS: u32 = 16;

/// Whether a target accepts requests of this router, according to its own responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The target has announced no restriction.
    Available,
    /// The target is leaving: it finishes running requests and accepts no new ones.
    Leaving,
    /// The target asked for no requests until some time.
    Paused {
        /// When the pause ends.
        until_ms: u64,
    },
    /// The pause is over; the number of requests is limited until the target answers them.
    SlowStart {
        /// Requests that the target may get now.
        credits: u32,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restriction {
    Leaving,
    Pause { until_ms: u64, credits: u32 },
}

#[derive(Clone, Debug)]
struct RestrictedTarget {
    target: TargetId,
    incarnation: Incarnation,
    restriction: Restriction,
    /// Order in which restrictions were recorded, to find the oldest.
    sequence: u64,
}

/// The restrictions of all targets, sorted by target.
#[derive(Clone, Debug, Default)]
pub struct AvailabilityMap {
    entries: Vec<RestrictedTarget>,
    last_sequence: u64,
}

impl AvailabilityMap {
    /// Whether no restriction is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The availability of this incarnation of a target.
    pub fn get(&self, now_ms: u64, target: &TargetId, incarnation: Incarnation) -> Availability {
        let position = self.position(target);
        let Some(entry) = position
            .ok()
            .map(|at| &self.entries[at])
            .filter(|entry| entry.incarnation == incarnation)
        else {
            return Availability::Available;
        };
        match entry.restriction {
            Restriction::Leaving => Availability::Leaving,
            Restriction::Pause { until_ms, .. } if now_ms < until_ms => {
                Availability::Paused { until_ms }
            }
            Restriction::Pause { credits, .. } => Availability::SlowStart { credits },
        }
    }

    /// Whether this incarnation of a target announced that it is leaving.
    pub fn is_leaving(&self, target: &TargetId, incarnation: Incarnation) -> bool {
        self.restriction(target, incarnation) == Some(Restriction::Leaving)
    }

    /// Records that a target is leaving. Returns whether this is new.
    pub fn record_leaving(&mut self, target: &TargetId, incarnation: Incarnation) -> bool {
        match self.restriction(target, incarnation) {
            Some(Restriction::Leaving) => false,
            Some(Restriction::Pause { .. }) | None => {
                self.set_restriction(target, incarnation, Restriction::Leaving)
            }
        }
    }

    /// Records that a target asked for no requests until `until_ms`. The latest of several times
    /// applies. Returns whether the restriction changed.
    pub fn record_pause(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        until_ms: u64,
    ) -> bool {
        match self.restriction(target, incarnation) {
            Some(Restriction::Leaving) => false,
            Some(Restriction::Pause { until_ms: known_ms, .. }) if until_ms <= known_ms => false,
            Some(Restriction::Pause { .. }) | None => self.set_restriction(
                target,
                incarnation,
                Restriction::Pause { until_ms, credits: INITIAL_CREDITS },
            ),
        }
    }

    /// Takes one slow-start credit for a request assigned to a target.
    pub fn start_request(&mut self, now_ms: u64, target: &TargetId, incarnation: Incarnation) {
        self.update_credits(now_ms, target, incarnation, |credits| credits.saturating_sub(1));
    }

    /// Adds slow-start credits for the response to a request that was assigned at `started_ms`.
    pub fn record_answer(&mut self, started_ms: u64, target: &TargetId, incarnation: Incarnation) {
        self.update_credits(started_ms, target, incarnation, |credits| {
            credits + CREDITS_PER_ANSWER
        });
    }

    /// Returns the slow-start credit of a request that was assigned at `started_ms` and got no
    /// response.
    pub fn record_no_answer(
        &mut self,
        started_ms: u64,
        target: &TargetId,
        incarnation: Incarnation,
    ) {
        self.update_credits(started_ms, target, incarnation, |credits| credits + 1);
    }

    /// The targets that announced that they are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = (&TargetId, Incarnation)> {
        let leaving = self.entries.iter().filter(|entry| entry.restriction == Restriction::Leaving);
        leaving.map(|entry| (&entry.target, entry.incarnation))
    }

    /// Changes the slow-start credits of a target for a request that was assigned at `started_ms`.
    /// Requests that were assigned before the end of the pause are ignored.
    fn update_credits(
        &mut self,
        started_ms: u64,
        target: &TargetId,
        incarnation: Incarnation,
        change: impl FnOnce(u32) -> u32,
    ) {
        let Ok(at) = self.position(target) else { return };
        let entry = &mut self.entries[at];
        let Restriction::Pause { until_ms, credits } = entry.restriction else { return };
        if entry.incarnation != incarnation || started_ms < until_ms {
            return;
        }
        let credits = change(credits);
        if credits >= UNRESTRICTED_CREDITS {
            self.entries.remove(at);
        } else {
            entry.restriction = Restriction::Pause { until_ms, credits };
        }
    }

    fn restriction(&self, target: &TargetId, incarnation: Incarnation) -> Option<Restriction> {
        let entry = &self.entries[self.position(target).ok()?];
        (entry.incarnation == incarnation).then_some(entry.restriction)
    }

    /// Sets the restriction of an incarnation, unless a later incarnation is known. Returns whether
    /// it was set.
    fn set_restriction(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        restriction: Restriction,
    ) -> bool {
        let position = self.position(target);
        if position.is_ok_and(|at| self.entries[at].incarnation > incarnation) {
            return false;
        }
        self.last_sequence += 1;
        let entry = RestrictedTarget {
            target: target.clone(),
            incarnation,
            restriction,
            sequence: self.last_sequence,
        };
        match position {
            Ok(at) => self.entries[at] = entry,
            Err(at) => self.entries.insert(at, entry),
        }
        if self.entries.len() > MAX_RESTRICTED_TARGETS {
            self.forget_oldest();
        }
        true
    }

    fn position(&self, target: &TargetId) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.target.cmp(target))
    }

    fn forget_oldest(&mut self) {
        let entry = self.entries.iter().enumerate();
        if let Some((at, _)) = entry.min_by_key(|(_, entry)| entry.sequence) {
            self.entries.remove(at);
        }
    }
}
