//! Log lines of requests: one for each decision, as a JSON object.

use crate::gateway::next::{End, Failure};

/// The log target of these lines, whose message is an object already.
pub const TARGET: &str = "request";

/// A decision on one request.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// It was matched to a route.
    Admitted {
        /// The route.
        route: &'a str,
        /// The version of the document that has the route.
        document: u64,
        /// The service that it goes to.
        service: &'a str,
        /// The model or adapter, if it asks for one.
        model: Option<String>,
        /// The time that it has.
        left_ms: u64,
    },
    /// It waits for a target.
    Queued {
        /// Why none was chosen.
        why: &'a str,
        /// Requests that wait at this router.
        waiting: usize,
        /// Targets of its service that take nothing now by their own word.
        closed: usize,
    },
    /// It was sent to a target.
    Sent {
        /// The target.
        target: &'a str,
        /// The life of the target.
        life: u64,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// Requests in flight there, as far as known.
        in_flight: u32,
        /// Targets of its service that take nothing now by their own word.
        closed: usize,
        /// The route table that it was chosen from, as term and number.
        table: String,
        /// How long ago a leader last told of the targets.
        table_age_ms: Option<u64>,
        /// How long it has been here.
        after_ms: u64,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The target.
        target: &'a str,
        /// How.
        failure: &'a str,
        /// The time since it was sent.
        after_ms: u64,
    },
    /// A stream goes on at another target.
    Resumed {
        /// The target.
        target: &'a str,
        /// The last event that was delivered.
        last_event: Option<&'a str>,
    },
    /// It was answered by a target.
    Answered {
        /// The target.
        target: &'a str,
        /// The status.
        status: u16,
        /// The time to the answer, or to its first event.
        first_ms: u64,
    },
    /// A stream ended.
    StreamEnded {
        /// How.
        how: &'a str,
        /// The longest time between two parts of it, as they came here.
        longest_gap_ms: u64,
        /// The time since the request came.
        after_ms: u64,
    },
    /// It was ended without a target's answer.
    Refused {
        /// The status.
        status: u16,
        /// Why.
        why: &'a str,
        /// Whether it may have run.
        may_have_run: bool,
        /// The time since the request came.
        after_ms: u64,
    },
}

#[derive(serde::Serialize)]
struct Line<'a> {
    id: &'a str,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

/// Writes the line of a decision on the request `id`.
pub fn emit(id: &str, event: &Event<'_>) {
    if !log::log_enabled!(target: TARGET, log::Level::Info) {
        return;
    }
    match serde_json::to_string(&Line { id, event }) {
        Ok(line) => log::info!(target: TARGET, "{line}"),
        Err(error) => log::warn!("the line of a request cannot be written: {error}"),
    }
}

/// The name of a failure in lines and metrics.
pub fn failure(failure: Failure) -> &'static str {
    match failure {
        Failure::NotSent => "not sent",
        Failure::Withdrawn => "withdrawn",
        Failure::NotRun => "not run",
        Failure::Lacking => "lacking",
        Failure::Broken => "broken",
        Failure::TooLarge => "too large",
        Failure::Foreign => "foreign",
        Failure::Silent => "silent",
        Failure::Failed => "failed",
    }
}

/// The name of an end in lines and metrics.
pub fn end(end: End) -> &'static str {
    match end {
        End::NotRun => "not run",
        End::Failed => "target failed",
        End::TimedOut => "timed out",
    }
}
