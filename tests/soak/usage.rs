//! What the processes use: memory and descriptors while the fleet works, processor time while it
//! rests; and processes that end by themselves.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::record::{IdleLoad, Shared, Usage};
use crate::report::Promise;

/// Time between two samples.
const SAMPLE_PAUSE: Duration = Duration::from_secs(1);
/// Time for which processor time is counted.
const IDLE_TIME: Duration = Duration::from_secs(3);
/// What is added where the soak's own side is to break a promise.
const MUCH: u64 = 1 << 30;
/// Kernel ticks in a second, as `/proc` counts processor time.
const TICKS_PER_S: f64 = 100.0;

/// Processes that are watched. One that a fault is at is left to the fault.
pub trait Watched {
    /// How many there are.
    fn processes(&self) -> usize;

    /// The address of a process, and whether it is a router alone.
    fn ip_of(&self, at: usize) -> (IpAddr, bool);

    /// The exit code of a process that has ended by itself, which is started again.
    fn ended(&self, at: usize) -> Option<Option<i32>>;

    /// The id of a process.
    fn process_id(&self, at: usize) -> Option<u32>;
}

/// Samples all processes until it is aborted.
pub async fn sample(watched: Rc<impl Watched>, record: Shared) {
    loop {
        for at in 0..watched.processes() {
            let (ip, is_router) = watched.ip_of(at);
            if record.is_broken(Promise::NoOwnEnd) {
                record.own_ends.borrow_mut().push((ip, None));
            }
            if let Some(code) = watched.ended(at) {
                record.own_ends.borrow_mut().push((ip, code));
                continue;
            }
            let Some(id) = watched.process_id(at) else { continue };
            if let (Some(mut memory_bytes), Some(mut descriptors)) =
                (memory_bytes(id), descriptors(id))
            {
                if record.is_broken(Promise::Memory) {
                    memory_bytes += MUCH;
                }
                if record.is_broken(Promise::Descriptors) {
                    descriptors += MUCH as usize;
                }
                record.usage.borrow_mut().push(Usage { ip, is_router, memory_bytes, descriptors });
            }
        }
        tokio::time::sleep(SAMPLE_PAUSE).await;
    }
}

/// Counts the processor time of all processes while nothing is asked of them.
pub async fn measure_idle(watched: &impl Watched, record: &Shared) {
    let from = Instant::now();
    let times = || -> Vec<Option<f64>> {
        let all = 0..watched.processes();
        all.map(|at| watched.process_id(at).and_then(processor_time_s)).collect()
    };
    let before = times();
    tokio::time::sleep(IDLE_TIME).await;
    let after = times();
    let length_s = from.elapsed().as_secs_f64();
    for (at, (before_s, after_s)) in before.into_iter().zip(after).enumerate() {
        if let (Some(before_s), Some(after_s)) = (before_s, after_s) {
            let more = if record.is_broken(Promise::IdleCores) { 1.0 } else { 0.0 };
            let cores = (after_s - before_s) / length_s + more;
            record.idle.borrow_mut().push(IdleLoad { ip: watched.ip_of(at).0, cores });
        }
    }
}

/// Whether a process handles SIGHUP: until a program has come so far, the system ends it.
pub fn handles_hangup(process: u32) -> bool {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let caught = line.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    caught.is_some_and(|mask| mask & 1 == 1)
}

fn memory_bytes(process: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib << 10)
}

fn descriptors(process: u32) -> Option<usize> {
    Some(std::fs::read_dir(format!("/proc/{process}/fd")).ok()?.count())
}

fn processor_time_s(process: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The name of the program in parentheses may hold spaces.
    let (_, rest) = text.rsplit_once(')')?;
    let mut words = rest.split_whitespace().skip(11);
    let user: f64 = words.next()?.parse().ok()?;
    let system: f64 = words.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_S)
}
