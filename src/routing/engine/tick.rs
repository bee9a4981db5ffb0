//! Timer events: due retries, refusals of requests that cannot meet their deadline, demand reports.

use super::{Action, Destination, EventContext, RequestState, RoutingEngine, Ticket};
use crate::ids::ModelRef;
use crate::routing::admission;
use crate::routing::queue::RANKS;
use crate::routing::refusal::RefusalCode;

/// Interval between two checks of the waiting requests.
const CHECK_PERIOD_MS: u64 = 20;

/// Time until the next check, with 5 ms for a late timer. A request that would miss its deadline by
/// then is refused now, since its refusal must not come after the deadline.
const MIN_FURTHER_WAIT_MS: f64 = CHECK_PERIOD_MS as f64 + 5.0;

impl RoutingEngine {
    /// When [`RoutingEngine::tick`] is due; `None` if nothing depends on time.
    pub fn next_tick_ms(&self, now_ms: u64) -> Option<u64> {
        let check_ms = self.has_waiting().then_some(now_ms + CHECK_PERIOD_MS);
        let backoff_ms = self.backoffs.iter().map(|(until_ms, _)| *until_ms).min();
        [check_ms, backoff_ms, self.demand_tracker.next_due_ms()].into_iter().flatten().min()
    }

    /// Queues due retries, refuses requests that can no longer meet their deadline, dispatches
    /// queued requests and reports demand.
    pub fn tick(&mut self, cx: &mut EventContext<'_>, ready_at: impl Fn(&ModelRef) -> Option<u64>) {
        self.end_backoffs(cx);
        self.refuse_parked_too_late(cx);
        self.refuse_queued_too_late(cx, ready_at);
        self.serve_queues(cx);
        for model in self.demand_tracker.due_models(cx.now_ms) {
            let demand = self.take_demand(cx.now_ms, model);
            cx.out.push(Action::ReportDemand(demand));
        }
        self.report_waiting(cx);
        self.demand_tracker.prune(cx.now_ms);
        self.finish_event(cx);
    }

    fn end_backoffs(&mut self, cx: &mut EventContext<'_>) {
        let mut at = 0;
        while at < self.backoffs.len() {
            if self.backoffs[at].0 <= cx.now_ms {
                let (_, ticket) = self.backoffs.swap_remove(at);
                self.reset_avoided_targets(ticket);
                self.enqueue(cx, ticket, None);
            } else {
                at += 1;
            }
        }
    }

    /// Allows targets that failed the request again if no others are left. A target that only had
    /// no trial available is allowed before those that failed.
    fn reset_avoided_targets(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let candidates = request.arrival.destination.candidates(&self.table);
        let is_avoided =
            |index: &u32| request.avoided_targets.contains(&self.targets[*index as usize].number);
        if !candidates.iter().all(is_avoided) {
            return;
        }
        match request.trial_unavailable_at.take() {
            Some(number) => request.avoided_targets.retain(|avoided| *avoided != number),
            None => request.avoided_targets.clear(),
        }
    }

    /// Refuses parked requests that can no longer meet their deadline.
    fn refuse_parked_too_late(&mut self, cx: &mut EventContext<'_>) {
        let is_late = |engine: &RoutingEngine, ticket: &Ticket| {
            engine
                .requests
                .get(*ticket)
                .is_some_and(|request| !request.can_meet_deadline(cx.now_ms, MIN_FURTHER_WAIT_MS))
        };
        let mut late: Vec<Ticket> = Vec::new();
        for (_, _, usage) in self.usage.iter() {
            late.extend(usage.parked.iter().filter(|ticket| is_late(self, ticket)));
        }
        for ticket in late {
            self.refuse(cx, ticket, RefusalCode::NotInTime, 0.0);
        }
    }

    /// Refuses queued requests that are no longer expected to meet their deadline.
    fn refuse_queued_too_late(
        &mut self,
        cx: &mut EventContext<'_>,
        ready_at: impl Fn(&ModelRef) -> Option<u64>,
    ) {
        let mut late: Vec<(Ticket, f64)> = Vec::new();
        let mut limited: Vec<(Ticket, u64)> = Vec::new();
        for queue in &self.queues {
            let candidates = queue.candidates();
            let ready_ms = match &queue.destination {
                Destination::Model(model) if candidates.is_empty() => ready_at(model),
                _ => None,
            };
            let ready_in_ms = ready_ms.map_or(0, |ms| ms.saturating_sub(cx.now_ms)) as f64;
            let slots = admission::concurrency(&self.targets, candidates);
            let mut ahead = 0;
            for rank in 0..RANKS {
                for queued in queue.requests_of_rank(rank) {
                    let Some(request) = self.requests.get(queued.ticket) else { continue };
                    let wait_ms = if candidates.is_empty() {
                        ready_in_ms.max(MIN_FURTHER_WAIT_MS)
                    } else {
                        request
                            .queue_wait_ms(ahead, slots, &self.wait_estimate)
                            .1
                            .max(MIN_FURTHER_WAIT_MS)
                    };
                    let limited_ms = self.limited_wait_ms(cx.now_ms, &queue.destination, ahead);
                    if !request.can_meet_deadline(cx.now_ms, wait_ms) {
                        late.push((queued.ticket, wait_ms));
                    } else if !request.can_meet_deadline(cx.now_ms, limited_ms as f64) {
                        limited.push((queued.ticket, limited_ms));
                    } else {
                        ahead += 1;
                    }
                }
            }
        }
        for (ticket, wait_ms) in late {
            self.refuse(cx, ticket, RefusalCode::NotInTime, wait_ms);
        }
        for (ticket, wait_ms) in limited {
            self.refuse_limited(cx, ticket, wait_ms);
        }
    }

    /// Reports models with waiting or running requests but no new arrivals, once per period.
    fn report_waiting(&mut self, cx: &mut EventContext<'_>) {
        let mut due: Vec<ModelRef> = Vec::new();
        for queue in &self.queues {
            if let Destination::Model(model) = &queue.destination
                && self.demand_tracker.is_due(cx.now_ms, model)
            {
                due.push(model.clone());
            }
        }
        // Long requests keep a replica in use although no new requests arrive.
        for request in self.requests.iter() {
            if let Destination::Model(model) = &request.arrival.destination
                && self.demand_tracker.is_due(cx.now_ms, model)
                && !due.contains(model)
            {
                due.push(model.clone());
            }
        }
        for model in due {
            let demand = self.take_demand(cx.now_ms, model);
            cx.out.push(Action::ReportDemand(demand));
        }
    }

    /// Whether the request is queued, parked or backing off.
    pub fn is_waiting(&self, ticket: Ticket) -> bool {
        let state = self.requests.get(ticket).map(|request| request.state);
        matches!(
            state,
            Some(RequestState::Waiting(_) | RequestState::Parked | RequestState::BackingOff)
        )
    }
}
