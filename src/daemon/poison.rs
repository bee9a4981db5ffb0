//! Poison requests, as traffic sees them: over the replicated list.

use std::sync::Arc;

use crate::control::poison::{Command, Flight, Standing};
use crate::control::{commands, port};
use crate::daemon::published::Published;
use crate::ids::{Digest, TargetId, TenantId};
use crate::traffic::clock::Clock;
use crate::traffic::poison::{Closed, Poison};

/// Times that a death is proposed before it is given up.
const TRIES: u32 = 20;
/// Pause between two tries.
const PAUSE: std::time::Duration = std::time::Duration::from_millis(250);

/// The list of the control group, for traffic.
pub struct List {
    published: Arc<Published>,
    log: Arc<dyn port::Log>,
    clock: Clock,
    unknown_tenant: TenantId,
}

impl List {
    /// The list that `published` mirrors and `log` changes.
    pub fn new(published: Arc<Published>, log: Arc<dyn port::Log>, clock: Clock) -> Self {
        let unknown_tenant = "unknown".parse().expect("a constant name");
        Self { published, log, clock, unknown_tenant }
    }

    fn standing(&self, digest: &Digest) -> Standing {
        self.published.poison.load().standing(digest, self.clock.now_ms())
    }
}

impl Poison for List {
    fn is_closed(&self, digest: &Digest) -> Option<Closed> {
        match self.standing(digest) {
            Standing::Closed { until_ms } => Some(Closed { until_ms }),
            Standing::Clear | Standing::Suspect => None,
        }
    }

    fn is_suspect(&self, digest: &Digest) -> bool {
        self.standing(digest) == Standing::Suspect
    }

    fn died(&self, target: &TargetId, digests: &[Digest]) {
        let table = self.published.table.load();
        let Some(incarnation) = table.find(target).map(|entry| entry.incarnation) else { return };
        let in_flight = digests.iter().map(|digest| Flight {
            digest: *digest,
            tenant: self.unknown_tenant.clone(),
            model: None,
        });
        let command = commands::Command::Poison(Command::TargetDied {
            target: target.clone(),
            incarnation,
            in_flight: in_flight.collect(),
        });
        let log = Arc::clone(&self.log);
        tokio::spawn(async move {
            for _ in 0..TRIES {
                if log.propose(command.clone()).await.is_ok() {
                    return;
                }
                tokio::time::sleep(PAUSE).await;
            }
            metrics::counter!("fescuebay_poison_reports_lost_total").increment(1);
        });
    }
}
