//! Fleet defaults, exceptions with a written reason, and their resolution for one request.
//!
//! [`State`] is part of the replicated control state: it applies [`Command`]s in the order of the
//! log. [`Fleet`] is what is in force; routers follow it change by change. [`resolve()`] finds what
//! applies to one [`Subject`], and [`explain`] which line decided it.

pub mod catalogue;
pub mod change;
mod check;
mod consistency;
mod exception;
mod fleet;
mod index;
mod key;
mod resolve;
mod scope;
pub mod state;
mod value;

pub use catalogue::Catalogue;
pub use change::{Accepted, Change, Command, Edit, Outcome, Problem};
pub use check::{Facts, MAX_EDITS, MAX_EXCEPTIONS, MAX_REASON_BYTES};
pub use exception::{Exception, NewException};
pub use fleet::{Defaults, Fleet, Followed};
pub use key::{Effective, Key, Reach, Setting};
pub use resolve::{Explained, Source, explain, resolve};
pub use scope::{Scope, Subject};
pub use state::State;
pub use value::{Share, UtcOffset, Value, Window, Windows};
