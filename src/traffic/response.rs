//! Plain responses: buffered until complete, so that a failure can still be retried or reported.

use std::sync::Arc;

use axum::body::Body;
use axum::response::Response;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use futures::stream::BoxStream;
use http::{HeaderMap, StatusCode};

use crate::routing::engine::AttemptFailure;
use crate::routing::refusal::Refusal;
use crate::target::call::{self, BodyPart, Cause, Written};
use crate::traffic::call::{Call, StartedResponse};
use crate::traffic::request_guard::RequestGuard;
use crate::traffic::state::TrafficState;
use crate::traffic::{edge, measure, relay};

/// A complete response.
#[derive(Clone, Debug)]
pub struct CompleteResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl CompleteResponse {
    /// Converts to the HTTP response for the caller.
    pub fn response(self) -> Response {
        let mut response = Response::new(Body::from(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = edge::end_to_end_headers(&self.headers);
        response
    }
}

/// A response of a target: complete, or too large to be buffered.
pub(super) enum TargetResponse {
    /// The response is complete and its request has ended.
    Complete(CompleteResponse),
    /// The response is relayed from its buffered beginning.
    Oversized(OversizedResponse),
}

/// A response that is too large to be buffered: its beginning, and the rest as a stream.
pub(super) struct OversizedResponse {
    pub(super) guard: RequestGuard,
    pub(super) attempt: u32,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) beginning: Bytes,
    pub(super) rest: BoxStream<'static, call::Result<BodyPart>>,
}

/// Reads the body of a response, and retries a failure at another target while that is allowed.
pub(super) async fn read_body(
    shared: &Arc<TrafficState>,
    call: &Call,
    mut started: StartedResponse,
) -> Result<TargetResponse, Refusal> {
    let began_ms = shared.now_ms();
    loop {
        let StartedResponse { guard, request, attempt, answer, .. } = started;
        guard.record_first_byte(attempt, answer.load);
        measure::record_first_byte(call, shared.now_ms().saturating_sub(began_ms));
        let (status, headers) = (answer.status, answer.headers);
        let deadline = shared.clock.instant_at(call.arrival.deadline_ms);
        let max_buffered_bytes = shared.limits.max_buffered_response_bytes;
        let collected = collect_body(answer.body, max_buffered_bytes);
        let mut guard = guard;
        let failure = match tokio::time::timeout_at(deadline, collected).await {
            Ok(Ok(Collected::Complete(body))) => {
                guard.complete_request(attempt);
                return Ok(TargetResponse::Complete(CompleteResponse { status, headers, body }));
            }
            Ok(Ok(Collected::Oversized(beginning, rest))) => {
                let large = OversizedResponse { guard, attempt, status, headers, beginning, rest };
                return Ok(TargetResponse::Oversized(large));
            }
            Ok(Err(failure)) => failure,
            Err(_) => AttemptFailure::Call { cause: Cause::Silent, written: Written::Maybe },
        };
        let start = guard.fail_attempt(attempt, failure).await?;
        started = super::call::run_attempts(shared, call, request, guard, start).await?;
    }
}

enum Collected {
    Complete(Bytes),
    Oversized(Bytes, BoxStream<'static, call::Result<BodyPart>>),
}

async fn collect_body(
    mut body: BoxStream<'static, call::Result<BodyPart>>,
    max_buffered_bytes: usize,
) -> Result<Collected, AttemptFailure> {
    let mut first: Option<Bytes> = None;
    let mut all = BytesMut::new();
    while let Some(part) = body.next().await {
        match part {
            Ok(BodyPart::Bytes(bytes)) if first.is_none() && all.is_empty() => first = Some(bytes),
            Ok(BodyPart::Bytes(bytes) | BodyPart::Event { data: bytes, .. }) => {
                if let Some(first) = first.take() {
                    all.extend_from_slice(&first);
                }
                all.extend_from_slice(&bytes);
            }
            Ok(BodyPart::End) => {
                return Ok(Collected::Complete(first.unwrap_or_else(|| all.freeze())));
            }
            Err(report) => {
                let cause = report.current_context().cause;
                return Err(AttemptFailure::Call { cause, written: Written::Maybe });
            }
        }
        if first.as_ref().map_or(all.len(), Bytes::len) > max_buffered_bytes {
            return Ok(Collected::Oversized(first.unwrap_or_else(|| all.freeze()), body));
        }
    }
    Err(AttemptFailure::Call { cause: Cause::Truncated, written: Written::Maybe })
}

/// Routes a request and returns its response, buffered up to the limit on buffered responses.
pub(super) async fn fetch(
    shared: &Arc<TrafficState>,
    call: &Call,
) -> Result<TargetResponse, Refusal> {
    let began_ms = shared.now_ms();
    let started = super::call::start(shared, call).await?;
    let response = read_body(shared, call, started).await?;
    if matches!(response, TargetResponse::Complete(_)) {
        measure::record_answer(call, began_ms, shared.now_ms());
    }
    Ok(response)
}

/// Converts to the HTTP response for the caller; an oversized response is relayed.
pub(super) fn into_http(
    shared: &Arc<TrafficState>,
    call: &Call,
    response: TargetResponse,
) -> Response {
    match response {
        TargetResponse::Complete(whole) => whole.response(),
        TargetResponse::Oversized(large) => relay::relay_plain(shared, call.clone(), large),
    }
}
