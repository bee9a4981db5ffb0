//! What is loaded where: replicas, loads, memory and orders.
//!
//! [`planner::Planner`] decides and [`driver::Driver`] carries its orders to targets. The other
//! modules hold what the planner decides with. [`swap`] plans for engines of another contract.

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
