//! Poison requests: a request that kills the targets that run it.
//!
//! The death of a target marks what was in flight there as suspect. A suspect is tried again on a
//! target apart from other suspects; a second death closes its digest everywhere for a while.

mod command;
mod feed;
mod limits;
mod state;

pub use command::{Command, Flight, Lifted, Outcome, Trial};
pub use feed::{Answer, Feed, Mirror, Query, Row, Standing, answer};
pub use limits::Limits;
pub use state::{Death, Lift, State};
