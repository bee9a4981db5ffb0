//! Records which target incarnations have announced that they leave.
//!
//! After the acknowledgement of its announcement, a target relies on receiving no new work. The
//! announcement is therefore committed to the log before it is acknowledged: the next leader knows
//! it, and an older announcement of the same incarnation, delayed by a partition, cannot undo it.

use crate::ids::{Incarnation, TargetId};

/// Maximum number of records. The oldest are dropped first: no announcement is delayed for as long
/// as it takes this many targets to leave.
pub const MAX_RECORDS: usize = 4_096;

/// What a target announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Departure {
    /// The target finishes its requests in flight and accepts no new work.
    Leaving,
    /// The target has stopped.
    Gone,
}

/// Records the departure of a target incarnation, which never revokes it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Command {
    /// The target.
    pub target: TargetId,
    /// The incarnation that announced the departure. Earlier incarnations have ended.
    pub life: Incarnation,
    /// The announced departure.
    pub departure: Departure,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Record {
    target: TargetId,
    life: Incarnation,
    departure: Departure,
    /// Increases with each recorded command.
    number: u64,
}

/// The records, sorted by target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    records: Vec<Record>,
    last: u64,
}

impl State {
    /// Returns the recorded departure of a target incarnation.
    pub fn find(&self, target: &TargetId, life: Incarnation) -> Option<Departure> {
        let record = &self.records[self.place(target).ok()?];
        match record.life.cmp(&life) {
            std::cmp::Ordering::Greater => Some(Departure::Gone),
            std::cmp::Ordering::Equal => Some(record.departure),
            std::cmp::Ordering::Less => None,
        }
    }

    /// Whether a command would change nothing.
    pub fn has(&self, command: &Command) -> bool {
        self.find(&command.target, command.life) >= Some(command.departure)
    }

    /// Applies a command.
    pub fn apply(&mut self, command: Command) {
        if self.has(&command) {
            return;
        }
        self.last += 1;
        let Command { target, life, departure } = command;
        let record = Record { target, life, departure, number: self.last };
        match self.place(&record.target) {
            Ok(at) => self.records[at] = record,
            Err(at) => self.records.insert(at, record),
        }
        if self.records.len() > MAX_RECORDS {
            self.forget_oldest();
        }
    }

    /// The number of targets on record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no target is on record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn place(&self, target: &TargetId) -> Result<usize, usize> {
        self.records.binary_search_by(|record| record.target.cmp(target))
    }

    fn forget_oldest(&mut self) {
        let records = self.records.iter().enumerate();
        if let Some((at, _)) = records.min_by_key(|(_, record)| record.number) {
            self.records.remove(at);
        }
    }
}
