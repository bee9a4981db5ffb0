//! What the leader checks again and again of its own promises, and counts for reports.

use std::cell::RefCell;

use crate::control::outcomes;
use crate::control::outcomes::Promise;
use crate::ids::ModelRef;
use crate::membership::table::{RouteTable, TableChange};
use crate::placement::demand;
use crate::placement::ledger;
use crate::placement::planner::{ModelSummary, Planner};
use crate::target::order;

/// Time after which an idle count is not carried on, as after a freeze of the process.
const LONGEST_LOOK_MS: u64 = 5_000;

/// Models that are waited for and held nowhere, with the time since when; sorted.
#[derive(Debug, Default)]
pub(super) struct Cold {
    since_ms: RefCell<Vec<(ModelRef, u64)>>,
}

impl Cold {
    /// Notes which models in demand are held nowhere.
    pub(super) fn note(&self, now_ms: u64, table: &RouteTable, entries: &[demand::DemandEntry]) {
        let mut cold = self.since_ms.borrow_mut();
        let is_cold = |entry: &&demand::DemandEntry| {
            entry.waiting > 0 && table.holding(&entry.model).is_empty()
        };
        for entry in entries.iter().filter(is_cold) {
            if let Err(at) = cold.binary_search_by(|(model, _)| model.cmp(&entry.model)) {
                cold.insert(at, (entry.model.clone(), now_ms));
            }
        }
    }

    /// Counts the cold starts that a change of the route table ends.
    pub(super) fn end(&self, now_ms: u64, change: &TableChange) {
        let TableChange::Put(entry) = change else { return };
        let mut cold = self.since_ms.borrow_mut();
        for replica in &entry.replicas {
            if let Ok(at) = cold.binary_search_by(|(model, _)| model.cmp(&replica.model)) {
                let (_, since_ms) = cold.remove(at);
                outcomes::count(|tally| tally.cold_start(now_ms.saturating_sub(since_ms)));
            }
        }
    }
}

/// Checks that the replicas which a target tells fit its memory.
pub(super) fn check_memory(state: &order::State, now_ms: u64) {
    let held: u64 = state.holds.iter().map(|held| held.memory_bytes.0).sum();
    let capacity = state.memory_bytes.0;
    let held = match held <= capacity {
        true => Ok(()),
        false => Err(format!("{} holds {held} bytes of {capacity}", state.target)),
    };
    outcomes::count(|tally| tally.check(now_ms, Promise::MemoryWithinCapacity, held));
}

/// Checks that no model has more replicas than were decided, and counts idle accelerators.
pub(super) fn check_replicas(planner: &Planner, now_ms: u64, elapsed_ms: u64) {
    let accounts = planner.ledger().accounts();
    let mut used: Vec<ModelRef> = Vec::new();
    for summary in planner.models() {
        check_decided(accounts, &summary, now_ms);
        if summary.waiting + summary.in_flight > 0 {
            used.push(summary.model);
        }
    }
    used.sort_unstable();
    let is_used = |entry: &ledger::ReplicaEntry| used.binary_search(&entry.weights.model).is_ok();
    let idle = accounts
        .iter()
        .filter(|account| !account.entries().is_empty() && !account.entries().iter().any(is_used));
    let accelerators: u64 = idle.map(|account| u64::from(account.accelerators)).sum();
    let idle_ms = accelerators * elapsed_ms.min(LONGEST_LOOK_MS);
    if idle_ms > 0 {
        outcomes::count(|tally| tally.idle_accelerator_ms += idle_ms);
    }
}

fn check_decided(accounts: &[ledger::TargetAccount], summary: &ModelSummary, now_ms: u64) {
    let entries = accounts.iter().flat_map(|account| account.replicas_of(&summary.model));
    let held = entries.filter(|entry| entry.is_counted_as_replica()).count();
    if held == 0 {
        return;
    }
    let held = match held <= summary.decided as usize {
        true => Ok(()),
        false => Err(format!("{}: {held} held, {} decided", summary.model, summary.decided)),
    };
    outcomes::count(|tally| tally.check(now_ms, Promise::ReplicasAsDecided, held));
}
