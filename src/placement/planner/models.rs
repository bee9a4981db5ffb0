//! Models: their demand, and how many replicas of each are wanted.

use std::sync::Arc;

use crate::ids::{DaemonId, ModelRef, TargetId, Version};
use crate::placement::planner::{Action, Planner, Reason};
use crate::placement::{catalogue, demand, ledger, policy, replicas};
use crate::units::Bytes;

/// A replica is held for this long after the last sign of demand, in milliseconds.
const IDLE_GRACE_MS: u64 = 2_000;
/// Gaps between requests that are seen before a model is loaded ahead of a request.
const PRELOAD_GAPS: u32 = 2;
/// A model is loaded ahead of a request only if that is worth its price this many times.
const PRELOAD_MARGIN: f32 = 1.5;
/// A load whose demand is gone is finished if less than this share of its time is left.
const FINISH_SHARE: u64 = 4;
/// A base model that an adapter needs is held for this long, in milliseconds.
const REQUIRED_MS: u64 = 30_000;
/// Longest time between two evaluations of a model in use, in milliseconds.
const BUSY_CHECK_MS: u64 = 5_000;
/// Longest time between two evaluations of an idle model, in milliseconds.
const IDLE_CHECK_MS: u64 = 600_000;
/// Shortest time between two evaluations for time's sake alone, in milliseconds.
const MIN_CHECK_MS: u64 = 500;
/// Changes of an expected time by less than this are not told, in milliseconds.
const MIN_CHANGE_MS: u64 = 250;

/// A model or adapter that was told of, asked for or found.
#[derive(Clone, Debug, Default)]
pub(super) struct Model {
    pub(super) spec: Option<Arc<catalogue::Model>>,
    pub(super) demand: demand::Merged,
    pub(super) wanted: replicas::Wanted,
    /// Targets that hold it in any stage and version, sorted.
    pub(super) sites: Vec<TargetId>,
    /// Replicas decided, by version, sorted.
    pub(super) decided: Vec<(Version, u32)>,
    pub(super) reason: Option<Reason>,
    pub(super) expect_ms: Option<u64>,
    /// What the loss of an idle replica costs; see [`replicas::loss_ms`].
    pub(super) loss_ms: u64,
    /// When placing it is tried again.
    pub(super) retry_ms: u64,
    /// Whether operators hold it now.
    pub(super) has_floor: bool,
    /// Until when an adapter needs it as its base.
    required_ms: u64,
    /// When it is evaluated next.
    due_ms: Option<u64>,
}

impl Model {
    /// What its replicas are for.
    pub(super) fn purpose(&self) -> ledger::Purpose {
        if self.demand.is_idle() && !self.has_floor {
            ledger::Purpose::Preload
        } else {
            ledger::Purpose::Work
        }
    }
}

/// Replicas of a model, counted.
#[derive(Clone, Debug, Default)]
pub(super) struct Census {
    /// Current version, on targets that stay: on their way or ready.
    pub(super) serving: Vec<TargetId>,
    /// Of these, those that are ready.
    pub(super) ready: u32,
    /// Ready for work, but of another version or on a target that is being emptied.
    pub(super) outgoing: Vec<(TargetId, catalogue::Weights)>,
}

impl Planner {
    pub(super) fn on_demand(&mut self, report: &demand::Report) {
        for entry in &report.entries {
            self.apply_demand(&entry.model, &report.daemon, entry);
            if entry.model.is_adapter() {
                self.apply_demand(&entry.model.base(), &report.daemon, entry);
            }
        }
    }

    fn apply_demand(&mut self, name: &ModelRef, daemon: &DaemonId, entry: &demand::Entry) {
        let now_ms = self.now_ms;
        let model = self.models.entry(name.clone()).or_default();
        let gap_ms = model.demand.apply(now_ms, daemon, entry);
        if let Some(gap_ms) = gap_ms {
            self.fleet_gaps.record(gap_ms);
        }
        self.set_due(name, now_ms);
    }

    pub(super) fn on_daemon_gone(&mut self, daemon: &DaemonId) {
        let mut changed = Vec::new();
        for (name, model) in &mut self.models {
            if model.demand.forget_daemon(daemon) {
                changed.push(name.clone());
            }
        }
        for name in changed {
            self.set_due(&name, self.now_ms);
        }
    }

    pub(super) fn on_model(&mut self, spec: catalogue::Model) {
        let name = spec.model.clone();
        self.models.entry(name.clone()).or_default().spec = Some(Arc::new(spec));
        self.set_due(&name, self.now_ms);
    }

