//! Computes how many replicas of a model are wanted, with and without demand.

use crate::ids::ModelRef;
use crate::placement::planner::Planner;
use crate::placement::planner::models::ReplicaCensus;
use crate::placement::{catalogue, ledger, replicas};
use crate::units::Bytes;

/// How long a replica is kept after the last demand report, in milliseconds.
const IDLE_GRACE_MS: u64 = 2_000;
/// Gaps between requests that must be observed before a model is preloaded.
pub(super) const PRELOAD_GAPS: u32 = 2;
/// A model is preloaded only if the expected saving exceeds the cost by this factor.
const PRELOAD_MARGIN: f32 = 1.5;
/// A load without demand is finished if less than one part in this many of its time is left.
const ALMOST_DONE_DIVISOR: u64 = 4;

/// What to do with the replicas of an idle model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IdleDecision {
    /// Leave them as they are.
    Keep,
    /// Load one, or continue loading it, before the next request.
    Preload,
    /// Cancel loads and keep ready replicas.
    CancelLoads,
    /// Remove the last replica.
    Release,
}

impl Planner {
    /// Updates the number of wanted replicas.
    pub(super) fn update_wanted_replicas(&mut self, name: &ModelRef, census: &ReplicaCensus) {
        let now_ms = self.now_ms;
        let minute = self.fleet.minute_of_day(now_ms);
        let stale_ms = now_ms.saturating_sub(self.settings.demand_limit_ms);
        let Some(model) = self.models.get_mut(name) else { return };
        model.demand.forget_stale(stale_ms);
        let Some(spec) = model.spec.clone() else {
            model.wanted.set(now_ms, 0);
            model.has_floor = false;
            return;
        };
        let required = u32::from(model.required_until_ms > now_ms);
        let floor = spec.policy.floor(minute).max(required).min(spec.policy.max_replicas);
        model.has_floor = floor > 0;
        let needed = self.needed(name, &spec).clamp(floor, spec.policy.max_replicas);
        let hold = self.idle_decision(name, &spec, census);
        let started_ms = self.started_ms.unwrap_or(now_ms);
        let Some(model) = self.models.get_mut(name) else { return };
        let hazard_per_s = model.demand.hazard_per_s(now_ms, &self.fleet_gaps, started_ms);
        model.loss_ms = replicas::eviction_loss_ms(hazard_per_s, spec.load.store_ms);
        model.wanted.follow(now_ms, needed, self.settings.scale_down_ms);
        if needed == 0 {
            match hold {
                IdleDecision::Keep => {}
                IdleDecision::Preload => model.wanted.set(now_ms, 1.min(spec.policy.max_replicas)),
                IdleDecision::CancelLoads => model.wanted.set(now_ms, census.ready),
                IdleDecision::Release if model.wanted.count() <= 1 => model.wanted.set(now_ms, 0),
                IdleDecision::Release => {}
            }
        }
        if model.wanted.count() > spec.policy.max_replicas {
            model.wanted.set(now_ms, spec.policy.max_replicas);
        }
    }

    fn needed(&self, name: &ModelRef, spec: &catalogue::ModelSpec) -> u32 {
        let Some(model) = self.models.get(name) else { return 0 };
        replicas::needed_replicas(&replicas::DemandEstimate {
            waiting: model.demand.waiting(),
            in_flight: model.demand.in_flight(),
            rate_per_s: model.demand.rate_per_s(self.now_ms),
            time_left_ms: model.demand.earliest_deadline_ms().saturating_sub(self.now_ms),
            service_ms: model.demand.service_ms(spec.service_ms),
            slots: spec.slots,
            load_ms: self.limits.expected_ms(&spec.load, catalogue::WeightSource::Store),
            headroom_weight: self.fleet.headroom_weight,
        })
    }

    /// What to do with the replicas of an idle model.
    fn idle_decision(
        &self,
        name: &ModelRef,
        spec: &catalogue::ModelSpec,
        census: &ReplicaCensus,
    ) -> IdleDecision {
        let Some(model) = self.models.get(name) else { return IdleDecision::Release };
        if !model.demand.is_idle() {
            return IdleDecision::Keep;
        }
        let now_ms = self.now_ms;
        // A new leader has no arrival history: loaded models count as last used when it started.
        let started_ms = self.started_ms.unwrap_or(now_ms);
        let idle_ms = now_ms - model.demand.idle_since_ms().unwrap_or(started_ms);
        if idle_ms < IDLE_GRACE_MS {
            return IdleDecision::Keep;
        }
        let site = census.serving.first().and_then(|target| self.ledger.find(target));
        let hazard_per_s = model.demand.hazard_per_s(now_ms, &self.fleet_gaps, started_ms);
        let accelerators = self.accelerators(site, spec.memory_bytes);
        // A copy in memory may be displaced before the next use, so count the load time from disk.
        let source = self.fastest_source(spec).max(catalogue::WeightSource::Disk);
        let load_ms = self.limits.expected_ms(&spec.load, source);
        let is_worth = |hazard_per_s: f32| {
            replicas::is_worth_holding(hazard_per_s, load_ms, accelerators, &self.fleet)
        };
        if census.ready > 0 {
            return if is_worth(hazard_per_s) { IdleDecision::Keep } else { IdleDecision::Release };
        }
        // A load in progress continues at a lower value than a new preload needs.
        let margin = if census.serving.is_empty() { PRELOAD_MARGIN } else { 1.0 };
        let has_past = model.demand.gaps() >= PRELOAD_GAPS;
        if has_past && is_worth(hazard_per_s / margin) {
            return IdleDecision::Preload;
        }
        if self.is_load_almost_done(name, census) {
            IdleDecision::Keep
        } else {
            IdleDecision::CancelLoads
        }
    }

    /// The fastest source of a model on any target.
    fn fastest_source(&self, spec: &catalogue::ModelSpec) -> catalogue::WeightSource {
        if spec.model.is_adapter() {
            return catalogue::WeightSource::Store;
        }
        let weights = spec.weights();
        let accounts = self.ledger.accounts().iter().filter(|account| account.is_present());
        let nearest = accounts.map(|account| account.source(&weights)).min();
        nearest.unwrap_or(catalogue::WeightSource::Store)
    }

    /// The share of the accelerators of a target that `memory` occupies.
    fn accelerators(&self, site: Option<&ledger::TargetAccount>, memory: Bytes) -> f64 {
        let Some(account) = site.or_else(|| self.ledger.accounts().first()) else { return 1.0 };
        let capacity = account.capacity_bytes.0.max(1) as f64;
        memory.0 as f64 / capacity * f64::from(account.accelerators)
    }

    fn is_load_almost_done(&self, name: &ModelRef, census: &ReplicaCensus) -> bool {
        census.serving.iter().any(|target| {
            let Some(account) = self.ledger.find(target) else { return false };
            account.replicas_of(name).iter().any(|entry| {
                let whole_ms = entry.expected_ready_ms.saturating_sub(entry.stage_since_ms);
                let left_ms = entry.expected_ready_ms.saturating_sub(self.now_ms);
                entry.stage == ledger::ReplicaStage::Loading
                    && left_ms * ALMOST_DONE_DIVISOR < whole_ms
            })
        })
    }
}
