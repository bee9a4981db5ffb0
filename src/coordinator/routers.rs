//! The routers that a leader knows, and which of them can help one that reaches no target.
//!
//! Worst-case load: most routers lose their paths to the targets at once, and each of them has all of its
//! requests forwarded by the few that still reach them.

use xxhash_rust::xxh3;

use crate::ids::{DaemonId, ServiceName, Zone};
use crate::membership::feed::FeedCursor;

/// Routers that are named to one that asks. It spreads its requests over them.
pub const MAX_HELPERS: usize = 6;
/// A router that has not polled for this long is not named: it may have ended.
const FRESH_MS: u64 = 1_200;

/// A router that polls the leader.
#[derive(Clone, Debug)]
pub struct RouterContact {
    /// The router.
    pub router: DaemonId,
    /// Where it runs.
    pub zone: Option<Zone>,
    /// When it last polled.
    pub heard_ms: u64,
    /// When its process polled for the first time.
    pub started_ms: u64,
    /// The last change of the services with several versions after which it has told of all its streams.
    pub streams_told: FeedCursor,
    /// The services of which it reaches no target, sorted.
    pub lost_services: Vec<ServiceName>,
}

/// Asks for routers that reach targets of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HelperQuery {
    /// The service.
    pub service: ServiceName,
    /// Where the router that asks runs.
    pub zone: Zone,
}

/// Chooses the routers that can forward requests for the router `asking`: those of its zone first. Each router
/// that asks gets others, so that the load is spread.
pub fn choose_helpers(
    now_ms: u64,
    asking: &DaemonId,
    query: &HelperQuery,
    routers: &[RouterContact],
) -> Vec<DaemonId> {
    let can_help = |contact: &&RouterContact| {
        contact.router != *asking
            && now_ms < contact.heard_ms + FRESH_MS
            && contact.lost_services.binary_search(&query.service).is_err()
    };
    let seed = xxh3::xxh3_64(asking.as_str().as_bytes());
    let rank = |contact: &&RouterContact| {
        let is_elsewhere = contact.zone.as_ref() != Some(&query.zone);
        let draw = xxh3::xxh3_64_with_seed(contact.router.as_str().as_bytes(), seed);
        (is_elsewhere, draw)
    };
    let mut helpers: Vec<&RouterContact> = routers.iter().filter(can_help).collect();
    helpers.sort_by_key(rank);
    helpers.into_iter().take(MAX_HELPERS).map(|contact| contact.router.clone()).collect()
}
