//! Answers to requests that no target answered.

use http::{StatusCode, header};
use rand::Rng as _;

use super::events::{self, Event};
use super::next::{End, Failure};
use crate::web::{self, Body};

/// The least and most that a caller is asked to wait who was refused since targets are busy, in
/// milliseconds.
const BUSY_RETRY_MS: std::ops::Range<u64> = 250..900;
/// The same where no document or no target is known: a group of voters that comes back needs so long
/// to choose a leader and to hear of the targets.
const UNKNOWN_RETRY_MS: std::ops::Range<u64> = 1_100..2_500;

/// Callers are asked back over so long after the first target opens, in milliseconds.
const REOPEN_RETRY_MS: u64 = 800;

/// Why a request is not answered by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The router knows no document.
    NoDocument,
    /// No route matches.
    NoRoute,
    /// The body is larger than the document allows.
    BodyTooLarge,
    /// The body did not come in the time that the request has.
    BodyLate,
    /// The bodies of other requests leave no room for this one.
    BodiesFull,
    /// The route leads to no service.
    NoService,
    /// The service has no targets.
    NoTargets,
    /// No target was free for it in time.
    NoneFree,
    /// All targets that could serve it asked to be left alone.
    Paused {
        /// Time until the first of them opens.
        opens_in_ms: u64,
    },
    /// The router stops.
    Stops,
    /// The last attempt failed, and none follows.
    Failed(Failure),
}

impl Why {
    /// The reason in lines.
    pub fn text(self) -> &'static str {
        match self {
            Why::NoDocument => "no document is known yet",
            Why::NoRoute => "no route matches",
            Why::BodyTooLarge => "the body is too large",
            Why::BodyLate => "the body did not come in time",
            Why::BodiesFull => "other bodies leave no room",
            Why::NoService => "the route has no service",
            Why::NoTargets => "the service has no targets",
            Why::NoneFree => "no target was free in time",
            Why::Paused { .. } => "all targets ask to be left alone",
            Why::Stops => "the router stops",
            Why::Failed(failure) => events::failure(failure),
        }
    }

    /// From when to when callers who may come back are asked to do so, in milliseconds.
    fn retry_ms(self) -> std::ops::Range<u64> {
        match self {
            Why::NoDocument | Why::NoTargets => UNKNOWN_RETRY_MS,
            // Targets take one request at first, and more as they answer.
            Why::Paused { opens_in_ms } => opens_in_ms..opens_in_ms + REOPEN_RETRY_MS,
            _ => BUSY_RETRY_MS,
        }
    }

    /// The status of a request that was refused for this before it was sent anywhere.
    fn status(self) -> StatusCode {
        match self {
            Why::NoRoute => StatusCode::NOT_FOUND,
            Why::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Why::BodyLate => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The answer to a request that was sent nowhere.
pub(super) fn refuse(id: &str, why: Why, after_ms: u64) -> http::Response<Body> {
    answer(id, why.status(), why, false, after_ms)
}

/// The answer to a request that is given up.
pub(super) fn give_up(id: &str, end: End, why: Why, after_ms: u64) -> http::Response<Body> {
    let status = match end {
        End::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        End::Failed => StatusCode::BAD_GATEWAY,
        End::TimedOut => StatusCode::GATEWAY_TIMEOUT,
    };
    answer(id, status, why, end != End::NotRun, after_ms)
}

fn answer(
    id: &str,
    status: StatusCode,
    why: Why,
    may_have_run: bool,
    after_ms: u64,
) -> http::Response<Body> {
    let event = Event::Refused { status: status.as_u16(), why: why.text(), may_have_run, after_ms };
    events::emit(id, &event);
    let code = status.as_str().to_owned();
    metrics::counter!("fescuebay_refused_total", "status" => code).increment(1);
    let mut response = web::empty(status);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let retry_ms = rand::rng().random_range(why.retry_ms());
        let text = format!("{:.2}", retry_ms as f64 / 1_000.0);
        if let Ok(value) = http::HeaderValue::from_str(&text) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
