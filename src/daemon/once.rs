//! Calls that run at most once, as traffic sees them: over the replicated idempotency records.

use std::sync::{Mutex, PoisonError};

use futures::future::BoxFuture;

use crate::control::answer::{Answer, Body};
use crate::control::once;
use crate::control::records::{Begun, Nonce};
use crate::traffic::idempotency::{
    BeginOutcome, CallOutcome, IdempotencyRecords, IdempotentCall, RecordToken, RecordedResponse,
};

/// Calls that were begun and not finished, by token.
type Open = Vec<(u64, once::Call<once::Dispatched>)>;

/// Idempotency records of the control group, for traffic.
pub struct Records {
    client: once::Client,
    open: Mutex<Open>,
}

impl Records {
    /// Records that `client` begins.
    pub fn new(client: once::Client) -> Self {
        Self { client, open: Mutex::default() }
    }

    fn keep(&self, call: once::Call<once::Recorded>, token: u64) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.push((token, call.dispatch()));
    }

    fn take(&self, token: RecordToken) -> Option<once::Call<once::Dispatched>> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let at = open.iter().position(|(known, _)| *known == token.0)?;
        Some(open.swap_remove(at).1)
    }
}

impl IdempotencyRecords for Records {
    fn begin(&self, call: IdempotentCall) -> BoxFuture<'_, BeginOutcome> {
        Box::pin(async move {
            let request = once::Request { tenant: call.tenant, key: call.key, digest: call.digest };
            let nonce: u64 = rand::random();
            match self.client.begin(request, Nonce(nonce)).await {
                once::Begin::Go(call) => {
                    self.keep(call, nonce);
                    BeginOutcome::Run(RecordToken(nonce))
                }
                once::Begin::Known(known) => begun(known),
                once::Begin::Refused(once::Refusal::NoCommit) => BeginOutcome::Unavailable,
            }
        })
    }

    fn finish(&self, token: RecordToken, outcome: CallOutcome) -> BoxFuture<'_, bool> {
        Box::pin(async move {
            let Some(call) = self.take(token) else { return false };
            match outcome {
                CallOutcome::Answered(recorded) => drop(call.answered(&kept(recorded)).await),
                CallOutcome::NotRun => drop(call.not_written().await),
                CallOutcome::Unknown => drop(call.lost().await),
            }
            true
        })
    }
}

fn kept(recorded: RecordedResponse) -> Answer {
    let content_type = recorded.content_type.unwrap_or_default();
    Answer::new(recorded.status, &content_type, recorded.body)
}

fn begun(known: Begun) -> BeginOutcome {
    match known {
        Begun::Answered(answer) => replay(answer),
        Begun::InProgress { .. } => BeginOutcome::InProgress,
        Begun::MayHaveRun { .. } | Begun::Settled(_) => BeginOutcome::MayHaveRun,
        Begun::Mismatch => BeginOutcome::Mismatch,
        Begun::Expired => BeginOutcome::Expired,
        Begun::Full | Begun::TenantFull | Begun::OwnerGone | Begun::Released | Begun::Recorded => {
            BeginOutcome::Unavailable
        }
    }
}

/// An answer that was too large to be kept is known to have run, but cannot be given again.
fn replay(answer: Answer) -> BeginOutcome {
    match answer.body {
        Body::Kept(body) => {
            let content_type =
                Some(answer.content_type.into()).filter(|kind: &String| !kind.is_empty());
            BeginOutcome::Replay(RecordedResponse { status: answer.status, content_type, body })
        }
        Body::TooLarge { .. } => BeginOutcome::MayHaveRun,
    }
}
