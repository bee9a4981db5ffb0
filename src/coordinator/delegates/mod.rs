//! Delegates: voters that send the orders to a share of the engines, over changes of the leader.
//!
//! Worst-case load: the leader is lost while requests wait for models that have to be loaded. Engines that do not
//! check fencing numbers must not get orders of two daemons within the takeover time, so the engines of
//! a lost sender have to wait. With delegates, these are a fifth of all engines.
//!
//! [`book`] decides at the leader, [`sender`] at a delegate. An order leaves a delegate only with a [`Permit`]
//! that rests on a recent contact between the two and ends before the lease of the leader. The next leader
//! therefore never has to wait for more than the orders sent before its election.

pub mod book;
pub mod sender;

use crate::ids::Term;

/// Time after a contact in which a delegate may send orders that its leader passes on.
pub const CONTACT_VALID_MS: u64 = 1_000;
/// Time after which an order without a response is given up and its connection is reset.
pub const ORDER_TIMEOUT_MS: u64 = 700;

/// A contact between a leader and a delegate, numbered by the delegate. Numbers start anywhere in each process, so
/// one of an earlier process is not mistaken for one of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ContactId(pub u64);

/// Permits a delegate to send an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Permit {
    /// The term of the leader.
    pub term: Term,
    /// A contact in this term.
    pub contact: ContactId,
    /// Time after the contact at which the permit ends, by the clock of the delegate. It is not later than the end
    /// of the leader's lease.
    pub valid_ms: u64,
}
