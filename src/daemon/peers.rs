//! The port to other daemons, as the control thread uses it.

use std::time::Duration;

use futures::future::LocalBoxFuture;

use crate::ids::DaemonId;

/// Why another daemon did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request did not reach it.
    NotSent,
    /// The request may have reached it.
    Unknown,
}

/// Asks other daemons.
pub trait Peers {
    /// Sends a request and waits for its reply, at most for `limit`.
    fn ask<'a>(
        &'a self,
        to: &'a DaemonId,
        request: Vec<u8>,
        limit: Duration,
    ) -> LocalBoxFuture<'a, Result<Vec<u8>, Failure>>;

    /// Sends a message of the replicated log without waiting; it may be lost.
    fn send(&self, to: &DaemonId, message: Vec<u8>);
}

/// No other daemons.
#[derive(Clone, Copy, Debug)]
pub struct Alone;

impl Peers for Alone {
    fn ask<'a>(
        &'a self,
        _to: &'a DaemonId,
        _request: Vec<u8>,
        _limit: Duration,
    ) -> LocalBoxFuture<'a, Result<Vec<u8>, Failure>> {
        Box::pin(std::future::ready(Err(Failure::NotSent)))
    }

    fn send(&self, _to: &DaemonId, _message: Vec<u8>) {}
}
