//! The replicated control state, and the port that the rest of a daemon reaches it through.
//!
//! [`machine::Machine`] is what the voters replicate. [`commands`] change its state and
//! [`queries`] read it. [`port::Log`] carries both to the leader; [`once`] and [`jobs::runner`]
//! are the clients that drive it.

pub mod answer;
pub mod commands;
pub mod delegates;
pub mod departures;
pub mod jobs;
pub mod machine;
pub mod once;
pub mod orders;
pub mod outcomes;
pub mod owner;
pub mod poison;
pub mod port;
pub mod queries;
pub mod records;
pub mod shards;
pub mod single;
pub mod software;

pub use machine::Machine;
