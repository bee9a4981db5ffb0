//! One request on its way: its route, its attempts, and its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, header};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::Rng as _;

use super::events::{self, Event};
use super::fleet::{Choice, Wish};
use super::next::{self, Case, End, Failure, Next};
use super::queue::{Ticket, Waiter};
use super::refusal::{self, Why};
use super::shared::{Seat, Shared};
use super::{Dispatch, Facts, Verdict, relay, wait};
use crate::ids::{ServiceName, TargetId};
use crate::routes::{self, Route, index};
use crate::web::client::Connection;
use crate::web::server::Answer;
use crate::web::{self, Body};

/// Time for a connection to a target.
const CONNECT_MS: u64 = 400;
/// An idle connection is used for work that must not repeat only while it is this young.
const YOUNG_MS: u64 = 1_500;
/// Share of the latency target after which an idempotent request is sent elsewhere.
const PATIENCE_SHARE: f64 = 0.7;
/// Shortest time that a target has for the answer to an idempotent request.
const MIN_PATIENCE_MS: u64 = 60;
/// A request is sent to no target when the process ends this soon: most streams would be cut off, and
/// the caller still has time to go elsewhere.
const LAST_SEND_MS: u64 = 3_000;
/// A request without an answer is answered this long before the process ends.
const LAST_ANSWER_MS: u64 = 250;
/// Pause before a request is sent again to a service that just refused it.
const AGAIN_PAUSE_MS: u64 = 15;

/// A request that has a route.
pub(super) struct Job {
    pub facts: Facts,
    pub route: Rc<Route>,
    pub service: ServiceName,
    pub method: Method,
    pub uri: http::Uri,
    pub headers: HeaderMap,
    pub body: web::intake::Held,
    pub arrived_ms: u64,
    pub end_ms: u64,
    /// Targets that failed it.
    pub avoid: std::cell::RefCell<Vec<TargetId>>,
    /// Attempts that may have run.
    pub runs: std::cell::Cell<u32>,
    /// Attempts that were sent.
    pub attempts: std::cell::Cell<u32>,
}

impl Job {
    /// Names the beginning of its prompt: all parts but its own.
    fn prompt(&self) -> Option<u64> {
        let parts = &self.facts.prompt;
        let shared = parts.len().checked_sub(2)?;
        Some(parts[shared].0)
    }

