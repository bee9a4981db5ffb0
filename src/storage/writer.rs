//! The thread that writes and syncs, so that the control thread never waits for a disk.

use std::sync::mpsc;
use std::thread;

use tokio::sync::mpsc as reports;

use super::disk::Disk;
use super::record::Record;
use super::store::Store;
use super::{Error, Result};
use crate::consensus::entry::{HardState, Snapshot};

/// Most records that one sync covers.
const MAX_BATCH_RECORDS: usize = 8192;

/// Work for the thread, done in order.
#[derive(Debug)]
pub enum Job {
    /// Write and sync records.
    Append {
        /// The number of the write.
        write: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Save a snapshot of the applied state.
    SaveSnapshot(Snapshot),
    /// Save a snapshot from the leader and start an empty log after it.
    Install {
        /// The number of the write.
        write: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// Term and vote.
        hard: HardState,
    },
}

/// What the thread tells.
#[derive(Debug)]
pub enum Report {
    /// All writes up to this one are durable.
    Synced(u64),
    /// The snapshot is durable.
    SnapshotSaved(Snapshot),
    /// A write or sync failed. The thread has ended.
    Failed(error_stack::Report<Error>),
}

/// The sending end of a writer. The thread ends once it is dropped and all work is done.
#[derive(Debug)]
pub struct Writer {
    jobs: mpsc::Sender<Job>,
    thread: thread::JoinHandle<()>,
}

impl Writer {
    /// Starts the thread. `reports` tells what became durable.
    ///
    /// # Errors
    /// The system refuses another thread.
    pub fn start<D: Disk + 'static>(
        store: Store<D>,
        reports: reports::UnboundedSender<Report>,
    ) -> Result<Self> {
        let (jobs, queue) = mpsc::channel();
        let thread = thread::Builder::new()
            .name("storage".to_owned())
            .spawn(move || run(store, &queue, &reports))
            .map_err(|error| Error::Io {
                step: "start",
                file: "the storage thread".to_owned(),
                reason: error.to_string(),
            })?;
        Ok(Self { jobs, thread })
    }

    /// Queues work. After a failure it is dropped: nothing is acknowledged any more.
    pub fn submit(&self, job: Job) {
        // The thread has ended only after it reported a failure.
        let _ = self.jobs.send(job);
    }

    /// Ends the thread after the queued work and waits for it.
    pub fn finish(self) {
        drop(self.jobs);
        let _ = self.thread.join();
    }
}

fn run<D: Disk>(
    mut store: Store<D>,
    queue: &mpsc::Receiver<Job>,
    reports: &reports::UnboundedSender<Report>,
) {
    let mut next = queue.recv().ok();
    while let Some(job) = next.take() {
        let done = match job {
            Job::Append { write, records } => {
                let write = gather(queue, write, records, &mut next, &mut store);
                metrics::counter!("storage_syncs_total").increment(1);
                write.map(Report::Synced)
            }
            Job::SaveSnapshot(snapshot) => {
                store.save_snapshot(&snapshot).map(|()| Report::SnapshotSaved(snapshot))
            }
            Job::Install { write, snapshot, hard } => {
                store.install(&snapshot, &hard).map(|()| Report::Synced(write))
            }
        };
        let is_failed = done.is_err();
        let _ = reports.send(done.unwrap_or_else(Report::Failed));
        if is_failed {
            return;
        }
        if next.is_none() {
            next = queue.recv().ok();
        }
    }
}

/// Group commit: writes that queued up meanwhile share one frame and one sync.
fn gather<D: Disk>(
    queue: &mpsc::Receiver<Job>,
    mut write: u64,
    mut records: Vec<Record>,
    next: &mut Option<Job>,
    store: &mut Store<D>,
) -> Result<u64> {
    while records.len() < MAX_BATCH_RECORDS {
        match queue.try_recv() {
            Ok(Job::Append { write: later, records: more }) => {
                write = later;
                records.extend(more);
            }
            Ok(other) => {
                *next = Some(other);
                break;
            }
            Err(_) => break,
        }
    }
    store.append(&records)?;
    Ok(write)
}
