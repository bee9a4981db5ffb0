//! Refusals: error responses of the router to callers.

use std::fmt;

/// Whether a refused request may have been run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStatus {
    /// No byte of the request was written to a target.
    No,
    /// Part of the request was written: it may have run, wholly or in part.
    Maybe,
    /// The request was run.
    Yes,
}

impl RunStatus {
    /// The value in the response body and in the header `Fescuebay-Ran`.
    pub fn as_str(self) -> &'static str {
        match self {
            RunStatus::No => "no",
            RunStatus::Maybe => "maybe",
            RunStatus::Yes => "yes",
        }
    }
}

macro_rules! codes {
    ($($name:ident, $status:literal, $text:literal, $title:literal;)*) => {
        /// Why a request was refused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum RefusalCode {
            $(#[doc = $title] $name,)*
        }

        impl RefusalCode {
            /// All codes.
            pub const ALL: &[RefusalCode] = &[$(RefusalCode::$name),*];

            /// The HTTP status.
            pub fn status(self) -> u16 {
                match self { $(RefusalCode::$name => $status,)* }
            }

            /// The code in responses.
            pub fn as_str(self) -> &'static str {
                match self { $(RefusalCode::$name => $text,)* }
            }

            /// The human-readable title in responses.
            pub fn title(self) -> &'static str {
                match self { $(RefusalCode::$name => $title,)* }
            }
        }
    };
}

codes! {
    Unauthorized, 401, "unauthorized", "The bearer token is missing or unknown.";
    Malformed, 400, "malformed", "The request cannot be read.";
    MalformedUtf8, 400, "malformed-utf8", "The body is not valid UTF-8.";
    TooDeep, 400, "too-deep", "The JSON of the body is nested too deeply.";
    BodyTooLarge, 413, "body-too-large", "The body is larger than is accepted.";
    SlowSender, 408, "slow-sender", "The body did not arrive in time.";
    UnknownModel, 404, "unknown-model", "No such model is configured.";
    UnknownService, 404, "unknown-service", "No such service is known.";
    NotFound, 404, "not-found", "No such path.";
    KeyRequired, 400, "key-required", "This call needs an Idempotency-Key.";
    KeyMismatch, 422, "key-mismatch", "The key was used for another request.";
    InProgress, 409, "in-progress", "A call with this key is running.";
    MayHaveRun, 409, "may-have-run", "An earlier call with this key may have run.";
    KeyExpired, 410, "key-expired", "The record of this key is past its retention.";
    NoRecords, 503, "no-records", "The idempotency record cannot be written now.";
    ConfigurationStale, 503, "configuration-stale", "The configuration in force is unconfirmed.";
    TooManyWaiting, 429, "too-many-waiting", "The tenant has too many requests waiting.";
    QueueFull, 503, "queue-full", "The queue of this daemon is full.";
    NotInTime, 503, "not-in-time", "The request is not expected to be answered by its deadline.";
    DeadlinePassed, 504, "deadline-passed", "The deadline passed while the request waited.";
    TargetBusy, 503, "target-busy", "The targets asked refused the request for now.";
    TargetsLimited, 503, "targets-limited", "The targets are at the rate limits that they name.";
    TargetFailed, 502, "target-failed", "The target failed before it had answered.";
    TargetSilent, 504, "target-silent", "The target did not answer in time.";
    PoisonSuspect, 422, "poison-suspect", "Targets failed while running this very request.";
}

impl fmt::Display for RefusalCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An error response that the router itself gives to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub code: RefusalCode,
    /// Whether the request may have been run.
    pub ran: RunStatus,
    /// Delay after which the caller may retry; 0 if a retry will not help.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// A permanent refusal of a request that was not written to a target.
    pub fn not_run(code: RefusalCode) -> Self {
        Self { code, ran: RunStatus::No, retry_after_ms: 0 }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn codes_are_distinct_and_have_error_statuses() {
        for (at, code) in RefusalCode::ALL.iter().enumerate() {
            assert!(code.status() >= 400, "{code}");
            assert!(RefusalCode::ALL[..at].iter().all(|c| c.as_str() != code.as_str()), "{code}");
        }
    }
}
