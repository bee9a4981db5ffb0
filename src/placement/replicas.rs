//! Computes how many replicas the demand for one model needs, and the value of an idle replica.

/// Time within which the backlog is to be served, unless its deadline is sooner.
const DRAIN_MS: u64 = 10_000;
/// Time over which the next use of an idle replica counts when it is compared with another.
const VALUE_HORIZON_S: f32 = 60.0;

/// Demand for one model, and the capacity and load time of its replicas.
#[derive(Clone, Copy, Debug)]
pub struct DemandEstimate {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub in_flight: u32,
    /// Arrivals a second.
    pub rate_per_s: f64,
    /// Time until the earliest deadline of the waiting requests, in milliseconds.
    pub time_left_ms: u64,
    /// Time that a request takes, in milliseconds.
    pub service_ms: u64,
    /// Requests that a replica runs at once.
    pub slots: u32,
    /// Time that a load takes, in milliseconds.
    pub load_ms: u64,
    /// Headroom for demand peaks: 0 for none, 1 for twice the current demand.
    pub headroom_weight: f64,
}

/// Replicas that the demand needs.
///
/// Running work and arrivals are sized by Little's law; the backlog is added as the work that must
/// run at once for it to end in time.
pub fn needed_replicas(demand: &DemandEstimate) -> u32 {
    if demand.waiting + demand.in_flight == 0 {
        return 0;
    }
    let service_ms = demand.service_ms.max(1);
    let arriving = demand.rate_per_s * service_ms as f64 / 1000.0;
    let running = f64::from(demand.in_flight).max(arriving);
    let drain_ms = demand.time_left_ms.saturating_sub(demand.load_ms).min(DRAIN_MS);
    let backlog = f64::from(demand.waiting) * service_ms as f64 / drain_ms.max(service_ms) as f64;
    let at_once = running * (1.0 + demand.headroom_weight) + backlog;
    ((at_once / f64::from(demand.slots.max(1))).ceil() as u32).max(1)
}

/// Whether holding an idle replica is worth its price.
///
/// `hazard_per_s` is the rate of the next use, `load_ms` the cold start that it would save,
/// `accelerators` the part of an accelerator that it takes.
pub fn is_worth_holding(
    hazard_per_s: f32,
    load_ms: u64,
    accelerators: f64,
    fleet: &crate::placement::policy::FleetPolicy,
) -> bool {
    let saved_per_s = f64::from(hazard_per_s) * load_ms as f64 / 1000.0;
    saved_per_s * fleet.cold_start_weight >= accelerators * fleet.idle_weight
}

/// Cost of evicting an idle replica, as expected cold start time in milliseconds.
pub fn eviction_loss_ms(hazard_per_s: f32, load_ms: u64) -> u64 {
    ((hazard_per_s * VALUE_HORIZON_S).min(1.0) * load_ms as f32) as u64
}

/// The number of wanted replicas: raised at once, lowered one at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct WantedReplicas {
    count: u32,
    confirmed_ms: u64,
}

impl WantedReplicas {
    /// The count.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Sets the count at once.
    pub fn set(&mut self, now_ms: u64, count: u32) {
        *self = Self { count, confirmed_ms: now_ms };
    }

    /// Adjusts the count towards `needed`, but never removes the last replica.
    pub fn follow(&mut self, now_ms: u64, needed: u32, scale_down_ms: u64) {
        if needed >= self.count {
            self.set(now_ms, needed);
            return;
        }
        let is_due = now_ms.saturating_sub(self.confirmed_ms) >= scale_down_ms;
        if is_due && self.count > 1 {
            self.count -= 1;
            // The next replica goes after half the time, since the demand has been lower for long.
            self.confirmed_ms = now_ms - scale_down_ms / 2;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn demand(waiting: u32, in_flight: u32, rate_per_s: f64) -> DemandEstimate {
        DemandEstimate {
            waiting,
            in_flight,
            rate_per_s,
            time_left_ms: 60_000,
            service_ms: 2_000,
            slots: 8,
            load_ms: 5_000,
            headroom_weight: 0.0,
        }
    }

    #[test]
    fn replicas_follow_from_demand() {
        let cases = [
            (demand(0, 0, 3.0), 0),
            (demand(1, 0, 0.1), 1),
            (demand(9, 0, 0.9), 1),
            (demand(0, 17, 0.0), 3),
            (demand(200, 0, 0.0), 5),
            (DemandEstimate { headroom_weight: 1.0, ..demand(0, 8, 0.0) }, 2),
            (DemandEstimate { time_left_ms: 7_000, ..demand(24, 0, 0.0) }, 3),
        ];
        for (demand, count) in cases {
            assert_eq!(needed_replicas(&demand), count, "{demand:?}");
        }
    }

    #[test]
    fn replicas_are_added_at_once_and_taken_away_one_at_a_time() {
        let mut wanted = WantedReplicas::default();
        wanted.follow(0, 4, 30_000);
        assert_eq!(wanted.count(), 4);
        wanted.follow(29_999, 0, 30_000);
        assert_eq!(wanted.count(), 4);
        wanted.follow(30_000, 0, 30_000);
        wanted.follow(30_001, 0, 30_000);
        assert_eq!(wanted.count(), 3);
        (0..99).for_each(|i| wanted.follow(60_000 + i * 30_000, 0, 30_000));
        assert_eq!(wanted.count(), 1);
    }
}
