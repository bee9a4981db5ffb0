//! Relays responses to the caller as they arrive: event streams and large plain bodies.
//!
//! A separate task reads from the target and writes into a bounded channel, from which the caller's
//! connection reads. A slow caller therefore applies backpressure to the target. A caller that
//! disconnects closes the channel, which ends the task and cancels the request at the target.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use bytes::{BufMut, Bytes, BytesMut};
use futures::StreamExt;
use futures::stream::BoxStream;
use http::{HeaderValue, header};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::ids::RequestId;
use crate::rate_limit::TargetLife;
use crate::routing::engine::AttemptFailure;
use crate::routing::refusal::{Refusal, RefusalCode, RunStatus};
use crate::routing::retry;
use crate::routing::stream::{EventAction, StreamAssembler, StreamRecovery};
use crate::target::Target;
use crate::target::call::{self, BodyPart, Cause, Resume, Written};
use crate::traffic::call::{Call, StartedResponse, is_for_other_request};
use crate::traffic::request_guard::RequestGuard;
use crate::traffic::response::OversizedResponse;
use crate::traffic::state::{ActiveWork, TrafficState};
use crate::traffic::{edge, measure, problem};

/// Capacity of the channel between a target and a caller, in chunks.
const CHANNEL_CHUNKS: usize = 16;
/// Longest wait for the response that resumes a stream.
const RESUME_TIMEOUT_MS: u64 = 3000;
/// Delay before the second attempt to resume a stream; it doubles with each attempt.
const RESUME_BACKOFF_MS: u64 = 50;

/// A message from the relay task to the caller's connection.
enum Chunk {
    /// Bytes of the response.
    Data(Bytes),
    /// The response is incomplete: the connection is aborted so that the caller can detect it.
    Abort,
}

/// Why a relay ends before the end of the response.
enum RelayError {
    /// The caller disconnected, or did not read within the stall timeout.
    CallerGone,
    /// The response cannot be completed.
    Incomplete(Refusal),
}

/// A response body that is fed by the relay task.
struct ChannelBody {
    chunks: mpsc::Receiver<Chunk>,
    is_aborting: bool,
}

/// The error by which a body aborts its connection.
#[derive(Debug)]
struct ResponseAborted;

impl std::fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for ResponseAborted {}

impl futures::Stream for ChannelBody {
    type Item = std::result::Result<Bytes, ResponseAborted>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.is_aborting {
            return Poll::Ready(Some(Err(ResponseAborted)));
        }
        match self.chunks.poll_recv(cx) {
            Poll::Ready(Some(Chunk::Data(bytes))) => Poll::Ready(Some(Ok(bytes))),
            Poll::Ready(Some(Chunk::Abort)) => {
                // The error is returned on the next poll, so that the connection can flush the
                // chunks sent before.
                self.is_aborting = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }
}

/// The sending half of a [`ChannelBody`].
struct CallerChannel {
    chunks: mpsc::Sender<Chunk>,
    stall_timeout: Duration,
}

impl CallerChannel {
    fn new(shared: &TrafficState) -> (CallerChannel, Body) {
        let (sender, chunks) = mpsc::channel(CHANNEL_CHUNKS);
        let stall_timeout = Duration::from_millis(shared.limits.stalled_reader_timeout_ms);
        let body = Body::from_stream(ChannelBody { chunks, is_aborting: false });
        (CallerChannel { chunks: sender, stall_timeout }, body)
    }

    async fn send(&self, bytes: Bytes) -> Result<(), RelayError> {
        let sent = timeout(self.stall_timeout, self.chunks.send(Chunk::Data(bytes))).await;
        match sent {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(RelayError::CallerGone),
        }
    }

    async fn abort(&self) {
        let _ = timeout(self.stall_timeout, self.chunks.send(Chunk::Abort)).await;
    }

    async fn wait_closed(&self) {
        self.chunks.closed().await;
    }
}

/// Encodes data as one server-sent event.
fn frame_event(data: &[u8]) -> Bytes {
    let mut framed = BytesMut::with_capacity(data.len() + 8);
    for line in data.split(|byte| *byte == b'\n') {
        framed.put_slice(b"data: ");
        framed.put_slice(line);
        framed.put_u8(b'\n');
    }
    framed.put_u8(b'\n');
    framed.freeze()
}

fn error_event(refusal: &Refusal) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", problem::refusal_body(refusal)))
}

const END_MARKER: &[u8] = b"[DONE]";

