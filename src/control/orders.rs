//! Records which daemon sends orders to engines.
//!
//! Engines must not receive orders from two daemons within a short time. A leader waits for that
//! time before its first order, then has its name recorded here, and only then sends orders. A
//! leader that finds its own name was the last daemon to send any, in whichever incarnation, and
//! need not wait.

use crate::ids::DaemonId;

/// Records that a daemon sends orders from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Command {
    /// The daemon of the leader.
    pub giver: DaemonId,
}

/// The daemon that sends orders to engines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    giver: Option<DaemonId>,
}

impl State {
    /// Returns the last daemon that may have sent orders; `None` if none was recorded.
    pub fn giver(&self) -> Option<&DaemonId> {
        self.giver.as_ref()
    }

    /// Applies a command.
    pub fn apply(&mut self, command: Command) {
        self.giver = Some(command.giver);
    }
}
