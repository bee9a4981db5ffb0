//! The HTTP handlers for callers.

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
use crate::traffic::call::{self, Call};
use crate::traffic::edge::{self, CallerHeaders, InferenceRequest};
use crate::traffic::idempotency::{self, BeginOutcome, CallOutcome, RecordedResponse};
use crate::traffic::policy::{EffectivePolicy, PolicyQuery, RequestPurpose};
use crate::traffic::response::{self, CompleteResponse, TargetResponse};
use crate::traffic::state::TrafficState;
use crate::traffic::{measure, problem, relay};

/// Retry delay given while a call with the same key is running.
const IN_PROGRESS_RETRY_MS: u64 = 1000;
/// Retry delay given while records or the configuration are unavailable.
const UNAVAILABLE_RETRY_MS: u64 = 2000;

/// A parsed request with the settings that apply to it.
struct PreparedRequest {
    call: Call,
    effective: EffectivePolicy,
    key: Option<IdempotencyKey>,
}

fn not_run(code: RefusalCode) -> Refusal {
    Refusal::not_run(code)
}

fn retry_later(code: RefusalCode, after_ms: u64) -> Refusal {
    retry::build_refusal(code, RunStatus::No, after_ms)
}

/// `POST /v1/chat/completions` and `POST /v1/completions`.
pub(super) async fn inference(
    State(shared): State<Arc<TrafficState>>,
    request: Request,
) -> Response {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let prepared = prepare_inference(&shared, parts.headers, path, body).await;
    respond(&shared, prepared).await
}

/// `ANY /services/{service}/{path}`.
pub(super) async fn service(State(shared): State<Arc<TrafficState>>, request: Request) -> Response {
    let prepared = prepare_service(&shared, request).await;
    respond(&shared, prepared).await
}

/// `GET /v1/models`.
pub(super) async fn models(
    State(shared): State<Arc<TrafficState>>,
    headers: HeaderMap,
) -> Response {
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
    if let Err(refusal) = edge::authenticate(&shared, &headers) {
        return refusal_response(&refusal);
    }
    let models = shared.policy.models().into_iter();
    let data = models.map(|id| Model { id, object: "model" }).collect();
    Json(List { object: "list", data }).into_response()
}

/// Any other path.
pub(super) async fn not_found() -> Response {
    refusal_response(&not_run(RefusalCode::NotFound))
}

/// `GET /healthz`: the liveness check.
pub(super) async fn healthz() -> &'static str {
    "ok\n"
}

