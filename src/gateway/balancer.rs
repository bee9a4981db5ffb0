//! Load balancer of one router: tracks the known targets and chooses one for each request.
//!
//! Worst-case load: a burst of requests for one model at all routers at the same time, next to
//! targets that have just crashed, hang, or answer with errors.

use crate::coordinator::loads;
use crate::gateway::availability::{Availability, AvailabilityMap};
use crate::gateway::choice::{Candidates, PermitUse};
use crate::ids::{Incarnation, ModelRef, ServiceName, SoftwareVersion, TargetId, Zone};
use crate::membership::table::{Standing, TargetEntry};
use crate::placement::swap::demand::RunningRequests;
use crate::rate_limit::TargetLife;
use crate::rate_limit::permits::{Gate, PermitId, PermitPool};
use crate::slot_lease::message::{LeaseRequest, RankCount};
use crate::slot_lease::pool::{self, InUse, LeasePool};

pub use crate::gateway::choice::{TargetChoice, TargetQuery};

/// How long a target is avoided after its first failure. The time doubles with each further
/// failure.
const INITIAL_AVOID_MS: u64 = 400;
/// Upper bound of the time for which a failing target is avoided.
const MAX_AVOID_MS: u64 = 5_000;
/// How long a target's response that it lacks a model overrides tables that list the model there.
/// This spans a few announcements of the target.
const MISSING_MODEL_MS: u64 = 1_500;
/// Cost of a target in another availability zone, in requests in flight.
const ZONE_COST: f64 = 0.6;
/// Cost of each recent failure of a target, in requests in flight.
const FAILURE_COST: f64 = 2.0;
/// Prompt prefixes that are remembered together with the target that read them.
const MAX_CACHED_PROMPTS: usize = 512;
/// Unread prompt tokens that cost as much as one request in flight: while a target reads a prompt,
/// the events of all its other streams are delayed.
const TOKENS_AS_REQUEST: f64 = 600.0;
/// Targets whose loads differ by less than this are treated as equal and chosen between at random,
/// because the requests that other routers sent most recently are not known yet.
const RANDOM_SPREAD: f64 = 1.2;
/// Part of a pause by which routers spread out their return to a paused target.
const RESUME_JITTER: f64 = 0.1;
/// Upper bound of the time by which routers spread out their return.
const MAX_RESUME_JITTER_MS: f64 = 500.0;
/// Cost reduction for a target that has the prompt prefix cached, in requests in flight.
const CACHED_PROMPT_GAIN: f64 = 1.5;

/// A target with this router's view of its load and health.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// The target's entry in the target table, as published by the leader.
    pub entry: TargetEntry,
    /// Requests of this router in flight, by model.
    running_by_model: Vec<(Option<ModelRef>, u32)>,
    own_requests: u32,
    /// Requests of all other routers in flight, as last published by the leader.
    other_requests: u32,
    /// Prompt tokens of this router's requests that have not had a first event yet.
    unread_tokens: u64,
    failures: u32,
    avoid_until_ms: u64,
    /// Models that the target reported as not loaded although the table lists them, and until when
    /// the report counts.
    missing_models: Vec<(ModelRef, u64)>,
}

impl KnownTarget {
    fn new(entry: TargetEntry) -> Self {
        Self {
            entry,
            running_by_model: Vec::new(),
            own_requests: 0,
            other_requests: 0,
            unread_tokens: 0,
            failures: 0,
            avoid_until_ms: 0,
            missing_models: Vec::new(),
        }
    }

    /// Known requests in flight, over all routers.
    pub fn in_flight(&self) -> u32 {
        self.own_requests + self.other_requests
    }

    /// The incarnation of the target.
    pub fn life(&self) -> TargetLife {
        self.entry.life()
    }

    /// Requests of this router at the target.
    fn in_use(&self) -> InUse {
        InUse { announced: self.entry.slots.max(1), running: self.own_requests }
    }

    fn serves(&self, service: &ServiceName) -> bool {
        self.entry.services.first() == Some(service)
    }

    fn is_listed_with(&self, model: &ModelRef) -> bool {
        self.entry.replicas.binary_search_by(|replica| replica.model.cmp(model)).is_ok()
    }

    fn has_model(&self, now_ms: u64, model: &ModelRef) -> bool {
        let is_missing =
            |(missing, until_ms): &(ModelRef, u64)| missing == model && now_ms < *until_ms;
        self.is_listed_with(model) && !self.missing_models.iter().any(is_missing)
    }

    /// Applies a newer table entry of the same incarnation. A missing model that the new entry does
    /// not list may be loaded again later, so its mark is removed.
    fn set_entry(&mut self, entry: &TargetEntry) {
        self.entry = entry.clone();
        let missing_models = std::mem::take(&mut self.missing_models);
        self.missing_models =
            missing_models.into_iter().filter(|(model, _)| self.is_listed_with(model)).collect();
    }

