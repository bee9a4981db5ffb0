//! Passes the answer of a target on to the caller.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http::{HeaderMap, header};
use http_body::Frame;
use http_body_util::StreamBody;

use super::events::{self, Event};
use super::exchange::{self, Attempt, Job};
use super::fleet::Wish;
use super::next::Failure;
use super::shared::Shared;
use crate::ids::TargetId;
use crate::routes::Kind;
use crate::web::{self, Body};

/// Silence in a resumable stream after which another target goes on with it.
const STALL_MS: u64 = 1_500;
/// Largest part of an event that is kept until the rest comes, in bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;
/// Length of the longest end of an event, in bytes.
const EVENT_END_BYTES: usize = 4;
/// Bytes of an answer that are held until it is whole. A larger one is passed on as it comes.
const HELD_BYTES: usize = 64 << 10;

/// Makes the caller's answer of a target's. A stream is answered once its first event has come.
pub(super) async fn answer(
    shared: &Rc<Shared>,
    job: &Rc<Job>,
    attempt: Attempt,
) -> Result<http::Response<Body>, Failure> {
    let is_success = attempt.head.status.is_success();
    if job.route.kind.is_stream() && is_success {
        return stream(shared, job, attempt).await;
    }
    whole(shared, job, attempt).await
}

async fn whole(
    shared: &Rc<Shared>,
    job: &Rc<Job>,
    attempt: Attempt,
) -> Result<http::Response<Body>, Failure> {
    let Attempt { seat, connection, head, body, sent_ms } = attempt;
    let limit = Duration::from_millis(job.left_ms(shared));
    let bytes = match tokio::time::timeout(limit, web::begin(body, HELD_BYTES)).await {
        Ok(Ok(web::Begun::Whole(bytes))) => bytes,
        Ok(Ok(web::Begun::More(first, body))) => {
            let attempt = Attempt { seat, connection, head, body, sent_ms };
            return Ok(pass_on(Stream::new(shared, job, attempt), first));
        }
        Ok(Err(web::Error::TooLarge)) => return Err(Failure::TooLarge),
        Ok(Err(_)) => return Err(Failure::Broken),
        Err(_) => return Err(Failure::Silent),
    };
    let now_ms = shared.now_ms();
    shared.pool.borrow_mut().put(
        now_ms,
        &seat.target,
        seat.life,
        seat.address,
        connection,
        &head.headers,
    );
    let may_repeat =
        job.route.kind == Kind::Idempotent && job.runs.get() + 1 < job.route.max_attempts;
    if head.status.is_server_error() && may_repeat {
        let is_allowed = shared.budget.borrow_mut().take(now_ms, &job.service);
        if is_allowed {
            job.avoid.borrow_mut().push(seat.target.clone());
            exchange::note_failure(shared, job, &seat.target, Failure::Failed, sent_ms);
            if let Some(response) = Box::pin(again(shared, job)).await {
                return Ok(response);
            }
        }
    }
    if !head.status.is_server_error() {
        shared.fleet.borrow_mut().succeeded(&seat.target);
    }
    answered(job, seat.target.as_str(), head.status, now_ms.saturating_sub(sent_ms));
    Ok(respond(head, web::whole(bytes)))
}

/// Sends an idempotent request once more whose target answered that it failed. `None` if that
/// brought no answer either.
async fn again(shared: &Rc<Shared>, job: &Rc<Job>) -> Option<http::Response<Body>> {
    let avoid = job.avoid.borrow().clone();
    let wish = Wish {
        service: &job.service,
        model: job.facts.model.as_ref(),
        prompt: None,
        avoid: &avoid,
        salt: shared.next_salt(),
    };
    let seat = shared.try_seat(&wish, job.tokens()).ok()?;
    let (target, sent_ms) = (seat.target.clone(), shared.now_ms());
    let answered = match exchange::attempt(shared, job, seat, None).await {
        Ok(attempt) => Box::pin(whole(shared, job, attempt)).await,
        Err(failure) => Err(failure),
    };
    if let Err(failure) = &answered {
        exchange::note_failure(shared, job, &target, *failure, sent_ms);
        exchange::blame(shared, job, &target, *failure);
    }
    answered.ok()
}

fn answered(job: &Job, target: &str, status: http::StatusCode, first_ms: u64) {
    let event = Event::Answered { target, status: status.as_u16(), first_ms };
    events::emit(&job.facts.id, &event);
    let route = job.route.name.clone();
    let status = status.as_str().to_owned();
    metrics::counter!("fescuebay_answered_total", "route" => route.clone(), "status" => status)
        .increment(1);
    metrics::histogram!("fescuebay_first_answer_seconds", "route" => route)
        .record(first_ms as f64 / 1_000.0);
}

