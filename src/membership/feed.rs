//! The numbered changes of the route table, and the daemons that follow them.

use std::collections::VecDeque;
use std::fmt;

use crate::ids::{Sequence, Term};
use crate::membership::table::{RouteTable, TableChange, TargetEntry};

/// Changes that a feed keeps. A follower that is further behind gets the whole table.
const KEPT_CHANGES: usize = 4_096;

/// How far a follower is: sequence numbers count from 1 in each term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct FeedCursor {
    /// The term of the leader whose feed it is.
    pub term: Term,
    /// The last change that was taken.
    pub sequence: Sequence,
}

impl fmt::Display for FeedCursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.sequence)
    }
}

/// What a follower gets.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum FeedBatch {
    /// The follower has all.
    Empty,
    /// The changes after `from`, up to `to`.
    Changes {
        /// Where the follower must be for the changes to fit.
        from: FeedCursor,
        /// Where it is after them.
        to: FeedCursor,
        /// The changes.
        changes: Vec<TableChange>,
    },
    /// The whole table.
    Snapshot {
        /// Where the follower is after it.
        to: FeedCursor,
        /// All targets.
        entries: Vec<TargetEntry>,
    },
}

/// The feed of a leader, or a copy of it at a relay.
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

    /// How far the feed is.
    pub fn cursor(&self) -> FeedCursor {
        self.cursor
    }

    /// The table as of the cursor.
    pub fn table(&self) -> &RouteTable {
        &self.table
    }

    /// Adds changes. Followers are told no more of them than differs.
    pub fn push(&mut self, changes: Vec<TableChange>) {
        let changes = self.table.narrowed(changes);
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

    /// What a follower at `cursor` needs.
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

    /// Takes a batch from the feed that this one copies.
    pub fn apply(&mut self, batch: FeedBatch) -> ApplyOutcome {
        match batch {
            FeedBatch::Empty => ApplyOutcome::Unchanged,
            FeedBatch::Changes { from, .. } if from != self.cursor => ApplyOutcome::Gap,
            FeedBatch::Changes { changes, .. } => {
                self.append(changes);
                ApplyOutcome::Applied
            }
            // A batch of an earlier leader that arrives late must not replace a newer table.
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

/// What a batch did to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Nothing changed.
    Unchanged,
    /// The table is newer: publish it.
    Applied,
    /// Changes are missing: ask for the whole table, from the cursor of a new follower.
    Gap,
}
