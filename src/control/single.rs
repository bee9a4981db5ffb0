//! The port over a machine in this process, for tests and for a daemon without a control group.

use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::FutureExt as _;
use futures::future::BoxFuture;

use crate::control::{commands, machine, port, queries};

/// Reads the time of the entries, in Unix milliseconds.
pub type Clock = Box<dyn Fn() -> u64 + Send + Sync>;

/// A machine that applies each command at once. Nothing is written to a disk.
pub struct Single {
    machine: Mutex<machine::Machine>,
    clock: Clock,
}

impl fmt::Debug for Single {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Single").finish_non_exhaustive()
    }
}

impl Single {
    /// An empty state whose entries are stamped by `clock`.
    pub fn new(clock: Clock) -> Self {
        Self { machine: Mutex::default(), clock }
    }

    /// The machine, for whoever looks into its state.
    pub fn machine(&self) -> MutexGuard<'_, machine::Machine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl port::Log for Single {
    fn propose(
        &self,
        command: commands::Command,
    ) -> BoxFuture<'_, port::Result<commands::Outcome>> {
        let entry = commands::Entry { now_ms: (self.clock)(), command };
        let outcome = self.machine().execute(entry);
        async move { Ok(outcome) }.boxed()
    }

    fn query(&self, query: queries::Query) -> BoxFuture<'_, port::Result<queries::Answer>> {
        let answer = self.machine().query(&query);
        async move { Ok(answer) }.boxed()
    }
}
