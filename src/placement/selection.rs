//! Selects the target for a new replica, and the replicas to evict there.

use crate::ids::{TargetId, Zone};
use crate::placement::{catalogue, ledger};
use crate::units::Bytes;

/// Cost of each replica of the model that the availability zone has already, in milliseconds. It
/// is longer than any load, so that replicas share a zone only where no other has room.
const SHARED_ZONE_MS: u64 = 3_600_000;
/// Time that a target takes to free memory, in milliseconds.
const UNLOAD_MS: u64 = 200;
/// Expected time until a target answers an outstanding request, in milliseconds.
const ANSWER_MS: u64 = 10;
/// Expected time until the outcome of an order with a lost reply is known, in milliseconds.
const SETTLE_MS: u64 = 3_000;

/// Cost of evicting a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionCost {
    /// The replica is in use or required by operators.
    Forbidden,
    /// Eviction is possible, at this expected cold start time in milliseconds.
    ColdStartMs(u64),
}

/// The replica to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The model or adapter.
    pub model: &'a catalogue::ModelSpec,
    /// Its weights in the current version.
    pub weights: &'a catalogue::Weights,
    /// Zones that have replicas of it, with their count.
    pub zones: &'a [(Zone, u32)],
    /// Time until the weight store lets a load start, in milliseconds.
    pub store_delay_ms: u64,
    /// How many times longer than at full speed the weight store takes.
    pub store_slowness: f64,
    /// Whether idle replicas may be evicted for it.
    pub may_evict: bool,
    /// Unix time.
    pub now_ms: u64,
}

/// Memory reserved earlier in the same round, by target.
#[derive(Clone, Debug, Default)]
pub struct MemoryClaims(Vec<(TargetId, u64)>);

impl MemoryClaims {
    /// Reserves `memory` of `target`.
    pub fn add(&mut self, target: &TargetId, memory: Bytes) {
        match self.0.binary_search_by(|(claimed, _)| claimed.cmp(target)) {
            Ok(at) => self.0[at].1 += memory.0,
            Err(at) => self.0.insert(at, (target.clone(), memory.0)),
        }
    }

    fn of(&self, target: &TargetId) -> u64 {
        match self.0.binary_search_by(|(claimed, _)| claimed.cmp(target)) {
            Ok(at) => self.0[at].1,
            Err(_) => 0,
        }
    }
}

/// The next step on the selected target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementStep {
    /// Order the load.
    Load,
    /// Evict these replicas and load once their memory is free.
    Evict(Vec<catalogue::Weights>),
    /// Wait for memory, for a response or for the weight store.
    Wait,
}

/// The selected target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetChoice {
    /// The target.
    pub target: TargetId,
    /// Where the weights are read from.
    pub source: catalogue::WeightSource,
    /// Time that the load takes, in milliseconds.
    pub load_ms: u64,
    /// Time until the replica is ready, in milliseconds.
    pub ready_in_ms: u64,
    /// The next step.
    pub step: PlacementStep,
}

