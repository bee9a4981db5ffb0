//! Caller-facing HTTP: inference, services, and the tasks that carry out what `routing` decides.

pub mod answer;
pub mod call;
pub mod clock;
mod driver;
pub mod edge;
pub mod handle;
pub mod jobs;
pub mod limits;
mod measure;
pub mod once;
pub mod poison;
pub mod policy;
pub mod problem;
mod relay;
mod seat;
pub mod server;
pub mod shared;

pub use server::serve;
pub use shared::Shared;
