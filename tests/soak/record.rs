//! What callers, targets and the operator saw, in the order in which it happened.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::report::Promise;

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

    /// Targets that may run it, as its route says.
    pub fn max_attempts(self) -> usize {
        if self.is_repeatable() { 2 } else { 1 }
    }
}

/// How a request ended at its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer.
    Whole { status: u16, head: String, body: String },
    /// An answer that ended early, and visibly so.
    Cut,
    /// The connection ended before any byte came.
    None,
    /// No end came in the time that the caller waits.
    Unanswered,
    /// The caller left before the end.
    Left,
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
    /// The time that the router says is left for it, if it says so.
    pub deadline_ms: Option<u64>,
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
    pub router: IpAddr,
    pub sent: Instant,
    pub ended: Instant,
    pub ending: Ending,
}

/// Where a fault was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Router(IpAddr),
    Voter(IpAddr),
    Target(usize),
    /// The path from callers to a router.
    CallerPath(IpAddr),
    /// The paths between a daemon and voters.
    PeerPath(IpAddr),
    /// The path from routers to a target.
    TargetPath(usize),
    /// The paths from a router to all targets.
    TargetsOf(IpAddr),
}

/// A fault or planned work, which may excuse what happens beside it.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    pub place: Place,
    pub from: Instant,
    pub to: Instant,
    /// Whether it is a stop or a reload that must lose no request.
    pub is_planned: bool,
}

/// A document as it was read at a voter.
#[derive(Clone, Debug)]
pub struct Reading {
    pub asked: Instant,
    pub version: u64,
    /// Whether it is what was sent under this version.
    pub is_own_content: bool,
}

/// The answer of a router on the route of one version of the document.
#[derive(Clone, Copy, Debug)]
pub struct RouteProbe {
    pub asked: Instant,
    pub answered: Instant,
    pub router: IpAddr,
    pub version: u64,
    pub status: u16,
}

/// What one process used at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    pub ip: IpAddr,
    pub is_router: bool,
    pub memory_bytes: u64,
    pub descriptors: usize,
}

/// The processor time of one process while nothing was asked of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct IdleLoad {
    pub ip: IpAddr,
    /// Part of a core.
    pub cores: f64,
}

/// All that was seen.
#[derive(Default)]
pub struct Record {
    /// The promise that the soak's own side breaks, to show that the checks see it.
    pub broken: Cell<Option<Promise>>,
    pub arrivals: RefCell<Vec<Arrival>>,
    /// Requests that crashed a target: when, which target, and the router that sent it.
    pub crashes: RefCell<Vec<(Instant, usize, IpAddr)>>,
    pub words: RefCell<Vec<Word>>,
    pub asked: RefCell<Vec<Asked>>,
    pub disturbances: RefCell<Vec<Disturbance>>,
    /// Routers that are cut off from all targets now.
    pub cut_off: RefCell<Vec<IpAddr>>,
    /// Documents that were sent and could be in force from then on.
    pub sent: RefCell<Vec<(Instant, u64)>>,
    /// Acknowledged documents.
    pub acknowledged: RefCell<Vec<(Instant, u64)>>,
    /// Whether each invalid document was refused.
    pub invalid_refused: RefCell<Vec<bool>>,
    pub read: RefCell<Vec<Reading>>,
    pub probes: RefCell<Vec<RouteProbe>>,
    pub usage: RefCell<Vec<Usage>>,
    pub idle: RefCell<Vec<IdleLoad>>,
    /// When the last fault ended.
    pub calm: RefCell<Option<Instant>>,
    /// Exit codes of processes that ended without a signal of the soak.
    pub own_ends: RefCell<Vec<(IpAddr, Option<i32>)>>,
}

impl Record {
    /// A record of a run whose own side breaks this promise, if any.
    pub fn new(broken: Option<Promise>) -> Shared {
        Rc::new(Self { broken: Cell::new(broken), ..Self::default() })
    }

    pub fn is_broken(&self, promise: Promise) -> bool {
        self.broken.get() == Some(promise)
    }

    /// Whether one of these places was disturbed in a span, or up to `before` earlier, by anything
    /// but planned work.
    pub fn is_disturbed(
        &self,
        place: Place,
        (from, to): (Instant, Instant),
        before: Duration,
    ) -> bool {
        let disturbances = self.disturbances.borrow();
        let touches = |d: &Disturbance| {
            !d.is_planned && d.place == place && d.from <= to && from <= d.to + before
        };
        disturbances.iter().any(touches)
    }

    /// Whether a place was disturbed or stopped at a moment, or up to `before` earlier.
    pub fn is_excused(&self, place: Place, at: Instant, before: Duration) -> bool {
        let disturbances = self.disturbances.borrow();
        disturbances.iter().any(|d| d.place == place && (d.from..d.to + before).contains(&at))
    }
}

pub type Shared = Rc<Record>;
