//! What is injected and when, drawn from the seed alone.

use std::fmt;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::common::proxy::PathMode;

/// Time before the first fault, in which the fleet starts.
const CALM_MS: u64 = 1_500;
/// Time between two faults; shorter ones overlap.
const GAP_MS: std::ops::Range<u64> = 100..1_000;
/// How long a fault lasts.
const LENGTH_MS: std::ops::Range<u64> = 300..3_500;
/// How long a target keeps a manner: long enough for what it says to be heeded.
const MANNER_MS: std::ops::Range<u64> = 2_000..8_000;
/// How long a router is cut off from all targets, which its callers must not notice from 3 s on.
const TARGETS_CUT_MS: std::ops::Range<u64> = 4_000..9_000;
/// How long a content that crashes targets is sent, and the time between two requests with it.
const CRASHING_MS: std::ops::Range<u64> = 4_000..10_000;
pub const CRASHING_PAUSE_MS: u64 = 250;
/// How long it names a limit, which must be kept from 3 s on.
const LIMITED_MS: std::ops::Range<u64> = 6_000..14_000;

/// What a target does with requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    /// Answers whole.
    Well,
    /// Answers whole, this much later.
    Slow(u64),
    /// Turns requests away, and asks for a pause of this many seconds.
    Pausing(u32),
    /// Says that it leaves.
    Leaving,
    /// The same, while what it announces to voters is held up on the way.
    LeavingUnheard,
    /// Names a limit of requests a second.
    Limited(f64),
    /// Breaks answers off in their middle.
    BreakingOff,
    /// Sends each answer twice on its connection, the second one late.
    AnsweringTwice,
    /// Sends bytes that are no answer.
    Garbling,
    /// Sends a head that does not end.
    Flooding,
    /// Takes requests and never answers.
    Hanging,
}

impl Manner {
    /// Whether requests to it get whole answers, or are turned away properly.
    pub fn is_sound(self) -> bool {
        use Manner::{Leaving, LeavingUnheard, Limited, Pausing, Slow, Well};
        matches!(self, Well | Slow(_) | Pausing(_) | Leaving | LeavingUnheard | Limited(_))
    }
}

/// A process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Daemon {
    Router(usize),
    Voter(usize),
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Stop(Daemon),
    Kill(Daemon),
    Pause(Daemon, u64),
    Reload(Daemon),
    /// Stops up to this many routers, each after the one before has started again.
    RollRouters(usize, usize),
    /// Kills all voters at once.
    KillAllVoters,
    /// Kills a voter and takes its folder.
    WipeVoter(usize),
    /// The path between two daemons, of which the second one is a voter.
    PeerPath(Daemon, usize, PathMode, u64),
    /// All paths between a daemon and voters.
    CutOff(Daemon, u64),
    /// The paths from a router to all targets.
    CutOffTargets(usize, PathMode, u64),
    CallerPath(usize, PathMode, u64),
    TargetPath(usize, PathMode, u64),
    /// What a target says of itself reaches voters only when this is over.
    LateAnnouncements(usize, u64),
    Target(usize, Manner, u64),
    /// Callers come at any router with a content that crashes each target that begins to run it.
    CrashingContent(u64),
    NewDocument,
    /// Two documents at the same time, at two voters.
    RacingDocuments,
    /// Other content under a version that is acknowledged.
    OtherContent,
    InvalidDocument,
}

/// The faults of a run in the order of their times.
pub struct Plan {
    pub faults: Vec<(u64, Fault)>,
}

/// How many of each there are.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub voters: usize,
    pub routers: usize,
    pub targets: usize,
}

impl Plan {
    pub fn draw(seed: u64, length_ms: u64, size: Size) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at_ms = CALM_MS;
        while at_ms < length_ms {
            faults.push((at_ms, draw_fault(&mut rng, size)));
            at_ms += rng.random_range(GAP_MS);
        }
        Self { faults }
    }
}

fn draw_fault(rng: &mut StdRng, size: Size) -> Fault {
    match rng.random_range(0..20) {
        0..=6 => draw_daemon_fault(rng, size),
        7..=11 => draw_path_fault(rng, size),
        12..=14 => draw_document_fault(rng),
        _ => draw_target_fault(rng, size),
    }
}

