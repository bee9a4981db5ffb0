//! Structured log lines of requests: one JSON object for each decision on a request.

use crate::gateway::forecast::Outlook;
use crate::gateway::retry::{AttemptFailure, RequestFailure};

/// The log target of these lines. Their message is a JSON object already.
pub const LOG_TARGET: &str = "request";

/// A decision on a request. Field names in JSON are part of the log format.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum RequestEvent<'a> {
    /// The request was matched to a route.
    Admitted {
        /// The name of the route.
        route: &'a str,
        /// The version of the route document that contains the route.
        #[serde(rename = "document")]
        document_version: u64,
        /// The service that the request is sent to.
        service: &'a str,
        /// The requested model or adapter, if any.
        model: Option<String>,
        /// The workspace that the request is for, if requests carry keys.
        #[serde(skip_serializing_if = "Option::is_none")]
        workspace: Option<&'a str>,
        /// A hash of what is asked for: the same in each repetition of the request.
        content: String,
        /// The ids of the parts of its prompt that other requests may share.
        #[serde(rename = "parts", skip_serializing_if = "Vec::is_empty")]
        shared_parts: Vec<String>,
        /// The attempt that brought the first event of a stream that the caller takes up again.
        #[serde(rename = "resumes", skip_serializing_if = "Option::is_none")]
        began_with: Option<&'a str>,
        /// Time until the deadline of the request.
        #[serde(rename = "left_ms")]
        remaining_ms: u64,
    },
    /// The leader was asked who began the stream that the caller takes up again.
    Origin {
        /// The request that brought the first event, if the caller named it.
        #[serde(rename = "resumes", skip_serializing_if = "Option::is_none")]
        began_with: Option<&'a str>,
        /// The software version that wrote it, if it is known.
        #[serde(skip_serializing_if = "Option::is_none")]
        software: Option<&'a str>,
        /// How often the leader was asked.
        asked: u32,
        /// Time since the request arrived.
        #[serde(rename = "after_ms")]
        elapsed_ms: u64,
    },
    /// The request was queued until a target has a free slot.
    Queued {
        /// Why no target was chosen.
        #[serde(rename = "why")]
        reason: &'a str,
        /// Requests in the queue of this router.
        #[serde(rename = "waiting")]
        queue_len: usize,
        /// Targets of the service that are leaving or paused according to their own responses.
        #[serde(rename = "closed")]
        unavailable_targets: usize,
        /// When it is expected to begin.
        #[serde(skip_serializing_if = "Option::is_none")]
        forecast: Option<LoggedForecast>,
    },
    /// The request was sent to a target.
    Sent {
        /// The target.
        target: &'a str,
        /// The incarnation of the target.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The version of its software.
        #[serde(skip_serializing_if = "Option::is_none")]
        software: Option<&'a str>,
        /// The number of the attempt, from 1.
        attempt: u32,
        /// Known requests in flight at the target.
        in_flight: u32,
        /// Targets of the service that are leaving or paused according to their own responses.
        #[serde(rename = "closed")]
        unavailable_targets: usize,
        /// The version of the target table that the choice was based on, as term and number.
        #[serde(rename = "table")]
        table_version: String,
        /// Time since the last update from a leader.
        table_age_ms: Option<u64>,
        /// The requests a second that the target takes from all routers, if it names a limit.
        #[serde(skip_serializing_if = "Option::is_none")]
        limit_per_s: Option<f64>,
        /// The time that the target takes now, in percent of the usual time, if it differs.
        #[serde(skip_serializing_if = "Option::is_none")]
        slowness_percent: Option<u32>,
        /// Tokens that the request needs in the memory of an engine, if that is known.
        #[serde(skip_serializing_if = "Option::is_none")]
        need_tokens: Option<u64>,
        /// Time since the request arrived.
        #[serde(rename = "after_ms")]
        elapsed_ms: u64,
    },
    /// The request was sent to another router, which is to handle it.
    Forwarded {
        /// The other router.
        router: &'a str,
        /// Whether all targets of the service are out of reach here.
        #[serde(rename = "out_of_reach")]
        is_lost: bool,
        /// Attempts that could not be sent to a target.
        #[serde(rename = "unsent")]
        unsent_attempts: u32,
        /// Time since the request arrived.
        #[serde(rename = "after_ms")]
        elapsed_ms: u64,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The target.
        target: &'a str,
        /// The name of the failure, see [`failure_name`].
        failure: &'a str,
        /// Time since the attempt was sent.
        #[serde(rename = "after_ms")]
        elapsed_ms: u64,
    },
    /// A stream was resumed at another target.
    Resumed {
        /// The target.
        target: &'a str,
        /// The version of its software.
        #[serde(skip_serializing_if = "Option::is_none")]
        software: Option<&'a str>,
        /// The id of the last event that was delivered to the caller.
        #[serde(rename = "last_event")]
        last_event_id: Option<&'a str>,
    },
    /// A target answered the request.
    Answered {
        /// The target.
        target: &'a str,
        /// The HTTP status.
        status: u16,
        /// Time from the attempt to the response, or to the first event of a stream.
        #[serde(rename = "first_ms")]
        first_response_ms: u64,
    },
    /// A stream ended.
    StreamEnded {
        /// `whole`, or the name of the failure that cut the stream off.
        #[serde(rename = "how")]
        ending: &'a str,
        /// Why no target could continue it.
        #[serde(rename = "why", skip_serializing_if = "Option::is_none")]
        reason: Option<&'a str>,
        /// The longest time between two chunks of the stream as received by the router.
        longest_gap_ms: u64,
        /// Time since the request arrived.
        #[serde(rename = "after_ms")]
        elapsed_ms: u64,
    },
    /// The router itself answered the request, with an error.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The reason of the refusal.
        #[serde(rename = "why")]
        reason: &'a str,
        /// Whether a target may have run the request.
        may_have_run: bool,
        /// Time since the request arrived.
        #[serde(rename = "after_ms")]
        elapsed_ms: u64,
        /// The forecast because of which it was refused.
        #[serde(skip_serializing_if = "Option::is_none")]
        forecast: Option<LoggedForecast>,
    },
}

