//! Per-model state: demand, wanted replicas, and when the model is evaluated again.

use std::sync::Arc;

use crate::ids::{DaemonId, ModelRef, TargetId, Version};
use crate::placement::planner::{Action, NotLoadedReason, Planner, wanted};
use crate::placement::{catalogue, demand, ledger, policy, replicas};

/// How long an adapter keeps its base model wanted after each evaluation, in milliseconds.
const REQUIRED_MS: u64 = 30_000;
/// Longest time between two evaluations of a model in use, in milliseconds.
const BUSY_CHECK_MS: u64 = 5_000;
/// Longest time between two evaluations of an idle model, in milliseconds.
const IDLE_CHECK_MS: u64 = 600_000;
/// Shortest time between two evaluations that no event caused, in milliseconds.
const MIN_CHECK_MS: u64 = 500;
/// Changes of the expected ready time below this are not reported, in milliseconds.
const MIN_CHANGE_MS: u64 = 250;

/// A model or adapter that is configured, requested or held by a target.
#[derive(Clone, Debug, Default)]
pub(super) struct Model {
    pub(super) spec: Option<Arc<catalogue::ModelSpec>>,
    pub(super) demand: demand::MergedDemand,
    pub(super) wanted: replicas::WantedReplicas,
    /// Targets that hold it in any stage and version, sorted.
    pub(super) holding_targets: Vec<TargetId>,
    /// Decided replica counts, sorted by version.
    pub(super) decided: Vec<(Version, u32)>,
    pub(super) reason: Option<NotLoadedReason>,
    pub(super) reported_ready_ms: Option<u64>,
    /// Cost of evicting an idle replica; see [`replicas::eviction_loss_ms`].
    pub(super) loss_ms: u64,
    /// Earliest time of the next attempt to place a replica.
    pub(super) next_attempt_ms: u64,
    /// Whether the operators' policy or a dependent adapter requires a replica now.
    pub(super) has_floor: bool,
    /// Until when an adapter requires this model as its base.
    pub(super) required_until_ms: u64,
    /// When the model is evaluated next.
    due_ms: Option<u64>,
}

impl Model {
    /// The purpose of new replicas of the model.
    pub(super) fn purpose(&self) -> ledger::LoadPurpose {
        if self.demand.is_idle() && !self.has_floor {
            ledger::LoadPurpose::Preload
        } else {
            ledger::LoadPurpose::Required
        }
    }
}

/// Replicas of one model, by state.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaCensus {
    /// Targets that stay and have a replica of the current version, loading or ready.
    pub(super) serving: Vec<TargetId>,
    /// Number of replicas in `serving` that are ready.
    pub(super) ready: u32,
    /// Ready replicas of another version or on a target that is leaving or drained.
    pub(super) outgoing: Vec<(TargetId, catalogue::Weights)>,
}

impl Planner {
    pub(super) fn on_demand(&mut self, report: &demand::DemandReport) {
        for entry in &report.entries {
            self.apply_demand(&entry.model, &report.daemon, entry);
            if entry.model.is_adapter() {
                self.apply_demand(&entry.model.base(), &report.daemon, entry);
            }
        }
    }

    fn apply_demand(&mut self, name: &ModelRef, daemon: &DaemonId, entry: &demand::DemandEntry) {
        let now_ms = self.now_ms;
        let model = self.models.entry(name.clone()).or_default();
        let gap_ms = model.demand.apply(now_ms, daemon, entry);
        if let Some(gap_ms) = gap_ms {
            self.fleet_gaps.record(gap_ms);
        }
        self.evaluate_by(name, now_ms);
    }

    pub(super) fn on_daemon_gone(&mut self, daemon: &DaemonId) {
        let mut changed = Vec::new();
        for (name, model) in &mut self.models {
            if model.demand.forget_daemon(daemon) {
                changed.push(name.clone());
            }
        }
        for name in changed {
            self.evaluate_by(&name, self.now_ms);
        }
    }

    pub(super) fn on_model(&mut self, spec: catalogue::ModelSpec) {
        let name = spec.model.clone();
        self.models.entry(name.clone()).or_default().spec = Some(Arc::new(spec));
        self.evaluate_by(&name, self.now_ms);
    }

    pub(super) fn on_model_gone(&mut self, name: &ModelRef) {
        if let Some(model) = self.models.get_mut(name) {
            model.spec = None;
            self.evaluate_by(name, self.now_ms);
        }
    }

    pub(super) fn on_fleet(&mut self, fleet: policy::FleetPolicy) {
        self.fleet = fleet;
        for (name, model) in &mut self.models {
            // Models without replicas and past arrivals do not depend on the fleet's weights.
            let is_affected =
                !model.holding_targets.is_empty() || model.demand.last_arrival_ms().is_some();
            if is_affected || model.spec.as_deref().is_some_and(has_floor_policy) {
                let old_ms = model.due_ms.replace(self.now_ms);
                old_ms.map(|old_ms| self.due.remove(&(old_ms, name.clone())));
                self.due.insert((self.now_ms, name.clone()));
            }
        }
    }

    /// Schedules an evaluation of `name` for `due_ms`, unless an earlier one is scheduled.
    pub(super) fn evaluate_by(&mut self, name: &ModelRef, due_ms: u64) {
        let Some(model) = self.models.get_mut(name) else { return };
        if model.due_ms.is_some_and(|old_ms| old_ms <= due_ms) {
            return;
        }
        if let Some(old_ms) = model.due_ms.replace(due_ms) {
            self.due.remove(&(old_ms, name.clone()));
        }
        self.due.insert((due_ms, name.clone()));
    }

