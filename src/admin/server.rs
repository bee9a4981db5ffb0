//! The routes of the operators' API.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use axum::extract::rejection::{JsonRejection, PathRejection, QueryRejection};
use axum::extract::{self, DefaultBodyLimit, FromRequest, FromRequestParts, Request, State};
use axum::http::request::Parts;
use axum::http::{StatusCode, header};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Extension, Json, Router};
use error_stack::Report;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::problem::Problem;
use super::{Backend, lagging, view};
use crate::config;
use crate::ids::{self, Digest, IdempotencyKey, JobId, OperatorName, Revision, TenantId};
use crate::settings::Tokens;
use crate::units::Millis;

/// The largest body of a request.
const MAX_BODY_BYTES: usize = 8 << 20;
/// The longest wait for a revision to be in force.
const MAX_WAIT_MS: Millis = Millis(60_000);
/// The pause between two looks at the revisions in force.
const WAIT_STEP: Duration = Duration::from_millis(50);

type Result<T> = std::result::Result<T, Problem>;

/// The operators' API over `backend`, for those who have one of the operators' tokens.
pub fn router<B: Backend>(backend: Arc<B>, tokens: Tokens) -> Router {
    let routes = Router::new()
        .route("/defaults", get(defaults::<B>))
        .route("/defaults/explain", get(explain::<B>))
        .route("/exceptions", get(exceptions::<B>))
        .route("/catalogue", get(catalogue::<B>))
        .route("/changes", get(changes::<B>).post(change::<B>))
        .route("/revision", get(revision::<B>))
        .route("/targets", get(targets::<B>))
        .route("/models", get(models::<B>))
        .route("/voters", get(voters::<B>))
        .route("/voters/replace", post(replace_voter::<B>))
        .route("/report", get(report::<B>))
        .route("/records", get(records::<B>))
        .route("/records/{tenant}/{key}/settle", post(settle_record::<B>))
        .route("/jobs", get(jobs::<B>))
        .route("/jobs/{job}/cancel", post(cancel_job::<B>))
        .route("/poison", get(poison::<B>))
        .route("/poison/{digest}/lift", post(lift_poison::<B>))
        .fallback(unknown_path)
        .method_not_allowed_fallback(unknown_method)
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(middleware::from_fn_with_state(Arc::new(tokens), authenticate))
        .with_state(backend);
    Router::new().nest("/admin/v1", routes).fallback(unknown_path)
}

async fn authenticate(
    State(tokens): State<Arc<Tokens>>,
    mut request: Request,
    next: Next,
) -> Response {
    let header = request.headers().get(header::AUTHORIZATION);
    let token = header.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    match token.and_then(|token| tokens.operator(token.trim())) {
        Some(operator) => {
            let operator = operator.clone();
            request.extensions_mut().insert(operator);
            next.run(request).await
        }
        None => {
            let detail = "an operator's bearer token is needed";
            let problem = Problem::new(StatusCode::UNAUTHORIZED, "unauthorized", detail);
            ([(header::WWW_AUTHENTICATE, "Bearer")], problem).into_response()
        }
    }
}

async fn unknown_path() -> Problem {
    Problem::new(StatusCode::NOT_FOUND, "not-found", "there is no such path")
}

async fn unknown_method() -> Problem {
    let detail = "this path does not know the method";
    Problem::new(StatusCode::METHOD_NOT_ALLOWED, "method-not-allowed", detail)
}

/// A body in JSON; what cannot be read is a problem.
struct Body<T>(T);

impl<S: Send + Sync, T: DeserializeOwned> FromRequest<S> for Body<T> {
    type Rejection = Problem;

    async fn from_request(request: Request, state: &S) -> Result<Self> {
        let axum::Json(value) = axum::Json::from_request(request, state).await?;
        Ok(Self(value))
    }
}

/// The query of a path; what cannot be read is a problem.
struct Query<T>(T);

impl<S: Send + Sync, T: DeserializeOwned> FromRequestParts<S> for Query<T> {
    type Rejection = Problem;

    async fn from_request_parts(parts: &mut Parts, state: &S) -> Result<Self> {
        let extract::Query(value) = extract::Query::from_request_parts(parts, state).await?;
        Ok(Self(value))
    }
}

/// The variable parts of a path; what cannot be read is a problem.
struct Path<T>(T);

