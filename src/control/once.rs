//! Calls that run at most once: the client of the idempotency records.
//!
//! A call passes through the states [`Recorded`], [`Dispatched`] and one of [`Answered`],
//! [`Released`] and [`Unknown`]. Only a recorded call can be dispatched, and only once: the types
//! leave no other way. [`Client::run`] drives a whole call in a task of its own, so that a caller
//! who hangs up does not stop it halfway.

use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use crate::control::answer::Answer;
use crate::control::records::{self, Begun, Cause, End, Finished, Nonce};
use crate::control::{commands, owner, port};
use crate::ids::{Digest, IdempotencyKey, TenantId};
use crate::target::call::Written;

/// Times that a record is asked for while it is unknown whether it was committed.
const BEGIN_TRIES: u32 = 3;
/// First wait between two tries; it doubles with each.
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// Longest wait between two tries.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// Times that an end is proposed before it is left to the limit on pending records.
const FINISH_TRIES: u32 = 720;
/// How long a caller's answer is held back for the commit of its record.
const RECORD_WAIT: Duration = Duration::from_secs(2);

/// The record is committed; no byte has left.
#[derive(Debug)]
pub struct Recorded;
/// The call may have left.
#[derive(Debug)]
pub struct Dispatched;
/// The target answered.
#[derive(Debug)]
pub struct Answered;
/// It was not run; the key is free again.
#[derive(Debug)]
pub struct Released;
/// It may have run.
#[derive(Debug)]
pub struct Unknown;

/// A call under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Whose call it is.
    pub tenant: TenantId,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The digest of method, path and body.
    pub digest: Digest,
}

/// Why a call was not even recorded. It was not run and will not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The control group did not commit the record.
    NoCommit,
}

/// Whether a call may be dispatched.
#[derive(Debug)]
pub enum Begin {
    /// It may: this is its only chance.
    Go(Call<Recorded>),
    /// It may not: this is what is known of the key. Never [`Begun::Recorded`].
    Known(Begun),
    /// It may not, and was not run.
    Refused(Refusal),
}

/// How a whole call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// It was dispatched and answered; the answer is whole, also if it is not kept whole.
    Answered(Answer),
    /// No byte of it was written; the key is free again.
    Released,
    /// It was dispatched and may have run.
    Unknown(Cause),
    /// It was not dispatched, because of what is known of the key.
    Known(Begun),
    /// It was not dispatched.
    Refused(Refusal),
}

/// Begins calls for one life of a daemon.
#[derive(Clone)]
pub struct Client {
    log: Arc<dyn port::Log>,
    owner: owner::Owner,
    max_answer_bytes: u64,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("owner", &self.owner).finish_non_exhaustive()
    }
}

impl Client {
    /// A client for `owner` that sends answers of up to `max_answer_bytes` to be kept.
    pub fn new(log: Arc<dyn port::Log>, owner: owner::Owner, max_answer_bytes: u64) -> Self {
        Self { log, owner, max_answer_bytes }
    }

    /// Drives a call to its end in a task of its own; `dispatch` is called at most once, and tells
    /// with its error whether any byte was written.
    ///
    /// Dropping the returned future does not stop the call.
    pub async fn run<D, F>(&self, request: Request, nonce: Nonce, dispatch: D) -> Ended
    where
        D: FnOnce() -> F + Send + 'static,
        F: Future<Output = std::result::Result<Answer, Written>> + Send + 'static,
    {
        let client = self.clone();
        let task = tokio::spawn(async move {
            let call = match client.begin(request, nonce).await {
                Begin::Go(call) => call,
                Begin::Known(known) => return Ended::Known(known),
                Begin::Refused(refusal) => return Ended::Refused(refusal),
            };
            call.dispatch().drive(dispatch()).await
        });
        task.await.unwrap_or(Ended::Unknown(Cause::NoReport))
    }

    /// Commits the record of a call, before any byte of it may leave.
    ///
    /// To drop this future is safe for the call, but its key may then say "in progress" until the
    /// limit on pending records; [`Client::run`] does not.
    pub async fn begin(&self, request: Request, nonce: Nonce) -> Begin {
        let call = Call::<Recorded>::new(self.clone(), request, nonce);
        let mut wait = FIRST_WAIT;
        let mut is_uncertain = false;
        for _ in 0..BEGIN_TRIES {
            match self.log.propose(call.begin_command()).await {
                Ok(commands::Outcome::Records(records::Outcome::Begun(begun))) => {
                    return call.begun(begun);
                }
                Ok(_) => is_uncertain = true,
                Err(report) => {
                    is_uncertain |=
                        report.current_context().outcome == port::ProposalOutcome::Unknown;
                }
            }
            if !is_uncertain {
                return Begin::Refused(Refusal::NoCommit);
            }
            tokio::time::sleep(wait).await;
            wait = (wait * 2).min(LONGEST_WAIT);
        }
        // The record may yet be committed: its release follows it, or comes first and stops it.
        tokio::spawn(call.propose_end(End::Released));
        Begin::Refused(Refusal::NoCommit)
    }
}

