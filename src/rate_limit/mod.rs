//! Rate limits that targets name in their responses, in requests a second over all routers.
//!
//! [`statements`] keeps what targets last said.

pub mod statements;

use crate::ids::{Incarnation, TargetId};
use crate::units::PerSecond;

/// What the head of a response says about the rate limit of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Statement {
    /// Nothing can be concluded: the head is not of this target or cannot be read.
    #[default]
    Unknown,
    /// The target names no limit.
    Unlimited,
    /// The target takes this many requests a second from all routers together.
    Limited(PerSecond),
}

/// One incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TargetLife {
    /// The target.
    pub target: TargetId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}
