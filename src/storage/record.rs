//! What the log segments hold.

use crate::consensus::entry::{Entry, HardState};
use crate::ids::{GroupId, LogIndex, Term};

/// One record. A later record overrides an earlier one that it contradicts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Record {
    /// Term and vote from here on.
    Hard(HardState),
    /// An entry; it replaces the one at its index and all that follow that.
    Entry(Entry),
    /// An empty log that begins after a snapshot.
    Reset {
        /// The last entry that the snapshot covers.
        index: LogIndex,
        /// The term of that entry.
        term: Term,
    },
}

/// The records of one write.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Batch {
    /// The group that they belong to.
    pub group: GroupId,
    /// The records, in order.
    pub records: Vec<Record>,
}
