//! Handle of a running voter for other code on the control thread.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use error_stack::Report;
use tokio::sync::watch;

use super::event_loop::{Leadership, Shared, Status};
use super::{Error, Result};
use crate::consensus::core::{Core, MembershipChange, ProposalPosition, Refusal};
use crate::consensus::entry::VoterId;
use crate::consensus::formation::FolderState;
use crate::consensus::message::Message;
use crate::ids::{DaemonId, LogIndex};

/// Maximum size of a command, which must fit into one message between daemons.
pub const MAX_COMMAND_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of proposals that wait for a commit at once.
const MAX_PENDING_PROPOSALS: usize = 100_000;
/// Interval between checks whether a learner has caught up.
const CATCH_UP_POLL_MS: u64 = 50;
/// Waiting for a learner fails once it has not replied for this long.
const LEARNER_SILENCE_MS: u64 = 3000;

/// A handle of a voter that runs on this thread.
#[derive(Clone)]
pub struct Handle {
    shared: Rc<RefCell<Shared>>,
    stopped: watch::Receiver<bool>,
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::NotLeader(leader) => Self::NotLeader(leader.map(|leader| leader.daemon)),
            other => Self::Unavailable(other.to_string()),
        }
    }
}

impl Handle {
    pub(super) fn new(shared: Rc<RefCell<Shared>>, stopped: watch::Receiver<bool>) -> Self {
        Self { shared, stopped }
    }

