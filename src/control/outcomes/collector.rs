//! Collects the counts of one daemon until they are committed.

use std::sync::{LazyLock, Mutex, MutexGuard, PoisonError};

use crate::control::outcomes::batch::{Batch, Tally};

static PROCESS_COLLECTOR: LazyLock<Collector> = LazyLock::new(Collector::default);

/// Returns the collector of this process. Like the metrics, it is global to the process.
pub fn collector() -> &'static Collector {
    &PROCESS_COLLECTOR
}

/// Updates the tally of the process-wide collector.
pub fn count(count: impl FnOnce(&mut Tally)) {
    collector().count(count);
}

#[derive(Debug, Default)]
struct Inner {
    tally: Tally,
    sent: Option<Batch>,
    sequence: u64,
}

/// Collects the counts of a daemon. Shared by its threads.
#[derive(Debug, Default)]
pub struct Collector {
    inner: Mutex<Inner>,
}

impl Collector {
    /// Updates the tally.
    pub fn count(&self, count: impl FnOnce(&mut Tally)) {
        count(&mut self.inner().tally);
    }

    /// Returns the batch to commit next: the same one until [`Collector::committed`] confirms it.
    pub fn batch(&self) -> Option<Batch> {
        let mut inner = self.inner();
        if inner.sent.is_none() && !inner.tally.is_empty() {
            inner.sequence += 1;
            let tally = std::mem::take(&mut inner.tally);
            inner.sent = Some(Batch { sequence: inner.sequence, tally });
        }
        inner.sent.clone()
    }

    /// Records that the batch with this sequence number is committed.
    pub fn committed(&self, sequence: u64) {
        let mut inner = self.inner();
        if inner.sent.as_ref().is_some_and(|sent| sent.sequence == sequence) {
            inner.sent = None;
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
