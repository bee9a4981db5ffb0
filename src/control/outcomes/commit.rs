//! Commits what this daemon counted.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::control::outcomes::{Collector, Command, Outcome};
use crate::control::{commands, owner, port};

/// Time between two batches.
const PERIOD: Duration = Duration::from_secs(10);

/// Commits the batches of `collector` until `leaving` turns true, and then what is left, once.
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
        // An error means that nobody is left to turn it true: this daemon stops.
        if let Ok(Err(_)) = tokio::time::timeout(PERIOD, leaving.changed()).await {
            return;
        }
    }
}

/// Commits one batch. One without an outcome is sent again the next time, and counts once.
async fn commit(log: &dyn port::Log, owner: &owner::Owner, collector: &Collector) {
    let Some(batch) = collector.batch() else { return };
    let command = Command::Add { owner: owner.clone(), batch };
    let outcome = log.propose(commands::Command::Outcomes(Box::new(command))).await;
    if let Ok(commands::Outcome::Outcomes(Outcome::Added { sequence })) = outcome {
        collector.committed(sequence);
    }
}
