//! The ledger of outcomes: what held, what did not, and why, hour by hour.
//!
//! Daemons collect counts and commit them in batches; the ledger survives restarts and is small.

mod batch;
mod collector;
pub mod commit;
mod promise;
mod state;

pub use batch::{Batch, Breach, Count, Refused, Tally, Waited};
pub use collector::{Collector, collector, count};
pub use promise::Promise;
pub use state::{Command, Hour, Outcome, Query, State, answer};
