//! Handles one request of a caller: finds its route, sends attempts to targets, and produces the
//! response.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use rand::Rng as _;

use super::attempt::{RoutedRequest, SentAttempt, TargetResponse};
use super::continuation::Continuation;
use super::events::{self, RequestEvent};
use super::forward::ForwardOutcome;
use super::refusal::{self, RefusalReason};
use super::reservation::SlotReservation;
use super::retry::{self, AttemptFailure, FailedAttempt, RequestFailure, RetryDecision};
use super::state::RouterState;
use super::{
    AttemptOptions, ConnectionUse, RequestInfo, ResponseClass, continuation, forward, origins,
    panics, poison, reach, relay, slot, wait_limit,
};
use crate::ids::{self, ServiceName, TargetId};
use crate::poison::{ContentHash, Subject};
use crate::rate_limit::TargetLife;
use crate::routes::{self, Route, index};
use crate::slot_lease::pool::Ending;
use crate::web::client::Connection;
use crate::web::server::Answer;
use crate::web::{self, Body};

/// Timeout of opening a connection to a target.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time after which a connection that is not open yet is a reason to probe other targets.
const SLOW_CONNECT: Duration = Duration::from_millis(100);
/// Requests that must not be repeated use an idle connection only if it has been idle for less than
/// this: the target may be about to close an older one, and a request on it could not be retried.
const MAX_IDLE_NON_IDEMPOTENT_MS: u64 = 1_500;
/// Share of the latency target after which an idempotent request is retried at another target.
const RESPONSE_TIMEOUT_SHARE: f64 = 0.7;
/// Lower bound of the response timeout of an idempotent request.
const MIN_RESPONSE_TIMEOUT_MS: u64 = 60;
/// Requests that are still unanswered get an error response this long before the process exits.
const RESPONSE_CUTOFF_MS: u64 = 250;

/// Why a request has no route and no service.
enum NotRouted {
    /// It is refused.
    Refused(RefusalReason),
    /// The caller closed the connection.
    CallerLeft,
}

impl From<RefusalReason> for NotRouted {
    fn from(reason: RefusalReason) -> Self {
        NotRouted::Refused(reason)
    }
}

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestSource {
    /// A caller.
    Caller,
    /// Another router, which reaches no target.
    Router,
}

/// Handles one request.
pub(super) async fn handle_request(
    router: Rc<RouterState>,
    request: http::Request<Incoming>,
    source: RequestSource,
) -> Answer {
    let arrived_ms = router.now_ms();
    let (head, body) = request.into_parts();
    let info = router.protocol.read_request(&head.headers);
    let id = info.id.clone();
    let handling = handle_read(router, head, body, info, arrived_ms, source);
    panics::answer_or_fail(&id, handling).await
}

/// Handles one request whose head has been read.
async fn handle_read(
    router: Rc<RouterState>,
    head: http::request::Parts,
    body: Incoming,
    info: RequestInfo,
    arrived_ms: u64,
    source: RequestSource,
) -> Answer {
    let id = info.id.clone();
    match route_request(&router, head, body, info, arrived_ms).await {
        Ok(mut routed) => {
            routed.is_forwarded = source == RequestSource::Router;
            record_admission(&router, &routed);
            Answer::Send(answer_routed(router, Rc::new(routed)).await)
        }
        Err(NotRouted::Refused(reason)) => {
            let elapsed_ms = router.now_ms().saturating_sub(arrived_ms);
            Answer::Send(refusal::refuse_unsent(&id, reason, elapsed_ms))
        }
        Err(NotRouted::CallerLeft) => Answer::Close,
    }
}

