//! Placement policies set by operators, for one model and for the fleet.

use crate::ids::{TargetId, Zone};

const MINUTES_PER_DAY: i64 = 1440;
const MS_PER_MINUTE: i64 = 60_000;

/// A time window of the day, which may span midnight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DailyWindow {
    /// The first minute of the day in it, from 0 to 1439.
    pub from_minute: u16,
    /// The first minute of the day after it, from 0 to 1440.
    pub to_minute: u16,
}

impl DailyWindow {
    /// Whether `minute` of the day is in the window.
    pub fn contains(&self, minute: u16) -> bool {
        if self.from_minute <= self.to_minute {
            (self.from_minute..self.to_minute).contains(&minute)
        } else {
            minute >= self.from_minute || minute < self.to_minute
        }
    }
}

/// The operators' policy for one model or adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelPolicy {
    /// Smallest number of replicas: 1 or more pins the model.
    pub min_replicas: u32,
    /// Largest number of replicas.
    pub max_replicas: u32,
    /// Time windows of the day in which at least one replica is held.
    pub keep_warm: Vec<DailyWindow>,
    /// Availability zones that it may not be loaded in, sorted.
    pub forbidden_zones: Vec<Zone>,
    /// Targets that it may not be loaded on, sorted.
    pub forbidden_targets: Vec<TargetId>,
}

impl Default for ModelPolicy {
    fn default() -> Self {
        Self {
            min_replicas: 0,
            max_replicas: u32::MAX,
            keep_warm: Vec::new(),
            forbidden_zones: Vec::new(),
            forbidden_targets: Vec::new(),
        }
    }
}

impl ModelPolicy {
    /// Smallest number of replicas at this minute of the day, with or without demand.
    pub fn floor(&self, minute: u16) -> u32 {
        let is_warm = self.keep_warm.iter().any(|window| window.contains(minute));
        self.min_replicas.max(u32::from(is_warm)).min(self.max_replicas)
    }

    /// Whether a replica may be on this target.
    pub fn allows(&self, target: &TargetId, zone: &Zone) -> bool {
        self.forbidden_zones.binary_search(zone).is_err()
            && self.forbidden_targets.binary_search(target).is_err()
    }
}

/// The operators' policy for the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetPolicy {
    /// The price of one accelerator held unused for a second.
    pub idle_weight: f64,
    /// The price of one second of cold start, on the scale of [`FleetPolicy::idle_weight`].
    pub cold_start_weight: f64,
    /// Headroom for demand peaks: 0 sizes replicas for the current demand, 1 for twice as much.
    pub headroom_weight: f64,
    /// Targets being drained, sorted.
    pub drained_targets: Vec<TargetId>,
    /// Availability zones being drained, sorted.
    pub drained_zones: Vec<Zone>,
    /// Local time of the windows, in minutes east of UTC.
    pub utc_offset_minutes: i32,
}

impl Default for FleetPolicy {
    fn default() -> Self {
        Self {
            idle_weight: 1.0,
            cold_start_weight: 4.0,
            headroom_weight: 0.25,
            drained_targets: Vec::new(),
            drained_zones: Vec::new(),
            utc_offset_minutes: 0,
        }
    }
}

impl FleetPolicy {
    /// Whether this target or its availability zone is being drained.
    pub fn is_drained(&self, target: &TargetId, zone: &Zone) -> bool {
        self.drained_targets.binary_search(target).is_ok()
            || self.drained_zones.binary_search(zone).is_ok()
    }

    /// The local minute of the day at the Unix time `now_ms`.
    pub fn minute_of_day(&self, now_ms: u64) -> u16 {
        let minutes = now_ms as i64 / MS_PER_MINUTE + i64::from(self.utc_offset_minutes);
        minutes.rem_euclid(MINUTES_PER_DAY) as u16
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_window_may_span_midnight() {
        let evening = DailyWindow { from_minute: 18 * 60, to_minute: 1440 };
        assert!(evening.contains(18 * 60) && evening.contains(1439) && !evening.contains(0));
        let night = DailyWindow { from_minute: 22 * 60, to_minute: 6 * 60 };
        assert!(night.contains(23 * 60) && night.contains(0) && !night.contains(6 * 60));
    }

    #[test]
    fn the_minute_of_the_day_is_local() {
        let fleet = FleetPolicy { utc_offset_minutes: -300, ..FleetPolicy::default() };
        assert_eq!(fleet.minute_of_day(0), 19 * 60);
    }
}
