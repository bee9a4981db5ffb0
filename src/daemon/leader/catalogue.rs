//! What placement is told of the configuration: each model with its policy, and the fleet's.

use crate::config;
use crate::ids::{ModelRef, TargetId, Version, Zone};
use crate::placement::planner::Event;
use crate::placement::{catalogue, policy};
use crate::units::Bytes;

/// Time that a load of an adapter takes at full speed.
const ADAPTER_LOAD_MS: u64 = 8;
/// Time that a request takes on a replica, until it is learned.
const SERVICE_MS: u64 = 2_000;

/// What placement was told last.
#[derive(Debug, Default)]
pub(super) struct Sent {
    models: Vec<catalogue::ModelSpec>,
    fleet: Option<policy::FleetPolicy>,
}

impl Sent {
    /// The version of a model or adapter that new work gets.
    pub(super) fn version(&self, model: &ModelRef) -> Option<Version> {
        let place = self.models.binary_search_by(|known| known.model.cmp(model)).ok()?;
        Some(self.models[place].version.clone())
    }

    /// What has changed since the last update.
    pub(super) fn update(&mut self, fleet: &config::Fleet, now_ms: u64) -> Vec<Event> {
        let mut events = Vec::new();
        let places = Places::of(fleet, now_ms);
        let own = fleet_policy(fleet, &places);
        if self.fleet.as_ref() != Some(&own) {
            events.push(Event::FleetPolicyChanged(own.clone()));
            self.fleet = Some(own);
        }
        let models = models(fleet, &places, now_ms);
        let is_gone = |old: &&catalogue::ModelSpec| {
            models.binary_search_by(|new| new.model.cmp(&old.model)).is_err()
        };
        let gone = self.models.iter().filter(is_gone);
        events.extend(gone.map(|model| Event::ModelRemoved(model.model.clone())));
        for model in &models {
            let place = self.models.binary_search_by(|old| old.model.cmp(&model.model));
            if place.is_err() || place.is_ok_and(|at| self.models[at] != *model) {
                events.push(Event::ModelChanged(Box::new(model.clone())));
            }
        }
        self.models = models;
        events
    }
}

/// Targets and zones that exceptions name for placement, sorted.
struct Places {
    zones: Vec<Zone>,
    targets: Vec<TargetId>,
}

impl Places {
    fn of(fleet: &config::Fleet, now_ms: u64) -> Self {
        let mut zones = Vec::new();
        let mut targets = Vec::new();
        for exception in fleet.exceptions().iter().filter(|e| e.is_in_force(now_ms)) {
            zones.extend(exception.scope.availability_zone.clone());
            targets.extend(exception.scope.target.clone());
        }
        zones.sort_unstable();
        zones.dedup();
        targets.sort_unstable();
        targets.dedup();
        Self { zones, targets }
    }
}

/// Whether an operator empties a target or its zone.
pub(super) fn is_drained(
    fleet: &config::Fleet,
    target: &TargetId,
    zone: &Zone,
    now_ms: u64,
) -> bool {
    let subject = config::Subject {
        availability_zone: Some(zone),
        target: Some(target),
        now_ms,
        ..config::Subject::default()
    };
    config::resolve(fleet, &subject).is_draining
}

fn fleet_policy(fleet: &config::Fleet, places: &Places) -> policy::FleetPolicy {
    let base = fleet.base();
    let zone_is_drained = |zone: &&Zone| {
        let subject =
            config::Subject { availability_zone: Some(zone), ..config::Subject::default() };
        config::resolve(fleet, &subject).is_draining
    };
    let target_is_drained = |target: &&TargetId| {
        let subject = config::Subject { target: Some(target), ..config::Subject::default() };
        config::resolve(fleet, &subject).is_draining
    };
    let default = policy::FleetPolicy::default();
    policy::FleetPolicy {
        idle_weight: base.idle_weight,
        cold_start_weight: default.cold_start_weight * base.cold_start_weight,
        headroom_weight: default.headroom_weight * base.crest_weight,
        drained_targets: places.targets.iter().filter(target_is_drained).cloned().collect(),
        drained_zones: places.zones.iter().filter(zone_is_drained).cloned().collect(),
        utc_offset_minutes: base.utc_offset_min.0,
    }
}

/// All models and adapters with their policies, sorted.
fn models(fleet: &config::Fleet, places: &Places, now_ms: u64) -> Vec<catalogue::ModelSpec> {
    let mut models = Vec::new();
    for model in &fleet.catalogue().models {
        let base = ModelRef { model: model.name.clone(), adapter: None };
        let load = load_times(model.memory_bytes);
        let version = model.version.clone();
        models.push(placed(
            fleet,
            places,
            now_ms,
            catalogue::ModelSpec {
                model: base,
                version,
                memory_bytes: model.memory_bytes,
                load,
                service_ms: SERVICE_MS,
                slots: model.slots,
                policy: policy::ModelPolicy::default(),
            },
        ));
        for adapter in &model.adapters {
            let name = ModelRef { model: model.name.clone(), adapter: Some(adapter.name.clone()) };
            let ms = ADAPTER_LOAD_MS;
            models.push(placed(
                fleet,
                places,
                now_ms,
                catalogue::ModelSpec {
                    model: name,
                    version: adapter.version.clone(),
                    memory_bytes: adapter.memory_bytes,
                    load: catalogue::LoadTimes { memory_ms: ms, disk_ms: ms, store_ms: ms },
                    service_ms: SERVICE_MS,
                    slots: model.slots,
                    policy: policy::ModelPolicy::default(),
                },
            ));
        }
    }
    models.sort_unstable_by(|a, b| a.model.cmp(&b.model));
    models
}

/// A first estimate of the time that a load takes, by size. Placement learns the true times.
fn load_times(memory_bytes: Bytes) -> catalogue::LoadTimes {
    let gib = memory_bytes.0.div_ceil(Bytes::GIB.0);
    catalogue::LoadTimes {
        memory_ms: 200 + 50 * gib,
        disk_ms: 500 + 200 * gib,
        store_ms: 1_000 + 500 * gib,
    }
}

/// A model with the version and the policy that apply to it.
fn placed(
    fleet: &config::Fleet,
    places: &Places,
    now_ms: u64,
    mut model: catalogue::ModelSpec,
) -> catalogue::ModelSpec {
    let name = model.model.clone();
    let subject = config::Subject::model(&name, now_ms);
    let effective = config::resolve(fleet, &subject);
    let is_forbidden_zone = |zone: &&Zone| {
        let subject = config::Subject { availability_zone: Some(zone), ..subject };
        !config::resolve(fleet, &subject).is_placeable
    };
    let is_forbidden_target = |target: &&TargetId| {
        let subject = config::Subject { target: Some(target), ..subject };
        !config::resolve(fleet, &subject).is_placeable
    };
    let windows = effective.keep_warm.as_slice().iter();
    model.policy = policy::ModelPolicy {
        min_replicas: effective.min_replicas,
        max_replicas: effective.max_replicas,
        keep_warm: windows
            .map(|w| policy::DailyWindow { from_minute: w.start_min, to_minute: w.end_min })
            .collect(),
        forbidden_zones: places.zones.iter().filter(is_forbidden_zone).cloned().collect(),
        forbidden_targets: places.targets.iter().filter(is_forbidden_target).cloned().collect(),
    };
    model.version = effective.version.unwrap_or(model.version);
    model
}
