//! Runs a job like a direct call of its tenant.

use std::fmt;
use std::sync::Arc;

use futures::future::BoxFuture;
use http::header;

use crate::control::answer::Answer;
use crate::control::jobs::{self, Grant, shell};
use crate::routing::refusal::{Refusal, RefusalCode, RunStatus};
use crate::traffic::edge::CallerHeaders;
use crate::traffic::jobs::prepare;
use crate::traffic::response::{self, CompleteResponse, TargetResponse};
use crate::traffic::state::TrafficState;

/// Runs jobs through the traffic of a daemon.
#[derive(Clone)]
pub struct Executor {
    shared: Arc<TrafficState>,
}

impl fmt::Debug for Executor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Executor").finish_non_exhaustive()
    }
}

impl Executor {
    /// An executor that sends jobs through `shared`.
    pub fn new(shared: Arc<TrafficState>) -> Self {
        Self { shared }
    }
}

impl shell::Execute for Executor {
    fn execute(&self, grant: Grant) -> BoxFuture<'static, shell::Run> {
        let shared = Arc::clone(&self.shared);
        Box::pin(async move { run_job(&shared, grant).await })
    }
}

async fn run_job(shared: &Arc<TrafficState>, grant: Grant) -> shell::Run {
    let submission = grant.submission;
    let caller_headers = CallerHeaders {
        class: Some(submission.class),
        deadline_ms: Some(submission.deadline_ms.saturating_sub(shared.now_ms())),
        key: None,
    };
    let work = prepare::JobRequest {
        method: submission.work.method,
        path: submission.work.path,
        content_type: submission.work.content_type,
        body: submission.work.body,
    };
    let (mut call, _) =
        match prepare::prepare_call(shared, submission.tenant, &caller_headers, &work) {
            Ok(prepared) => prepared,
            Err(refusal) => return refused_run(&refusal),
        };
    // The configuration may have changed; a job keeps the values of its submission.
    call.arrival.is_idempotent = submission.work.is_idempotent;
    call.arrival.rank = submission.rank;
    // The daemon finishes the run before it stops.
    let _active = shared.track_active_work();
    match response::fetch(shared, &call).await {
        Ok(TargetResponse::Complete(response)) => shell::Run::Answered(answer_to_keep(response)),
        Ok(TargetResponse::Oversized(_)) => shell::Run::Refused {
            reason: "its answer is larger than a daemon holds".to_owned(),
            ran: jobs::RunStatus::Maybe,
        },
        Err(refusal) => refused_run(&refusal),
    }
}

fn answer_to_keep(response: CompleteResponse) -> Answer {
    let content_type = response.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
    Answer::new(response.status.as_u16(), content_type, response.body)
}

/// Converts the refusal of the call to the result of its run. After a temporary refusal the job
/// waits for another run.
fn refused_run(refusal: &Refusal) -> shell::Run {
    let ran = match refusal.ran {
        RunStatus::No => jobs::RunStatus::No,
        RunStatus::Maybe | RunStatus::Yes => jobs::RunStatus::Maybe,
    };
    match refusal.code {
        RefusalCode::TargetFailed | RefusalCode::TargetSilent if ran == jobs::RunStatus::Maybe => {
            shell::Run::TargetDied
        }
        RefusalCode::TooManyWaiting
        | RefusalCode::QueueFull
        | RefusalCode::TargetBusy
        | RefusalCode::TargetsLimited
        | RefusalCode::TargetFailed
        | RefusalCode::TargetSilent
        | RefusalCode::NotInTime
        | RefusalCode::ConfigurationStale
            if ran == jobs::RunStatus::No =>
        {
            shell::Run::NotRun
        }
        code => shell::Run::Refused { reason: code.title().to_owned(), ran },
    }
}
