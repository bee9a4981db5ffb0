//! Faults at the daemons of our own interface and their targets, drawn from the seed alone.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fescuebay::units::PerSecond;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use super::{Fleet, LimitedTime, VOTERS, start_target};
use crate::common::process::until;
use crate::record::{Disturbance, Place};
use crate::usage;

/// Time before the first fault, in which the fleet settles.
const CALM_MS: u64 = 1_500;
/// Time between two faults; shorter ones overlap.
const GAP_MS: std::ops::Range<u64> = 200..1_500;
/// How long a fault lasts, and how long a limit is named.
const LENGTH_MS: std::ops::Range<u64> = 300..3_500;
const LIMITED_MS: std::ops::Range<u64> = 8_000..14_000;
/// Pause between the end of a process and its next start.
const RESTART_PAUSE: Duration = Duration::from_millis(150);
/// Time for which a voter counts as lost after it is back.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time after a limit is first named from which it must be kept.
const NOTICE: Duration = Duration::from_secs(3);

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Stop(usize),
    Kill(usize),
    Pause(usize, u64),
    Reload(usize),
    Roll(usize, usize),
    KillAllVoters,
    WipeVoter(usize),
    CrashTarget(usize, u64),
    LeaveTarget(usize, u64),
    LimitTarget(usize, f64, u64),
    Change(usize),
}

/// How many of each there are.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub daemons: usize,
    pub targets: usize,
}

pub fn draw(seed: u64, length_ms: u64, size: Size) -> Vec<(u64, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at_ms = CALM_MS;
    while at_ms < length_ms {
        faults.push((at_ms, draw_fault(&mut rng, size)));
        at_ms += rng.random_range(GAP_MS);
    }
    faults
}

fn draw_fault(rng: &mut StdRng, size: Size) -> Fault {
    let daemon = rng.random_range(0..size.daemons);
    let target = rng.random_range(0..size.targets);
    let length_ms = rng.random_range(LENGTH_MS);
    match rng.random_range(0..16) {
        0..=2 => Fault::Stop(daemon),
        3 | 4 => Fault::Kill(daemon),
        5 | 6 => Fault::Pause(daemon, length_ms),
        7 => Fault::Reload(daemon),
        8 => Fault::Roll(daemon, rng.random_range(2..4)),
        9 => Fault::KillAllVoters,
        10 => Fault::WipeVoter(rng.random_range(0..VOTERS)),
        11 => Fault::CrashTarget(target, length_ms),
        12 => Fault::LeaveTarget(target, length_ms),
        13 => {
            let limit = f64::from(rng.random_range(10..60)) / 10.0;
            Fault::LimitTarget(target, limit, rng.random_range(LIMITED_MS))
        }
        _ => Fault::Change(daemon),
    }
}

impl Fleet {
    /// Injects one fault, and ends it.
    pub(super) async fn inject(self: Rc<Self>, fault: Fault) {
        match fault {
            Fault::Stop(at) => self.restart(at, "TERM").await,
            Fault::Kill(at) => self.restart(at, "KILL").await,
            Fault::Pause(at, ms) => self.pause(at, ms).await,
            Fault::Reload(at) => self.reload(at).await,
            Fault::Roll(first, count) => {
                for at in first..first + count {
                    self.restart(at % self.daemons.len(), "TERM").await;
                }
            }
            Fault::KillAllVoters => {
                let kills = (0..VOTERS).map(|voter| self.restart(voter, "KILL"));
                futures::future::join_all(kills).await;
            }
            Fault::WipeVoter(at) => self.wipe(at).await,
            Fault::CrashTarget(at, ms) => self.replace_target(at, None, ms).await,
            Fault::LeaveTarget(at, ms) => self.replace_target(at, Some(()), ms).await,
            Fault::LimitTarget(at, limit, ms) => self.limit(at, limit, ms).await,
            Fault::Change(at) => self.change(at).await,
        }
    }

