//! The numbered changes of the route table, and the daemons that follow them.

use std::collections::VecDeque;
use std::fmt;

use crate::ids::{Sequence, Term};
use crate::membership::table::{Change, Entry, Table};

/// Changes that a feed keeps. A follower that is further behind gets the whole table.
const KEPT_CHANGES: usize = 4_096;

/// How far a follower is: sequence numbers count from 1 in each term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Cursor {
    /// The term of the leader whose feed it is.
    pub term: Term,
    /// The last change that was taken.
    pub sequence: Sequence,
}

impl fmt::Display for Cursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.sequence)
    }
}

/// What a follower gets.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Batch {
    /// The follower has all.
    Nothing,
    /// The changes after `from`, up to `to`.
    Changes {
        /// Where the follower must be for the changes to fit.
        from: Cursor,
        /// Where it is after them.
        to: Cursor,
        /// The changes.
        changes: Vec<Change>,
    },
    /// The whole table.
    Whole {
        /// Where the follower is after it.
        to: Cursor,
        /// All targets.
        entries: Vec<Entry>,
    },
}

/// The feed of a leader, or a copy of it at a relay.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    cursor: Cursor,
    changes: VecDeque<Change>,
    table: Table,
}

impl Feed {
    /// A feed of `term` that starts with `entries`.
    pub fn new(term: Term, entries: Vec<Entry>) -> Self {
        let sequence = Sequence(1);
        let cursor = Cursor { term, sequence };
        Self { cursor, changes: VecDeque::new(), table: Table::new(sequence, entries) }
    }

    /// How far the feed is.
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// The table as of the cursor.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Adds changes. Followers are told no more of them than differs.
    pub fn push(&mut self, changes: Vec<Change>) {
        let changes = self.table.narrowed(changes);
        self.append(changes);
    }

    fn append(&mut self, changes: Vec<Change>) {
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
    pub fn since(&self, cursor: Cursor) -> Batch {
        if cursor == self.cursor {
            return Batch::Nothing;
        }
        let missing = self.cursor.sequence.0.saturating_sub(cursor.sequence.0) as usize;
        let is_same_feed = cursor.term == self.cursor.term && cursor < self.cursor;
        if !is_same_feed || missing > self.changes.len() {
            let entries = self.table.entries().to_vec();
            return Batch::Whole { to: self.cursor, entries };
        }
        let changes = self.changes.iter().skip(self.changes.len() - missing).cloned().collect();
        Batch::Changes { from: cursor, to: self.cursor, changes }
    }

    /// Takes a batch from the feed that this one copies.
    pub fn follow(&mut self, batch: Batch) -> Followed {
        match batch {
            Batch::Nothing => Followed::Same,
            Batch::Changes { from, .. } if from != self.cursor => Followed::Gap,
            Batch::Changes { changes, .. } => {
                self.append(changes);
                Followed::Changed
            }
            // A batch of an earlier leader that arrives late must not replace a newer table.
            Batch::Whole { to, .. } if to < self.cursor => Followed::Same,
            Batch::Whole { to, entries } => {
                self.cursor = to;
                self.changes.clear();
                self.table = Table::new(to.sequence, entries);
                Followed::Changed
            }
        }
    }
}

/// What a batch did to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Followed {
    /// Nothing changed.
    Same,
    /// The table is newer: publish it.
    Changed,
    /// Changes are missing: ask for the whole table, from the cursor of a new follower.
    Gap,
}