/// A forecast in a log line.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub struct LoggedForecast {
    /// Time until the request is expected to begin; `null` if it never will.
    pub begins_in_ms: Option<u64>,
    /// What the forecast rests on.
    pub basis: &'static str,
    /// Age of that.
    pub age_ms: u64,
    /// How much earlier or later it may well begin.
    pub spread_ms: u64,
}

impl From<Outlook> for LoggedForecast {
    fn from(outlook: Outlook) -> Self {
        let (begins_in_ms, basis) = (outlook.begins_in_ms(), outlook.basis.text());
        Self { begins_in_ms, basis, age_ms: outlook.age_ms, spread_ms: outlook.spread_ms }
    }
}

#[derive(serde::Serialize)]
struct LogLine<'a> {
    id: &'a str,
    #[serde(flatten)]
    event: &'a RequestEvent<'a>,
}

/// Logs a decision on the request `id`.
pub fn emit(id: &str, event: &RequestEvent<'_>) {
    if !log::log_enabled!(target: LOG_TARGET, log::Level::Info) {
        return;
    }
    match serde_json::to_string(&LogLine { id, event }) {
        Ok(line) => log::info!(target: LOG_TARGET, "{line}"),
        Err(error) => log::warn!("cannot serialize the log line of a request: {error}"),
    }
}

/// The name of an attempt's failure in log lines and metrics.
pub fn failure_name(failure: AttemptFailure) -> &'static str {
    match failure {
        AttemptFailure::NotSent => "not sent",
        AttemptFailure::Withdrawn => "withdrawn",
        AttemptFailure::NotRun => "not run",
        AttemptFailure::Misdirected => "lacking",
        AttemptFailure::ConnectionClosed => "broken",
        AttemptFailure::TooLarge => "too large",
        AttemptFailure::InvalidResponse => "foreign",
        AttemptFailure::TimedOut => "silent",
        AttemptFailure::ErrorStatus => "failed",
    }
}

/// The name of a request's failure in log lines and metrics.
pub fn request_failure_name(failure: RequestFailure) -> &'static str {
    match failure {
        RequestFailure::NotRun => "not run",
        RequestFailure::TargetFailed => "target failed",
        RequestFailure::TimedOut => "timed out",
    }
}
