//! The replicated job store and the commands that change it.

use std::sync::Arc;

use bytes::Bytes;

use crate::control::answer::Answer;
use crate::control::jobs::command::{
    Cancelled, Command, Completed, Failure, Grant, Outcome, Renewal, Submitted,
};
use crate::control::jobs::index::Index;
use crate::control::jobs::job::{self, End, Job, Lease, Phase, Reason, RunStatus, Submission};
use crate::control::jobs::limits::Limits;
use crate::control::machine::Context;
use crate::control::{owner, shards};
use crate::ids::{JobId, TenantId};

/// Number of shards of the table that one tick sweeps.
const SWEPT_SHARDS: usize = 256;
/// Total size of request bodies in one grant, after which no further job is added.
const MAX_GRANTED_BYTES: usize = 4 << 20;
/// Maximum number of expired timers that one command handles.
const MAX_EXPIRED_TIMERS: usize = 1_000;

/// The durable jobs.
#[derive(Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    limits: Limits,
    jobs: shards::Table<Job>,
    next_order: u64,
    #[serde(skip)]
    index: Index,
    #[serde(skip)]
    refused: Vec<&'static str>,
}

impl State {
    /// Returns the limits in force.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the number of jobs that wait for a daemon.
    pub fn waiting(&self) -> usize {
        self.index.waiting.len()
    }

    /// Returns the number of leased jobs.
    pub fn leased(&self) -> usize {
        self.index.leases.len()
    }

