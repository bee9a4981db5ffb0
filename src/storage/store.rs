//! Log segments, snapshots and owner identity in the data folder of a voter.

use std::io;

use error_stack::{Report, bail, ensure};

use super::disk::Disk;
use super::frame;
use super::record::{Batch, Record};
use super::replay::Replay;
use super::{Error, Result};
use crate::consensus::core::StoredState;
use crate::consensus::entry::{HardState, Snapshot, VoterId};
use crate::ids::{DaemonId, GroupId, Incarnation, LogIndex};

/// Format version of the folder that this program writes, and the newest that it reads.
pub const FORMAT: u32 = 1;
/// A new segment is started once the current one exceeds this size.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

const META_FILE: &str = "meta";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const SEGMENT_PREFIX: &str = "log-";
/// Suffix of files that are being written; left-over ones are removed at the next start.
const UNFINISHED_SUFFIX: &str = ".new";

/// The owner of a data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The name of the cluster.
    pub cluster: String,
    /// The group.
    pub group: GroupId,
    /// The daemon.
    pub daemon: DaemonId,
}

#[derive(serde::Serialize, serde::Deserialize)]
struct Meta {
    cluster: String,
    group: GroupId,
    daemon: DaemonId,
    incarnation: Incarnation,
}

/// A segment that is no longer written to.
struct Segment {
    name: String,
    /// Highest index of an entry in the segment.
    end: LogIndex,
}

/// The open folder of one voter.
pub struct Store<D> {
    disk: D,
    group: GroupId,
    incarnation: Incarnation,
    hard: HardState,
    /// Earlier segments, oldest first.
    closed: Vec<Segment>,
    current: Segment,
    current_sequence: u64,
    current_bytes: u64,
    is_stopped: bool,
}

impl<D: Disk> Store<D> {
    /// Opens the folder and reads its state. An empty folder is initialized for `owner` with
    /// `new_incarnation`.
    ///
    /// # Errors
    /// The folder has another owner or a newer format, is damaged, or a file operation fails.
    pub fn open(
        mut disk: D,
        owner: &Owner,
        new_incarnation: Incarnation,
    ) -> Result<(Self, StoredState)> {
        remove_unfinished(&mut disk)?;
        let names = list(&disk)?;
        let incarnation = match names.iter().any(|name| name == META_FILE) {
            true => read_meta(&disk, owner)?,
            false => create_meta(&mut disk, owner, new_incarnation, &names)?,
        };
        let snapshot = read_snapshot(&disk, &names)?;
        let segments = numbered_files(&names, SEGMENT_PREFIX);
        let mut replay = Replay::new(&snapshot, owner.group);
        let mut closed = Vec::new();
        for (at, (_, name)) in segments.iter().enumerate() {
            let is_last = at + 1 == segments.len();
            replay.read_segment(&mut disk, name, is_last)?;
            closed.push(Segment { name: name.clone(), end: replay.segment_end });
        }
        let next = segments.last().map_or(1, |(sequence, _)| sequence + 1);
        let stored = replay.finish(snapshot)?;
        let mut store = Self {
            disk,
            group: owner.group,
            incarnation,
            hard: stored.hard.clone(),
            closed,
            current: Segment { name: String::new(), end: LogIndex(0) },
            current_sequence: next - 1,
            current_bytes: 0,
            is_stopped: false,
        };
        store.write_initial_segment(&stored)?;
        Ok((store, stored))
    }

    /// Starts a new segment with the complete current log. Without it, entries that were discarded
    /// because they conflict with the snapshot would reappear before later entries in a replay.
    fn write_initial_segment(&mut self, stored: &StoredState) -> Result<()> {
        let meta = &stored.snapshot.meta;
        let mut records = vec![Record::Reset { index: meta.index, term: meta.term }];
        records.extend(stored.entries.iter().cloned().map(Record::Entry));
        self.start_segment(&records)?;
        self.closed.iter_mut().for_each(|segment| segment.end = LogIndex(0));
        self.remove_obsolete_files(meta.index)
    }

    /// The incarnation of this folder, set when it was initialized.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The id of the voter that this folder belongs to.
    pub fn voter_id(&self, daemon: &DaemonId) -> VoterId {
        VoterId { daemon: daemon.clone(), incarnation: self.incarnation }
    }

    /// Writes and syncs records as one frame.
    ///
    /// # Errors
    /// This or an earlier write or sync failed. None of the records counts as durable.
    pub fn append(&mut self, records: &[Record]) -> Result<()> {
        self.stop_on_failure(|store| {
            if store.current_bytes > SEGMENT_BYTES {
                store.rotate(&[])?;
            }
            store.write_frame(records)
        })
    }

    /// Returns a handle for saving snapshots from another thread.
    pub fn snapshot_saver(&self) -> SnapshotSaver<D> {
        SnapshotSaver { disk: self.disk.clone() }
    }

    /// Removes older snapshots, and segments that a durable snapshot covers completely.
    ///
    /// # Errors
    /// As for [`Store::append`].
    pub fn drop_covered(&mut self, snapshot: LogIndex) -> Result<()> {
        self.stop_on_failure(|store| store.remove_obsolete_files(snapshot))
    }

