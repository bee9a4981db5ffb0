//! Target selection: the cheaper of two random candidates that have room.
//!
//! Two random choices ("The power of two choices in randomized load balancing", Mitzenmacher 2001)
//! keep routers with the same view of the load from sending their bursts to the same target.

use rand::Rng;

use crate::membership::table::Standing;
use crate::routing::target::{Target, TargetNumber};

/// The target that holds the conversation's prefix is preferred while its cost is at most this
/// multiple of the cost of the best candidate examined.
const MAX_PREFIX_COST_RATIO: f64 = 2.0;
/// Extra round-trip time of a call to another availability zone.
const CROSS_ZONE_MS: f64 = 2.0;

/// The properties of a call that constrain the choice of its target.
#[derive(Clone, Copy, Debug)]
pub struct TargetRequirements<'a> {
    /// Whether the request counts as long.
    pub is_long: bool,
    /// Share of a target's limit that long requests may hold.
    pub long_share: f64,
    /// Expected time of the call to its first byte or token.
    pub expected_first_ms: f64,
    /// Index of the target that holds the prefix of the conversation.
    pub prefix_holder: Option<u32>,
    /// Targets that already failed this request or had no trial available for it.
    pub avoided_targets: &'a [TargetNumber],
}

/// Chooses one of `candidates`, which are indices in `targets`; `None` if none has room.
///
/// `is_allowed` returns whether the call may go to the target at an index, beside what this module
/// decides. A suspected target is chosen only if no candidate is up.
pub fn choose_target(
    now_ms: u64,
    targets: &[Target],
    candidates: &[u32],
    requirements: &TargetRequirements<'_>,
    is_allowed: impl Fn(u32) -> bool,
    rng: &mut impl Rng,
) -> Option<u32> {
    let is_open = |index: u32, standing: Standing| {
        let target = &targets[index as usize];
        target.standing == standing
            && target.has_room(now_ms, requirements.is_long, requirements.long_share)
            && !requirements.avoided_targets.contains(&target.number)
            && is_allowed(index)
    };
    let zone_cost = CROSS_ZONE_MS / (requirements.expected_first_ms + 1.0);
    let cost = |index: u32| targets[index as usize].cost(now_ms, zone_cost);
    let up = |index: u32| is_open(index, Standing::Up);
    let best = match two_random(candidates, rng) {
        Some((a, b)) if up(a) && up(b) => Some(if cost(a) <= cost(b) { a } else { b }),
        _ => cheaper_of_first_two_open(candidates, up, cost, rng),
    };
    if best.is_none() && !is_any_up(targets, candidates) {
        return cheaper_of_first_two_open(
            candidates,
            |index| is_open(index, Standing::Suspect),
            cost,
            rng,
        );
    }
    let best = best?;
    match requirements
        .prefix_holder
        .filter(|index| candidates.binary_search(index).is_ok() && up(*index))
    {
        Some(index) if cost(index) <= MAX_PREFIX_COST_RATIO * cost(best) => Some(index),
        _ => Some(best),
    }
}

/// Whether any candidate is up, with room or not.
fn is_any_up(targets: &[Target], candidates: &[u32]) -> bool {
    candidates.iter().any(|index| targets[*index as usize].standing == Standing::Up)
}

fn two_random(candidates: &[u32], rng: &mut impl Rng) -> Option<(u32, u32)> {
    if candidates.len() < 2 {
        return None;
    }
    let first = rng.random_range(0..candidates.len());
    let other = rng.random_range(0..candidates.len() - 1);
    let second = if other >= first { other + 1 } else { other };
    Some((candidates[first], candidates[second]))
}

/// The cheaper of the first two open candidates, in circular order from a random index.
fn cheaper_of_first_two_open(
    candidates: &[u32],
    is_open: impl Fn(u32) -> bool,
    cost: impl Fn(u32) -> f64,
    rng: &mut impl Rng,
) -> Option<u32> {
    if candidates.is_empty() {
        return None;
    }
    let (before, after) = candidates.split_at(rng.random_range(0..candidates.len()));
    let mut open = after.iter().chain(before).copied().filter(|index| is_open(*index));
    let first = open.next()?;
    match open.next() {
        Some(second) if cost(second) < cost(first) => Some(second),
        _ => Some(first),
    }
}
