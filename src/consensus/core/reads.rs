//! Linearizable reads: by lease, else by a round that a majority answers.

use super::{Action, Core, Refusal, Role};
use crate::ids::LogIndex;

/// A read that waits.
#[derive(Debug)]
pub(super) struct Read {
    ticket: u64,
    /// The machine must have applied this entry.
    index: LogIndex,
    /// Without a lease, a majority must have answered this round.
    round: u64,
}

impl Core {
    /// Until when the lease lasts, if there is one.
    ///
    /// Voters that answered a broadcast help no other leader to power for `election_ms` after
    /// they received it, which is later than it was sent; `lease_ms` is shorter by the bound on
    /// clock drift.
    pub(super) fn lease_until_ms(&self, now_ms: u64) -> Option<u64> {
        let Role::Leader(leader) = &self.role else { return None };
        if leader.is_lease_given_up {
            return None;
        }
        let sent_ms =
            self.quorum_value(Some(now_ms), |peer| peer.answered.map(|round| round.sent_ms))?;
        Some(sent_ms + self.config.timing.lease_ms)
    }

    /// Asks for a read. [`Action::ReadReady`] or [`Action::ReadFailed`] with `ticket` follows.
    ///
    /// # Errors
    /// This voter does not lead.
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
        leader.reads.push(Read { ticket, index, round });
        Ok(())
    }

    /// Releases the reads whose conditions are met.
    pub(super) fn serve_reads(&mut self) {
        let applied = self.applied;
        let own_round = match &self.role {
            Role::Leader(leader) if !leader.reads.is_empty() => leader.round,
            _ => return,
        };
        let answered =
            self.quorum_value(own_round, |peer| peer.answered.map_or(0, |round| round.number));
        let Role::Leader(leader) = &mut self.role else { return };
        let is_ready = |read: &mut Read| read.index <= applied && read.round <= answered;
        let ready: Vec<Read> = leader.reads.extract_if(.., is_ready).collect();
        self.actions.extend(ready.into_iter().map(|read| Action::ReadReady(read.ticket)));
    }

    pub(super) fn fail_reads(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        let reads = std::mem::take(&mut leader.reads);
        self.actions.extend(reads.into_iter().map(|read| Action::ReadFailed(read.ticket)));
    }
}
