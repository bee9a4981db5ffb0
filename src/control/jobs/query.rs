//! Queries on durable jobs.

use crate::control::jobs::job::{self, End, Job, Phase};
use crate::control::jobs::state::State;
use crate::control::shards;
use crate::ids::{ClassName, JobId, TenantId};

/// Maximum number of rows in one response.
const MAX_ROWS: usize = 1_000;

/// A query on durable jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Query {
    /// One job of a tenant, including its answer.
    Job(TenantId, JobId),
    /// A page of jobs, without their answers.
    List {
        /// The tenant whose jobs to list; `None` lists the jobs of all tenants.
        tenant: Option<TenantId>,
        /// The last row of the previous page.
        after: Option<JobId>,
        /// Requested number of rows, capped at 1,000.
        max_rows: usize,
    },
    /// The number of jobs.
    Count,
}

/// The status of a job, as reported to callers and operators.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Status {
    /// The job waits for a daemon.
    Waiting,
    /// A daemon holds a lease on the job.
    Leased,
    /// The job has ended.
    Ended(End),
    /// The job has ended with an answer, which this row omits.
    Answered,
}

/// A job as reported to callers and operators.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The id of the job.
    pub id: JobId,
    /// The tenant that submitted the job.
    pub tenant: TenantId,
    /// The priority class of the job.
    pub class: ClassName,
    /// Unix time at which the job was accepted.
    pub submitted_ms: u64,
    /// Unix time by which the job must have ended.
    pub deadline_ms: u64,
    /// Number of leases under which the job may have run.
    pub runs: u32,
    /// The status of the job.
    pub status: Status,
}

/// The response to a [`Query`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum View {
    /// One job; `None` if the tenant has no such job.
    Job(Option<Box<Row>>),
    /// A page of jobs.
    Page(Vec<Row>),
    /// The number of jobs.
    Count {
        /// Number of waiting jobs.
        waiting: usize,
        /// Number of leased jobs.
        leased: usize,
        /// Number of all jobs, including ended ones.
        all: usize,
    },
}

/// Answers a query from the state.
pub fn answer(state: &State, query: &Query) -> View {
    match query {
        Query::Job(tenant, id) => {
            let job = state.jobs().get(&job::key(id));
            let job = job.filter(|job| job.submission.tenant == *tenant);
            View::Job(job.map(|job| Box::new(build_row(job))))
        }
        Query::List { tenant, after, max_rows } => {
            let after: Option<shards::Key> = after.as_ref().map(job::key);
            let jobs = state.jobs().after(after);
            let wanted = jobs.filter(|job| {
                tenant.as_ref().is_none_or(|tenant| job.submission.tenant == *tenant)
            });
            View::Page(
                wanted.take((*max_rows).min(MAX_ROWS)).map(build_row_without_answer).collect(),
            )
        }
        Query::Count => {
            View::Count { waiting: state.waiting(), leased: state.leased(), all: state.len() }
        }
    }
}

fn build_row(job: &Job) -> Row {
    let status = match &job.phase {
        Phase::Waiting => Status::Waiting,
        Phase::Leased(_) => Status::Leased,
        Phase::Ended(end) => Status::Ended(End::clone(end)),
    };
    build_row_with_status(job, status)
}

fn build_row_without_answer(job: &Job) -> Row {
    match &job.phase {
        Phase::Ended(end) if matches!(**end, End::Answered(_)) => {
            build_row_with_status(job, Status::Answered)
        }
        _ => build_row(job),
    }
}

fn build_row_with_status(job: &Job, status: Status) -> Row {
    Row {
        id: job.submission.id.clone(),
        tenant: job.submission.tenant.clone(),
        class: job.submission.class.clone(),
        submitted_ms: job.submitted_ms,
        deadline_ms: job.submission.deadline_ms,
        runs: job.runs,
        status,
    }
}
