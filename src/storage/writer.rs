//! The threads that write and sync, so that the control thread never waits for a disk. Snapshots
//! have a thread of their own, so that the log does not wait for them either.

use std::sync::mpsc;
use std::thread;

use tokio::sync::mpsc as reports;

use super::disk::Disk;
use super::record::Record;
use super::store::{SnapshotSaver, Store};
use super::{Error, Result};
use crate::consensus::entry::{HardState, Snapshot};
use crate::ids::LogIndex;

/// Most records that one sync covers.
const MAX_BATCH_RECORDS: usize = 8192;

/// Work for the thread, done in order.
#[derive(Debug)]
pub enum WriterJob {
    /// Write and sync records.
    Append {
        /// The number of the write.
        write: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Save a snapshot of the applied state, beside the other work.
    SaveSnapshot(Snapshot),
    /// Drop what a durable snapshot covers.
    DropCovered(LogIndex),
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
    jobs: mpsc::Sender<WriterJob>,
    snapshots: mpsc::Sender<Snapshot>,
    threads: [thread::JoinHandle<()>; 2],
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
        let (snapshots, snapshot_queue) = mpsc::channel();
        let saver = store.snapshot_saver();
        let (saved_jobs, saved_reports) = (jobs.clone(), reports.clone());
        let threads = [
            spawn("snapshots", move || save(saver, &snapshot_queue, &saved_jobs, &saved_reports))?,
            spawn("storage", move || run(store, &queue, &reports))?,
        ];
        Ok(Self { jobs, snapshots, threads })
    }

    /// Queues work. After a failure it is dropped: nothing is acknowledged any more.
    pub fn submit(&self, job: WriterJob) {
        // A thread has ended only after it reported a failure.
        let _ = match job {
            WriterJob::SaveSnapshot(snapshot) => self.snapshots.send(snapshot).is_ok(),
            job => self.jobs.send(job).is_ok(),
        };
    }

    /// Ends the threads after the queued work and waits for them.
    pub fn finish(self) {
        drop(self.snapshots);
        drop(self.jobs);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<thread::JoinHandle<()>> {
    let spawned = thread::Builder::new().name(name.to_owned()).spawn(work);
    spawned.map_err(|error| {
        let file = format!("the {name} thread");
        error_stack::Report::new(Error::Io { step: "start", file, reason: error.to_string() })
    })
}

/// Saves snapshots one after the other.
fn save<D: Disk>(
    mut saver: SnapshotSaver<D>,
    queue: &mpsc::Receiver<Snapshot>,
    jobs: &mpsc::Sender<WriterJob>,
    reports: &reports::UnboundedSender<Report>,
) {
    while let Ok(snapshot) = queue.recv() {
        let index = snapshot.meta.index;
        let saved = saver.save(&snapshot).map(|()| Report::SnapshotSaved(snapshot));
        let is_failed = saved.is_err();
        let _ = reports.send(saved.unwrap_or_else(Report::Failed));
        if is_failed {
            return;
        }
        let _ = jobs.send(WriterJob::DropCovered(index));
    }
}

fn run<D: Disk>(
    mut store: Store<D>,
    queue: &mpsc::Receiver<WriterJob>,
    reports: &reports::UnboundedSender<Report>,
) {
    let mut next = queue.recv().ok();
    while let Some(job) = next.take() {
        let done = match job {
            WriterJob::Append { write, records } => {
                let write = gather(queue, write, records, &mut next, &mut store);
                metrics::counter!("storage_syncs_total").increment(1);
                write.map(|write| Some(Report::Synced(write)))
            }
            // Submitted to the other thread.
            WriterJob::SaveSnapshot(_) => Ok(None),
            WriterJob::DropCovered(index) => store.drop_covered(index).map(|()| None),
            WriterJob::Install { write, snapshot, hard } => {
                store.install(&snapshot, &hard).map(|()| Some(Report::Synced(write)))
            }
        };
        let is_failed = done.is_err();
        if let Some(report) = done.unwrap_or_else(|error| Some(Report::Failed(error))) {
            let _ = reports.send(report);
        }
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
    queue: &mpsc::Receiver<WriterJob>,
    mut write: u64,
    mut records: Vec<Record>,
    next: &mut Option<WriterJob>,
    store: &mut Store<D>,
) -> Result<u64> {
    while records.len() < MAX_BATCH_RECORDS {
        match queue.try_recv() {
            Ok(WriterJob::Append { write: later, records: more }) => {
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
