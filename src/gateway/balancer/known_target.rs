//! One target as its router knows it.

use crate::ids::{ModelRef, ServiceName};
use crate::membership::table::TargetEntry;
use crate::rate_limit::TargetLife;
use crate::slot_lease::pool::InUse;

/// A target with this router's view of its load and health.
#[derive(Clone, Debug)]
pub struct KnownTarget {
    /// The target's entry in the target table, as published by the leader.
    pub entry: TargetEntry,
    /// Requests of this router in flight, by model.
    pub(super) running_by_model: Vec<(Option<ModelRef>, u32)>,
    pub(super) own_requests: u32,
    /// Requests of all other routers in flight, as last published by the leader.
    pub(super) other_requests: u32,
    /// Requests of this router that the leader was last told of.
    pub(super) reported_requests: u32,
    /// Tokens that the requests of this router need.
    pub(super) own_tokens: u64,
    /// Tokens of all requests that this router has sent there.
    pub(super) sent_tokens: u64,
    /// Prompt tokens of this router's requests that have not had a first event yet.
    pub(super) unread_tokens: u64,
    pub(super) failures: u32,
    pub(super) avoid_until_ms: u64,
    /// Models that the target reported as not loaded although the table lists them, and until when
    /// the report counts.
    pub(super) missing_models: Vec<(ModelRef, u64)>,
}

impl KnownTarget {
    pub(super) fn new(entry: TargetEntry) -> Self {
        Self {
            entry,
            running_by_model: Vec::new(),
            own_requests: 0,
            other_requests: 0,
            reported_requests: 0,
            own_tokens: 0,
            sent_tokens: 0,
            unread_tokens: 0,
            failures: 0,
            avoid_until_ms: 0,
            missing_models: Vec::new(),
        }
    }

    /// Known requests in flight, over all routers.
    pub fn in_flight(&self) -> u32 {
        self.own_requests + self.other_requests
    }

    /// The incarnation of the target.
    pub fn life(&self) -> TargetLife {
        self.entry.life()
    }

    /// Prompt tokens of this router's requests that have not had a first event yet.
    pub fn unread_tokens(&self) -> u64 {
        self.unread_tokens
    }

    /// Requests of this router at the target.
    pub(super) fn in_use(&self) -> InUse {
        InUse { announced: self.entry.slots.max(1), running: self.own_requests }
    }

    pub(super) fn serves(&self, service: &ServiceName) -> bool {
        self.entry.services.first() == Some(service)
    }

    pub(super) fn is_listed_with(&self, model: &ModelRef) -> bool {
        self.entry.replicas.binary_search_by(|replica| replica.model.cmp(model)).is_ok()
    }

    pub(super) fn has_model(&self, now_ms: u64, model: &ModelRef) -> bool {
        let is_missing =
            |(missing, until_ms): &(ModelRef, u64)| missing == model && now_ms < *until_ms;
        self.is_listed_with(model) && !self.missing_models.iter().any(is_missing)
    }

    /// Applies a newer table entry of the same incarnation. A missing model that the new entry does
    /// not list may be loaded again later, so its mark is removed.
    pub(super) fn set_entry(&mut self, entry: &TargetEntry) {
        self.entry = entry.clone();
        let missing_models = std::mem::take(&mut self.missing_models);
        self.missing_models =
            missing_models.into_iter().filter(|(model, _)| self.is_listed_with(model)).collect();
    }
}
