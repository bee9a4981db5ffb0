//! One daemon: starts the parts, joins them, and stops them.
//!
//! One thread holds the control state ([`core`]); the traffic threads read what it publishes
//! ([`published`]) and reach it over a [`bridge`].

pub mod announce;
pub mod backend;
pub mod bridge;
pub mod core;
pub mod dev;
pub mod follow;
pub mod group;
mod homes;
pub mod leader;
pub mod message;
pub mod once;
pub mod peers;
pub mod poison;
pub mod policy;
pub mod ports;
pub mod published;
mod serve;

use std::fmt;

pub use serve::{Addresses, Daemon, serve};

/// The step at which a daemon failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The step, such as `listen for callers`.
    pub step: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "daemon: {} failed", self.step)
    }
}

impl std::error::Error for Error {}

/// The result of running a daemon.
pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;
