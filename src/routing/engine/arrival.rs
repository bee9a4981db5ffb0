//! Arrivals: limits, early refusal, and dispatch or queueing of new requests.

use super::{
    Action, Arrival, Destination, EventContext, Request, RequestState, RoutingEngine, Ticket,
};
use crate::ids::ModelRef;
use crate::routing::demand::ModelDemand;
use crate::routing::queue::{DestinationQueue, QueuePosition, QueuedRequest, RANKS};
use crate::routing::refusal::{RefusalCode, RunStatus};
use crate::routing::{admission, retry};

/// Returns the time at which a replica of a model is expected to be ready.
type ReplicaReadyAt<'a> = dyn Fn(&ModelRef) -> Option<u64> + 'a;

impl RoutingEngine {
    /// Admits or refuses a new request. The first attempt or the refusal may be emitted
    /// immediately.
    ///
    /// `ready_at` returns when a replica of a model that no target holds is expected to be ready.
    pub fn arrive(
        &mut self,
        cx: &mut EventContext<'_>,
        arrival: Arrival,
        ready_at: impl Fn(&ModelRef) -> Option<u64>,
    ) -> Ticket {
        self.retry_budget.record_request();
        let usage_index = self.usage.index_of(&arrival.tenant, &arrival.class);
        let duration_key = arrival.destination.duration_key();
        let expected = self.durations.expected(&duration_key, &arrival.class);
        let expected_ms = expected.total_for_tokens_ms(arrival.max_tokens);
        self.sequence += 1;
        let request = Request {
            number: self.sequence,
            usage_index,
            duration_key,
            state: RequestState::Parked,
            arrived_ms: cx.now_ms,
            queued_ms: cx.now_ms,
            uncorrected_wait_ms: 0.0,
            predicted_ms: None,
            expected,
            expected_ms,
            answer_ms: expected.answer_ms(arrival.is_stream, arrival.max_tokens),
            is_long: self.durations.is_long(expected_ms),
            is_delivering: false,
            attempts: 0,
            unsent_attempts: 0,
            awaited: None,
            await_until_ms: None,
            trial_unavailable_at: None,
            was_written: false,
            is_admitted: false,
            is_counted_waiting: false,
            calls: [None; 2],
            avoided_targets: Vec::new(),
            arrival,
        };
        let is_report_due = match &request.arrival.destination {
            Destination::Model(model) => self.demand_tracker.record_arrival(cx.now_ms, model),
            Destination::Service(_) => false,
        };
        let ticket = self.requests.insert(request);
        self.admit(cx, ticket, ready_at);
        if is_report_due {
            self.report_demand(cx, ticket);
        }
        self.finish_event(cx);
        ticket
    }

    fn admit(
        &mut self,
        cx: &mut EventContext<'_>,
        ticket: Ticket,
        ready_at: impl Fn(&ModelRef) -> Option<u64>,
    ) {
        let Some(request) = self.requests.get(ticket) else { return };
        let arrival = &request.arrival;
        if let Some(remaining_ms) = self.suspects.refused_for_ms(cx.now_ms, &arrival.digest) {
            return self.refuse_with_retry_after(
                cx,
                ticket,
                RefusalCode::PoisonSuspect,
                remaining_ms,
            );
        }
        if cx.now_ms >= arrival.deadline_ms {
            return self.refuse(cx, ticket, RefusalCode::NotInTime, 0.0);
        }
        if self.usage.get(request.usage_index).admitted >= arrival.max_in_flight {
            return self.park(cx, ticket);
        }
        self.count_admitted(ticket);
        let Some(request) = self.requests.get(ticket) else { return };
        if self.queue_index(&request.arrival.destination).is_err()
            && self.start_immediately(cx, ticket)
        {
            return;
        }
        self.enqueue(cx, ticket, Some(&ready_at));
    }

    /// Sends a request without queueing it, if a target has room.
    fn start_immediately(&mut self, cx: &mut EventContext<'_>, ticket: Ticket) -> bool {
        match self.choose_target_for(cx, ticket) {
            Some(index) => {
                self.send_attempt(cx, ticket, index);
                true
            }
            None => false,
        }
    }

    /// Returns the refusal code if the limits on waiting requests leave no room for this one.
    fn check_queue_room(&self, ticket: Ticket) -> Result<(), RefusalCode> {
        let Some(request) = self.requests.get(ticket) else { return Ok(()) };
        let arrival = &request.arrival;
        let waiting: u32 = self.waiting_by_rank.iter().sum();
        let bytes = self.waiting_bytes + arrival.body_bytes;
        if self.usage.get(request.usage_index).waiting >= arrival.max_waiting {
            return Err(RefusalCode::TooManyWaiting);
        }
        if waiting >= self.settings.max_waiting || bytes > self.settings.max_waiting_bytes {
            return Err(RefusalCode::QueueFull);
        }
        Ok(())
    }