/// The relay of one event stream from a target to its caller.
struct StreamRelay {
    shared: Arc<TrafficState>,
    call: Call,
    request: RequestId,
    began_ms: u64,
    guard: RequestGuard,
    attempt: u32,
    life: TargetLife,
    target: Arc<dyn Target>,
    body: BoxStream<'static, call::Result<BodyPart>>,
    stream: StreamAssembler,
    caller: CallerChannel,
    _active: ActiveWork,
}

/// Relays an event stream to the caller.
///
/// A failure before the first event is retried like that of any request, so the response starts
/// only with the first event.
pub(super) async fn relay_events(
    shared: &Arc<TrafficState>,
    call: Call,
    mut started: StartedResponse,
    began_ms: u64,
) -> Result<Response, Refusal> {
    loop {
        let deadline = shared.clock.instant_at(call.arrival.deadline_ms);
        let first = tokio::time::timeout_at(deadline, started.answer.body.next()).await;
        let failure = match first {
            Ok(Some(Ok(first))) => {
                return Ok(StreamRelay::start(shared, call, started, began_ms, first));
            }
            Ok(Some(Err(report))) => {
                let error = report.current_context();
                AttemptFailure::Call { cause: error.cause, written: Written::Maybe }
            }
            Ok(None) => AttemptFailure::Call { cause: Cause::Truncated, written: Written::Maybe },
            Err(_) => AttemptFailure::Call { cause: Cause::Silent, written: Written::Maybe },
        };
        let StartedResponse { mut guard, request, attempt, .. } = started;
        let start = guard.fail_attempt(attempt, failure).await?;
        started = super::call::run_attempts(shared, &call, request, guard, start).await?;
    }
}

