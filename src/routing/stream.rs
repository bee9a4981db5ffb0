//! Assembles the response stream of one caller from the attempts that produce it.
//!
//! Each attempt has a number and each event an offset. Events are delivered once and in order.
//! Events of older attempts are dropped. A gap in the offsets, or an end of the stream without its
//! end marker, is an error.

/// A stream counts as silent after this multiple of the average time between events.
const SILENCE_GAP_FACTOR: f64 = 3.0;
/// Lower bound of the silence timeout.
pub const MIN_SILENCE_TIMEOUT_MS: u64 = 500;
/// Upper bound of the silence timeout.
pub const MAX_SILENCE_TIMEOUT_MS: u64 = 10_000;
/// Weight of the newest time between events in the moving average.
const SMOOTHING: f64 = 0.1;
/// Most consecutive resumes of a stream without a new event.
const MAX_RESUMES: u32 = 3;

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAction {
    /// Pass it to the caller.
    Deliver,
    /// Ignore it: it was delivered before, or an older attempt sent it.
    Drop,
    /// Events before it are missing: abandon the attempt and resume.
    Gap,
}

/// How to recover after an attempt broke or went silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamRecovery {
    /// Nothing was delivered: the request may run again elsewhere.
    Rerun,
    /// Request the rest from `offset` over a new connection, as attempt `attempt`.
    Resume {
        /// The offset of the first missing event.
        offset: u64,
        /// The number of the new attempt.
        attempt: u32,
    },
    /// End the caller's stream with an error.
    Fail,
}

/// The state of one response stream.
#[derive(Clone, Debug)]
pub struct StreamAssembler {
    attempt: u32,
    next_offset: u64,
    resumes: u32,
    gap_ms: Option<f64>,
    last_ms: u64,
}

impl StreamAssembler {
    /// Creates a stream whose current attempt is `attempt`.
    pub fn new(now_ms: u64, attempt: u32) -> Self {
        Self { attempt, next_offset: 0, resumes: 0, gap_ms: None, last_ms: now_ms }
    }

    /// The attempt whose events are accepted.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// The number of delivered events.
    pub fn delivered(&self) -> u64 {
        self.next_offset
    }

    /// Decides whether to deliver an event of `attempt`.
    pub fn accept_event(&mut self, now_ms: u64, attempt: u32, offset: u64) -> EventAction {
        if attempt != self.attempt || offset < self.next_offset {
            return EventAction::Drop;
        }
        if offset > self.next_offset {
            return EventAction::Gap;
        }
        if self.next_offset > 0 {
            let gap_ms = now_ms.saturating_sub(self.last_ms) as f64;
            let old = self.gap_ms.unwrap_or(gap_ms);
            self.gap_ms = Some(old + SMOOTHING * (gap_ms - old));
        }
        self.last_ms = now_ms;
        self.next_offset += 1;
        self.resumes = 0;
        EventAction::Deliver
    }

    /// The time without an event after which the attempt counts as silent.
    pub fn silence_timeout_ms(&self) -> u64 {
        match self.gap_ms {
            Some(gap_ms) => ((SILENCE_GAP_FACTOR * gap_ms) as u64)
                .clamp(MIN_SILENCE_TIMEOUT_MS, MAX_SILENCE_TIMEOUT_MS),
            None => MAX_SILENCE_TIMEOUT_MS,
        }
    }

    /// Decides how to recover after the current attempt broke or went silent.
    pub fn recover(&mut self) -> StreamRecovery {
        if self.next_offset == 0 {
            return StreamRecovery::Rerun;
        }
        if self.resumes >= MAX_RESUMES {
            return StreamRecovery::Fail;
        }
        self.resumes += 1;
        self.attempt += 1;
        StreamRecovery::Resume { offset: self.next_offset, attempt: self.attempt }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn delivers_each_event_once_and_in_order() {
        let mut stream = StreamAssembler::new(0, 0);
        assert_eq!(stream.accept_event(1, 0, 0), EventAction::Deliver);
        assert_eq!(stream.accept_event(2, 0, 2), EventAction::Gap);
        assert_eq!(stream.recover(), StreamRecovery::Resume { offset: 1, attempt: 1 });
        assert_eq!(
            stream.accept_event(3, 0, 1),
            EventAction::Drop,
            "events of an older attempt are dropped"
        );
        assert_eq!(stream.accept_event(4, 1, 0), EventAction::Drop);
        assert_eq!(stream.accept_event(5, 1, 1), EventAction::Deliver);
        assert_eq!(stream.delivered(), 2);
    }

    #[test]
    fn silence_timeout_follows_the_time_between_events() {
        let mut stream = StreamAssembler::new(0, 0);
        assert_eq!(stream.silence_timeout_ms(), MAX_SILENCE_TIMEOUT_MS);
        (0..20)
            .for_each(|at| assert_eq!(stream.accept_event(at * 400, 0, at), EventAction::Deliver));
        assert_eq!(stream.silence_timeout_ms(), 1200);
    }
}
