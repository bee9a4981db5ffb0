//! Relays the response of a target to the caller, and resumes broken streams at another target.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, header};

use super::attempt::{RoutedRequest, SentAttempt, TargetResponse};
use super::balancer::TargetQuery;
use super::continuation::Continuation;
use super::event_buffer::EventBuffer;
use super::events::{self, RequestEvent};
use super::refusal::RefusalReason;
use super::retry::AttemptFailure;
use super::state::RouterState;
use super::stream_pace::StreamPace;
use super::{RequestInfo, failure, poison, send, stream_pace};
use crate::ids::{self, TargetId};
use crate::poison::ANSWER_BEGUN_MS;
use crate::routes::Kind;
use crate::slot_lease::pool::Ending;
use crate::web::{self, Body};

/// Time without a whole event after which a resumable stream is continued at another target.
const STALL_TIMEOUT_MS: u64 = 1_500;
/// Responses up to this size are buffered until they are complete. Larger ones are streamed to the
/// caller.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Complete responses up to this size fit into the buffers that each connection has anyway, and are not counted.
const MAX_UNCOUNTED_BYTES: usize = 16 << 10;

/// Turns the response of a target into the caller's response. The response to a stream starts once
/// its first event has arrived.
pub(super) async fn relay_response(
    router: &Rc<RouterState>,
    routed: &Rc<RoutedRequest>,
    response: TargetResponse,
) -> Result<http::Response<Body>, AttemptFailure> {
    let is_success = response.head.status.is_success();
    if routed.route.kind.is_stream() && is_success {
        return relay_stream(router, routed, response).await;
    }
    relay_whole(router, routed, response).await
}

async fn relay_whole(
    router: &Rc<RouterState>,
    routed: &Rc<RoutedRequest>,
    response: TargetResponse,
) -> Result<http::Response<Body>, AttemptFailure> {
    let TargetResponse { mut reservation, connection, head, body, sent_ms } = response;
    let limit = Duration::from_millis(routed.remaining_ms(router));
    let buffered_bytes = if router.held.is_full() { 0 } else { MAX_BUFFERED_BYTES };
    let bytes = match tokio::time::timeout(limit, web::begin(body, buffered_bytes)).await {
        Ok(Ok(web::BodyStart::Whole(bytes))) => bytes,
        Ok(Ok(web::BodyStart::More(first, body))) => {
            let response = TargetResponse { reservation, connection, head, body, sent_ms };
            return Ok(stream_to_caller(StreamRelay::new(router, routed, response), first));
        }
        Ok(Err(web::Error::TooLarge)) => return Err(AttemptFailure::TooLarge),
        Ok(Err(_)) => return Err(AttemptFailure::ConnectionClosed),
        Err(_) => return Err(AttemptFailure::TimedOut),
    };
    let now_ms = router.now_ms();
    reservation.note_ended(Ending::Finished);
    router.pool.borrow_mut().put(
        now_ms,
        &reservation.target,
        reservation.incarnation,
        reservation.address,
        connection,
        &head.headers,
    );
    let can_retry = routed.route.kind == Kind::Idempotent
        && routed.possible_runs.get() + 1 < routed.route.max_attempts;
    if head.status.is_server_error() && can_retry {
        let is_within_budget = router.budget.borrow_mut().try_take(now_ms, &routed.service);
        if is_within_budget {
            routed.avoided_targets.borrow_mut().push(reservation.target.clone());
            failure::record_failed_attempt(
                router,
                routed,
                &reservation.target,
                AttemptFailure::ErrorStatus,
                sent_ms,
            );
            if let Some(response) = Box::pin(retry_server_error(router, routed)).await {
                return Ok(response);
            }
        }
    }
    router.record_begun_answer(routed, now_ms);
    if head.status.is_success() {
        stream_pace::record_response(router, routed, &reservation.life(), now_ms - sent_ms);
    }
    if !head.status.is_server_error() {
        router.balancer.borrow_mut().record_success(&reservation.target);
    }
    record_answer(routed, reservation.target.as_str(), head.status, now_ms.saturating_sub(sent_ms));
    let body = match bytes.len() > MAX_UNCOUNTED_BYTES {
        true => router.held.whole(routed.caller(), &bytes),
        false => web::whole(bytes),
    };
    Ok(caller_response(head, body))
}