/// The caller's answer, without the headers that concern the connection to the target.
fn respond(head: http::response::Parts, body: Body) -> http::Response<Body> {
    let mut response = http::Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end(head.headers);
    response
}

fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    for name in ["connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade"] {
        headers.remove(name);
    }
    headers
}

/// A stream on its way from one target after another to one caller.
struct Stream {
    shared: Rc<Shared>,
    job: Rc<Job>,
    /// The first target that answered, and the head of its answer.
    target: TargetId,
    head: http::response::Parts,
    sent_ms: u64,
    attempt: Option<Attempt>,
    /// Bytes of an event that is not whole yet.
    partial: BytesMut,
    /// The last event that was passed on.
    last_event: Option<String>,
    has_delivered: bool,
    /// When the last part came, and the longest time between two.
    part_ms: u64,
    longest_gap_ms: u64,
}

/// What a target sent next.
enum Part {
    /// Bytes to pass on.
    Bytes(Bytes),
    /// The whole answer has come.
    End,
    /// The attempt failed.
    Failed(Failure),
}

async fn stream(
    shared: &Rc<Shared>,
    job: &Rc<Job>,
    attempt: Attempt,
) -> Result<http::Response<Body>, Failure> {
    let mut stream = Stream::new(shared, job, attempt);
    let first = match stream.part().await {
        Part::Bytes(bytes) => bytes,
        Part::End => Bytes::new(),
        Part::Failed(failure) => return Err(failure),
    };
    if let Some(prompt) = job.facts.prompt.iter().rev().nth(1) {
        shared.fleet.borrow_mut().remember(prompt.0, &stream.target);
    }
    Ok(pass_on(stream, first))
}

/// The caller's answer: what came first, and the rest as it comes.
fn pass_on(mut stream: Stream, first: Bytes) -> http::Response<Body> {
    stream.has_delivered = true;
    stream.part_ms = stream.shared.now_ms();
    if let Some(attempt) = &mut stream.attempt {
        attempt.seat.note_read();
    }
    let first_ms = stream.shared.now_ms().saturating_sub(stream.sent_ms);
    answered(&stream.job, stream.target.as_str(), stream.head.status, first_ms);
    let mut response = http::Response::new(());
    *response.status_mut() = stream.head.status;
    *response.headers_mut() = end_to_end(stream.head.headers.clone());
    // It may be broken off, so its length is not promised.
    response.headers_mut().remove(header::CONTENT_LENGTH);
    let rest = stream::unfold(Some(stream), |stream| async move {
        let mut stream = stream?;
        match stream.next().await {
            Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(stream))),
            Some(Err(error)) => Some((Err(error), None)),
            None => None,
        }
    });
    let first = stream::once(std::future::ready(Ok(Frame::data(first))));
    let body: Pin<Box<dyn http_body::Body<Data = Bytes, Error = web::Error>>> =
        Box::pin(StreamBody::new(futures::StreamExt::chain(first, rest)));
    response.map(|()| body)
}

impl Stream {
    fn new(shared: &Rc<Shared>, job: &Rc<Job>, attempt: Attempt) -> Self {
        Self {
            shared: Rc::clone(shared),
            job: Rc::clone(job),
            target: attempt.seat.target.clone(),
            head: attempt.head.clone(),
            sent_ms: attempt.sent_ms,
            attempt: Some(attempt),
            partial: BytesMut::new(),
            last_event: job.facts.last_event.clone(),
            has_delivered: false,
            part_ms: 0,
            longest_gap_ms: 0,
        }
    }

    fn is_resumable(&self) -> bool {
        matches!(self.job.route.kind, Kind::Stream { is_resumable: true, .. })
    }

    /// The next bytes for the caller. `None`: the stream is whole.
    async fn next(&mut self) -> Option<Result<Bytes, web::Error>> {
        loop {
            match self.part().await {
                Part::Bytes(bytes) => {
                    self.note_gap();
                    return Some(Ok(bytes));
                }
                Part::End => {
                    self.ended("whole");
                    return None;
                }
                Part::Failed(failure) => {
                    if !self.resume(failure).await {
                        self.ended(events::failure(failure));
                        return Some(Err(web::Error::Broken));
                    }
                }
            }
        }
    }

    fn note_gap(&mut self) {
        let now_ms = self.shared.now_ms();
        let gap_ms = now_ms.saturating_sub(self.part_ms);
        self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
        self.part_ms = now_ms;
    }

    fn ended(&self, how: &str) {
        let after_ms = self.job.after_ms(&self.shared);
        let longest_gap_ms = self.longest_gap_ms;
        let event = Event::StreamEnded { how, longest_gap_ms, after_ms };
        events::emit(&self.job.facts.id, &event);
        metrics::counter!("fescuebay_streams_ended_total", "how" => how.to_owned()).increment(1);
    }

