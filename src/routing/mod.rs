//! Request routing: admission, queueing, target selection, concurrency limits, retries, hedging and
//! stream recovery.
//!
//! This module does no I/O. [`engine::RoutingEngine`] takes events with the time and a random
//! number generator and returns [`engine::Action`]s, which `traffic` carries out.

pub mod admission;
pub mod affinity;
pub mod budget;
pub mod choice;
pub mod demand;
pub mod duration;
pub mod engine;
pub mod hedge;
pub mod latency;
pub mod limit;
pub mod queue;
pub mod refusal;
pub mod retry;
pub mod slab;
pub mod stream;
pub mod suspect;
pub mod target;
pub mod usage;
