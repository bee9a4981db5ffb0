//! Limits on the requests of callers and on how slowly they read.

/// Limits on the connections and requests of callers.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub max_head_bytes: usize,
    /// Longest time in which the head of a request must arrive.
    pub head_timeout_ms: u64,
    /// Largest body of any request.
    pub max_body_bytes: usize,
    /// Longest time in which a body must arrive.
    pub body_timeout_ms: u64,
    /// Deepest nesting of JSON.
    pub max_json_depth: u32,
    /// Longest time for which a caller may leave a stream unread.
    pub stalled_reader_timeout_ms: u64,
    /// Largest plain response that is buffered until it is complete.
    pub max_buffered_response_bytes: usize,
    /// Longest deadline that a caller may ask for.
    pub max_deadline_ms: u64,
    /// Most concurrent connections.
    pub max_connections: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 32 << 10,
            head_timeout_ms: 10_000,
            max_body_bytes: 8 << 20,
            body_timeout_ms: 15_000,
            max_json_depth: 64,
            stalled_reader_timeout_ms: 60_000,
            max_buffered_response_bytes: 1 << 20,
            max_deadline_ms: 24 * 3_600_000,
            max_connections: 20_000,
        }
    }
}
