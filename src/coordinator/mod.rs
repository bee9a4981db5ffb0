//! The voter role: replicates the route document and, on the leader, tracks all targets and sends
//! orders to model engines.
//!
//! Every voter accepts requests of operators and targets and forwards them to the leader. Routers
//! and the other voters follow the leader by long polling.

pub mod api;
pub mod client;
pub mod delegates;
pub mod follow;
pub mod leader;
pub mod loads;
pub mod members;
pub mod message;
pub mod routers;
mod run;
pub mod software;
pub mod speeds;
pub mod takeover;
pub mod target_cache;
mod voter;

use std::fmt;
use std::net::{IpAddr, SocketAddr};

use error_stack::Report;
use futures::future::LocalBoxFuture;

use crate::ids::{DaemonId, Incarnation, TargetId};
use crate::placement::swap;

pub use run::{Dependencies, run};

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

/// Whether an order may still be sent.
pub type SendCheck = std::rc::Rc<dyn Fn() -> bool>;

impl std::error::Error for Error {}

/// The result of running a voter.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The transport to model engines. It sends orders and reads states, and makes no decisions.
pub trait EngineClient {
    /// Sends an order on behalf of the leader `holder` and waits for the response.
    fn send_order(
        &self,
        holder: DaemonId,
        order: swap::Order,
    ) -> LocalBoxFuture<'static, swap::OrderReply>;

    /// Sends an order as [`EngineClient::send_order`] does if `may_send` returns true right before the first byte
    /// leaves. `None` if it was not sent and never will be.
    fn send_checked_order(
        &self,
        holder: DaemonId,
        order: swap::Order,
        may_send: SendCheck,
    ) -> LocalBoxFuture<'static, Option<swap::OrderReply>> {
        if !may_send() {
            return Box::pin(std::future::ready(None));
        }
        let answered = self.send_order(holder, order);
        Box::pin(async move { Some(answered.await) })
    }

    /// Reads the state of one incarnation of an engine. `None` if it could not be read.
    fn read_state(
        &self,
        target: TargetId,
        incarnation: Incarnation,
        address: SocketAddr,
    ) -> LocalBoxFuture<'static, Option<swap::EngineReport>>;
}

/// Returns the id of the daemon on the VM with this address. Ids are derived from addresses, so
/// that no list of names has to be maintained.
pub fn daemon_at(ip: IpAddr) -> DaemonId {
    ip.to_string().parse().expect("digits, dots and colons of an IPv4 address make an id")
}

/// Returns the address at which a daemon accepts connections of other daemons.
pub fn peer_address(daemon: &DaemonId, port: u16) -> Option<SocketAddr> {
    let ip: IpAddr = daemon.as_str().parse().ok()?;
    Some(SocketAddr::new(ip, port))
}
