//! `GET` and `DELETE /v1/jobs/{id}`: the status, the answer and the cancellation of a job.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::Body as HttpBody;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use http::{HeaderMap, HeaderValue, StatusCode, header};

use crate::control::answer::{Answer, Body};
use crate::control::jobs::{self, Cancelled, End, Status};
use crate::control::{commands, port, queries};
use crate::ids::{ClassName, JobId, TenantId};
use crate::routing::refusal::{Refusal, RefusalCode, RunStatus};
use crate::traffic::jobs::{Jobs, submit, unavailable};
use crate::traffic::problem;

/// Longest time that one request may wait for the end of a job.
const MAX_WAIT_MS: u64 = 60_000;
/// Delay between the first two polls of a job; it doubles with each poll.
const FIRST_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest delay between two polls.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The query parameters of a long poll.
#[derive(serde::Deserialize)]
pub(super) struct LongPoll {
    /// How long to wait for the end of the job.
    #[serde(default)]
    wait_ms: u64,
}

/// The JSON representation of a job for its caller.
#[derive(serde::Serialize)]
struct JobView<'a> {
    id: &'a JobId,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    class: Option<ClassName>,
    #[serde(skip_serializing_if = "Option::is_none")]
    submitted_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ran: Option<jobs::RunStatus>,
    #[serde(skip_serializing_if = "Option::is_none")]
    code: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer: Option<AnswerView>,
}

#[derive(serde::Serialize)]
struct AnswerView {
    status: u16,
    content_type: Box<str>,
    /// The body, if it is JSON or text. Any kept body is available at `/v1/jobs/{id}/answer`.
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<serde_json::Value>,
    /// Whether the body was too large to be kept.
    is_too_large: bool,
}

impl<'a> JobView<'a> {
    fn new(id: &'a JobId, status: &'static str) -> Self {
        Self {
            id,
            status,
            class: None,
            submitted_ms: None,
            deadline_ms: None,
            ran: None,
            code: None,
            reason: None,
            answer: None,
        }
    }

    fn from_end(id: &'a JobId, end: End) -> Self {
        match end {
            End::Answered(answer) => {
                Self { answer: Some(answer_view(answer)), ..Self::new(id, "answered") }
            }
            End::Refused { reason, ran } => Self {
                ran: Some(ran),
                code: Some(reason.code()),
                reason: Some(reason.to_string()),
                ..Self::new(id, "refused")
            },
            End::Cancelled { ran } => Self { ran: Some(ran), ..Self::new(id, "cancelled") },
        }
    }

    fn from_row(row: &'a jobs::Row) -> Self {
        let view = match &row.status {
            Status::Waiting => Self::new(&row.id, "waiting"),
            Status::Leased => Self::new(&row.id, "running"),
            Status::Answered => Self::new(&row.id, "answered"),
            Status::Ended(end) => Self::from_end(&row.id, end.clone()),
        };
        Self {
            class: Some(row.class.clone()),
            submitted_ms: Some(row.submitted_ms),
            deadline_ms: Some(row.deadline_ms),
            ..view
        }
    }
}

fn answer_view(answer: Answer) -> AnswerView {
    let body = match &answer.body {
        Body::Kept(bytes) => serde_json::from_slice(bytes)
            .ok()
            .or_else(|| std::str::from_utf8(bytes).ok().map(Into::into)),
        Body::TooLarge { .. } => None,
    };
    AnswerView {
        status: answer.status,
        is_too_large: matches!(answer.body, Body::TooLarge { .. }),
        content_type: answer.content_type,
        body,
    }
}

/// The response to a submission whose job has already ended.
pub(super) fn ended_response(id: &JobId, end: End) -> Response {
    Json(JobView::from_end(id, end)).into_response()
}

/// `GET /v1/jobs/{id}?wait_ms=`.
pub(super) async fn job(
    State(jobs): State<Arc<Jobs>>,
    Path(id): Path<String>,
    Query(long_poll): Query<LongPoll>,
    headers: HeaderMap,
) -> Response {
    match wait_for_end(&jobs, &id, &headers, long_poll.wait_ms).await {
        Ok(row) => Json(JobView::from_row(&row)).into_response(),
        Err(refusal) => problem::refusal_response(&refusal),
    }
}

