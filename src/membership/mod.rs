//! Daemons and targets: who is there, in which life, and what each router knows of them.
//!
//! A target announces itself to any daemon. Its home daemon ([`home`]) watches it ([`targets`])
//! and reports changes of state alone to the leader, which keeps the [`directory`] and numbers
//! the changes of the route table in a [`feed`]. Every daemon follows the feed and publishes the
//! [`table`] to its traffic threads. The leader watches the [`daemons`].

pub mod daemons;
pub mod directory;
pub mod feed;
pub mod home;
pub mod table;
pub mod targets;
