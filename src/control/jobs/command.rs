//! Commands on durable jobs, and their outcomes.

use crate::control::answer::Answer;
use crate::control::jobs::job::{End, Ran, Submission};
use crate::control::owner;
use crate::ids::{JobId, TenantId};

/// A change of the job store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Takes a job in.
    Submit(Box<Submission>),
    /// Asks for jobs to run, the most urgent first.
    Lease {
        /// The daemon that would run them.
        owner: owner::Owner,
        /// Jobs wanted.
        max_jobs: usize,
        /// The same when the command is sent again; drawn at random.
        nonce: u64,
    },
    /// Asks for more time.
    Renew {
        /// The daemon that runs them.
        owner: owner::Owner,
        /// Jobs and the numbers of their leases.
        leases: Vec<(JobId, u32)>,
    },
    /// Tells a job's answer.
    Complete {
        /// The job.
        id: JobId,
        /// The number of the lease that it ran under.
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
        /// What happened.
        failure: Failure,
    },
    /// Ends a job at its caller's wish.
    Cancel {
        /// Whose job it is.
        tenant: TenantId,
        /// The job.
        id: JobId,
    },
}

/// How a lease ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Failure {
    /// Nothing of it was written to a target: it may be leased again.
    NotRun,
    /// The target that ran it died.
    TargetDied,
    /// It was lost in another way.
    Lost,
    /// It can't be done.
    Refused {
        /// Why, in words for the caller.
        reason: String,
        /// Whether it may have run in this lease.
        ran: Ran,
    },
}

/// What a command led to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// Of [`Command::Submit`].
    Submitted(Submitted),
    /// Of [`Command::Lease`].
    Leased(Vec<Grant>),
    /// Of [`Command::Renew`], in the order of the command.
    Renewed(Vec<Renewal>),
    /// Of [`Command::Complete`] and [`Command::Fail`].
    Completed(Completed),
    /// Of [`Command::Cancel`].
    Cancelled(Cancelled),
}

/// Whether a job was taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Submitted {
    /// It was, or had been before.
    Accepted,
    /// It had been before, and has ended.
    Ended(End),
    /// The id belongs to other work.
    Mismatch,
    /// It could not be done by its deadline.
    NotInTime,
    /// Its work or the room for its answer is over the limit.
    TooLarge,
    /// The store is full.
    Full,
    /// The tenant's share of the store is full.
    TenantFull,
}

/// The right to run a job once.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Grant {
    /// The number of the lease.
    pub lease: u32,
    /// Unix time at which it ends unless it is renewed.
    pub until_ms: u64,
    /// Targets that have died of the job.
    pub target_deaths: u32,
    /// The job.
    pub submission: Submission,
}

/// The answer to a wish for more time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Renewal {
    /// The lease lasts until this Unix time.
    Until(u64),
    /// The job is no longer this lease's: stop running it.
    Over,
}

/// Whether the end of a lease was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Completed {
    /// It was.
    Taken,
    /// The job had ended before; nothing was changed.
    AlreadyEnded,
    /// The lease was over; nothing was changed.
    LeaseOver,
    /// There is no such job.
    NotFound,
}

/// Whether a job was cancelled.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Cancelled {
    /// It is, now or since before.
    Done {
        /// Whether it may have run.
        ran: Ran,
    },
    /// It had ended in another way.
    AlreadyEnded,
    /// The tenant has no such job.
    NotFound,
}
