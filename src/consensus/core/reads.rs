//! Linearizable reads: by the leader's lease, or else by a quorum round.

use super::{Action, Core, Refusal, Role};
use crate::ids::LogIndex;

/// A read that is not served yet.
#[derive(Debug)]
pub(super) struct PendingRead {
    ticket: u64,
    /// The replicated machine must have applied this entry.
    index: LogIndex,
    /// A majority must have replied to this quorum round; 0 if the lease was valid.
    round: u64,
}

impl Core {
    /// End of the leader's lease, if there is one.
    ///
    /// A voter that replied to a round votes for no other candidate for `election_ms` after it
    /// received the message, which is later than the time it was sent. `lease_ms` is shorter than
    /// `election_ms` by the bound on clock drift.
    pub(super) fn lease_until_ms(&self, now_ms: u64) -> Option<u64> {
        let Role::Leader(leader) = &self.role else { return None };
        if leader.is_lease_abandoned {
            return None;
        }
        let sent_ms = self.quorum_value(Some(now_ms), |peer| {
            peer.last_replied_round.map(|round| round.sent_ms)
        })?;
        Some(sent_ms + self.config.timing.lease_ms)
    }

    /// Requests a read. [`Action::ReadReady`] or [`Action::ReadFailed`] with `ticket` follows.
    ///
    /// # Errors
    /// This voter is not the leader.
    pub fn read(&mut self, now_ms: u64, ticket: u64) -> Result<(), Refusal> {
        let has_lease = self.lease_until_ms(now_ms).is_some_and(|until_ms| now_ms < until_ms);
        let commit = self.commit;
        let Role::Leader(leader) = &mut self.role else {
            return Err(Refusal::NotLeader(self.leader.clone()));
        };
        let index = commit.max(leader.term_start);
        let mut round = 0;
        if !has_lease {
            leader.round += 1;
            round = leader.round;
            leader.peers.iter_mut().for_each(|peer| peer.is_due = true);
        }
        leader.reads.push(PendingRead { ticket, index, round });
        Ok(())
    }

    /// Reports the reads that may now be served.
    pub(super) fn serve_reads(&mut self) {
        let applied = self.applied;
        let own_round = match &self.role {
            Role::Leader(leader) if !leader.reads.is_empty() => leader.round,
            _ => return,
        };
        let answered = self.quorum_value(own_round, |peer| {
            peer.last_replied_round.map_or(0, |round| round.number)
        });
        let Role::Leader(leader) = &mut self.role else { return };
        let is_ready = |read: &mut PendingRead| read.index <= applied && read.round <= answered;
        let ready: Vec<PendingRead> = leader.reads.extract_if(.., is_ready).collect();
        self.actions.extend(ready.into_iter().map(|read| Action::ReadReady(read.ticket)));
    }

    pub(super) fn fail_reads(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        let reads = std::mem::take(&mut leader.reads);
        self.actions.extend(reads.into_iter().map(|read| Action::ReadFailed(read.ticket)));
    }
}