    /// What the target sends next, in whole events where the stream can be resumed.
    async fn part(&mut self) -> Part {
        loop {
            let wait = Duration::from_millis(self.wait_ms());
            let Some(attempt) = &mut self.attempt else { return Part::Failed(Failure::Broken) };
            let Ok(data) = tokio::time::timeout(wait, web::next_data(&mut attempt.body)).await
            else {
                return Part::Failed(Failure::Silent);
            };
            match data {
                Some(Ok(data)) => {
                    if !self.is_resumable() {
                        return Part::Bytes(data);
                    }
                    if let Some(events) = self.whole_events(&data) {
                        return Part::Bytes(events);
                    }
                    if self.partial.len() > MAX_EVENT_BYTES {
                        return Part::Failed(Failure::TooLarge);
                    }
                }
                Some(Err(web::Error::TooLarge)) => return Part::Failed(Failure::TooLarge),
                Some(Err(_)) => return Part::Failed(Failure::Broken),
                None if !self.partial.is_empty() => return Part::Failed(Failure::Broken),
                None => {
                    self.keep_connection();
                    return Part::End;
                }
            }
        }
    }

    /// How long the next bytes may take.
    fn wait_ms(&self) -> u64 {
        let left_ms = self.job.left_ms(&self.shared);
        let may_move = self.is_resumable() && self.job.may_run() && self.has_other_target();
        let stall_ms = match self.has_delivered {
            true => STALL_MS,
            false => self.job.route.latency_target_ms,
        };
        if may_move { left_ms.min(stall_ms) } else { left_ms }
    }

    fn has_other_target(&self) -> bool {
        let Some(attempt) = &self.attempt else { return true };
        let avoid = [attempt.seat.target.clone()];
        let wish = Wish {
            service: &self.job.service,
            model: self.job.facts.model.as_ref(),
            prompt: None,
            avoid: &avoid,
            salt: 0,
        };
        self.shared.fleet.borrow().has_other(self.shared.now_ms(), &wish, &attempt.seat.target)
    }

    /// Takes the events that are whole now, and remembers the last of them.
    fn whole_events(&mut self, data: &[u8]) -> Option<Bytes> {
        // An end may begin in what came before, which has none of its own.
        let searched = self.partial.len().saturating_sub(EVENT_END_BYTES - 1);
        self.partial.extend_from_slice(data);
        let end = searched + last_event_end(&self.partial[searched..])?;
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_event = Some(id);
        }
        Some(events)
    }

    /// Keeps the connection of an answer that was read whole.
    fn keep_connection(&mut self) {
        let Some(attempt) = self.attempt.take() else { return };
        let Attempt { seat, connection, head, .. } = attempt;
        self.shared.fleet.borrow_mut().succeeded(&seat.target);
        self.shared.pool.borrow_mut().put(
            self.shared.now_ms(),
            &seat.target,
            seat.life,
            seat.address,
            connection,
            &head.headers,
        );
    }

    /// Goes on with the stream at another target. Returns whether it does.
    async fn resume(&mut self, failure: Failure) -> bool {
        // The old attempt is closed first, so that its target does not work on beside the new one.
        let Some(old) = self.attempt.take() else { return false };
        let (target, sent_ms) = (old.seat.target.clone(), old.sent_ms);
        drop(old);
        self.partial.clear();
        let mut failure = failure;
        let mut target = target;
        let mut sent_ms = sent_ms;
        loop {
            let (shared, job) = (&self.shared, &self.job);
            let is_allowed =
                exchange::after_failure(shared, job, &target, failure, sent_ms).is_ok();
            if !is_allowed || !self.is_resumable() {
                return false;
            }
            let Ok(seat) = exchange::seat(shared, job, shared.now_ms()).await else { return false };
            target = seat.target.clone();
            sent_ms = shared.now_ms();
            match exchange::attempt(shared, job, seat, self.last_event.as_deref()).await {
                Ok(attempt) if attempt.head.status.is_success() => {
                    let last_event = self.last_event.as_deref();
                    let event = Event::Resumed { target: target.as_str(), last_event };
                    events::emit(&job.facts.id, &event);
                    metrics::counter!("fescuebay_streams_resumed_total").increment(1);
                    self.attempt = Some(attempt);
                    return true;
                }
                Ok(_) => failure = Failure::Failed,
                Err(failed) => failure = failed,
            }
        }
    }
}

/// The end of the last whole event in `bytes`: events end with an empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let returns = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(returns)
}

/// The id of the last event in `events` that has one.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    lines.into_iter().find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        Some(String::from_utf8_lossy(value).trim().to_owned())
    })
}
