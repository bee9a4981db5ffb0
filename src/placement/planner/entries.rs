//! Adds, changes and removes replicas in the ledger, and updates load limits and counts with them.

use crate::ids::{ModelRef, TargetId, Version};
use crate::placement::planner::{Action, Planner};
use crate::placement::{catalogue, ledger};

impl Planner {
    /// Adds or replaces a replica, and updates the load limits and decided counts.
    pub(super) fn put(&mut self, target: &TargetId, entry: ledger::ReplicaEntry) {
        let Some(account) = self.ledger.find_mut(target) else { return };
        let name = entry.weights.model.clone();
        let is_adapter = name.is_adapter();
        let (is_in_transit, source) = (entry.is_in_transit(), entry.source);
        let is_loaded = entry.stage == ledger::ReplicaStage::Loaded;
        let (since_ms, weights) = (entry.stage_since_ms, entry.weights.clone());
        let old = account.put(entry);
        if is_in_transit {
            self.limits.begin(is_adapter, source);
        }
        if let Some(old) = old.filter(|old| old.is_in_transit()) {
            self.limits.end(is_adapter, old.source);
            let is_from_store = !is_adapter && source == catalogue::WeightSource::Store;
            if is_loaded && is_from_store {
                self.learn(&weights, self.now_ms.saturating_sub(since_ms));
            }
            if !is_in_transit {
                self.schedule_round();
            }
        }
        let model = self.models.entry(name.clone()).or_default();
        if let Err(at) = model.holding_targets.binary_search(target) {
            model.holding_targets.insert(at, target.clone());
        }
        self.report_decided(&name);
    }

    fn learn(&mut self, weights: &catalogue::Weights, took_ms: u64) {
        let spec = self.models.get(&weights.model).and_then(|model| model.spec.as_ref());
        if let Some(spec) = spec {
            self.limits.learn(took_ms, spec.load.store_ms);
        }
    }

    /// Removes a replica, and updates the load limits and decided counts.
    pub(super) fn remove(&mut self, target: &TargetId, weights: &catalogue::Weights) {
        let Some(account) = self.ledger.find_mut(target) else { return };
        let Some(old) = account.remove(weights) else { return };
        let has_other = !account.replicas_of(&weights.model).is_empty();
        if old.is_in_transit() && account.is_counted_in_load_limits {
            self.limits.end(weights.model.is_adapter(), old.source);
        }
        if let Some(model) = self.models.get_mut(&weights.model)
            && let Ok(at) = model.holding_targets.binary_search(target)
            && !has_other
        {
            model.holding_targets.remove(at);
        }
        self.report_decided(&weights.model);
        self.evaluate_by(&weights.model, self.now_ms);
        self.schedule_round();
    }

    /// Excludes the target from loads of these weights for `avoid_ms`.
    pub(super) fn avoid(&mut self, target: &TargetId, weights: &catalogue::Weights, avoid_ms: u64) {
        let now_ms = self.now_ms;
        if let Some(account) = self.ledger.find_mut(target) {
            account.avoid(weights.clone(), now_ms, now_ms + avoid_ms);
        }
    }

    /// Reports the decided replica counts of a model that have changed.
    pub(super) fn report_decided(&mut self, name: &ModelRef) {
        let Some(model) = self.models.get_mut(name) else { return };
        let mut counts: Vec<(Version, u32)> = Vec::new();
        for target in &model.holding_targets {
            let Some(account) = self.ledger.find(target) else { continue };
            for entry in
                account.replicas_of(name).iter().filter(|entry| entry.is_counted_as_replica())
            {
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
            self.actions.push(Action::ReplicasDecided { weights, count });
        }
    }
}