/// A call in the state `S`.
#[derive(Debug)]
#[must_use]
pub struct Call<S> {
    client: Client,
    request: Request,
    nonce: Nonce,
    state: PhantomData<S>,
}

impl<S> Call<S> {
    fn new(client: Client, request: Request, nonce: Nonce) -> Self {
        Self { client, request, nonce, state: PhantomData }
    }

    fn into_state<T>(self) -> Call<T> {
        Call::new(self.client, self.request, self.nonce)
    }

    fn begin_command(&self) -> commands::Command {
        commands::Command::Records(records::Command::Begin {
            tenant: self.request.tenant.clone(),
            key: self.request.key.clone(),
            digest: self.request.digest,
            owner: self.client.owner.clone(),
            nonce: self.nonce,
        })
    }

    fn finish_command(&self, end: End) -> commands::Command {
        commands::Command::Records(records::Command::Finish {
            tenant: self.request.tenant.clone(),
            key: self.request.key.clone(),
            nonce: self.nonce,
            end,
        })
    }

    /// Proposes the end until its outcome comes. `None` if it never did.
    fn propose_end(&self, end: End) -> impl Future<Output = Option<Finished>> + Send + 'static {
        let log = Arc::clone(&self.client.log);
        let command = self.finish_command(end);
        async move {
            let mut wait = FIRST_WAIT;
            for _ in 0..FINISH_TRIES {
                let outcome = log.propose(command.clone()).await;
                if let Ok(commands::Outcome::Records(records::Outcome::Finished(end))) = outcome {
                    return Some(end);
                }
                tokio::time::sleep(wait).await;
                wait = (wait * 2).min(LONGEST_WAIT);
            }
            None
        }
    }

    /// Waits for the commit of the end, but not for long: it goes on in the background.
    async fn finish(&self, end: End) {
        let task = tokio::spawn(self.propose_end(end));
        let is_recorded = matches!(tokio::time::timeout(RECORD_WAIT, task).await, Ok(Ok(Some(_))));
        if !is_recorded {
            metrics::counter!("fescuebay_record_ends_late_total").increment(1);
        }
    }
}

impl Call<Recorded> {
    fn begun(self, begun: Begun) -> Begin {
        match begun {
            Begun::Recorded => Begin::Go(self),
            known => Begin::Known(known),
        }
    }

    /// The right to write to a target, once.
    pub fn dispatch(self) -> Call<Dispatched> {
        self.into_state()
    }

    /// Gives the call up before any byte of it was written.
    pub async fn release(self) -> Call<Released> {
        self.finish(End::Released).await;
        self.into_state()
    }
}

impl Call<Dispatched> {
    async fn drive<F>(self, dispatched: F) -> Ended
    where
        F: Future<Output = std::result::Result<Answer, Written>> + Send + 'static,
    {
        // A panic in the dispatch says nothing about what was written.
        match tokio::spawn(dispatched).await.unwrap_or(Err(Written::Maybe)) {
            Ok(answer) => {
                let _: Call<Answered> = self.answered(&answer).await;
                Ended::Answered(answer)
            }
            Err(Written::No) => {
                let _: Call<Released> = self.not_written().await;
                Ended::Released
            }
            Err(Written::Maybe) => {
                let _: Call<Unknown> = self.lost().await;
                Ended::Unknown(Cause::TargetLost)
            }
        }
    }

    /// Records the answer.
    pub async fn answered(self, answer: &Answer) -> Call<Answered> {
        let kept = answer.clone().bounded(self.client.max_answer_bytes);
        self.finish(End::Answered(kept)).await;
        self.into_state()
    }

    /// Records that provably no byte was written, which frees the key.
    pub async fn not_written(self) -> Call<Released> {
        self.finish(End::Released).await;
        self.into_state()
    }

    /// Records that no answer will come and the call may have run.
    pub async fn lost(self) -> Call<Unknown> {
        self.finish(End::Unknown(Cause::TargetLost)).await;
        self.into_state()
    }
}
