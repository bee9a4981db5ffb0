//! Answers the requests of other daemons, as the leader or as a voter that follows.

use std::rc::Rc;

use super::{GROUP, Voter};
use crate::consensus::formation;
use crate::control::commands;
use crate::coordinator::leader;
use crate::coordinator::message::{self, Reply, Request, Status};
use crate::ids::{DaemonId, GroupId};
use crate::peer;

/// Handles messages and requests of other daemons.
pub(in crate::coordinator) struct PeerHandler {
    pub voter: Rc<Voter>,
}

impl peer::Handler for PeerHandler {
    fn consensus(&self, from: &DaemonId, group: GroupId, message: &[u8]) {
        let node = self.voter.node.borrow().clone();
        if let Some(node) = node.filter(|_| group == GROUP) {
            node.receive(from, message);
        }
    }

    async fn ask(
        &self,
        from: peer::PeerId,
        request: Vec<u8>,
    ) -> std::result::Result<Vec<u8>, String> {
        let request = message::decode(&request).map_err(|error| error.to_string())?;
        let reply = self.voter.answer(&from.daemon, request).await;
        Ok(message::encode(&reply))
    }
}

impl Voter {
    /// Handles a request of `from`, which may be this daemon.
    pub(in crate::coordinator) async fn answer(
        self: &Rc<Self>,
        from: &DaemonId,
        request: Request,
    ) -> Reply {
        let request = match request {
            Request::Delegate(term) => return Reply::Delegate(self.promise_orders(from, term)),
            Request::SendOrder(permit, order) => {
                return Reply::SentOrder(self.send_for_leader(from, permit, *order).await);
            }
            other => other,
        };
        let leader = self.leader.borrow().clone().filter(|leader| !leader.is_stopped());
        let Some(leader) = leader else {
            return match request {
                Request::Status => self.status(),
                Request::LastOrder(term) => Reply::LastOrder(self.last_order(term)),
                Request::CopyStreams(begun) => self.answer_copy(&begun),
                Request::RecallStreams(streams) => self.answer_recall(&streams),
                _ => self.not_leader(),
            };
        };
        match request {
            Request::Status => self.status(),
            Request::LastOrder(term) => Reply::LastOrder(self.last_order(term)),
            Request::Join(voter) => {
                self.client.add_voter(&voter.daemon);
                Reply::Joined(self.join(&voter))
            }
            Request::Retire(voter) => {
                self.retire(&voter).await;
                Reply::Done
            }
            // A leader without a lease may have been replaced, and its successor would not learn of
            // what it acknowledges.
            Request::Announce(_) | Request::Leave(..) if self.lease_left_ms() == Some(0) => {
                Reply::NotLeader(None)
            }
            Request::Announce(state) => self.acknowledge(leader.handle_announcement(*state)).await,
            Request::Leave(target, incarnation) => {
                self.acknowledge(leader.handle_departure(&target, incarnation)).await
            }
            Request::PutRoutes(command) => self.put_routes(command).await,
            Request::GetRoutes => self.get_routes().await,
            Request::Usage(usage) => {
                leader.record_usage(from, *usage);
                Reply::Done
            }
            Request::LeaseSlots(request) => match leader.answer_leases(from, &request) {
                Some(grants) => Reply::LeasedSlots(grants),
                None => Reply::NotLeader(None),
            },
            Request::Permits(asks) => match leader.answer_permits(from, &asks) {
                Some(grants) => Reply::Permits(grants),
                None => Reply::NotLeader(None),
            },
            Request::Poison(report) => match leader.answer_poison(from, &report) {
                Some(permission) => Reply::Poison(permission),
                None => Reply::NotLeader(None),
            },
            Request::RecordStreams(report) => {
                self.record_streams(report.begun);
                leader.note_streams_told(from, report.streams_told);
                Reply::Done
            }
            Request::CopyStreams(begun) => self.answer_copy(&begun),
            Request::RecallStreams(streams) => self.answer_recall(&streams),
            Request::FindHelpers(query) => Reply::Helpers(leader.find_helpers(from, &query)),
            Request::FindStreams(queries) => self.find_streams(&queries).await,
            Request::Watch(watch) => match leader.answer_watch(from, *watch, self.voters()).await {
                Some(news) => Reply::Watch(Box::new(news)),
                None => Reply::NotLeader(None),
            },
            Request::Quota(report) => match leader.answer_quota(from, &report) {
                Some(grants) => Reply::Quota(grants),
                None => Reply::NotLeader(None),
            },
            // Answered above.
            Request::Delegate(_) | Request::SendOrder(..) => self.not_leader(),
        }
    }

    /// Acknowledges an announcement or departure of a target, after recording it if required.
    async fn acknowledge(&self, when: leader::AckCondition) -> Reply {
        let is_recorded = match when {
            leader::AckCondition::Immediate => true,
            leader::AckCondition::AfterRecord(command) => {
                self.record(commands::Command::Departures(command)).await
            }
        };
        if is_recorded { Reply::Done } else { Reply::NotLeader(None) }
    }

    fn not_leader(&self) -> Reply {
        let known = self.node.borrow().as_ref().and_then(|node| node.status().core.leader);
        let other =
            known.map(|leader| leader.daemon).filter(|leader| *leader != self.config.own_id);
        Reply::NotLeader(other)
    }

    fn status(&self) -> Reply {
        if let Some(node) = &*self.node.borrow() {
            let status = node.status();
            let leader = status.core.leader.map(|leader| leader.daemon);
            let (voter, seen) = (status.id, node.folder_state());
            return Reply::Status(Box::new(Status { voter, seen, leader }));
        }
        match self.unformed.borrow().clone() {
            Some(voter) => {
                let seen = formation::FolderState::Empty(voter.clone());
                Reply::Status(Box::new(Status { voter, seen, leader: None }))
            }
            None => Reply::NotLeader(None),
        }
    }

    pub(super) fn voters(&self) -> Vec<DaemonId> {
        let membership = self.node.borrow().as_ref().map(|node| node.status().core.membership);
        let voters = membership.map(|membership| membership.voters).unwrap_or_default();
        voters.into_iter().map(|id| id.daemon).collect()
    }
}
