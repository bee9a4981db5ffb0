//! The port to other daemons, as the control thread uses it.

use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;

use crate::daemon::core::Core;
use crate::daemon::message;
use crate::ids::{DaemonId, GroupId};
use crate::peer;
use crate::peer::client;

/// Why another daemon did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request did not reach it.
    NotSent,
    /// The request may have reached it.
    Unknown,
}

/// Asks other daemons.
pub trait Peers {
    /// Sends a request and waits for its reply, at most for `limit`.
    fn ask<'a>(
        &'a self,
        to: &'a DaemonId,
        request: Vec<u8>,
        limit: Duration,
    ) -> LocalBoxFuture<'a, Result<Vec<u8>, Failure>>;

    /// Sends a message of the replicated log without waiting; it may be lost.
    fn send(&self, to: &DaemonId, message: Vec<u8>);
}

/// The other daemons over pooled connections.
pub struct Pooled {
    /// The connections.
    pub pool: client::Pool,
    /// The group whose log messages are sent.
    pub group: GroupId,
}

impl Peers for Pooled {
    fn ask<'a>(
        &'a self,
        to: &'a DaemonId,
        request: Vec<u8>,
        limit: Duration,
    ) -> LocalBoxFuture<'a, Result<Vec<u8>, Failure>> {
        Box::pin(async move {
            let answered = self.pool.ask(to, request, limit.as_millis() as u64).await;
            answered.map_err(|report| match report.current_context() {
                peer::Error::Unanswered(_) => Failure::Unknown,
                _ => Failure::NotSent,
            })
        })
    }

    fn send(&self, to: &DaemonId, message: Vec<u8>) {
        self.pool.send_consensus(to, self.group, message);
    }
}

/// Answers other daemons.
pub struct Answers {
    /// The control state of this daemon.
    pub core: Rc<Core>,
    /// The group whose log messages are taken.
    pub group: GroupId,
}

impl peer::Handler for Answers {
    fn consensus(&self, from: &DaemonId, group: GroupId, message: &[u8]) {
        if let Some(node) = self.core.node().filter(|_| group == self.group) {
            node.receive(from, message);
        }
    }

    async fn ask(&self, from: peer::PeerId, request: Vec<u8>) -> Result<Vec<u8>, String> {
        let request = message::decode(&request).map_err(|error| error.to_string())?;
        let reply = self.core.serve(&from.daemon, request).await;
        Ok(message::encode(&reply))
    }
}
