//! How often requests of each rank come for a service.
//!
//! Worst-case load: a service whose targets can take less than its most urgent requests alone. A less urgent one
//! that waits is overtaken by each of them, so it is refused at once.

use crate::ids::ServiceName;

/// Time in which the weight of an arrival falls to a third.
const MEMORY_MS: f64 = 1_000.0;

#[derive(Clone, Debug)]
struct ArrivalRate {
    service: ServiceName,
    rank: u8,
    per_ms: f64,
    counted_ms: u64,
}

impl ArrivalRate {
    fn per_ms_at(&self, now_ms: u64) -> f64 {
        self.per_ms * (-(now_ms.saturating_sub(self.counted_ms) as f64) / MEMORY_MS).exp()
    }
}

/// The rates of all services, sorted by service and rank.
#[derive(Clone, Debug, Default)]
pub struct ArrivalRates {
    rates: Vec<ArrivalRate>,
}

impl ArrivalRates {
    /// Counts a request.
    pub fn record(&mut self, now_ms: u64, service: &ServiceName, rank: u8) {
        let found =
            self.rates.binary_search_by(|known| (&known.service, known.rank).cmp(&(service, rank)));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let service = service.clone();
                self.rates
                    .insert(at, ArrivalRate { service, rank, per_ms: 0.0, counted_ms: now_ms });
                at
            }
        };
        let known = &mut self.rates[at];
        (known.per_ms, known.counted_ms) = (known.per_ms_at(now_ms) + 1.0 / MEMORY_MS, now_ms);
    }

    /// Requests for a service that come in a millisecond and are more urgent than `rank`.
    pub fn before_per_ms(&self, now_ms: u64, service: &ServiceName, rank: u8) -> f64 {
        let before = |known: &&ArrivalRate| known.service == *service && known.rank < rank;
        self.rates.iter().filter(before).map(|known| known.per_ms_at(now_ms)).sum()
    }
}
