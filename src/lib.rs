//! fescuebay: a serving system for rarely used models.
//!
//! One binary runs on every VM. Decisions are pure: they take the time, an event and a random
//! number generator, and return what to do next. Shells around them carry bytes.

pub mod admin;
pub mod cli;
pub mod clock;
pub mod config;
pub mod consensus;
pub mod control;
pub mod coordinator;
pub mod daemon;
pub mod gateway;
pub mod ids;
pub mod logging;
pub mod membership;
pub mod origins;
pub mod peer;
pub mod placement;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod poison;
pub mod quota;
pub mod rate_limit;
pub mod report;
pub mod routes;
pub mod routing;
pub mod settings;
pub mod slot_lease;
pub mod stand_in;
pub mod stop;
pub mod storage;
pub mod story;
pub mod target;
pub mod traffic;
pub mod trailing;
pub mod units;
pub mod web;
