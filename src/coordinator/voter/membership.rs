//! Membership of the group: a voter joins it, and the leader admits voters.

use std::rc::Rc;
use std::time::Duration;

use super::Voter;
use crate::consensus::entry::VoterId;
use crate::coordinator::members;
use crate::coordinator::message::{JoinOutcome, Reply, Request};

/// Interval between two checks whether this voter is still a member of the group.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a join request to the leader.
const JOIN_TIMEOUT_MS: u64 = 800;

impl Voter {
    /// Requests to join whenever this voter is not a member of the group. Returns when the log
    /// cannot be written.
    pub(super) async fn maintain_membership(&self, own: &VoterId) {
        let mut believed = None;
        let mut last_answer = None;
        loop {
            tokio::time::sleep(JOIN_INTERVAL).await;
            let failure = self.node.borrow().as_ref().and_then(|n| n.status().failure);
            if let Some(failure) = failure {
                return log::error!("the voter cannot write: {failure}");
            }
            let membership = self.node.borrow().as_ref().map(|n| n.status().core.membership);
            let is_voter = membership.is_some_and(|membership| membership.is_voter(own));
            // A voter that was replaced while it was silent still is one by its own log.
            let is_listed = self.following.is_voter(&own.daemon);
            if believed.replace((is_voter, is_listed)) != Some((is_voter, is_listed)) {
                log::info!(
                    voter:% = own, in_own_log = is_voter, in_leader_list:? = is_listed,
                    leader_silent_ms:? = self.following.silent_ms();
                    "membership as this voter believes"
                );
            }
            if is_voter && is_listed != Some(false) {
                continue;
            }
            let request = Request::Join(own.clone());
            match self.client.ask_leader(&request, JOIN_TIMEOUT_MS, JOIN_TIMEOUT_MS).await {
                Ok(Reply::Joined(joined)) if last_answer.replace(joined) != Some(joined) => {
                    log::info!("joining as {own}: {joined:?}");
                }
                Ok(Reply::Joined(_)) => {}
                other => log::debug!("joining as {own}: no answer: {:?}", other.err()),
            }
        }
    }

    /// Adds a voter to the group in the background.
    pub(super) fn join(self: &Rc<Self>, joining: &VoterId) -> JoinOutcome {
        let Some(node) = self.node.borrow().clone() else { return JoinOutcome::Full };
        if self.is_membership_changing.get() {
            return JoinOutcome::Started;
        }
        let membership = node.status().core.membership;
        // A new leader has no answers yet, so silence counts from the start of its leadership.
        let led_ms = self.config.clock.now_ms().saturating_sub(self.led_since_ms.get());
        let silent_ms = |id: &VoterId| node.silent_ms(id).map(|silent_ms| silent_ms.min(led_ms));
        let step = members::decide_join(&membership, joining, self.config.max_voters, silent_ms);
        let (voter, joining) = (Rc::clone(self), joining.clone());
        match step {
            members::JoinStep::Member => return JoinOutcome::Member,
            members::JoinStep::Full => return JoinOutcome::Full,
            members::JoinStep::Add | members::JoinStep::Replace(_) => {}
        }
        log::info!(
            joining:% = joining, step:? = step, led_ms = led_ms,
            silent_ms:? = membership.voters.iter().map(silent_ms).collect::<Vec<_>>(),
            voters:? = membership.voters, max_voters = self.config.max_voters;
            "a voter is admitted"
        );
        self.is_membership_changing.set(true);
        tokio::task::spawn_local(async move {
            let changed = match &step {
                members::JoinStep::Replace(old) => node.replace(old.clone(), joining.clone()).await,
                members::JoinStep::Add | members::JoinStep::Member | members::JoinStep::Full => {
                    node.add(joining.clone()).await
                }
            };
            voter.is_membership_changing.set(false);
            match changed {
                Ok(()) => log::info!("voter {joining} joined the group: {step:?}"),
                Err(report) => log::warn!("voter {joining} could not join the group: {report}"),
            }
        });
        JoinOutcome::Started
    }
}
