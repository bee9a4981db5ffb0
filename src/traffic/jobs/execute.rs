//! Running the work of a job like a call of its tenant.

use std::fmt;
use std::sync::Arc;

use futures::future::BoxFuture;
use http::header;

use crate::control::answer::Answer;
use crate::control::jobs::{self, Grant, shell};
use crate::routing::refusal::{Refusal, RefusalCode, RunStatus};
use crate::traffic::answer::{self, Answered, Whole};
use crate::traffic::edge::Stated;
use crate::traffic::jobs::prepare;
use crate::traffic::shared::Shared;

/// Runs jobs through the traffic of a daemon.
#[derive(Clone)]
pub struct Executor {
    shared: Arc<Shared>,
}

impl fmt::Debug for Executor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Executor").finish_non_exhaustive()
    }
}

impl Executor {
    /// Runs jobs through `shared`.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl shell::Execute for Executor {
    fn execute(&self, grant: Grant) -> BoxFuture<'static, shell::Run> {
        let shared = Arc::clone(&self.shared);
        Box::pin(async move { run(&shared, grant).await })
    }
}

async fn run(shared: &Arc<Shared>, grant: Grant) -> shell::Run {
    let submission = grant.submission;
    let stated = Stated {
        class: Some(submission.class),
        deadline_ms: Some(submission.deadline_ms.saturating_sub(shared.now_ms())),
        key: None,
    };
    let work = prepare::Work {
        method: submission.work.method,
        path: submission.work.path,
        content_type: submission.work.content_type,
        body: submission.work.body,
    };
    let (mut call, _) = match prepare::call(shared, submission.tenant, &stated, &work) {
        Ok(prepared) => prepared,
        Err(refusal) => return refused(&refusal),
    };
    // The defaults may have changed; a job keeps what it was submitted as.
    call.arrival.is_idempotent = submission.work.is_idempotent;
    call.arrival.rank = submission.rank;
    // The daemon finishes the run before it stops.
    let _active = shared.active();
    match answer::whole(shared, &call).await {
        Ok(Answered::Whole(whole)) => shell::Run::Answered(kept(whole)),
        Ok(Answered::Large(_)) => shell::Run::Refused {
            reason: "its answer is larger than a daemon holds".to_owned(),
            ran: jobs::Ran::Maybe,
        },
        Err(refusal) => refused(&refusal),
    }
}

fn kept(whole: Whole) -> Answer {
    let content_type = whole.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
    Answer::new(whole.status.as_u16(), content_type, whole.body)
}

/// What a refusal of the call means for its job: some pass, and the job waits for that.
fn refused(refusal: &Refusal) -> shell::Run {
    let ran = match refusal.ran {
        RunStatus::No => jobs::Ran::No,
        RunStatus::Maybe | RunStatus::Yes => jobs::Ran::Maybe,
    };
    match refusal.code {
        RefusalCode::TargetFailed | RefusalCode::TargetSilent if ran == jobs::Ran::Maybe => {
            shell::Run::TargetDied
        }
        RefusalCode::TooManyWaiting
        | RefusalCode::QueueFull
        | RefusalCode::TargetBusy
        | RefusalCode::TargetFailed
        | RefusalCode::TargetSilent
        | RefusalCode::NotInTime
        | RefusalCode::ConfigurationStale
            if ran == jobs::Ran::No =>
        {
            shell::Run::NotRun
        }
        code => shell::Run::Refused { reason: code.title().to_owned(), ran },
    }
}
