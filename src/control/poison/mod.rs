//! Poison requests: requests that kill the targets that run them.
//!
//! The death of a target marks the requests in flight there as suspect. A suspect is retried on a
//! target that runs no other suspect. After a second death, all routers refuse the digest for a
//! limited time.

mod command;
mod feed;
mod limits;
mod state;

pub use command::{Command, Flight, Lifted, Outcome, Trial};
pub use feed::{Answer, Feed, Mirror, Query, Row, Standing, answer};
pub use limits::Limits;
pub use state::{Death, LiftRecord, State};
