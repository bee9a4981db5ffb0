//! A guard that removes a request from the routing engine however its handling ends.

use std::sync::Arc;

use futures::future::BoxFuture;

use crate::ids::{Digest, Incarnation, RequestId, TargetId};
use crate::routing::engine::{Arrival, AttemptFailure, AttemptStart, Ticket};
use crate::routing::refusal::Refusal;
use crate::target::Target;
use crate::target::order::Load;
use crate::traffic::poison::{BrokenCall, SuspectAttempt, TrialDecision};
use crate::traffic::state::{Decision, Progress, TrafficState};

/// An attempt that was sent and has not ended.
struct OpenAttempt {
    attempt: u32,
    target: Arc<dyn Target>,
    id: TargetId,
    incarnation: Incarnation,
    /// The trial of the attempt, if the request is a poison suspect.
    trial: Option<u64>,
}

/// An attempt that may be sent once its trial is granted.
pub(super) struct OpenedAttempt {
    pub(super) target: Arc<dyn Target>,
    /// The decision on the trial, if the attempt needs one.
    pub(super) trial: Option<BoxFuture<'static, TrialDecision>>,
}

/// One request in the routing engine. Dropping the guard means that the caller disconnected: the
/// request is removed from the engine, and cancelled at the targets that still run it.
pub(super) struct RequestGuard {
    shared: Arc<TrafficState>,
    ticket: Ticket,
    request: RequestId,
    digest: Digest,
    is_cancelled_at_target: bool,
    has_ended: bool,
    open: Vec<OpenAttempt>,
    broken: Vec<BrokenCall>,
}

impl RequestGuard {
    /// Submits a request to the engine and waits for its first attempt or its refusal.
    ///
    /// `is_cancelled_at_target` is unset for plain services, which cannot cancel a request.
    pub(super) async fn admit(
        shared: &Arc<TrafficState>,
        request: RequestId,
        arrival: Arrival,
        is_cancelled_at_target: bool,
    ) -> Result<(RequestGuard, AttemptStart), Refusal> {
        let digest = arrival.digest;
        let ready_at = |model: &_| shared.placement.replica_ready_at_ms(model);
        let (ticket, next) =
            shared.apply_request_event(|engine, cx| engine.arrive(cx, arrival, ready_at));
        let mut guard = RequestGuard {
            shared: shared.clone(),
            ticket,
            request,
            digest,
            is_cancelled_at_target,
            has_ended: false,
            open: Vec::new(),
            broken: Vec::new(),
        };
        let start = guard.await_decision(next).await?;
        Ok((guard, start))
    }

    async fn await_decision(&mut self, next: Progress) -> Result<AttemptStart, Refusal> {
        let decision = match next {
            Progress::Decided(decision) => Some(decision),
            Progress::Waiting(receiver) => receiver.await.ok(),
        };
        match decision {
            Some(Decision::Start(start)) => Ok(start),
            Some(Decision::Refuse(refusal)) => {
                self.has_ended = true;
                Err(refusal)
            }
            // The engine drops the sender of a waiting request only at the end of the process.
            None => std::future::pending().await,
        }
    }

    /// Registers an attempt as open and resolves its target.
    pub(super) fn open_attempt(&mut self, start: &AttemptStart) -> OpenedAttempt {
        let entry = start.table.entry(start.target_index);
        let target = (self.shared.targets)(entry);
        let is_suspect = start.is_suspect || self.shared.poison.is_suspect(&self.digest);
        let trial = is_suspect.then(rand::random);
        self.open.push(OpenAttempt {
            attempt: start.attempt,
            target: target.clone(),
            id: entry.target.clone(),
            incarnation: entry.incarnation,
            trial,
        });
        let trial = trial.map(|trial| {
            let (digest, broken) = (self.digest, self.broken.clone());
            let target = entry.target.clone();
            self.shared.poison.request_trial(SuspectAttempt { digest, target, broken, trial })
        });
        OpenedAttempt { target, trial }
    }

