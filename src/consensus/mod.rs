//! The replicated log of a control group.
//!
//! [`core`] decides without input or output; [`node`] carries its actions out on the control
//! thread; [`crate::storage`] keeps what must survive.

pub mod core;
pub mod entry;
pub mod formation;
pub mod log;
pub mod message;
pub mod node;
pub mod timing;

use crate::ids::LogIndex;

/// What the voters replicate: a deterministic machine that entries of the log are applied to.
///
/// Entries and outcomes are opaque to the log. Time reaches the machine only inside entries.
pub trait Machine {
    /// Applies a committed entry and returns its encoded outcome.
    fn apply(&mut self, index: LogIndex, entry: &[u8]) -> Vec<u8>;

    /// The whole state, encoded.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state by a snapshot. `Err` says why the bytes cannot be read.
    fn restore(&mut self, snapshot: &[u8]) -> std::result::Result<(), String>;
}
