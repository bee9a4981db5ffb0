//! Plain answers: held until they are whole, so that a failure can still be retried or told.

use std::sync::Arc;

use axum::body::Body;
use axum::response::Response;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use futures::stream::BoxStream;
use http::{HeaderMap, StatusCode};

use crate::routing::engine::AttemptFailure;
use crate::routing::refusal::Refusal;
use crate::target::call::{self, Cause, Part, Written};
use crate::traffic::call::{Begun, Call};
use crate::traffic::seat::Seat;
use crate::traffic::shared::Shared;
use crate::traffic::{edge, measure, relay};

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Whole {
    /// The HTTP status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Whole {
    /// The answer to send to the caller.
    pub fn response(self) -> Response {
        let mut response = Response::new(Body::from(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = edge::passed_on(&self.headers);
        response
    }
}

/// An answer that is whole, or too large to be held back.
pub(super) enum Answered {
    /// It is whole, and its request has ended.
    Whole(Whole),
    /// The beginning of it, and the rest as it comes.
    Large(Large),
}

/// An answer that is too large to be held back.
pub(super) struct Large {
    pub(super) seat: Seat,
    pub(super) attempt: u32,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) beginning: Bytes,
    pub(super) rest: BoxStream<'static, call::Result<Part>>,
}

/// Reads the body of an answer, and tries again elsewhere while that is allowed.
pub(super) async fn read(
    shared: &Arc<Shared>,
    call: &Call,
    mut begun: Begun,
) -> Result<Answered, Refusal> {
    let began_ms = shared.now_ms();
    loop {
        let Begun { seat, request, attempt, answer, .. } = begun;
        seat.first_byte(attempt, answer.load);
        measure::first(call, shared.now_ms().saturating_sub(began_ms));
        let (status, headers) = (answer.status, answer.headers);
        let deadline = shared.clock.instant(call.arrival.deadline_ms);
        let held_bytes = shared.limits.held_answer_bytes;
        let collected = collect(answer.body, held_bytes);
        let mut seat = seat;
        let failure = match tokio::time::timeout_at(deadline, collected).await {
            Ok(Ok(Collected::Whole(body))) => {
                seat.complete(attempt);
                return Ok(Answered::Whole(Whole { status, headers, body }));
            }
            Ok(Ok(Collected::Large(beginning, rest))) => {
                let large = Large { seat, attempt, status, headers, beginning, rest };
                return Ok(Answered::Large(large));
            }
            Ok(Err(failure)) => failure,
            Err(_) => AttemptFailure::Call { cause: Cause::Silent, written: Written::Maybe },
        };
        let start = seat.failed(attempt, failure).await?;
        begun = super::call::attempts(shared, call, request, seat, start).await?;
    }
}

enum Collected {
    Whole(Bytes),
    Large(Bytes, BoxStream<'static, call::Result<Part>>),
}

async fn collect(
    mut body: BoxStream<'static, call::Result<Part>>,
    held_bytes: usize,
) -> Result<Collected, AttemptFailure> {
    let mut first: Option<Bytes> = None;
    let mut all = BytesMut::new();
    while let Some(part) = body.next().await {
        match part {
            Ok(Part::Bytes(bytes)) if first.is_none() && all.is_empty() => first = Some(bytes),
            Ok(Part::Bytes(bytes) | Part::Event { data: bytes, .. }) => {
                if let Some(first) = first.take() {
                    all.extend_from_slice(&first);
                }
                all.extend_from_slice(&bytes);
            }
            Ok(Part::End) => {
                return Ok(Collected::Whole(first.unwrap_or_else(|| all.freeze())));
            }
            Err(report) => {
                let cause = report.current_context().cause;
                return Err(AttemptFailure::Call { cause, written: Written::Maybe });
            }
        }
        if first.as_ref().map_or(all.len(), Bytes::len) > held_bytes {
            return Ok(Collected::Large(first.unwrap_or_else(|| all.freeze()), body));
        }
    }
    Err(AttemptFailure::Call { cause: Cause::Truncated, written: Written::Maybe })
}

/// Routes a request and returns its whole answer, whatever its size up to the limit on bodies.
pub(super) async fn whole(shared: &Arc<Shared>, call: &Call) -> Result<Answered, Refusal> {
    let began_ms = shared.now_ms();
    let begun = super::call::begin(shared, call).await?;
    let answered = read(shared, call, begun).await?;
    if matches!(answered, Answered::Whole(_)) {
        measure::whole(call, began_ms, shared.now_ms());
    }
    Ok(answered)
}

/// The response of an answer, relayed if it is large.
pub(super) fn response(shared: &Arc<Shared>, call: &Call, answered: Answered) -> Response {
    match answered {
        Answered::Whole(whole) => whole.response(),
        Answered::Large(large) => relay::plain(shared, call.clone(), large),
    }
}
