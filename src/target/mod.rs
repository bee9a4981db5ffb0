//! The interface to a target: orders, state queries and calls.
//!
//! The rest of the system uses a target only through the [`Target`] trait. `http` implements the
//! trait for real targets; tests implement it in memory.

pub mod call;
pub mod http;
pub mod order;

use futures::future::BoxFuture;

/// The operations of a daemon on one target.
///
/// Dropping the future of a call closes its connection; bytes already written may still take
/// effect at the target.
pub trait Target: Send + Sync {
    /// Sends an order. `Ok` means that the target replied, not that it accepted the order.
    fn order(&self, order: order::Order) -> BoxFuture<'_, order::Result<order::Reply>>;

    /// Reads the target's state, and raises the target's highest seen fencing number if it checks
    /// fencing.
    fn state(&self, fencing: order::Fencing) -> BoxFuture<'_, order::Result<order::State>>;

    /// Sends one attempt of a call and returns the response once its head has been received.
    fn call(&self, attempt: call::Attempt) -> BoxFuture<'_, call::Result<call::Answer>>;

    /// Resumes a stream from `offset`, over a connection that no earlier attempt used.
    fn resume(&self, attempt: call::Resume) -> BoxFuture<'_, call::Result<call::Answer>>;

    /// Cancels a stream at the engine, which frees the stream's slot.
    fn cancel(&self, request: &crate::ids::RequestId) -> BoxFuture<'_, call::Result<()>>;
}