    /// Tokens of its prompt.
    pub fn tokens(&self) -> u64 {
        self.facts.prompt.iter().map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    pub fn after_ms(&self, shared: &Shared) -> u64 {
        shared.now_ms().saturating_sub(self.arrived_ms)
    }

    pub fn left_ms(&self, shared: &Shared) -> u64 {
        self.end_ms.saturating_sub(shared.now_ms())
    }

    /// Ends it without an answer of a target.
    fn give_up(&self, shared: &Shared, end: End, why: Why) -> http::Response<Body> {
        refusal::give_up(&self.facts.id, end, why, self.after_ms(shared))
    }

    /// Whether a target may still run it.
    pub fn may_run(&self) -> bool {
        self.runs.get() < self.route.max_attempts.max(1)
    }
}

/// An answer whose head has come.
pub(super) struct Attempt {
    pub seat: Seat,
    pub connection: Connection,
    pub head: http::response::Parts,
    pub body: Incoming,
    pub sent_ms: u64,
}

/// Answers one request of a caller.
pub(super) async fn serve(shared: Rc<Shared>, request: http::Request<Incoming>) -> Answer {
    let arrived_ms = shared.now_ms();
    let (head, body) = request.into_parts();
    let facts = shared.protocol.read(&head.headers);
    let refuse = |why| {
        let after_ms = shared.now_ms().saturating_sub(arrived_ms);
        Answer::Send(refusal::refuse(&facts.id, why, after_ms))
    };
    let limit_ms = wait::first_document_ms(facts.patience_ms.unwrap_or(u64::MAX));
    let Some(index) = shared.document_within(limit_ms).await else {
        return refuse(Why::NoDocument);
    };
    let Some(route) = index.find(&host(&head), head.uri.path()) else {
        return refuse(Why::NoRoute);
    };
    let patience_ms = facts.patience_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let left = Duration::from_millis((arrived_ms + patience_ms).saturating_sub(shared.now_ms()));
    let limit_bytes = index.document().limits.max_body_bytes;
    let body = match shared.intake.collect(body, limit_bytes, left).await {
        Ok(body) => body,
        Err(web::Error::TooLarge) => return refuse(Why::BodyTooLarge),
        Err(web::Error::Timeout) => return refuse(Why::BodyLate),
        Err(web::Error::Full) => return refuse(Why::BodiesFull),
        // The caller left.
        Err(_) => return Answer::Close,
    };
    let draw = rand::rng().random();
    let Some(destination) = index::destination(route, draw) else {
        return refuse(Why::NoService);
    };
    let job = Job {
        service: destination.service.clone(),
        route: Rc::new(route.clone()),
        method: head.method,
        uri: path_of(&head.uri),
        headers: head.headers,
        body,
        arrived_ms,
        end_ms: arrived_ms + patience_ms,
        avoid: std::cell::RefCell::default(),
        runs: std::cell::Cell::new(0),
        attempts: std::cell::Cell::new(0),
        facts,
    };
    admit(&shared, &job, index.document());
    let job = Rc::new(job);
    let response = tokio::select! {
        response = run(Rc::clone(&shared), Rc::clone(&job)) => response,
        () = shared.before_end(LAST_ANSWER_MS) => {
            // What is at a target now may run there.
            let end = next::give_up(job.attempts.get(), false);
            job.give_up(&shared, end, Why::Stops)
        }
    };
    Answer::Send(response)
}

fn admit(shared: &Shared, job: &Job, document: &routes::Document) {
    let is_engine = document.service(&job.service).is_some_and(|s| s.engine.is_some());
    if let Some(model) = job.facts.model.as_ref().filter(|_| is_engine) {
        shared.arrived(model);
    }
    shared.budget.borrow_mut().request(shared.now_ms(), &job.service);
    events::emit(
        &job.facts.id,
        &Event::Admitted {
            route: &job.route.name,
            document: document.version.0,
            service: job.service.as_str(),
            model: job.facts.model.as_ref().map(ToString::to_string),
            left_ms: job.left_ms(shared),
        },
    );
}

/// Sends attempts until one is answered or the request is given up.
async fn run(shared: Rc<Shared>, job: Rc<Job>) -> http::Response<Body> {
    loop {
        let seat = match seat(&shared, &job, job.arrived_ms).await {
            Ok(seat) => seat,
            Err(why) => {
                let end = next::give_up(job.runs.get(), job.left_ms(&shared) == 0);
                return job.give_up(&shared, end, why);
            }
        };
        let target = seat.target.clone();
        let sent_ms = shared.now_ms();
        let failure = match attempt(&shared, &job, seat, job.facts.last_event.as_deref()).await {
            Ok(attempt) => match relay::answer(&shared, &job, attempt).await {
                Ok(response) => return response,
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        if let Err(end) = after_failure(&shared, &job, &target, failure, sent_ms) {
            return job.give_up(&shared, end, Why::Failed(failure));
        }
        if matches!(failure, Failure::NotRun | Failure::Lacking) {
            tokio::time::sleep(Duration::from_millis(AGAIN_PAUSE_MS)).await;
        }
    }
}

/// Notes a failed attempt and decides whether there is another one.
pub(super) fn after_failure(
    shared: &Shared,
    job: &Job,
    target: &TargetId,
    failure: Failure,
    sent_ms: u64,
) -> Result<(), End> {
    let now_ms = shared.now_ms();
    note_failure(shared, job, target, failure, sent_ms);
    blame(shared, job, target, failure);
    let case = Case {
        failure,
        kind: job.route.kind,
        runs: job.runs.get(),
        max_runs: job.route.max_attempts.max(1),
        is_over: now_ms >= job.end_ms,
    };
    match next::next(&case) {
        Next::End(end) => Err(end),
        // What was not sent has not arrived anywhere, and takes nothing from the budget.
        Next::Again if matches!(failure, Failure::NotSent | Failure::Withdrawn) => Ok(()),
        Next::Again if shared.budget.borrow_mut().take(now_ms, &job.service) => Ok(()),
        Next::Again => Err(next::give_up(case.runs, case.is_over)),
    }
}

/// Tells of a failed attempt, and counts it if it may have run.
pub(super) fn note_failure(
    shared: &Shared,
    job: &Job,
    target: &TargetId,
    failure: Failure,
    sent_ms: u64,
) {
    let event = Event::AttemptFailed {
        target: target.as_str(),
        failure: events::failure(failure),
        after_ms: shared.now_ms().saturating_sub(sent_ms),
    };
    events::emit(&job.facts.id, &event);
    metrics::counter!("fescuebay_attempts_failed_total", "failure" => events::failure(failure))
        .increment(1);
    if failure.may_have_run() {
        job.runs.set(job.runs.get() + 1);
    }
}

/// Holds a failure against the target.
pub(super) fn blame(shared: &Shared, job: &Job, target: &TargetId, failure: Failure) {
    job.avoid.borrow_mut().push(target.clone());
    let mut fleet = shared.fleet.borrow_mut();
    match (failure, &job.facts.model) {
        (Failure::Lacking, Some(model)) => fleet.lacks(shared.now_ms(), target, model),
        (Failure::NotRun | Failure::Lacking | Failure::Withdrawn, _) => {}
        _ => fleet.failed(shared.now_ms(), target),
    }
}

/// Finds a place at a target, at once or after a wait that began at `since_ms`.
pub(super) async fn seat(shared: &Shared, job: &Job, since_ms: u64) -> Result<Seat, Why> {
    let avoid = job.avoid.borrow().clone();
    let wish = Wish {
        service: &job.service,
        model: job.facts.model.as_ref(),
        prompt: job.prompt(),
        avoid: &avoid,
        salt: shared.next_salt(),
    };
    let why = match shared.try_seat(&wish, job.tokens()) {
        Ok(seat) => return Ok(seat),
        Err(Choice::Paused { opens_ms }) => return Err(paused(shared, opens_ms)),
        Err(why) => why,
    };
    let limit_ms = wait::limit_ms(&wait::Case {
        why,
        kind: job.route.kind,
        latency_target_ms: job.route.latency_target_ms,
        total_ms: job.end_ms.saturating_sub(since_ms),
        learning_ms: shared.learning_ms(),
    });
    let wait_ms = (since_ms + limit_ms).saturating_sub(shared.now_ms());
    let waiter = Waiter {
        ticket: Ticket(0),
        service: job.service.clone(),
        model: job.facts.model.clone(),
        prompt: job.prompt(),
        tokens: job.tokens(),
        avoid,
        rank: job.route.rank,
        target_ms: job.arrived_ms + job.route.latency_target_ms,
    };
    let waited = shared.wait(&job.facts.id, waiter, why);
    let seat = tokio::select! {
        seat = waited => seat,
        () = tokio::time::sleep(Duration::from_millis(wait_ms)) => Err(why),
        () = shared.before_end(LAST_SEND_MS) => return Err(Why::Stops),
    };
    match seat {
        Ok(seat) => Ok(seat),
        Err(Choice::NoTarget) => Err(Why::NoTargets),
        Err(Choice::Paused { opens_ms }) => Err(paused(shared, opens_ms)),
        Err(Choice::Target(_) | Choice::Full | Choice::NoReplica) => Err(Why::NoneFree),
    }
}

fn paused(shared: &Shared, opens_ms: u64) -> Why {
    Why::Paused { opens_in_ms: opens_ms.saturating_sub(shared.now_ms()) }
}

/// Sends one attempt and waits for the head of its answer.
pub(super) async fn attempt(
    shared: &Rc<Shared>,
    job: &Job,
    seat: Seat,
    last_event: Option<&str>,
) -> Result<Attempt, Failure> {
    let mut connection = connect(shared, job, &seat).await?;
    if !shared.fleet.borrow().may_send(shared.now_ms(), &seat.target, seat.life) {
        return Err(Failure::Withdrawn);
    }
    let sent_ms = shared.now_ms();
    let left_ms = job.end_ms.saturating_sub(sent_ms);
    if left_ms == 0 {
        return Err(Failure::NotSent);
    }
    let request = request(shared, job, &seat, left_ms, last_event);
    job.attempts.set(job.attempts.get() + 1);
    events::emit(
        &job.facts.id,
        &Event::Sent {
            target: seat.target.as_str(),
            life: seat.life.0,
            attempt: job.attempts.get(),
            in_flight: seat.in_flight,
            closed: shared.fleet.borrow().closed(sent_ms, &job.service),
            table: seat.table.to_string(),
            table_age_ms: shared.table_age_ms(),
            after_ms: job.after_ms(shared),
        },
    );
    let patience = Duration::from_millis(patience_ms(shared, job, &seat, left_ms));
    let (head, body) = match tokio::time::timeout(patience, connection.send(request)).await {
        Ok(Ok(response)) => response.into_parts(),
        Ok(Err(web::Error::Connect)) => return Err(Failure::NotSent),
        Ok(Err(web::Error::Malformed)) => return Err(Failure::Foreign),
        Ok(Err(web::Error::TooLarge)) => return Err(Failure::TooLarge),
        Ok(Err(_)) => return Err(Failure::Broken),
        Err(_) => return Err(Failure::Silent),
    };
    let notice = shared.protocol.notice(head.status, &head.headers, &job.facts.id);
    shared.take_notice(&seat.target, seat.life, notice);
    match shared.protocol.judge(head.status, &head.headers, &job.facts.id) {
        Verdict::Answer => {
            Ok(Attempt { seat: answered(seat, head.status), connection, head, body, sent_ms })
        }
        Verdict::NotRun => Err(Failure::NotRun),
        Verdict::Lacking => Err(Failure::Lacking),
        Verdict::Foreign => Err(Failure::Foreign),
    }
}

/// Notes that a target answers again, unless it refuses.
fn answered(mut seat: Seat, status: http::StatusCode) -> Seat {
    if status != http::StatusCode::SERVICE_UNAVAILABLE {
        seat.note_answered();
    }
    seat
}

/// A connection that waits, or a new one.
async fn connect(shared: &Shared, job: &Job, seat: &Seat) -> Result<Connection, Failure> {
    let max_idle_ms = if job.route.kind.is_repeatable() { u64::MAX / 2 } else { YOUNG_MS };
    let now_ms = shared.now_ms();
    let kept =
        shared.pool.borrow_mut().take(now_ms, &seat.target, seat.life, seat.address, max_idle_ms);
    if let Some(connection) = kept {
        return Ok(connection);
    }
    metrics::counter!("fescuebay_target_connections_total").increment(1);
    let opened = Connection::open(shared.own_ip, seat.address, CONNECT_MS).await;
    opened.map_err(|_| Failure::NotSent)
}

fn request(
    shared: &Shared,
    job: &Job,
    seat: &Seat,
    left_ms: u64,
    last_event: Option<&str>,
) -> http::Request<Full<Bytes>> {
    let dispatch = Dispatch {
        target: &seat.target,
        address: seat.address,
        left_ms,
        rank: job.route.rank,
        last_event,
    };
    let mut request = http::Request::new(Full::new(job.body.bytes().clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = shared.protocol.forward(&job.headers, &dispatch);
    request
}

/// How long a target may take for the head of its answer. Where another target could answer an
/// idempotent request, a slow one is left early.
fn patience_ms(shared: &Shared, job: &Job, seat: &Seat, left_ms: u64) -> u64 {
    let is_idempotent = job.route.kind == routes::Kind::Idempotent;
    let has_run_left = job.runs.get() + 1 < job.route.max_attempts;
    if !is_idempotent || !has_run_left {
        return left_ms;
    }
    let avoid = [seat.target.clone()];
    let wish = Wish {
        service: &job.service,
        model: job.facts.model.as_ref(),
        prompt: None,
        avoid: &avoid,
        salt: 0,
    };
    if !shared.fleet.borrow().has_other(shared.now_ms(), &wish, &seat.target) {
        return left_ms;
    }
    let share_ms = (job.route.latency_target_ms as f64 * PATIENCE_SHARE) as u64;
    share_ms.max(MIN_PATIENCE_MS).min(left_ms)
}

/// The host that the caller names, without a port.
fn host(head: &http::request::Parts) -> String {
    let named = head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    let host = named.or_else(|| head.uri.host()).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}

/// The path and query alone, as targets expect them.
fn path_of(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| http::Uri::from_static("/"), http::Uri::from)
}
