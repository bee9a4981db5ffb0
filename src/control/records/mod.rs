//! Idempotency records: the state of each call that must run at most once.
//!
//! A record is committed before the first byte of its call is sent. An attempt whose key already
//! has a record receives the recorded state and must not dispatch the call.

mod command;
mod encoded_answer;
mod limits;
mod query;
mod record;
mod state;

pub use command::{Begun, Command, End, Finished, Outcome, Settled, Settlement};
pub use limits::Limits;
pub use query::{Query, Row, Status, View, answer};
pub use record::{Attempt, Cause, Nonce, key};
pub use state::State;
