//! Segments, snapshots and identity in a folder.

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

/// The newest format of the folder that this program reads and the one it writes.
pub const FORMAT: u32 = 1;
/// A segment beyond this size is followed by a new one.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

const META_FILE: &str = "meta";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const SEGMENT_PREFIX: &str = "log-";
/// Files that were being written; they are removed at the next start.
const UNFINISHED_SUFFIX: &str = ".new";

/// Whose folder it is.
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
    /// The highest entry in it.
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
    /// Opens the folder and reads what it holds. An empty folder becomes that of `owner`, with
    /// `new_incarnation`.
    ///
    /// # Errors
    /// The folder is of another owner or a newer format, is damaged, or the system refuses.
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
        let segments = numbered(&names, SEGMENT_PREFIX);
        let mut replay = Replay::new(&snapshot, owner.group);
        let mut closed = Vec::new();
        for (at, (_, name)) in segments.iter().enumerate() {
            let is_last = at + 1 == segments.len();
            replay.segment(&mut disk, name, is_last)?;
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
        store.start_anew(&stored)?;
        Ok((store, stored))
    }

    /// Begins with a segment that holds all that is in force. Without it, entries that were set
    /// aside because they conflict with the snapshot would come back before later ones.
    fn start_anew(&mut self, stored: &StoredState) -> Result<()> {
        let meta = &stored.snapshot.meta;
        let mut records = vec![Record::Reset { index: meta.index, term: meta.term }];
        records.extend(stored.entries.iter().cloned().map(Record::Entry));
        self.start_segment(&records)?;
        self.closed.iter_mut().for_each(|segment| segment.end = LogIndex(0));
        self.remove_covered(meta.index)
    }

    /// The life of this folder, chosen when it was made.
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
    /// The write or the sync failed, now or earlier. Nothing of it counts as durable.
    pub fn append(&mut self, records: &[Record]) -> Result<()> {
        self.guard(|store| {
            if store.current_bytes > SEGMENT_BYTES {
                store.rotate(&[])?;
            }
            store.write_frame(records)
        })
    }

    /// A saver of snapshots for another thread.
    pub fn snapshot_saver(&self) -> SnapshotSaver<D> {
        SnapshotSaver { disk: self.disk.clone() }
    }

    /// Drops what a durable snapshot covers: older snapshots, and whole segments.
    ///
    /// # Errors
    /// As for [`Store::append`].
    pub fn drop_covered(&mut self, snapshot: LogIndex) -> Result<()> {
        self.guard(|store| store.remove_covered(snapshot))
    }

    /// Saves a snapshot from the leader, after which the log begins anew.
    ///
    /// # Errors
    /// As for [`Store::append`].
    pub fn install(&mut self, snapshot: &Snapshot, hard: &HardState) -> Result<()> {
        self.guard(|store| {
            store.snapshot_saver().save(snapshot)?;
            store.hard = hard.clone();
            let meta = &snapshot.meta;
            store.rotate(&[Record::Reset { index: meta.index, term: meta.term }])?;
            // The synced reset makes every earlier entry void.
            store.closed.iter_mut().for_each(|segment| segment.end = LogIndex(0));
            store.remove_covered(meta.index)
        })
    }

    /// After a failed write or sync it is unknown what is durable, so nothing more is accepted.
    fn guard(&mut self, work: impl FnOnce(&mut Self) -> Result<()>) -> Result<()> {
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
        let bytes = framed(&batch);
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

    /// Begins a segment with term and vote, so that earlier ones can be removed.
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

    /// Removes older snapshots, and segments from the oldest on that hold nothing after `index`.
    fn remove_covered(&mut self, index: LogIndex) -> Result<()> {
        let names = list(&self.disk)?;
        let snapshots = numbered(&names, SNAPSHOT_PREFIX);
        let old = snapshots.into_iter().filter(|(at, _)| *at < index.0).map(|(_, name)| name);
        let covered = self.closed.iter().take_while(|segment| segment.end <= index).count();
        let segments = self.closed.drain(..covered).map(|segment| segment.name);
        for name in segments.chain(old) {
            // Not synced: a file that a power loss brings back is void at the next start, and the
            // sync after a removal is slow on disks that discard blocks at once.
            self.disk.remove(&name).map_err(|error| io_error("remove", &name, &error))?;
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<()> {
        self.disk.sync_folder().map_err(|error| io_error("sync", "the folder", &error))
    }
}

/// Saves snapshots of the applied state while the log is written to.
pub struct SnapshotSaver<D> {
    disk: D,
}

impl<D: Disk> SnapshotSaver<D> {
    /// Saves a snapshot: once this returns, it is durable.
    ///
    /// # Errors
    /// The system refuses.
    pub fn save(&mut self, snapshot: &Snapshot) -> Result<()> {
        let name = format!("{SNAPSHOT_PREFIX}{:020}", snapshot.meta.index.0);
        write_whole(&mut self.disk, &name, snapshot)
    }
}

pub(super) fn io_error(step: &'static str, file: &str, error: &io::Error) -> Report<Error> {
    Report::new(Error::Io { step, file: file.to_owned(), reason: error.to_string() })
}

pub(super) fn damaged(file: &str, offset: usize, reason: &'static str) -> Error {
    Error::Damaged { file: file.to_owned(), offset: offset as u64, reason }
}

fn framed(value: &impl serde::Serialize) -> Vec<u8> {
    // Records hold only types that postcard can write.
    let payload = postcard::to_stdvec(value).unwrap_or_default();
    let mut bytes = Vec::with_capacity(payload.len() + frame::HEADER_BYTES);
    frame::write(&payload, &mut bytes);
    bytes
}

pub(super) fn read(disk: &impl Disk, name: &str) -> Result<Vec<u8>> {
    disk.read(name).map_err(|error| io_error("read", name, &error))
}

/// The names in the folder.
fn list(disk: &impl Disk) -> Result<Vec<String>> {
    disk.list().map_err(|error| io_error("list", "the folder", &error))
}

/// Removes files that were being written when the last process ended.
fn remove_unfinished(disk: &mut impl Disk) -> Result<()> {
    for name in list(disk)?.iter().filter(|name| name.ends_with(UNFINISHED_SUFFIX)) {
        disk.remove(name).map_err(|error| io_error("remove", name, &error))?;
    }
    Ok(())
}

/// The files `prefix-NUMBER`, by rising number.
fn numbered(names: &[String], prefix: &str) -> Vec<(u64, String)> {
    let number = |name: &String| name.strip_prefix(prefix)?.parse().ok();
    let mut found: Vec<(u64, String)> =
        names.iter().filter_map(|name| Some((number(name)?, name.clone()))).collect();
    found.sort();
    found
}

/// Writes a file that is there whole or not at all.
fn write_whole(disk: &mut impl Disk, name: &str, value: &impl serde::Serialize) -> Result<()> {
    let unfinished = format!("{name}{UNFINISHED_SUFFIX}");
    let bytes = framed(value);
    disk.create(&unfinished).map_err(|error| io_error("create", &unfinished, &error))?;
    disk.append(&unfinished, &bytes).map_err(|error| io_error("write", &unfinished, &error))?;
    disk.sync(&unfinished).map_err(|error| io_error("sync", &unfinished, &error))?;
    disk.rename(&unfinished, name).map_err(|error| io_error("rename", &unfinished, &error))?;
    disk.sync_folder().map_err(|error| io_error("sync", "the folder", &error))
}

/// Reads a file that holds one frame.
fn read_whole<T: serde::de::DeserializeOwned>(bytes: &[u8], name: &str) -> Result<T> {
    let frame::FrameRead::Frame { payload, .. } = frame::read(bytes, 0) else {
        bail!(damaged(name, 0, "the checksum does not match"))
    };
    match postcard::from_bytes(payload) {
        Ok(value) => Ok(value),
        Err(_) => bail!(damaged(name, 0, "the content cannot be read")),
    }
}

/// Checks that the folder is of `owner`. The format stands before the frame, so that it can be
/// read whatever follows it.
fn read_meta(disk: &impl Disk, owner: &Owner) -> Result<Incarnation> {
    let bytes = read(disk, META_FILE)?;
    let Some((format, rest)) = bytes.split_first_chunk::<4>() else {
        bail!(damaged(META_FILE, 0, "it is too short"))
    };
    let found = u32::from_le_bytes(*format);
    ensure!(found <= FORMAT, Error::NewerFormat { found, known: FORMAT });
    let meta: Meta = read_whole(rest, META_FILE)?;
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
    let is_used = |prefix| !numbered(names, prefix).is_empty();
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
    bytes.extend(framed(&meta));
    let unfinished = format!("{META_FILE}{UNFINISHED_SUFFIX}");
    disk.create(&unfinished).map_err(|error| io_error("create", &unfinished, &error))?;
    disk.append(&unfinished, &bytes).map_err(|error| io_error("write", &unfinished, &error))?;
    disk.sync(&unfinished).map_err(|error| io_error("sync", &unfinished, &error))?;
    disk.rename(&unfinished, META_FILE).map_err(|error| io_error("rename", META_FILE, &error))?;
    disk.sync_folder().map_err(|error| io_error("sync", "the folder", &error))?;
    Ok(incarnation)
}

/// The newest snapshot; names appear only once their content is durable.
fn read_snapshot(disk: &impl Disk, names: &[String]) -> Result<Snapshot> {
    match numbered(names, SNAPSHOT_PREFIX).last() {
        Some((_, name)) => read_whole(&read(disk, name)?, name),
        None => Ok(Snapshot::default()),
    }
}
