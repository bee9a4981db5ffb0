//! Idempotency records: what is known of each call that must run at most once.
//!
//! A record is committed before the first byte of its call leaves. Whoever asks for a record that
//! is there already learns what is known, and dispatches nothing.

mod command;
mod kept;
mod limits;
mod query;
mod record;
mod state;

pub use command::{Begun, Command, End, Finished, Outcome, Settled, Settlement};
pub use limits::Limits;
pub use query::{Query, Row, Status, View, answer};
pub use record::{Attempt, Cause, Nonce, key};
pub use state::State;
