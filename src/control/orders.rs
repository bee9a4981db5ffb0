//! Which daemon gives orders to engines.
//!
//! Engines must not get orders of two daemons within a short time. A leader waits for that time
//! before its first order, then has its name recorded here, and only then gives orders. One that
//! finds its own name is the last that gave any, in whichever of its lives, and need not wait.

use crate::ids::DaemonId;

/// Records that a daemon gives orders from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Command {
    /// The daemon of the leader.
    pub giver: DaemonId,
}

/// The daemon that gives orders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    giver: Option<DaemonId>,
}

impl State {
    /// The last daemon that may have given orders; `None` if that was never recorded.
    pub fn giver(&self) -> Option<&DaemonId> {
        self.giver.as_ref()
    }

    /// Applies a command.
    pub fn apply(&mut self, command: Command) {
        self.giver = Some(command.giver);
    }
}
