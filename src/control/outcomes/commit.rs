//! Commits the counts of this daemon to the ledger at a fixed interval.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::control::outcomes::{Collector, Command, Outcome};
use crate::control::{commands, owner, port};

/// Interval between two batches.
const COMMIT_INTERVAL: Duration = Duration::from_secs(10);

/// Commits the batches of `collector` until `leaving` becomes true, and then a last batch, once.
pub async fn run(
    log: Arc<dyn port::Log>,
    owner: owner::Owner,
    collector: &Collector,
    mut leaving: watch::Receiver<bool>,
) {
    loop {
        let is_leaving = *leaving.borrow();
        commit(&*log, &owner, collector).await;
        if is_leaving {
            return;
        }
        // An error means that the sender was dropped, because this daemon stops.
        if let Ok(Err(_)) = tokio::time::timeout(COMMIT_INTERVAL, leaving.changed()).await {
            return;
        }
    }
}

/// Commits one batch. A batch without an outcome is sent again at the next interval; the ledger
/// counts it once.
async fn commit(log: &dyn port::Log, owner: &owner::Owner, collector: &Collector) {
    let Some(batch) = collector.batch() else { return };
    let command = Command::Add { owner: owner.clone(), batch };
    let outcome = log.propose(commands::Command::Outcomes(Box::new(command))).await;
    if let Ok(commands::Outcome::Outcomes(Outcome::Added { sequence })) = outcome {
        collector.committed(sequence);
    }
}
