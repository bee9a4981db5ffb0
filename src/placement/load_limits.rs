//! Limits on concurrent loads: from the weight store, and of adapters.

use std::collections::VecDeque;

use crate::placement::catalogue;
use crate::placement::settings;

const WINDOW_MS: u64 = 1_000;
/// Weight of the latest load in the moving average of the slowness.
const LEARNING: f64 = 0.3;
/// A load that takes longer than this many times its time at full speed halves the limit.
const SLOW: f64 = 2.0;
/// A load that takes less than this many times its time at full speed raises the limit.
const FAST: f64 = 1.3;
/// Increase of the limit after a fast load.
const RECOVERY: f64 = 0.5;
/// Upper bound of the measured slowness.
const MAX_SLOWNESS: f64 = 16.0;

/// Whether a load may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadStart {
    /// It may start now.
    Now,
    /// It may start at this Unix time at the earliest.
    At(u64),
    /// It may start when another load has ended.
    AfterAnotherEnds,
}

/// Counts loads and determines when the next may start.
///
/// Starts are limited over each sliding second rather than by a bucket of tokens, because a full
/// bucket allows twice its rate in its first second.
#[derive(Clone, Debug)]
pub struct LoadLimits {
    starts_per_s: usize,
    max_store: u32,
    max_adapters: u32,
    starts: VecDeque<u64>,
    store: u32,
    adapters: u32,
    /// Adaptive limit on loads from the weight store, at most `max_store`.
    limit: f64,
    slowness: f64,
}

impl LoadLimits {
    /// Limits of `settings`. A start is counted at `now_ms` for each that a former leader may have
    /// made in the last second.
    pub fn new(settings: &settings::Settings, now_ms: u64) -> Self {
        let starts = std::iter::repeat_n(now_ms, settings.store_starts_per_s).collect();
        Self {
            starts_per_s: settings.store_starts_per_s,
            max_store: settings.store_in_transit,
            max_adapters: settings.adapters_in_transit,
            starts,
            store: 0,
            adapters: 0,
            limit: f64::from(settings.store_in_transit),
            slowness: 1.0,
        }
    }

    /// Whether a load from the weight store may start.
    pub fn store_start(&self, now_ms: u64) -> LoadStart {
        if self.store >= self.store_limit() {
            return LoadStart::AfterAnotherEnds;
        }
        let earliest_ms = self.starts.front().map_or(0, |first_ms| first_ms + WINDOW_MS);
        let is_full = self.starts.len() >= self.starts_per_s;
        if is_full && earliest_ms > now_ms { LoadStart::At(earliest_ms) } else { LoadStart::Now }
    }

    /// Whether an adapter may start to load.
    pub fn adapter_start(&self) -> LoadStart {
        if self.adapters < self.max_adapters { LoadStart::Now } else { LoadStart::AfterAnotherEnds }
    }

    /// Loads from the weight store that may run at once now.
    pub fn store_limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.max_store)
    }

    /// Loads from the weight store that run.
    pub fn store_in_transit(&self) -> u32 {
        self.store
    }

    /// Adapters that load.
    pub fn adapters_in_transit(&self) -> u32 {
        self.adapters
    }

    /// How many times longer than at full speed the weight store takes.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// The time that a load is expected to take, in milliseconds.
    pub fn expected_ms(&self, load: &catalogue::LoadTimes, source: catalogue::WeightSource) -> u64 {
        let full_speed_ms = load.from_source(source);
        match source {
            catalogue::WeightSource::Store => (full_speed_ms as f64 * self.slowness) as u64,
            catalogue::WeightSource::Disk | catalogue::WeightSource::Memory => full_speed_ms,
        }
    }

    /// Counts a start from the weight store.
    pub fn count_start(&mut self, now_ms: u64) {
        self.starts.push_back(now_ms);
        while self.starts.len() > self.starts_per_s {
            self.starts.pop_front();
        }
    }

    /// Counts a replica that starts to read weights.
    pub fn begin(&mut self, is_adapter: bool, source: catalogue::WeightSource) {
        if let Some(count) = self.count(is_adapter, source) {
            *count += 1;
        }
    }

    /// Removes a replica that no longer reads weights from the count.
    pub fn end(&mut self, is_adapter: bool, source: catalogue::WeightSource) {
        if let Some(count) = self.count(is_adapter, source) {
            *count = count.saturating_sub(1);
        }
    }

    fn count(&mut self, is_adapter: bool, source: catalogue::WeightSource) -> Option<&mut u32> {
        match (is_adapter, source) {
            (true, _) => Some(&mut self.adapters),
            (false, catalogue::WeightSource::Store) => Some(&mut self.store),
            (false, _) => None,
        }
    }

    /// Adapts slowness and limit to a load from the weight store that took `took_ms`.
    pub fn learn(&mut self, took_ms: u64, full_speed_ms: u64) {
        let ratio = (took_ms as f64 / full_speed_ms.max(1) as f64).clamp(1.0, MAX_SLOWNESS);
        self.slowness += LEARNING * (ratio - self.slowness);
        if ratio > SLOW {
            self.limit = (self.limit / 2.0).max(1.0);
        } else if ratio < FAST {
            self.limit = (self.limit + RECOVERY).min(f64::from(self.max_store));
        }
    }

    /// Adapts slowness and limit to a load from the weight store that hung.
    pub fn learn_hang(&mut self) {
        self.limit = 1.0;
        self.slowness = (self.slowness * 2.0).min(MAX_SLOWNESS);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use catalogue::WeightSource;

    fn limits() -> LoadLimits {
        LoadLimits::new(&settings::Settings::new(), 0)
    }

    #[test]
    fn three_starts_in_any_second_and_four_loads_at_once() {
        let mut limits = limits();
        assert_eq!(limits.store_start(500), LoadStart::At(1000));
        for now_ms in [1000, 1000, 1400] {
            assert_eq!(limits.store_start(now_ms), LoadStart::Now);
            limits.count_start(now_ms);
            limits.begin(false, WeightSource::Store);
        }
        assert_eq!(limits.store_start(1999), LoadStart::At(2000));
        limits.count_start(2000);
        limits.begin(false, WeightSource::Store);
        assert_eq!(limits.store_start(9000), LoadStart::AfterAnotherEnds);
        limits.begin(true, WeightSource::Store);
        limits.end(false, WeightSource::Store);
        assert_eq!(limits.store_start(9000), LoadStart::Now);
    }

    #[test]
    fn a_slow_store_gets_fewer_loads_and_recovers() {
        let mut limits = limits();
        limits.learn(30_000, 5_000);
        limits.learn(30_000, 5_000);
        assert_eq!(limits.store_limit(), 1);
        let load = catalogue::LoadTimes { memory_ms: 1, disk_ms: 2, store_ms: 1000 };
        assert!(limits.expected_ms(&load, WeightSource::Store) > 2000);
        assert_eq!(limits.expected_ms(&load, WeightSource::Disk), 2);
        limits.learn_hang();
        (0..20).for_each(|_| limits.learn(5_000, 5_000));
        assert_eq!((limits.store_limit(), limits.slowness().round()), (4, 1.0));
    }
}