    fn park(&mut self, cx: &mut EventContext<'_>, ticket: Ticket) {
        if let Err(code) = self.check_queue_room(ticket) {
            return self.refuse(cx, ticket, code, 0.0);
        }
        let Some(request) = self.requests.get(ticket) else { return };
        let usage = self.usage.get_mut(request.usage_index);
        let slots = f64::from(request.arrival.max_in_flight.max(1));
        let wait_ms = admission::wait_ms(usage.parked.len(), request.expected_ms, slots);
        if request.expected.is_learned() && !request.can_meet_deadline(cx.now_ms, wait_ms) {
            return self.refuse(cx, ticket, RefusalCode::TooManyWaiting, wait_ms);
        }
        usage.parked.push_back(ticket);
        self.count_waiting(ticket);
    }

    /// Counts a request against the limit of its tenant and class until its end.
    pub(super) fn count_admitted(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        if !request.is_admitted {
            request.is_admitted = true;
            self.usage.get_mut(request.usage_index).admitted += 1;
        }
    }

    /// Queues a request, or refuses it if it is not expected to meet its deadline.
    pub(super) fn enqueue(
        &mut self,
        cx: &mut EventContext<'_>,
        ticket: Ticket,
        ready_at: Option<&ReplicaReadyAt<'_>>,
    ) {
        let is_new = self.requests.get(ticket).is_some_and(|r| !r.is_counted_waiting);
        if is_new && let Err(code) = self.check_queue_room(ticket) {
            return self.refuse(cx, ticket, code, 0.0);
        }
        let Some(position) = self.assign_position(ticket) else { return };
        let index = self.queue_or_new(ticket);
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let queue = &self.queues[index];
        let candidates = request.arrival.destination.candidates(&self.table);
        let wait_ms = if candidates.is_empty() {
            let ready_ms = match &request.arrival.destination {
                Destination::Model(model) => ready_at.and_then(|ready_at| ready_at(model)),
                Destination::Service(_) => None,
            };
            ready_ms.map_or(0.0, |ready_ms| ready_ms.saturating_sub(cx.now_ms) as f64)
        } else {
            let ahead = admission::count_ahead(queue, &position);
            let slots = admission::concurrency(&self.targets, candidates);
            let (uncorrected_ms, wait_ms) =
                request.queue_wait_ms(ahead, slots, &self.wait_estimate);
            request.uncorrected_wait_ms = uncorrected_ms;
            wait_ms
        };
        request.predicted_ms = Some(wait_ms as u64);
        if !request.can_meet_deadline(cx.now_ms, wait_ms) {
            self.has_empty_queue |= queue.is_empty();
            return self.refuse(cx, ticket, RefusalCode::NotInTime, wait_ms);
        }
        let Some(request) = self.requests.get(ticket) else { return };
        let queue = &self.queues[index];
        let ahead = admission::count_ahead(queue, &position);
        let limited_ms = self.limited_wait_ms(cx.now_ms, &request.arrival.destination, ahead);
        if !request.can_meet_deadline(cx.now_ms, limited_ms as f64) {
            self.has_empty_queue |= queue.is_empty();
            return self.refuse_limited(cx, ticket, limited_ms);
        }
        let Some(request) = self.requests.get_mut(ticket) else { return };
        request.state = RequestState::Waiting(position);
        request.queued_ms = cx.now_ms;
        self.queues[index].insert(QueuedRequest { position, ticket });
        self.count_waiting(ticket);
        self.serve_queue(cx, index);
    }

    fn assign_position(&mut self, ticket: Ticket) -> Option<QueuePosition> {
        let request = self.requests.get(ticket)?;
        let rank = usize::from(request.arrival.rank).min(RANKS - 1);
        let is_retry = request.attempts > 0;
        let (is_long, cost_ms) = (request.is_long, request.expected_ms);
        let weight = request.arrival.weight;
        self.sequence += 1;
        let sequence = self.sequence;
        if is_retry {
            // A retry was already dispatched once, so it goes before requests that were not.
            let tag = self.fair_scheduler.virtual_time(rank);
            return Some(QueuePosition { rank, is_long, tag, sequence });
        }
        let tenant_finish_tag = self.usage.tenant_finish_tag(request.usage_index, rank);
        let (tag, end) =
            self.fair_scheduler.start_and_finish_tags(rank, *tenant_finish_tag, cost_ms, weight);
        *tenant_finish_tag = end;
        Some(QueuePosition { rank, is_long, tag, sequence })
    }

