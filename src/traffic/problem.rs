//! Refusals as HTTP responses in `application/problem+json` (RFC 9457).

use axum::body::Body;
use axum::response::Response;
use http::{HeaderName, HeaderValue, StatusCode, header};

use crate::routing::refusal::Refusal;

/// The header that states whether the request was run.
pub const RAN_HEADER: HeaderName = HeaderName::from_static("fescuebay-ran");

#[derive(serde::Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    code: &'a str,
    ran: &'a str,
    retry_after_ms: u64,
}

/// The JSON body of a refusal.
pub fn refusal_body(refusal: &Refusal) -> String {
    let code = refusal.code;
    let problem = Problem {
        r#type: format!("urn:fescuebay:refusal:{code}"),
        title: code.title(),
        status: code.status(),
        code: code.as_str(),
        ran: refusal.ran.as_str(),
        retry_after_ms: refusal.retry_after_ms,
    };
    serde_json::to_string(&problem).unwrap_or_default()
}

/// The HTTP response of a refusal.
pub fn refusal_response(refusal: &Refusal) -> Response {
    let mut response = Response::new(Body::from(refusal_body(refusal)));
    let status = StatusCode::from_u16(refusal.code.status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static("application/problem+json");
    headers.insert(header::CONTENT_TYPE, content_type);
    headers.insert(RAN_HEADER, HeaderValue::from_static(refusal.ran.as_str()));
    if refusal.retry_after_ms > 0 {
        let seconds = refusal.retry_after_ms.div_ceil(1000);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
