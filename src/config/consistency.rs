//! What contradicts itself, or would not fit, in a whole fleet.

use super::resolve::resolve;
use super::scope::Subject;
use super::{Facts, Fleet, Key, Setting, Value};
use crate::ids::ModelRef;
use crate::units::Bytes;

/// What contradicts itself in a whole fleet.
pub(super) fn contradictions(fleet: &Fleet, facts: &Facts, now_ms: u64) -> Vec<String> {
    let mut found = crossed_limits(fleet, now_ms);
    found.extend(unplaceable(fleet, facts, now_ms));
    found
}

/// Limits of replicas that contradict each other.
fn crossed_limits(fleet: &Fleet, now_ms: u64) -> Vec<String> {
    let whole = Subject { now_ms, ..Subject::default() };
    let mut found = crossed(fleet, &whole, "the defaults");
    let limits = [Key::MinReplicas, Key::MaxReplicas, Key::KeepWarm];
    for exception in fleet.exceptions().iter().filter(|other| other.is_in_force(now_ms)) {
        if exception.settings.iter().any(|setting| limits.contains(&setting.key)) {
            let of = format!("exception {} for {}", exception.id, exception.scope);
            found.extend(crossed(fleet, &exception.scope.subject(now_ms), &of));
        }
    }
    found
}

fn crossed(fleet: &Fleet, subject: &Subject<'_>, of: &str) -> Vec<String> {
    let effective = resolve(fleet, subject);
    let (min, max) = (effective.min_replicas, effective.max_replicas);
    let mut found = Vec::new();
    if min > max {
        found.push(format!("with {of}, min_replicas {min} is above max_replicas {max}"));
    }
    if max == 0 && !effective.keep_warm.is_empty() {
        let windows = &effective.keep_warm;
        found.push(format!("with {of}, keep_warm {windows} contradicts max_replicas 0"));
    }
    found
}

/// Replicas kept at any demand that the change from `fleet` to `next` adds and that would not fit.
pub(super) fn overcommitment(
    fleet: &Fleet,
    next: &Fleet,
    facts: &Facts,
    now_ms: u64,
) -> Option<String> {
    let capacity = facts.memory_bytes?;
    let kept_bytes = |fleet: &Fleet| -> u64 {
        maybe_kept(fleet).iter().map(|model| kept(fleet, model, now_ms)).sum()
    };
    let after = kept_bytes(next);
    let is_worse = after > capacity.0 && after > kept_bytes(fleet);
    is_worse.then(|| {
        let after = Bytes(after);
        format!("replicas kept at any demand would take {after}, all targets have {capacity}")
    })
}

/// The models and adapters that may have replicas at no demand: all of them if a default says so,
/// else those that an exception names. Most of a large fleet is neither.
fn maybe_kept(fleet: &Fleet) -> Vec<ModelRef> {
    let base = fleet.base();
    if base.min_replicas > 0 || !base.keep_warm.is_empty() {
        let models = fleet.catalogue().models.iter();
        return models.flat_map(|model| model.refs()).collect();
    }
    let keeps = |setting: &Setting| matches!(setting.key, Key::MinReplicas | Key::KeepWarm);
    let exceptions = fleet.exceptions().iter();
    let exceptions = exceptions.filter(|exception| exception.settings.iter().any(keeps));
    let named = exceptions.filter_map(|exception| exception.scope.model_ref());
    let mut models: Vec<ModelRef> = named.collect();
    models.sort_unstable();
    models.dedup();
    models
}

/// Memory of the replicas of a model that are kept, at the time of day with the most.
fn kept(fleet: &Fleet, model: &ModelRef, now_ms: u64) -> u64 {
    let Some((_, memory_bytes)) = fleet.catalogue().weights(model) else { return 0 };
    let effective = resolve(fleet, &Subject::model(model, now_ms));
    let warm = u32::from(!effective.keep_warm.is_empty());
    u64::from(effective.min_replicas.max(warm)) * memory_bytes.0
}

/// Models that may be placed nowhere.
fn unplaceable(fleet: &Fleet, facts: &Facts, now_ms: u64) -> Vec<String> {
    let Some(zones) = &facts.zones else { return Vec::new() };
    let forbids =
        |setting: &Setting| setting.key == Key::Placeable && setting.value == Value::Flag(false);
    if !fleet.exceptions().iter().any(|exception| exception.settings.iter().any(forbids)) {
        return Vec::new();
    }
    let is_unplaceable = |model: &ModelRef| {
        let subject = Subject::model(model, now_ms);
        !zones.iter().any(|zone| resolve(fleet, &subject.in_zone(zone)).is_placeable)
    };
    let models = fleet.catalogue().models.iter();
    let bases = models.map(|model| ModelRef { model: model.name.clone(), adapter: None });
    bases
        .filter(is_unplaceable)
        .map(|model| format!("no availability zone would be left for {model}"))
        .collect()
}
