//! How long requests take at targets, as one router measures it: what is usual in a service, and how targets
//! differ from that.
//!
//! Workload: a few streams at a time at each of 90 engines, with short spells in which an engine is 2.5 times
//! slower, and callers that read slowly.

use super::target_cost::ServiceTimes;
use crate::coordinator::speeds::{SpeedSample, USUAL_PERCENT};
use crate::ids::{Incarnation, ServiceName, TargetId};
use crate::rate_limit::TargetLife;

/// Measurements after which something counts as known.
const MIN_SAMPLES: u32 = 8;
/// Smallest step of a running median, as a ratio: it follows a change within some dozen measurements.
const MEDIAN_STEP: f64 = 0.03;
/// Combinations of service and model or route whose usual time is kept.
const MAX_USUAL: usize = 512;
/// Bounds of what one measurement may say, as a ratio to the usual time.
const MAX_RATIO: f64 = 4.0;
/// Shortest time between two reports on one target.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Events that a report on a target needs.
const MIN_REPORT_WEIGHT: u32 = 8;
/// Targets in one report. With 20 bytes each, reports stay under 400 bytes.
const MAX_REPORT_TARGETS: usize = 16;
/// Ratio to the published time from which a measurement counts as a spell of slowness.
const SPELL_RATIO: f64 = 1.6;
/// How long a spell that this router has observed counts.
const SPELL_MS: u64 = 1_000;
/// Upper bound of the delay by running requests that measurements are corrected by.
const FULL_BATCH_DELAY: f64 = 1.0;
/// Time constant of averages, in measurements.
const AVERAGE_SAMPLES: f64 = 50.0;
/// Prompt tokens below which the time to the first event says little about the time for each of them.
const MIN_PROMPT_TOKENS: f64 = 100.0;
/// Bounds of the time to read a prompt token.
const TOKEN_MS_BOUNDS: (f64, f64) = (0.005, 5.0);

/// A median that follows measurements, in the logarithm.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMedian {
    log: f64,
    samples: u32,
}

impl RunningMedian {
    fn add(&mut self, value: f64) {
        let log = value.max(1e-6).ln();
        // The first measurements move it further.
        let step = MEDIAN_STEP.max(0.5 / f64::from(self.samples.max(1)));
        match self.samples {
            0 => self.log = log,
            _ => self.log += (log - self.log).clamp(-step, step),
        }
        self.samples = self.samples.saturating_add(1);
    }

    fn get(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then(|| self.log.exp())
    }
}

/// A mean that follows measurements.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    mean: f64,
    samples: u32,
}

impl RunningMean {
    fn add(&mut self, value: f64) {
        self.samples = self.samples.saturating_add(1);
        self.mean += (value - self.mean) / f64::from(self.samples).min(AVERAGE_SAMPLES);
    }

    fn get(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean)
    }
}

#[derive(Clone, Debug)]
struct ServicePace {
    service: ServiceName,
    token_ms: RunningMedian,
    response_ms: RunningMedian,
    occupancy_ms: RunningMean,
    need_tokens: RunningMean,
}

#[derive(Clone, Debug)]
struct TargetPace {
    life: TargetLife,
    /// Sum of the logarithms of ratios since the last report, by weight.
    log_sum: f64,
    weight: u32,
    reported_ms: u64,
    /// A spell of slowness: its ratio to the published time, and until when it counts.
    spell: Option<(f64, u64)>,
}

#[derive(Clone, Debug)]
struct UsualTime {
    key: u64,
    time_ms: RunningMedian,
    last_use: u64,
}

/// One measurement at a target: the time between events of a stream, or the time to a response.
#[derive(Clone, Copy, Debug)]
pub struct Measurement<'a> {
    /// The incarnation of the target.
    pub life: &'a TargetLife,
    /// What is comparable: a hash of the service and the model or the route.
    pub key: u64,
    /// The mean time.
    pub time_ms: f64,
    /// Events or responses that it is the mean of.
    pub weight: u32,
    /// Share of the target's slots in use.
    pub busy_share: f64,
    /// The published time of the target relative to others.
    pub slowness: f64,
}

/// What one router has measured.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    /// Sorted by service.
    services: Vec<ServicePace>,
    /// Sorted by target.
    targets: Vec<TargetPace>,
    /// Sorted by key.
    usual: Vec<UsualTime>,
    uses: u64,
}

impl Paces {
    /// The usual times of a service, with defaults where nothing is known.
    pub fn times(&self, service: &ServiceName, is_engine: bool) -> ServiceTimes {
        let defaults = ServiceTimes { is_engine, ..ServiceTimes::default() };
        let Ok(at) = self.position(service) else { return defaults };
        let pace = &self.services[at];
        ServiceTimes {
            is_engine,
            token_ms: pace.token_ms.get().unwrap_or(defaults.token_ms),
            response_ms: pace.response_ms.get().unwrap_or(defaults.response_ms),
            occupancy_ms: pace.occupancy_ms.get().unwrap_or(defaults.occupancy_ms),
        }
    }

    /// The mean tokens that a request of the service needs, if that is known.
    pub fn mean_need_tokens(&self, service: &ServiceName) -> Option<f64> {
        self.services[self.position(service).ok()?].need_tokens.get()
    }

    /// Records the tokens that a request needs.
    pub fn record_need(&mut self, service: &ServiceName, need_tokens: u64) {
        self.service_mut(service).need_tokens.add(need_tokens as f64);
    }

    /// Records for how long a request occupied a slot.
    pub fn record_occupancy(&mut self, service: &ServiceName, took_ms: u64) {
        self.service_mut(service).occupancy_ms.add(took_ms as f64);
    }

