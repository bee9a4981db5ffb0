//! How a follower takes entries.

use super::{Core, Role};
use crate::consensus::entry::{Entry, VoterId};
use crate::consensus::message::{Body, Round};
use crate::ids::{LogIndex, Term};

impl Core {
    /// Notes that the leader of this term was heard.
    pub(super) fn hear_leader(&mut self, now_ms: u64, leader: &VoterId) {
        if !matches!(self.role, Role::Follower) {
            self.role = Role::Follower;
        }
        self.leader = Some(leader.clone());
        self.heard_ms = now_ms;
        self.is_leader_heard = true;
        self.is_free = false;
        self.reset_election(now_ms);
    }

    pub(super) fn on_append(
        &mut self,
        now_ms: u64,
        from: VoterId,
        prev: (LogIndex, Term),
        entries: Vec<Entry>,
        commit: LogIndex,
        round: Round,
    ) {
        self.hear_leader(now_ms, &from);
        let (prev_index, prev_term) = prev;
        let end = LogIndex(prev_index.0 + entries.len() as u64);
        let base = self.log.base().index;
        // What lies before the base is committed, so it matches.
        let is_matching = prev_index < base || self.log.term_at(prev_index) == Some(prev_term);
        if !is_matching {
            let hint = self.matching_hint(prev_index);
            self.send(&from, Body::Rejected { prev_index, hint, round });
            return;
        }
        self.take_entries(entries);
        let matched = end.max(base);
        self.commit = self.commit.max(commit.min(matched));
        self.send_after_entries(&from, Body::Accepted { matched, round });
    }

    /// The last entry before `prev_index` that may match: whole conflicting terms are skipped.
    fn matching_hint(&self, prev_index: LogIndex) -> LogIndex {
        let last = self.log.last().index;
        if last < prev_index {
            return last;
        }
        let conflict = self.log.term_at(prev_index);
        let mut hint = LogIndex(prev_index.0.saturating_sub(1));
        while hint > self.commit && self.log.term_at(hint) == conflict {
            hint = LogIndex(hint.0 - 1);
        }
        hint
    }

    /// Appends entries that are not held yet, dropping what conflicts with them.
    fn take_entries(&mut self, entries: Vec<Entry>) {
        let base = self.log.base().index;
        let is_new =
            |entry: &Entry| entry.index > base && self.log.term_at(entry.index) != Some(entry.term);
        let Some(first) = entries.iter().position(is_new) else { return };
        let fresh = &entries[first..];
        let from = fresh[0].index;
        if from <= self.log.last().index {
            self.log.truncate(from);
            self.durable = self.durable.min(LogIndex(from.0 - 1));
        }
        self.persist_entries(fresh);
        for entry in fresh {
            self.log.push(entry.clone());
        }
    }
}
