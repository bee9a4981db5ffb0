//! Drives [`runner::Runner`]: leases jobs, runs them, and commits how they ended.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::sync::{oneshot, watch};
use tokio::task;

use crate::control::answer::Answer;
use crate::control::jobs::command::{Command, Failure, Grant, Outcome, Renewal};
use crate::control::jobs::job::RunStatus;
use crate::control::jobs::query::{Query, View};
use crate::control::jobs::runner;
use crate::control::records::{Begun, Nonce};
use crate::control::{commands, once, owner, port, queries};
use crate::ids::{IdempotencyKey, JobId};
use crate::target::call::Written;

/// Delay before a job that was not run is returned to the queue for another daemon.
const REQUEUE_DELAY: Duration = Duration::from_secs(1);
/// Initial backoff before the end of a run is proposed again; it doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff before the end of a run is proposed again.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Number of attempts to propose the end of a run; after them, the lease is left to expire.
const MAX_END_ATTEMPTS: u32 = 100;

/// How one run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Run {
    /// The target returned an answer.
    Answered(Answer),
    /// No byte was written to a target.
    NotRun,
    /// The target died, or its answer was lost.
    TargetDied,
    /// The job was refused and cannot be completed.
    Refused {
        /// The reason, as text for the caller.
        reason: String,
        /// Whether the job may have run.
        ran: RunStatus,
    },
}

/// Runs the calls of jobs on targets.
pub trait Execute: Send + Sync {
    /// Runs a job once. The future is dropped when the lease is no longer valid.
    fn execute(&self, grant: Grant) -> BoxFuture<'static, Run>;
}

/// The dependencies of [`run`].
pub struct Parts {
    /// The control group.
    pub log: Arc<dyn port::Log>,
    /// The current incarnation of this daemon.
    pub owner: owner::Owner,
    /// Runs the calls on targets.
    pub execute: Arc<dyn Execute>,
    /// The client of the idempotency records, for calls that must run at most once.
    pub once: once::Client,
    /// Maximum number of concurrent jobs.
    pub slots: usize,
    /// Returns the Unix time in milliseconds.
    pub clock: Arc<dyn Fn() -> u64 + Send + Sync>,
    /// Returns a random number.
    pub random: Arc<dyn Fn() -> u64 + Send + Sync>,
}

impl fmt::Debug for Parts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Parts").field("owner", &self.owner).finish_non_exhaustive()
    }
}

/// Leases and runs jobs until `leaving` becomes true and the last run has ended.
pub async fn run(parts: Arc<Parts>, mut leaving: watch::Receiver<bool>) {
    let mut shell = Shell {
        runner: runner::Runner::new(parts.slots),
        runs: task::JoinSet::new(),
        handles: Vec::new(),
        parts,
    };
    loop {
        if *leaving.borrow() {
            shell.runner.leave();
        }
        let now_ms = (shell.parts.clock)();
        match shell.runner.next(now_ms) {
            runner::Action::Renew(leases) => shell.renew(leases).await,
            runner::Action::Ask => shell.ask().await,
            runner::Action::Lease(max_jobs) => shell.lease(max_jobs).await,
            runner::Action::Wait { until_ms } => {
                let wait =
                    Duration::from_millis(until_ms.saturating_sub(now_ms).min(runner::POLL_MS));
                tokio::select! {
                    Some(ended) = shell.runs.join_next_with_id() => shell.ended(ended),
                    () = tokio::time::sleep(wait) => {}
                    Ok(()) = leaving.changed() => {}
                }
            }
            runner::Action::Stop => return,
        }
    }
}

/// A run in progress.
struct RunHandle {
    id: JobId,
    lease: u32,
    handle: task::AbortHandle,
}

struct Shell {
    parts: Arc<Parts>,
    runner: runner::Runner,
    runs: task::JoinSet<()>,
    handles: Vec<RunHandle>,
}

impl Shell {
    async fn ask(&mut self) {
        let answer = self.parts.log.query(queries::Query::Jobs(Query::Count)).await;
        let waiting = match answer {
            Ok(queries::Answer::Jobs(View::Count { waiting, .. })) => waiting,
            _ => 0,
        };
        self.runner.asked((self.parts.clock)(), waiting);
    }

    async fn lease(&mut self, max_jobs: usize) {
        let owner = self.parts.owner.clone();
        let nonce = (self.parts.random)();
        let command = Command::Lease { owner, max_jobs, nonce };
        let grants = match self.parts.propose(command.clone()).await {
            Some(Outcome::Leased(grants)) => grants,
            // If the first command was committed, a retry with its nonce is granted the same jobs.
            _ => match self.parts.propose(command).await {
                Some(Outcome::Leased(grants)) => grants,
                _ => Vec::new(),
            },
        };
        self.runner.leased((self.parts.clock)(), &grants);
        grants.into_iter().for_each(|grant| self.start(grant));
    }

    fn start(&mut self, grant: Grant) {
        let (id, lease) = (grant.submission.id.clone(), grant.lease);
        let parts = Arc::clone(&self.parts);
        let handle = self.runs.spawn(parts.drive(grant));
        self.handles.push(RunHandle { id, lease, handle });
    }