/// Finds the route and the service of a request, and reads its body.
async fn route_request(
    router: &RouterState,
    head: http::request::Parts,
    body: Incoming,
    info: RequestInfo,
    arrived_ms: u64,
) -> Result<RoutedRequest, NotRouted> {
    let limit_ms = wait_limit::max_document_wait_ms(info.caller_timeout_ms.unwrap_or(u64::MAX));
    let index = router.document_within(limit_ms).await.ok_or(RefusalReason::NoDocument)?;
    let host = request_host(&head);
    let route = index.find(&host, head.uri.path()).ok_or(RefusalReason::NoRoute)?;
    let timeout_ms = info.caller_timeout_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let deadline_ms = arrived_ms + timeout_ms;
    let left = Duration::from_millis(deadline_ms.saturating_sub(router.now_ms()));
    let limit_bytes = index.document().limits.max_body_bytes;
    let body = router.body_reader.collect(body, limit_bytes, left).await.map_err(body_failure)?;
    let content = ContentHash::of(&head.method, &host, &head.uri, body.bytes());
    let (service, continuation) =
        choose_service(router, route, &info, arrived_ms, deadline_ms).await?;
    let subjects = Subject::of_request(&service, content, info.shared_parts());
    let is_engine = index.document().service(&service).is_some_and(|s| s.engine.is_some());
    Ok(RoutedRequest {
        content,
        subjects,
        is_suspect: Cell::new(false),
        trial: RefCell::default(),
        service,
        route: Rc::new(route.clone()),
        method: head.method,
        uri: origin_form(&head.uri),
        headers: head.headers,
        body,
        arrived_ms,
        deadline_ms,
        avoided_targets: RefCell::default(),
        continuation: RefCell::new(continuation),
        possible_runs: Cell::new(0),
        attempts: Cell::new(0),
        unsent_attempts: RefCell::default(),
        is_forwarded: false,
        is_engine,
        document_version: index.document().version,
        info,
    })
}

fn body_failure(error: web::Error) -> NotRouted {
    match error {
        web::Error::TooLarge => NotRouted::Refused(RefusalReason::BodyTooLarge),
        web::Error::Timeout => NotRouted::Refused(RefusalReason::BodyTimeout),
        web::Error::Full => NotRouted::Refused(RefusalReason::BodyMemoryFull),
        _ => NotRouted::CallerLeft,
    }
}

/// Chooses the service of a request: at random by the shares of the route, but one that can continue the
/// stream if the caller takes one up again.
async fn choose_service(
    router: &RouterState,
    route: &Route,
    info: &RequestInfo,
    arrived_ms: u64,
    deadline_ms: u64,
) -> Result<(ServiceName, Continuation), RefusalReason> {
    let draw = rand::rng().random();
    if route.kind.is_resumable() && info.last_event_id.is_some() {
        let writer = tokio::select! {
            writer = origins::find_writer(router, route, info, arrived_ms, deadline_ms) => writer?,
            () = router.wait_until_exit_in(RESPONSE_CUTOFF_MS) => {
                return Err(RefusalReason::ShuttingDown);
            }
        };
        let balancer = router.balancer.borrow();
        let has_software = |service: &ServiceName| balancer.has_software(service, &writer.software);
        let service = continuation::choose_service(route, &writer, draw, has_software)
            .ok_or(RefusalReason::NoTargetOfVersion)?
            .clone();
        return Ok((service, Continuation::of(Some(writer.software))));
    }
    let destination = index::destination(route, draw).ok_or(RefusalReason::NoService)?;
    Ok((destination.service.clone(), Continuation::Unbound))
}

/// Answers a request that has a service.
async fn answer_routed(router: Rc<RouterState>, routed: Rc<RoutedRequest>) -> http::Response<Body> {
    tokio::select! {
        response = send_until_answered(Rc::clone(&router), Rc::clone(&routed)) => response,
        () = router.wait_until_exit_in(RESPONSE_CUTOFF_MS) => {
            // Every attempt that was sent may still run at its target.
            let failure = retry::request_failure(routed.attempts.get(), false);
            routed.give_up(&router, failure, RefusalReason::ShuttingDown)
        }
    }
}

fn record_admission(router: &RouterState, routed: &RoutedRequest) {
    let (now_ms, rank) = (router.now_ms(), routed.route.rank);
    router.arrival_rates.borrow_mut().record(now_ms, &routed.service, rank);
    // The router that forwards a request has counted it as demand, and as a reason for repeats.
    if !routed.is_forwarded {
        router.budget.borrow_mut().record_request(now_ms, &routed.service);
        if let Some(model) = routed.info.model.as_ref().filter(|_| routed.is_engine) {
            router.record_arrival(model);
        }
    }
    events::emit(
        &routed.info.id,
        &RequestEvent::Admitted {
            route: &routed.route.name,
            document_version: routed.document_version.0,
            service: routed.service.as_str(),
            model: routed.info.model.as_ref().map(ToString::to_string),
            content: routed.content.to_string(),
            shared_parts: routed.info.shared_parts().map(|id| format!("{id:x}")).collect(),
            began_with: routed.info.began_with.as_deref(),
            remaining_ms: routed.remaining_ms(router),
        },
    );
}

