//! Dispatch: selects queued requests and sends them to targets that have room.

use super::{Action, AttemptStart, Destination, EventContext, RequestState, RoutingEngine, Ticket};
use crate::routing::choice::{self, TargetRequirements};
use crate::routing::hedge;
use crate::routing::queue::QueuedRequest;
use crate::routing::refusal::RefusalCode;
use crate::routing::target::{InFlightCall, Target};

/// Most requests examined in one list of a queue: a request that avoids some targets, or is
/// suspected of crashing them, may be overtaken by later ones.
const MAX_SKIPPED_REQUESTS: usize = 8;

impl RoutingEngine {
    /// Chooses a target with room for a request and returns its index. If the best one is limited,
    /// the request waits for its permit.
    pub(super) fn choose_target_for(
        &mut self,
        cx: &mut EventContext<'_>,
        ticket: Ticket,
    ) -> Option<u32> {
        if self.permits.is_empty() {
            return self.choose_among(cx, ticket, |_| true);
        }
        let gates = self.gates_for(cx.now_ms, ticket);
        let open = self.choose_among(cx, ticket, |index| gates.is_open(index));
        let may_await = self.may_await(cx.now_ms, ticket);
        let awaited = match may_await || open.is_none() {
            true => self.choose_among(cx, ticket, |index| gates.is_open_at_once(index)),
            false => None,
        };
        let awaited = awaited.filter(|index| !gates.is_open(*index));
        self.await_permit(cx.now_ms, ticket, &gates, awaited, open.is_some());
        open.filter(|_| awaited.is_none())
    }

    /// Chooses a target with room for a request that waits for no permit.
    pub(super) fn choose_open_target_for(
        &self,
        cx: &mut EventContext<'_>,
        ticket: Ticket,
    ) -> Option<u32> {
        let gates = self.gates_for(cx.now_ms, ticket);
        self.choose_among(cx, ticket, |index| gates.is_open(index))
    }

    /// Chooses among the targets with room for a request that are allowed.
    fn choose_among(
        &self,
        cx: &mut EventContext<'_>,
        ticket: Ticket,
        is_allowed: impl Fn(u32) -> bool,
    ) -> Option<u32> {
        let request = self.requests.get(ticket)?;
        let arrival = &request.arrival;
        let prefix_holder = arrival
            .conversation
            .and_then(|conversation| self.affinity.target_of(cx.now_ms, conversation))
            .and_then(|number| self.index_of(number));
        let requirements = TargetRequirements {
            is_long: request.is_long,
            long_share: self.settings.long_share,
            expected_first_ms: request.answer_ms,
            prefix_holder,
            avoided_targets: &request.avoided_targets,
        };
        let is_suspect = self.is_suspect(cx.now_ms, ticket);
        let is_allowed = |index: u32| {
            let target = &self.targets[index as usize];
            is_allowed(index) && (!is_suspect || !self.is_running_suspect(cx.now_ms, target))
        };
        let candidates = self.candidates(&arrival.destination);
        choice::choose_target(
            cx.now_ms,
            &self.targets,
            candidates,
            &requirements,
            is_allowed,
            cx.rng,
        )
    }

    /// Indices of the targets that can serve a destination.
    pub(super) fn candidates(&self, destination: &Destination) -> &[u32] {
        match self.queue_index(destination) {
            Ok(index) => self.queues[index].candidates(),
            Err(_) => destination.candidates(&self.table),
        }
    }

    pub(super) fn is_suspect(&self, now_ms: u64, ticket: Ticket) -> bool {
        let Some(request) = self.requests.get(ticket) else { return false };
        request.arrival.is_suspect || self.suspects.is_suspect(now_ms, &request.arrival.digest)
    }

    /// Whether a suspect request is in flight at a target.
    fn is_running_suspect(&self, now_ms: u64, target: &Target) -> bool {
        let is_suspect = |call: &InFlightCall| self.is_suspect(now_ms, call.ticket);
        target.calls.iter().any(is_suspect)
    }

    /// Sends the next attempt of a request to the target at `index`.
    pub(super) fn send_attempt(&mut self, cx: &mut EventContext<'_>, ticket: Ticket, index: u32) {
        self.uncount_waiting(ticket);
        let is_suspect = self.is_suspect(cx.now_ms, ticket);
        let entry = self.table.entry(index);
        let permit = self.permits.reserve(cx.now_ms, &entry.target, entry.incarnation);
        let Some(request) = self.requests.get_mut(ticket) else { return };
        request.awaited = None;
        let target = &mut self.targets[index as usize];
        let attempt = request.attempts;
        request.attempts += 1;
        request.state = RequestState::Running;
        if request.calls.iter().all(Option::is_none) {
            self.usage.get_mut(request.usage_index).in_flight += 1;
        }
        let unused = request.calls.iter_mut().find(|call| call.is_none());
        if let Some(unused) = unused {
            *unused = Some((target.number, attempt));
        }
        target.add_call(InFlightCall {
            ticket,
            attempt,
            started_ms: cx.now_ms,
            expected_first_ms: request.answer_ms,
            is_answering: false,
            is_long: request.is_long,
            digest: request.arrival.digest,
        });
        let waited_ms = cx.now_ms.saturating_sub(request.queued_ms);
        if request.predicted_ms.is_some() && request.uncorrected_wait_ms > 0.0 {
            self.wait_estimate.observe(request.uncorrected_wait_ms, waited_ms as f64);
        }
        let hedge_after_ms = hedge::delay_ms(
            request.arrival.is_idempotent,
            request.expected.is_learned(),
            request.answer_ms,
        );
        cx.out.push(Action::StartAttempt(AttemptStart {
            ticket,
            table: self.table.clone(),
            target_index: index,
            attempt,
            waited_ms: cx.now_ms.saturating_sub(request.arrived_ms),
            predicted_ms: request.predicted_ms.take(),
            hedge_after_ms,
            is_suspect,
            permit,
        }));
    }

