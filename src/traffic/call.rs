//! Sends the attempts, retries and hedges of a request until a response starts or the request is
//! refused.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use http::{HeaderMap, Method, StatusCode, header};

use crate::ids::{ClassName, RequestId, TenantId};
use crate::rate_limit::TargetLife;
use crate::routing::engine::{Arrival, AttemptFailure, AttemptStart};
use crate::routing::refusal::{Refusal, RefusalCode, RunStatus};
use crate::routing::retry;
use crate::target::Target;
use crate::target::call::{self, Answer, Attempt, Cause, Written};
use crate::traffic::poison::TrialDecision;
use crate::traffic::request_guard::{OpenedAttempt, RequestGuard};
use crate::traffic::state::TrafficState;
use crate::traffic::{measure, permits};
use crate::web;

/// The header in which a target returns the id of the request that it answers.
const REQUEST_HEADER: &str = "x-request-id";

/// A request that is ready to be routed.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request as the routing engine gets it.
    pub arrival: Arrival,
    /// The HTTP method at the target.
    pub method: Method,
    /// Path and query at the target.
    pub path: String,
    /// End-to-end headers, which are forwarded to the target.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Call {
    /// The deadline, as Unix time.
    pub fn deadline_ms(&self) -> u64 {
        self.arrival.deadline_ms
    }

    /// The calling tenant.
    pub fn tenant(&self) -> &TenantId {
        &self.arrival.tenant
    }

    /// The class of the request.
    pub fn class(&self) -> &ClassName {
        &self.arrival.class
    }

    fn attempt(&self, request: &RequestId, number: u32) -> Attempt {
        Attempt {
            request: request.clone(),
            attempt: number,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            priority: self.arrival.rank,
            is_stream: self.arrival.is_stream,
        }
    }
}

/// A response whose head was received, with the guard of its request.
pub(super) struct StartedResponse {
    pub(super) guard: RequestGuard,
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) life: TargetLife,
    pub(super) target: Arc<dyn Target>,
    pub(super) answer: Answer,
}

type AttemptFuture =
    BoxFuture<'static, (AttemptStart, Arc<dyn Target>, Result<Answer, AttemptFailure>)>;

/// Routes a request and returns once the head of a response was received.
pub(super) async fn start(
    shared: &Arc<TrafficState>,
    call: &Call,
) -> Result<StartedResponse, Refusal> {
    let request = shared.next_request_id();
    let is_model =
        matches!(call.arrival.destination, crate::routing::engine::Destination::Model(_));
    let arrival = call.arrival.clone();
    let (guard, start) = RequestGuard::admit(shared, request.clone(), arrival, is_model).await?;
    measure::record_queue_wait(call, &start);
    run_attempts(shared, call, request, guard, start).await
}

/// Sends attempts until one gets the head of a response.
pub(super) async fn run_attempts(
    shared: &Arc<TrafficState>,
    call: &Call,
    request: RequestId,
    mut guard: RequestGuard,
    first: AttemptStart,
) -> Result<StartedResponse, Refusal> {
    let deadline = shared.clock.instant_at(call.arrival.deadline_ms);
    let mut hedge_at = hedge_at(&first);
    let mut sent: FuturesUnordered<AttemptFuture> = FuturesUnordered::new();
    let mut open = vec![first.attempt];
    sent.push(send_attempt(shared, &mut guard, call, &request, first));
    loop {
        tokio::select! {
            biased;
            Some((start, target, result)) = sent.next() => {
                open.retain(|attempt| *attempt != start.attempt);
                let answer = match result {
                    Ok(answer) => answer,
                    Err(failure) if open.is_empty() => {
                        let next = guard.fail_attempt(start.attempt, failure).await?;
                        hedge_at = self::hedge_at(&next);
                        open.push(next.attempt);
                        sent.push(send_attempt(shared, &mut guard, call, &request, next));
                        continue;
                    }
                    Err(failure) => {
                        guard.fail_concurrent_attempt(start.attempt, failure);
                        continue;
                    }
                };
                open.iter().for_each(|attempt| guard.abandon_attempt(*attempt));
                let attempt = start.attempt;
                let life = permits::target_life(&start);
                return Ok(StartedResponse { guard, request, attempt, life, target, answer });
            }
            () = sleep_until_opt(hedge_at) => {
                hedge_at = None;
                if let Some(start) = guard.start_hedge() {
                    open.push(start.attempt);
                    sent.push(send_attempt(shared, &mut guard, call, &request, start));
                }
            }
            () = tokio::time::sleep_until(deadline) => {
                return Err(fail_all_at_deadline(&mut guard, &open).await);
            }
        }
    }
}

