//! Retires replicas: surplus ones, those of old versions, and those on drained targets.

use std::cmp::Reverse;

use crate::ids::{ModelRef, TargetId};
use crate::placement::planner::models::ReplicaCensus;
use crate::placement::planner::{NotLoadedReason, Planner};
use crate::placement::{catalogue, ledger};

impl Planner {
    /// Retires replicas beyond the wanted count: loads first, then those in the zone with most.
    pub(super) fn retire_surplus(&mut self, name: &ModelRef, census: &ReplicaCensus) {
        let Some(model) = self.models.get(name) else { return };
        let surplus = census.serving.len().saturating_sub(model.wanted.count() as usize);
        if surplus == 0 {
            return;
        }
        let zones = self.zones(census);
        let mut ranked = Vec::new();
        for target in &census.serving {
            let Some(account) = self.ledger.find(target) else { continue };
            let zone = zones.iter().find(|(zone, _)| *zone == account.availability_zone);
            let in_zone = zone.map_or(0, |(_, count)| *count);
            let adapters = account.replicas_with_adapters(name).len();
            for entry in account.replicas_of(name).iter().filter(|entry| entry.is_serving()) {
                let is_ready = entry.stage == ledger::ReplicaStage::Loaded;
                ranked.push((is_ready, Reverse(in_zone), adapters, target, &entry.weights));
            }
        }
        ranked.sort_unstable();
        let surplus = ranked.into_iter().take(surplus);
        let surplus: Vec<(TargetId, catalogue::Weights)> =
            surplus.map(|(.., target, weights)| (target.clone(), weights.clone())).collect();
        for (target, weights) in surplus {
            self.retire(&target, &weights);
        }
    }

    /// Retires replicas of old versions and on drained targets once others have replaced them, or
    /// if there is no room for replacements.
    pub(super) fn retire_outgoing(&mut self, name: &ModelRef, census: &ReplicaCensus) {
        let Some(model) = self.models.get(name) else { return };
        let is_replaced = census.ready >= model.wanted.count();
        let has_no_room =
            matches!(model.reason, Some(NotLoadedReason::NoRoom | NotLoadedReason::NoTarget));
        // The only replica of a model in use stays until there is room for its replacement.
        let may_go = has_no_room && (model.demand.is_idle() || census.outgoing.len() > 1);
        if !is_replaced && !may_go {
            return;
        }
        let count = if is_replaced { census.outgoing.len() } else { 1 };
        for (target, weights) in census.outgoing.iter().take(count) {
            let is_leaving = self.ledger.find(target).is_none_or(|a| a.is_leaving);
            if !is_leaving {
                self.retire(target, weights);
            }
        }
    }
}
