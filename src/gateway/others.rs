//! Requests of other routers at a target, while the totals of the leader are recent and while they are old.
//!
//! Workload: 79 routers send requests for one model to a few replicas while a leader is elected. Taken as
//! constant, the last totals make all routers prefer the same replica until the next leader is known.

/// Totals older than this are not taken as they are. The leader sends them every 400 ms at the latest.
pub const OLD_MS: u64 = 500;
/// Time constant with which old totals lose their meaning: requests end, and others begin.
const FADE_MS: f64 = 1_000.0;
/// Weight of old totals against the requests of this router, in requests.
const PRIOR_REQUESTS: f64 = 0.25;
/// Requests at a target that are thought possible although the last totals had none.
const MIN_PRIOR: f64 = 1.0;

/// What a router knows of the totals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TotalsAge {
    /// Time since the leader was last heard. `None` if no totals are needed, or none were ever told.
    pub age_ms: Option<u64>,
    /// The number of routers.
    pub routers: u32,
}

impl TotalsAge {
    /// Whether the totals can no longer be taken as they are.
    pub fn is_old(self) -> bool {
        self.routers > 1 && self.age_ms.is_some_and(|age_ms| age_ms > OLD_MS)
    }

    fn others(self) -> f64 {
        f64::from(self.routers.saturating_sub(1))
    }

    /// The requests of other routers that are expected at a target with `own` requests of this router. `last`
    /// were there by the last totals, `fair` is its share of all requests of other routers at the replicas.
    ///
    /// The others are assumed to do what this router does. Its own requests are few, so they are weighed
    /// against the last totals, which move towards an even distribution with their age.
    pub fn expected(self, last: u32, own: u32, fair: f64) -> f64 {
        if !self.is_old() {
            return f64::from(last);
        }
        let prior = self.faded(last, fair).max(MIN_PRIOR);
        let each_router = prior / self.others();
        self.others() * (PRIOR_REQUESTS + f64::from(own)) / (PRIOR_REQUESTS / each_router + 1.0)
    }

    /// The last totals as they move towards an even distribution. Their sum over all replicas stays the same:
    /// for each request that ends, another begins.
    fn faded(self, last: u32, fair: f64) -> f64 {
        let old_ms = self.age_ms.unwrap_or_default().saturating_sub(OLD_MS) as f64;
        let kept = (-old_ms / FADE_MS).exp();
        f64::from(last) * kept + fair * (1.0 - kept)
    }

    /// The requests of other routers that are there with some certainty: by the last totals, or because this
    /// router has so many of its own that the others have some, too. `fair` is as for [`TotalsAge::expected`].
    pub fn certain(self, last: u32, own: u32, fair: f64) -> u32 {
        if !self.is_old() {
            return last;
        }
        let own = f64::from(own);
        // Two standard deviations less than what it has.
        let each_router = (own - 2.0 * own.sqrt()).max(0.0);
        self.faded(last, fair).max(self.others() * each_router) as u32
    }
}
