//! How many requests want the slots of the replicas that could serve a request.

use super::{Balancer, KnownTarget};
use crate::gateway::choice::TargetQuery;
use crate::gateway::forecast::Crowd;

impl Balancer {
    /// The slots of all targets that could serve a request, and the requests in flight there.
    pub fn crowd(&self, now_ms: u64, query: &TargetQuery<'_>) -> Crowd {
        let could_serve = |target: &&KnownTarget| {
            target.serves(query.service)
                && query.continuation.admits(&target.entry)
                && !self.is_leaving(&target.entry)
                && query.model.is_none_or(|model| target.has_model(now_ms, model))
        };
        let mut crowd = Crowd::default();
        for target in self.targets.iter().filter(could_serve) {
            crowd.slots += target.entry.slots.max(1);
            crowd.in_flight += target.in_flight();
            crowd.own_running += target.own_requests;
        }
        crowd
    }
}