/// `GET /readyz`: the readiness check of the load balancer.
pub(super) async fn readyz(State(shared): State<Arc<TrafficState>>) -> Response {
    if shared.is_draining() || !shared.policy.is_confirmed() {
        return (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response();
    }
    "ready\n".into_response()
}

/// `GET /metrics`.
pub(super) async fn metrics(State(shared): State<Arc<TrafficState>>) -> String {
    (shared.metrics_text)()
}

fn refusal_response(refusal: &Refusal) -> Response {
    measure::count_edge_refusal(refusal);
    problem::refusal_response(refusal)
}

async fn prepare_inference(
    shared: &Arc<TrafficState>,
    headers: HeaderMap,
    path: String,
    body: Body,
) -> Result<PreparedRequest, Refusal> {
    let tenant = edge::authenticate(shared, &headers)?;
    let caller_headers = edge::parse_headers(&headers)?;
    let body = edge::read_body(&shared.limits, body).await?;
    let (mut call, effective, is_stream) =
        prepare_model(shared, tenant, &caller_headers, &path, &headers, body)?;
    call.arrival.is_stream = is_stream;
    Ok(PreparedRequest { call, effective, key: caller_headers.key })
}

pub(super) fn prepare_model(
    shared: &Arc<TrafficState>,
    tenant: TenantId,
    caller_headers: &CallerHeaders,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<(Call, EffectivePolicy, bool), Refusal> {
    let InferenceRequest { model, is_stream, max_tokens, conversation } =
        edge::parse_inference(&shared.limits, &tenant, &body)?;
    if !shared.policy.is_model_configured(&model) {
        return Err(not_run(RefusalCode::UnknownModel));
    }
    let digest = Digest::of(&[model.to_string().as_bytes(), &body]);
    let purpose = RequestPurpose::Model(model);
    let (mut call, effective) =
        prepare(shared, tenant, caller_headers, purpose, digest, headers, body)?;
    call.path = path.to_owned();
    call.arrival.max_tokens = max_tokens;
    call.arrival.conversation = conversation;
    Ok((call, effective, is_stream))
}

async fn prepare_service(
    shared: &Arc<TrafficState>,
    request: Request,
) -> Result<PreparedRequest, Refusal> {
    let (parts, body) = request.into_parts();
    let tenant = edge::authenticate(shared, &parts.headers)?;
    let caller_headers = edge::parse_headers(&parts.headers)?;
    let (service, path) =
        split_service_path(parts.uri.path()).ok_or(not_run(RefusalCode::NotFound))?;
    let service: ServiceName = service.parse().map_err(|_| not_run(RefusalCode::UnknownService))?;
    let is_offered = !shared.table.load().serving(&service).is_empty();
    if !is_offered && !shared.policy.is_service_configured(&service) {
        return Err(not_run(RefusalCode::UnknownService));
    }
    let body = edge::read_body(&shared.limits, body).await?;
    let query = parts.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    // A target may offer several services at one address, so the path keeps the service name.
    let target_path = format!("/services/{service}{path}{query}");
    let method = parts.method;
    let digest = Digest::of(&[
        service.as_str().as_bytes(),
        method.as_str().as_bytes(),
        target_path.as_bytes(),
        &body,
    ]);
    let purpose =
        RequestPurpose::Service { service, method: method.clone(), path: path.to_owned() };
    let headers = &parts.headers;
    let (mut call, effective) =
        prepare(shared, tenant, &caller_headers, purpose, digest, headers, body)?;
    call.path = target_path;
    call.method = method;
    Ok(PreparedRequest { call, effective, key: caller_headers.key })
}

/// Splits `/services/{service}/{path}` into the service and `/{path}`.
pub(super) fn split_service_path(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix("/services/")?;
    let end = rest.find('/').unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    Some((service, if path.is_empty() { "/" } else { path }))
}

/// Looks up the settings of a request and builds its call.
pub(super) fn prepare(
    shared: &Arc<TrafficState>,
    tenant: TenantId,
    caller_headers: &CallerHeaders,
    purpose: RequestPurpose,
    digest: Digest,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<(Call, EffectivePolicy), Refusal> {
    let destination = match &purpose {
        RequestPurpose::Model(model) => Destination::Model(model.clone()),
        RequestPurpose::Service { service, .. } => Destination::Service(service.clone()),
    };
    let subject =
        PolicyQuery { tenant: tenant.clone(), class: caller_headers.class.clone(), purpose };
    let effective = shared.policy.effective_policy(&subject);
    if body.len() > effective.max_body_bytes {
        return Err(not_run(RefusalCode::BodyTooLarge));
    }
    if let Some(closed) = shared.poison.find_closed(&digest) {
        let after_ms = closed.until_ms.saturating_sub(shared.now_ms());
        return Err(retry_later(RefusalCode::PoisonSuspect, after_ms));
    }
    let deadline_ms = caller_headers.deadline_ms.unwrap_or(effective.deadline_ms);
    let arrival = Arrival {
        destination,
        tenant,
        class: effective.class.clone(),
        rank: effective.rank,
        weight: effective.weight,
        deadline_ms: shared.now_ms() + deadline_ms.min(shared.limits.max_deadline_ms),
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
    let headers = edge::end_to_end_headers(headers);
    let (method, path) = (Method::POST, String::new());
    let call = Call { arrival, method, path, headers, body };
    Ok((call, effective))
}

/// Runs a prepared request and returns its response or refusal.
async fn respond(
    shared: &Arc<TrafficState>,
    prepared: Result<PreparedRequest, Refusal>,
) -> Response {
    let prepared = match prepared {
        Ok(prepared) => prepared,
        Err(refusal) => return refusal_response(&refusal),
    };
    let labels = prepared.call.clone();
    match run_request(shared, prepared).await {
        Ok(response) => response,
        Err(refusal) => {
            measure::count_refusal(&labels, &refusal, shared.now_ms());
            problem::refusal_response(&refusal)
        }
    }
}

async fn run_request(
    shared: &Arc<TrafficState>,
    prepared: PreparedRequest,
) -> Result<Response, Refusal> {
    let PreparedRequest { call, effective, key } = prepared;
    if !effective.is_idempotent {
        if !shared.policy.is_confirmed() {
            return Err(retry_later(RefusalCode::ConfigurationStale, UNAVAILABLE_RETRY_MS));
        }
        if key.is_none() && effective.is_key_required {
            return Err(not_run(RefusalCode::KeyRequired));
        }
    }
    let is_recorded = !effective.is_idempotent || effective.is_important;
    match key.filter(|_| is_recorded) {
        Some(key) => run_idempotent(shared, call, key).await,
        None if !effective.is_idempotent => run_detached(shared, call, None).await,
        None if call.arrival.is_stream => run_stream(shared, call).await,
        None => {
            let answered = response::fetch(shared, &call).await?;
            Ok(response::into_http(shared, &call, answered))
        }
    }
}

async fn run_stream(shared: &Arc<TrafficState>, call: Call) -> Result<Response, Refusal> {
    let began_ms = shared.now_ms();
    let started = call::start(shared, &call).await?;
    if call::is_event_stream(&started.answer) {
        return relay::relay_events(shared, call, started, began_ms).await;
    }
    let answered = response::read_body(shared, &call, started).await?;
    Ok(response::into_http(shared, &call, answered))
}

/// Runs a call with an idempotency key: at most once, and a retry gets the recorded response.
async fn run_idempotent(
    shared: &Arc<TrafficState>,
    call: Call,
    key: IdempotencyKey,
) -> Result<Response, Refusal> {
    let record = idempotency::IdempotentCall {
        tenant: call.arrival.tenant.clone(),
        key,
        digest: call.arrival.digest,
        deadline_ms: call.arrival.deadline_ms,
    };
    match shared.idempotency_records.begin(record).await {
        BeginOutcome::Run(token) => run_detached(shared, call, Some(token)).await,
        BeginOutcome::Replay(recorded) => Ok(replay(recorded)),
        BeginOutcome::InProgress => {
            let mut refusal = retry_later(RefusalCode::InProgress, IN_PROGRESS_RETRY_MS);
            refusal.ran = RunStatus::Maybe;
            Err(refusal)
        }
        BeginOutcome::MayHaveRun => {
            Err(retry::build_refusal(RefusalCode::MayHaveRun, RunStatus::Maybe, 0))
        }
        BeginOutcome::Mismatch => Err(not_run(RefusalCode::KeyMismatch)),
        BeginOutcome::Expired => Err(not_run(RefusalCode::KeyExpired)),
        BeginOutcome::Unavailable => Err(retry_later(RefusalCode::NoRecords, UNAVAILABLE_RETRY_MS)),
    }
}

fn replay(recorded: RecordedResponse) -> Response {
    let mut response = Response::new(Body::from(recorded.body));
    *response.status_mut() = crate::web::kept_status(recorded.status);
    if let Some(content_type) = recorded.content_type.and_then(|text| text.parse().ok()) {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    response
}

/// Runs a call in a separate task, so that its outcome is recorded even if the caller disconnects.
async fn run_detached(
    shared: &Arc<TrafficState>,
    mut call: Call,
    token: Option<idempotency::RecordToken>,
) -> Result<Response, Refusal> {
    // Only a complete response can be recorded.
    call.arrival.is_stream = false;
    let active = shared.track_active_work();
    let shared = shared.clone();
    let task = tokio::spawn(async move {
        let result = response::fetch(&shared, &call).await;
        if let Some(token) = token {
            let _ = shared.idempotency_records.finish(token, call_outcome(&result)).await;
        }
        let response = result.map(|answered| response::into_http(&shared, &call, answered));
        drop(active);
        response
    });
    match task.await {
        Ok(result) => result,
        Err(_) => Err(retry::build_refusal(RefusalCode::MayHaveRun, RunStatus::Maybe, 0)),
    }
}

fn call_outcome(result: &Result<TargetResponse, Refusal>) -> CallOutcome {
    match result {
        Ok(TargetResponse::Complete(response)) => CallOutcome::Answered(record_response(response)),
        // The call ran, but its response is too large to be recorded.
        Ok(TargetResponse::Oversized(_)) => CallOutcome::Unknown,
        Err(refusal) if refusal.ran == RunStatus::No => CallOutcome::NotRun,
        Err(_) => CallOutcome::Unknown,
    }
}

fn record_response(response: &CompleteResponse) -> RecordedResponse {
    let content_type = response.headers.get(header::CONTENT_TYPE);
    RecordedResponse {
        status: response.status.as_u16(),
        content_type: content_type.and_then(|v| v.to_str().ok()).map(str::to_owned),
        body: response.body.clone(),
    }
}

/// Runs a request that did not arrive over HTTP, and returns its complete response.
///
/// # Errors
///
/// The refusal that a caller over HTTP would get.
pub async fn execute(shared: &Arc<TrafficState>, call: &Call) -> Result<CompleteResponse, Refusal> {
    let _active = shared.track_active_work();
    match response::fetch(shared, call).await? {
        TargetResponse::Complete(response) => Ok(response),
        TargetResponse::Oversized(_) => {
            Err(retry::build_refusal(RefusalCode::BodyTooLarge, RunStatus::Maybe, 0))
        }
    }
}

/// Parses the body of an inference request into a call for [`execute`].
///
/// # Errors
///
/// The refusal that a caller over HTTP would get.
pub fn prepare_inference_call(
    shared: &Arc<TrafficState>,
    tenant: TenantId,
    caller_headers: &CallerHeaders,
    path: &str,
    body: Bytes,
) -> Result<Call, Refusal> {
    let headers = HeaderMap::new();
    let (call, _, _) = prepare_model(shared, tenant, caller_headers, path, &headers, body)?;
    Ok(call)
}
