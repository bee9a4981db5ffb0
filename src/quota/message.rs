//! What routers and the leader tell each other about quotas.

use crate::ids::TenantId;

/// Waiting requests that one ask names; further ones follow with the next.
pub const MAX_WAITING: usize = 128;

/// A part of a workspace's rate, in millionths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Share(pub u32);

impl Share {
    /// The whole rate.
    pub const WHOLE: Share = Share(1_000_000);

    /// The share as a fraction.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::WHOLE.0)
    }
}

/// Units that a process of a router used for one workspace since its start. A report that is lost or repeated
/// changes nothing, as the totals of a later one contain it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Totals {
    /// Spent of credit that a leader granted.
    pub spent: u64,
    /// Spent of its share, without a leader.
    pub accrued: u64,
    /// Spent of its reserve.
    pub reserve: u64,
    /// Of the above, charged for requests that did not run.
    pub refunded: u64,
}

/// What a router has and wants for one workspace.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct QuotaAsk {
    /// The workspace.
    pub workspace: TenantId,
    /// What was used.
    pub totals: Totals,
    /// Granted credit that the router keeps. It returns the rest.
    pub kept: u64,
    /// Unspent units that accrued of its share since it has no leader.
    pub accrued: u64,
    /// What is left of its reserve.
    pub reserve: u64,
    /// Its share.
    pub share: Share,
    /// Credit that it wants to have beyond what waiting requests cost: what it spends steadily in half a second.
    pub ahead: u64,
    /// The largest request of late; 0 if the router gives up all that it has.
    pub largest: u64,
    /// The costs of the requests that wait, in their order.
    pub waiting: Vec<u32>,
}

/// The numbered asks of a router.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct QuotaReport {
    /// Identifies the process of the router.
    pub process: u64,
    /// Rises with each report of the process.
    pub sequence: u64,
    /// The last report that was answered.
    pub answered: u64,
    /// One for each workspace with news, sorted.
    pub asks: Vec<QuotaAsk>,
}

/// The leader's answer to a [`QuotaAsk`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct QuotaGrant {
    /// The workspace.
    pub workspace: TenantId,
    /// Credit that the router may spend from now on, with what it kept and less what it spent meanwhile.
    pub credit: u64,
    /// What of it the router may keep once the waiting requests have got theirs.
    pub lasting: u64,
    /// The reserve that the router may hold.
    pub reserve: u64,
    /// The share that the router may accrue without a leader.
    pub share: Share,
    /// Time until credit for the first refused request will be available.
    pub retry_in_ms: u32,
    /// Time for which the router refuses requests of that cost itself.
    pub closed_ms: u32,
    /// Whether the bucket gets less than the rate, because routers that are silent may be using their shares.
    /// Requests are admitted from reserves then, or wait.
    pub is_restricted: bool,
}

impl QuotaGrant {
    /// A grant of nothing, for a router that gave up what it had.
    pub fn nothing(workspace: TenantId) -> Self {
        Self {
            workspace,
            credit: 0,
            lasting: 0,
            reserve: 0,
            share: Share::default(),
            retry_in_ms: 0,
            closed_ms: 0,
            is_restricted: false,
        }
    }
}
