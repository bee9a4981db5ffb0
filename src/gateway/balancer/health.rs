//! What targets say of themselves in answers, and how requests at them end.

use super::{Balancer, KnownTarget};
use crate::gateway::availability::Availability;
use crate::ids::{Incarnation, ModelRef, ServiceName, TargetId};
use crate::membership::table::{Standing, TargetEntry};
use crate::rate_limit::permits::PermitId;

/// How long a target is avoided after its first failure. The time doubles with each further
/// failure.
const INITIAL_AVOID_MS: u64 = 400;
/// Upper bound of the time for which a failing target is avoided.
const MAX_AVOID_MS: u64 = 5_000;
/// How long a target's response that it lacks a model overrides tables that list the model there.
/// This spans a few announcements of the target.
const MISSING_MODEL_MS: u64 = 1_500;
/// Part of a pause by which routers spread out their return to a paused target.
const RESUME_JITTER: f64 = 0.1;
/// Upper bound of the time by which routers spread out their return.
const MAX_RESUME_JITTER_MS: f64 = 500.0;

impl Balancer {
    /// Whether a target is leaving according to the table or to its own responses.
    pub(super) fn is_leaving(&self, entry: &TargetEntry) -> bool {
        entry.standing == Standing::Leaving
            || self.availability.is_leaving(&entry.target, entry.incarnation)
    }

    /// Whether a request may still be sent to a target that was chosen earlier, with `permit` if
    /// it was limited then. The permit is used up. While the connection was opened, the target may
    /// have reported that it is leaving, paused or limited, or the lease of its slots may have run out.
    pub fn begin_send(
        &mut self,
        now_ms: u64,
        target: &TargetId,
        incarnation: Incarnation,
        permit: Option<PermitId>,
    ) -> bool {
        if !self.can_send(now_ms, target, incarnation) {
            return false;
        }
        if let Some(at) = self.position(target)
            && self.targets[at].entry.incarnation == incarnation
        {
            let known = &self.targets[at];
            if !self.leases.may_send(now_ms, &known.life(), known.in_use()) {
                return false;
            }
        }
        match permit {
            Some(permit) => self.permits.spend(now_ms, target, permit),
            None => self.permits.limit(target, incarnation).is_none(),
        }
    }

    /// Whether a target that was chosen earlier is neither leaving nor paused.
    pub fn can_send(&self, now_ms: u64, target: &TargetId, incarnation: Incarnation) -> bool {
        let is_listed_leaving = self.position(target).is_some_and(|at| {
            let entry = &self.targets[at].entry;
            entry.incarnation == incarnation && entry.standing == Standing::Leaving
        });
        match self.availability.get(now_ms, target, incarnation) {
            Availability::Available | Availability::SlowStart { .. } => !is_listed_leaving,
            Availability::Leaving | Availability::Paused { .. } => false,
        }
    }

    /// Whether a target may be sent a request that no caller waits for: it is neither brittle, nor paused or
    /// leaving, nor does it name a rate limit.
    pub fn may_probe(&self, now_ms: u64, target: &TargetId, incarnation: Incarnation) -> bool {
        self.can_send(now_ms, target, incarnation)
            && self.leases.limit(target, incarnation).is_none()
            && self.permits.limit(target, incarnation).is_none()
    }

    /// Records that a target asked for no requests for `pause_ms`. Returns whether the restriction
    /// changed.
    pub fn record_pause(
        &mut self,
        now_ms: u64,
        target: &TargetId,
        incarnation: Incarnation,
        pause_ms: u64,
        salt: u64,
    ) -> bool {
        let spread_ms = (pause_ms as f64 * RESUME_JITTER).min(MAX_RESUME_JITTER_MS);
        let jitter_ms = spread_ms * target.hash_fraction(salt);
        self.availability.record_pause(target, incarnation, now_ms + pause_ms + jitter_ms as u64)
    }

    /// Counts the targets of a service that are leaving or paused according to their own responses,
    /// whatever the table shows.
    pub fn count_unavailable(&self, now_ms: u64, service: &ServiceName) -> usize {
        if self.availability.is_empty() {
            return 0;
        }
        let of_service = self.targets.iter().filter(|target| target.serves(service));
        let is_unavailable = |target: &&KnownTarget| {
            let availability =
                self.availability.get(now_ms, &target.entry.target, target.entry.incarnation);
            matches!(availability, Availability::Leaving | Availability::Paused { .. })
        };
        of_service.filter(is_unavailable).count()
    }

    /// Records the response to a request that was assigned to the target at `started_ms`.
    pub fn record_answer(&mut self, started_ms: u64, target: &TargetId, incarnation: Incarnation) {
        self.availability.record_answer(started_ms, target, incarnation);
    }

    /// Records that a request that was assigned to the target at `started_ms` ended without a
    /// response.
    pub fn record_no_answer(
        &mut self,
        started_ms: u64,
        target: &TargetId,
        incarnation: Incarnation,
    ) {
        self.availability.record_no_answer(started_ms, target, incarnation);
    }

    /// Records that a target announced in a response that it is leaving. Returns whether this is
    /// new.
    pub fn record_leaving(&mut self, target: &TargetId, incarnation: Incarnation) -> bool {
        self.availability.record_leaving(target, incarnation)
    }

    /// Targets that announced in a response that they are leaving, while the table does not list
    /// them as leaving.
    pub fn unreported_leaving(&self) -> Vec<(TargetId, Incarnation)> {
        let is_unreported = |target: &TargetId, incarnation| {
            self.position(target).is_some_and(|at| {
                let entry = &self.targets[at].entry;
                entry.incarnation == incarnation && entry.standing != Standing::Leaving
            })
        };
        let leaving = self
            .availability
            .leaving()
            .filter(|(target, incarnation)| is_unreported(target, *incarnation));
        leaving.map(|(target, incarnation)| (target.clone(), incarnation)).collect()
    }

    /// Resets the failure count of a target after a successful response.
    pub fn record_success(&mut self, target: &TargetId) {
        if let Some(at) = self.position(target) {
            self.targets[at].failures = 0;
            self.targets[at].avoid_until_ms = 0;
        }
    }

    /// Records a failed request and avoids the target for a time that grows with each failure.
    pub fn record_failure(&mut self, now_ms: u64, target: &TargetId) {
        let Some(at) = self.position(target) else { return };
        let target = &mut self.targets[at];
        let avoid_ms = (INITIAL_AVOID_MS << target.failures.min(8)).min(MAX_AVOID_MS);
        target.failures = (target.failures + 1).min(8);
        target.avoid_until_ms = now_ms + avoid_ms;
    }

    /// Records that a target reported a model as not loaded although the table lists it.
    pub fn record_missing_model(&mut self, now_ms: u64, target: &TargetId, model: &ModelRef) {
        let Some(at) = self.position(target) else { return };
        let missing_models = &mut self.targets[at].missing_models;
        missing_models.retain(|(known, until_ms)| known != model && now_ms < *until_ms);
        missing_models.push((model.clone(), now_ms + MISSING_MODEL_MS));
    }
}
