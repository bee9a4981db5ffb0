//! Commands: all that changes the control state.

use crate::config;
use crate::control::{departures, jobs, orders, outcomes, owner, poison, records};
use crate::routes;

/// An entry of the log. New variants of its enums go at the end: entries outlive a release.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Unix time at the leader that proposed it.
    pub now_ms: u64,
    /// What to do.
    pub command: Command,
}

impl Entry {
    /// The entry as it stands in the log.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("an entry holds nothing that postcard refuses")
    }
}

/// A change of the control state.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Lets time pass. The leader proposes one a second while anything waits for time.
    Tick,
    /// A life of a daemon is over: what it owned is settled or handed to others.
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
    /// A life of a daemon that counted as over goes on: it was only cut off. Its calls under way
    /// are its own again; leases that others took meanwhile are not.
    DaemonReturned(owner::Owner),
    /// The document of routes.
    Routes(routes::state::Command),
    /// Who gives orders to engines.
    Orders(orders::Command),
    /// A target that leaves.
    Departures(departures::Command),
}

/// What a command led to.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// Done; there is nothing to tell.
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
    /// Reads an outcome that the machine encoded.
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
