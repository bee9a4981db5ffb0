//! The replicated commands that change the control state.

use crate::config;
use crate::control::{
    delegates, departures, jobs, orders, outcomes, owner, poison, records, software,
};
use crate::routes;

/// An entry of the log. New variants of its enums go at the end: entries outlive a release.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Unix time at the leader that proposed it.
    pub now_ms: u64,
    /// The command to apply.
    pub command: Command,
}

impl Entry {
    /// Encodes the entry for the log.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("an entry holds nothing that postcard refuses")
    }
}

/// A change of the control state.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Advances the time of the state. The leader proposes one per second while any timeout or
    /// expiry is pending.
    Tick,
    /// A daemon incarnation has ended: its calls in progress become unknown, and its leases end.
    DaemonGone(owner::Owner),
    /// Replaces the limits of the state.
    SetLimits(Box<Limits>),
    /// Idempotency records.
    Records(records::Command),
    /// Durable jobs.
    Jobs(jobs::Command),
    /// Poison requests.
    Poison(poison::Command),
    /// The ledger of outcomes.
    Outcomes(Box<outcomes::Command>),
    /// The configuration.
    Config(Box<config::Command>),
    /// A daemon incarnation that was recorded as ended was only partitioned. It owns its calls in
    /// progress again, but not the leases that have ended meanwhile.
    DaemonReturned(owner::Owner),
    /// The document of routes.
    Routes(routes::state::Command),
    /// The daemon that sends orders to engines.
    Orders(orders::Command),
    /// The announced departure of a target.
    Departures(departures::Command),
    /// The software versions of targets.
    Software(software::Command),
    /// The daemons that send orders to engines, by slot.
    Delegates(delegates::Command),
}

/// The result of a [`Command`].
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// The command was applied and has no further result.
    Done,
    /// The entry could not be read. Nothing was done.
    Rejected(String),
    /// Idempotency records.
    Records(records::Outcome),
    /// Durable jobs.
    Jobs(jobs::Outcome),
    /// Poison requests.
    Poison(poison::Outcome),
    /// The ledger of outcomes.
    Outcomes(outcomes::Outcome),
    /// The configuration.
    Config(Box<config::Outcome>),
    /// The document of routes.
    Routes(routes::state::Outcome),
}

impl Outcome {
    /// Decodes an outcome that the state machine encoded.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// Limits of the state: part of the state, so that all voters decide alike.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Idempotency records.
    pub records: records::Limits,
    /// Durable jobs.
    pub jobs: jobs::Limits,
    /// Poison requests.
    pub poison: poison::Limits,
}
