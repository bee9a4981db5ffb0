//! Limits and times of placement.

use crate::units::Bytes;

/// Limits and times of placement. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub(super) store_starts_per_s: usize,
    pub(super) store_in_transit: u32,
    pub(super) adapters_in_transit: u32,
    pub(super) kv_cache_share: f64,
    pub(super) lease_ms: u64,
    pub(super) order_limit_ms: u64,
    pub(super) clock_skew_ms: u64,
    pub(super) takeover_ms: u64,
    pub(super) demand_limit_ms: u64,
    pub(super) scale_down_ms: u64,
    pub(super) hang_floor_ms: u64,
    pub(super) hang_factor: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            store_starts_per_s: 3,
            store_in_transit: 4,
            adapters_in_transit: 30,
            kv_cache_share: 0.2,
            lease_ms: 2_000,
            order_limit_ms: 2_000,
            clock_skew_ms: 500,
            takeover_ms: 2_500,
            demand_limit_ms: 10_000,
            scale_down_ms: 30_000,
            hang_floor_ms: 2_000,
            hang_factor: 4,
        }
    }
}

impl Settings {
    /// Creates settings with limits for the current fleet size.
    pub fn new() -> Self {
        Self::default()
    }

    /// Loads from the weight store: starts in any second, and loads at once.
    pub fn store_limits(mut self, starts_per_s: usize, in_transit: u32) -> Self {
        self.store_starts_per_s = starts_per_s.max(1);
        self.store_in_transit = in_transit.max(1);
        self
    }

    /// Adapters that load at once on all targets together.
    pub fn adapters_in_transit(mut self, adapters: u32) -> Self {
        self.adapters_in_transit = adapters.max(1);
        self
    }

    /// The share of accelerator memory that is kept for KV cache, from 0 to 1.
    pub fn kv_cache_share(mut self, share: f64) -> Self {
        self.kv_cache_share = share.clamp(0.0, 1.0);
        self
    }

    /// How long a former leader may keep sending orders after this one starts.
    pub fn lease_ms(mut self, lease_ms: u64) -> Self {
        self.lease_ms = lease_ms;
        self
    }

    /// The time after which an order expires unanswered.
    pub fn order_limit_ms(mut self, order_limit_ms: u64) -> Self {
        self.order_limit_ms = order_limit_ms;
        self
    }

    /// Largest difference between the clocks of targets and daemons.
    pub fn clock_skew_ms(mut self, clock_skew_ms: u64) -> Self {
        self.clock_skew_ms = clock_skew_ms;
        self
    }

    /// The time before a new leader sends its first order. If this is the order limit plus the
    /// clock skew, all undelivered orders of a former leader have expired: a target that restarts
    /// meanwhile no longer knows which fencing numbers it received. 0 is safe where there was no
    /// former leader.
    pub fn takeover_ms(mut self, takeover_ms: u64) -> Self {
        self.takeover_ms = takeover_ms;
        self
    }

    /// The time after which demand that was not reported again no longer counts.
    pub fn demand_limit_ms(mut self, demand_limit_ms: u64) -> Self {
        self.demand_limit_ms = demand_limit_ms;
        self
    }

    /// How long demand must stay lower before a replica is removed.
    pub fn scale_down_ms(mut self, scale_down_ms: u64) -> Self {
        self.scale_down_ms = scale_down_ms;
        self
    }

    /// A load counts as hung after `factor` times its expected load time, at least `floor_ms`.
    pub fn hang_bound(mut self, floor_ms: u64, factor: u64) -> Self {
        self.hang_floor_ms = floor_ms;
        self.hang_factor = factor.max(1);
        self
    }

    /// The part of `memory` that replicas may occupy.
    pub(super) fn weights_share(&self, memory: Bytes) -> Bytes {
        Bytes((memory.0 as f64 * (1.0 - self.kv_cache_share)) as u64)
    }
}