    /// Records the time to the first event of a request, before which this many prompt tokens had to be read.
    pub fn record_first_event(
        &mut self,
        service: &ServiceName,
        waited_ms: u64,
        read_tokens: f64,
        slowness: f64,
    ) {
        if read_tokens >= MIN_PROMPT_TOKENS {
            let token_ms = waited_ms as f64 / read_tokens / slowness;
            let token_ms = token_ms.clamp(TOKEN_MS_BOUNDS.0, TOKEN_MS_BOUNDS.1);
            self.service_mut(service).token_ms.add(token_ms);
        }
    }

    /// Records the time to the response of a plain service.
    pub fn record_response(&mut self, now_ms: u64, service: &ServiceName, it: &Measurement<'_>) {
        self.service_mut(service).response_ms.add(it.time_ms.max(0.5) / it.slowness);
        self.record(now_ms, it);
    }

    /// Records the time between events of a stream, or to a response.
    pub fn record(&mut self, now_ms: u64, it: &Measurement<'_>) {
        let batch_delay = 1.0 + FULL_BATCH_DELAY * it.busy_share.clamp(0.0, 1.0);
        let time_ms = it.time_ms.max(0.5) / batch_delay;
        let usual = self.usual_mut(it.key);
        let usual_ms = usual.time_ms.get();
        usual.time_ms.add(time_ms / it.slowness);
        let Some(usual_ms) = usual_ms else { return };
        let ratio = (time_ms / usual_ms).clamp(1.0 / MAX_RATIO, MAX_RATIO);
        let target = self.target_mut(now_ms, it.life);
        target.log_sum += ratio.ln() * f64::from(it.weight);
        target.weight += it.weight;
        let relative = ratio / it.slowness;
        target.spell = (relative >= SPELL_RATIO).then_some((relative, now_ms + SPELL_MS));
    }

    /// The factor by which a target is slower than published at the moment, as this router observed.
    pub fn spell(&self, now_ms: u64, target: &TargetId, incarnation: Incarnation) -> f64 {
        let order = |known: &TargetPace| {
            (&known.life.target, known.life.incarnation).cmp(&(target, incarnation))
        };
        let Ok(at) = self.targets.binary_search_by(order) else { return 1.0 };
        match self.targets[at].spell {
            Some((ratio, until_ms)) if now_ms < until_ms => ratio,
            _ => 1.0,
        }
    }

    /// What the leader has not been told yet.
    pub fn take_samples(&mut self, now_ms: u64) -> Vec<SpeedSample> {
        let is_due = |target: &&mut TargetPace| {
            target.weight >= MIN_REPORT_WEIGHT
                && now_ms.saturating_sub(target.reported_ms) >= REPORT_INTERVAL_MS
        };
        let mut due: Vec<&mut TargetPace> = self.targets.iter_mut().filter(is_due).collect();
        due.sort_by_key(|target| target.reported_ms);
        let due = due.into_iter().take(MAX_REPORT_TARGETS);
        due.map(|target| target.take_sample(now_ms)).collect()
    }

    /// Keeps only what is known of these incarnations, which are sorted.
    pub fn retain_lives(&mut self, lives: &[TargetLife]) {
        self.targets.retain(|known| lives.binary_search(&known.life).is_ok());
    }

    fn position(&self, service: &ServiceName) -> Result<usize, usize> {
        self.services.binary_search_by(|known| known.service.cmp(service))
    }

    fn service_mut(&mut self, service: &ServiceName) -> &mut ServicePace {
        let at = match self.position(service) {
            Ok(at) => at,
            Err(at) => {
                let pace = ServicePace {
                    service: service.clone(),
                    token_ms: RunningMedian::default(),
                    response_ms: RunningMedian::default(),
                    occupancy_ms: RunningMean::default(),
                    need_tokens: RunningMean::default(),
                };
                self.services.insert(at, pace);
                at
            }
        };
        &mut self.services[at]
    }

    fn target_mut(&mut self, now_ms: u64, life: &TargetLife) -> &mut TargetPace {
        let at = match self.targets.binary_search_by(|known| known.life.cmp(life)) {
            Ok(at) => at,
            Err(at) => {
                let pace = TargetPace {
                    life: life.clone(),
                    log_sum: 0.0,
                    weight: 0,
                    reported_ms: now_ms,
                    spell: None,
                };
                self.targets.insert(at, pace);
                at
            }
        };
        &mut self.targets[at]
    }

    fn usual_mut(&mut self, key: u64) -> &mut UsualTime {
        self.uses += 1;
        if self.usual.len() >= MAX_USUAL
            && self.usual.binary_search_by_key(&key, |it| it.key).is_err()
        {
            let oldest = (0..self.usual.len()).min_by_key(|at| self.usual[*at].last_use);
            oldest.map(|at| self.usual.remove(at));
        }
        let at = match self.usual.binary_search_by_key(&key, |it| it.key) {
            Ok(at) => at,
            Err(at) => {
                let usual = UsualTime { key, time_ms: RunningMedian::default(), last_use: 0 };
                self.usual.insert(at, usual);
                at
            }
        };
        self.usual[at].last_use = self.uses;
        &mut self.usual[at]
    }
}

impl TargetPace {
    fn take_sample(&mut self, now_ms: u64) -> SpeedSample {
        let ratio = (self.log_sum / f64::from(self.weight.max(1))).exp();
        let sample = SpeedSample {
            target: self.life.target.clone(),
            incarnation: self.life.incarnation,
            percent: (ratio * f64::from(USUAL_PERCENT)).round() as u16,
            weight: self.weight.min(u32::from(u16::MAX)) as u16,
        };
        (self.log_sum, self.weight, self.reported_ms) = (0.0, 0, now_ms);
        sample
    }
}