    /// Evaluates the models whose time has come.
    pub(super) fn evaluate_due_models(&mut self) {
        while let Some((due_ms, name)) = self.due.first().cloned() {
            if due_ms > self.now_ms {
                break;
            }
            self.due.pop_first();
            if let Some(model) = self.models.get_mut(&name) {
                model.due_ms = None;
            }
            self.evaluate(&name);
        }
    }

    fn evaluate(&mut self, name: &ModelRef) {
        let census = self.census(name);
        self.update_wanted_replicas(name, &census);
        let Some(model) = self.models.get(name) else { return };
        let wanted = model.wanted.count() as usize;
        if wanted > census.serving.len() {
            if self.short_of_replicas.insert(name.clone()) {
                self.schedule_round();
            }
        } else {
            self.short_of_replicas.remove(name);
            self.set_reason(name, None);
            if census.ready > 0
                && let Some(model) = self.models.get_mut(name)
            {
                model.reported_ready_ms = None;
            }
        }
        if self.can_send_orders {
            self.retire_surplus(name, &census);
            self.retire_outgoing(name, &census);
        }
        self.require_base(name);
        self.schedule_evaluation(name);
        self.forget_if_unused(name);
    }

    /// Counts the replicas of a model.
    pub(super) fn census(&self, name: &ModelRef) -> ReplicaCensus {
        let mut census = ReplicaCensus::default();
        let Some(model) = self.models.get(name) else { return census };
        for target in &model.holding_targets {
            let Some(account) = self.ledger.find(target).filter(|a| a.is_present()) else {
                continue;
            };
            let stays = !self.is_emptied(account);
            for entry in account.replicas_of(name) {
                let version = model.spec.as_ref().map(|spec| &spec.version);
                let is_current = version.is_none_or(|version| *version == entry.weights.version);
                let is_ready = entry.stage == ledger::ReplicaStage::Loaded;
                if stays && is_current && entry.is_serving() {
                    census.serving.push(target.clone());
                    census.ready += u32::from(is_ready);
                } else if is_ready {
                    census.outgoing.push((target.clone(), entry.weights.clone()));
                }
            }
        }
        census
    }

    /// Whether a target gets no new replicas because it is leaving or being drained.
    pub(super) fn is_emptied(&self, account: &ledger::TargetAccount) -> bool {
        account.is_leaving || self.fleet.is_drained(&account.target, &account.availability_zone)
    }

    /// Marks the base of an adapter as required if the policy requires the adapter.
    fn require_base(&mut self, name: &ModelRef) {
        let Some(model) = self.models.get(name) else { return };
        if !name.is_adapter() || model.wanted.count() == 0 || !model.has_floor {
            return;
        }
        let required_until_ms = self.now_ms + REQUIRED_MS;
        let base = name.base();
        if let Some(base_model) = self.models.get_mut(&base) {
            let was_required = base_model.required_until_ms > self.now_ms;
            base_model.required_until_ms = required_until_ms;
            if !was_required {
                self.evaluate_by(&base, self.now_ms);
            }
        }
    }

    fn schedule_evaluation(&mut self, name: &ModelRef) {
        let Some(model) = self.models.get(name) else { return };
        let now_ms = self.now_ms;
        let started_ms = self.started_ms.unwrap_or(now_ms);
        let idle_ms = now_ms - model.demand.idle_since_ms().unwrap_or(started_ms);
        let has_windows = model.spec.as_deref().is_some_and(has_floor_policy);
        let wait_ms = if !model.demand.is_idle() || model.has_floor || has_windows {
            BUSY_CHECK_MS
        } else if model.wanted.count() > 0 {
            (idle_ms / 4).clamp(MIN_CHECK_MS, BUSY_CHECK_MS * 6)
        } else if model.demand.gaps() >= wanted::PRELOAD_GAPS {
            (idle_ms / 4).clamp(BUSY_CHECK_MS, IDLE_CHECK_MS)
        } else {
            return;
        };
        self.evaluate_by(name, now_ms + wait_ms);
    }

    fn forget_if_unused(&mut self, name: &ModelRef) {
        let Some(model) = self.models.get(name) else { return };
        let is_used =
            model.spec.is_some() || !model.holding_targets.is_empty() || !model.demand.is_idle();
        if is_used || !model.decided.is_empty() {
            return;
        }
        if let Some(due_ms) = model.due_ms {
            self.due.remove(&(due_ms, name.clone()));
        }
        self.models.remove(name);
        self.short_of_replicas.remove(name);
    }

    /// Sets why a model is not loaded, and reports a new reason.
    pub(super) fn set_reason(&mut self, name: &ModelRef, reason: Option<NotLoadedReason>) {
        let Some(model) = self.models.get_mut(name) else { return };
        if model.reason == reason {
            return;
        }
        model.reason = reason;
        if let Some(reason) = reason {
            self.actions.push(Action::CannotLoad { model: name.clone(), reason });
        }
    }

    /// Reports when requests for the model can be served, if the time changed noticeably.
    pub(super) fn expect(&mut self, name: &ModelRef, ready_at_ms: u64) {
        let now_ms = self.now_ms;
        let Some(model) = self.models.get_mut(name) else { return };
        let tolerance_ms = (ready_at_ms.saturating_sub(now_ms) / 8).max(MIN_CHANGE_MS);
        let is_known = |reported_ms: u64| reported_ms.abs_diff(ready_at_ms) <= tolerance_ms;
        if model.demand.waiting() > 0 && !model.reported_ready_ms.is_some_and(is_known) {
            model.reported_ready_ms = Some(ready_at_ms);
            self.actions.push(Action::ExpectReady { model: name.clone(), ready_at_ms });
        }
    }
}

fn has_floor_policy(spec: &catalogue::ModelSpec) -> bool {
    spec.policy.min_replicas > 0 || !spec.policy.keep_warm.is_empty()
}
