//! Handles one request of a caller: finds its route, sends attempts to targets, and produces the
//! response.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use http::header;
use hyper::body::Incoming;
use rand::Rng as _;

use super::attempt::{RoutedRequest, SentAttempt};
use super::continuation::Continuation;
use super::events::{self, RequestEvent};
use super::forward::ForwardOutcome;
use super::refusal::{self, RefusalReason};
use super::retry::{self, AttemptFailure};
use super::state::RouterState;
use super::{
    RequestInfo, access, continuation, failure, forward, origins, panics, poison, quota, relay,
    send, slot, token_need, wait_limit,
};
use crate::ids::ServiceName;
use crate::poison::{ContentHash, Subject};
use crate::routes::{Route, index};
use crate::web::server::Answer;
use crate::web::{self, Body};

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
    let routed = route_request(&router, head, body, info, arrived_ms, source).await;
    let charged = match routed {
        Ok(routed) => charge_quota(&router, routed).await,
        Err(reason) => Err(reason),
    };
    match charged {
        Ok(routed) => {
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

/// Charges a request to the quota of its workspace. One that another router forwards was charged there.
async fn charge_quota(
    router: &RouterState,
    routed: RoutedRequest,
) -> Result<RoutedRequest, NotRouted> {
    if !routed.is_forwarded {
        let charge = tokio::select! {
            charge = quota::charge(router, &routed) => charge?,
            () = router.wait_until_exit_in(RESPONSE_CUTOFF_MS) => {
                return Err(NotRouted::Refused(RefusalReason::ShuttingDown));
            }
        };
        routed.charge.replace(charge);
    }
    Ok(routed)
}

/// Finds the route and the service of a request, and reads its body.
async fn route_request(
    router: &RouterState,
    head: http::request::Parts,
    body: Incoming,
    info: RequestInfo,
    arrived_ms: u64,
    source: RequestSource,
) -> Result<RoutedRequest, NotRouted> {
    let limit_ms = wait_limit::max_document_wait_ms(info.caller_timeout_ms.unwrap_or(u64::MAX));
    let index = router.document_within(limit_ms).await.ok_or(RefusalReason::NoDocument)?;
    let host = request_host(&head);
    let position = index.find_position(&host, head.uri.path()).ok_or(RefusalReason::NoRoute)?;
    let route = &index.document().routes[position as usize];
    let identity = identify(router, &index, position, &info, source)?;
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
    let usual_max = router.output_lengths.borrow().usual_max(&route.name);
    Ok(RoutedRequest {
        need_tokens: if is_engine { token_need::need_tokens(&info, usual_max) } else { 0 },
        content,
        subjects,
        is_suspect: Cell::new(false),
        trial: RefCell::default(),
        service,
        rank: identity.rank(route.rank),
        identity,
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
        is_forwarded: source == RequestSource::Router,
        is_engine,
        document_version: index.document().version,
        charge: RefCell::default(),
        info,
        connection: head.extensions.get().cloned(),
    })
}

/// Finds out for whom a request is. One that another router forwards was checked there.
fn identify(
    router: &RouterState,
    index: &index::Index,
    position: u32,
    info: &RequestInfo,
    source: RequestSource,
) -> Result<access::Identity, RefusalReason> {
    if source == RequestSource::Router {
        return Ok(access::accept_forwarded(index, info));
    }
    let age_ms = router.table_age_ms().unwrap_or_default();
    match access::decide(index, position, info, age_ms, router.revocation) {
        access::AccessDecision::Granted(identity) => Ok(identity),
        access::AccessDecision::Denied => {
            metrics::counter!("fescuebay_keys_refused_total").increment(1);
            Err(RefusalReason::UnknownKey)
        }
        access::AccessDecision::Unknown => {
            log::info!(
                document = index.document().version.0, leader_silent_ms = age_ms;
                "keys are refused: no leader has been heard of for {age_ms} ms"
            );
            Err(RefusalReason::KeysUnconfirmed)
        }
    }
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
    let (now_ms, rank) = (router.now_ms(), routed.rank);
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
            workspace: routed.identity.workspace().map(|workspace| workspace.name.as_str()),
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
        let failure = match send::send_attempt(
            &router,
            &routed,
            reservation,
            routed.info.last_event_id.as_deref(),
        )
        .await
        {
            Ok(response) => match relay::relay_response(&router, &routed, response).await {
                Ok(response) => return response,
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        if let Err(request_failure) = failure::handle_failure(&router, &routed, &attempt, failure) {
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
