//! The types of one durable job: its submission, phases and end.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;

use crate::control::answer::Answer;
use crate::control::{owner, shards};
use crate::ids::{ClassName, Digest, IdempotencyKey, JobId, ModelRef, TenantId};

/// Returns the id of the job that a tenant submits under an idempotency key. Repeated submissions
/// get the same id.
pub fn id_of_key(tenant: &TenantId, key: &IdempotencyKey) -> JobId {
    let digest = Digest::of(&[b"job", tenant.as_str().as_bytes(), key.as_str().as_bytes()]);
    let text = digest.to_string();
    format!("k-{}", &text[..32]).parse().expect("hexadecimal digits are a valid name")
}

/// Returns the table key of a job.
pub(super) fn key(id: &JobId) -> shards::Key {
    shards::Key::of(&[b"job", id.as_str().as_bytes()])
}

/// The HTTP call that the job sends to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Work {
    /// The HTTP method.
    pub method: String,
    /// The path, such as `/v1/chat/completions`.
    pub path: String,
    /// The media type of the body.
    pub content_type: Box<str>,
    /// The body.
    pub body: Bytes,
    /// The requested model; `None` for a call of a service without a model.
    pub model: Option<ModelRef>,
    /// Whether the call may run more than once.
    pub is_idempotent: bool,
}

/// A job as submitted by a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Submission {
    /// The id of the job; a repeated submission carries the same id.
    pub id: JobId,
    /// The tenant that submits the job.
    pub tenant: TenantId,
    /// The priority class of the job.
    pub class: ClassName,
    /// The rank of the class; lower ranks are leased first.
    pub rank: u8,
    /// Unix time by which the job must have ended.
    pub deadline_ms: u64,
    /// Minimum expected duration of a run; no run is started later than this long before the
    /// deadline.
    pub min_run_ms: u64,
    /// Space reserved in the store for the answer body.
    pub max_answer_bytes: u64,
    /// The digest of the work.
    pub digest: Digest,
    /// The call to run.
    pub work: Work,
}

/// Whether a job may have run, in whole or in part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// The job was not run.
    No,
    /// The job may have run.
    Maybe,
}

/// The reason why a job ended as refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Reason {
    /// The job was not started early enough to complete by its deadline.
    NotInTime,
    /// The deadline passed while the job ran.
    DeadlinePassed,
    /// Too many leases ended without an answer.
    LeasesLost,
    /// Too many targets died while they ran the job.
    TargetsDied,
    /// The daemon that held the lease refused the job.
    Refused(String),
}

impl Reason {
    /// Returns the code used in counters and reports.
    pub fn code(&self) -> &'static str {
        match self {
            Self::NotInTime => "job-not-in-time",
            Self::DeadlinePassed => "job-deadline-passed",
            Self::LeasesLost => "job-leases-lost",
            Self::TargetsDied => "job-targets-died",
            Self::Refused(_) => "job-refused",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotInTime => f.write_str("it could not be begun in time for its deadline"),
            Self::DeadlinePassed => f.write_str("its deadline passed while it ran"),
            Self::LeasesLost => f.write_str("the daemons that ran it were lost too often"),
            Self::TargetsDied => f.write_str("targets died while they ran it"),
            Self::Refused(reason) => f.write_str(reason),
        }
    }
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum End {
    /// The target returned an answer.
    Answered(Answer),
    /// The job was refused.
    Refused {
        /// The reason.
        reason: Reason,
        /// Whether the job may have run.
        ran: RunStatus,
    },
    /// The caller or an operator cancelled the job.
    Cancelled {
        /// Whether the job may have run.
        ran: RunStatus,
    },
}

/// The right of a daemon incarnation to run a job until a given time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Lease {
    pub(super) owner: owner::Owner,
    /// Increases with each lease of the job, from 1.
    pub(super) number: u32,
    pub(super) until_ms: u64,
    /// The nonce of the command that granted the lease.
    pub(super) nonce: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) enum Phase {
    Waiting,
    Leased(Lease),
    Ended(Arc<End>),
}

/// A job in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Job {
    pub(super) key: shards::Key,
    /// Increases with each submission.
    pub(super) order: u64,
    pub(super) submitted_ms: u64,
    pub(super) ended_ms: u64,
    pub(super) expires_ms: u64,
    /// Number of granted leases.
    pub(super) leases: u32,
    /// Number of leases under which the job may have run.
    pub(super) runs: u32,
    pub(super) target_deaths: u32,
    pub(super) phase: Phase,
    pub(super) submission: Arc<Submission>,
}

impl Job {
    pub(super) fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    pub(super) fn ran(&self) -> RunStatus {
        if self.runs == 0 { RunStatus::No } else { RunStatus::Maybe }
    }

    /// Returns the latest time at which a run may start.
    pub(super) fn latest_start_ms(&self) -> u64 {
        self.submission.deadline_ms.saturating_sub(self.submission.min_run_ms)
    }

    /// Returns the time of the job's next timeout; `None` once the job has ended.
    pub(super) fn timer_ms(&self) -> Option<u64> {
        match &self.phase {
            Phase::Waiting => Some(self.latest_start_ms()),
            Phase::Leased(lease) => Some(lease.until_ms.min(self.submission.deadline_ms)),
            Phase::Ended(_) => None,
        }
    }

    /// Returns the bytes that count against the size limit of the store: the stored answer, or the
    /// request body and the space reserved for the answer.
    pub(super) fn stored_bytes(&self) -> u64 {
        match &self.phase {
            Phase::Ended(end) => match &**end {
                End::Answered(answer) => answer.kept_bytes(),
                _ => 0,
            },
            _ => self.submission.work.body.len() as u64 + self.submission.max_answer_bytes,
        }
    }
}

impl shards::Item for Job {
    fn key(&self) -> shards::Key {
        self.key
    }

    fn expires_ms(&self) -> u64 {
        self.expires_ms
    }
}
