//! Forwards requests to another router while this one reaches no target, and handles those of others.
//!
//! A forwarded request is never forwarded again. It is sent to a second router only if the first one did certainly
//! not run it.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{StatusCode, header};
use http_body::Frame;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::attempt::RoutedRequest;
use super::events::{self, RequestEvent};
use super::proxy::RequestSource;
use super::refusal::{self, RefusalReason};
use super::retry::RequestFailure;
use super::state::RouterState;
use super::{ConnectionUse, ResponseClass, proxy, relay};
use crate::coordinator::message::{Reply, Request};
use crate::coordinator::routers::HelperQuery;
use crate::coordinator::{client::VoterClient, peer_address};
use crate::ids::{DaemonId, ServiceName};
use crate::web::client::Connection;
use crate::web::read_ahead::Caller;
use crate::web::server::Answer;
use crate::web::{self, Body};

/// Attempts that could not be sent to targets after which a request is forwarded, although others may reach
/// some.
const MAX_UNSENT_ATTEMPTS: u32 = 2;
/// Routers that are tried for one request.
const MAX_HELPERS_TRIED: usize = 3;
/// Timeout of opening a connection to another router.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Timeout of asking the leader for routers.
const ASK_TIMEOUT_MS: u64 = 300;
/// Requests that this router handles for others at once. Further ones are refused, so that its own callers
/// are served.
const MAX_FORWARDED_REQUESTS: usize = 128;
/// Time beyond the deadline of a request for the answer of the other router to arrive.
const ANSWER_MARGIN_MS: u64 = 100;

/// What came of forwarding a request.
pub(super) enum ForwardOutcome {
    /// This is the response to the caller.
    Answered(http::Response<Body>),
    /// No router could be asked, so the request certainly did not run.
    NoHelper,
}

/// What one router made of a request.
enum HelperOutcome {
    Answered(http::Response<Body>),
    /// It certainly did not run the request. The response is its refusal, if it sent one.
    NotRun(Option<http::Response<Body>>),
    /// It may have run the request.
    Failed(RequestFailure),
}

/// Whether a request is to be forwarded now.
pub(super) fn is_due(router: &RouterState, routed: &RoutedRequest) -> bool {
    let may_run = routed.possible_runs.get() == 0
        || (routed.route.kind.is_repeatable() && routed.has_attempts_left());
    let is_lost = router.reach.borrow().is_lost(&routed.service);
    let is_unsent = routed.unsent_attempts.borrow().count() >= MAX_UNSENT_ATTEMPTS;
    may_run && !routed.is_forwarded && (is_lost || is_unsent)
}

/// Forwards a request to a router that reaches targets.
pub(super) async fn forward(
    router: &Rc<RouterState>,
    routed: &Rc<RoutedRequest>,
) -> ForwardOutcome {
    find_helpers(router, &routed.service).await;
    let mut tried = Vec::new();
    let mut refusal = None;
    while tried.len() < MAX_HELPERS_TRIED && routed.remaining_ms(router) > 0 {
        let chosen = router.helpers.borrow().choose(router.now_ms(), &routed.service, &tried);
        let Some(helper) = chosen else { break };
        tried.push(helper);
        let sent_ms = router.now_ms();
        let outcome = send_to(router, routed, helper).await;
        record_outcome(router, routed, helper, sent_ms, &outcome);
        match outcome {
            HelperOutcome::Answered(response) => return ForwardOutcome::Answered(response),
            HelperOutcome::NotRun(response) => refusal = response.or(refusal),
            HelperOutcome::Failed(failure) => {
                if !may_repeat(router, routed) {
                    let response = routed.give_up(router, failure, RefusalReason::HelperFailed);
                    return ForwardOutcome::Answered(response);
                }
            }
        }
    }
    match refusal {
        Some(response) if routed.possible_runs.get() == 0 => {
            routed.refund_quota(router);
            ForwardOutcome::Answered(response)
        }
        _ => ForwardOutcome::NoHelper,
    }
}

/// Logs and counts what a router made of a request, and passes it over for a time if it did not answer.
fn record_outcome(
    router: &RouterState,
    routed: &RoutedRequest,
    helper: SocketAddr,
    sent_ms: u64,
    outcome: &HelperOutcome,
) {
    let failure = match outcome {
        HelperOutcome::Answered(_) => None,
        HelperOutcome::NotRun(_) => Some(RequestFailure::NotRun),
        HelperOutcome::Failed(failure) => Some(*failure),
    };
    let name = failure.map_or("answered", events::request_failure_name);
    metrics::counter!("fescuebay_forward_outcomes_total", "outcome" => name).increment(1);
    let Some(failure) = failure else { return };
    let now_ms = router.now_ms();
    router.helpers.borrow_mut().record_failure(now_ms, helper);
    let event = RequestEvent::AttemptFailed {
        target: &helper.ip().to_string(),
        failure: events::request_failure_name(failure),
        elapsed_ms: now_ms.saturating_sub(sent_ms),
    };
    events::emit(&routed.info.id, &event);
}

