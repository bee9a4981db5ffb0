//! Errors of the operators' API as problem details (RFC 9457).

use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use error_stack::Report;

use super::Error;
use crate::config;
use crate::ids::Revision;

/// The media type of problem details.
pub(super) const MEDIA_TYPE: &str = "application/problem+json";

/// An error as it is sent.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Problem {
    /// The HTTP status.
    pub status: u16,
    /// What kind of error it is, for programs.
    pub code: String,
    /// The same for people.
    pub title: String,
    /// What happened.
    pub detail: String,
    /// Everything that is wrong with a change that was refused.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<config::Problem>,
    /// The revision now, where a change came too late.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Revision>,
    /// What was changed since the operator looked.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub since: Vec<config::Accepted>,
}

impl Problem {
    /// A problem without further fields.
    pub(super) fn new(status: StatusCode, code: &str, detail: impl Into<String>) -> Self {
        Self {
            status: status.as_u16(),
            code: code.to_owned(),
            title: status.canonical_reason().unwrap_or("Error").to_owned(),
            detail: detail.into(),
            problems: Vec::new(),
            current: None,
            since: Vec::new(),
        }
    }

    /// A change that came after another one.
    pub(super) fn conflict(current: Revision, since: Vec<config::Accepted>) -> Self {
        let detail = format!("another change came first: the revision is now {current}");
        let new = Self::new(StatusCode::CONFLICT, "conflict", detail);
        Self { current: Some(current), since, ..new }
    }

    /// A change that cannot be made.
    pub(super) fn refused(problems: Vec<config::Problem>) -> Self {
        let detail = "the change has problems; nothing was done";
        let new = Self::new(StatusCode::UNPROCESSABLE_ENTITY, "refused", detail);
        Self { problems, ..new }
    }
}

impl From<Report<Error>> for Problem {
    fn from(report: Report<Error>) -> Self {
        let error = report.current_context();
        let (status, code) = match error {
            Error::NotFound(_) => (StatusCode::NOT_FOUND, "not-found"),
            Error::Refused(_) => (StatusCode::UNPROCESSABLE_ENTITY, "refused"),
            Error::Unavailable(_) => (StatusCode::SERVICE_UNAVAILABLE, "unavailable"),
        };
        Self::new(status, code, error.to_string())
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let body = serde_json::to_vec(&self).expect("a problem always encodes");
        (status, [(header::CONTENT_TYPE, MEDIA_TYPE)], body).into_response()
    }
}