    /// Reports the first byte or token of an attempt to the engine.
    pub(super) fn record_first_byte(&self, attempt: u32, load: Option<Load>) {
        self.shared.apply_event(|engine, cx| engine.first_byte(cx, self.ticket, attempt, load));
    }

    /// Reports that the response is being delivered to the caller.
    pub(super) fn start_delivery(&self) {
        self.shared.apply_event(|engine, _| engine.mark_delivering(self.ticket));
    }

    /// Reports the failure of an attempt, and waits for the next attempt or the refusal.
    pub(super) async fn fail_attempt(
        &mut self,
        attempt: u32,
        failure: AttemptFailure,
    ) -> Result<AttemptStart, Refusal> {
        self.close_failed_attempt(attempt, failure);
        let ticket = self.ticket;
        let (_, next) = self.shared.apply_request_event(|engine, cx| {
            engine.attempt_failed(cx, ticket, attempt, failure);
            ticket
        });
        self.await_decision(next).await
    }

    /// Reports the failure of an attempt while another attempt of the request still runs.
    pub(super) fn fail_concurrent_attempt(&mut self, attempt: u32, failure: AttemptFailure) {
        self.close_failed_attempt(attempt, failure);
        self.shared
            .apply_event(|engine, cx| engine.attempt_failed(cx, self.ticket, attempt, failure));
    }

    /// Asks the engine for a hedged attempt.
    pub(super) fn start_hedge(&self) -> Option<AttemptStart> {
        let ticket = self.ticket;
        let (_, next) = self.shared.apply_request_event(|engine, cx| {
            engine.hedge(cx, ticket);
            ticket
        });
        match next {
            Progress::Decided(Decision::Start(start)) => Some(start),
            _ => None,
        }
    }

    /// Abandons an attempt because another one was answered.
    pub(super) fn abandon_attempt(&mut self, attempt: u32) {
        let open = self.close_attempt(attempt);
        self.shared.apply_event(|engine, cx| engine.abandon(cx, self.ticket, attempt));
        if let Some(open) = open {
            self.end_trial(&open, false);
            self.cancel_at_target(open.target);
        }
    }

    /// Ends the request after the complete response of an attempt.
    pub(super) fn complete_request(mut self, attempt: u32) {
        if let Some(open) = self.close_attempt(attempt) {
            self.end_trial(&open, true);
        }
        self.has_ended = true;
        self.shared.apply_event(|engine, cx| engine.complete(cx, self.ticket, attempt));
    }

    fn close_attempt(&mut self, attempt: u32) -> Option<OpenAttempt> {
        let at = self.open.iter().position(|open| open.attempt == attempt)?;
        Some(self.open.swap_remove(at))
    }

    /// Closes a failed attempt, and records a broken call for all daemons if its target may have
    /// died.
    fn close_failed_attempt(&mut self, attempt: u32, failure: AttemptFailure) {
        let Some(open) = self.close_attempt(attempt) else { return };
        if !failure.may_have_died() {
            return self.end_trial(&open, false);
        }
        let OpenAttempt { id: target, incarnation, .. } = open;
        let call = BrokenCall { target, incarnation, digest: self.digest };
        self.broken.push(call.clone());
        self.shared.poison.record_broken_call(call);
    }

    fn end_trial(&self, open: &OpenAttempt, is_answered: bool) {
        if let Some(trial) = open.trial {
            self.shared.poison.end_trial(&self.digest, trial, is_answered);
        }
    }

    fn cancel_at_target(&self, target: Arc<dyn Target>) {
        if !self.is_cancelled_at_target {
            return;
        }
        let request = self.request.clone();
        // If the cancellation fails, the slot at the target stays in use until its stream ends.
        let active = self.shared.track_active_work();
        tokio::spawn(async move {
            let _ = target.cancel(&request).await;
            drop(active);
        });
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.has_ended {
            self.shared.apply_event(|engine, cx| engine.cancel(cx, self.ticket));
        }
        for open in std::mem::take(&mut self.open) {
            self.end_trial(&open, false);
            self.cancel_at_target(open.target);
        }
    }
}
