//! Histogram of the times between requests for one model, to estimate when the next one arrives.
//!
//! The histogram of idle times per function is that of Shahrad et al., "Serverless in the Wild",
//! USENIX ATC 2020. Here it yields a hazard rate, which a price is compared with.

/// Octaves of seconds: up to 1 s, 2 s, 4 s, and so on to 36 hours.
const BUCKETS: usize = 18;
/// Weight of the fleet's histogram beside a model's own gaps.
const PRIOR_GAPS: f32 = 4.0;
/// Gaps after which older ones count half, so that the histogram follows changes in traffic.
const MAX_GAPS: f32 = 128.0;
/// Shortest time that is charged for holding a replica, in seconds.
const MIN_HOLD_S: f32 = 1.0;

/// Times between requests, by octaves of seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct GapHistogram {
    counts: [f32; BUCKETS],
    total: f32,
}

impl Default for GapHistogram {
    fn default() -> Self {
        Self { counts: [0.0; BUCKETS], total: 0.0 }
    }
}

/// The upper end of a bucket in seconds.
fn edge_s(bucket: usize) -> f32 {
    (1u32 << bucket) as f32
}

fn bucket_of(gap_s: f32) -> usize {
    (0..BUCKETS - 1).find(|bucket| gap_s <= edge_s(*bucket)).unwrap_or(BUCKETS - 1)
}

impl GapHistogram {
    /// Counts a gap of `gap_ms` between two requests.
    pub fn record(&mut self, gap_ms: u64) {
        self.counts[bucket_of(gap_ms as f32 / 1000.0)] += 1.0;
        self.total += 1.0;
        if self.total > MAX_GAPS {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
    }

    /// Gaps counted, older ones in part.
    pub fn total(&self) -> u32 {
        self.total as u32
    }

    /// The share of gaps in `bucket`, smoothed by those of the fleet.
    fn mass(&self, fleet: &GapHistogram, bucket: usize) -> f32 {
        // Without recorded gaps all octaves are equally likely.
        let prior = (fleet.counts[bucket] + 1.0 / BUCKETS as f32) / (fleet.total + 1.0);
        (self.counts[bucket] + PRIOR_GAPS * prior) / (self.total + PRIOR_GAPS)
    }

    /// Requests a second of holding, when the last request was `age_ms` ago, for the horizon at
    /// which this is best.
    pub fn hazard_per_s(&self, fleet: &GapHistogram, age_ms: u64) -> f32 {
        let age_s = age_ms as f32 / 1000.0;
        let first = bucket_of(age_s);
        let mut masses = [0.0; BUCKETS];
        for (bucket, mass) in masses.iter_mut().enumerate().skip(first) {
            *mass = self.mass(fleet, bucket);
        }
        let low_s = if first == 0 { 0.0 } else { edge_s(first - 1) };
        let width_s = edge_s(first) - low_s;
        masses[first] *= ((edge_s(first) - age_s) / width_s).clamp(0.0, 1.0);
        let mut beyond: f32 = masses.iter().sum();
        let mut arrived = 0.0;
        let mut held_s = 0.0;
        let mut from_s = age_s;
        let mut best: f32 = 0.0;
        for (bucket, mass) in masses.iter().enumerate().skip(first) {
            let to_s = edge_s(bucket).max(from_s);
            beyond = (beyond - mass).max(0.0);
            held_s += (beyond + mass / 2.0) * (to_s - from_s);
            arrived += mass;
            best = best.max(arrived / (held_s.max(MIN_HOLD_S * (arrived + beyond))));
            from_s = to_s;
        }
        best
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_model_asked_for_in_sessions_is_worth_less_once_the_session_is_over() {
        let mut gaps = GapHistogram::default();
        for _ in 0..20 {
            (0..4).for_each(|_| gaps.record(30_000));
            gaps.record(3 * 3_600_000);
        }
        let fleet = GapHistogram::default();
        let during = gaps.hazard_per_s(&fleet, 10_000);
        let after = gaps.hazard_per_s(&fleet, 240_000);
        assert!(during > 10.0 * after, "{during} during, {after} after");
    }

    #[test]
    fn an_unknown_model_behaves_like_the_fleet() {
        let mut fleet = GapHistogram::default();
        (0..100).for_each(|_| fleet.record(60_000));
        let unknown = GapHistogram::default();
        let busy = unknown.hazard_per_s(&fleet, 1000);
        let quiet = unknown.hazard_per_s(&GapHistogram::default(), 1000);
        assert!(busy > 1.0 / 120.0 && busy < 1.0 / 20.0, "{busy}");
        assert!(quiet > 0.0);
    }
}