    pub(super) fn on_model_gone(&mut self, name: &ModelRef) {
        if let Some(model) = self.models.get_mut(name) {
            model.spec = None;
            self.set_due(name, self.now_ms);
        }
    }

    pub(super) fn on_fleet(&mut self, fleet: policy::Fleet) {
        self.fleet = fleet;
        for (name, model) in &mut self.models {
            // Models without replicas and without a past don't depend on the fleet's weights.
            let is_affected = !model.sites.is_empty() || model.demand.last_arrival_ms().is_some();
            if is_affected || model.spec.as_deref().is_some_and(has_floor_at_times) {
                let old_ms = model.due_ms.replace(self.now_ms);
                old_ms.map(|old_ms| self.due.remove(&(old_ms, name.clone())));
                self.due.insert((self.now_ms, name.clone()));
            }
        }
    }

    /// Evaluates `name` at `due_ms`, or earlier if that was due anyway.
    pub(super) fn set_due(&mut self, name: &ModelRef, due_ms: u64) {
        let Some(model) = self.models.get_mut(name) else { return };
        if model.due_ms.is_some_and(|old_ms| old_ms <= due_ms) {
            return;
        }
        if let Some(old_ms) = model.due_ms.replace(due_ms) {
            self.due.remove(&(old_ms, name.clone()));
        }
        self.due.insert((due_ms, name.clone()));
    }

    /// Evaluates each model that is due.
    pub(super) fn run_due(&mut self) {
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
        self.update_wanted(name, &census);
        let Some(model) = self.models.get(name) else { return };
        let wanted = model.wanted.count() as usize;
        if wanted > census.serving.len() {
            if self.short.insert(name.clone()) {
                self.place_soon();
            }
        } else {
            self.short.remove(name);
            self.set_reason(name, None);
            if census.ready > 0
                && let Some(model) = self.models.get_mut(name)
            {
                model.expect_ms = None;
            }
        }
        if self.is_acting {
            self.trim(name, &census);
            self.release_outgoing(name, &census);
        }
        self.require_base(name);
        self.schedule_evaluation(name);
        self.forget_if_unused(name);
    }

