//! A request's slot at a target.

use std::rc::Weak;

use super::balancer::Balancer;
use super::state::RouterState;
use crate::ids::{Incarnation, ModelRef, SoftwareVersion, TargetId};
use crate::membership::feed;
use crate::rate_limit::TargetLife;
use crate::rate_limit::permits::PermitId;
use crate::slot_lease::pool::Ending;

/// A request's slot at a target. Dropping it releases the slot to the next waiting request.
pub(super) struct SlotReservation {
    pub(super) router: Weak<RouterState>,
    pub target: TargetId,
    pub incarnation: Incarnation,
    pub address: std::net::SocketAddr,
    /// The version of the target's software, if it is known.
    pub software: Option<SoftwareVersion>,
    /// Requests in flight at the target, including this one.
    pub in_flight: u32,
    /// The version of the target table that the target was chosen from.
    pub table_version: feed::FeedCursor,
    /// The permit, if the target is limited.
    pub(super) permit: Option<PermitId>,
    pub(super) model: Option<ModelRef>,
    pub(super) unread_tokens: u64,
    /// Prompt tokens that the target had to read before the first event, those of this request included.
    pub(super) read_tokens: u64,
    /// Tokens that the request needs in the memory of an engine.
    pub(super) need_tokens: u64,
    pub(super) started_ms: u64,
    pub(super) is_answered: bool,
    /// How the request ends if nothing more becomes known of it.
    pub(super) ending: Ending,
}

impl SlotReservation {
    /// The incarnation of the target.
    pub(super) fn life(&self) -> TargetLife {
        TargetLife { target: self.target.clone(), incarnation: self.incarnation }
    }

    /// Whether the request may still be sent. Its permit is used up.
    pub(super) fn begin_send(&mut self) -> bool {
        let Some(router) = self.router.upgrade() else { return false };
        let now_ms = router.now_ms();
        let permit = self.permit.take();
        let mut balancer = router.balancer.borrow_mut();
        let may_send = balancer.begin_send(now_ms, &self.target, self.incarnation, permit);
        if may_send {
            self.ending = Ending::Abandoned;
        }
        may_send
    }

    /// Records that the target has ended its work on the request: with a whole answer, or without having run it.
    pub(super) fn note_ended(&mut self, ending: Ending) {
        self.ending = ending;
    }

    /// Records how long a request that the target has answered occupied the slot.
    fn record_occupancy(&self, router: &RouterState, balancer: &Balancer) {
        if self.ending != Ending::Finished {
            return;
        }
        let found =
            balancer.targets().binary_search_by(|known| known.entry.target.cmp(&self.target));
        let service = found.ok().and_then(|at| balancer.targets()[at].entry.services.first());
        let Some(service) = service else { return };
        let now_ms = router.now_ms();
        router.observations.borrow_mut().record_occupancy(
            now_ms,
            service,
            self.model.as_ref(),
            now_ms.saturating_sub(self.started_ms),
        );
    }

    /// Records that the target has started its response.
    pub fn note_answered(&mut self) {
        if let Some(router) = self.router.upgrade().filter(|_| !self.is_answered) {
            router.balancer.borrow_mut().record_answer(
                self.started_ms,
                &self.target,
                self.incarnation,
            );
        }
        self.is_answered = true;
    }

    /// Records that the target has read the prompt: its first event has arrived.
    pub(super) fn note_prompt_read(&mut self) {
        let prompt_tokens = std::mem::take(&mut self.unread_tokens);
        if let Some(router) = self.router.upgrade().filter(|_| prompt_tokens > 0) {
            router.balancer.borrow_mut().record_prompt_read(
                &self.target,
                self.incarnation,
                prompt_tokens,
            );
        }
    }
}

impl Drop for SlotReservation {
    fn drop(&mut self) {
        self.note_prompt_read();
        let Some(router) = self.router.upgrade() else { return };
        let mut balancer = router.balancer.borrow_mut();
        self.record_occupancy(&router, &balancer);
        balancer.finish_request(&self.target, self.incarnation, self.model.as_ref());
        balancer.release_tokens(&self.life(), self.need_tokens);
        let now_ms = router.now_ms();
        let took_ms = now_ms.saturating_sub(self.started_ms);
        if self.is_answered && self.ending == Ending::Finished {
            balancer.record_occupancy(&self.life(), took_ms);
        }
        balancer.leases_mut().record_end(now_ms, &self.life(), took_ms, self.ending);
        if let Some(permit) = self.permit.take() {
            balancer.permits_mut().release(&self.target, permit);
        }
        if !self.is_answered {
            balancer.record_no_answer(self.started_ms, &self.target, self.incarnation);
        }
        let is_leased = !balancer.leases().is_empty();
        drop(balancer);
        if is_leased {
            // Another router may wait for the slot.
            router.slots_wanted.notify_one();
        }
        router.dispatch_waiting();
    }
}