impl<S: Send + Sync, T: DeserializeOwned + Send> FromRequestParts<S> for Path<T> {
    type Rejection = Problem;

    async fn from_request_parts(parts: &mut Parts, state: &S) -> Result<Self> {
        let extract::Path(value) = extract::Path::from_request_parts(parts, state).await?;
        Ok(Self(value))
    }
}

impl From<Box<Problem>> for Problem {
    fn from(problem: Box<Problem>) -> Self {
        *problem
    }
}

impl From<JsonRejection> for Problem {
    fn from(rejection: JsonRejection) -> Self {
        Problem::new(rejection.status(), "malformed", rejection.body_text())
    }
}

impl From<QueryRejection> for Problem {
    fn from(rejection: QueryRejection) -> Self {
        Problem::new(rejection.status(), "malformed", rejection.body_text())
    }
}

impl From<PathRejection> for Problem {
    fn from(rejection: PathRejection) -> Self {
        Problem::new(rejection.status(), "malformed", rejection.body_text())
    }
}

/// The operator whose token came with a request.
type Operator = Extension<OperatorName>;

async fn defaults<B: Backend>(State(backend): State<Arc<B>>) -> Json<view::Defaults> {
    let fleet = backend.fleet();
    let line = |key: &config::Key| view::DefaultLine {
        setting: config::Setting { key: *key, value: fleet.base().get(*key) },
        is_set: fleet.defaults().get(*key).is_some(),
        help: key.help().to_owned(),
    };
    let defaults = config::Key::ALL.iter().map(line).collect();
    Json(view::Defaults { revision: fleet.revision(), defaults })
}

/// The query of an explanation.
#[derive(serde::Deserialize)]
struct ExplainQuery {
    #[serde(default)]
    scope: config::Scope,
}

async fn explain<B: Backend>(
    State(backend): State<Arc<B>>,
    Query(query): Query<ExplainQuery>,
) -> Json<view::Explanation> {
    let fleet = backend.fleet();
    let values = config::explain(&fleet, &query.scope.subject(now_ms()));
    Json(view::Explanation { revision: fleet.revision(), values })
}

async fn exceptions<B: Backend>(State(backend): State<Arc<B>>) -> Json<view::Exceptions> {
    let fleet = backend.fleet();
    let exceptions = fleet.exceptions().to_vec();
    Json(view::Exceptions { revision: fleet.revision(), exceptions })
}

async fn catalogue<B: Backend>(State(backend): State<Arc<B>>) -> Json<config::Catalogue> {
    Json(backend.fleet().catalogue().clone())
}

/// The query of the audit trail.
#[derive(serde::Deserialize)]
struct ChangesQuery {
    #[serde(default)]
    after: Revision,
    #[serde(default)]
    limit: view::Limit,
}

async fn changes<B: Backend>(
    State(backend): State<Arc<B>>,
    Query(query): Query<ChangesQuery>,
) -> Result<Json<Vec<config::Accepted>>> {
    Ok(Json(backend.changes(query.after, query.limit.0).await?))
}

async fn change<B: Backend>(
    State(backend): State<Arc<B>>,
    Extension(author): Operator,
    Body(new): Body<view::NewChange>,
) -> Result<Json<view::Made>> {
    let view::NewChange { id, base, reason, edits } = new;
    let change = config::Change { id, base, author, reason, edits };
    match backend.change(change).await? {
        config::Outcome::Accepted { revision, exceptions } => {
            Ok(Json(view::Made { revision, exceptions }))
        }
        config::Outcome::Conflict { current, since } => Err(Problem::conflict(current, since)),
        config::Outcome::Refused { problems } => Err(Problem::refused(problems)),
    }
}

/// The query of the revisions in force.
#[derive(serde::Deserialize)]
struct RevisionQuery {
    /// Wait until this revision is in force everywhere.
    at_least: Option<Revision>,
    /// The longest wait.
    #[serde(default)]
    wait_ms: Millis,
}

async fn revision<B: Backend>(
    State(backend): State<Arc<B>>,
    Query(query): Query<RevisionQuery>,
) -> Result<Json<view::Revisions>> {
    let deadline = Instant::now() + query.wait_ms.min(MAX_WAIT_MS).duration();
    loop {
        let revisions = backend.revision().await?;
        let is_in_force =
            query.at_least.is_none_or(|revision| lagging(&revisions, revision).is_empty());
        if is_in_force || Instant::now() >= deadline {
            return Ok(Json(revisions));
        }
        tokio::time::sleep(WAIT_STEP).await;
    }
}