    /// Counts the replicas of a model.
    pub(super) fn census(&self, name: &ModelRef) -> Census {
        let mut census = Census::default();
        let Some(model) = self.models.get(name) else { return census };
        for target in &model.sites {
            let Some(account) = self.ledger.find(target).filter(|a| a.is_there()) else { continue };
            let stays = !self.is_emptied(account);
            for entry in account.of_model(name) {
                let version = model.spec.as_ref().map(|spec| &spec.version);
                let is_current = version.is_none_or(|version| *version == entry.weights.version);
                let is_ready = entry.stage == ledger::Stage::Loaded;
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

    /// Whether a target gets no new replicas because it leaves or operators empty it.
    pub(super) fn is_emptied(&self, account: &ledger::Account) -> bool {
        account.is_leaving || self.fleet.is_drained(&account.target, &account.availability_zone)
    }

    fn update_wanted(&mut self, name: &ModelRef, census: &Census) {
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
        let required = u32::from(model.required_ms > now_ms);
        let floor = spec.policy.floor(minute).max(required).min(spec.policy.max_replicas);
        model.has_floor = floor > 0;
        let needed = self.needed(name, &spec).clamp(floor, spec.policy.max_replicas);
        let hold = self.hold(name, &spec, census);
        let started_ms = self.started_ms.unwrap_or(now_ms);
        let Some(model) = self.models.get_mut(name) else { return };
        let hazard_per_s = model.demand.hazard_per_s(now_ms, &self.fleet_gaps, started_ms);
        model.loss_ms = replicas::loss_ms(hazard_per_s, spec.load.store_ms);
        model.wanted.follow(now_ms, needed, self.settings.scale_down_ms);
        if needed == 0 {
            match hold {
                Hold::Keep => {}
                Hold::Preload => model.wanted.set(now_ms, 1.min(spec.policy.max_replicas)),
                Hold::CancelLoads => model.wanted.set(now_ms, census.ready),
                Hold::LetGo if model.wanted.count() <= 1 => model.wanted.set(now_ms, 0),
                Hold::LetGo => {}
            }
        }
        if model.wanted.count() > spec.policy.max_replicas {
            model.wanted.set(now_ms, spec.policy.max_replicas);
        }
    }

    fn needed(&self, name: &ModelRef, spec: &catalogue::Model) -> u32 {
        let Some(model) = self.models.get(name) else { return 0 };
        replicas::needed(&replicas::Demand {
            waiting: model.demand.waiting(),
            in_flight: model.demand.in_flight(),
            rate_per_s: model.demand.rate_per_s(self.now_ms),
            time_left_ms: model.demand.earliest_deadline_ms().saturating_sub(self.now_ms),
            service_ms: spec.service_ms,
            slots: spec.slots,
            load_ms: self.limits.expected_ms(&spec.load, catalogue::Source::Store),
            crest_weight: self.fleet.crest_weight,
        })
    }

    /// What becomes of the last replica of a model that nobody asks for.
    fn hold(&self, name: &ModelRef, spec: &catalogue::Model, census: &Census) -> Hold {
        let Some(model) = self.models.get(name) else { return Hold::LetGo };
        if !model.demand.is_idle() {
            return Hold::Keep;
        }
        let now_ms = self.now_ms;
        // A new leader knows no past: what it finds loaded counts as used when it started.
        let started_ms = self.started_ms.unwrap_or(now_ms);
        let idle_ms = now_ms - model.demand.idle_since_ms().unwrap_or(started_ms);
        if idle_ms < IDLE_GRACE_MS {
            return Hold::Keep;
        }
        let site = census.serving.first().and_then(|target| self.ledger.find(target));
        let hazard_per_s = model.demand.hazard_per_s(now_ms, &self.fleet_gaps, started_ms);
        let accelerators = self.accelerators(site, spec.memory_bytes);
        // A copy in memory may be displaced before the next use, so it is valued as one on disk.
        let source = self.nearest_source(spec).max(catalogue::Source::Disk);
        let load_ms = self.limits.expected_ms(&spec.load, source);
        let is_worth = |hazard_per_s: f32| {
            replicas::is_worth_holding(hazard_per_s, load_ms, accelerators, &self.fleet)
        };
        if census.ready > 0 {
            return if is_worth(hazard_per_s) { Hold::Keep } else { Hold::LetGo };
        }
        // A load that was begun goes on at a lower value than one has to have to begin.
        let margin = if census.serving.is_empty() { PRELOAD_MARGIN } else { 1.0 };
        let has_past = model.demand.gaps() >= PRELOAD_GAPS;
        if has_past && is_worth(hazard_per_s / margin) {
            return Hold::Preload;
        }
        if self.is_load_almost_done(name, census) { Hold::Keep } else { Hold::CancelLoads }
    }

    /// The fastest source of a model on any target.
    fn nearest_source(&self, spec: &catalogue::Model) -> catalogue::Source {
        if spec.model.is_adapter() {
            return catalogue::Source::Store;
        }
        let weights = spec.weights();
        let accounts = self.ledger.accounts().iter().filter(|account| account.is_there());
        let nearest = accounts.map(|account| account.source(&weights)).min();
        nearest.unwrap_or(catalogue::Source::Store)
    }

    /// The part of an accelerator that `memory` takes.
    fn accelerators(&self, site: Option<&ledger::Account>, memory: Bytes) -> f64 {
        let Some(account) = site.or_else(|| self.ledger.accounts().first()) else { return 1.0 };
        let capacity = account.capacity_bytes.0.max(1) as f64;
        memory.0 as f64 / capacity * f64::from(account.accelerators)
    }

    fn is_load_almost_done(&self, name: &ModelRef, census: &Census) -> bool {
        census.serving.iter().any(|target| {
            let Some(account) = self.ledger.find(target) else { return false };
            account.of_model(name).iter().any(|entry| {
                let whole_ms = entry.ready_ms.saturating_sub(entry.since_ms);
                let left_ms = entry.ready_ms.saturating_sub(self.now_ms);
                entry.stage == ledger::Stage::Loading && left_ms * FINISH_SHARE < whole_ms
            })
        })
    }

    /// Keeps the base of an adapter that operators hold, or that has to be loaded.
    fn require_base(&mut self, name: &ModelRef) {
        let Some(model) = self.models.get(name) else { return };
        if !name.is_adapter() || model.wanted.count() == 0 || !model.has_floor {
            return;
        }
        let required_ms = self.now_ms + REQUIRED_MS;
        let base = name.base();
        if let Some(base_model) = self.models.get_mut(&base) {
            let was_required = base_model.required_ms > self.now_ms;
            base_model.required_ms = required_ms;
            if !was_required {
                self.set_due(&base, self.now_ms);
            }
        }
    }

    fn schedule_evaluation(&mut self, name: &ModelRef) {
        let Some(model) = self.models.get(name) else { return };
        let now_ms = self.now_ms;
        let started_ms = self.started_ms.unwrap_or(now_ms);
        let idle_ms = now_ms - model.demand.idle_since_ms().unwrap_or(started_ms);
        let has_windows = model.spec.as_deref().is_some_and(has_floor_at_times);
        let wait_ms = if !model.demand.is_idle() || model.has_floor || has_windows {
            BUSY_CHECK_MS
        } else if model.wanted.count() > 0 {
            (idle_ms / 4).clamp(MIN_CHECK_MS, BUSY_CHECK_MS * 6)
        } else if model.demand.gaps() >= PRELOAD_GAPS {
            (idle_ms / 4).clamp(BUSY_CHECK_MS, IDLE_CHECK_MS)
        } else {
            return;
        };
        self.set_due(name, now_ms + wait_ms);
    }

    fn forget_if_unused(&mut self, name: &ModelRef) {
        let Some(model) = self.models.get(name) else { return };
        let is_used = model.spec.is_some() || !model.sites.is_empty() || !model.demand.is_idle();
        if is_used || !model.decided.is_empty() {
            return;
        }
        if let Some(due_ms) = model.due_ms {
            self.due.remove(&(due_ms, name.clone()));
        }
        self.models.remove(name);
        self.short.remove(name);
    }

    /// Tells a change in why a model isn't loaded.
    pub(super) fn set_reason(&mut self, name: &ModelRef, reason: Option<Reason>) {
        let Some(model) = self.models.get_mut(name) else { return };
        if model.reason == reason {
            return;
        }
        model.reason = reason;
        if let Some(reason) = reason {
            self.actions.push(Action::GaveUp { model: name.clone(), reason });
        }
    }

    /// Tells from when requests for the model can be served, if that changed by much.
    pub(super) fn expect(&mut self, name: &ModelRef, ready_at_ms: u64) {
        let now_ms = self.now_ms;
        let Some(model) = self.models.get_mut(name) else { return };
        let tolerance_ms = (ready_at_ms.saturating_sub(now_ms) / 8).max(MIN_CHANGE_MS);
        let is_known = |told_ms: u64| told_ms.abs_diff(ready_at_ms) <= tolerance_ms;
        if model.demand.waiting() > 0 && !model.expect_ms.is_some_and(is_known) {
            model.expect_ms = Some(ready_at_ms);
            self.actions.push(Action::Expect { model: name.clone(), ready_at_ms });
        }
    }

    /// Tells a change in the replicas decided.
    pub(super) fn note_decided(&mut self, name: &ModelRef) {
        let Some(model) = self.models.get_mut(name) else { return };
        let mut counts: Vec<(Version, u32)> = Vec::new();
        for target in &model.sites {
            let Some(account) = self.ledger.find(target) else { continue };
            for entry in account.of_model(name).iter().filter(|entry| entry.is_counted()) {
                let version = &entry.weights.version;
                match counts.binary_search_by(|(counted, _)| counted.cmp(version)) {
                    Ok(at) => counts[at].1 += 1,
                    Err(at) => counts.insert(at, (version.clone(), 1)),
                }
            }
        }
        if counts == model.decided {
            return;
        }
        let old = std::mem::replace(&mut model.decided, counts.clone());
        let gone = old.iter().filter(|(v, _)| !counts.iter().any(|(version, _)| version == v));
        let gone: Vec<(Version, u32)> = gone.map(|(version, _)| (version.clone(), 0)).collect();
        for (version, count) in counts.into_iter().chain(gone) {
            if old.contains(&(version.clone(), count)) {
                continue;
            }
            let weights = catalogue::Weights { model: name.clone(), version };
            self.actions.push(Action::Decided { weights, count });
        }
    }
}

/// What becomes of the last replica of a model that nobody asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hold {
    /// It stays as it is.
    Keep,
    /// One is loaded, or goes on loading, ahead of the next request.
    Preload,
    /// Loads are cancelled; what is ready stays.
    CancelLoads,
    /// It goes.
    LetGo,
}

fn has_floor_at_times(spec: &catalogue::Model) -> bool {
    spec.policy.min_replicas > 0 || !spec.policy.keep_warm.is_empty()
}
