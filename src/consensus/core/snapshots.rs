//! Snapshots: when to take one, and the transfer to peers whose missing entries were compacted.

use bytes::Bytes;

use super::replication::{Mode, Progress};
use super::{Action, Core, Role};
use crate::consensus::entry::{Snapshot, SnapshotMeta, VoterId};
use crate::consensus::log::Log;
use crate::consensus::message::{Body, Round};
use crate::ids::LogIndex;

/// Maximum size of one chunk of a snapshot.
const CHUNK_BYTES: usize = 256 * 1024;

/// Maximum number of entries before a snapshot that stay in memory for live peers that lag behind.
const MAX_TAIL_ENTRIES: u64 = 50_000;

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

impl Core {
    /// Requests a snapshot once enough entries were applied since the last one.
    ///
    /// The trigger is half of `snapshot_every`, so that the replay after a restart stays within
    /// `snapshot_every` although entries arrive while the snapshot is saved.
    pub(super) fn request_snapshot_if_due(&mut self) {
        let since = self.applied.0 - self.snapshot.meta.index.0;
        if self.is_saving_snapshot || since < (self.config.snapshot_every / 2).max(1) {
            return;
        }
        let Some(term) = self.log.term_at(self.applied) else { return };
        self.is_saving_snapshot = true;
        let membership = self.log.membership_at(self.applied).clone();
        let meta = SnapshotMeta { index: self.applied, term, membership };
        self.actions.push(Action::TakeSnapshot(meta));
    }

    /// Records that a snapshot is durable and compacts the log. The last entries before the
    /// snapshot stay in memory for peers that lag behind.
    pub fn snapshot_saved(&mut self, now_ms: u64, snapshot: Snapshot) {
        self.is_saving_snapshot = false;
        if snapshot.meta.index <= self.snapshot.meta.index {
            return;
        }
        let keep_from = self.oldest_needed_index(now_ms, snapshot.meta.index);
        if keep_from > self.log.base().index {
            self.log.compact(keep_from);
        }
        self.snapshot = snapshot;
    }

    /// The index up to which the log can be compacted: live peers need the entries after it. The
    /// tail up to the snapshot is between `snapshot_every` and `MAX_TAIL_ENTRIES` long.
    fn oldest_needed_index(&self, now_ms: u64, saved: LogIndex) -> LogIndex {
        let shortest_tail_start = saved.0.saturating_sub(self.config.snapshot_every);
        let longest_tail_start = saved.0.saturating_sub(MAX_TAIL_ENTRIES).min(shortest_tail_start);
        let Role::Leader(leader) = &self.role else { return LogIndex(shortest_tail_start) };
        let live_ms = self.config.timing.election_ms;
        let is_live = |peer: &&Progress| {
            peer.last_replied_round.is_some_and(|round| round.sent_ms + live_ms > now_ms)
        };
        let needed = |peer: &Progress| match &peer.outgoing_snapshot {
            Some(snapshot) => snapshot.meta.index.0,
            None => peer.matched.0,
        };
        let oldest = leader.peers.iter().filter(is_live).map(needed).min();
        LogIndex(oldest.map_or(shortest_tail_start, |oldest| {
            oldest.clamp(longest_tail_start, shortest_tail_start)
        }))
    }

    /// Switches a peer to snapshot transfer if the next entry it needs was compacted.
    pub(super) fn fall_back_to_snapshot(&mut self, id: &VoterId) {
        let base = self.log.base().index;
        let snapshot = self.snapshot.clone();
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(peer) = leader.peer_mut(id) else { return };
        if peer.outgoing_snapshot.is_none() && peer.next <= base {
            peer.mode = Mode::Snapshot { index: snapshot.meta.index, offset: 0 };
            peer.outgoing_snapshot = Some(snapshot);
            peer.is_due = true;
        }
    }

    pub(super) fn send_chunk(&mut self, now_ms: u64, id: &VoterId, offset: u64) {
        let round = self.current_round(now_ms);
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(peer) = leader.peer_mut(id) else { return };
        let Some(Snapshot { meta, data }) = peer.outgoing_snapshot.clone() else { return };
        let total_bytes = data.len() as u64;
        let begin = offset.min(total_bytes) as usize;
        let end = (begin + CHUNK_BYTES).min(data.len());
        let data = data.slice(begin..end);
        peer.sent_ms = now_ms;
        peer.is_due = false;
        self.send(id, Body::Chunk { meta, offset: begin as u64, total_bytes, data, round });
    }

    pub(super) fn on_chunk_reply(
        &mut self,
        from: &VoterId,
        index: LogIndex,
        next_offset: u64,
        round: Round,
    ) {
        let Some(peer) = self.record_reply(from, round) else { return };
        if let Mode::Snapshot { index: sent, offset } = peer.mode
            && sent == index
            && next_offset != offset
        {
            peer.mode = Mode::Snapshot { index, offset: next_offset };
            peer.is_due = true;
        }
    }

    pub(super) fn on_chunk(
        &mut self,
        now_ms: u64,
        from: VoterId,
        meta: SnapshotMeta,
        part: (u64, u64, Bytes),
        round: Round,
    ) {
        self.record_leader_contact(now_ms, &from);
        let index = meta.index;
        if self.log.term_at(index) == Some(meta.term) || index <= self.commit {
            // The log already covers the snapshot, and may hold later entries that this voter has
            // acknowledged and must keep.
            let matched = index;
            self.commit = self.commit.max(matched);
            self.send_after_entries(&from, Body::Accepted { matched, round });
            return;
        }
        let (offset, total_bytes, data) = part;
        let is_same = self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|incoming_snapshot| incoming_snapshot.meta == meta);
        if !is_same {
            self.incoming_snapshot = Some(IncomingSnapshot { meta, data: Vec::new() });
        }
        let Some(incoming_snapshot) = &mut self.incoming_snapshot else { return };
        if offset == incoming_snapshot.data.len() as u64 {
            incoming_snapshot.data.extend_from_slice(&data);
        }
        let next_offset = incoming_snapshot.data.len() as u64;
        if next_offset < total_bytes {
            self.send(&from, Body::ChunkReply { index, next_offset, round });
        } else {
            self.install(&from, round);
        }
    }

    fn install(&mut self, from: &VoterId, round: Round) {
        let Some(IncomingSnapshot { meta, data }) = self.incoming_snapshot.take() else { return };
        let snapshot = Snapshot { meta, data: data.into() };
        let index = snapshot.meta.index;
        self.close_write();
        self.writes += 1;
        self.entries_write = self.writes;
        self.unsynced_writes.clear();
        self.log = Log::new(&snapshot.meta, Vec::new());
        self.durable = index;
        self.commit = index;
        self.applied = index;
        self.snapshot = snapshot.clone();
        let hard = self.hard.clone();
        self.actions.push(Action::Install { write: self.writes, snapshot, hard });
        self.send_after_entries(from, Body::Accepted { matched: index, round });
    }
}