/// `GET /v1/jobs/{id}/answer`: the answer as received from the target.
pub(super) async fn answer(
    State(jobs): State<Arc<Jobs>>,
    Path(id): Path<String>,
    Query(long_poll): Query<LongPoll>,
    headers: HeaderMap,
) -> Response {
    match wait_for_end(&jobs, &id, &headers, long_poll.wait_ms).await {
        Ok(jobs::Row { status: Status::Ended(End::Answered(answer)), .. }) => kept_response(answer),
        Ok(row) => (StatusCode::CONFLICT, Json(JobView::from_row(&row))).into_response(),
        Err(refusal) => problem::refusal_response(&refusal),
    }
}

fn kept_response(answer: Answer) -> Response {
    let Body::Kept(body) = answer.body else {
        return problem::refusal_response(&Refusal {
            code: RefusalCode::BodyTooLarge,
            ran: RunStatus::Yes,
            retry_after_ms: 0,
        });
    };
    let mut response = Response::new(HttpBody::from(body));
    *response.status_mut() = crate::web::kept_status(answer.status);
    if let Ok(content_type) = HeaderValue::from_str(&answer.content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    response
}

/// `DELETE /v1/jobs/{id}`.
pub(super) async fn cancel(
    State(jobs): State<Arc<Jobs>>,
    Path(id): Path<String>,
    headers: HeaderMap,
) -> Response {
    match cancel_job(&jobs, &id, &headers).await {
        Ok(response) => response,
        Err(refusal) => problem::refusal_response(&refusal),
    }
}

async fn cancel_job(jobs: &Jobs, id: &str, headers: &HeaderMap) -> Result<Response, Refusal> {
    let tenant = submit::authenticate(jobs, headers)?;
    let id = parse_id(id)?;
    let command = jobs::Command::Cancel { tenant: tenant.clone(), id: id.clone() };
    let outcome = jobs.log.propose(commands::Command::Jobs(command)).await;
    let Ok(commands::Outcome::Jobs(jobs::Outcome::Cancelled(cancelled))) = outcome else {
        return Err(unavailable(RunStatus::Maybe));
    };
    match cancelled {
        Cancelled::Done { ran } => {
            Ok(Json(JobView::from_end(&id, End::Cancelled { ran })).into_response())
        }
        Cancelled::AlreadyEnded => {
            let row = find_job(&*jobs.log, &tenant, &id).await?;
            Ok((StatusCode::CONFLICT, Json(JobView::from_row(&row))).into_response())
        }
        Cancelled::NotFound => Err(Refusal::not_run(RefusalCode::NotFound)),
    }
}

fn parse_id(id: &str) -> Result<JobId, Refusal> {
    id.parse().map_err(|_| Refusal::not_run(RefusalCode::NotFound))
}

/// Polls a job until it has ended or the caller's wait has timed out.
async fn wait_for_end(
    jobs: &Jobs,
    id: &str,
    headers: &HeaderMap,
    wait_ms: u64,
) -> Result<jobs::Row, Refusal> {
    let tenant = submit::authenticate(jobs, headers)?;
    let id = parse_id(id)?;
    let wait = Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
    let until = tokio::time::Instant::now() + wait;
    let mut poll_interval = FIRST_POLL_INTERVAL;
    loop {
        let row = find_job(&*jobs.log, &tenant, &id).await?;
        let has_timed_out = tokio::time::Instant::now() >= until;
        if has_timed_out || matches!(row.status, Status::Ended(_)) {
            return Ok(row);
        }
        let next = tokio::time::Instant::now() + poll_interval;
        tokio::time::sleep_until(next.min(until)).await;
        poll_interval = (poll_interval * 2).min(MAX_POLL_INTERVAL);
    }
}

async fn find_job(
    log: &dyn port::Log,
    tenant: &TenantId,
    id: &JobId,
) -> Result<jobs::Row, Refusal> {
    let query = jobs::Query::Job(tenant.clone(), id.clone());
    match log.query(queries::Query::Jobs(query)).await {
        Ok(queries::Answer::Jobs(jobs::View::Job(Some(row)))) => Ok(*row),
        Ok(queries::Answer::Jobs(jobs::View::Job(None))) => {
            Err(Refusal::not_run(RefusalCode::NotFound))
        }
        _ => Err(unavailable(RunStatus::Maybe)),
    }
}