    async fn renew(&mut self, leases: Vec<(JobId, u32)>) {
        let owner = self.parts.owner.clone();
        let command = Command::Renew { owner, leases: leases.clone() };
        let Some(Outcome::Renewed(renewals)) = self.parts.propose(command).await else {
            return self.runner.renewal_failed((self.parts.clock)());
        };
        let answers: Vec<((JobId, u32), Renewal)> = leases.into_iter().zip(renewals).collect();
        for over in self.runner.renewed((self.parts.clock)(), &answers) {
            let runs = self.handles.iter().filter(|started| started.id == over);
            runs.for_each(|started| started.handle.abort());
        }
    }

    fn ended(&mut self, ended: Result<(task::Id, ()), task::JoinError>) {
        let task = ended.map_or_else(|error| error.id(), |(task, ())| task);
        if let Some(at) = self.handles.iter().position(|started| started.handle.id() == task) {
            let started = self.handles.swap_remove(at);
            self.runner.ended(&started.id, started.lease);
        }
    }
}

impl Parts {
    async fn propose(&self, command: Command) -> Option<Outcome> {
        match self.log.propose(commands::Command::Jobs(command)).await {
            Ok(commands::Outcome::Jobs(outcome)) => Some(outcome),
            _ => None,
        }
    }

    /// Runs a job and commits how the run ended.
    async fn drive(self: Arc<Self>, grant: Grant) {
        let (id, lease) = (grant.submission.id.clone(), grant.lease);
        let run = if grant.submission.work.is_idempotent {
            // A panic ends only this run, which is treated like the death of its target.
            let task = AbortOnDrop(tokio::spawn(self.execute.execute(grant)));
            task.await.unwrap_or(Run::TargetDied)
        } else {
            self.run_once(grant).await
        };
        if run == Run::NotRun {
            tokio::time::sleep(REQUEUE_DELAY).await;
        }
        self.commit_end(end_command(&id, lease, run)).await;
    }

    /// Runs a call that must run at most once, guarded by the job's own idempotency record.
    async fn run_once(&self, grant: Grant) -> Run {
        let request = once::Request {
            tenant: grant.submission.tenant.clone(),
            key: record_key(&grant.submission.id),
            digest: grant.submission.digest,
        };
        let execute = Arc::clone(&self.execute);
        let nonce = Nonce((self.random)());
        let (refused, refusal) = oneshot::channel();
        let dispatch = move || async move {
            let run = execute.execute(grant).await;
            if let Run::Refused { ran: RunStatus::No, .. } = &run {
                // The receiver is alive until this call has ended.
                let _ = refused.send(run.clone());
            }
            call_result(run)
        };
        match self.once.run(request, nonce, dispatch).await {
            once::Ended::Released => refusal.await.unwrap_or(Run::NotRun),
            other => run_from_ended(other),
        }
    }

    async fn commit_end(&self, command: Command) {
        let mut backoff = INITIAL_BACKOFF;
        for _ in 0..MAX_END_ATTEMPTS {
            if self.propose(command.clone()).await.is_some() {
                return;
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// A task that is aborted when this handle is dropped.
struct AbortOnDrop(task::JoinHandle<Run>);

impl Future for AbortOnDrop {
    type Output = Result<Run, task::JoinError>;

    fn poll(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Self::Output> {
        std::pin::Pin::new(&mut self.0).poll(context)
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Returns the key of the idempotency record that a job runs under.
fn record_key(id: &JobId) -> IdempotencyKey {
    let digest = crate::ids::Digest::of(&[b"job-run", id.as_str().as_bytes()]);
    format!("job/{digest}").parse().expect("hexadecimal digits are a valid name")
}

fn call_result(run: Run) -> Result<Answer, Written> {
    match run {
        Run::Answered(answer) => Ok(answer),
        Run::NotRun | Run::Refused { ran: RunStatus::No, .. } => Err(Written::No),
        Run::TargetDied | Run::Refused { ran: RunStatus::Maybe, .. } => Err(Written::Maybe),
    }
}

/// Converts the end of a call that runs at most once into the end of its run.
fn run_from_ended(ended: once::Ended) -> Run {
    let refused = |reason: &str| Run::Refused { reason: reason.to_owned(), ran: RunStatus::Maybe };
    match ended {
        once::Ended::Answered(answer) | once::Ended::Known(Begun::Answered(answer)) => {
            Run::Answered(answer)
        }
        once::Ended::Released | once::Ended::Refused(_) => Run::NotRun,
        once::Ended::Known(Begun::InProgress { .. } | Begun::Full | Begun::TenantFull) => {
            Run::NotRun
        }
        once::Ended::Known(Begun::OwnerGone | Begun::Released | Begun::Recorded) => Run::NotRun,
        once::Ended::Unknown(_) | once::Ended::Known(Begun::MayHaveRun { .. }) => {
            refused("it may have run, and must not run again")
        }
        once::Ended::Known(Begun::Settled(settlement)) => refused(&settlement.reason),
        once::Ended::Known(Begun::Mismatch | Begun::Expired) => {
            refused("the record of its run is no longer kept")
        }
    }
}

fn end_command(id: &JobId, lease: u32, run: Run) -> Command {
    let id = id.clone();
    let failure = match run {
        Run::Answered(answer) => return Command::Complete { id, lease, answer },
        Run::NotRun => Failure::NotRun,
        Run::TargetDied => Failure::TargetDied,
        Run::Refused { reason, ran } => Failure::Refused { reason, ran },
    };
    Command::Fail { id, lease, failure }
}
