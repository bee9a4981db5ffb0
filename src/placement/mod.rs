//! Placement of models on targets: replicas, loads, memory and orders.
//!
//! [`planner::Planner`] decides and [`driver::Driver`] sends its orders to targets; the other
//! modules are parts of the planner. [`swap`] plans for engines with a different order protocol.

pub mod catalogue;
pub mod demand;
pub mod driver;
pub mod gaps;
pub mod ledger;
pub mod load_limits;
pub mod planner;
pub mod policy;
pub mod prefix;
pub mod replicas;
pub mod selection;
pub mod settings;
pub mod swap;

pub use planner::{Action, Event, Planner};
pub use settings::Settings;