impl StreamRelay {
    /// Starts the relay task and returns the response that it feeds.
    fn start(
        shared: &Arc<TrafficState>,
        call: Call,
        started: StartedResponse,
        began_ms: u64,
        first: BodyPart,
    ) -> Response {
        let StartedResponse { guard, request, attempt, life, target, answer } = started;
        let now_ms = shared.now_ms();
        guard.record_first_byte(attempt, answer.load);
        guard.start_delivery();
        measure::record_first_byte(&call, now_ms.saturating_sub(began_ms));
        let (caller, body) = CallerChannel::new(shared);
        let mut response = Response::new(body);
        *response.status_mut() = answer.status;
        *response.headers_mut() = edge::end_to_end_headers(&answer.headers);
        let events = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, events);
        let relay = StreamRelay {
            shared: shared.clone(),
            request,
            began_ms,
            guard,
            attempt,
            life,
            target,
            body: answer.body,
            stream: StreamAssembler::new(now_ms, attempt),
            caller,
            _active: shared.track_active_work(),
            call,
        };
        tokio::spawn(relay.run(first));
        response
    }

    async fn run(mut self, first: BodyPart) {
        match self.relay_parts(first).await {
            Ok(()) => {
                measure::record_answer(&self.call, self.began_ms, self.shared.now_ms());
                self.guard.complete_request(self.attempt);
            }
            Err(RelayError::CallerGone) => measure::count_stream_event(&self.call, "left"),
            Err(RelayError::Incomplete(refusal)) => {
                let now_ms = self.shared.now_ms();
                measure::count_broken_off(&self.call, &refusal, now_ms);
                measure::count_refusal(&self.call, &refusal, now_ms);
                let _ = self.caller.send(error_event(&refusal)).await;
                self.caller.abort().await;
            }
        }
    }

    /// Relays each event once and in order, until the end marker.
    async fn relay_parts(&mut self, first: BodyPart) -> Result<(), RelayError> {
        let mut part = first;
        loop {
            match part {
                BodyPart::End => {
                    return self.caller.send(frame_event(END_MARKER)).await;
                }
                BodyPart::Event { offset, data } => self.relay_event(offset, data).await?,
                // Plain bytes are not valid in an event stream.
                BodyPart::Bytes(_) => self.resume().await?,
            }
            part = self.next_part().await?;
        }
    }

    async fn relay_event(&mut self, offset: u64, data: Bytes) -> Result<(), RelayError> {
        if data.as_ref() == END_MARKER {
            return Ok(());
        }
        let now_ms = self.shared.now_ms();
        match self.stream.accept_event(now_ms, self.stream.attempt(), offset) {
            EventAction::Deliver => self.caller.send(frame_event(&data)).await,
            EventAction::Drop => Ok(()),
            EventAction::Gap => self.resume().await,
        }
    }

    /// Reads the next part, and resumes the stream if the connection broke or was idle too long.
    async fn next_part(&mut self) -> Result<BodyPart, RelayError> {
        loop {
            let idle_timeout = Duration::from_millis(self.stream.silence_timeout_ms());
            let next = tokio::select! {
                next = timeout(idle_timeout, self.body.next()) => next,
                () = self.caller.wait_closed() => return Err(RelayError::CallerGone),
            };
            match next {
                Ok(Some(Ok(part))) => return Ok(part),
                Ok(Some(Err(_)) | None) | Err(_) => self.resume().await?,
            }
        }
    }

    /// Requests the rest of the stream over a new connection and replaces the body by it.
    async fn resume(&mut self) -> Result<(), RelayError> {
        // The old connection is closed first, so that no late event of it is read as one of the new
        // connection.
        self.body = futures::stream::empty().boxed();
        let mut backoff = Duration::from_millis(RESUME_BACKOFF_MS);
        loop {
            let StreamRecovery::Resume { offset, attempt } = self.stream.recover() else {
                return Err(RelayError::Incomplete(self.incomplete_refusal()));
            };
            let limit = Duration::from_millis(RESUME_TIMEOUT_MS);
            let has_permit = tokio::select! {
                has_permit = self.shared.wait_to_resume(&self.life, limit) => has_permit,
                () = self.caller.wait_closed() => return Err(RelayError::CallerGone),
            };
            if !has_permit {
                continue;
            }
            measure::count_stream_event(&self.call, "resumed");
            let sent_ms = self.shared.now_ms();
            let request = self.request.clone();
            let resume = self.target.resume(Resume { request, attempt, offset });
            let answer = tokio::select! {
                answer = timeout(limit, resume) => answer,
                () = self.caller.wait_closed() => return Err(RelayError::CallerGone),
            };
            match answer {
                Ok(Ok(answer))
                    if answer.status.is_success()
                        && !is_for_other_request(&self.request, &answer.headers) =>
                {
                    self.shared.record_rate_limit(&self.life, answer.rate_limit, sent_ms);
                    self.body = answer.body;
                    return Ok(());
                }
                Ok(Err(report)) if report.current_context().cause == Cause::UnknownStream => {
                    return Err(RelayError::Incomplete(self.incomplete_refusal()));
                }
                _ => {
                    tokio::time::sleep(backoff).await;
                    backoff *= 2;
                }
            }
        }
    }

    fn incomplete_refusal(&self) -> Refusal {
        retry::build_refusal(RefusalCode::TargetFailed, RunStatus::Maybe, RESUME_BACKOFF_MS)
    }
}

/// Relays a large plain response to the caller.
pub(super) fn relay_plain(
    shared: &Arc<TrafficState>,
    call: Call,
    large: OversizedResponse,
) -> Response {
    let OversizedResponse { guard, attempt, status, headers, beginning, mut rest } = large;
    guard.start_delivery();
    let (caller, body) = CallerChannel::new(shared);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = edge::end_to_end_headers(&headers);
    let active = shared.track_active_work();
    let idle_timeout = Duration::from_millis(crate::routing::stream::MAX_SILENCE_TIMEOUT_MS);
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let result: Result<(), RelayError> = async {
            caller.send(beginning).await?;
            loop {
                match timeout(idle_timeout, rest.next()).await {
                    Ok(Some(Ok(BodyPart::Bytes(bytes) | BodyPart::Event { data: bytes, .. }))) => {
                        caller.send(bytes).await?;
                    }
                    Ok(Some(Ok(BodyPart::End))) => return Ok(()),
                    _ => {
                        let code = RefusalCode::TargetFailed;
                        return Err(RelayError::Incomplete(retry::build_refusal(
                            code,
                            RunStatus::Maybe,
                            0,
                        )));
                    }
                }
            }
        }
        .await;
        match result {
            Ok(()) => guard.complete_request(attempt),
            Err(RelayError::CallerGone) => measure::count_stream_event(&call, "left"),
            Err(RelayError::Incomplete(refusal)) => {
                let now_ms = shared.now_ms();
                measure::count_broken_off(&call, &refusal, now_ms);
                measure::count_refusal(&call, &refusal, now_ms);
                caller.abort().await;
            }
        }
        drop(active);
    });
    response
}
