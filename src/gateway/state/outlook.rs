//! When waiting requests are expected to begin, and which of them are refused because of it.

use super::RouterState;
use crate::gateway::balancer::{TargetChoice, TargetQuery};
use crate::gateway::continuation::Continuation;
use crate::gateway::forecast::{Crowd, Outlook, Scarcity, Shortage, Waiting};
use crate::gateway::queue::{WaiterId, WaitingRequest};
use crate::gateway::wait_limit::{self, Hold};
use crate::ids::{ModelRef, ServiceName};

/// Shortest time between two reviews of the waiting requests, each of which looks at all of them.
const REVIEW_INTERVAL_MS: u64 = 100;

/// The place of a request in the queue.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) struct QueuePlace {
    /// How long it has waited.
    pub waited_ms: u64,
    /// Requests that wait for the same model, this one included.
    pub waiting: u32,
    /// Those of them that go before it.
    pub ahead: u32,
}

/// The replicas of one model, while the waiting requests are reviewed.
struct KnownCrowd {
    service: ServiceName,
    model: Option<ModelRef>,
    crowd: Crowd,
}

impl RouterState {
    /// When a request is expected to begin for which no target was chosen.
    pub(in crate::gateway) fn outlook(
        &self,
        query: &TargetQuery<'_>,
        prompt_tokens: u64,
        shortage: Shortage,
        place: QueuePlace,
    ) -> Outlook {
        let crowd = |now_ms| self.balancer.borrow().crowd(now_ms, query);
        self.outlook_with(query, prompt_tokens, shortage, place, crowd)
    }

    fn outlook_with(
        &self,
        query: &TargetQuery<'_>,
        prompt_tokens: u64,
        shortage: Shortage,
        place: QueuePlace,
        crowd: impl FnOnce(u64) -> Crowd,
    ) -> Outlook {
        let now_ms = self.now_ms();
        let scarcity = match shortage {
            // Few targets may continue a stream, and their loads are not known apart.
            _ if *query.continuation != Continuation::Unbound => Scarcity::Scheduled,
            Shortage::Other => Scarcity::Scheduled,
            _ if self.is_too_large(query, prompt_tokens) => Scarcity::TooLarge,
            Shortage::Replicas => Scarcity::NotLoaded,
            Shortage::Slots => Scarcity::Full(Crowd {
                own_waiting: place.waiting,
                ahead: place.ahead,
                ..crowd(now_ms)
            }),
        };
        let (service, model, waited_ms) = (query.service, query.model, place.waited_ms);
        let waiting = Waiting { service, model, scarcity, waited_ms };
        self.observations.borrow().forecast(now_ms, &waiting)
    }

    /// Whether the prompt alone does not fit into any engine.
    fn is_too_large(&self, query: &TargetQuery<'_>, prompt_tokens: u64) -> bool {
        let index = self.index.borrow();
        let service = index.as_ref().and_then(|index| index.document().service(query.service));
        let capacity_tokens = service.and_then(|s| s.engine.as_ref()).map(|e| e.kv_capacity_tokens);
        capacity_tokens.is_some_and(|capacity| capacity > 0 && prompt_tokens > capacity)
    }

    /// Renews the forecasts of the waiting requests, and ends the wait of those that will not begin in
    /// time.
    pub(super) fn review_waiting(&self, now_ms: u64) {
        if now_ms.saturating_sub(self.reviewed_ms.get()) < REVIEW_INTERVAL_MS {
            return;
        }
        self.reviewed_ms.set(now_ms);
        let mut known: Vec<KnownCrowd> = Vec::new();
        let mut ended: Vec<WaiterId> = Vec::new();
        self.queue.borrow_mut().review(now_ms, |waiter, standing| {
            if !waiter.is_reviewed {
                return;
            }
            let waited_ms = now_ms.saturating_sub(waiter.queued_ms);
            let (waiting, ahead) = (standing.waiting, standing.ahead);
            let place = QueuePlace { waited_ms, waiting, ahead };
            waiter.outlook = self.outlook_of_waiter(waiter, place, &mut known);
            waiter.promised_ms = waiter.promised_ms.or(waiter.outlook.slot_at_ms(now_ms));
            let (times, promised_ms) = (&waiter.times, waiter.promised_ms);
            match wait_limit::decide_hold(now_ms, times, &waiter.outlook, promised_ms) {
                Hold::Until(give_up_ms) => waiter.give_up_ms = give_up_ms,
                Hold::Refuse => ended.push(waiter.id),
            }
        });
        for id in ended {
            self.queue.borrow_mut().remove(id);
            self.answer_waiting(id, Err(TargetChoice::NoReplica));
        }
    }

    fn outlook_of_waiter(
        &self,
        waiter: &WaitingRequest,
        place: QueuePlace,
        known: &mut Vec<KnownCrowd>,
    ) -> Outlook {
        let query = TargetQuery {
            service: &waiter.service,
            model: waiter.model.as_ref(),
            prompt_parts: &[],
            need_tokens: waiter.need_tokens,
            avoided_targets: &[],
            continuation: &waiter.continuation,
            rank: waiter.rank,
            salt: 0,
        };
        let crowd = |now_ms| {
            let key = (&waiter.service, &waiter.model);
            match known.binary_search_by(|crowd| (&crowd.service, &crowd.model).cmp(&key)) {
                Ok(at) => known[at].crowd,
                Err(at) => {
                    let crowd = self.balancer.borrow().crowd(now_ms, &query);
                    let (service, model) = (waiter.service.clone(), waiter.model.clone());
                    known.insert(at, KnownCrowd { service, model, crowd });
                    crowd
                }
            }
        };
        self.outlook_with(&query, waiter.prompt_tokens, waiter.shortage, place, crowd)
    }

    /// Until when a request may wait whose time was over; `None` if it waits no more.
    pub(in crate::gateway) fn renew_wait(&self, id: WaiterId) -> Option<u64> {
        self.dispatch_waiting();
        self.queue.borrow().find(id).map(|waiter| waiter.give_up_ms)
    }

    /// Records how long a request that is served now has waited for a load.
    pub(super) fn record_load_wait(&self, now_ms: u64, waiter: &WaitingRequest) {
        let Some(model) = waiter.model.as_ref() else { return };
        if waiter.shortage == Shortage::Replicas {
            let waited_ms = now_ms.saturating_sub(waiter.queued_ms);
            let mut observations = self.observations.borrow_mut();
            observations.record_load_wait(now_ms, &waiter.service, model, waited_ms);
        }
    }
}
