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
use crate::traffic::edge::{self, Stated};
use crate::traffic::jobs::{Jobs, prepare, unavailable, view};
use crate::traffic::problem;

/// Time for a job whose caller states no deadline: work of one evening is read next morning.
const DEADLINE_MS: u64 = 12 * 3_600_000;
/// Time that any run takes at least.
const MIN_RUN_MS: u64 = 1_000;
/// Room that is set aside for the body of an answer.
const ANSWER_BYTES: u64 = 64 << 10;
/// When to ask again for room in the store.
const FULL_RETRY_MS: u64 = 30_000;
/// Times that a submission is proposed while it is unknown whether it was committed.
const TRIES: u32 = 3;
/// Wait between two tries.
const PAUSE: Duration = Duration::from_millis(100);

/// A job as a caller sends it.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Wanted {
    /// The path that the call would have without a job.
    path: String,
    /// The HTTP method.
    #[serde(default = "post")]
    method: String,
    /// The JSON body of the call.
    #[serde(default)]
    body: serde_json::Value,
}

fn post() -> String {
    "POST".to_owned()
}

pub(super) async fn submit(State(jobs): State<Arc<Jobs>>, request: Request) -> Response {
    match accept(&jobs, request).await {
        Ok(response) => response,
        Err(refusal) => problem::response(&refusal),
    }
}

async fn accept(jobs: &Jobs, request: Request) -> Result<Response, Refusal> {
    let (parts, body) = request.into_parts();
    let shared = jobs.shared()?;
    let tenant = edge::caller(&shared, &parts.headers)?;
    let stated = stated(&parts.headers)?;
    let body = edge::body(&shared.limits, body).await?;
    let work = read(&body)?;
    let (call, effective) = prepare::call(&shared, tenant.clone(), &stated, &work)?;
    if !effective.is_idempotent && !shared.policy.is_confirmed() {
        return Err(retry::build_refusal(
            RefusalCode::ConfigurationStale,
            RunStatus::No,
            FULL_RETRY_MS,
        ));
    }
    if !effective.is_idempotent && effective.key_required && stated.key.is_none() {
        return Err(Refusal::not_run(RefusalCode::KeyRequired));
    }
    let id = match &stated.key {
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
        max_answer_bytes: ANSWER_BYTES,
        digest: call.arrival.digest,
        work: jobs::Work {
            method: work.method,
            path: work.path,
            content_type: work.content_type,
            body: work.body,
            model: prepare::model(&call),
            is_idempotent: effective.is_idempotent,
        },
    };
    let submitted = propose(&*jobs.log, submission).await?;
    answered(&id, submitted)
}

/// What the caller states; a job has more time than a call that its caller waits for.
fn stated(headers: &HeaderMap) -> Result<Stated, Refusal> {
    let mut stated = edge::stated(headers)?;
    stated.deadline_ms.get_or_insert(DEADLINE_MS);
    Ok(stated)
}

fn read(body: &[u8]) -> Result<prepare::Work, Refusal> {
    let malformed = || Refusal::not_run(RefusalCode::Malformed);
    let wanted: Wanted = serde_json::from_slice(body).map_err(|_| malformed())?;
    let body = match &wanted.body {
        serde_json::Value::Null => Vec::new(),
        body => serde_json::to_vec(body).map_err(|_| malformed())?,
    };
    Ok(prepare::Work {
        method: wanted.method,
        path: wanted.path,
        content_type: "application/json".into(),
        body: Bytes::from(body),
    })
}

fn random_id() -> JobId {
    let number: u128 = rand::random();
    format!("j-{number:032x}").parse().expect("hexadecimal digits are a valid name")
}

/// Commits a submission. Its id is the same each time, so that it is taken in once.
async fn propose(log: &dyn port::Log, submission: Submission) -> Result<Submitted, Refusal> {
    let mut ran = RunStatus::No;
    for _ in 0..TRIES {
        let command = jobs::Command::Submit(Box::new(submission.clone()));
        match log.propose(commands::Command::Jobs(command)).await {
            Ok(commands::Outcome::Jobs(jobs::Outcome::Submitted(submitted))) => {
                return Ok(submitted);
            }
            Ok(_) => ran = RunStatus::Maybe,
            Err(report) if report.current_context().fate == port::Fate::Unknown => {
                ran = RunStatus::Maybe;
            }
            Err(_) => {}
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(unavailable(ran))
}

fn answered(id: &JobId, submitted: Submitted) -> Result<Response, Refusal> {
    let later = |code| Err(retry::build_refusal(code, RunStatus::No, FULL_RETRY_MS));
    match submitted {
        Submitted::Accepted => Ok(accepted(id)),
        Submitted::Ended(end) => Ok(view::ended(id, end)),
        Submitted::Mismatch => Err(Refusal::not_run(RefusalCode::KeyMismatch)),
        Submitted::NotInTime => Err(Refusal::not_run(RefusalCode::NotInTime)),
        Submitted::TooLarge => Err(Refusal::not_run(RefusalCode::BodyTooLarge)),
        Submitted::Full => later(RefusalCode::QueueFull),
        Submitted::TenantFull => later(RefusalCode::TooManyWaiting),
    }
}

fn accepted(id: &JobId) -> Response {
    #[derive(serde::Serialize)]
    struct Accepted<'a> {
        id: &'a JobId,
        status: &'static str,
    }
    let location = format!("/v1/jobs/{id}");
    let body = Json(Accepted { id, status: "accepted" });
    (StatusCode::ACCEPTED, [(header::LOCATION, location)], body).into_response()
}

/// The tenant that asks for a job, and the traffic of this daemon.
pub(super) fn caller(jobs: &Jobs, headers: &HeaderMap) -> Result<TenantId, Refusal> {
    edge::caller(&*jobs.shared()?, headers)
}