/// Selects the target with the shortest time until the replica is ready, spread over availability
/// zones. Ties go to the target left with the least free memory, so that larger models still fit
/// elsewhere. Returns `None` if there is no room.
pub fn choose_target<'a>(
    request: &PlacementRequest<'_>,
    accounts: impl Iterator<Item = &'a ledger::TargetAccount>,
    claims: &MemoryClaims,
    eviction: impl Fn(&ledger::TargetAccount, &ledger::ReplicaEntry) -> EvictionCost,
) -> Option<TargetChoice> {
    let mut best: Option<((u64, u64), TargetChoice)> = None;
    for account in accounts {
        let limit = best.as_ref().map_or(u64::MAX, |((cost_ms, _), _)| *cost_ms);
        let Some((rank, choice)) = rank_target(request, account, claims, &eviction, limit) else {
            continue;
        };
        if best.as_ref().is_none_or(|(best_rank, _)| rank < *best_rank) {
            best = Some((rank, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Ranks one target and determines the next step there; `None` if it costs more than `limit_ms`.
fn rank_target(
    request: &PlacementRequest<'_>,
    account: &ledger::TargetAccount,
    claims: &MemoryClaims,
    eviction: &impl Fn(&ledger::TargetAccount, &ledger::ReplicaEntry) -> EvictionCost,
    limit_ms: u64,
) -> Option<((u64, u64), TargetChoice)> {
    let model = request.model;
    let need = model.memory_bytes.0;
    if need > account.capacity_bytes.0 {
        return None;
    }
    let source = account.source(request.weights);
    let is_from_store = source == catalogue::WeightSource::Store && !model.model.is_adapter();
    let slowness = if is_from_store { request.store_slowness } else { 1.0 };
    let load_ms = (model.load.from_source(source) as f64 * slowness) as u64;
    let store_delay_ms = if is_from_store { request.store_delay_ms } else { 0 };
    let shared = request.zones.iter().find(|(zone, _)| *zone == account.availability_zone);
    let shared_ms = shared.map_or(0, |(_, count)| u64::from(*count) * SHARED_ZONE_MS);
    let order_delay_ms = time_to_next_order_ms(account);
    let mut ready_in_ms = load_ms + store_delay_ms.max(order_delay_ms);
    if shared_ms + ready_in_ms > limit_ms {
        return None;
    }
    let taken = account.used_bytes().0 + claims.of(&account.target);
    let free = account.capacity_bytes.0.saturating_sub(taken);
    let can_start = store_delay_ms == 0 && order_delay_ms == 0;
    let mut loss_ms = 0;
    let step = if free >= need {
        if can_start { PlacementStep::Load } else { PlacementStep::Wait }
    } else if taken - account.unloading_bytes().0.min(taken) + need <= account.capacity_bytes.0 {
        ready_in_ms += UNLOAD_MS;
        PlacementStep::Wait
    } else if request.may_evict {
        let short =
            taken - account.unloading_bytes().0.min(taken) + need - account.capacity_bytes.0;
        let victims = cheapest_victims(account, short, eviction)?;
        ready_in_ms += UNLOAD_MS;
        loss_ms = victims.loss_ms;
        if can_start { PlacementStep::Evict(victims.weights) } else { PlacementStep::Wait }
    } else {
        return None;
    };
    let leftover = free.saturating_sub(need);
    let rank = (shared_ms + ready_in_ms + loss_ms, leftover);
    let target = account.target.clone();
    Some((rank, TargetChoice { target, source, load_ms, ready_in_ms, step }))
}

/// Expected time until the target can receive an order, in milliseconds.
fn time_to_next_order_ms(account: &ledger::TargetAccount) -> u64 {
    match &account.pending_order {
        Some(pending) if pending.is_lost => SETTLE_MS,
        _ if account.status == ledger::TargetStatus::Unread => SETTLE_MS,
        Some(_) => ANSWER_MS,
        None if account.pending_read.is_some() => ANSWER_MS,
        None => 0,
    }
}

struct Victims {
    weights: Vec<catalogue::Weights>,
    loss_ms: u64,
}

/// The cheapest replicas whose eviction frees `short` bytes.
fn cheapest_victims(
    account: &ledger::TargetAccount,
    short: u64,
    eviction: &impl Fn(&ledger::TargetAccount, &ledger::ReplicaEntry) -> EvictionCost,
) -> Option<Victims> {
    let mut evictable: Vec<(u64, &ledger::ReplicaEntry)> = Vec::new();
    for entry in account.entries() {
        if entry.stage != ledger::ReplicaStage::Loaded {
            continue;
        }
        if let EvictionCost::ColdStartMs(loss_ms) = eviction(account, entry) {
            evictable.push((loss_ms, entry));
        }
    }
    evictable.sort_by_key(|(loss_ms, _)| *loss_ms);
    let mut victims = Victims { weights: Vec::new(), loss_ms: 0 };
    let mut freed = 0;
    for (loss_ms, entry) in evictable {
        if freed >= short {
            break;
        }
        freed += entry.memory_bytes.0;
        victims.loss_ms += loss_ms;
        victims.weights.push(entry.weights.clone());
    }
    (freed >= short).then_some(victims)
}
