//! Replay of the log segments at startup.

use error_stack::{bail, ensure};

use super::disk::Disk;
use super::frame;
use super::record::{Batch, Record};
use super::store::{damaged, io_error, read};
use super::{Error, Result};
use crate::consensus::core::StoredState;
use crate::consensus::entry::{Entry, HardState, Snapshot};
use crate::ids::{GroupId, LogIndex};

/// Rebuilds the log, term and vote from the records of the segments.
pub(super) struct Replay {
    group: GroupId,
    snapshot: LogIndex,
    hard: HardState,
    entries: Vec<Entry>,
    /// Highest index of an entry in the segment that was read last.
    pub segment_end: LogIndex,
    /// Error for a gap between entries, unless a later reset discards these entries.
    missing_entries: Option<Error>,
}

impl Replay {
    pub(super) fn new(snapshot: &Snapshot, group: GroupId) -> Self {
        Self {
            group,
            snapshot: snapshot.meta.index,
            hard: HardState::default(),
            entries: Vec::new(),
            segment_end: LogIndex(0),
            missing_entries: None,
        }
    }

    pub(super) fn read_segment(
        &mut self,
        disk: &mut impl Disk,
        name: &str,
        is_last: bool,
    ) -> Result<()> {
        let bytes = read(disk, name)?;
        self.segment_end = LogIndex(0);
        let mut offset = 0;
        loop {
            match frame::read(&bytes, offset) {
                frame::FrameRead::End => return Ok(()),
                frame::FrameRead::Frame { payload, end } => {
                    self.replay_batch(name, offset, payload)?;
                    offset = end;
                }
                frame::FrameRead::Bad if is_last && !frame::has_frame_after(&bytes, offset) => {
                    return truncate_torn_write(disk, name, offset as u64);
                }
                frame::FrameRead::Bad => {
                    bail!(damaged(name, offset, "the checksum does not match"))
                }
            }
        }
    }

    fn replay_batch(&mut self, name: &str, offset: usize, payload: &[u8]) -> Result<()> {
        let Ok(batch) = postcard::from_bytes::<Batch>(payload) else {
            bail!(damaged(name, offset, "the records cannot be read"))
        };
        ensure!(batch.group == self.group, damaged(name, offset, "a record of another group"));
        for record in batch.records {
            match record {
                Record::Hard(hard) => self.hard = hard,
                Record::Reset { .. } => self.replay_reset(),
                Record::Entry(entry) => self.replay_entry(name, offset, entry),
            }
        }
        Ok(())
    }

    fn replay_reset(&mut self) {
        self.entries.clear();
        self.missing_entries = None;
    }

    fn replay_entry(&mut self, name: &str, offset: usize, entry: Entry) {
        self.segment_end = self.segment_end.max(entry.index);
        if let (Some(first), Some(last)) = (self.entries.first(), self.entries.last()) {
            let is_before = entry.index < first.index;
            let is_gap = entry.index > last.index.next();
            if is_before || is_gap {
                self.entries.clear();
                // Some of the removed segments may reappear after a power loss. The snapshot then
                // covers the entries in the gap, or a reset follows.
                if entry.index > self.snapshot.next() {
                    let reason = "entries are missing before this one";
                    self.missing_entries = Some(damaged(name, offset, reason));
                }
            } else {
                self.entries.truncate((entry.index.0 - first.index.0) as usize);
            }
        }
        self.entries.push(entry);
    }

    /// Combines the snapshot with the entries that follow it.
    pub(super) fn finish(mut self, snapshot: Snapshot) -> Result<StoredState> {
        if let Some(missing_entries) = self.missing_entries {
            bail!(missing_entries)
        }
        let meta = &snapshot.meta;
        let at_snapshot = self.entries.iter().find(|entry| entry.index == meta.index);
        let is_other = at_snapshot.is_some_and(|entry| entry.term != meta.term);
        if is_other {
            // The snapshot came from the leader and replaced a conflicting log.
            self.entries.clear();
        }
        self.entries.retain(|entry| entry.index > meta.index);
        if let Some(first) = self.entries.first() {
            let reason = "entries are missing after the snapshot";
            ensure!(first.index == meta.index.next(), damaged("the log", 0, reason));
        }
        Ok(StoredState { hard: self.hard, snapshot, entries: self.entries })
    }
}

fn truncate_torn_write(disk: &mut impl Disk, name: &str, length_bytes: u64) -> Result<()> {
    log::warn!("{name}: the last write was torn; truncating at byte {length_bytes}");
    disk.truncate(name, length_bytes).map_err(|error| io_error("cut", name, &error))?;
    disk.sync(name).map_err(|error| io_error("sync", name, &error))
}
