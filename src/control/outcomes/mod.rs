//! The ledger of outcomes: hourly counts of checks, breaches with their reasons, and requests.
//!
//! Daemons collect counts and commit them in batches; the ledger is small and survives
//! restarts.

mod batch;
mod collector;
pub mod commit;
mod promise;
mod state;

pub use batch::{Batch, Breach, Count, Refused, Tally, Waited};
pub use collector::{Collector, collector, count};
pub use promise::Promise;
pub use state::{Command, Hour, Outcome, Query, State, answer};