    /// Returns the number of jobs, including ended ones.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    pub(super) fn jobs(&self) -> &shards::Table<Job> {
        &self.jobs
    }

    /// Takes the reason codes of the jobs that were refused since the last call.
    pub fn take_refused(&mut self) -> Vec<&'static str> {
        std::mem::take(&mut self.refused)
    }

    /// Returns a cheap copy to encode into a snapshot. It omits the indexes that
    /// [`State::rebuild_indexes`] restores.
    pub fn snapshot_copy(&self) -> Self {
        Self {
            limits: self.limits.clone(),
            jobs: self.jobs.clone(),
            next_order: self.next_order,
            ..Self::default()
        }
    }

    /// Handles expired timers, then applies a command.
    pub fn apply(&mut self, context: &Context<'_>, command: Command) -> Outcome {
        self.handle_expired_timers(context);
        match command {
            Command::Submit(submission) => Outcome::Submitted(self.submit(context, *submission)),
            Command::Lease { owner, max_jobs, nonce } => {
                Outcome::Leased(self.lease(context, &owner, max_jobs, nonce))
            }
            Command::Renew { owner, leases } => {
                let renew = |(id, lease): &(JobId, u32)| self.renew(context, &owner, id, *lease);
                Outcome::Renewed(leases.iter().map(renew).collect())
            }
            Command::Complete { id, lease, answer } => {
                Outcome::Completed(self.complete(context, &id, lease, answer))
            }
            Command::Fail { id, lease, failure } => {
                Outcome::Completed(self.fail(context, &id, lease, failure))
            }
            Command::Cancel { tenant, id } => {
                Outcome::Cancelled(self.cancel(context, &tenant, &id))
            }
        }
    }

    fn submit(&mut self, context: &Context<'_>, submission: Submission) -> Submitted {
        let key = job::key(&submission.id);
        if let Some(job) = self.jobs.get(&key) {
            return resubmitted(job, &submission);
        }
        if let Some(refusal) = self.check_submission(context, &submission) {
            return refusal;
        }
        self.next_order += 1;
        self.put(Job {
            key,
            order: self.next_order,
            submitted_ms: context.now_ms,
            ended_ms: 0,
            expires_ms: u64::MAX,
            leases: 0,
            runs: 0,
            target_deaths: 0,
            phase: Phase::Waiting,
            submission: Arc::new(submission),
        });
        Submitted::Accepted
    }

    fn check_submission(
        &self,
        context: &Context<'_>,
        submission: &Submission,
    ) -> Option<Submitted> {
        let body_bytes = submission.work.body.len() as u64;
        let largest_bytes = body_bytes.max(submission.max_answer_bytes);
        if largest_bytes > self.limits.max_body_bytes {
            return Some(Submitted::TooLarge);
        }
        if context.now_ms + submission.min_run_ms >= submission.deadline_ms {
            return Some(Submitted::NotInTime);
        }
        let bytes = self.index.stored_bytes + body_bytes + submission.max_answer_bytes;
        if self.jobs.len() >= self.limits.max_jobs || bytes > self.limits.max_bytes {
            return Some(Submitted::Full);
        }
        let jobs = self.index.tenants.get(&submission.tenant).copied().unwrap_or(0);
        (jobs >= self.limits.max_jobs_per_tenant).then_some(Submitted::TenantFull)
    }

    fn lease(
        &mut self,
        context: &Context<'_>,
        owner: &owner::Owner,
        max_jobs: usize,
        nonce: u64,
    ) -> Vec<Grant> {
        if context.gone.contains(owner) {
            return Vec::new();
        }
        let former = self.find_granted(owner, nonce);
        if !former.is_empty() {
            return former;
        }
        let mut grants = Vec::new();
        let mut granted_bytes = 0;
        while grants.len() < max_jobs && granted_bytes < MAX_GRANTED_BYTES {
            let Some(&(.., key)) = self.index.waiting.first() else { break };
            let Some(job) = self.jobs.get(&key) else { break };
            let mut job = job.clone();
            job.leases += 1;
            job.runs += 1;
            let until_ms = context.now_ms + self.limits.lease_ms;
            let lease = Lease { owner: owner.clone(), number: job.leases, until_ms, nonce };
            granted_bytes += job.submission.work.body.len();
            grants.push(grant(&job, &lease));
            job.phase = Phase::Leased(lease);
            self.put(job);
        }
        grants
    }

    /// Returns the leases that an earlier command with the same nonce was granted.
    fn find_granted(&self, owner: &owner::Owner, nonce: u64) -> Vec<Grant> {
        let jobs = self.leased_by(owner).into_iter().filter_map(|key| self.jobs.get(&key));
        jobs.filter_map(|job| match &job.phase {
            Phase::Leased(lease) if lease.nonce == nonce => Some(grant(job, lease)),
            _ => None,
        })
        .collect()
    }

    fn leased_by(&self, owner: &owner::Owner) -> Vec<shards::Key> {
        let first = (owner.clone(), shards::Key::MIN);
        let leases = self.index.leases.range(first..);
        leases.take_while(|(other, _)| other == owner).map(|(_, key)| *key).collect()
    }

    fn renew(
        &mut self,
        context: &Context<'_>,
        owner: &owner::Owner,
        id: &JobId,
        number: u32,
    ) -> Renewal {
        let Some(job) = self.jobs.get(&job::key(id)) else { return Renewal::Over };
        let Phase::Leased(lease) = &job.phase else { return Renewal::Over };
        if lease.owner != *owner || lease.number != number || context.gone.contains(owner) {
            return Renewal::Over;
        }
        let until_ms = context.now_ms + self.limits.lease_ms;
        let mut job = job.clone();
        if let Phase::Leased(lease) = &mut job.phase {
            lease.until_ms = until_ms;
        }
        self.put(job);
        Renewal::Until(until_ms)
    }

    /// Records an answer. The first answer under any lease ends the job, even if that lease has
    /// expired.
    fn complete(
        &mut self,
        context: &Context<'_>,
        id: &JobId,
        number: u32,
        answer: Answer,
    ) -> Completed {
        let Some(job) = self.jobs.get(&job::key(id)) else { return Completed::NotFound };
        if job.is_ended() {
            return Completed::AlreadyEnded;
        }
        if number == 0 || number > job.leases {
            return Completed::LeaseOver;
        }
        let job = job.clone();
        let others_bytes = self.index.stored_bytes - job.stored_bytes();
        let room_bytes = self.limits.max_bytes.saturating_sub(others_bytes);
        let answer = answer.bounded(room_bytes.min(self.limits.max_body_bytes));
        self.end(context, job, End::Answered(answer));
        Completed::Taken
    }

    fn fail(
        &mut self,
        context: &Context<'_>,
        id: &JobId,
        number: u32,
        failure: Failure,
    ) -> Completed {
        let Some(job) = self.jobs.get(&job::key(id)) else { return Completed::NotFound };
        match &job.phase {
            Phase::Ended(_) => return Completed::AlreadyEnded,
            Phase::Leased(lease) if lease.number == number => {}
            _ => return Completed::LeaseOver,
        }
        let mut job = job.clone();
        match failure {
            Failure::NotRun => {
                job.runs -= 1;
                self.requeue(context, job);
            }
            Failure::TargetDied => {
                job.target_deaths += 1;
                self.end_lost_lease(context, job);
            }
            Failure::Lost => self.end_lost_lease(context, job),
            Failure::Refused { reason, ran } => {
                job.runs -= u32::from(ran == RunStatus::No);
                let ran = job.ran();
                self.end(context, job, End::Refused { reason: Reason::Refused(reason), ran });
            }
        }
        Completed::Taken
    }

    /// Ends a lease without an answer. The job is queued again, or refused if it has reached the
    /// limit on target deaths or runs.
    fn end_lost_lease(&mut self, context: &Context<'_>, job: Job) {
        let reason = if job.target_deaths >= self.limits.max_target_deaths {
            Reason::TargetsDied
        } else if job.runs >= self.limits.max_runs {
            Reason::LeasesLost
        } else {
            return self.requeue(context, job);
        };
        self.end(context, job, End::Refused { reason, ran: RunStatus::Maybe });
    }

    fn requeue(&mut self, context: &Context<'_>, mut job: Job) {
        job.phase = Phase::Waiting;
        if job.latest_start_ms() > context.now_ms {
            return self.put(job);
        }
        let ran = job.ran();
        self.end(context, job, End::Refused { reason: Reason::NotInTime, ran });
    }

    fn cancel(&mut self, context: &Context<'_>, tenant: &TenantId, id: &JobId) -> Cancelled {
        let Some(job) = self.jobs.get(&job::key(id)) else { return Cancelled::NotFound };
        if job.submission.tenant != *tenant {
            return Cancelled::NotFound;
        }
        if let Phase::Ended(end) = &job.phase {
            return match **end {
                End::Cancelled { ran } => Cancelled::Done { ran },
                _ => Cancelled::AlreadyEnded,
            };
        }
        let ran = job.ran();
        let job = job.clone();
        self.end(context, job, End::Cancelled { ran });
        Cancelled::Done { ran }
    }

    /// Ends a job and discards its request body, which is no longer needed.
    fn end(&mut self, context: &Context<'_>, mut job: Job, end: End) {
        if let End::Refused { reason, .. } = &end {
            self.refused.push(reason.code());
        }
        job.phase = Phase::Ended(Arc::new(end));
        job.ended_ms = context.now_ms;
        job.expires_ms = context.now_ms + self.limits.retention_ms;
        let mut submission = Submission::clone(&job.submission);
        submission.work.body = Bytes::new();
        job.submission = Arc::new(submission);
        self.put(job);
    }

    /// Ends the leases of daemon incarnations that have ended.
    pub fn daemon_gone(&mut self, context: &Context<'_>) {
        let leases = self.index.leases.iter();
        let gone = leases.filter(|(owner, _)| context.gone.contains(owner));
        let keys: Vec<shards::Key> = gone.map(|(_, key)| *key).collect();
        for key in keys {
            if let Some(job) = self.jobs.get(&key).cloned() {
                self.end_lost_lease(context, job);
            }
        }
    }

    /// Returns the daemon incarnations that hold leases, sorted.
    pub fn owners(&self) -> Vec<owner::Owner> {
        let mut owners: Vec<owner::Owner> =
            self.index.leases.iter().map(|(owner, _)| owner.clone()).collect();
        owners.dedup();
        owners
    }

    /// Handles expired timers and removes ended jobs past their retention.
    pub fn tick(&mut self, context: &Context<'_>) {
        self.handle_expired_timers(context);
        let index = &mut self.index;
        self.jobs.sweep(SWEPT_SHARDS, context.now_ms, |job| {
            index.remove(&job);
            None
        });
    }

    fn handle_expired_timers(&mut self, context: &Context<'_>) {
        for _ in 0..MAX_EXPIRED_TIMERS {
            let Some(&(at_ms, key)) = self.index.timers.first() else { return };
            if at_ms > context.now_ms {
                return;
            }
            let Some(job) = self.jobs.get(&key).cloned() else { return };
            self.handle_timer(context, job);
        }
    }

    fn handle_timer(&mut self, context: &Context<'_>, job: Job) {
        let reason = match &job.phase {
            Phase::Waiting => Reason::NotInTime,
            Phase::Leased(_) if job.submission.deadline_ms <= context.now_ms => {
                Reason::DeadlinePassed
            }
            _ => return self.end_lost_lease(context, job),
        };
        let ran = job.ran();
        self.end(context, job, End::Refused { reason, ran });
    }

    fn put(&mut self, job: Job) {
        if let Some(former) = self.jobs.get(&job.key) {
            self.index.remove(former);
        }
        self.index.add(&job);
        self.jobs.insert(job);
    }

    /// Rebuilds, after a restore, the indexes that snapshots omit.
    pub fn rebuild_indexes(&mut self) {
        self.index = Index::default();
        for job in self.jobs.iter() {
            self.index.add(job);
        }
    }
}

fn resubmitted(job: &Job, submission: &Submission) -> Submitted {
    if job.submission.digest != submission.digest || job.submission.tenant != submission.tenant {
        return Submitted::Mismatch;
    }
    match &job.phase {
        Phase::Ended(end) => Submitted::Ended(End::clone(end)),
        _ => Submitted::Accepted,
    }
}

fn grant(job: &Job, lease: &Lease) -> Grant {
    Grant {
        lease: lease.number,
        until_ms: lease.until_ms,
        target_deaths: job.target_deaths,
        submission: Submission::clone(&job.submission),
    }
}