    /// Saves a snapshot from the leader and starts an empty log after it.
    ///
    /// # Errors
    /// As for [`Store::append`].
    pub fn install(&mut self, snapshot: &Snapshot, hard: &HardState) -> Result<()> {
        self.stop_on_failure(|store| {
            store.snapshot_saver().save(snapshot)?;
            store.hard = hard.clone();
            let meta = &snapshot.meta;
            store.rotate(&[Record::Reset { index: meta.index, term: meta.term }])?;
            // The synced reset discards all earlier entries.
            store.closed.iter_mut().for_each(|segment| segment.end = LogIndex(0));
            store.remove_obsolete_files(meta.index)
        })
    }

    /// Runs an operation. After a failed write or sync it is unknown which data is durable, so all
    /// later operations are refused.
    fn stop_on_failure(&mut self, work: impl FnOnce(&mut Self) -> Result<()>) -> Result<()> {
        ensure!(!self.is_stopped, Error::Stopped);
        let result = work(self);
        self.is_stopped = result.is_err();
        result
    }

    fn write_frame(&mut self, records: &[Record]) -> Result<()> {
        for record in records {
            match record {
                Record::Hard(hard) => self.hard = hard.clone(),
                Record::Entry(entry) => self.current.end = self.current.end.max(entry.index),
                Record::Reset { .. } => {}
            }
        }
        let batch = Batch { group: self.group, records: records.to_vec() };
        let bytes = encode_frame(&batch);
        let name = &self.current.name;
        self.disk.append(name, &bytes).map_err(|error| io_error("write", name, &error))?;
        self.disk.sync(name).map_err(|error| io_error("sync", name, &error))?;
        self.current_bytes += bytes.len() as u64;
        Ok(())
    }

    fn rotate(&mut self, records: &[Record]) -> Result<()> {
        let end = self.current.end;
        let name = std::mem::take(&mut self.current.name);
        self.closed.push(Segment { name, end });
        self.start_segment(records)
    }

    /// Starts a segment with the current term and vote, so that earlier segments can be removed.
    fn start_segment(&mut self, records: &[Record]) -> Result<()> {
        self.current_sequence += 1;
        let name = format!("{SEGMENT_PREFIX}{:020}", self.current_sequence);
        self.disk.create(&name).map_err(|error| io_error("create", &name, &error))?;
        self.current = Segment { name, end: LogIndex(0) };
        self.current_bytes = 0;
        let mut first = vec![Record::Hard(self.hard.clone())];
        first.extend_from_slice(records);
        self.write_frame(&first)?;
        self.sync_folder()
    }