/// Notes that a router may have run a request, and whether it may be sent to another one.
fn may_repeat(router: &RouterState, routed: &RoutedRequest) -> bool {
    routed.possible_runs.set(routed.possible_runs.get() + 1);
    routed.route.kind.is_repeatable()
        && routed.has_attempts_left()
        && router.budget.borrow_mut().try_take(router.now_ms(), &routed.service)
}

/// Asks the leader which routers reach targets of a service, unless it has said so lately. If another request is
/// asking, this one waits for the answer, and for another one in case the caller of the first has left.
async fn find_helpers(router: &Rc<RouterState>, service: &ServiceName) {
    for _ in 0..2 {
        let changed = router.helpers_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if router.helpers.borrow().is_fresh(router.now_ms(), service) {
            return;
        }
        if router.helpers.borrow_mut().begin_asking(router.now_ms(), service) {
            let mut question = HelperQuestion { router, service, named: None };
            question.named = ask_leader(router, service).await;
            return;
        }
        changed.await;
    }
}

/// A question to the leader. Dropping it ends the question, also if the request that asks is dropped because its
/// caller left.
struct HelperQuestion<'a> {
    router: &'a RouterState,
    service: &'a ServiceName,
    named: Option<Vec<SocketAddr>>,
}

impl Drop for HelperQuestion<'_> {
    fn drop(&mut self) {
        let (now_ms, named) = (self.router.now_ms(), self.named.take());
        self.router.helpers.borrow_mut().end_asking(now_ms, self.service, named);
        self.router.helpers_changed.notify_waiters();
    }
}

async fn ask_leader(router: &RouterState, service: &ServiceName) -> Option<Vec<SocketAddr>> {
    let client: Rc<VoterClient> = router.voters.borrow().clone()?;
    let query = HelperQuery { service: service.clone(), zone: router.zone.clone() };
    let request = Request::FindHelpers(query);
    match client.ask_leader(&request, ASK_TIMEOUT_MS, ASK_TIMEOUT_MS).await {
        Ok(Reply::Helpers(helpers)) => {
            log::info!(service:% = service, helpers:? = helpers; "routers that reach targets");
            let address = |helper: &DaemonId| peer_address(helper, router.forward_port);
            Some(helpers.iter().filter_map(address).collect())
        }
        other => {
            log::info!(service:% = service; "no leader names routers: {:?}", other.err());
            None
        }
    }
}

/// Counts a request at a helper until it is dropped.
struct HelperUse {
    router: Rc<RouterState>,
    helper: SocketAddr,
}

impl HelperUse {
    fn begin(router: &Rc<RouterState>, helper: SocketAddr) -> Self {
        router.helpers.borrow_mut().begin_request(helper);
        Self { router: Rc::clone(router), helper }
    }
}

impl Drop for HelperUse {
    fn drop(&mut self) {
        self.router.helpers.borrow_mut().end_request(self.helper);
    }
}

async fn send_to(
    router: &Rc<RouterState>,
    routed: &Rc<RoutedRequest>,
    helper: SocketAddr,
) -> HelperOutcome {
    let helper_use = HelperUse::begin(router, helper);
    let opened = Connection::open(router.own_ip, helper, CONNECT_TIMEOUT_MS).await;
    let Ok(mut connection) = opened else { return HelperOutcome::NotRun(None) };
    let remaining_ms = routed.remaining_ms(router);
    if remaining_ms == 0 {
        return HelperOutcome::NotRun(None);
    }
    let name = helper.ip().to_string();
    events::emit(
        &routed.info.id,
        &RequestEvent::Forwarded {
            router: &name,
            is_lost: router.reach.borrow().is_lost(&routed.service),
            unsent_attempts: routed.unsent_attempts.borrow().count(),
            elapsed_ms: routed.elapsed_ms(router),
        },
    );
    metrics::counter!("fescuebay_forwarded_total").increment(1);
    routed.attempts.set(routed.attempts.get() + 1);
    let request = build_request(router, routed, remaining_ms);
    let ends_by = Instant::now() + Duration::from_millis(remaining_ms + ANSWER_MARGIN_MS);
    let (head, body) = match tokio::time::timeout_at(ends_by, connection.send(request)).await {
        Ok(Ok(response)) => response.into_parts(),
        Ok(Err(web::Error::Connect)) => return HelperOutcome::NotRun(None),
        Ok(Err(_)) => return HelperOutcome::Failed(RequestFailure::TargetFailed),
        Err(_) => return HelperOutcome::Failed(RequestFailure::TimedOut),
    };
    let id = &routed.info.id;
    let class =
        router.protocol.classify_response(head.status, &head.headers, id, ConnectionUse::First);
    match class {
        ResponseClass::Answer => {
            let first_response_ms = routed.elapsed_ms(router);
            relay::record_answer(routed, &name, head.status, first_response_ms);
            let passed_on =
                PassedOn { body, ends_by, _connection: connection, _helper_use: helper_use };
            HelperOutcome::Answered(pass_on(router, routed, head, passed_on))
        }
        ResponseClass::NotRun | ResponseClass::Misdirected | ResponseClass::Invalid => {
            own_answer(routed, router, &head)
        }
    }
}