    fn has_room(&self) -> bool {
        self.in_flight() < self.entry.slots.max(1)
    }
}

/// The targets known to one router, and the choice among them.
#[derive(Clone, Debug)]
pub struct Balancer {
    zone: Zone,
    /// Sorted by id.
    targets: Vec<KnownTarget>,
    /// Prompt prefixes and the targets that read them, oldest first.
    cached_prompts: std::collections::VecDeque<(u64, TargetId)>,
    totals: loads::LoadTotals,
    availability: AvailabilityMap,
    permits: PermitPool,
    leases: LeasePool,
}

impl Balancer {
    /// Creates a balancer without targets for a router in `zone`.
    pub fn new(zone: Zone) -> Self {
        let cached_prompts = std::collections::VecDeque::new();
        let (totals, availability) = (loads::LoadTotals::default(), AvailabilityMap::default());
        let (permits, leases) = (PermitPool::default(), LeasePool::default());
        Self { zone, targets: Vec::new(), cached_prompts, totals, availability, permits, leases }
    }

    /// The rate limits of targets, and the permits of this router.
    pub fn permits(&self) -> &PermitPool {
        &self.permits
    }

    /// The same, to be changed.
    pub fn permits_mut(&mut self) -> &mut PermitPool {
        &mut self.permits
    }

    /// The brittle targets, and the slots that this router leases there.
    pub fn leases(&self) -> &LeasePool {
        &self.leases
    }

    /// The same, to be changed.
    pub fn leases_mut(&mut self) -> &mut LeasePool {
        &mut self.leases
    }

    /// What to ask the leader now about slots of brittle targets, while these requests wait for them.
    pub fn take_lease_request(
        &mut self,
        now_ms: u64,
        waiting: impl Fn(&TargetLife) -> Vec<RankCount>,
    ) -> Option<LeaseRequest> {
        let targets = &self.targets;
        let in_use = |life: &TargetLife| {
            let at = targets.binary_search_by(|known| known.entry.target.cmp(&life.target));
            let known = at.ok().map(|at| &targets[at]);
            known.filter(|known| known.life() == *life).map(KnownTarget::in_use).unwrap_or_default()
        };
        self.leases.take_request(now_ms, in_use, waiting)
    }

    /// The targets, sorted by id.
    pub fn targets(&self) -> &[KnownTarget] {
        &self.targets
    }

    /// Whether a service has targets of a software version.
    pub fn has_software(&self, service: &ServiceName, software: &SoftwareVersion) -> bool {
        self.targets.iter().any(|target| {
            target.entry.software.as_ref() == Some(software)
                && target.entry.services.contains(service)
        })
    }

    /// The target at an index returned by [`Balancer::choose`].
    pub fn target(&self, index: usize) -> &KnownTarget {
        &self.targets[index]
    }

    /// Replaces the target list by the entries of a table. Keeps the state of targets whose
    /// incarnation is unchanged.
    pub fn set_entries(&mut self, entries: &[TargetEntry]) {
        let mut old = std::mem::take(&mut self.targets);
        for entry in entries {
            let known = old.iter().position(|target| {
                target.entry.target == entry.target && target.entry.incarnation == entry.incarnation
            });
            let mut target = match known {
                Some(at) => old.swap_remove(at),
                None => KnownTarget::new(entry.clone()),
            };
            target.set_entry(entry);
            self.targets.push(target);
        }
        self.targets.sort_unstable_by(|a, b| a.entry.target.cmp(&b.entry.target));
    }

    /// Applies changes of the number of requests in flight at each target over all routers.
    pub fn apply_load_totals(&mut self, changes: &loads::LoadChanges) {
        self.totals.apply(changes);
        let totals = self.totals.all();
        for target in &mut self.targets {
            let found = totals.binary_search_by(|(id, _)| id.cmp(&target.entry.target));
            let total = found.map_or(0, |at| totals[at].1);
            target.other_requests = total.saturating_sub(target.own_requests);
        }
    }

