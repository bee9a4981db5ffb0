//! The shell around [`runner::Runner`]: leases jobs, runs them, and commits how they ended.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::sync::{oneshot, watch};
use tokio::task;

use crate::control::answer::Answer;
use crate::control::jobs::command::{Command, Failure, Grant, Outcome, Renewal};
use crate::control::jobs::job::Ran;
use crate::control::jobs::query::{Query, View};
use crate::control::jobs::runner;
use crate::control::records::{Begun, Nonce};
use crate::control::{commands, once, owner, port, queries};
use crate::ids::{IdempotencyKey, JobId};
use crate::target::call::Written;

/// How long a job that was not run is held back before another daemon may lease it.
const HAND_BACK_DELAY: Duration = Duration::from_secs(1);
/// First wait before an end is proposed again; it doubles with each.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// Longest wait before an end is proposed again.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// Times that the end of a run is proposed before its lease is left to end.
const END_TRIES: u32 = 100;

/// How one run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Run {
    /// By an answer.
    Answered(Answer),
    /// No byte of it was written to a target.
    NotRun,
    /// The target died, or its answer was lost.
    TargetDied,
    /// It can't be done.
    Refused {
        /// Why, in words for the caller.
        reason: String,
        /// Whether it may have run.
        ran: Ran,
    },
}

/// Runs the work of jobs on targets.
pub trait Execute: Send + Sync {
    /// Runs a job once. The future is dropped when the job's lease is over.
    fn execute(&self, grant: Grant) -> BoxFuture<'static, Run>;
}

/// What the shell works with.
pub struct Parts {
    /// The control group.
    pub log: Arc<dyn port::Log>,
    /// This life of this daemon.
    pub owner: owner::Owner,
    /// Runs the work.
    pub execute: Arc<dyn Execute>,
    /// The client of the idempotency records, for work that must not run again.
    pub once: once::Client,
    /// Jobs that run at once.
    pub slots: usize,
    /// Unix time in milliseconds.
    pub clock: Arc<dyn Fn() -> u64 + Send + Sync>,
    /// Draws a random number.
    pub random: Arc<dyn Fn() -> u64 + Send + Sync>,
}

impl fmt::Debug for Parts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Parts").field("owner", &self.owner).finish_non_exhaustive()
    }
}

/// Leases and runs jobs until `leaving` turns true and the last one has ended.
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

/// A run that was started.
struct Started {
    id: JobId,
    lease: u32,
    handle: task::AbortHandle,
}

struct Shell {
    parts: Arc<Parts>,
    runner: runner::Runner,
    runs: task::JoinSet<()>,
    handles: Vec<Started>,
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
            // The same command again is granted the same jobs, if the first was committed.
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
        self.handles.push(Started { id, lease, handle });
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
            // A panic ends the run like a lost target, not the shell.
            let task = AbortOnDrop(tokio::spawn(self.execute.execute(grant)));
            task.await.unwrap_or(Run::TargetDied)
        } else {
            self.run_once(grant).await
        };
        if run == Run::NotRun {
            tokio::time::sleep(HAND_BACK_DELAY).await;
        }
        self.commit_end(end_command(&id, lease, run)).await;
    }

    /// Runs work that must not run again, under an idempotency record of the job's own.
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
            if let Run::Refused { ran: Ran::No, .. } = &run {
                // The receiver waits for as long as this call is driven.
                let _ = refused.send(run.clone());
            }
            written(run)
        };
        match self.once.run(request, nonce, dispatch).await {
            once::Ended::Released => refusal.await.unwrap_or(Run::NotRun),
            other => ended(other),
        }
    }

    async fn commit_end(&self, command: Command) {
        let mut wait = FIRST_WAIT;
        for _ in 0..END_TRIES {
            if self.propose(command.clone()).await.is_some() {
                return;
            }
            tokio::time::sleep(wait).await;
            wait = (wait * 2).min(LONGEST_WAIT);
        }
    }
}

/// A task that ends when its handle is dropped.
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

/// The key of the record that a job runs under.
fn record_key(id: &JobId) -> IdempotencyKey {
    let digest = crate::ids::Digest::of(&[b"job-run", id.as_str().as_bytes()]);
    format!("job/{digest}").parse().expect("hexadecimal digits are a valid name")
}

fn written(run: Run) -> Result<Answer, Written> {
    match run {
        Run::Answered(answer) => Ok(answer),
        Run::NotRun | Run::Refused { ran: Ran::No, .. } => Err(Written::No),
        Run::TargetDied | Run::Refused { ran: Ran::Maybe, .. } => Err(Written::Maybe),
    }
}

/// What the end of a call that runs at most once means for its job.
fn ended(ended: once::Ended) -> Run {
    let refused = |reason: &str| Run::Refused { reason: reason.to_owned(), ran: Ran::Maybe };
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
