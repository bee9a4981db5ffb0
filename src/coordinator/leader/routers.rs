//! Keeps track of the routers that poll, and names those that can help one that reaches no target.

use super::Leader;
use crate::coordinator::message::WatchRequest;
use crate::coordinator::routers::{self, HelperQuery, RouterContact};
use crate::ids::{DaemonId, ServiceName};
use crate::membership::feed::FeedCursor;

impl Leader {
    /// Records a poll of a router.
    pub(super) fn note_router(&self, router: &DaemonId, watch: &WatchRequest) {
        let heard_ms = self.context.clock.now_ms();
        let is_start = watch.cursor == FeedCursor::default();
        let mut routers = self.routers.borrow_mut();
        match routers.binary_search_by(|known| known.router.cmp(router)) {
            Ok(at) => {
                let contact = &mut routers[at];
                contact.heard_ms = heard_ms;
                contact.zone = watch.zone.clone();
                if is_start {
                    contact.started_ms = heard_ms;
                }
            }
            Err(at) => {
                let contact = RouterContact {
                    router: router.clone(),
                    zone: watch.zone.clone(),
                    heard_ms,
                    started_ms: if is_start { heard_ms } else { 0 },
                    streams_told: watch.streams_told,
                    lost_services: Vec::new(),
                };
                routers.insert(at, contact);
            }
        }
        drop(routers);
        self.note_streams_told(router, watch.streams_told);
    }

    /// Records that a router has told of all its streams after a change of the services with several
    /// software versions.
    pub fn note_streams_told(&self, router: &DaemonId, streams_told: FeedCursor) {
        let mut routers = self.routers.borrow_mut();
        let known = routers.binary_search_by(|known| known.router.cmp(router));
        let Ok(at) = known else { return };
        if std::mem::replace(&mut routers[at].streams_told, streams_told) != streams_told {
            drop(routers);
            self.finish_preparations(self.context.clock.now_ms());
        }
    }

    /// Records the services of which a router reaches no target.
    pub(super) fn note_lost_services(&self, router: &DaemonId, lost: &[ServiceName]) {
        let mut routers = self.routers.borrow_mut();
        let known = routers.binary_search_by(|known| known.router.cmp(router));
        let Ok(at) = known else { return };
        let contact = &mut routers[at];
        if contact.lost_services == lost {
            return;
        }
        log::warn!(
            router:% = router, lost:? = lost, lost_before:? = contact.lost_services,
            term = self.term.0;
            "services of which router {router} reaches no target"
        );
        contact.lost_services = lost.to_vec();
        let without_targets = routers.iter().filter(|known| !known.lost_services.is_empty());
        metrics::gauge!("fescuebay_routers_without_targets").set(without_targets.count() as f64);
    }

    /// The routers that can forward requests for this one.
    pub fn find_helpers(&self, asking: &DaemonId, query: &HelperQuery) -> Vec<DaemonId> {
        let now_ms = self.context.clock.now_ms();
        routers::choose_helpers(now_ms, asking, query, &self.routers.borrow())
    }
}
