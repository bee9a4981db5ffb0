//! In-memory part of the replicated log: the entries after the compacted prefix.

use std::collections::VecDeque;

use super::entry::{Entry, Membership, Payload, SnapshotMeta};
use super::message::LastEntry;
use crate::ids::{LogIndex, Term};

/// Log entries after `base`, which is the last compacted entry, and the memberships in effect.
#[derive(Debug)]
pub struct Log {
    base: LastEntry,
    entries: VecDeque<Entry>,
    /// Memberships by the index of their entry; the first is at or before the base.
    memberships: Vec<(LogIndex, Membership)>,
}

impl Log {
    /// Creates the log that follows a snapshot. `entries` begin right after the snapshot.
    pub fn new(meta: &SnapshotMeta, entries: Vec<Entry>) -> Self {
        let base = LastEntry { term: meta.term, index: meta.index };
        let memberships = vec![(meta.index, meta.membership.clone())];
        let mut log = Self { base, entries: VecDeque::new(), memberships };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// Position of the last compacted entry, right before the first entry in memory.
    pub fn base(&self) -> LastEntry {
        self.base
    }

    /// Position of the last entry.
    pub fn last(&self) -> LastEntry {
        match self.entries.back() {
            Some(entry) => LastEntry { term: entry.term, index: entry.index },
            None => self.base,
        }
    }

    /// The term of the entry at `index`, if it is in memory or is the base.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at `index`, if it is in memory.
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from `from` to `to`, cut off at `max_bytes` but with at least one entry.
    pub fn slice(&self, from: LogIndex, to: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut size_bytes = 0;
        let mut entries = Vec::new();
        for index in from.0..=to.0 {
            let Some(entry) = self.get(LogIndex(index)) else { break };
            size_bytes += entry.size_bytes();
            if size_bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// The current membership: that of the last membership entry, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Index of the entry that set the current membership.
    pub fn membership_index(&self) -> LogIndex {
        self.memberships[self.memberships.len() - 1].0
    }

    /// The membership in effect at `index`.
    pub fn membership_at(&self, index: LogIndex) -> &Membership {
        let after = self.memberships.partition_point(|(at, _)| *at <= index);
        &self.memberships[after.saturating_sub(1)].1
    }

    /// Appends an entry, whose index must follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index.next());
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entry at `from` and all later ones.
    pub fn truncate(&mut self, from: LogIndex) {
        let keep = from.0.saturating_sub(self.base.index.0 + 1);
        self.entries.truncate(keep as usize);
        let keep = self.memberships.partition_point(|(at, _)| *at < from).max(1);
        self.memberships.truncate(keep);
    }

    /// Removes the entries up to and including `index`, which becomes the base.
    pub fn compact(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else { return };
        let dropped = index.0 - self.base.index.0;
        self.entries.drain(..dropped as usize);
        self.base = LastEntry { term, index };
        let covered = self.memberships.partition_point(|(at, _)| *at <= index);
        self.memberships.drain(..covered.saturating_sub(1));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(index: u64, term: u64) -> Entry {
        Entry { index: LogIndex(index), term: Term(term), payload: Payload::Blank }
    }

    #[test]
    fn compaction_and_truncation_keep_terms_and_memberships() {
        let changed = Membership { voters: Vec::new(), learners: Vec::new() };
        let mut entries: Vec<_> = (1..=6).map(|at| entry(at, at.div_ceil(2))).collect();
        entries[3].payload = Payload::Membership(changed);
        let mut log = Log::new(&SnapshotMeta::default(), entries);
        log.compact(LogIndex(2));
        assert_eq!(log.term_at(LogIndex(2)), Some(Term(1)));
        assert_eq!(log.term_at(LogIndex(1)), None);
        assert_eq!(log.membership_index(), LogIndex(4));
        log.truncate(LogIndex(4));
        assert_eq!(log.last(), LastEntry { term: Term(2), index: LogIndex(3) });
        assert_eq!(log.membership_index(), LogIndex(0));
    }
}