fn draw_daemon(rng: &mut StdRng, size: Size) -> Daemon {
    match rng.random_bool(0.5) {
        true => Daemon::Router(rng.random_range(0..size.routers)),
        false => Daemon::Voter(rng.random_range(0..size.voters)),
    }
}

fn draw_daemon_fault(rng: &mut StdRng, size: Size) -> Fault {
    let daemon = draw_daemon(rng, size);
    match rng.random_range(0..12) {
        0..=2 => Fault::Stop(daemon),
        3 | 4 => Fault::Kill(daemon),
        5..=7 => Fault::Pause(daemon, rng.random_range(LENGTH_MS)),
        8 => Fault::Reload(daemon),
        9 => Fault::RollRouters(rng.random_range(0..size.routers), rng.random_range(2..5)),
        10 => Fault::KillAllVoters,
        _ => Fault::WipeVoter(rng.random_range(0..size.voters)),
    }
}

fn draw_path_fault(rng: &mut StdRng, size: Size) -> Fault {
    let length_ms = rng.random_range(LENGTH_MS);
    let voter = rng.random_range(0..size.voters);
    match rng.random_range(0..9) {
        8 => {
            let modes = [PathMode::Silent, PathMode::Reset, PathMode::ResetNew];
            let mode = modes[rng.random_range(0..modes.len())];
            let length_ms = rng.random_range(TARGETS_CUT_MS);
            Fault::CutOffTargets(rng.random_range(0..size.routers), mode, length_ms)
        }
        0 => Fault::CallerPath(rng.random_range(0..size.routers), draw_mode(rng), length_ms),
        1..=3 => Fault::TargetPath(rng.random_range(0..size.targets), draw_mode(rng), length_ms),
        4..=6 => Fault::PeerPath(draw_daemon(rng, size), voter, draw_mode(rng), length_ms),
        _ => Fault::CutOff(draw_daemon(rng, size), length_ms),
    }
}

fn draw_document_fault(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..6) {
        0..=2 => Fault::NewDocument,
        3 => Fault::RacingDocuments,
        4 => Fault::OtherContent,
        _ => Fault::InvalidDocument,
    }
}

fn draw_target_fault(rng: &mut StdRng, size: Size) -> Fault {
    let target = rng.random_range(0..size.targets);
    if rng.random_bool(0.08) {
        return Fault::LateAnnouncements(target, rng.random_range(LENGTH_MS));
    }
    if rng.random_bool(0.05) {
        return Fault::CrashingContent(rng.random_range(CRASHING_MS));
    }
    let manner = draw_manner(rng);
    let is_limited = matches!(manner, Manner::Limited(_));
    let length_ms = if is_limited { LIMITED_MS } else { MANNER_MS };
    Fault::Target(target, manner, rng.random_range(length_ms))
}

fn draw_mode(rng: &mut StdRng) -> PathMode {
    match rng.random_range(0..5) {
        0 => PathMode::Delayed(rng.random_range(5..400)),
        1 => PathMode::Reset,
        2 => PathMode::Silent,
        3 => PathMode::OneWay,
        _ => PathMode::Trickle,
    }
}

fn draw_manner(rng: &mut StdRng) -> Manner {
    match rng.random_range(0..14) {
        0 => Manner::Slow(rng.random_range(50..900)),
        1 | 2 => Manner::Pausing(rng.random_range(1..4)),
        3 => Manner::Leaving,
        4 | 5 => Manner::LeavingUnheard,
        6..=8 => Manner::Limited(f64::from(rng.random_range(5..40)) / 10.0),
        9 => Manner::BreakingOff,
        10 => Manner::AnsweringTwice,
        11 => Manner::Garbling,
        12 => Manner::Flooding,
        _ => Manner::Hanging,
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at_ms, fault) in &self.faults {
            writeln!(f, "{:>8.3} s  {fault:?}", *at_ms as f64 / 1_000.0)?;
        }
        Ok(())
    }
}