/// Fails all open attempts at the deadline.
async fn fail_all_at_deadline(guard: &mut RequestGuard, open: &[u32]) -> Refusal {
    let failure = AttemptFailure::Call { cause: Cause::Silent, written: Written::Maybe };
    let Some((last, others)) = open.split_last() else {
        return std::future::pending().await;
    };
    others.iter().for_each(|attempt| guard.fail_concurrent_attempt(*attempt, failure));
    match guard.fail_attempt(*last, failure).await {
        Err(refusal) => refusal,
        // The engine starts no attempt past the deadline.
        Ok(_) => retry::build_refusal(RefusalCode::TargetSilent, RunStatus::Maybe, 0),
    }
}

fn hedge_at(start: &AttemptStart) -> Option<tokio::time::Instant> {
    let delay_ms = start.hedge_after_ms?;
    Some(tokio::time::Instant::now() + std::time::Duration::from_millis(delay_ms))
}

async fn sleep_until_opt(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

fn send_attempt(
    shared: &Arc<TrafficState>,
    guard: &mut RequestGuard,
    call: &Call,
    request: &RequestId,
    start: AttemptStart,
) -> AttemptFuture {
    let OpenedAttempt { target, trial } = guard.open_attempt(&start);
    let attempt = call.attempt(request, start.attempt);
    measure::count_attempt(call);
    let shared = Arc::clone(shared);
    Box::pin(async move {
        let result = match trial {
            Some(trial) => check_trial(trial.await),
            None => Ok(()),
        };
        let life = permits::target_life(&start);
        let result = match result {
            Ok(()) if !shared.begin_send(&life, &start) => Err(AttemptFailure::Withdrawn),
            Ok(()) => {
                let (request, sent_ms) = (attempt.request.clone(), shared.now_ms());
                let result = target.call(attempt).await;
                if let Ok(answer) = &result
                    && !is_for_other_request(&request, &answer.headers)
                {
                    shared.record_rate_limit(&life, answer.rate_limit, sent_ms);
                }
                check_answer(&request, result)
            }
            Err(failure) => Err(failure),
        };
        (start, target, result)
    })
}

fn check_trial(trial: TrialDecision) -> Result<(), AttemptFailure> {
    match trial {
        TrialDecision::Granted => Ok(()),
        TrialDecision::Elsewhere => Err(AttemptFailure::TrialUnavailable),
        TrialDecision::Closed => Err(AttemptFailure::ClosedAsPoison),
    }
}

/// Checks that a result is a final response to this request and not a busy status.
fn check_answer(
    request: &RequestId,
    result: call::Result<Answer>,
) -> Result<Answer, AttemptFailure> {
    let answer = match result {
        Ok(answer) => answer,
        Err(report) => {
            let error = report.current_context();
            return Err(AttemptFailure::Call { cause: error.cause, written: error.written });
        }
    };
    if is_for_other_request(request, &answer.headers) || !web::is_final_status(answer.status) {
        let (cause, written) = (Cause::Malformed, Written::Maybe);
        return Err(AttemptFailure::Call { cause, written });
    }
    match answer.status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(AttemptFailure::Busy)
        }
        _ => Ok(answer),
    }
}

/// Whether the headers of a response carry the id of another request.
pub(super) fn is_for_other_request(request: &RequestId, headers: &HeaderMap) -> bool {
    let named = headers.get(REQUEST_HEADER);
    named.is_some_and(|named| named.as_bytes() != request.as_str().as_bytes())
}

/// Whether a response is a stream of server-sent events.
pub(super) fn is_event_stream(answer: &Answer) -> bool {
    let content_type = answer.headers.get(header::CONTENT_TYPE);
    let text = content_type.and_then(|value| value.to_str().ok());
    text.is_some_and(|text| text.starts_with("text/event-stream"))
}
