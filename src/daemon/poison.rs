//! Poison requests, as traffic sees them: over the replicated list.

use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;

use crate::control::poison::{self, Command, Flight, Standing};
use crate::control::{commands, owner, port};
use crate::daemon::published::Published;
use crate::ids::{Digest, TargetId, TenantId};
use crate::traffic::clock::Clock;
use crate::traffic::poison::{
    BrokenCall, ClosedDigest, PoisonRecords, SuspectAttempt, TrialDecision,
};

/// Times that a report is proposed before it is given up.
const TRIES: u32 = 20;
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(250);
/// How long a suspect waits for the word of the group. Without a leader look-ups go on, as safe
/// as this daemon alone can make them.
const ASK_WITHIN: Duration = Duration::from_millis(500);

/// The list of the control group, for traffic.
pub struct List {
    published: Arc<Published>,
    log: Arc<dyn port::Log>,
    owner: owner::Owner,
    clock: Clock,
    unknown_tenant: TenantId,
}

impl List {
    /// The list that `published` mirrors and `log` changes.
    pub fn new(
        published: Arc<Published>,
        log: Arc<dyn port::Log>,
        owner: owner::Owner,
        clock: Clock,
    ) -> Self {
        let unknown_tenant = "unknown".parse().expect("a constant name");
        Self { published, log, owner, clock, unknown_tenant }
    }

    fn flight(&self, digest: Digest) -> Flight {
        Flight { digest, tenant: self.unknown_tenant.clone(), model: None }
    }

    fn calls_broke(&self, call: BrokenCall) -> Command {
        let in_flight = vec![self.flight(call.digest)];
        Command::CallsBroke { target: call.target, incarnation: call.incarnation, in_flight }
    }

    /// Proposes a command until it is committed, in the background.
    fn report(&self, command: Command) {
        let log = Arc::clone(&self.log);
        tokio::spawn(async move {
            for _ in 0..TRIES {
                if log.propose(commands::Command::Poison(command.clone())).await.is_ok() {
                    return;
                }
                tokio::time::sleep(PAUSE).await;
            }
            metrics::counter!("fescuebay_poison_reports_lost_total").increment(1);
        });
    }

    fn standing(&self, digest: &Digest) -> Standing {
        self.published.poison.load().standing(digest, self.clock.now_ms())
    }
}

impl PoisonRecords for List {
    fn find_closed(&self, digest: &Digest) -> Option<ClosedDigest> {
        match self.standing(digest) {
            Standing::Closed { until_ms } => Some(ClosedDigest { until_ms }),
            Standing::Clear | Standing::Suspect => None,
        }
    }

    fn is_suspect(&self, digest: &Digest) -> bool {
        self.standing(digest) == Standing::Suspect
    }

    fn record_target_death(&self, target: &TargetId, digests: &[Digest]) {
        let table = self.published.table.load();
        let Some(incarnation) = table.find(target).map(|entry| entry.incarnation) else { return };
        let in_flight = digests.iter().map(|digest| self.flight(*digest)).collect();
        self.report(Command::TargetDied { target: target.clone(), incarnation, in_flight });
    }

    fn record_broken_call(&self, call: BrokenCall) {
        self.report(self.calls_broke(call));
    }

    fn request_trial(&self, suspect: SuspectAttempt) -> BoxFuture<'static, TrialDecision> {
        let SuspectAttempt { digest, target, broken, trial } = suspect;
        let owner = self.owner.clone();
        let mut commands: Vec<_> = broken.into_iter().map(|call| self.calls_broke(call)).collect();
        commands.push(Command::Try { digest, target, owner, nonce: trial });
        let log = Arc::clone(&self.log);
        Box::pin(async move {
            let asked = tokio::time::timeout(ASK_WITHIN, ask(log.as_ref(), commands)).await;
            asked.ok().flatten().unwrap_or_else(|| {
                metrics::counter!("fescuebay_poison_trials_unasked_total").increment(1);
                TrialDecision::Granted
            })
        })
    }

    fn end_trial(&self, digest: &Digest, trial: u64, is_answered: bool) {
        self.report(Command::EndTrial { digest: *digest, nonce: trial, is_answered });
    }
}

/// Proposes the commands one after the other; the last one asks for a trial.
async fn ask(log: &dyn port::Log, commands: Vec<Command>) -> Option<TrialDecision> {
    let mut trial = None;
    for command in commands {
        let outcome = log.propose(commands::Command::Poison(command)).await.ok()?;
        if let commands::Outcome::Poison(poison::Outcome::Tried(tried)) = outcome {
            trial = Some(said(tried));
        }
    }
    trial
}

fn said(trial: poison::Trial) -> TrialDecision {
    match trial {
        poison::Trial::Granted | poison::Trial::NotSuspect => TrialDecision::Granted,
        poison::Trial::Busy | poison::Trial::TargetBusy => TrialDecision::Elsewhere,
        poison::Trial::Closed { .. } => TrialDecision::Closed,
    }
}