    /// Dispatches as many requests as possible from the queue at `index`.
    pub(super) fn serve_queue(&mut self, cx: &mut EventContext<'_>, index: usize) {
        while let Some((queued, target)) = self.next_in_queue(cx, index) {
            self.dispatch(cx, index, queued, target);
        }
    }

    /// The first request of a queue for which a target has room, and the index of that target.
    fn next_in_queue(
        &mut self,
        cx: &mut EventContext<'_>,
        index: usize,
    ) -> Option<(QueuedRequest, u32)> {
        for rank in self.fair_scheduler.rank_order() {
            for is_long in self.kind_order(index, rank) {
                for at in 0..MAX_SKIPPED_REQUESTS {
                    let queued = self.queues[index].requests_of(rank, is_long).nth(at).copied();
                    let Some(queued) = queued else { break };
                    if let Some(target) = self.choose_target_for(cx, queued.ticket) {
                        return Some((queued, target));
                    }
                    if !self.is_restricted(cx.now_ms, queued.ticket) {
                        break;
                    }
                }
            }
        }
        None
    }

    /// Whether short or long requests of a rank go first: the list whose head has the lower tag.
    /// `true` stands for long.
    fn kind_order(&self, index: usize, rank: usize) -> [bool; 2] {
        let queue = &self.queues[index];
        let tag =
            |is_long| queue.requests_of(rank, is_long).next().map(|queued| queued.position.tag);
        match (tag(false), tag(true)) {
            (Some(short), Some(long)) if long < short => [true, false],
            _ => [false, true],
        }
    }

    /// Whether a request is barred from some targets, so that later requests may overtake it.
    fn is_restricted(&self, now_ms: u64, ticket: Ticket) -> bool {
        let has_avoided_targets =
            self.requests.get(ticket).is_some_and(|r| !r.avoided_targets.is_empty());
        let is_awaiting = self.requests.get(ticket).is_some_and(|r| r.awaited.is_some());
        has_avoided_targets || is_awaiting || self.is_suspect(now_ms, ticket)
    }

    /// Removes a request from its queue and sends it, or refuses it if it can't meet its deadline.
    fn dispatch(
        &mut self,
        cx: &mut EventContext<'_>,
        queue: usize,
        queued: QueuedRequest,
        target: u32,
    ) {
        self.queues[queue].remove(&queued.position);
        self.has_empty_queue |= self.queues[queue].is_empty();
        let Some(request) = self.requests.get(queued.ticket) else { return };
        if !request.can_meet_deadline(cx.now_ms, 0.0) {
            return self.refuse(cx, queued.ticket, RefusalCode::NotInTime, 0.0);
        }
        self.send_attempt(cx, queued.ticket, target);
        let waiting = &self.waiting_by_rank;
        self.fair_scheduler.record_dispatch(&queued.position, waiting, self.settings.floor_share);
    }

    /// Dispatches requests from all queues to the target at `index` until it is full.
    pub(super) fn fill_target(&mut self, cx: &mut EventContext<'_>, index: u32) {
        while let Some((queue, queued)) = self.next_for_target(cx.now_ms, index) {
            self.dispatch(cx, queue, queued, index);
        }
    }

    /// The next request over all queues that the target at `index` can accept.
    fn next_for_target(&self, now_ms: u64, index: u32) -> Option<(usize, QueuedRequest)> {
        let target = &self.targets[index as usize];
        let long_share = self.settings.long_share;
        let work_kinds = [false, true].map(|is_long| target.has_room(now_ms, is_long, long_share));
        if target.standing != crate::membership::table::Standing::Up
            || work_kinds == [false; 2]
            || !self.has_permit(now_ms, index)
        {
            return None;
        }
        for rank in self.fair_scheduler.rank_order() {
            let mut best: Option<(usize, QueuedRequest)> = None;
            for (at, queue) in self.queues.iter().enumerate() {
                if queue.len_of(rank) == 0 || queue.candidates().binary_search(&index).is_err() {
                    continue;
                }
                let allowed = [false, true].into_iter().filter(|l| work_kinds[usize::from(*l)]);
                for is_long in allowed {
                    let mut row = queue.requests_of(rank, is_long).take(MAX_SKIPPED_REQUESTS);
                    let open = row.find(|queued| self.can_accept(now_ms, queued.ticket, target));
                    let Some(queued) = open else { continue };
                    if best.is_none_or(|(_, b)| queued.position.tag < b.position.tag) {
                        best = Some((at, *queued));
                    }
                }
            }
            if best.is_some() {
                return best;
            }
        }
        None
    }

    /// Whether a request may be sent to a target, regardless of the target's room.
    fn can_accept(&self, now_ms: u64, ticket: Ticket, target: &Target) -> bool {
        let Some(request) = self.requests.get(ticket) else { return false };
        let is_avoided = request.avoided_targets.contains(&target.number);
        let is_suspect = self.is_suspect(now_ms, ticket);
        !is_avoided && (!is_suspect || !self.is_running_suspect(now_ms, target))
    }
}
