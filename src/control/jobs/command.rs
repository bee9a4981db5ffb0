//! Commands on durable jobs, and their outcomes.

use crate::control::answer::Answer;
use crate::control::jobs::job::{End, RunStatus, Submission};
use crate::control::owner;
use crate::ids::{JobId, TenantId};

/// A replicated command that changes the job store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Submits a job.
    Submit(Box<Submission>),
    /// Requests leases on waiting jobs, the most urgent first.
    Lease {
        /// The daemon incarnation that will run the jobs.
        owner: owner::Owner,
        /// Maximum number of jobs to lease.
        max_jobs: usize,
        /// Drawn at random; a retry of the command carries the same nonce.
        nonce: u64,
    },
    /// Renews leases.
    Renew {
        /// The daemon incarnation that runs the jobs.
        owner: owner::Owner,
        /// The jobs and their lease numbers.
        leases: Vec<(JobId, u32)>,
    },
    /// Reports a job's answer.
    Complete {
        /// The job.
        id: JobId,
        /// The number of the lease that the job ran under.
        lease: u32,
        /// The answer.
        answer: Answer,
    },
    /// Ends a lease without an answer.
    Fail {
        /// The job.
        id: JobId,
        /// The number of the lease.
        lease: u32,
        /// How the lease ended.
        failure: Failure,
    },
    /// Cancels a job at the caller's request.
    Cancel {
        /// The tenant that submitted the job.
        tenant: TenantId,
        /// The job.
        id: JobId,
    },
}

/// How a lease ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Failure {
    /// No byte was written to a target; the job may be leased again.
    NotRun,
    /// The target that ran the job died.
    TargetDied,
    /// The run was lost for another reason.
    Lost,
    /// The job was refused and cannot be completed.
    Refused {
        /// The reason, as text for the caller.
        reason: String,
        /// Whether the job may have run under this lease.
        ran: RunStatus,
    },
}

/// The result of a [`Command`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// The result of [`Command::Submit`].
    Submitted(Submitted),
    /// The result of [`Command::Lease`].
    Leased(Vec<Grant>),
    /// The results of [`Command::Renew`], in the order of its leases.
    Renewed(Vec<Renewal>),
    /// The result of [`Command::Complete`] or [`Command::Fail`].
    Completed(Completed),
    /// The result of [`Command::Cancel`].
    Cancelled(Cancelled),
}

/// Whether a submitted job was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Submitted {
    /// The job is accepted, now or by an earlier submission.
    Accepted,
    /// The job was accepted earlier and has ended.
    Ended(End),
    /// The id is in use for other work.
    Mismatch,
    /// The job cannot complete by its deadline.
    NotInTime,
    /// The request body or the space reserved for the answer exceeds the limit.
    TooLarge,
    /// The job store is full.
    Full,
    /// The limit on jobs of the tenant is reached.
    TenantFull,
}

/// A granted lease: the right to run a job once.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Grant {
    /// The number of the lease.
    pub lease: u32,
    /// Unix time at which the lease expires unless it is renewed.
    pub until_ms: u64,
    /// Number of targets that died while they ran the job.
    pub target_deaths: u32,
    /// The job.
    pub submission: Submission,
}

/// The result of the renewal of one lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Renewal {
    /// The lease is renewed until this Unix time.
    Until(u64),
    /// The lease is no longer valid: the daemon must stop the run.
    Over,
}

/// Whether the reported end of a lease was recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Completed {
    /// The end was recorded.
    Taken,
    /// The job had already ended; nothing was changed.
    AlreadyEnded,
    /// The lease was no longer valid; nothing was changed.
    LeaseOver,
    /// No job has this id.
    NotFound,
}

/// Whether a job was cancelled.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Cancelled {
    /// The job is cancelled, now or by an earlier command.
    Done {
        /// Whether the job may have run.
        ran: RunStatus,
    },
    /// The job had already ended in another way.
    AlreadyEnded,
    /// The tenant has no such job.
    NotFound,
}
