//! Rate limits of targets: which targets are open to a request, and the permits that it waits for.

use super::{Action, Destination, EventContext, Request, RoutingEngine, Ticket};
use crate::membership::table::Standing;
use crate::rate_limit::message::{PermitAsk, PermitGrant, TargetStatement};
use crate::rate_limit::permits::{Gate, PermitId};
use crate::rate_limit::schedule::AT_ONCE_MS;
use crate::rate_limit::statements::StatedAt;
use crate::rate_limit::{Claim, MAX_CHOICE_WAIT_MS, SCHEDULE_AHEAD_MS, Statement, TargetLife};
use crate::routing::target::TargetNumber;

/// The limited target whose permit a request counts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AwaitedPermit {
    target: TargetNumber,
    /// Whether no other target could take the request meanwhile.
    is_patient: bool,
}

/// Whether the candidates of one request are open to it.
pub(super) struct Gates {
    now_ms: u64,
    /// Sorted by index.
    gates: Vec<(u32, Gate)>,
}

impl Gates {
    fn get(&self, index: u32) -> Gate {
        match self.gates.binary_search_by_key(&index, |(known, _)| *known) {
            Ok(at) => self.gates[at].1,
            Err(_) => Gate::Unlimited,
        }
    }

    pub(super) fn is_open(&self, index: u32) -> bool {
        matches!(self.get(index), Gate::Unlimited | Gate::Permit)
    }

    /// Whether a target is open now, or as soon as its permit has been granted.
    pub(super) fn is_open_at_once(&self, index: u32) -> bool {
        match self.get(index) {
            Gate::Unlimited | Gate::Permit => true,
            Gate::Closed { next_ms, .. } => next_ms <= self.now_ms + AT_ONCE_MS,
        }
    }
}

impl RoutingEngine {
    /// The gates of the candidates of a request, behind the requests that wait before it.
    pub(super) fn gates_for(&self, now_ms: u64, ticket: Ticket) -> Gates {
        let mut gates = Vec::new();
        if let Some(request) = self.requests.get(ticket) {
            let candidates = self.candidates(&request.arrival.destination);
            let gate = |index: &u32| {
                let claimed = self.claimed(*index, request.number);
                (*index, self.gate(now_ms, *index, claimed))
            };
            gates = candidates.iter().map(gate).collect();
        }
        Gates { now_ms, gates }
    }

    fn gate(&self, now_ms: u64, index: u32, claimed: u32) -> Gate {
        self.permits.gate(now_ms, &self.life(index), claimed)
    }

    /// Whether a target takes a request now: it names no limit, or there is a permit.
    pub(super) fn has_permit(&self, now_ms: u64, index: u32) -> bool {
        self.permits.is_empty() || !matches!(self.gate(now_ms, index, 0), Gate::Closed { .. })
    }

    fn life(&self, index: u32) -> TargetLife {
        self.table.entry(index).life()
    }

    /// Requests that count on a permit of a target and arrived before the request of this number.
    fn claimed(&self, index: u32, request_number: u64) -> u32 {
        let target = self.targets[index as usize].number;
        let is_before = |request: &&Request| {
            request.number < request_number
                && request.awaited.is_some_and(|awaited| awaited.target == target)
        };
        self.requests.iter().filter(is_before).count() as u32
    }

    /// Whether a request may wait for a permit although another target could take it.
    pub(super) fn may_await(&self, now_ms: u64, ticket: Ticket) -> bool {
        let until_ms = self.requests.get(ticket).and_then(|request| request.await_until_ms);
        until_ms.is_none_or(|until_ms| now_ms < until_ms)
    }

