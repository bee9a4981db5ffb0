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
    /// Names a limit of requests a second.
    Limited(f64),
    /// Breaks answers off in their middle.
    BreakingOff,
    /// Sends each answer twice on its connection, the second one late.
    AnsweringTwice,
    /// Sends bytes that are no answer.
    Garbling,
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    StopRouter(usize),
    KillRouter(usize),
    PauseRouter(usize, u64),
    ReloadRouter(usize),
    StopVoter(usize),
    KillVoter(usize),
    PauseVoter(usize, u64),
    CallerPath(usize, PathMode, u64),
    TargetPath(usize, PathMode, u64),
    Target(usize, Manner, u64),
    NewDocument,
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
    let router = rng.random_range(0..size.routers);
    let voter = rng.random_range(0..size.voters);
    let target = rng.random_range(0..size.targets);
    let length_ms = rng.random_range(LENGTH_MS);
    match rng.random_range(0..20) {
        0 => Fault::StopRouter(router),
        1 => Fault::KillRouter(router),
        2 => Fault::PauseRouter(router, length_ms),
        3 => Fault::ReloadRouter(router),
        4 => Fault::StopVoter(voter),
        5 => Fault::KillVoter(voter),
        6 | 7 => Fault::PauseVoter(voter, length_ms),
        8 => Fault::CallerPath(router, draw_mode(rng), length_ms),
        9 | 10 => Fault::TargetPath(target, draw_mode(rng), length_ms),
        11 => Fault::NewDocument,
        _ => {
            let manner = draw_manner(rng);
            let is_limited = matches!(manner, Manner::Limited(_));
            let length_ms = if is_limited { LIMITED_MS } else { MANNER_MS };
            Fault::Target(target, manner, rng.random_range(length_ms))
        }
    }
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
    match rng.random_range(0..9) {
        0 => Manner::Slow(rng.random_range(50..900)),
        1 => Manner::Pausing(rng.random_range(1..4)),
        2 => Manner::Leaving,
        3..=5 => Manner::Limited(f64::from(rng.random_range(5..40)) / 10.0),
        6 => Manner::BreakingOff,
        7 => Manner::AnsweringTwice,
        _ => Manner::Garbling,
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
