//! Speeds of targets: averages of what routers measure, at the leader, and their changes for routers.
//!
//! Workload: engines with speeds of 0.6 : 1 : 1.6, each of which is 2.5 times slower for 0.6 s, a seventh of
//! the time. The average must show the former and not the latter.

use crate::ids::{Incarnation, TargetId, Term};
use crate::membership::feed::FeedCursor;
use crate::rate_limit::TargetLife;

/// Time constant of the average. A spell of 0.6 s at 2.5 times the usual time moves it by 7%, less than what
/// is published.
const AVERAGE_MS: f64 = 8_000.0;
/// Longest time that one report counts for.
const MAX_REPORT_MS: u64 = 2_000;
/// Events by which a report counts half.
const HALF_WEIGHT: f64 = 10.0;
/// Events that have to be known of a target before anything is published.
const MIN_WEIGHT: u64 = 60;
/// Change of the average, as a ratio, from which it is published.
const MIN_CHANGE: f64 = 1.15;
/// Bounds of the ratio that one report may state.
const MAX_RATIO: f64 = 4.0;
/// A target that nobody has measured for this long is usual again: its slowness may have passed, which only
/// requests there can show.
const FORGET_MS: u64 = 60_000;
/// Number of targets above which usual ones are removed.
const MAX_TARGETS: usize = 4_096;
/// The usual time.
pub const USUAL_PERCENT: u16 = 100;

/// What one router tells of speeds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SpeedReport {
    /// Its position in the changes of published speeds.
    pub cursor: FeedCursor,
    /// What it measured since its last report.
    pub samples: Vec<SpeedSample>,
}

/// The time that a target took, relative to others.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SpeedSample {
    /// The target.
    pub target: TargetId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its time in percent of the usual time.
    pub percent: u16,
    /// Events or responses that were measured.
    pub weight: u16,
}

/// Changes of published speeds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SpeedChanges {
    /// The position after these changes.
    pub cursor: FeedCursor,
    /// Whether these are all speeds: every other target is usual.
    pub is_snapshot: bool,
    /// The speeds.
    pub speeds: Vec<TargetSpeed>,
}

/// The published speed of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TargetSpeed {
    /// The target.
    pub target: TargetId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its time in percent of the usual time.
    pub percent: u16,
}

#[derive(Clone, Debug)]
struct KnownSpeed {
    life: TargetLife,
    /// Natural logarithm of its time relative to the usual time.
    average: f64,
    weight: u64,
    measured_ms: u64,
    published: u16,
    /// The last change of what is published.
    sequence: u64,
}

/// The speeds at the leader.
#[derive(Debug)]
pub struct SpeedBoard {
    cursor: FeedCursor,
    /// Sorted by target; one incarnation each.
    known: Vec<KnownSpeed>,
    /// Followers before this position receive all speeds.
    oldest_sequence: u64,
}

impl SpeedBoard {
    /// Creates an empty board for the leader of `term`: all targets are usual.
    pub fn new(term: Term) -> Self {
        let cursor = FeedCursor { term, ..FeedCursor::default() };
        Self { cursor, known: Vec::new(), oldest_sequence: 0 }
    }

    /// Applies the samples of a router. Returns the targets whose published speed changed.
    pub fn record(&mut self, now_ms: u64, samples: &[SpeedSample]) -> Vec<TargetSpeed> {
        samples.iter().for_each(|sample| self.apply(now_ms, sample));
        if samples.is_empty() { Vec::new() } else { self.publish() }
    }

    /// Makes targets usual that nobody has measured for long.
    pub fn forget_unmeasured(&mut self, now_ms: u64) {
        for known in &mut self.known {
            let is_old = now_ms.saturating_sub(known.measured_ms) >= FORGET_MS;
            if is_old && known.weight > 0 {
                (known.average, known.weight) = (0.0, 0);
                if known.published != USUAL_PERCENT {
                    self.cursor.sequence.0 += 1;
                    (known.published, known.sequence) = (USUAL_PERCENT, self.cursor.sequence.0);
                }
            }
        }
        if self.known.len() > MAX_TARGETS {
            self.known.retain(|known| known.published != USUAL_PERCENT);
            self.oldest_sequence = self.cursor.sequence.0;
        }
    }

    /// The time that a target takes relative to others, as last published. 1 is usual.
    pub fn slowness(&self, life: &TargetLife) -> f64 {
        let at = self.known.binary_search_by(|known| known.life.target.cmp(&life.target)).ok();
        let known = at.map(|at| &self.known[at]).filter(|known| known.life == *life);
        known.map_or(1.0, |known| slowness(known.published))
    }

