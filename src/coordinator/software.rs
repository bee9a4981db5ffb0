//! Decides when a further software version of a service is put on record. Its targets are shown to routers after
//! that.
//!
//! Until then the versions on record have begun every stream of the service, so the leader knows who began
//! the streams that it was not told of. Therefore routers first tell it of the streams that run, and callers of
//! routers that were just lost get the time to return.
//!
//! Worst-case load: all routers are killed as the first target of a new version announces itself, and their
//! callers return within a second.

use super::routers::RouterContact;
use crate::ids::{ServiceName, SoftwareVersion};
use crate::membership::feed::FeedCursor;

/// Upper bound of the time for which a version is held back: a router may be lost without a word. A caller
/// whose router was killed returns within it.
pub const MAX_PREPARATION_MS: u64 = 1_500;

/// A version that is about to be put on record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preparation {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub software: SoftwareVersion,
    /// When a target of it announced itself.
    pub since_ms: u64,
    /// The change that tells routers that the service has several versions.
    pub announced: FeedCursor,
}

impl Preparation {
    /// Whether the version can be put on record, by a leader that has led since `leading_since_ms`.
    pub fn is_complete(
        &self,
        now_ms: u64,
        leading_since_ms: u64,
        routers: &[RouterContact],
    ) -> bool {
        let is_past = |since_ms: u64| now_ms >= since_ms + MAX_PREPARATION_MS;
        let is_told = |contact: &RouterContact| {
            contact.streams_told >= self.announced && is_past(contact.started_ms)
        };
        is_past(self.since_ms) || (is_past(leading_since_ms) && routers.iter().all(is_told))
    }
}
