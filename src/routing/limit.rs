//! Adaptive concurrency limit of a target, driven by its latency.
//!
//! The limit moves by the gradient of latency, after Netflix's `concurrency-limits` ("Gradient2"):
//! `limit * tolerance / slowness + headroom`, smoothed. Requests above the limit wait at the
//! router, where they can be reordered, and not in the inference engine, where they can't.

use crate::target::order::Load;

/// Slowness up to which the limit may grow.
const TOLERANCE: f64 = 1.8;
/// Smallest factor that one response applies.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of the newest response.
const SMOOTHING: f64 = 0.2;
/// The limit of a target that announced no slots.
const DEFAULT_SLOTS: u32 = 8;

/// The limit of one target.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    value: f64,
    max: f64,
}

impl ConcurrencyLimit {
    /// Creates the limit of a target that announced `slots`; 0 means unknown.
    pub fn new(slots: u32) -> Self {
        let max = f64::from(if slots == 0 { DEFAULT_SLOTS } else { slots });
        Self { value: max, max }
    }

    /// Rescales the limit to newly announced slots.
    pub fn set_slots(&mut self, slots: u32) {
        let new = Self::new(slots);
        if (new.max - self.max).abs() > f64::EPSILON {
            self.value = (self.value * new.max / self.max).max(1.0);
            self.max = new.max;
        }
    }

    /// The number of calls that may run at once; at least 1.
    pub fn get(&self) -> u32 {
        self.value as u32
    }

    /// The number of slots that the target announced, or the default.
    pub fn slots(&self) -> f64 {
        self.max
    }

    /// Adjusts the limit after a response, from the slowness, the calls in flight at that time and
    /// the load that the target reported.
    pub fn observe(&mut self, slowness: f64, in_flight: u32, load: Option<Load>) {
        let mut gradient = (TOLERANCE / slowness).clamp(MIN_GRADIENT, 1.0);
        if let Some(load) = load.filter(|load| load.waiting > 0) {
            let share = f64::from(load.running.max(1)) / f64::from(load.running + load.waiting);
            gradient = gradient.min(share.max(MIN_GRADIENT));
        }
        let is_used = f64::from(in_flight) * 2.0 >= self.value;
        if gradient >= 1.0 && !is_used {
            return;
        }
        let headroom = if gradient < 1.0 { 0.0 } else { self.value.sqrt() };
        let next = self.value * gradient + headroom;
        self.value = (self.value + SMOOTHING * (next - self.value)).clamp(1.0, self.max);
    }

    /// Shrinks the limit after the target refused a call as busy.
    pub fn shrink_after_busy(&mut self, in_flight: u32) {
        let below = f64::from(in_flight.saturating_sub(1));
        self.value = (self.value * MIN_GRADIENT).min(below).clamp(1.0, self.max);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limit_shrinks_while_target_is_slow_and_recovers() {
        let mut limit = ConcurrencyLimit::new(16);
        (0..20).for_each(|_| limit.observe(10.0, 16, None));
        assert!(limit.get() <= 3);
        (0..60).for_each(|_| limit.observe(1.0, limit.get(), None));
        assert_eq!(limit.get(), 16);
    }

    #[test]
    fn queue_inside_the_target_shrinks_the_limit() {
        let mut limit = ConcurrencyLimit::new(16);
        let load = Load { running: 8, waiting: 8, slots: 8 };
        (0..10).for_each(|_| limit.observe(1.0, 16, Some(load)));
        assert!(limit.get() < 8);
    }
}