/// Retries an idempotent request after a server error of its target. Returns `None` if the retry
/// got no response either.
async fn retry_server_error(
    router: &Rc<RouterState>,
    routed: &Rc<RoutedRequest>,
) -> Option<http::Response<Body>> {
    let avoided_targets = routed.avoided_targets.borrow().clone();
    let query = TargetQuery {
        salt: router.next_salt(),
        ..routed.query(&avoided_targets, &Continuation::Unbound)
    };
    let reservation = router.try_reserve(&query, routed.prompt_tokens(), false).ok()?;
    let attempt = SentAttempt::begin(router, &reservation);
    let answered = match send::send_attempt(router, routed, reservation, None).await {
        Ok(response) => Box::pin(relay_whole(router, routed, response)).await,
        Err(failure) => Err(failure),
    };
    if let Err(failure) = &answered {
        failure::note_failure(router, routed, &attempt, *failure);
    }
    answered.ok()
}

pub(super) fn record_answer(
    routed: &RoutedRequest,
    target: &str,
    status: http::StatusCode,
    first_response_ms: u64,
) {
    let event = RequestEvent::Answered { target, status: status.as_u16(), first_response_ms };
    events::emit(&routed.info.id, &event);
    let route = routed.route.name.clone();
    let status = status.as_str().to_owned();
    metrics::counter!("fescuebay_answered_total", "route" => route.clone(), "status" => status)
        .increment(1);
    metrics::histogram!("fescuebay_first_answer_seconds", "route" => route)
        .record(first_response_ms as f64 / 1_000.0);
}

/// Builds the response for the caller without hop-by-hop headers.
pub(super) fn caller_response(head: http::response::Parts, body: Body) -> http::Response<Body> {
    let mut response = http::Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = without_hop_by_hop(head.headers);
    response
}

fn without_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    for name in ["connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade"] {
        headers.remove(name);
    }
    headers
}

/// Relays a stream to one caller, from one target after another.
struct StreamRelay {
    router: Rc<RouterState>,
    routed: Rc<RoutedRequest>,
    /// The first target that answered, and the head of its response.
    target: TargetId,
    head: http::response::Parts,
    sent_ms: u64,
    response: Option<TargetResponse>,
    /// Where the received bytes end within an event.
    events: EventBuffer,
    has_sent_data: bool,
    /// Whether the target went on after it had begun to answer.
    has_answered: bool,
    /// When the first data arrived, until the answer was recorded as begun.
    began_ms: Option<u64>,
    /// When the last data arrived, and the longest time between two arrivals.
    last_data_ms: u64,
    longest_gap_ms: u64,
    /// The time between its events, as far as it was not reported to the balancer.
    gaps: StreamPace,
}

/// The next data of a stream.
enum NextData {
    /// Data for the caller.
    Bytes(Bytes),
    /// The response is complete.
    End,
    /// The attempt failed.
    Failed(AttemptFailure),
}

async fn relay_stream(
    router: &Rc<RouterState>,
    routed: &Rc<RoutedRequest>,
    response: TargetResponse,
) -> Result<http::Response<Body>, AttemptFailure> {
    let mut stream = StreamRelay::new(router, routed, response);
    let first = match stream.read_data().await {
        NextData::Bytes(bytes) => bytes,
        NextData::End if stream.is_end_framed() => return Ok(stream.empty_response()),
        NextData::End => return Err(AttemptFailure::ConnectionClosed),
        NextData::Failed(failure) => return Err(failure),
    };
    if stream.is_resumable() {
        let RoutedRequest { route, info, service, .. } = &**routed;
        let software = stream.response.as_ref().and_then(|it| it.reservation.software.clone());
        router.tell_begun_stream(route, info, service, software.as_ref()).await;
    }
    let RequestInfo { model, prompt_parts, .. } = &routed.info;
    if prompt_parts.len() > 1 {
        let mut balancer = router.balancer.borrow_mut();
        balancer.remember_prompt(&stream.target, model.as_ref(), prompt_parts);
    }
    Ok(stream_to_caller(stream, first))
}

