//! Replicates the route table to followers as a numbered sequence of changes.

use std::collections::VecDeque;
use std::fmt;

use crate::ids::{Sequence, Term};
use crate::membership::table::{RouteTable, TableChange, TargetEntry};

/// Changes that a feed retains. A follower that is further behind receives a snapshot.
const KEPT_CHANGES: usize = 4_096;

/// The position of a follower in a feed. Sequence numbers start at 1 in each term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct FeedCursor {
    /// The term of the leader that publishes the feed.
    pub term: Term,
    /// The last change that was applied.
    pub sequence: Sequence,
}

impl fmt::Display for FeedCursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.sequence)
    }
}

/// The part of a feed that a follower receives.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum FeedBatch {
    /// The follower is up to date.
    Empty,
    /// The changes after `from`, up to `to`.
    Changes {
        /// The position that the follower must have to apply the changes.
        from: FeedCursor,
        /// The position after the changes.
        to: FeedCursor,
        /// The changes.
        changes: Vec<TableChange>,
    },
    /// A snapshot of the table.
    Snapshot {
        /// The position of the snapshot.
        to: FeedCursor,
        /// All targets.
        entries: Vec<TargetEntry>,
    },
}

/// The feed of a leader, or the copy of a follower.
#[derive(Clone, Debug, Default)]
pub struct TableFeed {
    cursor: FeedCursor,
    changes: VecDeque<TableChange>,
    table: RouteTable,
}

impl TableFeed {
    /// A feed of `term` that starts with `entries`.
    pub fn new(term: Term, entries: Vec<TargetEntry>) -> Self {
        let sequence = Sequence(1);
        let cursor = FeedCursor { term, sequence };
        Self { cursor, changes: VecDeque::new(), table: RouteTable::new(sequence, entries) }
    }

    /// The position of the last change.
    pub fn cursor(&self) -> FeedCursor {
        self.cursor
    }

    /// The table as of the cursor.
    pub fn table(&self) -> &RouteTable {
        &self.table
    }

    /// Appends changes, each reduced to the part that differs from the table.
    pub fn push(&mut self, changes: Vec<TableChange>) {
        let changes = self.table.reduced(changes);
        self.append(changes);
    }

    fn append(&mut self, changes: Vec<TableChange>) {
        if changes.is_empty() {
            return;
        }
        self.cursor.sequence.0 += changes.len() as u64;
        self.table = self.table.after(self.cursor.sequence, &changes);
        self.changes.extend(changes);
        let excess = self.changes.len().saturating_sub(KEPT_CHANGES);
        self.changes.drain(..excess);
    }

    /// Returns the changes after `cursor`, or a snapshot if they are not retained.
    pub fn since(&self, cursor: FeedCursor) -> FeedBatch {
        if cursor == self.cursor {
            return FeedBatch::Empty;
        }
        let missing = self.cursor.sequence.0.saturating_sub(cursor.sequence.0) as usize;
        let is_same_feed = cursor.term == self.cursor.term && cursor < self.cursor;
        if !is_same_feed || missing > self.changes.len() {
            let entries = self.table.entries().to_vec();
            return FeedBatch::Snapshot { to: self.cursor, entries };
        }
        let changes = self.changes.iter().skip(self.changes.len() - missing).cloned().collect();
        FeedBatch::Changes { from: cursor, to: self.cursor, changes }
    }

    /// Applies a batch of the leader's feed to this copy.
    pub fn apply(&mut self, batch: FeedBatch) -> ApplyOutcome {
        match batch {
            FeedBatch::Empty => ApplyOutcome::Unchanged,
            FeedBatch::Changes { from, .. } if from != self.cursor => ApplyOutcome::Gap,
            FeedBatch::Changes { changes, .. } => {
                self.append(changes);
                ApplyOutcome::Applied
            }
            // A delayed snapshot of an earlier leader must not replace a newer table.
            FeedBatch::Snapshot { to, .. } if to < self.cursor => ApplyOutcome::Unchanged,
            FeedBatch::Snapshot { to, entries } => {
                self.cursor = to;
                self.changes.clear();
                self.table = RouteTable::new(to.sequence, entries);
                ApplyOutcome::Applied
            }
        }
    }
}

/// The effect of a batch on a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Nothing changed.
    Unchanged,
    /// The table has changed and has to be published.
    Applied,
    /// Changes are missing: request a snapshot with the cursor of a new follower.
    Gap,
}