    fn position(&self, target: &TargetId) -> Option<usize> {
        self.targets.binary_search_by(|known| known.entry.target.cmp(target)).ok()
    }

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
            self.add_candidate(&mut candidates, now_ms, at, query, permit_use);
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
            pool::Gate::Unleased if !target.has_room() => candidates.add_full(),
            pool::Gate::Unleased | pool::Gate::Open => {
                let gate = self.gate(now_ms, &target.entry, permit_use);
                candidates.add(at, self.cost(now_ms, target, query), gate);
            }
            pool::Gate::Closed { ask_ms, rate_per_ms } => {
                let claimed = claimed(permit_use, &target.life());
                let cost = self.cost(now_ms, target, query);
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

    /// Whether a target is leaving according to the table or to its own responses.
    fn is_leaving(&self, entry: &TargetEntry) -> bool {
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

    fn cost(&self, now_ms: u64, target: &KnownTarget, query: &TargetQuery<'_>) -> f64 {
        let entry = &target.entry;
        let mut cost = f64::from(target.in_flight());
        cost += target.unread_tokens as f64 / TOKENS_AS_REQUEST;
        cost += RANDOM_SPREAD * entry.target.hash_fraction(query.salt);
        if entry.availability_zone != self.zone {
            cost += ZONE_COST;
        }
        cost += f64::from(target.failures) * FAILURE_COST;
        let is_avoided = query.avoided_targets.contains(&entry.target);
        let is_suspect = entry.standing == Standing::Suspect || now_ms < target.avoid_until_ms;
        // The penalty exceeds all other costs: any target that is neither avoided nor suspect is
        // chosen first.
        let penalty = f64::from(entry.slots.max(1)) * 4.0 + 1_000.0;
        cost += penalty * f64::from(u32::from(is_suspect) + 2 * u32::from(is_avoided));
        let is_cached =
            |prompt_prefix| self.cached_prompts.contains(&(prompt_prefix, entry.target.clone()));
        if query.prompt_prefix.is_some_and(is_cached) {
            cost -= CACHED_PROMPT_GAIN;
        }
        cost
    }

    /// Records that a request with this many prompt tokens was assigned to a target. Returns its
    /// permit if the target is limited.
    pub fn start_request(
        &mut self,
        now_ms: u64,
        index: usize,
        model: Option<&ModelRef>,
        prompt_tokens: u64,
    ) -> Option<PermitId> {
        let target = &mut self.targets[index];
        self.availability.start_request(now_ms, &target.entry.target, target.entry.incarnation);
        target.own_requests += 1;
        target.unread_tokens += prompt_tokens;
        match target.running_by_model.iter_mut().find(|(known, _)| known.as_ref() == model) {
            Some((_, count)) => *count += 1,
            None => target.running_by_model.push((model.cloned(), 1)),
        }
        let (target, incarnation) = (&target.entry.target, target.entry.incarnation);
        self.permits.reserve(now_ms, target, incarnation)
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
            let (id, incarnation) = (target.entry.target.clone(), target.entry.incarnation);
            let life = TargetLife { target: id, incarnation };
            match self.permits.gate(now_ms, &life, 0) {
                Gate::Closed { clears_ms, .. } => Some((clears_ms, life)),
                Gate::Unlimited | Gate::Permit => None,
            }
        };
        let limited = self.targets.iter().filter(could_serve).filter_map(clears_ms);
        let (_, life) = limited.min()?;
        self.permits.next_return_ms(now_ms, &life)
    }

    /// Removes prompt tokens from the unread count, once the target has read them or the request
    /// has ended.
    pub fn record_prompt_read(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        prompt_tokens: u64,
    ) {
        let Some(at) = self.position(target) else { return };
        let target = &mut self.targets[at];
        if target.entry.incarnation == incarnation {
            target.unread_tokens = target.unread_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Records that a request at a target has ended.
    pub fn finish_request(
        &mut self,
        target: &TargetId,
        incarnation: Incarnation,
        model: Option<&ModelRef>,
    ) {
        let Some(at) = self.position(target) else { return };
        let target = &mut self.targets[at];
        if target.entry.incarnation != incarnation {
            return;
        }
        target.own_requests = target.own_requests.saturating_sub(1);
        if let Some((_, count)) =
            target.running_by_model.iter_mut().find(|(m, _)| m.as_ref() == model)
        {
            *count = count.saturating_sub(1);
        }
        target.running_by_model.retain(|(_, count)| *count > 0);
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

    /// Remembers that a target has read a prompt prefix and may have it cached.
    pub fn remember_prompt(&mut self, prompt_prefix: u64, target: &TargetId) {
        self.cached_prompts.retain(|(known, at)| *known != prompt_prefix || at != target);
        self.cached_prompts.push_back((prompt_prefix, target.clone()));
        if self.cached_prompts.len() > MAX_CACHED_PROMPTS {
            self.cached_prompts.pop_front();
        }
    }

    /// The requests of this router in flight at each target, by model.
    pub fn running(&self) -> Vec<RunningRequests> {
        let all = self.targets.iter().flat_map(|target| {
            target.running_by_model.iter().map(|(model, count)| RunningRequests {
                target: target.entry.target.clone(),
                model: model.clone(),
                count: *count,
            })
        });
        all.collect()
    }
}

/// Requests that count on a permit or a slot of a target before this one.
fn claimed(permit_use: PermitUse<'_>, life: &TargetLife) -> u32 {
    permit_use.claims.map_or(0, |claims| claims.get(life).count)
}