/// Builds the response for the caller from the first data and the rest of the stream.
fn stream_to_caller(mut stream: StreamRelay, first: Bytes) -> http::Response<Body> {
    stream.has_sent_data = true;
    stream.last_data_ms = stream.router.now_ms();
    stream.began_ms = Some(stream.last_data_ms);
    stream.gaps.begin(&first);
    if let Some(response) = &mut stream.response {
        stream_pace::record_first_event(&stream.router, &stream.routed, response);
        response.reservation.note_prompt_read();
        stream.routed.begin_stream(response.reservation.software.clone());
    }
    let first_response_ms = stream.router.now_ms().saturating_sub(stream.sent_ms);
    record_answer(&stream.routed, stream.target.as_str(), stream.head.status, first_response_ms);
    let mut response = http::Response::new(());
    *response.status_mut() = stream.head.status;
    *response.headers_mut() = without_hop_by_hop(stream.head.headers.clone());
    let (held, caller) = (stream.router.held.clone(), stream.routed.caller());
    // The stream may be cut off, so its length is not promised.
    response.headers_mut().remove(header::CONTENT_LENGTH);
    let rest = stream::unfold(Some(stream), |stream| async move {
        let mut stream = stream?;
        match stream.next_for_caller().await {
            Some(Ok(bytes)) => Some((Ok(bytes), Some(stream))),
            Some(Err(error)) => Some((Err(error), None)),
            None => None,
        }
    });
    response.map(|()| held.stream(caller, &first, rest))
}

impl StreamRelay {
    fn new(router: &Rc<RouterState>, routed: &Rc<RoutedRequest>, response: TargetResponse) -> Self {
        Self {
            router: Rc::clone(router),
            routed: Rc::clone(routed),
            target: response.reservation.target.clone(),
            head: response.head.clone(),
            sent_ms: response.sent_ms,
            response: Some(response),
            events: EventBuffer::after(routed.info.last_event_id.clone()),
            has_sent_data: false,
            has_answered: false,
            began_ms: None,
            last_data_ms: 0,
            longest_gap_ms: 0,
            gaps: StreamPace::default(),
        }
    }

    fn is_resumable(&self) -> bool {
        self.routed.route.kind.is_resumable()
    }

    /// Returns the next data for the caller, after a resume if necessary; `None` if the stream is
    /// complete.
    async fn next_for_caller(&mut self) -> Option<Result<Bytes, web::Error>> {
        loop {
            let asked_ms = self.router.now_ms();
            match self.read_data().await {
                NextData::Bytes(bytes) => {
                    self.measure(asked_ms, &bytes);
                    self.record_gap();
                    self.record_progress();
                    return Some(Ok(bytes));
                }
                NextData::End => {
                    self.record_answer();
                    self.record_end("whole", None);
                    stream_pace::record_length(&self.router, &self.routed, &self.gaps);
                    return None;
                }
                NextData::Failed(failure) => {
                    if let Err(reason) = self.resume(failure).await {
                        self.record_end(events::failure_name(failure), reason);
                        return Some(Err(web::Error::Broken));
                    }
                }
            }
        }
    }

