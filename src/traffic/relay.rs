//! Answers that are passed on as they come: streams of events, and large plain bodies.
//!
//! A task of its own reads from the target and writes into a short channel, from which the caller's
//! connection reads. A caller that reads slowly thus slows the engine down; one that left closes the
//! channel, which ends the task and cancels at the engine.

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
use crate::routing::engine::AttemptFailure;
use crate::routing::refusal::{Refusal, RefusalCode, RunStatus};
use crate::routing::retry;
use crate::routing::stream::{EventAction, StreamAssembler, StreamRecovery};
use crate::target::Target;
use crate::target::call::{self, Cause, Part, Resume, Written};
use crate::traffic::answer::Large;
use crate::traffic::call::{Begun, Call, is_another};
use crate::traffic::seat::Seat;
use crate::traffic::shared::{Active, Shared};
use crate::traffic::{edge, measure, problem};

/// Chunks between a target and a caller.
const CHANNEL_CHUNKS: usize = 16;
/// Longest wait for the connection over which a stream is resumed.
const RESUME_TIMEOUT_MS: u64 = 3000;
/// First pause before a stream is resumed again.
const RESUME_PAUSE_MS: u64 = 50;

/// A chunk for the caller.
enum Chunk {
    /// Bytes to pass on.
    Data(Bytes),
    /// The answer is not whole: the connection is broken off, so that it cannot look so.
    Abort,
}

/// Why a task stops before the end of the answer.
enum Stop {
    /// The caller left, or did not read for too long.
    Left,
    /// The answer cannot be completed.
    Failed(Refusal),
}

/// The body of a response, fed by a task.
struct ChannelBody {
    chunks: mpsc::Receiver<Chunk>,
    is_aborting: bool,
}

/// The answer broke off.
#[derive(Debug)]
struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BrokenOff {}

impl futures::Stream for ChannelBody {
    type Item = std::result::Result<Bytes, BrokenOff>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.is_aborting {
            return Poll::Ready(Some(Err(BrokenOff)));
        }
        match self.chunks.poll_recv(cx) {
            Poll::Ready(Some(Chunk::Data(bytes))) => Poll::Ready(Some(Ok(bytes))),
            Poll::Ready(Some(Chunk::Abort)) => {
                // One more turn lets the connection flush what was passed on before.
                self.is_aborting = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    }
}

/// Where a task writes for its caller.
struct Caller {
    chunks: mpsc::Sender<Chunk>,
    stalled_after: Duration,
}

impl Caller {
    fn new(shared: &Shared) -> (Caller, Body) {
        let (sender, chunks) = mpsc::channel(CHANNEL_CHUNKS);
        let stalled_after = Duration::from_millis(shared.limits.stalled_reader_ms);
        let body = Body::from_stream(ChannelBody { chunks, is_aborting: false });
        (Caller { chunks: sender, stalled_after }, body)
    }

    async fn send(&self, bytes: Bytes) -> Result<(), Stop> {
        let sent = timeout(self.stalled_after, self.chunks.send(Chunk::Data(bytes))).await;
        match sent {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Stop::Left),
        }
    }

    async fn abort(&self) {
        let _ = timeout(self.stalled_after, self.chunks.send(Chunk::Abort)).await;
    }

    async fn left(&self) {
        self.chunks.closed().await;
    }
}

/// Frames the data of one server-sent event.
fn frame(data: &[u8]) -> Bytes {
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
    Bytes::from(format!("event: error\ndata: {}\n\n", problem::body(refusal)))
}

const END_MARKER: &[u8] = b"[DONE]";

/// One stream on its way to its caller.
struct Relay {
    shared: Arc<Shared>,
    call: Call,
    request: RequestId,
    began_ms: u64,
    seat: Seat,
    attempt: u32,
    target: Arc<dyn Target>,
    body: BoxStream<'static, call::Result<Part>>,
    stream: StreamAssembler,
    caller: Caller,
    _active: Active,
}

/// Passes a stream of events on to the caller.
///
/// Until its first event a failure is retried like that of any request, so the response starts only
/// then.
pub(super) async fn events(
    shared: &Arc<Shared>,
    call: Call,
    mut begun: Begun,
    began_ms: u64,
) -> Result<Response, Refusal> {
    loop {
        let deadline = shared.clock.instant(call.arrival.deadline_ms);
        let first = tokio::time::timeout_at(deadline, begun.answer.body.next()).await;
        let failure = match first {
            Ok(Some(Ok(first))) => return Ok(Relay::start(shared, call, begun, began_ms, first)),
            Ok(Some(Err(report))) => {
                let error = report.current_context();
                AttemptFailure::Call { cause: error.cause, written: Written::Maybe }
            }
            Ok(None) => AttemptFailure::Call { cause: Cause::Truncated, written: Written::Maybe },
            Err(_) => AttemptFailure::Call { cause: Cause::Silent, written: Written::Maybe },
        };
        let Begun { mut seat, request, attempt, .. } = begun;
        let start = seat.failed(attempt, failure).await?;
        begun = super::call::attempts(shared, &call, request, seat, start).await?;
    }
}

