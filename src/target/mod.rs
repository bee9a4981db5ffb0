//! The port to a target: the orders it takes, the state it tells, the calls it answers.
//!
//! [`Target`] is what the rest of the system knows of a target. `http` speaks to real ones; tests
//! implement the same trait in memory.

pub mod call;
pub mod http;
pub mod order;

use futures::future::BoxFuture;

/// What a daemon may ask of one target.
///
/// Dropping the future of a call closes its connection; it does not undo what was written.
pub trait Target: Send + Sync {
    /// Sends an order. `Ok` means that the target answered, not that it obeyed.
    fn order(&self, order: order::Order) -> BoxFuture<'_, order::Result<order::Reply>>;

    /// Reads the target's own state, and raises its fencing number where it checks one.
    fn state(&self, fencing: order::Fencing) -> BoxFuture<'_, order::Result<order::State>>;

    /// Sends one attempt of a call and returns its answer once the head has come.
    fn call(&self, attempt: call::Attempt) -> BoxFuture<'_, call::Result<call::Answer>>;

    /// Goes on with a stream from `offset`, over a connection that no earlier attempt used.
    fn resume(&self, attempt: call::Resume) -> BoxFuture<'_, call::Result<call::Answer>>;

    /// Ends a stream at the engine, so that it frees its slot.
    fn cancel(&self, request: &crate::ids::RequestId) -> BoxFuture<'_, call::Result<()>>;
}
