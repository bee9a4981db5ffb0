//! The permits of a router for limited targets: what is asked of the leader, and what it grants.

use super::balancer::TargetChoice;
use super::choice::PermitClaims;
use super::queue::AwaitedPermit;
use super::reservation::SlotReservation;
use super::state::RouterState;
use crate::rate_limit::message;

impl RouterState {
    /// The permits and slots that requests count on which are served before a new one of this rank; `None`
    /// while no target is limited or brittle.
    pub(super) fn permit_claims_before(&self, rank: u8) -> Option<PermitClaims> {
        let balancer = self.balancer.borrow();
        if balancer.permits().is_empty() && balancer.leases().is_empty() {
            return None;
        }
        Some(self.queue.borrow().permit_claims_before(rank))
    }

    pub(super) fn awaited_permit(&self, choice: TargetChoice) -> Option<AwaitedPermit> {
        let (index, has_alternative) = match choice {
            TargetChoice::AwaitPermit { index, has_alternative } => (index, has_alternative),
            TargetChoice::AwaitSlot { index, .. } | TargetChoice::AllLimited { index, .. } => {
                (index, false)
            }
            _ => return None,
        };
        let balancer = self.balancer.borrow();
        let entry = &balancer.target(index).entry;
        let life = entry.life();
        Some(AwaitedPermit { life, has_alternative })
    }

    /// The limit that the target of a reservation names, in requests a second.
    pub(super) fn rate_limit(&self, reservation: &SlotReservation) -> Option<f64> {
        let balancer = self.balancer.borrow();
        let limit = balancer.permits().limit(&reservation.target, reservation.incarnation);
        limit.map(|limit| limit.0)
    }

    /// What to ask the leader: permits for waiting requests, and statements that it does not know.
    pub(super) fn take_permit_asks(&self) -> Vec<message::PermitAsk> {
        let now_ms = self.now_ms();
        let claims = self.queue.borrow().permit_claims();
        self.balancer.borrow().permits().asks(now_ms, |life| claims.get(life))
    }

    /// Applies the leader's grants to asks that were sent at `asked_ms`; `None` if no leader
    /// answered.
    pub(super) fn apply_grants(
        &self,
        asked_ms: u64,
        asks: &[message::PermitAsk],
        grants: Option<&[message::PermitGrant]>,
    ) {
        let now_ms = self.now_ms();
        let mut balancer = self.balancer.borrow_mut();
        match grants {
            Some(grants) => balancer.permits_mut().apply_grants(now_ms, asked_ms, asks, grants),
            None => balancer.permits_mut().set_leader_lost(now_ms),
        }
        let has_untold = grants.is_some() && balancer.permits().has_untold();
        drop(balancer);
        if has_untold {
            self.permits_wanted.notify_one();
        }
        self.dispatch_waiting();
        self.permits_changed.notify_one();
    }

    /// When a permit starts next, or may be asked for, while requests wait.
    pub(super) fn next_permit_change_ms(&self) -> Option<u64> {
        if self.queue.borrow().is_empty() {
            return None;
        }
        self.balancer.borrow().permits().next_change_ms(self.now_ms())
    }
}
