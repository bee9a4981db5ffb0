//! Limits on what callers send and how they read.

/// Limits at the edge.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head of a request.
    pub head_bytes: usize,
    /// Longest time in which the head of a request must arrive.
    pub head_timeout_ms: u64,
    /// Largest body of any request.
    pub body_bytes: usize,
    /// Longest time in which a body must arrive.
    pub body_timeout_ms: u64,
    /// Deepest nesting of JSON.
    pub json_depth: u32,
    /// Longest time for which a caller may leave a stream unread.
    pub stalled_reader_ms: u64,
    /// Largest plain answer that is held back until it is whole.
    pub held_answer_bytes: usize,
    /// Longest deadline that a caller may ask for.
    pub deadline_ms: u64,
    /// Connections at once.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 32 << 10,
            head_timeout_ms: 10_000,
            body_bytes: 8 << 20,
            body_timeout_ms: 15_000,
            json_depth: 64,
            stalled_reader_ms: 60_000,
            held_answer_bytes: 1 << 20,
            deadline_ms: 24 * 3_600_000,
            connections: 20_000,
        }
    }
}
