//! Requests that wait for a slot at a target, and those that get one.

use std::rc::Weak;

use tokio::sync::oneshot;

use super::RouterState;
use crate::gateway::balancer::{TargetChoice, TargetQuery};
use crate::gateway::choice::{PermitClaims, PermitUse};
use crate::gateway::events;
use crate::gateway::forecast::{Outlook, Shortage};
use crate::gateway::queue::{Placing, WaiterId, WaitingRequest};
use crate::gateway::reservation::SlotReservation;
use crate::ids::ModelRef;
use crate::slot_lease::pool::Ending;

/// Sends a waiting request its slot reservation, or the reason why it cannot get one.
pub(super) type ReservationSender = oneshot::Sender<Result<SlotReservation, TargetChoice>>;

impl RouterState {
    /// Reserves a slot at the best target, if one is free now.
    pub(in crate::gateway) fn try_reserve(
        &self,
        query: &TargetQuery<'_>,
        prompt_tokens: u64,
        may_await: bool,
    ) -> Result<SlotReservation, TargetChoice> {
        let claims = self.permit_claims_before(query.rank);
        let permit_use = PermitUse { claims: claims.as_ref(), may_await };
        let choice = self.balancer.borrow().choose_with(self.now_ms(), query, permit_use);
        let index = match choice {
            TargetChoice::Selected(index) if self.must_yield(index, query) => {
                // More urgent requests that can have the slot get it first.
                self.dispatch_waiting();
                match self.balancer.borrow().choose_with(self.now_ms(), query, permit_use) {
                    TargetChoice::Selected(index) => index,
                    other => return Err(other),
                }
            }
            TargetChoice::Selected(index) => index,
            other => return Err(other),
        };
        Ok(self.reserve(index, query.model, prompt_tokens, query.need_tokens))
    }

    /// Whether a target has one free slot left, and more urgent requests wait.
    fn must_yield(&self, index: usize, query: &TargetQuery<'_>) -> bool {
        let balancer = self.balancer.borrow();
        let target = balancer.target(index);
        target.in_flight() + 1 >= target.entry.slots
            && self.queue.borrow().has_more_urgent(query.service, query.rank)
    }

    /// Whether a request can never be served: it needs more memory than any engine of its service has.
    pub(in crate::gateway) fn exceeds_memory(&self, query: &TargetQuery<'_>) -> bool {
        self.balancer.borrow().exceeds_memory(query.service, query.need_tokens)
    }

    fn reserve(
        &self,
        index: usize,
        model: Option<&ModelRef>,
        prompt_tokens: u64,
        need_tokens: u64,
    ) -> SlotReservation {
        let started_ms = self.now_ms();
        let mut balancer = self.balancer.borrow_mut();
        let permit = balancer.start_request(started_ms, index, model, prompt_tokens);
        balancer.hold_tokens(index, need_tokens);
        let target = balancer.target(index);
        SlotReservation {
            router: Weak::clone(&self.own),
            target: target.entry.target.clone(),
            incarnation: target.entry.incarnation,
            address: target.entry.address,
            software: target.entry.software.clone(),
            in_flight: target.in_flight(),
            table_version: self.table_version.get(),
            permit,
            model: model.cloned(),
            unread_tokens: prompt_tokens,
            read_tokens: target.unread_tokens(),
            need_tokens,
            started_ms,
            is_answered: false,
            ending: Ending::NotRun,
        }
    }

    /// Waits in the queue for a slot. Dropping the future removes the request from the queue.
    ///
    /// # Errors
    /// The reason why no slot can become free while the request may wait.
    pub(in crate::gateway) async fn wait_for_slot(
        &self,
        id: &str,
        mut waiter: WaitingRequest,
        reason: TargetChoice,
    ) -> Result<SlotReservation, TargetChoice> {
        let waiter_id = waiter.id;
        let outlook = waiter.outlook;
        let unavailable_targets =
            self.balancer.borrow().count_unavailable(self.now_ms(), &waiter.service);
        let is_model_missing = matches!(reason, TargetChoice::NoReplica);
        waiter.awaited = self.awaited_permit(reason);
        let is_permit_awaited = waiter.awaited.is_some();
        self.queue.borrow_mut().insert(waiter);
        let (sender, reservation) = oneshot::channel();
        self.senders.borrow_mut().push((waiter_id, sender));
        let guard = QueueGuard { router: self, waiter_id };
        let queue_len = self.queue.borrow().len();
        events::emit(
            id,
            &events::RequestEvent::Queued {
                reason: wait_reason(reason),
                queue_len,
                unavailable_targets,
                forecast: (outlook != Outlook::UNKNOWN).then(|| outlook.into()),
            },
        );
        if is_model_missing {
            self.demand_changed.notify_one();
        }
        if is_permit_awaited {
            self.permits_wanted.notify_one();
            self.permits_changed.notify_one();
            self.slots_wanted.notify_one();
        }
        let reservation = reservation.await;
        drop(guard);
        // The sender is kept for as long as the request waits.
        reservation.unwrap_or(Err(reason))
    }

