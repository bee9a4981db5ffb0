//! Slots of brittle targets, leased to routers.
//!
//! A brittle target falls over when it has to turn away more than a few requests in a second for want of room.
//! What routers know of each other's requests is some hundred milliseconds old, so callers that come to all of them
//! at once would be sent to it by far too many. While a target says that it is brittle, a router has no more
//! requests there at once than the leader has leased slots to it, and the leases of all routers
//! add up to what the target holds. Rejections show that it holds less than it announced.
//!
//! Worst-case load: a wave of callers at all routers at the same moment, again and again, for a service whose
//! targets are all brittle, while the leader is replaced.
//!
//! [`pool`] decides for one router what it may send and asks for, and [`ledger`] decides at the leader who
//! gets which slots. None of them performs I/O.

pub mod ledger;
pub mod message;
pub mod pool;

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::rate_limit::statements::Limit;

/// Time for which a lease may be used after it was asked for.
pub const LEASE_MS: u64 = 1_000;

/// What the head of a response says about how brittle its target is.
pub type Statement = crate::rate_limit::Statement<MaxRejections>;

/// Requests that a brittle target may turn away in a second before it falls over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct MaxRejections(pub u32);

impl fmt::Display for MaxRejections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} rejections a second", self.0)
    }
}

impl FromStr for MaxRejections {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.trim().parse().map(Self)
    }
}

impl Limit for MaxRejections {
    fn strictness(self) -> f64 {
        -f64::from(self.0)
    }
}
