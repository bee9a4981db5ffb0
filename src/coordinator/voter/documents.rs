//! Stores and reads the route document in the log.

use std::rc::Rc;

use super::Voter;
use crate::consensus::node;
use crate::control::commands;
use crate::coordinator::message::{PutRoutesOutcome, Reply};
use crate::routes;

/// Timeout of a read. During a longer one the VM may have been paused and the value replaced.
const READ_TIMEOUT_MS: u64 = 700;

impl Voter {
    /// Passes the route document in the log to the leader.
    pub(super) fn publish_document(&self) {
        let Some(leader) = self.leader.borrow().clone() else { return };
        let machine = Rc::clone(&self.machine.borrow());
        let (version, text) = {
            let machine = machine.borrow();
            let routes = &machine.state().routes;
            (routes.version(), routes.text().clone())
        };
        leader.apply_document(version, text, self.config.decode);
    }

    pub(super) async fn put_routes(&self, command: routes::state::Command) -> Reply {
        let Some(node) = self.node.borrow().clone() else {
            return Reply::PutRoutes(PutRoutesOutcome::NotDone);
        };
        let now_ms = self.config.clock.now_ms();
        let entry = commands::Entry { now_ms, command: commands::Command::Routes(command) };
        let outcome = match node.propose(entry.encode()).await {
            Ok(bytes) => commands::Outcome::decode(&bytes),
            Err(report) => {
                log::warn!("a document was not stored: {report}");
                return match report.current_context() {
                    node::Error::NotLeader(hint) => Reply::NotLeader(hint.clone()),
                    node::Error::Unknown => Reply::PutRoutes(PutRoutesOutcome::Unknown),
                    node::Error::Unavailable(_) | node::Error::Start(_) => {
                        Reply::PutRoutes(PutRoutesOutcome::NotDone)
                    }
                };
            }
        };
        self.publish_document();
        match outcome {
            Ok(commands::Outcome::Routes(outcome)) => {
                Reply::PutRoutes(PutRoutesOutcome::Acknowledged(outcome))
            }
            Ok(other) => {
                log::error!("unexpected outcome of storing a document: {other:?}");
                Reply::PutRoutes(PutRoutesOutcome::Unknown)
            }
            Err(error) => {
                log::error!("the outcome of a document cannot be read: {error}");
                Reply::PutRoutes(PutRoutesOutcome::Unknown)
            }
        }
    }

    /// Reads the document in force. A read that takes so long that a later leader may have replaced
    /// the document is not answered.
    pub(super) async fn get_routes(&self) -> Reply {
        let Some(node) = self.node.borrow().clone() else { return Reply::NotLeader(None) };
        let begin_ms = self.config.clock.now_ms();
        if let Err(report) = node.read_barrier().await {
            log::info!("a reading is not answered: {report}");
            return Reply::NotLeader(None);
        }
        let machine = Rc::clone(&self.machine.borrow());
        let text = machine.borrow().state().routes.text().clone();
        match self.config.clock.now_ms() < begin_ms + READ_TIMEOUT_MS {
            true => Reply::Routes(text),
            false => Reply::NotLeader(None),
        }
    }
}
