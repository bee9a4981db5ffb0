//! Quotas of workspaces, kept over all routers.
//!
//! The leader keeps a token bucket for each workspace and grants credit to routers, which spend it locally. In each
//! window, what all routers admit stays within the quota and a tolerance. The sum of the level of the bucket, of
//! the credit that routers may still spend, and of the shares that silent routers may be using is bounded by the
//! burst, so requests that were admitted on one router cannot be admitted again on another.
//!
//! Worst-case load: a workspace that asks for several times its quota through a few routers or all of them, while
//! leaders change, routers are cut off, suspended or killed, and messages are lost.
//!
//! [`ledger`] decides at the leader who gets credit, and [`pool`] decides at a router what is admitted. Neither
//! performs I/O.

pub mod ledger;
pub mod message;
pub mod pool;

use crate::routes::access::{Quota, QuotaUnit};

/// Time for which granted credit may be spent after it was asked for.
pub const GRANT_MS: u64 = 1_000;
/// Time for which credit for waiting requests may be spent after it was asked for: their router waits no longer for
/// the answer.
pub const ANSWER_MS: u64 = 350;
/// Time after its last contact with a leader for which a router may use its reserve.
pub const CONTACT_MS: u64 = 5_000;
/// Time after its last contact with a leader for which a router's share accrues. A leader holds it back for as long,
/// so a longer time costs a workspace more when routers are lost.
pub const SHARE_MS: u64 = 3_500;
/// Time without an answer of a leader after which a router accrues its share.
pub const ALONE_MS: u64 = 1_300;
/// Part of the headroom that the reserves of all routers have together.
const RESERVE_PART: f64 = 0.5;
/// Part of the headroom that the leader itself holds in reserve, for when it holds back the shares of silent routers.
const LEADER_RESERVE_PART: f64 = 0.3;
/// Part of the headroom by which buckets are filled beyond the burst. What routers have spent and not reported
/// yet counts as if it could still be spent, so an exact bucket would lose credit.
const OVERFILL_PART: f64 = 0.1;

/// How closely quotas are kept.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bounds {
    /// The length of a window.
    pub window_ms: u64,
    /// Part of a quota that may be admitted beyond it in a window.
    pub tolerance: f64,
    /// Tokens that may be admitted beyond that in a window.
    pub slack: f64,
}

impl Bounds {
    /// Units that may be admitted beyond a quota in a window.
    pub fn headroom(&self, quota: &Quota) -> f64 {
        let slack = match quota.unit {
            QuotaUnit::Tokens { .. } => self.slack,
            // The slack counts tokens.
            QuotaUnit::Requests => 0.0,
        };
        self.quota_units(quota) * self.tolerance + slack
    }

    /// Units that may be admitted in a window.
    pub fn limit(&self, quota: &Quota) -> f64 {
        self.quota_units(quota) + self.headroom(quota)
    }

    fn quota_units(&self, quota: &Quota) -> f64 {
        quota.rate_per_s * self.window_ms as f64 / 1_000.0 + quota.burst
    }

    /// Units that the reserves of all routers have together.
    fn reserve(&self, quota: &Quota) -> f64 {
        self.headroom(quota) * RESERVE_PART
    }

    /// Units that the leader may grant in a window beyond the bucket.
    fn leader_reserve(&self, quota: &Quota) -> f64 {
        self.headroom(quota) * LEADER_RESERVE_PART
    }

    /// Units by which a bucket is filled beyond the burst.
    fn overfill(&self, quota: &Quota) -> f64 {
        self.headroom(quota) * OVERFILL_PART
    }
}

/// The cost of a request that states this number of tokens, if it states one.
pub fn cost(quota: &Quota, tokens: Option<u64>) -> u64 {
    match quota.unit {
        QuotaUnit::Requests => 1,
        QuotaUnit::Tokens { default_tokens } => tokens.unwrap_or(default_tokens),
    }
}
