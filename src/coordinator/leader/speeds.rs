//! Records what routers measure of the speeds of targets.

use super::Leader;
use crate::coordinator::speeds::SpeedSample;
use crate::ids::DaemonId;
use crate::rate_limit::TargetLife;

impl Leader {
    /// Applies the samples of a router, and logs the targets whose published speed changes.
    pub(super) fn record_speeds(&self, now_ms: u64, from: &DaemonId, samples: &[SpeedSample]) {
        let changed = self.speeds.borrow_mut().record(now_ms, samples);
        for speed in changed {
            metrics::counter!("fescuebay_speeds_published_total").increment(1);
            log::info!(
                target_id:% = speed.target, life = speed.incarnation.0, percent = speed.percent,
                router:% = from;
                "target {} of incarnation {} takes {}% of the usual time",
                speed.target,
                speed.incarnation,
                speed.percent
            );
        }
    }

    /// The time that a target takes relative to others of its service. 1 is usual.
    pub fn slowness(&self, life: &TargetLife) -> f64 {
        self.speeds.borrow().slowness(life)
    }
}