impl Relay {
    /// Starts the task, and returns the response that it feeds.
    fn start(
        shared: &Arc<Shared>,
        call: Call,
        begun: Begun,
        began_ms: u64,
        first: Part,
    ) -> Response {
        let Begun { seat, request, attempt, target, answer } = begun;
        let now_ms = shared.now_ms();
        seat.first_byte(attempt, answer.load);
        seat.delivering();
        measure::first(&call, now_ms.saturating_sub(began_ms));
        let (caller, body) = Caller::new(shared);
        let mut response = Response::new(body);
        *response.status_mut() = answer.status;
        *response.headers_mut() = edge::passed_on(&answer.headers);
        let events = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, events);
        let relay = Relay {
            shared: shared.clone(),
            request,
            began_ms,
            seat,
            attempt,
            target,
            body: answer.body,
            stream: StreamAssembler::new(now_ms, attempt),
            caller,
            _active: shared.active(),
            call,
        };
        tokio::spawn(relay.run(first));
        response
    }

    async fn run(mut self, first: Part) {
        match self.pass_on(first).await {
            Ok(()) => {
                measure::whole(&self.call, self.began_ms, self.shared.now_ms());
                self.seat.complete(self.attempt);
            }
            Err(Stop::Left) => measure::stream(&self.call, "left"),
            Err(Stop::Failed(refusal)) => {
                let now_ms = self.shared.now_ms();
                measure::broken_off(&self.call, &refusal, now_ms);
                measure::refused(&self.call, &refusal, now_ms);
                let _ = self.caller.send(error_event(&refusal)).await;
                self.caller.abort().await;
            }
        }
    }

    /// Passes all events on, in order and once, until the end marker.
    async fn pass_on(&mut self, first: Part) -> Result<(), Stop> {
        let mut part = first;
        loop {
            match part {
                Part::End => {
                    return self.caller.send(frame(END_MARKER)).await;
                }
                Part::Event { offset, data } => self.event(offset, data).await?,
                // A stream has events alone; anything else is not a valid answer.
                Part::Bytes(_) => self.resume().await?,
            }
            part = self.next().await?;
        }
    }

    async fn event(&mut self, offset: u64, data: Bytes) -> Result<(), Stop> {
        if data.as_ref() == END_MARKER {
            return Ok(());
        }
        let now_ms = self.shared.now_ms();
        match self.stream.accept_event(now_ms, self.stream.attempt(), offset) {
            EventAction::Deliver => self.caller.send(frame(&data)).await,
            EventAction::Drop => Ok(()),
            EventAction::Gap => self.resume().await,
        }
    }

    /// The next part, from a new connection if this one broke or went silent.
    async fn next(&mut self) -> Result<Part, Stop> {
        loop {
            let silent_after = Duration::from_millis(self.stream.silence_timeout_ms());
            let next = tokio::select! {
                next = timeout(silent_after, self.body.next()) => next,
                () = self.caller.left() => return Err(Stop::Left),
            };
            match next {
                Ok(Some(Ok(part))) => return Ok(part),
                Ok(Some(Err(_)) | None) | Err(_) => self.resume().await?,
            }
        }
    }

    /// Replaces the body by the rest of the stream over a new connection.
    async fn resume(&mut self) -> Result<(), Stop> {
        // The old connection is closed first: nothing of it can be taken for the new one's.
        self.body = futures::stream::empty().boxed();
        let mut pause = Duration::from_millis(RESUME_PAUSE_MS);
        loop {
            let StreamRecovery::Resume { offset, attempt } = self.stream.recover() else {
                return Err(Stop::Failed(self.broken_off()));
            };
            measure::stream(&self.call, "resumed");
            let request = self.request.clone();
            let resume = self.target.resume(Resume { request, attempt, offset });
            let limit = Duration::from_millis(RESUME_TIMEOUT_MS);
            let answer = tokio::select! {
                answer = timeout(limit, resume) => answer,
                () = self.caller.left() => return Err(Stop::Left),
            };
            match answer {
                Ok(Ok(answer)) if !is_another(&self.request, &answer.headers) => {
                    self.body = answer.body;
                    return Ok(());
                }
                Ok(Err(report)) if report.current_context().cause == Cause::UnknownStream => {
                    return Err(Stop::Failed(self.broken_off()));
                }
                _ => {
                    tokio::time::sleep(pause).await;
                    pause *= 2;
                }
            }
        }
    }

    fn broken_off(&self) -> Refusal {
        retry::build_refusal(RefusalCode::TargetFailed, RunStatus::Maybe, RESUME_PAUSE_MS)
    }
}

/// Passes a large plain answer on to the caller.
pub(super) fn plain(shared: &Arc<Shared>, call: Call, large: Large) -> Response {
    let Large { seat, attempt, status, headers, beginning, mut rest } = large;
    seat.delivering();
    let (caller, body) = Caller::new(shared);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = edge::passed_on(&headers);
    let active = shared.active();
    let silent_after = Duration::from_millis(crate::routing::stream::MAX_SILENCE_TIMEOUT_MS);
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        let passed: Result<(), Stop> = async {
            caller.send(beginning).await?;
            loop {
                match timeout(silent_after, rest.next()).await {
                    Ok(Some(Ok(Part::Bytes(bytes) | Part::Event { data: bytes, .. }))) => {
                        caller.send(bytes).await?;
                    }
                    Ok(Some(Ok(Part::End))) => return Ok(()),
                    _ => {
                        let code = RefusalCode::TargetFailed;
                        return Err(Stop::Failed(retry::build_refusal(code, RunStatus::Maybe, 0)));
                    }
                }
            }
        }
        .await;
        match passed {
            Ok(()) => seat.complete(attempt),
            Err(Stop::Left) => measure::stream(&call, "left"),
            Err(Stop::Failed(refusal)) => {
                let now_ms = shared.now_ms();
                measure::broken_off(&call, &refusal, now_ms);
                measure::refused(&call, &refusal, now_ms);
                caller.abort().await;
            }
        }
        drop(active);
    });
    response
}
