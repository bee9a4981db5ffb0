//! Queries on durable jobs.

use crate::control::jobs::job::{self, End, Job, Phase};
use crate::control::jobs::state::State;
use crate::control::shards;
use crate::ids::{ClassName, JobId, TenantId};

/// Most rows in one answer.
const MAX_ROWS: usize = 1_000;

/// A question about durable jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Query {
    /// One job of a tenant, with its end.
    Job(TenantId, JobId),
    /// A page of jobs, without their answers.
    List {
        /// Whose jobs are wanted; all, if none is named.
        tenant: Option<TenantId>,
        /// The last row of the page before.
        after: Option<JobId>,
        /// Rows wanted, at most 1,000.
        max_rows: usize,
    },
    /// How many jobs there are.
    Count,
}

/// How far a job is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Status {
    /// It waits for a daemon.
    Waiting,
    /// A daemon runs it.
    Leased,
    /// It has ended.
    Ended(End),
    /// It has ended by an answer that is not shown here.
    Answered,
}

/// A job as callers and operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The job.
    pub id: JobId,
    /// Whose it is.
    pub tenant: TenantId,
    /// The class of its work.
    pub class: ClassName,
    /// Unix time at which it was taken in.
    pub submitted_ms: u64,
    /// Unix time by which it must have ended.
    pub deadline_ms: u64,
    /// Leases under which it may have run.
    pub runs: u32,
    /// How far it is.
    pub status: Status,
}

/// The answer to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum View {
    /// One job, if the tenant has it.
    Job(Option<Box<Row>>),
    /// A page of jobs.
    Page(Vec<Row>),
    /// How many jobs there are.
    Count {
        /// Jobs that wait.
        waiting: usize,
        /// Jobs that are leased.
        leased: usize,
        /// All jobs, ended ones too.
        all: usize,
    },
}

/// Answers a query.
pub fn answer(state: &State, query: &Query) -> View {
    match query {
        Query::Job(tenant, id) => {
            let job = state.jobs().get(&job::key(id));
            let job = job.filter(|job| job.submission.tenant == *tenant);
            View::Job(job.map(|job| Box::new(row(job))))
        }
        Query::List { tenant, after, max_rows } => {
            let after: Option<shards::Key> = after.as_ref().map(job::key);
            let jobs = state.jobs().after(after);
            let wanted = jobs.filter(|job| {
                tenant.as_ref().is_none_or(|tenant| job.submission.tenant == *tenant)
            });
            View::Page(wanted.take((*max_rows).min(MAX_ROWS)).map(short_row).collect())
        }
        Query::Count => {
            View::Count { waiting: state.waiting(), leased: state.leased(), all: state.len() }
        }
    }
}

fn row(job: &Job) -> Row {
    let status = match &job.phase {
        Phase::Waiting => Status::Waiting,
        Phase::Leased(_) => Status::Leased,
        Phase::Ended(end) => Status::Ended(End::clone(end)),
    };
    row_as(job, status)
}

fn short_row(job: &Job) -> Row {
    match &job.phase {
        Phase::Ended(end) if matches!(**end, End::Answered(_)) => row_as(job, Status::Answered),
        _ => row(job),
    }
}

fn row_as(job: &Job, status: Status) -> Row {
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