/// What an answer of the other router itself means.
fn own_answer(
    routed: &RoutedRequest,
    router: &RouterState,
    head: &http::response::Parts,
) -> HelperOutcome {
    match head.status {
        StatusCode::BAD_GATEWAY => HelperOutcome::Failed(RequestFailure::TargetFailed),
        StatusCode::GATEWAY_TIMEOUT => HelperOutcome::Failed(RequestFailure::TimedOut),
        StatusCode::SERVICE_UNAVAILABLE => {
            let elapsed_ms = routed.elapsed_ms(router);
            let retry_after = head.headers.get(header::RETRY_AFTER).cloned();
            let reason = RefusalReason::HelperRefused;
            let mut response = refusal::refuse_unsent(&routed.info.id, reason, elapsed_ms);
            if let Some(retry_after) = retry_after {
                response.headers_mut().insert(header::RETRY_AFTER, retry_after);
            }
            HelperOutcome::NotRun(Some(response))
        }
        // Its document may be an older one.
        status if status.is_client_error() => HelperOutcome::NotRun(None),
        _ => HelperOutcome::Failed(RequestFailure::TargetFailed),
    }
}

fn build_request(
    router: &RouterState,
    routed: &RoutedRequest,
    remaining_ms: u64,
) -> http::Request<Full<Bytes>> {
    let mut request = http::Request::new(Full::new(routed.body.bytes().clone()));
    *request.method_mut() = routed.method.clone();
    *request.uri_mut() = routed.uri.clone();
    *request.headers_mut() =
        router.protocol.forwarded_headers(&routed.headers, remaining_ms, &routed.identity);
    request
}

/// A response on its way through: dropping it closes the connection, which tells the other router.
struct PassedOn {
    body: Incoming,
    /// When it has to have ended.
    ends_by: Instant,
    _connection: Connection,
    _helper_use: HelperUse,
}

impl PassedOn {
    /// The next data; it fails once the response has to have ended.
    async fn next_data(&mut self) -> Option<Result<Bytes, web::Error>> {
        let next = tokio::time::timeout_at(self.ends_by, web::next_data(&mut self.body)).await;
        let is_late = Instant::now() >= self.ends_by;
        match next {
            Ok(None) => None,
            Ok(Some(data)) if !is_late => Some(data),
            Ok(Some(_)) | Err(_) => Some(Err(web::Error::Timeout)),
        }
    }
}

/// Passes the response on as its parts arrive.
fn pass_on(
    router: &RouterState,
    routed: &RoutedRequest,
    head: http::response::Parts,
    passed_on: PassedOn,
) -> http::Response<Body> {
    let parts = stream::unfold(Some(passed_on), |passed_on| async move {
        let mut passed_on = passed_on?;
        match passed_on.next_data().await {
            Some(Ok(data)) => Some((Ok(data), Some(passed_on))),
            Some(Err(error)) => Some((Err(error), None)),
            None => None,
        }
    });
    let deadline_ms = routed.deadline_ms + ANSWER_MARGIN_MS;
    let caller = Caller { deadline_ms, ..routed.caller() };
    let body = router.held.stream(caller, &Bytes::new(), parts);
    relay::caller_response(head, body)
}

/// Counts a request of another router until it is dropped.
struct ForwardedUse(Rc<RouterState>);

impl Drop for ForwardedUse {
    fn drop(&mut self) {
        let handled = self.0.forwarded_requests.get() - 1;
        self.0.forwarded_requests.set(handled);
        metrics::gauge!("fescuebay_forwarded_requests").set(handled as f64);
    }
}

/// Handles a request that another router forwards.
pub(super) async fn handle_forwarded(
    router: Rc<RouterState>,
    request: http::Request<Incoming>,
) -> Answer {
    let handled = router.forwarded_requests.get();
    if handled >= MAX_FORWARDED_REQUESTS {
        let id = router.protocol.read_request(request.headers()).id;
        return Answer::Send(refusal::refuse_unsent(&id, RefusalReason::TooManyForwarded, 0));
    }
    router.forwarded_requests.set(handled + 1);
    metrics::gauge!("fescuebay_forwarded_requests").set((handled + 1) as f64);
    let forwarded_use = ForwardedUse(Rc::clone(&router));
    let answer = proxy::handle_request(router, request, RequestSource::Router).await;
    match answer {
        Answer::Send(response) => Answer::Send(response.map(|body| counted(body, forwarded_use))),
        Answer::Close => Answer::Close,
    }
}

/// A body that counts as a request in flight until it has ended.
fn counted(body: Body, forwarded_use: ForwardedUse) -> Body {
    Box::pin(CountedBody { body, _forwarded_use: forwarded_use })
}

struct CountedBody {
    body: Body,
    _forwarded_use: ForwardedUse,
}

impl http_body::Body for CountedBody {
    type Data = Bytes;
    type Error = web::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, web::Error>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
