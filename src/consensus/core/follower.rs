//! Handling of `Append` messages by a follower.

use super::{Core, Role};
use crate::consensus::entry::{Entry, VoterId};
use crate::consensus::message::{Body, Round};
use crate::ids::{LogIndex, Term};

impl Core {
    /// Records a message from the leader of this term and restarts the election timer.
    pub(super) fn record_leader_contact(&mut self, now_ms: u64, leader: &VoterId) {
        if !matches!(self.role, Role::Follower) {
            self.role = Role::Follower;
        }
        self.leader = Some(leader.clone());
        self.leader_heard_ms = now_ms;
        self.has_heard_leader = true;
        self.has_seen_no_leader = false;
        self.reset_election_timer(now_ms);
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
        self.record_leader_contact(now_ms, &from);
        let (prev_index, prev_term) = prev;
        let end = LogIndex(prev_index.0 + entries.len() as u64);
        let base = self.log.base().index;
        // Entries before the base are committed, so they match.
        let is_matching = prev_index < base || self.log.term_at(prev_index) == Some(prev_term);
        if !is_matching {
            let hint = self.matching_hint(prev_index);
            self.send(&from, Body::Rejected { prev_index, hint, round });
            return;
        }
        self.append_missing_entries(entries);
        let matched = end.max(base);
        self.commit = self.commit.max(commit.min(matched));
        self.send_after_entries(&from, Body::Accepted { matched, round });
    }

    /// The last index before `prev_index` that may match the leader's log. All entries of the
    /// conflicting term are skipped at once.
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

    /// Appends the entries that the log lacks, after truncating conflicting ones.
    fn append_missing_entries(&mut self, entries: Vec<Entry>) {
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