    /// Proposes a command and waits until it is committed and applied here. Returns the
    /// machine's outcome.
    ///
    /// # Errors
    /// [`Error::NotLeader`] and [`Error::Unavailable`]: the command was not proposed, or its entry
    /// was replaced, so it is never applied. [`Error::Unknown`]: it may still be committed.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>> {
        metrics::counter!("consensus_proposals_total").increment(1);
        if command.len() > MAX_COMMAND_BYTES {
            let reason = format!("the command is over {MAX_COMMAND_BYTES} bytes");
            return Err(Report::new(Error::Unavailable(reason)));
        }
        self.commit(|core| core.propose(command.into())).await
    }

    /// Waits until all entries committed before the call are applied here and this voter is
    /// confirmed as leader. A read of the machine after that is linearizable.
    ///
    /// # Errors
    /// [`Error::NotLeader`] or [`Error::Unavailable`].
    pub async fn read_barrier(&self) -> Result<()> {
        let answered = {
            let mut shared = self.shared.borrow_mut();
            let now_ms = shared.now_ms();
            let ticket = shared.next_ticket();
            shared.core_mut()?.read(now_ms, ticket).map_err(Error::from)?;
            shared.wait_for_read(ticket)
        };
        answered.await.unwrap_or_else(|_| Err(Report::new(Error::NotLeader(None))))
    }

    /// Handles a message from another daemon. A message that cannot be decoded is dropped.
    pub fn receive(&self, from: &DaemonId, message: &[u8]) {
        let mut shared = self.shared.borrow_mut();
        let Some(message) = Message::decode(message, from, shared.daemon()) else {
            metrics::counter!("consensus_unreadable_messages_total").increment(1);
            return;
        };
        let now_ms = shared.now_ms();
        if let Ok(core) = shared.core_mut() {
            core.receive(now_ms, message);
        }
    }

    /// A summary of the voter's state.
    pub fn status(&self) -> Status {
        self.shared.borrow().status()
    }

    /// Whether this voter belongs to a group, for voters that decide whether to form one.
    pub fn folder_state(&self) -> FolderState {
        let status = self.status();
        match status.core.membership.voters.is_empty() {
            true => FolderState::Empty(status.id),
            false => FolderState::Formed(status.core.membership),
        }
    }

    /// Subscribes to changes of the leadership.
    pub fn subscribe(&self) -> watch::Receiver<Leadership> {
        self.shared.borrow().subscribe()
    }

    /// Adds a learner, which replaces an older learner of the same daemon.
    ///
    /// # Errors
    /// As for [`Handle::propose`].
    pub async fn add_learner(&self, id: VoterId) -> Result<()> {
        self.change(MembershipChange::AddLearner(id)).await
    }

    /// Promotes a learner that durably holds the committed log to a voter.
    ///
    /// # Errors
    /// As for [`Handle::propose`].
    pub async fn promote(&self, id: VoterId) -> Result<()> {
        self.change(MembershipChange::Promote(id)).await
    }

    /// Removes a voter or learner.
    ///
    /// # Errors
    /// As for [`Handle::propose`].
    pub async fn remove(&self, id: VoterId) -> Result<()> {
        self.change(MembershipChange::Remove(id)).await
    }

    /// Adds a voter: adds it as a learner, waits until it durably holds the committed log, and
    /// promotes it. Fails if the learner stops replying. May be called again after an error.
    ///
    /// # Errors
    /// As for [`Handle::propose`].
    pub async fn add(&self, new: VoterId) -> Result<()> {
        let membership = self.status().core.membership;
        if !membership.is_voter(&new) && !membership.is_learner(&new) {
            self.add_learner(new.clone()).await?;
        }
        if !membership.is_voter(&new) {
            self.wait_for_catch_up(&new).await?;
            self.promote(new).await?;
        }
        Ok(())
    }

    /// How long ago the last message was sent that a member has replied to. `None` for this voter
    /// itself, or if it is not the leader.
    pub fn silent_ms(&self, id: &VoterId) -> Option<u64> {
        let shared = self.shared.borrow();
        let now_ms = shared.now_ms();
        let answered_ms = shared.core().answered_ms(id);
        let is_other = shared.core().is_leader() && *id != *shared.core().id();
        is_other.then(|| now_ms.saturating_sub(answered_ms.unwrap_or(0)))
    }

    /// Replaces a voter: adds `new` as a learner, waits until it durably holds the committed log,
    /// promotes it, and only then removes `old`. Fails if `new` stops replying. May be called again
    /// after an error, also with another `new`.
    ///
    /// # Errors
    /// As for [`Handle::propose`].
    pub async fn replace(&self, old: VoterId, new: VoterId) -> Result<()> {
        self.add(new).await?;
        if self.status().core.membership.is_voter(&old) {
            self.remove(old).await?;
        }
        Ok(())
    }

    /// Waits as long as the learner replies, without a total timeout: the transfer of a large state
    /// may take long.
    async fn wait_for_catch_up(&self, learner: &VoterId) -> Result<()> {
        let start_ms = self.shared.borrow().now_ms();
        while !self.is_caught_up(learner)? {
            tokio::time::sleep(Duration::from_millis(CATCH_UP_POLL_MS)).await;
            let shared = self.shared.borrow();
            let answered_ms = shared.core().answered_ms(learner).unwrap_or(0).max(start_ms);
            if shared.now_ms() > answered_ms + LEARNER_SILENCE_MS {
                let reason = format!("{learner} does not answer");
                return Err(Report::new(Error::Unavailable(reason)));
            }
        }
        Ok(())
    }

    /// Whether a member durably holds all committed entries.
    ///
    /// # Errors
    /// [`Error::NotLeader`] or [`Error::Unavailable`].
    pub fn is_caught_up(&self, id: &VoterId) -> Result<bool> {
        let mut shared = self.shared.borrow_mut();
        Ok(shared.core_mut()?.is_caught_up(id).map_err(Error::from)?)
    }

    /// Index of the last entry that a member is known to hold durably. `None` if this voter is not
    /// the leader, or does not know the member.
    pub fn matched(&self, id: &VoterId) -> Option<LogIndex> {
        self.shared.borrow_mut().core_mut().ok()?.matched(id)
    }

    /// Starts a leadership transfer to another voter; [`Handle::subscribe`] reports its completion.
    ///
    /// # Errors
    /// [`Error::NotLeader`] or [`Error::Unavailable`].
    pub fn transfer(&self, to: VoterId) -> Result<()> {
        let mut shared = self.shared.borrow_mut();
        let now_ms = shared.now_ms();
        shared.core_mut()?.transfer(now_ms, to).map_err(Error::from)?;
        Ok(())
    }

    /// Stops the voter once queued writes are synced. Pending proposals fail with
    /// [`Error::Unknown`].
    pub async fn stop(&self) {
        self.shared.borrow_mut().stop();
        let mut stopped = self.stopped.clone();
        let _ = stopped.wait_for(|is_stopped| *is_stopped).await;
    }

    async fn change(&self, change: MembershipChange) -> Result<()> {
        self.commit(|core| core.change(&change)).await.map(|_| ())
    }

    async fn commit(
        &self,
        propose: impl FnOnce(&mut Core) -> std::result::Result<ProposalPosition, Refusal>,
    ) -> Result<Vec<u8>> {
        let answered = {
            let mut shared = self.shared.borrow_mut();
            if shared.pending_proposal_count() >= MAX_PENDING_PROPOSALS {
                let reason = "too many proposals wait for a commit";
                return Err(Report::new(Error::Unavailable(reason.to_owned())));
            }
            let proposed = propose(shared.core_mut()?).map_err(Error::from)?;
            shared.wait_for_commit(proposed)
        };
        answered.await.unwrap_or_else(|_| Err(Report::new(Error::Unknown)))
    }
}
