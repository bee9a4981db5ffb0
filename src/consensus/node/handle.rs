//! The handle by which the rest of the control thread uses the node.

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

/// The largest command, in bytes: one must fit into a message between daemons.
pub const MAX_COMMAND_BYTES: usize = 8 * 1024 * 1024;
/// Most proposals that wait at once.
const MAX_WAITING: usize = 100_000;
/// How often a learner is looked at while it catches up, in milliseconds.
const CATCH_UP_POLL_MS: u64 = 50;
/// A learner that has not answered for this long is given up, in milliseconds.
const LEARNER_SILENCE_MS: u64 = 3000;

/// A voter that runs on this thread.
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
    /// [`Error::NotLeader`] and [`Error::Unavailable`]: it is certainly not proposed, or was
    /// replaced. [`Error::Unknown`]: it may yet be committed.
    pub async fn propose(&self, command: Vec<u8>) -> Result<Vec<u8>> {
        metrics::counter!("consensus_proposals_total").increment(1);
        if command.len() > MAX_COMMAND_BYTES {
            let reason = format!("the command is over {MAX_COMMAND_BYTES} bytes");
            return Err(Report::new(Error::Unavailable(reason)));
        }
        self.commit(|core| core.propose(command.into())).await
    }

    /// Waits until everything committed before the call is applied here, and this voter still
    /// leads: what the machine then holds is no older than the call.
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

    /// Takes a message from another daemon. One that cannot be read is dropped.
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

    /// What the folder says, for voters that ask whether to form a group.
    pub fn folder_state(&self) -> FolderState {
        let status = self.status();
        match status.core.membership.voters.is_empty() {
            true => FolderState::Empty(status.id),
            false => FolderState::Formed(status.core.membership),
        }
    }

    /// Follows who leads.
    pub fn subscribe(&self) -> watch::Receiver<Leadership> {
        self.shared.borrow().subscribe()
    }

    /// Adds a learner, which takes the place of an older learner of its daemon.
    ///
    /// # Errors
    /// As for [`Handle::propose`].
    pub async fn add_learner(&self, id: VoterId) -> Result<()> {
        self.change(MembershipChange::AddLearner(id)).await
    }

    /// Makes a learner a voter, if it durably holds the committed log.
    ///
    /// # Errors
    /// As for [`Handle::propose`].
    pub async fn promote(&self, id: VoterId) -> Result<()> {
        self.change(MembershipChange::Promote(id)).await
    }

    /// Takes out a voter or learner.
    ///
    /// # Errors
    /// As for [`Handle::propose`].
    pub async fn remove(&self, id: VoterId) -> Result<()> {
        self.change(MembershipChange::Remove(id)).await
    }

    /// Takes in one more voter: adds it as a learner, waits until it durably holds the committed
    /// log, and promotes it. Ends with an error when it stops answering. May be called again.
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

    /// For how long a member has not answered this leader. `None` if this voter does not lead, or
    /// for itself.
    pub fn silent_ms(&self, id: &VoterId) -> Option<u64> {
        let shared = self.shared.borrow();
        let now_ms = shared.now_ms();
        let answered_ms = shared.core().answered_ms(id);
        let is_other = shared.core().is_leader() && *id != *shared.core().id();
        is_other.then(|| now_ms.saturating_sub(answered_ms.unwrap_or(0)))
    }

    /// Replaces a voter: adds `new` as a learner, waits until it durably holds the committed log,
    /// promotes it, and only then removes `old`. Ends with an error when `new` stops answering. May
    /// be called again after an error, also with another `new`.
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

    /// Waits as long as the learner answers, since a large state takes its time.
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

    /// Whether a member durably holds all that is committed.
    ///
    /// # Errors
    /// [`Error::NotLeader`] or [`Error::Unavailable`].
    pub fn is_caught_up(&self, id: &VoterId) -> Result<bool> {
        let mut shared = self.shared.borrow_mut();
        Ok(shared.core_mut()?.is_caught_up(id).map_err(Error::from)?)
    }

    /// The last entry that a member durably holds, as far as this leader knows. `None` if this
    /// voter does not lead, or does not know the member.
    pub fn matched(&self, id: &VoterId) -> Option<LogIndex> {
        self.shared.borrow_mut().core_mut().ok()?.matched(id)
    }

    /// Starts to hand leadership to another voter; [`Handle::subscribe`] tells when it is done.
    ///
    /// # Errors
    /// [`Error::NotLeader`] or [`Error::Unavailable`].
    pub fn transfer(&self, to: VoterId) -> Result<()> {
        let mut shared = self.shared.borrow_mut();
        let now_ms = shared.now_ms();
        shared.core_mut()?.transfer(now_ms, to).map_err(Error::from)?;
        Ok(())
    }

    /// Stops the voter once queued writes are synced. Proposals that wait end as unknown.
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
            if shared.waiting_count() >= MAX_WAITING {
                let reason = "too many proposals wait for a commit";
                return Err(Report::new(Error::Unavailable(reason.to_owned())));
            }
            let proposed = propose(shared.core_mut()?).map_err(Error::from)?;
            shared.wait_for(proposed)
        };
        answered.await.unwrap_or_else(|_| Err(Report::new(Error::Unknown)))
    }
}