async fn targets<B: Backend>(State(backend): State<Arc<B>>) -> Result<Json<Vec<view::Target>>> {
    Ok(Json(backend.targets().await?))
}

async fn models<B: Backend>(State(backend): State<Arc<B>>) -> Result<Json<Vec<view::Model>>> {
    Ok(Json(backend.models().await?))
}

async fn voters<B: Backend>(State(backend): State<Arc<B>>) -> Result<Json<Vec<view::Voter>>> {
    Ok(Json(backend.voters().await?))
}

async fn replace_voter<B: Backend>(
    State(backend): State<Arc<B>>,
    Body(replacement): Body<view::Replacement>,
) -> Result<StatusCode> {
    backend.replace_voter(replacement).await?;
    Ok(StatusCode::NO_CONTENT)
}

/// The query of a report.
#[derive(serde::Deserialize)]
struct ReportQuery {
    #[serde(default)]
    window: view::Window,
    #[serde(default)]
    format: view::Format,
}

async fn report<B: Backend>(
    State(backend): State<Arc<B>>,
    Query(query): Query<ReportQuery>,
) -> Result<Response> {
    let text = backend.report(query.window, query.format).await?;
    let media_type = match query.format {
        view::Format::Text => "text/plain; charset=utf-8",
        view::Format::Html => "text/html; charset=utf-8",
        view::Format::Json => "application/json",
    };
    Ok(([(header::CONTENT_TYPE, media_type)], text).into_response())
}

async fn records<B: Backend>(
    State(backend): State<Arc<B>>,
    Query(filter): Query<view::RecordFilter>,
) -> Result<Json<Vec<view::Record>>> {
    Ok(Json(backend.records(filter).await?))
}

async fn settle_record<B: Backend>(
    State(backend): State<Arc<B>>,
    Extension(author): Operator,
    Path((tenant, key)): Path<(TenantId, IdempotencyKey)>,
    Body(settlement): Body<view::Settlement>,
) -> Result<StatusCode> {
    check_reason(&settlement.reason)?;
    backend.settle_record(tenant, key, settlement, author).await?;
    Ok(StatusCode::NO_CONTENT)
}

/// The query of a list.
#[derive(serde::Deserialize)]
struct ListQuery {
    #[serde(default)]
    limit: view::Limit,
}

async fn jobs<B: Backend>(
    State(backend): State<Arc<B>>,
    Query(query): Query<ListQuery>,
) -> Result<Json<Vec<view::Job>>> {
    Ok(Json(backend.jobs(query.limit.0).await?))
}

async fn cancel_job<B: Backend>(
    State(backend): State<Arc<B>>,
    Extension(author): Operator,
    Path(job): Path<JobId>,
    Body(view::Reason { reason }): Body<view::Reason>,
) -> Result<StatusCode> {
    check_reason(&reason)?;
    backend.cancel_job(job, reason, author).await?;
    Ok(StatusCode::NO_CONTENT)
}

async fn poison<B: Backend>(State(backend): State<Arc<B>>) -> Result<Json<Vec<view::Poison>>> {
    Ok(Json(backend.poison().await?))
}

async fn lift_poison<B: Backend>(
    State(backend): State<Arc<B>>,
    Extension(author): Operator,
    Path(digest): Path<String>,
    Body(view::Reason { reason }): Body<view::Reason>,
) -> Result<StatusCode> {
    check_reason(&reason)?;
    let digest: Digest = digest.parse().map_err(|report: Report<ids::Error>| {
        let detail = report.current_context().to_string();
        Problem::new(StatusCode::BAD_REQUEST, "malformed", detail)
    })?;
    backend.lift_poison(digest, reason, author).await?;
    Ok(StatusCode::NO_CONTENT)
}

fn check_reason(reason: &str) -> std::result::Result<(), Box<Problem>> {
    let is_written = !reason.trim().is_empty();
    if is_written && reason.len() <= config::MAX_REASON_BYTES {
        return Ok(());
    }
    let what = format!("write a reason of at most {} bytes", config::MAX_REASON_BYTES);
    Err(Box::new(Problem::refused(vec![config::Problem { edit: 0, what }])))
}

/// The Unix time now.
fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
