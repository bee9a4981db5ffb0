//! The role of a voter: it keeps the document of routes and, while it leads, knows all targets and
//! gives orders to model engines.
//!
//! Every voter answers operators and targets, and passes what they bring to the leader. Routers and
//! the other voters follow the leader by asking it for news.

pub mod api;
pub mod client;
pub mod follow;
pub mod leader;
pub mod loads;
pub mod members;
pub mod message;
mod run;
pub mod takeover;
mod voter;

use std::fmt;
use std::net::{IpAddr, SocketAddr};

use error_stack::Report;
use futures::future::LocalBoxFuture;

use crate::ids::{DaemonId, Incarnation, TargetId};
use crate::placement::swap;

pub use run::{Parts, run};

/// The step at which a voter failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The step, such as `open the log`.
    pub step: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "coordinator: {} failed", self.step)
    }
}

impl std::error::Error for Error {}

/// The result of running a voter.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The port to model engines. It carries orders and reads states; it decides nothing.
pub trait Engines {
    /// Sends an order of the leader `holder` and waits for its answer.
    fn order(
        &self,
        holder: DaemonId,
        order: swap::Order,
    ) -> LocalBoxFuture<'static, swap::OrderReply>;

    /// Reads the state of one life of an engine. `None` if it could not be read.
    fn read(
        &self,
        target: TargetId,
        incarnation: Incarnation,
        address: SocketAddr,
    ) -> LocalBoxFuture<'static, Option<swap::EngineReport>>;
}

/// The id of the daemon on the VM of this address: daemons are called by their addresses alone, so
/// nobody has to keep a list of names.
pub fn daemon_at(ip: IpAddr) -> DaemonId {
    ip.to_string().parse().expect("digits, dots and colons of an IPv4 address make an id")
}

/// Where the daemon of this id takes calls of other daemons.
pub fn peer_address(daemon: &DaemonId, port: u16) -> Option<SocketAddr> {
    let ip: IpAddr = daemon.as_str().parse().ok()?;
    Some(SocketAddr::new(ip, port))
}
