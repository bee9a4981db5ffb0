//! Load balancer of one router: tracks the known targets and chooses one for each request.
//!
//! Worst-case load: a burst of requests for one model at all routers at the same time, next to
//! targets that have just crashed, hang, or answer with errors.

mod costs;
mod crowd;
mod health;
mod known_target;
mod select;

use crate::coordinator::loads;
use crate::coordinator::speeds::PublishedSpeeds;
use crate::gateway::availability::AvailabilityMap;
use crate::gateway::kept_prompts::KeptPrompts;
use crate::gateway::paces::Paces;
use crate::ids::{Incarnation, ModelRef, ServiceName, SoftwareVersion, TargetId, Zone};
use crate::membership::feed::FeedCursor;
use crate::membership::table::TargetEntry;
use crate::placement::swap::demand::RunningRequests;
use crate::rate_limit::TargetLife;
use crate::rate_limit::permits::{PermitId, PermitPool};
use crate::slot_lease::message::{LeaseRequest, RankCount};
use crate::slot_lease::pool::LeasePool;

use costs::EngineSize;

pub use costs::Measured;
pub use known_target::KnownTarget;

pub use crate::gateway::choice::{TargetChoice, TargetQuery};

/// How long the totals of a new leader are not believed to be complete: routers report to it every 400 ms.
const SETTLE_MS: u64 = 500;

/// The targets known to one router, and the choice among them.
#[derive(Clone, Debug)]
pub struct Balancer {
    zone: Zone,
    /// Sorted by id.
    targets: Vec<KnownTarget>,
    /// The engines of services, sorted by service.
    engine_sizes: Vec<EngineSize>,
    kept_prompts: KeptPrompts,
    paces: Paces,
    speeds: PublishedSpeeds,
    totals: loads::LoadTotals,
    totals_cursor: FeedCursor,
    /// When a leader was last heard.
    told_ms: Option<u64>,
    /// Until when the totals of a new leader may be incomplete.
    settles_ms: u64,
    routers: u32,
    availability: AvailabilityMap,
    permits: PermitPool,
    leases: LeasePool,
}

impl Balancer {
    /// Creates a balancer without targets for a router in `zone`.
    pub fn new(zone: Zone) -> Self {
        Self {
            zone,
            targets: Vec::new(),
            engine_sizes: Vec::new(),
            kept_prompts: KeptPrompts::default(),
            paces: Paces::default(),
            speeds: PublishedSpeeds::default(),
            totals: loads::LoadTotals::default(),
            totals_cursor: FeedCursor::default(),
            told_ms: None,
            settles_ms: 0,
            routers: 0,
            availability: AvailabilityMap::default(),
            permits: PermitPool::default(),
            leases: LeasePool::default(),
        }
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
        self.forget_absent();
    }

    /// Applies changes of the number of requests in flight at each target over all `routers`.
    pub fn apply_load_totals(&mut self, now_ms: u64, routers: u32, changes: &loads::LoadChanges) {
        self.told_ms = Some(now_ms);
        self.routers = routers;
        if changes.cursor == self.totals_cursor && !changes.is_snapshot {
            // Totals that were not sent do not contain what was reported meanwhile.
            return;
        }
        if changes.cursor.term > self.totals_cursor.term {
            self.settles_ms = now_ms + SETTLE_MS;
        }
        self.totals_cursor = changes.cursor;
        self.totals.apply(changes);
        let totals = self.totals.all();
        for target in &mut self.targets {
            let found = totals.binary_search_by(|(id, _)| id.cmp(&target.entry.target));
            let total = found.map_or(0, |at| totals[at].1);
            let others = total.saturating_sub(target.reported_requests);
            target.other_requests = match now_ms < self.settles_ms {
                true => target.other_requests.max(others),
                false => others,
            };
        }
    }

    fn position(&self, target: &TargetId) -> Option<usize> {
        self.targets.binary_search_by(|known| known.entry.target.cmp(target)).ok()
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

    /// The requests of this router in flight at each target, by model, as they are reported to the leader now.
    pub fn report_running(&mut self) -> Vec<RunningRequests> {
        for target in &mut self.targets {
            target.reported_requests = target.own_requests;
        }
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
