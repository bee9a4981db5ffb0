//! The handlers of callers' requests.

use std::sync::Arc;

use axum::Json;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, header};

use crate::ids::{Digest, IdempotencyKey, ModelRef, ServiceName, TenantId};
use crate::routing::engine::{Arrival, Destination};
use crate::routing::refusal::{Refusal, RefusalCode, RunStatus};
use crate::routing::retry;
use crate::traffic::answer::{self, Answered, Whole};
use crate::traffic::call::{self, Call};
use crate::traffic::edge::{self, Inference, Stated};
use crate::traffic::once::{self, Begin, Outcome, Recorded};
use crate::traffic::policy::{Effective, Subject, Use};
use crate::traffic::shared::Shared;
use crate::traffic::{measure, problem, relay};

/// When to ask again about a call that runs under the same key.
const IN_PROGRESS_RETRY_MS: u64 = 1000;
/// When to ask again while records or the configuration are out of reach.
const UNAVAILABLE_RETRY_MS: u64 = 2000;

/// A request as read, with what the configuration says of it.
struct Prepared {
    call: Call,
    effective: Effective,
    key: Option<IdempotencyKey>,
}

fn not_run(code: RefusalCode) -> Refusal {
    Refusal::not_run(code)
}

fn later(code: RefusalCode, after_ms: u64) -> Refusal {
    retry::build_refusal(code, RunStatus::No, after_ms)
}

/// `POST /v1/chat/completions` and `POST /v1/completions`.
pub(super) async fn inference(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let prepared = prepare_inference(&shared, parts.headers, path, body).await;
    handle(&shared, prepared).await
}

/// `ANY /services/{service}/{path}`.
pub(super) async fn service(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    let prepared = prepare_service(&shared, request).await;
    handle(&shared, prepared).await
}

/// `GET /v1/models`.
pub(super) async fn models(State(shared): State<Arc<Shared>>, headers: HeaderMap) -> Response {
    #[derive(serde::Serialize)]
    struct Model {
        id: ModelRef,
        object: &'static str,
    }
    #[derive(serde::Serialize)]
    struct List {
        object: &'static str,
        data: Vec<Model>,
    }
    if let Err(refusal) = edge::caller(&shared, &headers) {
        return refused(&refusal);
    }
    let models = shared.policy.models().into_iter();
    let data = models.map(|id| Model { id, object: "model" }).collect();
    Json(List { object: "list", data }).into_response()
}

/// Any other path.
pub(super) async fn not_found() -> Response {
    refused(&not_run(RefusalCode::NotFound))
}

/// `GET /healthz`: the process runs.
pub(super) async fn healthz() -> &'static str {
    "ok\n"
}

