//! The targets that a voter knows, kept on its disk for a restart of all daemons at once.
//!
//! Targets announce themselves only about once a second. After a power loss of every VM, a leader that begins
//! with the targets of before lets routers send requests at once, instead of after the next announcements. The
//! copy may be old: each request names the intended incarnation, a target that nobody confirms is removed, and
//! departures are on record in the log.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use super::follow::FollowerState;
use crate::membership::feed::FeedCursor;
use crate::membership::table::TargetEntry;
use crate::storage::disk::{Disk as _, Folder};
use crate::storage::frame;
use crate::traffic::clock::Clock as WallClock;

/// Interval at which a changed table is written.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// An unchanged table is written again after this, so that its age shows how long the voter was away.
const REFRESH_MS: u64 = 5_000;
/// A copy that is older is not used: most targets may have moved on.
const MAX_AGE_MS: u64 = 20_000;
/// A voter that has heard of no leader for this long does not write: its table may be out of date.
const MAX_SILENCE_MS: u64 = 2_000;
/// The file in the folder, and its name while it is written.
const FILE: &str = "targets";
const UNFINISHED_FILE: &str = "targets.new";

/// The targets that were known at some time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TargetCache {
    /// When they were written, in Unix milliseconds.
    pub written_ms: u64,
    /// The targets, as published to routers.
    pub entries: Vec<TargetEntry>,
}

/// What came of reading a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Restored {
    /// These targets were known a short time ago.
    Targets(Vec<TargetEntry>),
    /// The copy is of this age, by the time of day.
    TooOld {
        /// Its age in milliseconds, positive also if it lies in the future.
        age_ms: u64,
    },
    /// The copy cannot be read.
    Invalid,
}

impl TargetCache {
    /// The content of the file.
    pub fn encode(&self) -> Vec<u8> {
        let payload =
            postcard::to_stdvec(self).expect("entries hold nothing that postcard refuses");
        let mut bytes = Vec::new();
        frame::write(&payload, &mut bytes);
        bytes
    }

    /// Decides on the content of a file at `now_ms`, in Unix milliseconds.
    pub fn restore(bytes: &[u8], now_ms: u64) -> Restored {
        let frame::FrameRead::Frame { payload, .. } = frame::read(bytes, 0) else {
            return Restored::Invalid;
        };
        let Ok(cache) = postcard::from_bytes::<Self>(payload) else { return Restored::Invalid };
        // The time of day may have been set back meanwhile.
        let age_ms = now_ms.abs_diff(cache.written_ms);
        match age_ms <= MAX_AGE_MS {
            true => Restored::Targets(cache.entries),
            false => Restored::TooOld { age_ms },
        }
    }
}

/// Reads the copy in a folder. Without one there are no targets.
pub fn load(folder: &Path) -> Vec<TargetEntry> {
    let bytes = match std::fs::read(folder.join(FILE)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Vec::new(),
        Err(error) => {
            log::warn!("the targets of before cannot be read: {error}");
            return Vec::new();
        }
    };
    match TargetCache::restore(&bytes, WallClock::system().now_ms()) {
        Restored::Targets(entries) => {
            let targets = entries.len();
            log::info!(known_targets = targets; "{targets} targets of before the restart are known");
            entries
        }
        Restored::TooOld { age_ms } => {
            log::info!(age_ms = age_ms; "the targets of before are {age_ms} ms old and not used");
            Vec::new()
        }
        Restored::Invalid => {
            log::warn!("the targets of before cannot be decoded");
            Vec::new()
        }
    }
}

/// Writes the targets that a voter follows, until it is dropped.
pub async fn keep(following: Rc<FollowerState>, folder: PathBuf) {
    let mut written = (FeedCursor::default(), 0);
    loop {
        tokio::time::sleep(WRITE_INTERVAL).await;
        let now_ms = WallClock::system().now_ms();
        let cursor = following.feed.borrow().cursor();
        let is_current = following.silent_ms().is_some_and(|silent_ms| silent_ms < MAX_SILENCE_MS);
        let is_due = cursor != written.0 || now_ms.abs_diff(written.1) >= REFRESH_MS;
        if !is_current || !is_due {
            continue;
        }
        let entries = following.feed.borrow().table().entries().to_vec();
        let bytes = TargetCache { written_ms: now_ms, entries }.encode();
        let folder = folder.clone();
        // The disk may stall for seconds, which must not hold up the voter.
        let writing = tokio::task::spawn_blocking(move || write(&folder, &bytes)).await;
        match writing {
            Ok(Ok(())) => written = (cursor, now_ms),
            Ok(Err(reason)) => log::info!("the known targets are not written: {reason}"),
            Err(error) => log::warn!("writing the known targets failed: {error}"),
        }
    }
}

/// Replaces the copy in a folder durably.
fn write(folder: &Path, bytes: &[u8]) -> Result<(), String> {
    let mut folder = Folder::open(folder).map_err(|report| report.to_string())?;
    let replaced = (|| {
        if folder.list()?.iter().any(|name| name == UNFINISHED_FILE) {
            folder.remove(UNFINISHED_FILE)?;
        }
        folder.create(UNFINISHED_FILE)?;
        folder.append(UNFINISHED_FILE, bytes)?;
        folder.sync(UNFINISHED_FILE)?;
        folder.rename(UNFINISHED_FILE, FILE)?;
        folder.sync_folder()
    })();
    replaced.map_err(|error: io::Error| error.to_string())
}
