//! Adapters: they load in milliseconds, so they are loaded when they are asked for.

use super::{Operation, Planner, Site};
use crate::ids::ModelRef;

/// Orders for adapters that one engine has under way at most.
const AT_ONCE: usize = 3;

impl Planner {
    /// Begins to load the adapters that requests wait for.
    pub(super) fn plan_adapters(&mut self) {
        let mut wanted: Vec<ModelRef> = self
            .demand
            .waiting()
            .filter(|waiting| waiting.model.is_adapter())
            .map(|waiting| waiting.model.clone())
            .collect();
        wanted.sort_unstable();
        wanted.dedup();
        for adapter in wanted {
            self.place_adapter(&adapter);
        }
    }

    fn place_adapter(&mut self, adapter: &ModelRef) {
        let is_coming = |site: &Site| {
            site.adapter_work
                .iter()
                .any(|work| work.adapter == *adapter && work.operation == Operation::Load)
        };
        if self.sites.iter().any(|site| holds(site, adapter) || is_coming(site)) {
            return;
        }
        let slots = self.specs.adapter_slots();
        let mut best: Option<((bool, u64, u32, usize), usize)> = None;
        for (at, site) in self.sites.iter().enumerate() {
            let base = site.find(&adapter.model).filter(|loaded| !loaded.is_closing);
            let Some(base) = base else { continue };
            if !site.is_usable() || site.adapter_work.len() >= AT_ONCE {
                continue;
            }
            let taken = seats(site);
            let wait_ms = if site.takes_adapters() { 0 } else { site.busy_ms(self.now_ms) };
            let rank = (taken >= slots, wait_ms, base.running, taken);
            if best.is_none_or(|(known, _)| rank < known) {
                best = Some((rank, at));
            }
        }
        let Some(((is_full, ..), at)) = best else { return };
        if !is_full {
            self.sites[at].begin_adapter_load(self.now_ms, adapter.clone());
        } else if let Some(victim) = self.idle_adapter(&self.sites[at]) {
            self.sites[at].begin_adapter_unload(self.now_ms, victim);
            self.actions.push(super::Action::ReplicasChanged(self.sites[at].target.clone()));
        }
    }

    /// The adapter that was used longest ago and has no requests.
    fn idle_adapter(&self, site: &Site) -> Option<ModelRef> {
        let is_leaving = |adapter: &ModelRef| {
            site.adapter_work.iter().any(|work| work.adapter == *adapter)
                || self.demand.waiting().any(|waiting| waiting.model == *adapter)
        };
        let has_requests = |adapter: &ModelRef| {
            self.demand.running().any(|running| {
                running.target == site.target && running.model.as_ref() == Some(adapter)
            })
        };
        let mut idle: Option<(u64, ModelRef)> = None;
        for loaded in &site.models {
            for seat in loaded.adapters.iter().filter(|seat| !seat.is_closing) {
                let adapter = Some(seat.name.clone());
                let adapter = ModelRef { model: loaded.model.clone(), adapter };
                let is_older = idle.as_ref().is_none_or(|(used_ms, _)| seat.used_ms < *used_ms);
                if is_older && !has_requests(&adapter) && !is_leaving(&adapter) {
                    idle = Some((seat.used_ms, adapter));
                }
            }
        }
        idle.map(|(_, adapter)| adapter)
    }
}

/// Places for adapters that are taken or promised.
fn seats(site: &Site) -> usize {
    let held: usize = site.models.iter().map(|loaded| loaded.adapters.len()).sum();
    let coming = site.adapter_work.iter().filter(|work| work.operation == Operation::Load);
    held + coming.count()
}

fn holds(site: &Site, adapter: &ModelRef) -> bool {
    let base = site.find(&adapter.model).filter(|loaded| !loaded.is_closing && !site.is_leaving);
    base.is_some_and(|loaded| {
        let is_it = |seat: &super::site::Adapter| Some(&seat.name) == adapter.adapter.as_ref();
        loaded.adapters.iter().any(|seat| is_it(seat) && !seat.is_closing)
    })
}