/// Sends attempts until a target answers or the request is given up.
async fn send_until_answered(
    router: Rc<RouterState>,
    routed: Rc<RoutedRequest>,
) -> http::Response<Body> {
    loop {
        if !router.exits_in(slot::SEND_CUTOFF_MS)
            && forward::is_due(&router, &routed)
            && let ForwardOutcome::Answered(response) = forward::forward(&router, &routed).await
        {
            return response;
        }
        if router.exits_in(slot::SEND_CUTOFF_MS) {
            let failure = retry::request_failure(routed.possible_runs.get(), false);
            return routed.give_up(&router, failure, RefusalReason::ShuttingDown);
        }
        let was_lost = router.reach.borrow().is_lost(&routed.service);
        let is_for_another = routed.is_forwarded && routed.unsent_attempts.borrow().has_tried_all();
        if is_for_another || (was_lost && routed.possible_runs.get() == 0) {
            // Nobody could take it, or it was forwarded by a router that may know another one.
            let failure = retry::request_failure(routed.possible_runs.get(), false);
            return routed.give_up(&router, failure, RefusalReason::OutOfReach);
        }
        let reserving = poison::reserve_permitted(&router, &routed, routed.arrived_ms);
        let reserved = tokio::select! {
            reserved = reserving => reserved,
            () = router.wait_until_lost(&routed.service), if !was_lost => continue,
        };
        let reservation = match reserved {
            Ok(reservation) => reservation,
            Err(reason) => {
                let failure = retry::request_failure(
                    routed.possible_runs.get(),
                    routed.remaining_ms(&router) == 0,
                );
                return routed.give_up(&router, failure, reason);
            }
        };
        let attempt = SentAttempt::begin(&router, &reservation);
        let failure =
            match send_attempt(&router, &routed, reservation, routed.info.last_event_id.as_deref())
                .await
            {
                Ok(response) => match relay::relay_response(&router, &routed, response).await {
                    Ok(response) => return response,
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
        if let Err(request_failure) = handle_failure(&router, &routed, &attempt, failure) {
            return routed.give_up(&router, request_failure, RefusalReason::AttemptFailed(failure));
        }
        let is_immediate = matches!(
            failure,
            AttemptFailure::NotRun | AttemptFailure::Misdirected | AttemptFailure::NotSent
        );
        if is_immediate {
            let pause_ms = routed.unsent_attempts.borrow().pause_ms();
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}

/// Records a failed attempt and decides whether the request is retried.
pub(super) fn handle_failure(
    router: &RouterState,
    routed: &RoutedRequest,
    sent: &SentAttempt,
    failure: AttemptFailure,
) -> Result<(), RequestFailure> {
    let now_ms = router.now_ms();
    note_failure(router, routed, sent, failure);
    let attempt = FailedAttempt {
        failure,
        kind: routed.route.kind,
        possible_runs: routed.possible_runs.get(),
        max_possible_runs: routed.route.max_attempts.max(1),
        is_past_deadline: now_ms >= routed.deadline_ms,
    };
    match retry::decide_retry(&attempt) {
        RetryDecision::GiveUp(request_failure) => Err(request_failure),
        // An attempt that was not sent put no load on any target, so its retry does not count
        // against the budget.
        RetryDecision::Retry
            if matches!(failure, AttemptFailure::NotSent | AttemptFailure::Withdrawn) =>
        {
            Ok(())
        }
        RetryDecision::Retry if router.budget.borrow_mut().try_take(now_ms, &routed.service) => {
            Ok(())
        }
        RetryDecision::Retry => {
            Err(retry::request_failure(attempt.possible_runs, attempt.is_past_deadline))
        }
    }
}

/// Records a failed attempt and what follows for its target and for the request.
pub(super) fn note_failure(
    router: &RouterState,
    routed: &RoutedRequest,
    sent: &SentAttempt,
    failure: AttemptFailure,
) {
    record_failed_attempt(router, routed, &sent.life.target, failure, sent.sent_ms);
    penalize_target(router, routed, &sent.life.target, failure);
    if matches!(failure, AttemptFailure::ConnectionClosed | AttemptFailure::NotSent) {
        routed.continuation.borrow_mut().record_broken(&sent.life);
    }
    if failure == AttemptFailure::ConnectionClosed && !sent.has_answered {
        router.record_break(routed, sent);
    }
}

/// Logs and counts a failed attempt, and notes whether it may have run.
pub(super) fn record_failed_attempt(
    router: &RouterState,
    routed: &RoutedRequest,
    target: &TargetId,
    failure: AttemptFailure,
    sent_ms: u64,
) {
    let event = RequestEvent::AttemptFailed {
        target: target.as_str(),
        failure: events::failure_name(failure),
        elapsed_ms: router.now_ms().saturating_sub(sent_ms),
    };
    events::emit(&routed.info.id, &event);
    metrics::counter!("fescuebay_attempts_failed_total", "failure" => events::failure_name(failure))
        .increment(1);
    if failure.may_have_run() {
        routed.possible_runs.set(routed.possible_runs.get() + 1);
    }
}

/// Makes the balancer avoid a target after a failure, unless the target itself declined the
/// request.
fn penalize_target(
    router: &RouterState,
    routed: &RoutedRequest,
    target: &TargetId,
    failure: AttemptFailure,
) {
    routed.avoided_targets.borrow_mut().push(target.clone());
    let mut balancer = router.balancer.borrow_mut();
    match (failure, &routed.info.model) {
        (AttemptFailure::Misdirected, Some(model)) => {
            balancer.record_missing_model(router.now_ms(), target, model);
        }
        (AttemptFailure::NotRun | AttemptFailure::Withdrawn, _) => {}
        // Without a model to lack, another target is at this address.
        _ => balancer.record_failure(router.now_ms(), target),
    }
}

/// Sends one attempt and waits for the head of the response.
pub(super) async fn send_attempt(
    router: &Rc<RouterState>,
    routed: &RoutedRequest,
    mut reservation: SlotReservation,
    last_event_id: Option<&str>,
) -> Result<TargetResponse, AttemptFailure> {
    let connected = connect(router, routed, &reservation).await;
    if connected.is_err() {
        routed.unsent_attempts.borrow_mut().record(reservation.life());
        router.note_unreached(&routed.service, reservation.life());
    }
    let (mut connection, connection_use) = connected?;
    if !reservation.begin_send() {
        return Err(AttemptFailure::Withdrawn);
    }
    let sent_ms = router.now_ms();
    let remaining_ms = routed.deadline_ms.saturating_sub(sent_ms);
    if remaining_ms == 0 {
        return Err(AttemptFailure::NotSent);
    }
    let request = build_request(router, routed, &reservation, remaining_ms, last_event_id);
    routed.attempts.set(routed.attempts.get() + 1);
    events::emit(
        &routed.info.id,
        &RequestEvent::Sent {
            target: reservation.target.as_str(),
            incarnation: reservation.incarnation.0,
            software: reservation.software.as_ref().map(ids::SoftwareVersion::as_str),
            attempt: routed.attempts.get(),
            in_flight: reservation.in_flight,
            unavailable_targets: router
                .balancer
                .borrow()
                .count_unavailable(sent_ms, &routed.service),
            table_version: reservation.table_version.to_string(),
            table_age_ms: router.table_age_ms(),
            limit_per_s: router.rate_limit(&reservation),
            elapsed_ms: routed.elapsed_ms(router),
        },
    );
    let timeout =
        Duration::from_millis(response_timeout_ms(router, routed, &reservation, remaining_ms));
    let answering = tokio::time::timeout(timeout, connection.send(request));
    let response = match unless_lost(router, routed, reservation.life(), answering).await? {
        Ok(Ok(response)) => response,
        Ok(Err(web::Error::Connect)) => return Err(AttemptFailure::NotSent),
        Ok(Err(web::Error::Malformed)) => return Err(AttemptFailure::InvalidResponse),
        Ok(Err(web::Error::TooLarge)) => return Err(AttemptFailure::TooLarge),
        Ok(Err(_)) => {
            router.note_unreached(&routed.service, reservation.life());
            return Err(AttemptFailure::ConnectionClosed);
        }
        Err(_) => return Err(AttemptFailure::TimedOut),
    };
    router.note_reached(&routed.service);
    let (head, body) = response.into_parts();
    let notice = router.protocol.read_notice(head.status, &head.headers, &routed.info.id);
    router.apply_notice(&reservation.target, reservation.incarnation, sent_ms, notice);
    let (status, id) = (head.status, &routed.info.id);
    match router.protocol.classify_response(status, &head.headers, id, connection_use) {
        ResponseClass::Answer => Ok(TargetResponse {
            reservation: note_response(reservation, head.status),
            connection,
            head,
            body,
            sent_ms,
        }),
        ResponseClass::NotRun => {
            router.note_rejected(&mut reservation);
            Err(AttemptFailure::NotRun)
        }
        ResponseClass::Misdirected => {
            reservation.note_ended(Ending::NotRun);
            Err(AttemptFailure::Misdirected)
        }
        ResponseClass::Invalid => Err(AttemptFailure::InvalidResponse),
    }
}

/// Waits for the answer of a target. One that is silent for long is a reason to probe others; if all targets
/// are out of reach, a request that may be repeated waits no longer.
async fn unless_lost<T>(
    router: &Rc<RouterState>,
    routed: &RoutedRequest,
    target: TargetLife,
    answering: impl Future<Output = T>,
) -> Result<T, AttemptFailure> {
    tokio::pin!(answering);
    tokio::select! {
        answer = &mut answering => return Ok(answer),
        () = tokio::time::sleep(Duration::from_millis(reach::SILENT_MS)) => {}
    }
    router.note_unreached(&routed.service, target);
    let may_leave = routed.route.kind.is_repeatable() && !routed.is_forwarded;
    tokio::select! {
        answer = answering => Ok(answer),
        () = router.wait_until_lost(&routed.service), if may_leave => Err(AttemptFailure::TimedOut),
    }
}

/// Records that the target answers requests, unless this response is a refusal.
fn note_response(mut reservation: SlotReservation, status: http::StatusCode) -> SlotReservation {
    if status != http::StatusCode::SERVICE_UNAVAILABLE {
        reservation.note_answered();
    }
    reservation
}

/// Returns an idle connection to the target, or opens a new one.
async fn connect(
    router: &Rc<RouterState>,
    routed: &RoutedRequest,
    reservation: &SlotReservation,
) -> Result<(Connection, ConnectionUse), AttemptFailure> {
    let max_idle_ms =
        if routed.route.kind.is_repeatable() { u64::MAX / 2 } else { MAX_IDLE_NON_IDEMPOTENT_MS };
    let now_ms = router.now_ms();
    let kept = router.pool.borrow_mut().take(
        now_ms,
        &reservation.target,
        reservation.incarnation,
        reservation.address,
        max_idle_ms,
    );
    if let Some(connection) = kept {
        return Ok((connection, ConnectionUse::Repeated));
    }
    metrics::counter!("fescuebay_target_connections_total").increment(1);
    let opening = Connection::open(router.own_ip, reservation.address, CONNECT_TIMEOUT_MS);
    tokio::pin!(opening);
    let opened = tokio::select! {
        opened = &mut opening => opened,
        () = tokio::time::sleep(SLOW_CONNECT) => {
            router.note_unreached(&routed.service, reservation.life());
            opening.await
        }
    };
    let connection = opened.map_err(|_| AttemptFailure::NotSent)?;
    Ok((connection, ConnectionUse::First))
}

fn build_request(
    router: &RouterState,
    routed: &RoutedRequest,
    reservation: &SlotReservation,
    remaining_ms: u64,
    last_event_id: Option<&str>,
) -> http::Request<Full<Bytes>> {
    let options = AttemptOptions {
        target: &reservation.target,
        address: reservation.address,
        remaining_ms,
        rank: routed.route.rank,
        last_event_id,
    };
    let mut request = http::Request::new(Full::new(routed.body.bytes().clone()));
    *request.method_mut() = routed.method.clone();
    *request.uri_mut() = routed.uri.clone();
    *request.headers_mut() = router.protocol.target_headers(&routed.headers, &options);
    request
}

/// Timeout for the head of a response. An idempotent request gets a shorter one if another target
/// can take it.
fn response_timeout_ms(
    router: &RouterState,
    routed: &RoutedRequest,
    reservation: &SlotReservation,
    remaining_ms: u64,
) -> u64 {
    let is_idempotent = routed.route.kind == routes::Kind::Idempotent;
    let has_attempt_left = routed.possible_runs.get() + 1 < routed.route.max_attempts;
    if !is_idempotent || !has_attempt_left {
        return remaining_ms;
    }
    if !routed.has_other_target(router, &reservation.target) {
        return remaining_ms;
    }
    let share_ms = (routed.route.latency_target_ms as f64 * RESPONSE_TIMEOUT_SHARE) as u64;
    share_ms.max(MIN_RESPONSE_TIMEOUT_MS).min(remaining_ms)
}

/// The host of the request in lower case, without a port.
fn request_host(head: &http::request::Parts) -> String {
    let named = head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = named.or_else(|| head.uri.host()).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}

/// The URI in origin form (path and query only), as targets expect it.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| http::Uri::from_static("/"), http::Uri::from)
}
