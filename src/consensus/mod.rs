//! Raft consensus for the replicated log of a control group.
//!
//! [`core`] is the protocol without I/O; [`node`] executes its actions on the control thread;
//! [`crate::storage`] persists the log and snapshots.

pub mod core;
pub mod entry;
pub mod formation;
pub mod log;
pub mod message;
pub mod node;
pub mod timing;

use crate::ids::LogIndex;

/// The replicated state machine: deterministic, and changed only by applying log entries.
///
/// Entries and outcomes are opaque to the log. The machine reads no clock; entries carry the time.
pub trait Machine {
    /// Applies a committed entry and returns its encoded outcome.
    fn apply(&mut self, index: LogIndex, entry: &[u8]) -> Vec<u8>;

    /// Returns the whole state, encoded.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state with a snapshot. `Err` holds the reason why it cannot be decoded.
    fn restore(&mut self, snapshot: &[u8]) -> std::result::Result<(), String>;
}
