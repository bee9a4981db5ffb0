//! Sends one attempt of a request to a target and waits for the head of the response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;

use super::attempt::{RoutedRequest, TargetResponse};
use super::events::{self, RequestEvent};
use super::reservation::SlotReservation;
use super::retry::AttemptFailure;
use super::state::RouterState;
use super::{AttemptOptions, ConnectionUse, ResponseClass, reach};
use crate::ids;
use crate::rate_limit::TargetLife;
use crate::routes;
use crate::slot_lease::pool::Ending;
use crate::web;
use crate::web::client::Connection;

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
            slowness_percent: slowness_percent(router, &reservation, sent_ms),
            need_tokens: Some(reservation.need_tokens).filter(|tokens| *tokens > 0),
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

/// The time that the target takes now, in percent of the usual time, if it differs.
fn slowness_percent(
    router: &RouterState,
    reservation: &SlotReservation,
    now_ms: u64,
) -> Option<u32> {
    let slowness = router.balancer.borrow().slowness(now_ms, &reservation.life());
    Some((slowness * 100.0).round() as u32).filter(|percent| *percent != 100)
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
        rank: routed.rank,
        last_event_id,
        identity: &routed.identity,
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
