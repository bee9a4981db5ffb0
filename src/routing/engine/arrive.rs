//! Arrivals: limits, early refusal, and the way into a lane or straight to a target.

use super::{Action, Arrival, Context, Destination, Engine, Request, State, Ticket};
use crate::ids::ModelRef;
use crate::routing::demand::Demand;
use crate::routing::queue::{Item, Lane, Position, RANKS};
use crate::routing::refusal::{Code, Ran};
use crate::routing::{admission, retry};

/// Tells when a replica of a model is expected.
type ReadyAt<'a> = dyn Fn(&ModelRef) -> Option<u64> + 'a;

impl Engine {
    /// Takes in a request. Its start or refusal may be among the actions at once.
    ///
    /// `ready_at` tells when a replica of a model that no target holds is expected.
    pub fn arrive(
        &mut self,
        cx: &mut Context<'_>,
        arrival: Arrival,
        ready_at: impl Fn(&ModelRef) -> Option<u64>,
    ) -> Ticket {
        self.budget.deposit();
        let share = self.shares.place(&arrival.tenant, &arrival.class);
        let subject = arrival.destination.subject();
        let expected = self.lengths.expected(&subject, &arrival.class);
        let expected_ms = expected.for_tokens(arrival.max_tokens);
        let request = Request {
            share,
            subject,
            state: State::Parked,
            arrived_ms: cx.now_ms,
            queued_ms: cx.now_ms,
            raw_wait_ms: 0.0,
            predicted_ms: None,
            expected,
            expected_ms,
            answer_ms: expected.answer_ms(arrival.is_stream, arrival.max_tokens),
            is_long: self.lengths.is_long(expected_ms),
            is_delivering: false,
            attempts: 0,
            untried: 0,
            untried_at: None,
            was_written: false,
            is_admitted: false,
            counted_waiting: false,
            flights: [None; 2],
            avoid: Vec::new(),
            arrival,
        };
        let wakes = match &request.arrival.destination {
            Destination::Model(model) => self.demand.arrived(cx.now_ms, model),
            Destination::Service(_) => false,
        };
        let ticket = self.requests.insert(request);
        self.admit(cx, ticket, ready_at);
        if wakes {
            self.report_demand(cx, ticket);
        }
        self.settle(cx);
        ticket
    }

    fn admit(
        &mut self,
        cx: &mut Context<'_>,
        ticket: Ticket,
        ready_at: impl Fn(&ModelRef) -> Option<u64>,
    ) {
        let Some(request) = self.requests.get(ticket) else { return };
        let arrival = &request.arrival;
        if let Some(closed_ms) = self.suspects.closed_for_ms(cx.now_ms, &arrival.digest) {
            return self.refuse_after(cx, ticket, Code::PoisonSuspect, closed_ms);
        }
        if cx.now_ms >= arrival.deadline_ms {
            return self.refuse(cx, ticket, Code::NotInTime, 0.0);
        }
        if self.shares.get(request.share).admitted >= arrival.max_in_flight {
            return self.park(cx, ticket);
        }
        self.hold_share(ticket);
        let Some(request) = self.requests.get(ticket) else { return };
        if self.lane_place(&request.arrival.destination).is_err() && self.start_now(cx, ticket) {
            return;
        }
        self.enqueue(cx, ticket, Some(&ready_at));
    }

    /// Starts a request that nobody waits before, if a target has room.
    fn start_now(&mut self, cx: &mut Context<'_>, ticket: Ticket) -> bool {
        match self.choose_for(cx, ticket) {
            Some(place) => {
                self.start(cx, ticket, place);
                true
            }
            None => false,
        }
    }

    /// Refuses for lack of room in the queue, if there is none.
    fn has_queue_room(&self, ticket: Ticket) -> Result<(), Code> {
        let Some(request) = self.requests.get(ticket) else { return Ok(()) };
        let arrival = &request.arrival;
        let waiting: u32 = self.waiting_by_rank.iter().sum();
        let bytes = self.waiting_bytes + arrival.body_bytes;
        if self.shares.get(request.share).waiting >= arrival.max_waiting {
            return Err(Code::TooManyWaiting);
        }
        if waiting >= self.settings.max_waiting || bytes > self.settings.max_waiting_bytes {
            return Err(Code::QueueFull);
        }
        Ok(())
    }

    fn park(&mut self, cx: &mut Context<'_>, ticket: Ticket) {
        if let Err(code) = self.has_queue_room(ticket) {
            return self.refuse(cx, ticket, code, 0.0);
        }
        let Some(request) = self.requests.get(ticket) else { return };
        let share = self.shares.get_mut(request.share);
        let slots = f64::from(request.arrival.max_in_flight.max(1));
        let wait_ms = admission::wait_ms(share.parked.len(), request.expected_ms, slots);
        if request.expected.is_learned() && !request.is_in_time(cx.now_ms, wait_ms) {
            return self.refuse(cx, ticket, Code::TooManyWaiting, wait_ms);
        }
        share.parked.push_back(ticket);
        self.count_waiting(ticket);
    }

    /// Counts a request against the limit of its tenant and class until its end.
    pub(super) fn hold_share(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        if !request.is_admitted {
            request.is_admitted = true;
            self.shares.get_mut(request.share).admitted += 1;
        }
    }