    /// The changes for a router at `cursor`, if there are any.
    pub fn changes_since(&self, cursor: FeedCursor) -> Option<SpeedChanges> {
        if cursor == self.cursor {
            return None;
        }
        let is_known = cursor.term == self.cursor.term && cursor <= self.cursor;
        let is_snapshot = !is_known || cursor.sequence.0 < self.oldest_sequence;
        let is_included = |known: &&KnownSpeed| match is_snapshot {
            true => known.published != USUAL_PERCENT,
            false => known.sequence > cursor.sequence.0,
        };
        let speeds = self.known.iter().filter(is_included).map(KnownSpeed::published).collect();
        Some(SpeedChanges { cursor: self.cursor, is_snapshot, speeds })
    }

    fn apply(&mut self, now_ms: u64, sample: &SpeedSample) {
        let life = TargetLife { target: sample.target.clone(), incarnation: sample.incarnation };
        let at = self.known.binary_search_by(|known| known.life.target.cmp(&life.target));
        let at = match at {
            Ok(at) if self.known[at].life.incarnation > life.incarnation => return,
            Ok(at) => {
                if self.known[at].life.incarnation < life.incarnation {
                    self.known[at] = KnownSpeed::new(life, now_ms);
                }
                at
            }
            Err(at) => {
                self.known.insert(at, KnownSpeed::new(life, now_ms));
                at
            }
        };
        self.known[at].add(now_ms, sample);
    }

    /// Publishes the averages that differ from what is published. The median over all targets is usual: routers
    /// compare targets with each other, so a common factor has no meaning.
    fn publish(&mut self) -> Vec<TargetSpeed> {
        let is_sure = |known: &&KnownSpeed| known.weight >= MIN_WEIGHT;
        let mut averages: Vec<f64> =
            self.known.iter().filter(is_sure).map(|known| known.average).collect();
        averages.sort_by(f64::total_cmp);
        let usual = if averages.len() < 3 { 0.0 } else { averages[averages.len() / 2] };
        let mut changed = Vec::new();
        for known in self.known.iter_mut().filter(|known| known.weight >= MIN_WEIGHT) {
            let relative = known.average - usual;
            let change = relative - slowness(known.published).ln();
            if change.abs() > MIN_CHANGE.ln() {
                self.cursor.sequence.0 += 1;
                known.published = (relative.exp() * f64::from(USUAL_PERCENT)).round() as u16;
                known.sequence = self.cursor.sequence.0;
                changed.push(known.published());
            }
        }
        changed
    }
}

impl KnownSpeed {
    fn new(life: TargetLife, now_ms: u64) -> Self {
        Self {
            life,
            average: 0.0,
            weight: 0,
            measured_ms: now_ms,
            published: USUAL_PERCENT,
            // Whoever knew an earlier incarnation ignores its speed.
            sequence: 0,
        }
    }

    fn add(&mut self, now_ms: u64, sample: &SpeedSample) {
        let ratio = slowness(sample.percent).clamp(1.0 / MAX_RATIO, MAX_RATIO);
        let weight = f64::from(sample.weight);
        let since_ms = now_ms.saturating_sub(self.measured_ms).min(MAX_REPORT_MS) as f64;
        let share = (1.0 - (-since_ms / AVERAGE_MS).exp()) * weight / (weight + HALF_WEIGHT);
        self.average += (ratio.ln() - self.average) * share;
        self.weight = self.weight.saturating_add(u64::from(sample.weight));
        self.measured_ms = now_ms;
    }

    fn published(&self) -> TargetSpeed {
        TargetSpeed {
            target: self.life.target.clone(),
            incarnation: self.life.incarnation,
            percent: self.published,
        }
    }
}

fn slowness(percent: u16) -> f64 {
    f64::from(percent.max(1)) / f64::from(USUAL_PERCENT)
}

/// A router's copy of the published speeds.
#[derive(Clone, Debug, Default)]
pub struct PublishedSpeeds {
    cursor: FeedCursor,
    /// Sorted by target.
    speeds: Vec<TargetSpeed>,
}

impl PublishedSpeeds {
    /// The position in the changes.
    pub fn cursor(&self) -> FeedCursor {
        self.cursor
    }

    /// Applies changes.
    pub fn apply(&mut self, changes: &SpeedChanges) {
        self.cursor = changes.cursor;
        if changes.is_snapshot {
            self.speeds.clear();
        }
        for speed in &changes.speeds {
            match self.speeds.binary_search_by(|known| known.target.cmp(&speed.target)) {
                Ok(at) if speed.percent == USUAL_PERCENT => drop(self.speeds.remove(at)),
                Ok(at) => self.speeds[at] = speed.clone(),
                Err(_) if speed.percent == USUAL_PERCENT => {}
                Err(at) => self.speeds.insert(at, speed.clone()),
            }
        }
    }

    /// The time that a target takes relative to others. 1 is usual.
    pub fn slowness(&self, target: &TargetId, incarnation: Incarnation) -> f64 {
        let at = self.speeds.binary_search_by(|known| known.target.cmp(target)).ok();
        let known = at.map(|at| &self.speeds[at]);
        known
            .filter(|known| known.incarnation == incarnation)
            .map_or(1.0, |known| slowness(known.percent))
    }
}