/// `GET /readyz`: the balancer may send requests here.
pub(super) async fn readyz(State(shared): State<Arc<Shared>>) -> Response {
    if shared.is_draining() || !shared.policy.is_confirmed() {
        return (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response();
    }
    "ready\n".into_response()
}

/// `GET /metrics`.
pub(super) async fn metrics(State(shared): State<Arc<Shared>>) -> String {
    (shared.metrics_text)()
}

fn refused(refusal: &Refusal) -> Response {
    measure::refused_at_edge(refusal);
    problem::response(refusal)
}

async fn prepare_inference(
    shared: &Arc<Shared>,
    headers: HeaderMap,
    path: String,
    body: Body,
) -> Result<Prepared, Refusal> {
    let tenant = edge::caller(shared, &headers)?;
    let stated = edge::stated(&headers)?;
    let body = edge::body(&shared.limits, body).await?;
    let (mut call, effective, is_stream) =
        prepare_model(shared, tenant, &stated, &path, &headers, body)?;
    call.arrival.is_stream = is_stream;
    Ok(Prepared { call, effective, key: stated.key })
}

pub(super) fn prepare_model(
    shared: &Arc<Shared>,
    tenant: TenantId,
    stated: &Stated,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<(Call, Effective, bool), Refusal> {
    let Inference { model, is_stream, max_tokens, conversation } =
        edge::inference(&shared.limits, &tenant, &body)?;
    if !shared.policy.knows(&model) {
        return Err(not_run(RefusalCode::UnknownModel));
    }
    let digest = Digest::of(&[model.to_string().as_bytes(), &body]);
    let purpose = Use::Model(model);
    let (mut call, effective) = prepare(shared, tenant, stated, purpose, digest, headers, body)?;
    call.path = path.to_owned();
    call.arrival.max_tokens = max_tokens;
    call.arrival.conversation = conversation;
    Ok((call, effective, is_stream))
}

async fn prepare_service(shared: &Arc<Shared>, request: Request) -> Result<Prepared, Refusal> {
    let (parts, body) = request.into_parts();
    let tenant = edge::caller(shared, &parts.headers)?;
    let stated = edge::stated(&parts.headers)?;
    let (service, path) = split_path(parts.uri.path()).ok_or(not_run(RefusalCode::NotFound))?;
    let service: ServiceName = service.parse().map_err(|_| not_run(RefusalCode::UnknownService))?;
    let is_offered = !shared.table.load().serving(&service).is_empty();
    if !is_offered && !shared.policy.knows_service(&service) {
        return Err(not_run(RefusalCode::UnknownService));
    }
    let body = edge::body(&shared.limits, body).await?;
    let query = parts.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    // A target may offer several services at one address, so it is told which one.
    let target_path = format!("/services/{service}{path}{query}");
    let method = parts.method;
    let digest = Digest::of(&[
        service.as_str().as_bytes(),
        method.as_str().as_bytes(),
        target_path.as_bytes(),
        &body,
    ]);
    let purpose = Use::Service { service, method: method.clone(), path: path.to_owned() };
    let headers = &parts.headers;
    let (mut call, effective) = prepare(shared, tenant, &stated, purpose, digest, headers, body)?;
    call.path = target_path;
    call.method = method;
    Ok(Prepared { call, effective, key: stated.key })
}

/// Splits `/services/{service}/{path}` into the service and `/{path}`.
pub(super) fn split_path(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix("/services/")?;
    let end = rest.find('/').unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    Some((service, if path.is_empty() { "/" } else { path }))
}

/// Asks the configuration, and builds what the engine is told.
pub(super) fn prepare(
    shared: &Arc<Shared>,
    tenant: TenantId,
    stated: &Stated,
    purpose: Use,
    digest: Digest,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<(Call, Effective), Refusal> {
    let destination = match &purpose {
        Use::Model(model) => Destination::Model(model.clone()),
        Use::Service { service, .. } => Destination::Service(service.clone()),
    };
    let subject = Subject { tenant: tenant.clone(), class: stated.class.clone(), purpose };
    let effective = shared.policy.effective(&subject);
    if body.len() > effective.max_body_bytes {
        return Err(not_run(RefusalCode::BodyTooLarge));
    }
    if let Some(closed) = shared.poison.is_closed(&digest) {
        let after_ms = closed.until_ms.saturating_sub(shared.now_ms());
        return Err(later(RefusalCode::PoisonSuspect, after_ms));
    }
    let deadline_ms = stated.deadline_ms.unwrap_or(effective.deadline_ms);
    let arrival = Arrival {
        destination,
        tenant,
        class: effective.class.clone(),
        rank: effective.rank,
        weight: effective.weight,
        deadline_ms: shared.now_ms() + deadline_ms.min(shared.limits.deadline_ms),
        max_waiting: effective.max_waiting,
        max_in_flight: effective.max_in_flight,
        is_idempotent: effective.is_idempotent,
        is_stream: false,
        max_tokens: None,
        conversation: None,
        digest,
        is_suspect: shared.poison.is_suspect(&digest),
        body_bytes: body.len(),
    };
    let headers = edge::passed_on(headers);
    let (method, path) = (Method::POST, String::new());
    let call = Call { arrival, method, path, headers, body };
    Ok((call, effective))
}

/// Runs a request that was read, and answers it.
async fn handle(shared: &Arc<Shared>, prepared: Result<Prepared, Refusal>) -> Response {
    let prepared = match prepared {
        Ok(prepared) => prepared,
        Err(refusal) => return refused(&refusal),
    };
    let labels = prepared.call.clone();
    match run(shared, prepared).await {
        Ok(response) => response,
        Err(refusal) => {
            measure::refused(&labels, &refusal, shared.now_ms());
            problem::response(&refusal)
        }
    }
}

async fn run(shared: &Arc<Shared>, prepared: Prepared) -> Result<Response, Refusal> {
    let Prepared { call, effective, key } = prepared;
    if !effective.is_idempotent {
        if !shared.policy.is_confirmed() {
            return Err(later(RefusalCode::ConfigurationStale, UNAVAILABLE_RETRY_MS));
        }
        if key.is_none() && effective.key_required {
            return Err(not_run(RefusalCode::KeyRequired));
        }
    }
    let is_recorded = !effective.is_idempotent || effective.is_important;
    match key.filter(|_| is_recorded) {
        Some(key) => run_recorded(shared, call, key).await,
        None if !effective.is_idempotent => run_detached(shared, call, None).await,
        None if call.arrival.is_stream => run_stream(shared, call).await,
        None => {
            let answered = answer::whole(shared, &call).await?;
            Ok(answer::response(shared, &call, answered))
        }
    }
}

async fn run_stream(shared: &Arc<Shared>, call: Call) -> Result<Response, Refusal> {
    let began_ms = shared.now_ms();
    let begun = call::begin(shared, &call).await?;
    if call::is_events(&begun.answer) {
        return relay::events(shared, call, begun, began_ms).await;
    }
    let answered = answer::read(shared, &call, begun).await?;
    Ok(answer::response(shared, &call, answered))
}

/// Runs a call under its key: at most once, and its answer is given again to a resend.
async fn run_recorded(
    shared: &Arc<Shared>,
    call: Call,
    key: IdempotencyKey,
) -> Result<Response, Refusal> {
    let record = once::Call {
        tenant: call.arrival.tenant.clone(),
        key,
        digest: call.arrival.digest,
        deadline_ms: call.arrival.deadline_ms,
    };
    match shared.once.begin(record).await {
        Begin::Run(token) => run_detached(shared, call, Some(token)).await,
        Begin::Replay(recorded) => Ok(replay(recorded)),
        Begin::InProgress => {
            let mut refusal = later(RefusalCode::InProgress, IN_PROGRESS_RETRY_MS);
            refusal.ran = RunStatus::Maybe;
            Err(refusal)
        }
        Begin::MayHaveRun => {
            Err(retry::build_refusal(RefusalCode::MayHaveRun, RunStatus::Maybe, 0))
        }
        Begin::Mismatch => Err(not_run(RefusalCode::KeyMismatch)),
        Begin::Expired => Err(not_run(RefusalCode::KeyExpired)),
        Begin::Unavailable => Err(later(RefusalCode::NoRecords, UNAVAILABLE_RETRY_MS)),
    }
}

fn replay(recorded: Recorded) -> Response {
    let mut response = Response::new(Body::from(recorded.body));
    *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    if let Some(content_type) = recorded.content_type.and_then(|text| text.parse().ok()) {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    response
}

/// Runs a call in a task of its own, so that its outcome is recorded even if the caller leaves.
async fn run_detached(
    shared: &Arc<Shared>,
    mut call: Call,
    token: Option<once::Token>,
) -> Result<Response, Refusal> {
    // What is recorded is a whole answer.
    call.arrival.is_stream = false;
    let active = shared.active();
    let shared = shared.clone();
    let task = tokio::spawn(async move {
        let result = answer::whole(&shared, &call).await;
        if let Some(token) = token {
            let _ = shared.once.finish(token, outcome(&result)).await;
        }
        let response = result.map(|answered| answer::response(&shared, &call, answered));
        drop(active);
        response
    });
    match task.await {
        Ok(result) => result,
        Err(_) => Err(retry::build_refusal(RefusalCode::MayHaveRun, RunStatus::Maybe, 0)),
    }
}

fn outcome(result: &Result<Answered, Refusal>) -> Outcome {
    match result {
        Ok(Answered::Whole(whole)) => Outcome::Answered(recorded(whole)),
        // It ran, but its answer is too large to be kept.
        Ok(Answered::Large(_)) => Outcome::Unknown,
        Err(refusal) if refusal.ran == RunStatus::No => Outcome::NotRun,
        Err(_) => Outcome::Unknown,
    }
}

fn recorded(whole: &Whole) -> Recorded {
    let content_type = whole.headers.get(header::CONTENT_TYPE);
    Recorded {
        status: whole.status.as_u16(),
        content_type: content_type.and_then(|v| v.to_str().ok()).map(str::to_owned),
        body: whole.body.clone(),
    }
}

/// Runs a request that did not come over HTTP, such as a job, and returns its whole answer.
///
/// # Errors
///
/// The refusal that a caller would have got.
pub async fn execute(shared: &Arc<Shared>, call: &Call) -> Result<Whole, Refusal> {
    let _active = shared.active();
    match answer::whole(shared, call).await? {
        Answered::Whole(whole) => Ok(whole),
        Answered::Large(_) => {
            Err(retry::build_refusal(RefusalCode::BodyTooLarge, RunStatus::Maybe, 0))
        }
    }
}

/// Reads the body of an inference request as a call for [`execute`], as if a caller had sent it.
///
/// # Errors
///
/// The refusal that a caller would have got.
pub fn read_inference(
    shared: &Arc<Shared>,
    tenant: TenantId,
    stated: &Stated,
    path: &str,
    body: Bytes,
) -> Result<Call, Refusal> {
    let headers = HeaderMap::new();
    let (call, _, _) = prepare_model(shared, tenant, stated, path, &headers, body)?;
    Ok(call)
}