    /// Puts a request into its lane, unless it is not expected to be answered in time.
    pub(super) fn enqueue(
        &mut self,
        cx: &mut Context<'_>,
        ticket: Ticket,
        ready_at: Option<&ReadyAt<'_>>,
    ) {
        let is_new = self.requests.get(ticket).is_some_and(|r| !r.counted_waiting);
        if is_new && let Err(code) = self.has_queue_room(ticket) {
            return self.refuse(cx, ticket, code, 0.0);
        }
        let Some(position) = self.position(ticket) else { return };
        let place = self.lane_or_new(ticket);
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let lane = &self.lanes[place];
        let candidates = request.arrival.destination.candidates(&self.table);
        let wait_ms = if candidates.is_empty() {
            let ready_ms = match &request.arrival.destination {
                Destination::Model(model) => ready_at.and_then(|ready_at| ready_at(model)),
                Destination::Service(_) => None,
            };
            ready_ms.map_or(0.0, |ready_ms| ready_ms.saturating_sub(cx.now_ms) as f64)
        } else {
            let ahead = admission::ahead(lane, &position);
            let slots = admission::slots(&self.targets, candidates);
            let (raw_ms, wait_ms) = request.queue_wait_ms(ahead, slots, &self.estimate);
            request.raw_wait_ms = raw_ms;
            wait_ms
        };
        request.predicted_ms = Some(wait_ms as u64);
        if !request.is_in_time(cx.now_ms, wait_ms) {
            self.has_empty_lane |= lane.is_empty();
            return self.refuse(cx, ticket, Code::NotInTime, wait_ms);
        }
        request.state = State::Waiting(position);
        request.queued_ms = cx.now_ms;
        self.lanes[place].insert(Item { position, ticket });
        self.count_waiting(ticket);
        self.serve_lane(cx, place);
    }

    fn position(&mut self, ticket: Ticket) -> Option<Position> {
        let request = self.requests.get(ticket)?;
        let rank = usize::from(request.arrival.rank).min(RANKS - 1);
        let is_retry = request.attempts > 0;
        let (is_long, cost_ms) = (request.is_long, request.expected_ms);
        let weight = request.arrival.weight;
        self.sequence += 1;
        let sequence = self.sequence;
        if is_retry {
            // It has had its turn, and goes before those that have not.
            let tag = self.fairness.virtual_time(rank);
            return Some(Position { rank, is_long, tag, sequence });
        }
        let tenant_end = self.shares.tenant_end(request.share, rank);
        let (tag, end) = self.fairness.tag(rank, *tenant_end, cost_ms, weight);
        *tenant_end = end;
        Some(Position { rank, is_long, tag, sequence })
    }

    pub(super) fn lane_place(&self, destination: &Destination) -> Result<usize, usize> {
        self.lanes.binary_search_by(|lane| lane.destination.cmp(destination))
    }

    fn lane_or_new(&mut self, ticket: Ticket) -> usize {
        let Some(request) = self.requests.get(ticket) else { return 0 };
        match self.lane_place(&request.arrival.destination) {
            Ok(at) => at,
            Err(at) => {
                let destination = request.arrival.destination.clone();
                let candidates = destination.candidates(&self.table).to_vec();
                self.lanes.insert(at, Lane::new(destination, candidates));
                at
            }
        }
    }

    pub(super) fn count_waiting(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        if !request.counted_waiting {
            request.counted_waiting = true;
            self.shares.get_mut(request.share).waiting += 1;
            self.waiting_bytes += request.arrival.body_bytes;
            let rank = usize::from(request.arrival.rank).min(RANKS - 1);
            self.waiting_by_rank[rank] += 1;
        }
    }

    pub(super) fn uncount_waiting(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        if request.counted_waiting {
            request.counted_waiting = false;
            self.shares.get_mut(request.share).waiting -= 1;
            self.waiting_bytes -= request.arrival.body_bytes;
            let rank = usize::from(request.arrival.rank).min(RANKS - 1);
            self.waiting_by_rank[rank] -= 1;
        }
    }

    /// Refuses a request that was not run, for lack of capacity.
    pub(super) fn refuse(
        &mut self,
        cx: &mut Context<'_>,
        ticket: Ticket,
        code: Code,
        wait_ms: f64,
    ) {
        self.crest.refused(cx.now_ms);
        let retry_after_ms = self.crest.retry_after_ms(wait_ms, cx.rng);
        self.refuse_after(cx, ticket, code, retry_after_ms);
    }

    fn refuse_after(&mut self, cx: &mut Context<'_>, ticket: Ticket, code: Code, after_ms: u64) {
        let Some(request) = self.requests.get(ticket) else { return };
        let ran = if request.was_written { Ran::Maybe } else { Ran::No };
        let is_over = cx.now_ms >= request.arrival.deadline_ms && code == Code::NotInTime;
        let code = if is_over { Code::DeadlinePassed } else { code };
        let refusal = retry::refusal(code, ran, after_ms);
        cx.out.push(Action::Refuse { ticket, refusal });
        self.end(cx, ticket);
    }

    /// Tells placement of the model of a request.
    fn report_demand(&mut self, cx: &mut Context<'_>, ticket: Ticket) {
        let model = match self.requests.get(ticket).map(|r| &r.arrival.destination) {
            Some(Destination::Model(model)) => model.clone(),
            _ => return,
        };
        let demand = self.demand_of(cx.now_ms, model);
        cx.out.push(Action::Demand(demand));
    }

    pub(super) fn demand_of(&mut self, now_ms: u64, model: ModelRef) -> Demand {
        let arrived = self.demand.reported(now_ms, &model);
        let destination = Destination::Model(model.clone());
        let in_flight = self.requests.iter().filter(|r| r.is_at_target_for(&destination)).count();
        let mut demand = Demand {
            model,
            waiting: 0,
            in_flight: in_flight as u32,
            earliest_deadline_ms: None,
            class_weight: 0.0,
            arrived,
        };
        if let Ok(place) = self.lane_place(&destination) {
            for item in self.lanes[place].items() {
                let Some(request) = self.requests.get(item.ticket) else { continue };
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
