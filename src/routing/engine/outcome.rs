//! Outcomes of attempts: responses, failures, retries and hedges, and the end of requests.

use super::{Action, BrokenCall, EventContext, Request, RequestState, RoutingEngine, Ticket};
use crate::routing::latency;
use crate::routing::retry::{self, AttemptFailure, FailedAttempt, RetryDecision};
use crate::routing::target::{InFlightCall, TargetNumber};
use crate::target::order::Load;

/// How long a broken call is kept, in case its target turns out to have died.
const BROKEN_CALL_TTL_MS: u64 = 10_000;
/// Most broken calls kept.
const MAX_BROKEN_CALLS: usize = 256;

impl RoutingEngine {
    /// Handles the first byte or token of an attempt, with the load that the target reported.
    pub fn first_byte(
        &mut self,
        cx: &mut EventContext<'_>,
        ticket: Ticket,
        attempt: u32,
        load: Option<Load>,
    ) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        request.was_written = true;
        let Some(number) = target_of_call(request, attempt) else { return };
        let duration_key = request.duration_key.clone();
        let class = request.arrival.class.clone();
        let is_stream = request.arrival.is_stream;
        let Some(index) = self.index_of(number) else { return };
        let target = &mut self.targets[index as usize];
        let Some(call) = target.record_first_byte(ticket, attempt) else { return };
        let first_ms = cx.now_ms.saturating_sub(call.started_ms);
        target.observe(cx.now_ms, latency::ratio(first_ms, call.expected_first_ms), load);
        if is_stream {
            self.durations.observe_first(&duration_key, &class, first_ms);
        }
        self.fill_target(cx, index);
        self.finish_event(cx);
    }

    /// Records that part of the response was sent to the caller: the request is not run again.
    pub fn mark_delivering(&mut self, ticket: Ticket) {
        if let Some(request) = self.requests.get_mut(ticket) {
            request.is_delivering = true;
        }
    }

    /// Handles the complete response of an attempt, which ends the request.
    pub fn complete(&mut self, cx: &mut EventContext<'_>, ticket: Ticket, attempt: u32) {
        let Some(request) = self.requests.get(ticket) else { return };
        let number = target_of_call(request, attempt);
        let conversation = request.arrival.conversation;
        let digest = request.arrival.digest;
        if let Some((number, conversation)) = number.zip(conversation) {
            self.affinity.record_answer(cx.now_ms, conversation, number);
        }
        if !self.suspects.is_empty() {
            self.suspects.clear(&digest);
        }
        if let Some(call) = number.and_then(|number| self.in_flight_call(number, ticket, attempt)) {
            let Some(request) = self.requests.get(ticket) else { return };
            let total_ms = cx.now_ms.saturating_sub(call.started_ms);
            let (class, max_tokens) = (&request.arrival.class, request.arrival.max_tokens);
            self.durations.observe_total(&request.duration_key, class, total_ms, max_tokens);
        }
        self.refusal_rate.record_answer(cx.now_ms);
        self.end_request(cx, ticket);
        self.finish_event(cx);
    }

    fn in_flight_call(
        &self,
        number: TargetNumber,
        ticket: Ticket,
        attempt: u32,
    ) -> Option<InFlightCall> {
        let target = &self.targets[self.index_of(number)? as usize];
        let is_wanted = |f: &&InFlightCall| f.ticket == ticket && f.attempt == attempt;
        target.calls.iter().find(is_wanted).copied()
    }

    /// Handles the failure of an attempt. A retry is scheduled or the request is refused, unless
    /// another attempt of the request is still running.
    pub fn attempt_failed(
        &mut self,
        cx: &mut EventContext<'_>,
        ticket: Ticket,
        attempt: u32,
        failure: AttemptFailure,
    ) {
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let failed_attempt = FailedAttempt {
            failure,
            is_idempotent: request.arrival.is_idempotent,
            is_delivering: request.is_delivering,
            attempts: request.attempts - request.unsent_attempts,
            was_written: request.was_written,
        };
        request.was_written |= !failure.is_unwritten();
        request.unsent_attempts += u32::from(failure.is_free());
        let number = target_of_call(request, attempt);
        if failure == AttemptFailure::TrialUnavailable {
            // Only the latest such target stays avoided: earlier ones may offer a trial again.
            let last = std::mem::replace(&mut request.trial_unavailable_at, number);
            request.avoided_targets.retain(|avoided| Some(*avoided) != last);
        }
        if let Some(number) = number {
            if failure != AttemptFailure::Withdrawn {
                request.avoided_targets.push(number);
            }
            self.record_failure(cx.now_ms, number, ticket, failure);
            self.release_call(cx, number, ticket, attempt);
        }
        let is_still_running = self.requests.get(ticket).is_some_and(Request::is_in_flight);
        if !is_still_running {
            self.retry_or_refuse(cx, ticket, &failed_attempt);
        }
        self.finish_event(cx);
    }

    fn retry_or_refuse(
        &mut self,
        cx: &mut EventContext<'_>,
        ticket: Ticket,
        failed_attempt: &FailedAttempt,
    ) {
        let Some(request) = self.requests.get(ticket) else { return };
        let deadline_ms = request.arrival.deadline_ms;
        let digest = request.arrival.digest;
        let is_past_deadline = cx.now_ms >= deadline_ms;
        let is_refused_as_suspect = self.suspects.refused_for_ms(cx.now_ms, &digest).is_some();
        let next = retry::decide_retry(failed_attempt);
        // Nothing was sent, so the retry is not charged to the retry budget.
        let is_free = failed_attempt.failure.is_free();
        if next == RetryDecision::Retry
            && !is_refused_as_suspect
            && !is_past_deadline
            && (is_free || self.retry_budget.try_take())
        {
            let backoff_attempt =
                if is_free { request.unsent_attempts } else { failed_attempt.attempts };
            let until_ms = cx.now_ms + retry::backoff_ms(backoff_attempt, cx.rng);
            return self.back_off(ticket, until_ms.min(deadline_ms));
        }
        let (code, ran) = match next {
            RetryDecision::Refuse(code, ran) => (code, ran),
            RetryDecision::Retry => retry::refusal_after(failed_attempt),
        };
        self.refusal_rate.record_refusal(cx.now_ms);
        let retry_after_ms = self.refusal_rate.retry_after_ms(0.0, cx.rng);
        let refusal = retry::build_refusal(code, ran, retry_after_ms);
        cx.out.push(Action::Refuse { ticket, refusal });
        self.end_request(cx, ticket);
    }

    fn back_off(&mut self, ticket: Ticket, until_ms: u64) {
        self.count_waiting(ticket);
        let Some(request) = self.requests.get_mut(ticket) else { return };
        request.state = RequestState::BackingOff;
        self.backoffs.push((until_ms, ticket));
    }

    /// Records a failure of a target, and suspects the request if the target may have died.
    fn record_failure(
        &mut self,
        now_ms: u64,
        number: TargetNumber,
        ticket: Ticket,
        failure: AttemptFailure,
    ) {
        let digest = self.requests.get(ticket).map(|request| request.arrival.digest);
        let Some(target) = self.target_mut(number) else { return };
        match failure {
            AttemptFailure::Busy => target.record_busy(now_ms),
            AttemptFailure::Call { .. } => target.record_failure(now_ms),
            AttemptFailure::Withdrawn
            | AttemptFailure::TrialUnavailable
            | AttemptFailure::ClosedAsPoison => {}
        }
        if let Some(digest) = digest.filter(|_| failure.may_have_died()) {
            self.suspects.record_failure(now_ms, number, &digest);
            self.remember_broken_call(BrokenCall { failed_ms: now_ms, number, digest });
        }
    }

    fn remember_broken_call(&mut self, call: BrokenCall) {
        let now_ms = call.failed_ms;
        self.broken_calls.retain(|old| now_ms.saturating_sub(old.failed_ms) < BROKEN_CALL_TTL_MS);
        if self.broken_calls.len() >= MAX_BROKEN_CALLS {
            self.broken_calls.remove(0);
        }
        self.broken_calls.push(call);
    }

    /// Sends a second, concurrent attempt of an idempotent request if no request waits, the retry
    /// budget has a token and another target has room.
    pub fn hedge(&mut self, cx: &mut EventContext<'_>, ticket: Ticket) {
        let has_waiting = self.has_waiting();
        let Some(request) = self.requests.get_mut(ticket) else { return };
        let in_flight = request.calls.iter().flatten().count();
        let may_hedge = request.arrival.is_idempotent
            && !request.is_delivering
            && in_flight == 1
            && request.attempts < retry::MAX_ATTEMPTS;
        if !may_hedge || has_waiting {
            return;
        }
        let first = request.calls.iter().flatten().next().copied();
        let Some((number, _)) = first else { return };
        // The target of the first attempt is avoided for this choice only.
        request.avoided_targets.push(number);
        let index = self.choose_open_target_for(cx, ticket);
        if let Some(request) = self.requests.get_mut(ticket) {
            request.avoided_targets.pop();
        }
        let Some(index) = index else { return };
        if self.is_suspect(cx.now_ms, ticket) || !self.retry_budget.try_take() {
            return;
        }
        self.send_attempt(cx, ticket, index);
    }

    /// Releases an attempt that was abandoned in favor of another one of the same request.
    pub fn abandon(&mut self, cx: &mut EventContext<'_>, ticket: Ticket, attempt: u32) {
        let number = self.requests.get(ticket).and_then(|r| target_of_call(r, attempt));
        if let Some(number) = number {
            self.release_call(cx, number, ticket, attempt);
        }
        self.finish_event(cx);
    }

    /// Ends a request whose caller disconnected, in whichever state it is.
    pub fn cancel(&mut self, cx: &mut EventContext<'_>, ticket: Ticket) {
        self.end_request(cx, ticket);
        self.finish_event(cx);
    }

    /// Removes an attempt from its target and dispatches waiting requests to the freed room.
    fn release_call(
        &mut self,
        cx: &mut EventContext<'_>,
        number: TargetNumber,
        ticket: Ticket,
        attempt: u32,
    ) {
        if let Some(request) = self.requests.get_mut(ticket) {
            let before = request.calls.iter().flatten().count();
            request.calls.iter_mut().for_each(|call| {
                call.take_if(|call| *call == (number, attempt));
            });
            if before == 1 && request.calls.iter().all(Option::is_none) {
                self.usage.get_mut(request.usage_index).in_flight -= 1;
            }
        }
        if let Some(index) = self.index_of(number) {
            self.targets[index as usize].remove_call(ticket, attempt);
            self.fill_target(cx, index);
        }
    }

    /// Removes a request and releases its queue entry, counts and calls.
    pub(super) fn end_request(&mut self, cx: &mut EventContext<'_>, ticket: Ticket) {
        self.uncount_waiting(ticket);
        let Some(request) = self.requests.remove(ticket) else { return };
        match request.state {
            RequestState::Waiting(position) => {
                if let Ok(index) = self.queue_index(&request.arrival.destination) {
                    self.queues[index].remove(&position);
                    self.has_empty_queue |= self.queues[index].is_empty();
                }
            }
            RequestState::BackingOff => self.backoffs.retain(|(_, other)| *other != ticket),
            RequestState::Parked => {
                let parked = &mut self.usage.get_mut(request.usage_index).parked;
                parked.retain(|other| *other != ticket);
            }
            RequestState::Running => {}
        }
        let usage = self.usage.get_mut(request.usage_index);
        usage.admitted -= u32::from(request.is_admitted);
        usage.in_flight -= u32::from(request.is_in_flight());
        for (number, attempt) in request.calls.into_iter().flatten() {
            self.release_call(cx, number, ticket, attempt);
        }
        if !self.usage.get(request.usage_index).parked.is_empty() {
            self.usages_to_unpark.push(request.usage_index);
        }
    }

    /// Finishes an event: queues parked requests whose limit has room and removes empty queues.
    ///
    /// Queues are added only on enqueueing and removed only here, never while one is being served.
    pub(super) fn finish_event(&mut self, cx: &mut EventContext<'_>) {
        while let Some(usage_index) = self.usages_to_unpark.pop() {
            self.unpark(cx, usage_index);
        }
        if std::mem::take(&mut self.has_empty_queue) {
            self.queues.retain(|queue| !queue.is_empty());
        }
        self.ask_permits(cx);
    }

    /// Queues parked requests of a tenant and class while its in-flight limit allows.
    fn unpark(&mut self, cx: &mut EventContext<'_>, usage_index: usize) {
        loop {
            let usage = self.usage.get_mut(usage_index);
            let Some(ticket) = usage.parked.front().copied() else { return };
            let admitted = usage.admitted;
            let limit = self.requests.get(ticket).map_or(u32::MAX, |r| r.arrival.max_in_flight);
            if admitted >= limit {
                return;
            }
            self.usage.get_mut(usage_index).parked.pop_front();
            self.count_admitted(ticket);
            self.enqueue(cx, ticket, None);
        }
    }
}

fn target_of_call(request: &Request, attempt: u32) -> Option<TargetNumber> {
    let calls = request.calls.iter().flatten();
    calls.into_iter().find(|(_, a)| *a == attempt).map(|(number, _)| *number)
}
