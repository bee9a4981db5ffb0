//! Records in the log segments.

use crate::consensus::entry::{Entry, HardState};
use crate::ids::{GroupId, LogIndex, Term};

/// One log record. Records are replayed in order, so a later one overrides earlier ones.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Record {
    /// Current term and vote.
    Hard(HardState),
    /// A log entry, which replaces the entry at its index and all later ones.
    Entry(Entry),
    /// Discards all earlier entries; the log continues after a snapshot.
    Reset {
        /// Index of the last entry that the snapshot covers.
        index: LogIndex,
        /// Term of that entry.
        term: Term,
    },
}

/// The records of one write.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Batch {
    /// The group that the records belong to.
    pub group: GroupId,
    /// The records, in order.
    pub records: Vec<Record>,
}