    /// Notes the limited target that a request waits for: `awaited`, or the first one to open if no
    /// target is open.
    pub(super) fn await_permit(
        &mut self,
        now_ms: u64,
        ticket: Ticket,
        gates: &Gates,
        awaited: Option<u32>,
        has_alternative: bool,
    ) {
        let first = || {
            let closed = gates.gates.iter().filter_map(|(index, gate)| match gate {
                Gate::Closed { next_ms, clears_ms } => Some((*next_ms, *clears_ms, *index)),
                Gate::Unlimited | Gate::Permit => None,
            });
            let open = closed.filter(|(_, _, index)| self.is_usable(now_ms, ticket, *index));
            open.min().map(|(_, _, index)| index)
        };
        let index = if has_alternative { awaited } else { awaited.or_else(first) };
        let target = index.map(|index| self.targets[index as usize].number);
        let Some(request) = self.requests.get_mut(ticket) else { return };
        request.awaited =
            target.map(|target| AwaitedPermit { target, is_patient: !has_alternative });
        if target.is_some() {
            self.is_permit_wanted = true;
            if has_alternative {
                request.await_until_ms.get_or_insert(now_ms + MAX_CHOICE_WAIT_MS);
            }
        }
    }

    /// Whether a target could take a request but for its rate limit.
    fn is_usable(&self, now_ms: u64, ticket: Ticket, index: u32) -> bool {
        let Some(request) = self.requests.get(ticket) else { return false };
        let target = &self.targets[index as usize];
        target.standing == Standing::Up
            && target.has_room(now_ms, request.is_long, self.settings.long_share)
    }

    /// Time until a target has a permit for a request behind `ahead` others; 0 if a target of the
    /// destination is not limited or has one now.
    pub(super) fn limited_wait_ms(
        &self,
        now_ms: u64,
        destination: &Destination,
        ahead: usize,
    ) -> u64 {
        if self.permits.is_empty() {
            return 0;
        }
        let wait_ms = |index: &u32| match self.gate(now_ms, *index, ahead as u32) {
            Gate::Unlimited | Gate::Permit => 0,
            Gate::Closed { next_ms, .. } if next_ms <= now_ms + SCHEDULE_AHEAD_MS => 0,
            Gate::Closed { next_ms, clears_ms } => clears_ms.max(next_ms).saturating_sub(now_ms),
        };
        let up = |index: &&u32| self.targets[**index as usize].standing != Standing::Leaving;
        self.candidates(destination).iter().filter(up).map(wait_ms).min().unwrap_or(0)
    }

    /// Time after which a caller may return that is refused because all targets are limited.
    pub(super) fn next_return_in_ms(&mut self, now_ms: u64, ticket: Ticket) -> Option<u64> {
        let request = self.requests.get(ticket)?;
        let candidates = self.candidates(&request.arrival.destination);
        let clears = candidates.iter().filter_map(|index| match self.gate(now_ms, *index, 0) {
            Gate::Closed { clears_ms, .. } => Some((clears_ms, *index)),
            Gate::Unlimited | Gate::Permit => None,
        });
        let (_, index) = clears.min()?;
        let life = self.life(index);
        Some(self.permits.next_return_ms(now_ms, &life)?.saturating_sub(now_ms))
    }

    /// Whether an attempt that was started may be sent now, with its permit if its target was
    /// limited then. The permit is used up.
    pub fn begin_send(&mut self, now_ms: u64, life: &TargetLife, permit: Option<PermitId>) -> bool {
        match permit {
            Some(permit) => self.permits.spend(now_ms, &life.target, permit),
            None => self.permits.limit(&life.target, life.incarnation).is_none(),
        }
    }

    /// Takes a permit to resume a stream at a target. Returns whether it may be resumed now; if
    /// not, a permit is asked for until [`RoutingEngine::end_wait_to_resume`].
    pub fn begin_resume(&mut self, cx: &mut EventContext<'_>, life: &TargetLife) -> bool {
        let is_waiting = self.waiting_resumes.contains(life);
        let is_open = match self.permits.reserve(cx.now_ms, &life.target, life.incarnation) {
            Some(permit) => self.permits.spend(cx.now_ms, &life.target, permit),
            None => self.permits.limit(&life.target, life.incarnation).is_none(),
        };
        if !is_open {
            if !is_waiting {
                self.waiting_resumes.push(life.clone());
            }
            self.is_permit_wanted = true;
        }
        self.finish_event(cx);
        is_open
    }

