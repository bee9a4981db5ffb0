//! Durable jobs: work that is acknowledged once it is committed, and then ends exactly once.
//!
//! A job waits, is leased to a daemon that runs it, and ends by an answer, a refusal with its
//! reason, or its cancellation. A lease that ends lets another daemon run it again.

mod command;
mod index;
mod job;
mod limits;
mod query;
pub mod runner;
pub mod shell;
mod state;

pub use command::{Cancelled, Command, Completed, Failure, Grant, Outcome, Renewal, Submitted};
pub use job::{End, Ran, Reason, Submission, Work, id_of_key};
pub use limits::Limits;
pub use query::{Query, Row, Status, View, answer};
pub use state::State;