    pub(super) fn queue_index(&self, destination: &Destination) -> Result<usize, usize> {
        self.queues.binary_search_by(|queue| queue.destination.cmp(destination))
    }

    fn queue_or_new(&mut self, ticket: Ticket) -> usize {
        let Some(request) = self.requests.get(ticket) else { return 0 };
        match self.queue_index(&request.arrival.destination) {
            Ok(at) => at,
            Err(at) => {
                let destination = request.arrival.destination.clone();
                let candidates = destination.candidates(&self.table).to_vec();
                self.queues.insert(at, DestinationQueue::new(destination, candidates));
                at
            }
        }
    }

    pub(super) fn count_waiting(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        if !request.is_counted_waiting {
            request.is_counted_waiting = true;
            self.usage.get_mut(request.usage_index).waiting += 1;
            self.waiting_bytes += request.arrival.body_bytes;
            let rank = usize::from(request.arrival.rank).min(RANKS - 1);
            self.waiting_by_rank[rank] += 1;
        }
    }

    pub(super) fn uncount_waiting(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        if request.is_counted_waiting {
            request.is_counted_waiting = false;
            self.usage.get_mut(request.usage_index).waiting -= 1;
            self.waiting_bytes -= request.arrival.body_bytes;
            let rank = usize::from(request.arrival.rank).min(RANKS - 1);
            self.waiting_by_rank[rank] -= 1;
        }
    }

    /// Refuses a request for lack of capacity.
    pub(super) fn refuse(
        &mut self,
        cx: &mut EventContext<'_>,
        ticket: Ticket,
        code: RefusalCode,
        wait_ms: f64,
    ) {
        self.refusal_rate.record_refusal(cx.now_ms);
        let retry_after_ms = self.refusal_rate.retry_after_ms(wait_ms, cx.rng);
        self.refuse_with_retry_after(cx, ticket, code, retry_after_ms);
    }

    /// Refuses a request because its targets are at their rate limits for `wait_ms`.
    pub(super) fn refuse_limited(
        &mut self,
        cx: &mut EventContext<'_>,
        ticket: Ticket,
        wait_ms: u64,
    ) {
        self.refusal_rate.record_refusal(cx.now_ms);
        let return_ms = self.next_return_in_ms(cx.now_ms, ticket).unwrap_or(wait_ms);
        self.refuse_with_retry_after(cx, ticket, RefusalCode::TargetsLimited, return_ms.max(1));
    }

    fn refuse_with_retry_after(
        &mut self,
        cx: &mut EventContext<'_>,
        ticket: Ticket,
        code: RefusalCode,
        after_ms: u64,
    ) {
        let Some(request) = self.requests.get(ticket) else { return };
        let ran = if request.was_written { RunStatus::Maybe } else { RunStatus::No };
        let is_past_deadline =
            cx.now_ms >= request.arrival.deadline_ms && code == RefusalCode::NotInTime;
        let code = if is_past_deadline { RefusalCode::DeadlinePassed } else { code };
        let refusal = retry::build_refusal(code, ran, after_ms);
        cx.out.push(Action::Refuse { ticket, refusal });
        self.end_request(cx, ticket);
    }

    /// Reports demand for the model of a request to placement.
    fn report_demand(&mut self, cx: &mut EventContext<'_>, ticket: Ticket) {
        let model = match self.requests.get(ticket).map(|r| &r.arrival.destination) {
            Some(Destination::Model(model)) => model.clone(),
            _ => return,
        };
        let demand = self.take_demand(cx.now_ms, model);
        cx.out.push(Action::ReportDemand(demand));
    }

    pub(super) fn take_demand(&mut self, now_ms: u64, model: ModelRef) -> ModelDemand {
        let arrived = self.demand_tracker.mark_reported(now_ms, &model);
        let destination = Destination::Model(model.clone());
        let in_flight = self.requests.iter().filter(|r| r.is_at_target_for(&destination)).count();
        let mut demand = ModelDemand {
            model,
            waiting: 0,
            in_flight: in_flight as u32,
            earliest_deadline_ms: None,
            class_weight: 0.0,
            arrived,
        };
        if let Ok(index) = self.queue_index(&destination) {
            for queued in self.queues[index].requests() {
                let Some(request) = self.requests.get(queued.ticket) else { continue };
                let deadline_ms = request.arrival.deadline_ms;
                let earliest_ms = demand.earliest_deadline_ms.unwrap_or(u64::MAX);
                demand.earliest_deadline_ms = Some(earliest_ms.min(deadline_ms));
                demand.class_weight += request.arrival.weight;
                demand.waiting += 1;
            }
        }
        demand
    }
}
