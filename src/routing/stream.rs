//! One stream to one caller, put together from the attempts that produce it.
//!
//! Each attempt has a number, each event an offset. Events are delivered once and in order; what
//! older attempts still send is dropped; a gap or an end before its marker is an error.

/// Multiple of the expected gap after which a stream counts as silent.
const SILENT_FACTOR: f64 = 3.0;
/// Shortest silence that counts.
pub const SILENT_FLOOR_MS: u64 = 500;
/// Longest silence that is tolerated.
pub const SILENT_CEILING_MS: u64 = 10_000;
/// Weight of the newest gap.
const SMOOTHING: f64 = 0.1;
/// How often one stream is resumed at most without a new event in between.
const MAX_RESUMES: u32 = 3;

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Pass it to the caller.
    Deliver,
    /// It was delivered before, or an older attempt sent it.
    Drop,
    /// Events are missing before it: give the attempt up and resume.
    Gap,
}

/// What to do after an attempt broke or went silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Nothing was delivered: the request may run again elsewhere.
    RunAgain,
    /// Ask for the rest from `offset` over a new connection, as attempt `attempt`.
    Resume {
        /// The first event that is missing.
        offset: u64,
        /// The number of the new attempt.
        attempt: u32,
    },
    /// End the caller's stream with an error.
    Fail,
}

/// The state of one stream.
#[derive(Clone, Debug)]
pub struct Stream {
    attempt: u32,
    next_offset: u64,
    resumes: u32,
    gap_ms: Option<f64>,
    last_ms: u64,
}

impl Stream {
    /// A stream whose current attempt is `attempt`.
    pub fn new(now_ms: u64, attempt: u32) -> Self {
        Self { attempt, next_offset: 0, resumes: 0, gap_ms: None, last_ms: now_ms }
    }

    /// The attempt whose events are taken.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// How many events were delivered.
    pub fn delivered(&self) -> u64 {
        self.next_offset
    }

    /// Decides on an event of `attempt`.
    pub fn event(&mut self, now_ms: u64, attempt: u32, offset: u64) -> Event {
        if attempt != self.attempt || offset < self.next_offset {
            return Event::Drop;
        }
        if offset > self.next_offset {
            return Event::Gap;
        }
        if self.next_offset > 0 {
            let gap_ms = now_ms.saturating_sub(self.last_ms) as f64;
            let old = self.gap_ms.unwrap_or(gap_ms);
            self.gap_ms = Some(old + SMOOTHING * (gap_ms - old));
        }
        self.last_ms = now_ms;
        self.next_offset += 1;
        self.resumes = 0;
        Event::Deliver
    }

    /// The time without an event after which the connection counts as silent.
    pub fn silent_after_ms(&self) -> u64 {
        match self.gap_ms {
            Some(gap_ms) => {
                ((SILENT_FACTOR * gap_ms) as u64).clamp(SILENT_FLOOR_MS, SILENT_CEILING_MS)
            }
            None => SILENT_CEILING_MS,
        }
    }

    /// Decides what follows when the current attempt broke or went silent.
    pub fn broken(&mut self) -> Broken {
        if self.next_offset == 0 {
            return Broken::RunAgain;
        }
        if self.resumes >= MAX_RESUMES {
            return Broken::Fail;
        }
        self.resumes += 1;
        self.attempt += 1;
        Broken::Resume { offset: self.next_offset, attempt: self.attempt }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn delivers_each_event_once_and_in_order() {
        let mut stream = Stream::new(0, 0);
        assert_eq!(stream.event(1, 0, 0), Event::Deliver);
        assert_eq!(stream.event(2, 0, 2), Event::Gap);
        assert_eq!(stream.broken(), Broken::Resume { offset: 1, attempt: 1 });
        assert_eq!(stream.event(3, 0, 1), Event::Drop, "an older attempt is not listened to");
        assert_eq!(stream.event(4, 1, 0), Event::Drop);
        assert_eq!(stream.event(5, 1, 1), Event::Deliver);
        assert_eq!(stream.delivered(), 2);
    }

    #[test]
    fn the_silent_bound_follows_the_gap() {
        let mut stream = Stream::new(0, 0);
        assert_eq!(stream.silent_after_ms(), SILENT_CEILING_MS);
        (0..20).for_each(|at| assert_eq!(stream.event(at * 400, 0, at), Event::Deliver));
        assert_eq!(stream.silent_after_ms(), 1200);
    }
}
