//! Records which daemon sends the orders to the engines of each slot, while several daemons do.
//!
//! The recorded sender of orders ([`super::orders`]) is then [`sender_mark`], which names no daemon. Builds that
//! do not know this module therefore wait for the end of all orders before they send any. A record of
//! a single sender removes the list.

use crate::ids::DaemonId;

/// The recorded sender of orders while delegates send them.
pub fn sender_mark() -> DaemonId {
    "delegates".parse().expect("letters make an id")
}

/// Replaces the senders of all slots.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Command {
    /// The daemon that sends the orders of each slot.
    pub slots: Vec<DaemonId>,
}

/// The daemon that sends the orders of each slot; empty if one daemon sends all orders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    slots: Vec<DaemonId>,
}

impl State {
    /// The daemon of each slot.
    pub fn slots(&self) -> &[DaemonId] {
        &self.slots
    }

    /// Applies a command.
    pub fn apply(&mut self, command: Command) {
        self.slots = command.slots;
    }

    /// Removes the list: one daemon sends all orders.
    pub fn clear(&mut self) {
        self.slots.clear();
    }
}
