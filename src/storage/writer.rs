//! Writer threads, so that the control thread never blocks on the disk. Snapshots are written by a
//! separate thread, so that they do not delay log writes.

use std::sync::mpsc;
use std::thread;

use tokio::sync::mpsc as reports;

use super::disk::Disk;
use super::record::Record;
use super::store::{SnapshotSaver, Store};
use super::{Error, Result};
use crate::consensus::entry::{HardState, Snapshot};
use crate::ids::LogIndex;

/// A group commit collects no further writes once it holds this number of records.
const MAX_BATCH_RECORDS: usize = 8192;

/// Work for the writer threads. Log jobs run in the order of submission.
#[derive(Debug)]
pub enum WriterJob {
    /// Write and sync records.
    Append {
        /// The number of the write.
        write: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Save a snapshot of the applied state, concurrently with log jobs.
    SaveSnapshot(Snapshot),
    /// Remove the files that a durable snapshot up to this index makes obsolete.
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

/// Result reported by the writer threads.
#[derive(Debug)]
pub enum Report {
    /// All writes up to this one are durable.
    Synced(u64),
    /// The snapshot is durable.
    SnapshotSaved(Snapshot),
    /// A write or sync failed, and the thread that reports it has ended.
    Failed(error_stack::Report<Error>),
}

/// Handle of the writer threads, which end once it is dropped and the queued work is done.
#[derive(Debug)]
pub struct Writer {
    jobs: mpsc::Sender<WriterJob>,
    snapshots: mpsc::Sender<Snapshot>,
    threads: [thread::JoinHandle<()>; 2],
}

impl Writer {
    /// Starts the threads. Results are sent to `reports`.
    ///
    /// # Errors
    /// A thread cannot be started.
    pub fn start<D: Disk + 'static>(
        store: Store<D>,
        reports: reports::UnboundedSender<Report>,
    ) -> Result<Self> {
        let (jobs, queue) = mpsc::channel();
        let (snapshots, snapshot_queue) = mpsc::channel();
        let saver = store.snapshot_saver();
        let (saved_jobs, saved_reports) = (jobs.clone(), reports.clone());
        let threads = [
            spawn_thread("snapshots", move || {
                run_snapshot_thread(saver, &snapshot_queue, &saved_jobs, &saved_reports);
            })?,
            spawn_thread("storage", move || run_log_thread(store, &queue, &reports))?,
        ];
        Ok(Self { jobs, snapshots, threads })
    }

    /// Queues a job. After a failure jobs are discarded, and nothing more is acknowledged.
    pub fn submit(&self, job: WriterJob) {
        // A send fails only if the thread has ended, and it reported the failure before.
        let _ = match job {
            WriterJob::SaveSnapshot(snapshot) => self.snapshots.send(snapshot).is_ok(),
            job => self.jobs.send(job).is_ok(),
        };
    }

    /// Waits until the queued work is done and the threads have ended.
    pub fn finish(self) {
        drop(self.snapshots);
        drop(self.jobs);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn spawn_thread(
    name: &str,
    work: impl FnOnce() + Send + 'static,
) -> Result<thread::JoinHandle<()>> {
    let spawned = thread::Builder::new().name(name.to_owned()).spawn(work);
    spawned.map_err(|error| {
        let file = format!("the {name} thread");
        error_stack::Report::new(Error::Io { step: "start", file, reason: error.to_string() })
    })
}

/// Saves queued snapshots, one at a time.
fn run_snapshot_thread<D: Disk>(
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

fn run_log_thread<D: Disk>(
    mut store: Store<D>,
    queue: &mpsc::Receiver<WriterJob>,
    reports: &reports::UnboundedSender<Report>,
) {
    let mut next = queue.recv().ok();
    while let Some(job) = next.take() {
        let done = match job {
            WriterJob::Append { write, records } => {
                let write = append_group(queue, write, records, &mut next, &mut store);
                metrics::counter!("storage_syncs_total").increment(1);
                write.map(|write| Some(Report::Synced(write)))
            }
            // Handled by the snapshot thread.
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

/// Group commit: appends queued writes, up to `MAX_BATCH_RECORDS`, as one frame with one sync.
fn append_group<D: Disk>(
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