    /// Ends the wait for a permit to resume a stream.
    pub fn end_wait_to_resume(&mut self, life: &TargetLife) {
        if let Some(at) = self.waiting_resumes.iter().position(|known| known == life) {
            self.waiting_resumes.swap_remove(at);
        }
    }

    /// Handles what a target said of its rate limit in a response.
    pub fn rate_limit_named(
        &mut self,
        cx: &mut EventContext<'_>,
        life: &TargetLife,
        statement: Statement,
        sent_ms: u64,
    ) -> bool {
        let at = StatedAt { sent_ms, read_ms: cx.now_ms };
        if !self.permits.record(cx.now_ms, life, statement, at) {
            return false;
        }
        self.is_permit_wanted = true;
        self.serve_queues(cx);
        self.finish_event(cx);
        true
    }

    /// Handles news of the leader: how many daemons share the limits, and what targets said of
    /// theirs to any of them.
    pub fn rate_limits_told(
        &mut self,
        cx: &mut EventContext<'_>,
        daemons: u32,
        told: &[TargetStatement],
    ) {
        self.permits.set_routers(daemons);
        let mut is_changed = false;
        for statement in told {
            is_changed |= self.permits.record_told(cx.now_ms, statement);
        }
        if self.permits.has_untold() {
            self.is_permit_wanted = true;
        }
        if is_changed {
            self.serve_queues(cx);
        }
        self.finish_event(cx);
    }

    /// Handles a change of the leader: the new one may know no limits.
    pub fn leader_changed(&mut self, cx: &mut EventContext<'_>) {
        self.permits.forget_told();
        self.is_permit_wanted = self.permits.has_untold();
        self.finish_event(cx);
    }

    /// What targets last said of their rate limits.
    pub fn rate_limits(&self, now_ms: u64) -> Vec<TargetStatement> {
        self.permits.statements(now_ms)
    }

    /// What to ask the leader: permits for waiting requests, and statements that it does not know.
    pub fn permit_asks(&self, now_ms: u64) -> Vec<PermitAsk> {
        self.permits.asks(now_ms, |life| self.claim(life))
    }

    fn claim(&self, life: &TargetLife) -> Claim {
        let resumes = self.waiting_resumes.iter().filter(|known| *known == life).count() as u32;
        let mut claim = Claim { count: resumes, patient: resumes };
        for awaited in self.requests.iter().filter_map(|request| request.awaited) {
            let is_here = self.index_of(awaited.target).is_some_and(|at| self.life(at) == *life);
            claim.count += u32::from(is_here);
            claim.patient += u32::from(is_here && awaited.is_patient);
        }
        claim
    }

    /// Handles the leader's grants to asks that were sent at `asked_ms`; `None` if no leader
    /// answered.
    pub fn permits_granted(
        &mut self,
        cx: &mut EventContext<'_>,
        asked_ms: u64,
        asks: &[PermitAsk],
        grants: Option<&[PermitGrant]>,
    ) {
        match grants {
            Some(grants) => {
                self.permits.apply_grants(cx.now_ms, asked_ms, asks, grants);
                self.is_permit_wanted |= self.permits.has_untold();
            }
            None => self.permits.set_leader_lost(cx.now_ms),
        }
        self.serve_queues(cx);
        self.finish_event(cx);
    }

    /// Asks for permits once at the end of an event that needs some.
    pub(super) fn ask_permits(&mut self, cx: &mut EventContext<'_>) {
        if std::mem::take(&mut self.is_permit_wanted) {
            cx.out.push(Action::AskPermits);
        }
    }
}
