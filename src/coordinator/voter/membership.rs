//! Membership of the group: a voter asks for a place, and the leader changes the group.

use std::rc::Rc;
use std::time::Duration;

use super::Voter;
use crate::consensus::entry::VoterId;
use crate::consensus::node;
use crate::coordinator::members::{self, Group, MembershipStep, VoterHealth};
use crate::coordinator::message::{JoinOutcome, Reply, Request};

/// Interval between two checks whether this voter is still a member of the group.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a join request to the leader.
const JOIN_TIMEOUT_MS: u64 = 800;
/// Timeout of handing over the place in the group at a planned stop. A newcomer that waits has loaded
/// the log by then, unless it is large.
const RETIRE_TIMEOUT_MS: u64 = 1_800;
/// Interval between two checks whether a place has been passed on.
const RETIRE_POLL: Duration = Duration::from_millis(25);

impl Voter {
    /// Requests to join whenever this voter is not a member of the group. Returns when the log
    /// cannot be written.
    pub(super) async fn maintain_membership(self: &Rc<Self>, own: &VoterId) {
        let mut believed = None;
        let mut last_answer = None;
        loop {
            tokio::time::sleep(JOIN_INTERVAL).await;
            if self.leader.borrow().is_some() {
                self.change_membership();
            }
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

    /// Records that a voter asks for a place, and gives it one if there is one.
    pub(super) fn join(self: &Rc<Self>, joining: &VoterId) -> JoinOutcome {
        let Some(node) = self.node.borrow().clone() else { return JoinOutcome::Full };
        if node.status().core.membership.is_voter(joining) {
            return JoinOutcome::Member;
        }
        self.membership_requests.borrow_mut().record_candidate(self.config.clock.now_ms(), joining);
        match self.change_membership() {
            true => JoinOutcome::Started,
            false => JoinOutcome::Full,
        }
    }

    fn led_ms(&self) -> u64 {
        self.config.clock.now_ms().saturating_sub(self.led_since_ms.get())
    }

    /// Gives the place of a voter that stops to one that waits for a place, and returns once it has it or
    /// nobody waits.
    pub(super) async fn retire(self: &Rc<Self>, leaving: &VoterId) {
        let now_ms = self.config.clock.now_ms();
        self.membership_requests.borrow_mut().record_leaving(now_ms, leaving);
        while self.is_place_passed_on(leaving) {
            tokio::time::sleep(RETIRE_POLL).await;
        }
    }

    /// Whether the place of a voter that stops is being passed on, or may be soon.
    fn is_place_passed_on(self: &Rc<Self>, leaving: &VoterId) -> bool {
        let Some(node) = self.node.borrow().clone() else { return false };
        let is_voter = node.status().core.membership.is_voter(leaving);
        let may_know_more = self.led_ms() < members::CANDIDATE_MS / 2;
        self.leader.borrow().is_some() && is_voter && (self.change_membership() || may_know_more)
    }

    /// Asks the leader to give the place of this voter, which stops, to one that waits for a place.
    pub(super) async fn hand_over_place(&self, own: VoterId) {
        let request = Request::Retire(own);
        let asked = self.client.ask_leader(&request, RETIRE_TIMEOUT_MS, RETIRE_TIMEOUT_MS);
        // This daemon may still lead, and then answers itself.
        let limit = Duration::from_millis(RETIRE_TIMEOUT_MS);
        let is_answered = matches!(tokio::time::timeout(limit, asked).await, Ok(Ok(Reply::Done)));
        log::info!(is_answered = is_answered; "asked the leader to pass on the place");
    }

    /// Starts the next change of the group, if one is due. Returns whether one is under way. Only a
    /// leader may call this.
    fn change_membership(self: &Rc<Self>) -> bool {
        let Some(node) = self.node.borrow().clone() else { return false };
        if self.is_membership_changing.get() {
            return true;
        }
        let now_ms = self.config.clock.now_ms();
        let membership = node.status().core.membership;
        // A new leader has no answers yet, so silence counts from the start of its leadership.
        let led_ms = self.led_ms();
        let health = |id: &VoterId| VoterHealth {
            silent_ms: node.silent_ms(id).map(|silent_ms| silent_ms.min(led_ms)),
            is_leaving: self.membership_requests.borrow().is_leaving(now_ms, id),
        };
        let max_voters = self.config.max_voters;
        let group = Group { membership: &membership, max_voters, health };
        self.report_tolerated_losses(&group);
        let candidates = self.membership_requests.borrow_mut().candidates(now_ms);
        let step = group.next_step(&candidates);
        if step == MembershipStep::Keep {
            return false;
        }
        log::info!(
            step:? = step, led_ms = led_ms, max_voters = max_voters,
            candidates:? = candidates, voters:? = membership.voters,
            health:? = membership.voters.iter().map(health).collect::<Vec<_>>();
            "the group is changed"
        );
        self.is_membership_changing.set(true);
        tokio::task::spawn_local(Rc::clone(self).carry_out(node, step));
        true
    }

    async fn carry_out(self: Rc<Self>, node: node::Handle, step: MembershipStep) {
        let changed = match &step {
            MembershipStep::Keep => Ok(()),
            MembershipStep::Add(new) => node.add(new.clone()).await,
            MembershipStep::Replace { old, new } => node.replace(old.clone(), new.clone()).await,
            MembershipStep::Remove(old) => node.remove(old.clone()).await,
        };
        self.is_membership_changing.set(false);
        match changed {
            Ok(()) => log::info!(step:? = step; "the group has changed"),
            Err(report) => log::warn!(step:? = step; "the group has not changed: {report}"),
        }
    }

    /// Tells how many further losses the group bears, if that has changed.
    fn report_tolerated_losses(&self, group: &Group<'_, impl Fn(&VoterId) -> VoterHealth>) {
        let losses = group.tolerated_losses();
        metrics::gauge!("fescuebay_voter_losses_tolerated").set(losses as f64);
        if self.tolerated_losses.replace(Some(losses)) == Some(losses) {
            return;
        }
        let most = (group.max_voters - 1) / 2;
        let level = if losses < most { log::Level::Warn } else { log::Level::Info };
        log::log!(
            level, losses = losses, most = most, voters = group.membership.voters.len();
            "losses of voters that the group bears now"
        );
    }
}
