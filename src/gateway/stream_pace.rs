//! Measures the time between the events of a stream, and to the response of a plain service.
//!
//! Workload: callers that read slowly. The time that a caller takes is no property of the target, so a pause
//! counts only if the caller asked for more data right after the last.

use bytes::Bytes;
use xxhash_rust::xxh3;

use super::attempt::{RoutedRequest, TargetResponse};
use super::balancer::Measured;
use super::state::RouterState;
use crate::rate_limit::TargetLife;

/// Time of a stream that is reported at once, so that streams with many events cost little.
const WINDOW_MS: u64 = 250;
/// Time after the last data within which a caller that keeps up asks for more.
const PROMPT_READ_MS: u64 = 2;

/// The mean time between some events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct MeanGap {
    time_ms: f64,
    events: u32,
}

/// The events of one stream.
#[derive(Debug, Default)]
pub(super) struct StreamPace {
    /// Events of the whole stream.
    total_events: u64,
    /// Events and time that were not reported yet.
    events: u32,
    time_ms: u64,
    /// Whether the next pause is none between events of one target.
    is_interrupted: bool,
}

impl StreamPace {
    /// Counts the events of the first data.
    pub(super) fn begin(&mut self, data: &Bytes) {
        self.total_events += count_events(data);
    }

    /// Leaves out the next pause: the stream goes on at another target.
    pub(super) fn interrupt(&mut self) {
        (self.events, self.time_ms, self.is_interrupted) = (0, 0, true);
    }

    /// Adds data that arrived at `now_ms`, after others at `last_ms`, and for which the caller asked at
    /// `asked_ms`. Returns the mean time between the last events from time to time.
    pub(super) fn add(
        &mut self,
        now_ms: u64,
        last_ms: u64,
        asked_ms: u64,
        data: &Bytes,
    ) -> Option<MeanGap> {
        let events = count_events(data);
        self.total_events += events;
        let is_interrupted = std::mem::take(&mut self.is_interrupted);
        if is_interrupted || asked_ms > last_ms + PROMPT_READ_MS {
            return None;
        }
        self.events += events as u32;
        self.time_ms += now_ms.saturating_sub(last_ms);
        if self.time_ms < WINDOW_MS || self.events == 0 {
            return None;
        }
        let gap =
            MeanGap { time_ms: self.time_ms as f64 / f64::from(self.events), events: self.events };
        (self.events, self.time_ms) = (0, 0);
        Some(gap)
    }
}

/// Counts the ends of events.
fn count_events(data: &Bytes) -> u64 {
    let plain = data.windows(2).filter(|pair| *pair == b"\n\n").count();
    let returns = data.windows(4).filter(|four| *four == b"\r\n\r\n").count();
    (plain + returns) as u64
}

/// Records the time between events.
pub(super) fn record_gaps(
    router: &RouterState,
    routed: &RoutedRequest,
    response: &TargetResponse,
    gap: MeanGap,
) {
    let life = response.reservation.life();
    let measured = Measured {
        service: &routed.service,
        life: &life,
        key: comparable_key(routed),
        time_ms: gap.time_ms,
        weight: gap.events,
    };
    router.balancer.borrow_mut().record_gaps(router.now_ms(), &measured);
}

/// Records the time to the first event of a stream that began at its target.
pub(super) fn record_first_event(
    router: &RouterState,
    routed: &RoutedRequest,
    response: &TargetResponse,
) {
    if routed.is_engine {
        let waited_ms = router.now_ms().saturating_sub(response.sent_ms);
        let reservation = &response.reservation;
        let (life, read_tokens) = (reservation.life(), reservation.read_tokens);
        let mut balancer = router.balancer.borrow_mut();
        balancer.record_first_event(&routed.service, &life, waited_ms, read_tokens);
    }
}

/// Records the time to the response of a plain service.
pub(super) fn record_response(
    router: &RouterState,
    routed: &RoutedRequest,
    life: &TargetLife,
    took_ms: u64,
) {
    if routed.is_engine || routed.route.kind.is_stream() {
        return;
    }
    let key = comparable_key(routed);
    let (service, time_ms) = (&routed.service, took_ms as f64);
    let measured = Measured { service, life, key, time_ms, weight: 1 };
    router.balancer.borrow_mut().record_response_time(router.now_ms(), &measured);
}

/// Records the output of a stream that has ended. Each event carries one token.
pub(super) fn record_length(router: &RouterState, routed: &RoutedRequest, pace: &StreamPace) {
    // A stream that was taken up again shows only its end.
    if routed.is_engine && routed.info.last_event_id.is_none() {
        let mut lengths = router.output_lengths.borrow_mut();
        lengths.record(&routed.route.name, pace.total_events);
    }
}

/// Requests with the same key take about as long at targets of the same speed.
fn comparable_key(routed: &RoutedRequest) -> u64 {
    let service = xxh3::xxh3_64(routed.service.as_str().as_bytes());
    match &routed.info.model {
        Some(model) if routed.is_engine => {
            xxh3::xxh3_64_with_seed(model.to_string().as_bytes(), service)
        }
        _ => xxh3::xxh3_64_with_seed(routed.route.name.as_bytes(), service),
    }
}
