//! What callers and targets saw, in the order in which it happened.

use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Instant;

/// What kind of request a caller sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Safe,
    Unsafe,
    Stream,
    ResumableStream,
}

impl Kind {
    /// Whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Safe | Kind::ResumableStream)
    }
}

/// How a request ended at its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer.
    Whole { status: u16, head: String, body: String },
    /// An answer that ended early, and visibly so.
    Cut,
    /// No byte came before the connection ended or the caller left.
    None,
}

/// A request at a target.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub target: usize,
    /// The target's life at that time.
    pub life: u64,
    pub router: IpAddr,
    pub id: String,
    /// Whether it was for this life: a router may not know yet that another one is at the address.
    pub is_meant: bool,
    /// Whether the target ran it.
    pub is_run: bool,
}

/// Something that a target said to a router in the head of an answer.
#[derive(Clone, Debug)]
pub struct Word {
    pub at: Instant,
    pub target: usize,
    pub life: u64,
    pub router: IpAddr,
    pub says: Says,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Says {
    Limit(f64),
    Leaving,
    PauseS(u32),
}

/// A request of a caller, with its end.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: String,
    pub kind: Kind,
    pub sent: Instant,
    pub ending: Ending,
}

/// A fault at one router, which excuses it for a while.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    pub router: IpAddr,
    pub from: Instant,
    pub to: Instant,
}

/// All that was seen.
#[derive(Default)]
pub struct Record {
    pub arrivals: RefCell<Vec<Arrival>>,
    pub words: RefCell<Vec<Word>>,
    pub asked: RefCell<Vec<Asked>>,
    pub disturbances: RefCell<Vec<Disturbance>>,
    /// Acknowledged documents, and documents that were read, each with the time of the question.
    pub acknowledged: RefCell<Vec<(Instant, u64)>>,
    pub read: RefCell<Vec<(Instant, u64)>>,
}

pub type Shared = Rc<Record>;