    fn note(&self, place: Place, from: Instant, is_planned: bool) {
        let disturbance = Disturbance { place, from, to: Instant::now(), is_planned };
        self.record.disturbances.borrow_mut().push(disturbance);
    }

    async fn restart(&self, at: usize, signal: &str) {
        let _lost = self.quorum.read().await;
        let mut daemon = self.daemons[at].lock().await;
        let from = Instant::now();
        daemon.signal(signal);
        daemon.exit_code().await;
        let ended = Instant::now();
        tokio::time::sleep(RESTART_PAUSE).await;
        daemon.start();
        self.note(Place::Router(self.ip(at)), from, signal == "TERM");
        self.note(Place::Router(self.ip(at)), ended, false);
    }

    async fn pause(&self, at: usize, ms: u64) {
        let _lost = self.quorum.read().await;
        let daemon = self.daemons[at].lock().await;
        let from = Instant::now();
        daemon.signal("STOP");
        tokio::time::sleep(Duration::from_millis(ms)).await;
        daemon.signal("CONT");
        self.note(Place::Router(self.ip(at)), from, false);
    }

    async fn reload(&self, at: usize) {
        let daemon = self.daemons[at].lock().await;
        until("it handles signals", async || {
            daemon.process_id().is_some_and(usage::handles_hangup)
        })
        .await;
        daemon.signal("HUP");
    }

    async fn wipe(&self, at: usize) {
        let _all_others_run = self.quorum.write().await;
        tokio::time::sleep(CATCH_UP).await;
        let mut daemon = self.daemons[at].lock().await;
        let from = Instant::now();
        daemon.signal("KILL");
        daemon.exit_code().await;
        if let Some(folder) = &daemon.folder {
            std::fs::remove_dir_all(folder).expect("the folder of a voter");
            std::fs::create_dir_all(folder).expect("the folder of a voter");
        }
        daemon.start();
        drop(daemon);
        tokio::time::sleep(CATCH_UP).await;
        self.note(Place::Router(self.ip(at)), from, false);
    }

    /// Ends a target, by a crash or after it has left, and starts another one a while later.
    async fn replace_target(&self, at: usize, leaves: Option<()>, ms: u64) {
        let target = &self.targets[at];
        let _turn = target.turn.lock().await;
        let from = Instant::now();
        if leaves.is_some()
            && let Some(handle) = target.handle.borrow().as_ref()
        {
            handle.leave();
        }
        if leaves.is_some() {
            // It goes on for a while after its word.
            tokio::time::sleep(CATCH_UP).await;
        }
        let handle = target.handle.borrow_mut().take();
        if let Some(handle) = handle {
            self.seen.past_peaks.borrow_mut().push(handle.peak_memory_bytes().0);
            let executions = handle.kill().await;
            self.seen.past_executions.borrow_mut().extend(executions);
        }
        tokio::time::sleep(Duration::from_millis(ms)).await;
        let handle = start_target(&self.cluster, target.number).await;
        target.handle.replace(Some(handle));
        self.note(Place::Target(at), from, false);
    }

    async fn limit(&self, at: usize, limit: f64, ms: u64) {
        let target = &self.targets[at];
        let _turn = target.turn.lock().await;
        let name = |limit: Option<f64>| {
            if let Some(handle) = target.handle.borrow().as_ref() {
                handle.name_rate_limit(limit.map(PerSecond));
            }
        };
        let from = Instant::now();
        name(Some(limit));
        tokio::time::sleep(Duration::from_millis(ms)).await;
        name(None);
        let until = Instant::now();
        let calls = target.handle.borrow().as_ref().map(|handle| handle.call_times());
        let calls = calls.unwrap_or_default();
        // It names the limit in answers alone.
        let first = calls.iter().find(|call| **call >= from).copied().unwrap_or(until);
        let is_counted = |call: &Instant| (first + NOTICE..until).contains(call);
        let calls = calls.into_iter().filter(is_counted).collect();
        self.seen.limits.borrow_mut().push(LimitedTime { limit, calls });
    }
}
