//! What routers and the leader tell each other about rate limits.
//!
//! Times are sent as ages, because the clocks of daemons differ.

use super::TargetLife;
use super::statements::{Limit, StatedAt, Statements};
use crate::units::PerSecond;

/// The last statement of a target that names a limit, or did.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TargetStatement<L = PerSecond> {
    /// The target.
    pub life: TargetLife,
    /// Its limit; `None` if it names none any more.
    pub limit: Option<L>,
    /// Time since the request was sent to which it responded.
    pub sent_age_ms: u64,
    /// Time since the head of that response was read.
    pub read_age_ms: u64,
}

impl<L> TargetStatement<L> {
    /// When the statement was made, by the clock of the receiver.
    pub fn stated_at(&self, now_ms: u64) -> StatedAt {
        StatedAt {
            sent_ms: now_ms.saturating_sub(self.sent_age_ms),
            read_ms: now_ms.saturating_sub(self.read_age_ms),
        }
    }
}

/// What a router knows of a limited target, and the permits that it asks for.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PermitAsk {
    /// What the target last said to this router, or to another one as far as this router was told.
    pub statement: TargetStatement,
    /// Permits wanted; 0 if the router only passes on the statement.
    pub count: u32,
    /// How many of them may start later than at once: their requests have no other target.
    pub patient: u32,
}

/// The leader's answer to a [`PermitAsk`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PermitGrant {
    /// What the target last said, as far as the leader knows.
    pub statement: TargetStatement,
    /// Time until each granted permit starts, in ascending order.
    pub starts_in_ms: Vec<u64>,
    /// Time until a further permit would start.
    pub next_in_ms: u64,
    /// Time until the router may ask again: sooner for one that has had none for longer.
    pub ask_in_ms: u64,
    /// Time until all requests that wait at any router for the target would have a permit.
    pub clears_in_ms: u64,
}

impl<L: Limit> Statements<L> {
    /// What a target last said, for another daemon.
    pub fn to_message(&self, now_ms: u64, life: &TargetLife) -> TargetStatement<L> {
        let StatedAt { sent_ms, read_ms } = self.stated_at(life).unwrap_or_default();
        TargetStatement {
            life: life.clone(),
            limit: self.limit(&life.target, life.incarnation),
            sent_age_ms: now_ms.saturating_sub(sent_ms),
            read_age_ms: now_ms.saturating_sub(read_ms),
        }
    }

    /// What all targets last said, for another daemon.
    pub fn to_messages(&self, now_ms: u64) -> Vec<TargetStatement<L>> {
        self.lives().map(|life| self.to_message(now_ms, life)).collect()
    }
}
