//! What one daemon counts until it is committed.

use std::sync::{LazyLock, Mutex, MutexGuard, PoisonError};

use crate::control::outcomes::batch::{Batch, Tally};

static OF_THIS_PROCESS: LazyLock<Collector> = LazyLock::new(Collector::default);

/// The collector of this process, as the metrics are those of the process.
pub fn collector() -> &'static Collector {
    &OF_THIS_PROCESS
}

/// Counts something in the collector of this process.
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
    /// Counts something.
    pub fn count(&self, count: impl FnOnce(&mut Tally)) {
        count(&mut self.inner().tally);
    }

    /// The batch to commit next; the same one until [`Collector::committed`] is told of it.
    pub fn batch(&self) -> Option<Batch> {
        let mut inner = self.inner();
        if inner.sent.is_none() && !inner.tally.is_empty() {
            inner.sequence += 1;
            let tally = std::mem::take(&mut inner.tally);
            inner.sent = Some(Batch { sequence: inner.sequence, tally });
        }
        inner.sent.clone()
    }

    /// Notes that the batch of this number is committed.
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
