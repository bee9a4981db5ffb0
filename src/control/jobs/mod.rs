//! Durable jobs: each is acknowledged once it is committed, and then ends exactly once.
//!
//! A job waits in the queue, is leased to a daemon that runs it, and ends with an answer, a refusal
//! and its reason, or a cancellation. When a lease ends without an answer, the job may be leased to
//! another daemon.

mod command;
mod index;
mod job;
mod limits;
mod query;
pub mod runner;
pub mod shell;
mod state;

pub use command::{Cancelled, Command, Completed, Failure, Grant, Outcome, Renewal, Submitted};
pub use job::{End, Reason, RunStatus, Submission, Work, id_of_key};
pub use limits::Limits;
pub use query::{Query, Row, Status, View, answer};
pub use state::State;
