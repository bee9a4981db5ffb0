//! One durable job.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;

use crate::control::answer::Answer;
use crate::control::{owner, shards};
use crate::ids::{ClassName, Digest, IdempotencyKey, JobId, ModelRef, TenantId};

/// The id of the job that a tenant submits under an idempotency key, the same each time.
pub fn id_of_key(tenant: &TenantId, key: &IdempotencyKey) -> JobId {
    let digest = Digest::of(&[b"job", tenant.as_str().as_bytes(), key.as_str().as_bytes()]);
    let text = digest.to_string();
    format!("k-{}", &text[..32]).parse().expect("hexadecimal digits are a valid name")
}

/// The place of a job in the table.
pub(super) fn key(id: &JobId) -> shards::Key {
    shards::Key::of(&[b"job", id.as_str().as_bytes()])
}

/// What is to be run: a call as a target gets it.
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
    /// The model asked for, unless it is a call of a plain service.
    pub model: Option<ModelRef>,
    /// Whether it may run again.
    pub is_idempotent: bool,
}

/// A job as it is submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Submission {
    /// The job's id, the same when it is submitted again.
    pub id: JobId,
    /// Whose job it is.
    pub tenant: TenantId,
    /// The class of the work.
    pub class: ClassName,
    /// The rank of the class: a lower number goes first.
    pub rank: u8,
    /// Unix time by which it must have ended.
    pub deadline_ms: u64,
    /// How long a run is expected to take at least; it is not begun later than that.
    pub min_run_ms: u64,
    /// Room that is set aside for the answer's body.
    pub max_answer_bytes: u64,
    /// The digest of the work.
    pub digest: Digest,
    /// What is to be run.
    pub work: Work,
}

/// Whether any of a job may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Nothing of it was run.
    No,
    /// It may have run.
    Maybe,
}

/// Why a job ended as refused.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Reason {
    /// It could not be begun early enough to be done by its deadline.
    NotInTime,
    /// Its deadline passed while it ran.
    DeadlinePassed,
    /// Its leases ended without an answer too often.
    LeasesLost,
    /// Targets died while they ran it.
    TargetsDied,
    /// The daemon that ran it refused it.
    Refused(String),
}

impl Reason {
    /// A short name for counters and reports.
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
    /// By its answer.
    Answered(Answer),
    /// Without one.
    Refused {
        /// Why.
        reason: Reason,
        /// Whether it may have run.
        ran: Ran,
    },
    /// By its caller.
    Cancelled {
        /// Whether it may have run.
        ran: Ran,
    },
}

/// A daemon's right to run a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct Lease {
    pub(super) owner: owner::Owner,
    /// Rises with each lease of the job, from 1.
    pub(super) number: u32,
    pub(super) until_ms: u64,
    /// The command that it was granted by.
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
    /// Rises with each submission.
    pub(super) order: u64,
    pub(super) submitted_ms: u64,
    pub(super) ended_ms: u64,
    pub(super) expires_ms: u64,
    /// Leases that were granted.
    pub(super) leases: u32,
    /// Leases under which it may have run.
    pub(super) runs: u32,
    pub(super) target_deaths: u32,
    pub(super) phase: Phase,
    pub(super) submission: Arc<Submission>,
}

impl Job {
    pub(super) fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended(_))
    }

    pub(super) fn ran(&self) -> Ran {
        if self.runs == 0 { Ran::No } else { Ran::Maybe }
    }

    /// The latest time at which it may begin.
    pub(super) fn latest_start_ms(&self) -> u64 {
        self.submission.deadline_ms.saturating_sub(self.submission.min_run_ms)
    }

    /// When it next needs attention, if it is not at its end.
    pub(super) fn timer_ms(&self) -> Option<u64> {
        match &self.phase {
            Phase::Waiting => Some(self.latest_start_ms()),
            Phase::Leased(lease) => Some(lease.until_ms.min(self.submission.deadline_ms)),
            Phase::Ended(_) => None,
        }
    }

    /// Bytes that it takes of the store.
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
