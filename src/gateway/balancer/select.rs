//! Which target a request is sent to.

use super::costs::CostContext;
use super::{Balancer, KnownTarget};
use crate::gateway::availability::Availability;
use crate::gateway::choice::{Candidates, PermitUse, TargetChoice, TargetQuery};
use crate::ids::TargetId;
use crate::membership::table::TargetEntry;
use crate::rate_limit::TargetLife;
use crate::rate_limit::permits::Gate;
use crate::slot_lease::pool;

impl Balancer {
    /// Chooses the target with the lowest cost for a request that does not wait for permits.
    pub fn choose(&self, now_ms: u64, query: &TargetQuery<'_>) -> TargetChoice {
        self.choose_with(now_ms, query, PermitUse::default())
    }

    /// Chooses the target with the lowest cost for a request.
    pub fn choose_with(
        &self,
        now_ms: u64,
        query: &TargetQuery<'_>,
        permit_use: PermitUse<'_>,
    ) -> TargetChoice {
        let mut candidates = Candidates::new(now_ms, permit_use.may_await);
        let mut serving = Vec::new();
        for (at, target) in self.targets.iter().enumerate() {
            if !target.serves(query.service)
                || !query.continuation.admits(&target.entry)
                || self.is_leaving(&target.entry)
            {
                continue;
            }
            if query.model.is_some_and(|model| !target.has_model(now_ms, model)) {
                candidates.add_without_model();
                continue;
            }
            serving.push(at);
        }
        let context = self.cost_context(now_ms, query, &serving);
        for at in serving {
            self.add_candidate(&mut candidates, now_ms, at, query, permit_use, &context);
        }
        candidates.choose()
    }

    /// Adds a target that could serve a request to its candidates.
    fn add_candidate(
        &self,
        candidates: &mut Candidates,
        now_ms: u64,
        at: usize,
        query: &TargetQuery<'_>,
        permit_use: PermitUse<'_>,
        context: &CostContext,
    ) {
        let target = &self.targets[at];
        let availability =
            self.availability.get(now_ms, &target.entry.target, target.entry.incarnation);
        if let Availability::Paused { until_ms } = availability {
            return candidates.add_paused(until_ms);
        }
        if availability == (Availability::SlowStart { credits: 0 }) {
            return candidates.add_full();
        }
        match self.lease_gate(now_ms, target, permit_use) {
            pool::Gate::Unleased if !self.has_room(target, query, context) => {
                candidates.add_full();
            }
            pool::Gate::Unleased | pool::Gate::Open => {
                let gate = self.gate(now_ms, &target.entry, permit_use);
                candidates.add(at, self.cost_ms(now_ms, target, query, context), gate);
            }
            pool::Gate::Closed { ask_ms, rate_per_ms } => {
                let claimed = claimed(permit_use, &target.life());
                let wait_ms = f64::from(claimed) * context.request_ms();
                let cost = self.cost_ms(now_ms, target, query, context) + wait_ms;
                candidates.add_unleased(at, cost, claimed, ask_ms, rate_per_ms);
            }
        }
    }

    /// Whether this router has a free slot at a target, after the requests before this one.
    fn lease_gate(
        &self,
        now_ms: u64,
        target: &KnownTarget,
        permit_use: PermitUse<'_>,
    ) -> pool::Gate {
        if self.leases.is_empty() {
            return pool::Gate::Unleased;
        }
        let life = target.life();
        self.leases.gate(now_ms, &life, target.in_use(), claimed(permit_use, &life))
    }

    /// Whether the rate limit of a target allows one more request, after those before it.
    fn gate(&self, now_ms: u64, entry: &TargetEntry, permit_use: PermitUse<'_>) -> Gate {
        if self.permits.is_empty() {
            return Gate::Unlimited;
        }
        let life = entry.life();
        self.permits.gate(now_ms, &life, claimed(permit_use, &life))
    }

    /// Whether a target other than `target` could take the request now.
    pub fn has_other_target(
        &self,
        now_ms: u64,
        query: &TargetQuery<'_>,
        target: &TargetId,
    ) -> bool {
        match self.choose(now_ms, query) {
            TargetChoice::Selected(at) => self.targets[at].entry.target != *target,
            TargetChoice::AwaitPermit { .. }
            | TargetChoice::AwaitSlot { .. }
            | TargetChoice::AllFull
            | TargetChoice::AllLimited { .. }
            | TargetChoice::AllPaused { .. }
            | TargetChoice::NoReplica
            | TargetChoice::NoTarget => false,
        }
    }

    /// When a caller may return that is refused because all targets are limited.
    pub fn next_return_ms(&mut self, now_ms: u64, query: &TargetQuery<'_>) -> Option<u64> {
        let could_serve = |target: &&KnownTarget| {
            target.serves(query.service)
                && query.continuation.admits(&target.entry)
                && !self.is_leaving(&target.entry)
                && query.model.is_none_or(|model| target.has_model(now_ms, model))
        };
        let clears_ms = |target: &KnownTarget| {
            let life = target.life();
            match self.permits.gate(now_ms, &life, 0) {
                Gate::Closed { clears_ms, .. } => Some((clears_ms, life)),
                Gate::Unlimited | Gate::Permit => None,
            }
        };
        let limited = self.targets.iter().filter(could_serve).filter_map(clears_ms);
        let (_, life) = limited.min()?;
        self.permits.next_return_ms(now_ms, &life)
    }
}

/// Requests that count on a permit or a slot of a target before this one.
fn claimed(permit_use: PermitUse<'_>, life: &TargetLife) -> u32 {
    permit_use.claims.map_or(0, |claims| claims.get(life).count)
}
