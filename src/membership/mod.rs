//! Membership and failure detection of daemons and targets, and the route table built from it.
//!
//! A target announces itself to any daemon. Its home daemon ([`home`]) monitors it ([`targets`])
//! and reports only changes of state to the leader. The leader keeps the [`directory`] and numbers
//! the changes of the route table in a [`feed`]. Every daemon follows the feed and publishes the
//! [`table`] to its traffic threads. The leader monitors the [`daemons`].

pub mod daemons;
pub mod directory;
pub mod feed;
pub mod home;
pub mod table;
pub mod targets;
