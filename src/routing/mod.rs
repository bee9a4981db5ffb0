//! Routing decisions: admission, queues, choice of target, limits, retries, hedges and streams.
//!
//! Everything here is free of I/O. [`engine::RoutingEngine`] takes events with the time and a random number
//! generator and returns [`engine::Action`]s; `traffic` carries them out.

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
