//! `POST /v1/jobs`: a job is acknowledged once it is committed.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};

use crate::control::jobs::{self, Submission, Submitted};
use crate::control::{commands, port};
use crate::ids::{JobId, TenantId};
use crate::routing::refusal::{Refusal, RefusalCode, RunStatus};
use crate::routing::retry;
use crate::traffic::edge::{self, CallerHeaders};
use crate::traffic::jobs::{Jobs, prepare, unavailable, view};
use crate::traffic::problem;

/// Deadline of a job whose caller states none: results of evening jobs are read the next morning.
const DEFAULT_DEADLINE_MS: u64 = 12 * 3_600_000;
/// Shortest time that a run is assumed to take.
const MIN_RUN_MS: u64 = 1_000;
/// Storage that is reserved for the body of an answer.
const MAX_ANSWER_BYTES: u64 = 64 << 10;
/// Retry delay given to callers while the job store is full or the configuration is unconfirmed.
const RETRY_AFTER_MS: u64 = 30_000;
/// How often a submission is proposed until it is known to be committed.
const MAX_PROPOSALS: u32 = 3;
/// Delay between two proposals.
const PROPOSAL_BACKOFF: Duration = Duration::from_millis(100);

/// The request body of a job submission.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmissionBody {
    /// The path of the call, as if it were sent directly.
    path: String,
    /// The HTTP method.
    #[serde(default = "default_method")]
    method: String,
    /// The JSON body of the call.
    #[serde(default)]
    body: serde_json::Value,
}

fn default_method() -> String {
    "POST".to_owned()
}

pub(super) async fn submit(State(jobs): State<Arc<Jobs>>, request: Request) -> Response {
    match submit_job(&jobs, request).await {
        Ok(response) => response,
        Err(refusal) => problem::refusal_response(&refusal),
    }
}

async fn submit_job(jobs: &Jobs, request: Request) -> Result<Response, Refusal> {
    let (parts, body) = request.into_parts();
    let shared = jobs.shared()?;
    let tenant = edge::authenticate(&shared, &parts.headers)?;
    let caller_headers = parse_headers(&parts.headers)?;
    let body = edge::read_body(&shared.limits, body).await?;
    let work = parse_body(&body)?;
    let (call, effective) = prepare::prepare_call(&shared, tenant.clone(), &caller_headers, &work)?;
    if !effective.is_idempotent && !shared.policy.is_confirmed() {
        return Err(retry::build_refusal(
            RefusalCode::ConfigurationStale,
            RunStatus::No,
            RETRY_AFTER_MS,
        ));
    }
    if !effective.is_idempotent && effective.is_key_required && caller_headers.key.is_none() {
        return Err(Refusal::not_run(RefusalCode::KeyRequired));
    }
    let id = match &caller_headers.key {
        Some(key) => jobs::id_of_key(&tenant, key),
        None => random_id(),
    };
    let submission = Submission {
        id: id.clone(),
        tenant,
        class: effective.class,
        rank: effective.rank,
        deadline_ms: call.arrival.deadline_ms,
        min_run_ms: MIN_RUN_MS,
        max_answer_bytes: MAX_ANSWER_BYTES,
        digest: call.arrival.digest,
        work: jobs::Work {
            method: work.method,
            path: work.path,
            content_type: work.content_type,
            body: work.body,
            model: prepare::requested_model(&call),
            is_idempotent: effective.is_idempotent,
        },
    };
    let submitted = propose_submission(&*jobs.log, submission).await?;
    submission_response(&id, submitted)
}

/// Reads the caller's headers; the default deadline of a job is longer than that of a direct call.
fn parse_headers(headers: &HeaderMap) -> Result<CallerHeaders, Refusal> {
    let mut caller_headers = edge::parse_headers(headers)?;
    caller_headers.deadline_ms.get_or_insert(DEFAULT_DEADLINE_MS);
    Ok(caller_headers)
}

fn parse_body(body: &[u8]) -> Result<prepare::JobRequest, Refusal> {
    let malformed = || Refusal::not_run(RefusalCode::Malformed);
    let submission: SubmissionBody = serde_json::from_slice(body).map_err(|_| malformed())?;
    let body = match &submission.body {
        serde_json::Value::Null => Vec::new(),
        body => serde_json::to_vec(body).map_err(|_| malformed())?,
    };
    Ok(prepare::JobRequest {
        method: submission.method,
        path: submission.path,
        content_type: "application/json".into(),
        body: Bytes::from(body),
    })
}

fn random_id() -> JobId {
    let number: u128 = rand::random();
    format!("j-{number:032x}").parse().expect("hexadecimal digits are a valid name")
}

/// Proposes a submission until it is committed. Each proposal has the same id, so that the job is
/// accepted once.
async fn propose_submission(
    log: &dyn port::Log,
    submission: Submission,
) -> Result<Submitted, Refusal> {
    let mut ran = RunStatus::No;
    for _ in 0..MAX_PROPOSALS {
        let command = jobs::Command::Submit(Box::new(submission.clone()));
        match log.propose(commands::Command::Jobs(command)).await {
            Ok(commands::Outcome::Jobs(jobs::Outcome::Submitted(submitted))) => {
                return Ok(submitted);
            }
            Ok(_) => ran = RunStatus::Maybe,
            Err(report) if report.current_context().outcome == port::ProposalOutcome::Unknown => {
                ran = RunStatus::Maybe;
            }
            Err(_) => {}
        }
        tokio::time::sleep(PROPOSAL_BACKOFF).await;
    }
    Err(unavailable(ran))
}

fn submission_response(id: &JobId, submitted: Submitted) -> Result<Response, Refusal> {
    let retry_later = |code| Err(retry::build_refusal(code, RunStatus::No, RETRY_AFTER_MS));
    match submitted {
        Submitted::Accepted => Ok(accepted_response(id)),
        Submitted::Ended(end) => Ok(view::ended_response(id, end)),
        Submitted::Mismatch => Err(Refusal::not_run(RefusalCode::KeyMismatch)),
        Submitted::NotInTime => Err(Refusal::not_run(RefusalCode::NotInTime)),
        Submitted::TooLarge => Err(Refusal::not_run(RefusalCode::BodyTooLarge)),
        Submitted::Full => retry_later(RefusalCode::QueueFull),
        Submitted::TenantFull => retry_later(RefusalCode::TooManyWaiting),
    }
}

fn accepted_response(id: &JobId) -> Response {
    #[derive(serde::Serialize)]
    struct Accepted<'a> {
        id: &'a JobId,
        status: &'static str,
    }
    let location = format!("/v1/jobs/{id}");
    let body = Json(Accepted { id, status: "accepted" });
    (StatusCode::ACCEPTED, [(header::LOCATION, location)], body).into_response()
}

/// Returns the tenant of a request.
pub(super) fn authenticate(jobs: &Jobs, headers: &HeaderMap) -> Result<TenantId, Refusal> {
    edge::authenticate(&*jobs.shared()?, headers)
}