    /// Whether a length or chunks show where the response ends. Else it may have been broken off there.
    fn is_end_framed(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// The response to a stream that ended before its first event: the caller has them all.
    fn empty_response(mut self) -> http::Response<Body> {
        let now_ms = self.router.now_ms();
        let first_response_ms = now_ms.saturating_sub(self.sent_ms);
        record_answer(&self.routed, self.target.as_str(), self.head.status, first_response_ms);
        self.last_data_ms = now_ms;
        self.record_answer();
        self.record_end("whole", None);
        caller_response(self.head, web::whole(Bytes::new()))
    }

    /// Measures the time since the last data, if the caller asked for more right after it. `asked_ms` is when it
    /// did.
    fn measure(&mut self, asked_ms: u64, data: &Bytes) {
        let Some(response) = &self.response else { return };
        let (now_ms, last_ms) = (self.router.now_ms(), self.last_data_ms);
        if let Some(pace) = self.gaps.add(now_ms, last_ms, asked_ms, data) {
            stream_pace::record_gaps(&self.router, &self.routed, response, pace);
        }
    }

    fn record_gap(&mut self) {
        let now_ms = self.router.now_ms();
        let gap_ms = now_ms.saturating_sub(self.last_data_ms);
        self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
        self.last_data_ms = now_ms;
    }

    /// Records the answer as begun once its target has gone on for long enough.
    fn record_progress(&mut self) {
        let began_ms = *self.began_ms.get_or_insert(self.last_data_ms);
        if self.last_data_ms >= began_ms + ANSWER_BEGUN_MS {
            self.record_answer();
        }
    }

    fn record_answer(&mut self) {
        if !std::mem::replace(&mut self.has_answered, true) {
            let began_ms = self.began_ms.unwrap_or(self.last_data_ms);
            self.router.record_begun_answer(&self.routed, began_ms);
        }
    }

    fn record_end(&self, ending: &str, reason: Option<RefusalReason>) {
        let elapsed_ms = self.routed.elapsed_ms(&self.router);
        let longest_gap_ms = self.longest_gap_ms;
        let reason = reason.map(RefusalReason::text);
        let event = RequestEvent::StreamEnded { ending, reason, longest_gap_ms, elapsed_ms };
        events::emit(&self.routed.info.id, &event);
        metrics::counter!("fescuebay_streams_ended_total", "how" => ending.to_owned()).increment(1);
    }

    /// Reads the next data from the target. For resumable streams this is one or more complete
    /// events.
    async fn read_data(&mut self) -> NextData {
        let since_ms = self.router.now_ms();
        loop {
            if self.routed.remaining_ms(&self.router) == 0 {
                // Data of an endless response is always at hand, so no read of it times out.
                return NextData::Failed(AttemptFailure::TimedOut);
            }
            let timeout = Duration::from_millis(self.read_timeout_ms(since_ms));
            let Some(response) = &mut self.response else {
                return NextData::Failed(AttemptFailure::ConnectionClosed);
            };
            let Ok(data) = tokio::time::timeout(timeout, web::next_data(&mut response.body)).await
            else {
                return NextData::Failed(AttemptFailure::TimedOut);
            };
            match data {
                Some(Ok(data)) => {
                    self.router.note_reached(&self.routed.service);
                    if !self.is_resumable() {
                        self.events.pass_on(&data);
                        return NextData::Bytes(data);
                    }
                    if let Some(events) = self.events.take_complete(&data) {
                        return NextData::Bytes(events);
                    }
                    if self.events.is_too_large() {
                        return NextData::Failed(AttemptFailure::TooLarge);
                    }
                }
                Some(Err(web::Error::TooLarge)) => {
                    return NextData::Failed(AttemptFailure::TooLarge);
                }
                Some(Err(_)) => return NextData::Failed(AttemptFailure::ConnectionClosed),
                None if self.routed.route.kind.is_stream() && self.events.is_inside_event() => {
                    return NextData::Failed(AttemptFailure::ConnectionClosed);
                }
                None => {
                    self.return_connection();
                    return NextData::End;
                }
            }
        }
    }

    /// Timeout for the next data of a read that began at `since_ms`. It is shorter if the stream can be resumed at
    /// another target, and then covers the whole event, whose bytes may come one by one.
    fn read_timeout_ms(&self, since_ms: u64) -> u64 {
        let remaining_ms = self.routed.remaining_ms(&self.router);
        let read_ms = self.router.now_ms().saturating_sub(since_ms);
        let can_resume_elsewhere =
            self.is_resumable() && self.routed.has_attempts_left() && self.has_other_target();
        let stall_ms = match self.has_sent_data {
            true => STALL_TIMEOUT_MS,
            false => self.routed.route.latency_target_ms,
        };
        match can_resume_elsewhere {
            true => remaining_ms.min(stall_ms.saturating_sub(read_ms)),
            false => remaining_ms,
        }
    }

    fn has_other_target(&self) -> bool {
        let Some(response) = &self.response else { return true };
        self.routed.has_other_target(&self.router, &response.reservation.target)
    }

    /// Returns the connection to the pool after a complete response.
    fn return_connection(&mut self) {
        let Some(response) = self.response.take() else { return };
        let TargetResponse { mut reservation, connection, head, .. } = response;
        reservation.note_ended(Ending::Finished);
        self.router.balancer.borrow_mut().record_success(&reservation.target);
        self.router.pool.borrow_mut().put(
            self.router.now_ms(),
            &reservation.target,
            reservation.incarnation,
            reservation.address,
            connection,
            &head.headers,
        );
    }

    /// Whether a response can be the rest of the stream: it is a success, and of the same type as the
    /// first response.
    fn can_go_on_with(&self, head: &http::response::Parts) -> bool {
        let content_type = |head: &http::response::Parts| {
            let value = head.headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
            Some(value.split(';').next().unwrap_or(value).trim().to_ascii_lowercase())
        };
        head.status.is_success() && content_type(head) == content_type(&self.head)
    }

    /// Resumes the stream at another target.
    ///
    /// # Errors
    /// It cannot be resumed; with the reason if there was no target for it.
    async fn resume(&mut self, failure: AttemptFailure) -> Result<(), Option<RefusalReason>> {
        // The old connection is closed first, so that two targets do not generate the same stream
        // at the same time.
        let Some(old) = self.response.take() else { return Err(None) };
        let mut attempt = SentAttempt {
            sent_ms: old.sent_ms,
            has_answered: self.has_answered,
            ..SentAttempt::begin(&self.router, &old.reservation)
        };
        drop(old);
        self.events.drop_incomplete();
        let mut failure = failure;
        loop {
            let (router, routed) = (&self.router, &self.routed);
            let can_retry = failure::handle_failure(router, routed, &attempt, failure).is_ok();
            if !can_retry || !self.is_resumable() {
                return Err(None);
            }
            if router.reach.borrow().is_lost(&routed.service) {
                // The caller takes the stream up at another router.
                return Err(Some(RefusalReason::OutOfReach));
            }
            let since_ms = router.now_ms();
            let reserved = poison::reserve_permitted(router, routed, since_ms).await;
            let reservation = reserved.map_err(Some)?;
            attempt = SentAttempt::begin(router, &reservation);
            match send::send_attempt(router, routed, reservation, self.events.last_id()).await {
                Ok(response) if self.can_go_on_with(&response.head) => {
                    let last_event_id = self.events.last_id();
                    let target = attempt.life.target.as_str();
                    let software = response.reservation.software.as_ref();
                    let software = software.map(ids::SoftwareVersion::as_str);
                    let event = RequestEvent::Resumed { target, software, last_event_id };
                    events::emit(&routed.info.id, &event);
                    metrics::counter!("fescuebay_streams_resumed_total").increment(1);
                    self.response = Some(response);
                    // The time until the first event of the other target is not one between events.
                    self.gaps.interrupt();
                    self.has_answered = false;
                    self.began_ms = None;
                    return Ok(());
                }
                Ok(_) => failure = AttemptFailure::ErrorStatus,
                Err(failed) => failure = failed,
            }
        }
    }
}
