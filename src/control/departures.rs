//! Which lives of targets have said that they leave.
//!
//! A target that says so is told that it is known, and from then on relies on getting no new work.
//! So the word is on record in the log before it is acknowledged: whoever leads next knows it, and
//! an older announcement of that life, which a partition held up, cannot undo it.

use crate::ids::{Incarnation, TargetId};

/// Records that are kept. The oldest go first: announcements are not held up for so long that so many
/// targets leave meanwhile.
pub const MAX_RECORDS: usize = 4_096;

/// What a target said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Departure {
    /// It finishes what it has and wants nothing new.
    Leaving,
    /// It is gone.
    Gone,
}

/// Records what a life of a target said. A life never takes it back.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Command {
    /// The target.
    pub target: TargetId,
    /// The life that said so. Earlier ones are over.
    pub life: Incarnation,
    /// What it said.
    pub departure: Departure,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Record {
    target: TargetId,
    life: Incarnation,
    departure: Departure,
    /// Rises with each command.
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
    /// What is on record of a life of a target.
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
