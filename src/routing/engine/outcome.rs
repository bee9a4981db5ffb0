//! What became of attempts, and the end of requests.

use super::{Action, BrokenCall, Context, Engine, Request, State, Ticket};
use crate::routing::latency;
use crate::routing::retry::{self, Case, Failure, Next};
use crate::routing::target::{Flight, Number};
use crate::target::order::Load;

/// How long a broken call is remembered, in case its target turns out to have died.
const BROKEN_KEPT_MS: u64 = 10_000;
/// Most broken calls remembered.
const MAX_BROKEN: usize = 256;

impl Engine {
    /// The first byte or token of an attempt came, with the load that the target reports.
    pub fn first_byte(
        &mut self,
        cx: &mut Context<'_>,
        ticket: Ticket,
        attempt: u32,
        load: Option<Load>,
    ) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        request.was_written = true;
        let Some(number) = flight_number(request, attempt) else { return };
        let subject = request.subject.clone();
        let class = request.arrival.class.clone();
        let is_stream = request.arrival.is_stream;
        let Some(place) = self.place_of(number) else { return };
        let target = &mut self.targets[place as usize];
        let Some(flight) = target.answering(ticket, attempt) else { return };
        let first_ms = cx.now_ms.saturating_sub(flight.started_ms);
        target.observe(cx.now_ms, latency::ratio(first_ms, flight.expected_first_ms), load);
        if is_stream {
            self.lengths.observe_first(&subject, &class, first_ms);
        }
        self.serve_target(cx, place);
        self.settle(cx);
    }

    /// A part of the answer went to the caller: from now on the request is not run again.
    pub fn delivering(&mut self, ticket: Ticket) {
        if let Some(request) = self.requests.get_mut(ticket) {
            request.is_delivering = true;
        }
    }

    /// The whole answer of an attempt came: the end of the request.
    pub fn complete(&mut self, cx: &mut Context<'_>, ticket: Ticket, attempt: u32) {
        let Some(request) = self.requests.get(ticket) else { return };
        let number = flight_number(request, attempt);
        let conversation = request.arrival.conversation;
        let digest = request.arrival.digest;
        if let Some((number, conversation)) = number.zip(conversation) {
            self.affinity.remember(cx.now_ms, conversation, number);
        }
        if !self.suspects.is_empty() {
            self.suspects.answered(&digest);
        }
        if let Some(flight) = number.and_then(|number| self.flight(number, ticket, attempt)) {
            let Some(request) = self.requests.get(ticket) else { return };
            let whole_ms = cx.now_ms.saturating_sub(flight.started_ms);
            let (class, max_tokens) = (&request.arrival.class, request.arrival.max_tokens);
            self.lengths.observe_whole(&request.subject, class, whole_ms, max_tokens);
        }
        self.crest.answered(cx.now_ms);
        self.end(cx, ticket);
        self.settle(cx);
    }

    fn flight(&self, number: Number, ticket: Ticket, attempt: u32) -> Option<Flight> {
        let target = &self.targets[self.place_of(number)? as usize];
        let is_it = |f: &&Flight| f.ticket == ticket && f.attempt == attempt;
        target.flights.iter().find(is_it).copied()
    }

    /// An attempt failed. A retry or the refusal of the request follows, now or later, unless
    /// another attempt of it still runs.
    pub fn failed(&mut self, cx: &mut Context<'_>, ticket: Ticket, attempt: u32, failure: Failure) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let case = Case {
            failure,
            is_idempotent: request.arrival.is_idempotent,
            is_delivering: request.is_delivering,
            attempts: request.attempts - request.untried,
            was_written: request.was_written,
        };
        request.was_written |= !failure.is_unwritten();
        request.untried += u32::from(failure == Failure::Untried);
        let number = flight_number(request, attempt);
        if failure == Failure::Untried {
            // The others that were closed to it may be open by now.
            let last = std::mem::replace(&mut request.untried_at, number);
            request.avoid.retain(|avoided| Some(*avoided) != last);
        }
        if let Some(number) = number {
            request.avoid.push(number);
            self.blame(cx.now_ms, number, ticket, failure);
            self.land(cx, number, ticket, attempt);
        }
        let runs_on = self.requests.get(ticket).is_some_and(Request::is_in_flight);
        if !runs_on {
            self.after_failure(cx, ticket, &case);
        }
        self.settle(cx);
    }

    fn after_failure(&mut self, cx: &mut Context<'_>, ticket: Ticket, case: &Case) {
        let Some(request) = self.requests.get(ticket) else { return };
        let deadline_ms = request.arrival.deadline_ms;
        let digest = request.arrival.digest;
        let is_over = cx.now_ms >= deadline_ms;
        let is_closed = self.suspects.closed_for_ms(cx.now_ms, &digest).is_some();
        let next = retry::next(case);
        // Nothing was sent, so that sending it costs the budget nothing more.
        let is_free = case.failure == Failure::Untried;
        if next == Next::Retry && !is_closed && !is_over && (is_free || self.budget.withdraw()) {
            let tries = if is_free { request.untried } else { case.attempts };
            let until_ms = cx.now_ms + retry::backoff_ms(tries, cx.rng);
            return self.pause(ticket, until_ms.min(deadline_ms));
        }
        let (code, ran) = match next {
            Next::Refuse(code, ran) => (code, ran),
            Next::Retry => retry::give_up(case),
        };
        self.crest.refused(cx.now_ms);
        let retry_after_ms = self.crest.retry_after_ms(0.0, cx.rng);
        let refusal = retry::refusal(code, ran, retry_after_ms);
        cx.out.push(Action::Refuse { ticket, refusal });
        self.end(cx, ticket);
    }

    fn pause(&mut self, ticket: Ticket, until_ms: u64) {
        self.count_waiting(ticket);
        let Some(request) = self.requests.get_mut(ticket) else { return };
        request.state = State::Pausing;
        self.pauses.push((until_ms, ticket));
    }

    /// Holds a failure against the target, and against the request if the target may have died.
    fn blame(&mut self, now_ms: u64, number: Number, ticket: Ticket, failure: Failure) {
        let digest = self.requests.get(ticket).map(|request| request.arrival.digest);
        let Some(target) = self.target_of(number) else { return };
        match failure {
            Failure::Busy => target.refused(now_ms),
            Failure::Call { .. } => target.failed(now_ms),
            Failure::Untried | Failure::Closed => {}
        }
        if let Some(digest) = digest.filter(|_| failure.may_have_died()) {
            self.suspects.failed(now_ms, number, &digest);
            self.remember_broken(BrokenCall { at_ms: now_ms, number, digest });
        }
    }

    fn remember_broken(&mut self, call: BrokenCall) {
        let now_ms = call.at_ms;
        self.broken.retain(|old| now_ms.saturating_sub(old.at_ms) < BROKEN_KEPT_MS);
        if self.broken.len() >= MAX_BROKEN {
            self.broken.remove(0);
        }
        self.broken.push(call);
    }

    /// Sends a second attempt beside the first one, if that is allowed: nobody waits, the budget
    /// has a token, and another target has room.
    pub fn hedge(&mut self, cx: &mut Context<'_>, ticket: Ticket) {
        let has_waiting = self.has_waiting();
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let in_flight = request.flights.iter().flatten().count();
        let may_hedge = request.arrival.is_idempotent
            && !request.is_delivering
            && in_flight == 1
            && request.attempts < retry::MAX_ATTEMPTS;
        if !may_hedge || has_waiting {
            return;
        }
        let first = request.flights.iter().flatten().next().copied();
        let Some((number, _)) = first else { return };
        // The target in use is avoided for this choice alone.
        request.avoid.push(number);
        let place = self.choose_for(cx, ticket);
        if let Some(request) = self.requests.get_mut(ticket) {
            request.avoid.pop();
        }
        let Some(place) = place else { return };
        if self.is_suspect(cx.now_ms, ticket) || !self.budget.withdraw() {
            return;
        }
        self.start(cx, ticket, place);
    }

    /// An attempt was given up in favour of another one of the same request.
    pub fn abandon(&mut self, cx: &mut Context<'_>, ticket: Ticket, attempt: u32) {
        let number = self.requests.get(ticket).and_then(|r| flight_number(r, attempt));
        if let Some(number) = number {
            self.land(cx, number, ticket, attempt);
        }
        self.settle(cx);
    }

    /// The caller left: the end of the request, wherever it is.
    pub fn leave(&mut self, cx: &mut Context<'_>, ticket: Ticket) {
        self.end(cx, ticket);
        self.settle(cx);
    }

    /// Takes an attempt off its target, and gives the room to whoever waits.
    fn land(&mut self, cx: &mut Context<'_>, number: Number, ticket: Ticket, attempt: u32) {
        if let Some(request) = self.requests.get_mut(ticket) {
            let before = request.flights.iter().flatten().count();
            request.flights.iter_mut().for_each(|flight| {
                flight.take_if(|flight| *flight == (number, attempt));
            });
            if before == 1 && request.flights.iter().all(Option::is_none) {
                self.shares.get_mut(request.share).in_flight -= 1;
            }
        }
        if let Some(place) = self.place_of(number) {
            self.targets[place as usize].finish(ticket, attempt);
            self.serve_target(cx, place);
        }
    }

    /// Frees all that a request holds.
    pub(super) fn end(&mut self, cx: &mut Context<'_>, ticket: Ticket) {
        self.uncount_waiting(ticket);
        let Some(request) = self.requests.remove(ticket) else { return };
        match request.state {
            State::Waiting(position) => {
                if let Ok(place) = self.lane_place(&request.arrival.destination) {
                    self.lanes[place].remove(&position);
                    self.has_empty_lane |= self.lanes[place].is_empty();
                }
            }
            State::Pausing => self.pauses.retain(|(_, other)| *other != ticket),
            State::Parked => {
                let parked = &mut self.shares.get_mut(request.share).parked;
                parked.retain(|other| *other != ticket);
            }
            State::Running => {}
        }
        let share = self.shares.get_mut(request.share);
        share.admitted -= u32::from(request.is_admitted);
        share.in_flight -= u32::from(request.is_in_flight());
        for (number, attempt) in request.flights.into_iter().flatten() {
            self.land(cx, number, ticket, attempt);
        }
        if !self.shares.get(request.share).parked.is_empty() {
            self.unpark_later.push(request.share);
        }
    }

    /// Finishes an event: lets parked requests into the room that it made, and drops empty lanes.
    ///
    /// Lanes are added and dropped only here and on arrival, never while one is being served.
    pub(super) fn settle(&mut self, cx: &mut Context<'_>) {
        while let Some(share) = self.unpark_later.pop() {
            self.unpark(cx, share);
        }
        if std::mem::take(&mut self.has_empty_lane) {
            self.lanes.retain(|lane| !lane.is_empty());
        }
    }

    /// Lets parked requests of a share into their lanes while its limit allows.
    fn unpark(&mut self, cx: &mut Context<'_>, place: usize) {
        loop {
            let share = self.shares.get_mut(place);
            let Some(ticket) = share.parked.front().copied() else { return };
            let admitted = share.admitted;
            let limit = self.requests.get(ticket).map_or(u32::MAX, |r| r.arrival.max_in_flight);
            if admitted >= limit {
                return;
            }
            self.shares.get_mut(place).parked.pop_front();
            self.hold_share(ticket);
            self.enqueue(cx, ticket, None);
        }
    }
}

fn flight_number(request: &Request, attempt: u32) -> Option<Number> {
    let flights = request.flights.iter().flatten();
    flights.into_iter().find(|(_, a)| *a == attempt).map(|(number, _)| *number)
}
