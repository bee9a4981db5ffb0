//! The caller-facing HTTP server: inference, services and jobs, and the tasks that send the
//! attempts that `routing` decides on.

pub mod call;
pub mod clock;
mod driver;
pub mod edge;
pub mod handlers;
pub mod idempotency;
pub mod jobs;
pub mod limits;
mod measure;
mod permits;
pub mod poison;
pub mod policy;
pub mod problem;
mod relay;
mod request_guard;
pub mod response;
pub mod server;
pub mod state;

pub use server::serve;
pub use state::TrafficState;