    /// Assigns free slots to waiting requests, in queue order.
    pub(in crate::gateway) fn dispatch_waiting(&self) {
        if self.queue.borrow().is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let mut claims = PermitClaims::default();
        let served = self
            .queue
            .borrow_mut()
            .take_placed(now_ms, |waiter| self.place(now_ms, waiter, &mut claims));
        if !claims.is_empty() {
            self.permits_wanted.notify_one();
            self.slots_wanted.notify_one();
        }
        for (waiter, reservation) in served {
            if reservation.is_ok() {
                self.record_load_wait(now_ms, &waiter);
            }
            self.answer_waiting(waiter.id, reservation);
        }
        self.review_waiting(now_ms);
    }

    /// Reserves a slot for a waiting request, or says why it need not wait any more. If it goes on waiting, its claim
    /// counts for the requests after it.
    fn place(
        &self,
        now_ms: u64,
        waiter: &mut WaitingRequest,
        claims: &mut PermitClaims,
    ) -> Placing<Result<SlotReservation, TargetChoice>> {
        let query = TargetQuery {
            service: &waiter.service,
            model: waiter.model.as_ref(),
            prompt_parts: &waiter.prompt_parts,
            need_tokens: waiter.need_tokens,
            avoided_targets: &waiter.avoided_targets,
            continuation: &waiter.continuation,
            rank: waiter.rank,
            salt: self.salt.get(),
        };
        let permit_use = PermitUse { claims: Some(claims), may_await: waiter.may_await };
        let choice = self.balancer.borrow().choose_with(now_ms, &query, permit_use);
        waiter.awaited = self.awaited_permit(choice);
        if let Some(awaited) = &waiter.awaited {
            claims.add(awaited.life.clone(), !awaited.has_alternative);
        }
        match choice {
            TargetChoice::Selected(index) => Placing::Served(Ok(self.reserve(
                index,
                waiter.model.as_ref(),
                waiter.prompt_tokens,
                waiter.need_tokens,
            ))),
            _ if self.is_wait_over(waiter, choice) => Placing::Ended(Err(choice)),
            _ => {
                waiter.shortage = shortage(choice);
                Placing::Waits
            }
        }
    }

    /// Whether no slot can become free for a waiting request in time.
    fn is_wait_over(&self, waiter: &mut WaitingRequest, choice: TargetChoice) -> bool {
        match choice {
            TargetChoice::AllPaused { .. } => true,
            TargetChoice::AllLimited { clears_at_ms, .. } => clears_at_ms > waiter.give_up_ms,
            TargetChoice::AwaitSlot { .. } if !waiter.is_judged => {
                let (service, rank) = (&waiter.service, waiter.rank);
                let is_late = self.is_slot_late(choice, service, rank, waiter.give_up_ms);
                waiter.is_judged = is_late.is_some();
                is_late == Some(true)
            }
            TargetChoice::Selected(_)
            | TargetChoice::AwaitPermit { .. }
            | TargetChoice::AwaitSlot { .. }
            | TargetChoice::AllFull
            | TargetChoice::NoReplica
            | TargetChoice::NoTarget => false,
        }
    }

    pub(super) fn answer_waiting(
        &self,
        waiter_id: WaiterId,
        reservation: Result<SlotReservation, TargetChoice>,
    ) {
        let mut senders = self.senders.borrow_mut();
        let Some(at) = senders.iter().position(|(id, _)| *id == waiter_id) else { return };
        let (_, sender) = senders.swap_remove(at);
        drop(senders);
        // If the request was cancelled meanwhile, the reservation is dropped, which releases the slot.
        let _ = sender.send(reservation);
    }
}

/// What a request lacks for which no target was chosen.
pub(in crate::gateway) fn shortage(choice: TargetChoice) -> Shortage {
    match choice {
        TargetChoice::AllFull => Shortage::Slots,
        TargetChoice::NoReplica => Shortage::Replicas,
        _ => Shortage::Other,
    }
}

/// The reason why a request waits, as written to its log line.
fn wait_reason(choice: TargetChoice) -> &'static str {
    match choice {
        TargetChoice::Selected(_) => "a target is free",
        TargetChoice::AwaitPermit { .. } => "a permit for a limited target is asked for",
        TargetChoice::AwaitSlot { .. } => "a slot of a brittle target is asked for",
        TargetChoice::AllFull => "all targets are full",
        TargetChoice::AllLimited { .. } => "all targets are at their rate limits",
        TargetChoice::AllPaused { .. } => "all targets ask to be left alone",
        TargetChoice::NoReplica => "no target holds the model",
        TargetChoice::NoTarget => "the service has no targets",
    }
}

/// Removes a request from the queue on drop.
struct QueueGuard<'a> {
    router: &'a RouterState,
    waiter_id: WaiterId,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.router.queue.borrow_mut().remove(self.waiter_id);
        self.router.senders.borrow_mut().retain(|(id, _)| *id != self.waiter_id);
    }
}