    /// Removes snapshots older than `index`, and the oldest segments as long as they hold no entry
    /// after it.
    fn remove_obsolete_files(&mut self, index: LogIndex) -> Result<()> {
        let names = list(&self.disk)?;
        let snapshots = numbered_files(&names, SNAPSHOT_PREFIX);
        let old = snapshots.into_iter().filter(|(at, _)| *at < index.0).map(|(_, name)| name);
        let covered = self.closed.iter().take_while(|segment| segment.end <= index).count();
        let segments = self.closed.drain(..covered).map(|segment| segment.name);
        for name in segments.chain(old) {
            // The removal is not synced: a file that reappears after a power loss is ignored at the
            // next start, and a sync after a removal is slow on disks that discard blocks at once.
            self.disk.remove(&name).map_err(|error| io_error("remove", &name, &error))?;
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<()> {
        self.disk.sync_folder().map_err(|error| io_error("sync", "the folder", &error))
    }
}

/// Saves snapshots of the applied state, concurrently with log writes.
pub struct SnapshotSaver<D> {
    disk: D,
}

impl<D: Disk> SnapshotSaver<D> {
    /// Saves a snapshot, which is durable once this returns.
    ///
    /// # Errors
    /// A file operation fails.
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<()> {
        let name = format!("{SNAPSHOT_PREFIX}{:020}", snapshot.meta.index.0);
        write_file_atomically(&mut self.disk, &name, snapshot)
    }
}

pub(super) fn io_error(step: &'static str, file: &str, error: &io::Error) -> Report<Error> {
    Report::new(Error::Io { step, file: file.to_owned(), reason: error.to_string() })
}

pub(super) fn damaged(file: &str, offset: usize, reason: &'static str) -> Error {
    Error::Damaged { file: file.to_owned(), offset: offset as u64, reason }
}

fn encode_frame(value: &impl serde::Serialize) -> Vec<u8> {
    // Cannot fail: all values are of types that postcard can encode.
    let payload = postcard::to_stdvec(value).unwrap_or_default();
    let mut bytes = Vec::with_capacity(payload.len() + frame::HEADER_BYTES);
    frame::write(&payload, &mut bytes);
    bytes
}

pub(super) fn read(disk: &impl Disk, name: &str) -> Result<Vec<u8>> {
    disk.read(name).map_err(|error| io_error("read", name, &error))
}

fn list(disk: &impl Disk) -> Result<Vec<String>> {
    disk.list().map_err(|error| io_error("list", "the folder", &error))
}

/// Removes files that were incomplete when the last process ended.
fn remove_unfinished(disk: &mut impl Disk) -> Result<()> {
    for name in list(disk)?.iter().filter(|name| name.ends_with(UNFINISHED_SUFFIX)) {
        disk.remove(name).map_err(|error| io_error("remove", name, &error))?;
    }
    Ok(())
}

/// The files named `prefix` and a number, in ascending order.
fn numbered_files(names: &[String], prefix: &str) -> Vec<(u64, String)> {
    let number = |name: &String| name.strip_prefix(prefix)?.parse().ok();
    let mut found: Vec<(u64, String)> =
        names.iter().filter_map(|name| Some((number(name)?, name.clone()))).collect();
    found.sort();
    found
}

/// Writes a file durably under a temporary name and renames it, so that it is never incomplete.
fn write_file_atomically(
    disk: &mut impl Disk,
    name: &str,
    value: &impl serde::Serialize,
) -> Result<()> {
    let unfinished = format!("{name}{UNFINISHED_SUFFIX}");
    let bytes = encode_frame(value);
    disk.create(&unfinished).map_err(|error| io_error("create", &unfinished, &error))?;
    disk.append(&unfinished, &bytes).map_err(|error| io_error("write", &unfinished, &error))?;
    disk.sync(&unfinished).map_err(|error| io_error("sync", &unfinished, &error))?;
    disk.rename(&unfinished, name).map_err(|error| io_error("rename", &unfinished, &error))?;
    disk.sync_folder().map_err(|error| io_error("sync", "the folder", &error))
}

/// Decodes the content of a file that holds one frame.
fn decode_single_frame<T: serde::de::DeserializeOwned>(bytes: &[u8], name: &str) -> Result<T> {
    let frame::FrameRead::Frame { payload, .. } = frame::read(bytes, 0) else {
        bail!(damaged(name, 0, "the checksum does not match"))
    };
    match postcard::from_bytes(payload) {
        Ok(value) => Ok(value),
        Err(_) => bail!(damaged(name, 0, "the content cannot be read")),
    }
}

/// Checks that the folder belongs to `owner`. The format version precedes the frame, so that it can
/// be read whatever the format of the rest.
fn read_meta(disk: &impl Disk, owner: &Owner) -> Result<Incarnation> {
    let bytes = read(disk, META_FILE)?;
    let Some((format, rest)) = bytes.split_first_chunk::<4>() else {
        bail!(damaged(META_FILE, 0, "it is too short"))
    };
    let found = u32::from_le_bytes(*format);
    ensure!(found <= FORMAT, Error::NewerFormat { found, known: FORMAT });
    let meta: Meta = decode_single_frame(rest, META_FILE)?;
    let checks = [
        ("cluster", &owner.cluster, meta.cluster),
        ("group", &owner.group.to_string(), meta.group.to_string()),
        ("daemon", &owner.daemon.to_string(), meta.daemon.to_string()),
    ];
    for (what, expected, found) in checks {
        ensure!(*expected == found, Error::Foreign { what, expected: expected.clone(), found });
    }
    Ok(meta.incarnation)
}

fn create_meta(
    disk: &mut impl Disk,
    owner: &Owner,
    incarnation: Incarnation,
    names: &[String],
) -> Result<Incarnation> {
    let is_used = |prefix| !numbered_files(names, prefix).is_empty();
    if is_used(SEGMENT_PREFIX) || is_used(SNAPSHOT_PREFIX) {
        bail!(damaged(META_FILE, 0, "it is missing beside other files"))
    }
    let meta = Meta {
        cluster: owner.cluster.clone(),
        group: owner.group,
        daemon: owner.daemon.clone(),
        incarnation,
    };
    let mut bytes = FORMAT.to_le_bytes().to_vec();
    bytes.extend(encode_frame(&meta));
    let unfinished = format!("{META_FILE}{UNFINISHED_SUFFIX}");
    disk.create(&unfinished).map_err(|error| io_error("create", &unfinished, &error))?;
    disk.append(&unfinished, &bytes).map_err(|error| io_error("write", &unfinished, &error))?;
    disk.sync(&unfinished).map_err(|error| io_error("sync", &unfinished, &error))?;
    disk.rename(&unfinished, META_FILE).map_err(|error| io_error("rename", META_FILE, &error))?;
    disk.sync_folder().map_err(|error| io_error("sync", "the folder", &error))?;
    Ok(incarnation)
}

/// Reads the newest snapshot. It is complete, since a file is renamed to its final name only once
/// its content is durable.
fn read_snapshot(disk: &impl Disk, names: &[String]) -> Result<Snapshot> {
    match numbered_files(names, SNAPSHOT_PREFIX).last() {
        Some((_, name)) => decode_single_frame(&read(disk, name)?, name),
        None => Ok(Snapshot::default()),
    }
}
