//! Parses callers' requests: tokens, headers, bodies and the JSON fields that routing needs.

use std::borrow::Cow;
use std::hash::Hasher;
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};

use crate::ids::{ClassName, IdempotencyKey, ModelRef, TenantId};
use crate::routing::affinity::ConversationHash;
use crate::routing::refusal::{Refusal, RefusalCode};
use crate::traffic::limits::CallerLimits;
use crate::traffic::state::TrafficState;

/// The result of parsing a request.
pub type Result<T> = std::result::Result<T, Refusal>;

/// The header in which a caller states the class.
pub const CLASS_HEADER: HeaderName = HeaderName::from_static("fescuebay-class");
/// The header in which a caller states its deadline, in milliseconds from now.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("fescuebay-deadline-ms");
/// The header of the idempotency key.
pub const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that are not forwarded: hop-by-hop headers, and those meant for the router alone.
const DROPPED_HEADERS: &[HeaderName] = &[
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::AUTHORIZATION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::EXPECT,
];

fn refuse<T>(code: RefusalCode) -> Result<T> {
    Err(Refusal::not_run(code))
}

/// Returns the tenant of the caller.
pub fn authenticate(shared: &TrafficState, headers: &HeaderMap) -> Result<TenantId> {
    let token = match headers.get(header::AUTHORIZATION) {
        Some(value) => {
            let text = value.to_str().ok().and_then(|text| text.split_once(' '));
            match text {
                Some((scheme, token)) if scheme.eq_ignore_ascii_case("bearer") => Some(token),
                _ => return refuse(RefusalCode::Unauthorized),
            }
        }
        None => None,
    };
    match shared.policy.authenticate(token.map(str::trim)) {
        Some(tenant) => Ok(tenant),
        None => refuse(RefusalCode::Unauthorized),
    }
}

/// Parses a header, if it is present.
fn parse_header<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Result<Option<T>> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    match value.to_str().ok().and_then(|text| text.parse().ok()) {
        Some(value) => Ok(Some(value)),
        None => refuse(RefusalCode::Malformed),
    }
}

/// The request headers that are specific to this API.
#[derive(Clone, Debug)]
pub struct CallerHeaders {
    /// The class.
    pub class: Option<ClassName>,
    /// The deadline, relative to the arrival of the request.
    pub deadline_ms: Option<u64>,
    /// The idempotency key.
    pub key: Option<IdempotencyKey>,
}

/// Parses the headers that are specific to this API.
pub fn parse_headers(headers: &HeaderMap) -> Result<CallerHeaders> {
    Ok(CallerHeaders {
        class: parse_header(headers, &CLASS_HEADER)?,
        deadline_ms: parse_header(headers, &DEADLINE_HEADER)?,
        key: parse_header(headers, &KEY_HEADER)?,
    })
}

/// Returns the end-to-end headers of a request or a response, which are forwarded.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let is_end_to_end = |name: &HeaderName| {
        !DROPPED_HEADERS.contains(name) && !named.contains(name) && name != "keep-alive"
    };
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.iter().filter(|(name, _)| is_end_to_end(name)) {
        passed.append(name, value.clone());
    }
    passed
}

/// Reads a complete body within the limits.
pub async fn read_body(limits: &CallerLimits, body: Body) -> Result<Bytes> {
    let limited = Limited::new(body, limits.max_body_bytes).collect();
    let timeout = Duration::from_millis(limits.body_timeout_ms);
    match tokio::time::timeout(timeout, limited).await {
        Err(_) => refuse(RefusalCode::SlowSender),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => refuse(RefusalCode::BodyTooLarge),
        Ok(Err(_)) => refuse(RefusalCode::Malformed),
    }
}

/// The fields of an inference request that routing needs.
#[derive(Clone, Debug, PartialEq)]
pub struct InferenceRequest {
    /// The model.
    pub model: ModelRef,
    /// Whether the caller asks for a streamed response.
    pub is_stream: bool,
    /// The token limit.
    pub max_tokens: Option<u32>,
    /// The hash of the conversation that the request belongs to.
    pub conversation: Option<ConversationHash>,
}

#[derive(serde::Deserialize)]
struct InferenceFields<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    stream: Option<bool>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(borrow, default)]
    messages: Vec<Message<'a>>,
}

#[derive(serde::Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    #[serde(borrow, default)]
    content: Option<Content<'a>>,
}

#[derive(serde::Deserialize)]
#[serde(untagged)]
enum Content<'a> {
    #[serde(borrow)]
    Text(Cow<'a, str>),
    Other(serde::de::IgnoredAny),
}

/// Parses an inference request.
pub fn parse_inference(
    limits: &CallerLimits,
    tenant: &TenantId,
    body: &[u8],
) -> Result<InferenceRequest> {
    let Ok(text) = std::str::from_utf8(body) else { return refuse(RefusalCode::MalformedUtf8) };
    if json_depth(body) > limits.max_json_depth {
        return refuse(RefusalCode::TooDeep);
    }
    let Ok(fields) = serde_json::from_str::<InferenceFields<'_>>(text) else {
        return refuse(RefusalCode::Malformed);
    };
    let Ok(model) = fields.model.parse::<ModelRef>() else {
        return refuse(RefusalCode::UnknownModel);
    };
    Ok(InferenceRequest {
        conversation: hash_conversation(tenant, &fields),
        model,
        is_stream: fields.stream.unwrap_or(false),
        max_tokens: fields.max_tokens.or(fields.max_completion_tokens),
    })
}

/// Hashes the messages up to the first one of the user, which all later turns repeat.
fn hash_conversation(tenant: &TenantId, fields: &InferenceFields<'_>) -> Option<ConversationHash> {
    let first = fields.messages.iter().position(|message| message.role == "user")?;
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.write(tenant.as_str().as_bytes());
    hasher.write(fields.model.as_bytes());
    for message in &fields.messages[..=first] {
        if let Some(Content::Text(text)) = &message.content {
            hasher.write(text.as_bytes());
        }
        hasher.write_u8(0xff);
    }
    Some(ConversationHash(hasher.finish()))
}

/// Returns the deepest nesting of arrays and objects.
fn json_depth(json: &[u8]) -> u32 {
    let (mut depth, mut deepest) = (0_u32, 0);
    let (mut is_in_string, mut is_escaped) = (false, false);
    for byte in json {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_in_string => is_escaped = true,
            b'"' => is_in_string = !is_in_string,
            b'[' | b'{' if !is_in_string => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b']' | b'}' if !is_in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn later_turns_belong_to_the_same_conversation() {
        let tenant = "santuario".parse().unwrap();
        let read = |body: &str| {
            parse_inference(&CallerLimits::default(), &tenant, body.as_bytes()).unwrap()
        };
        let first = read(r#"{"model":"m:a","messages":[{"role":"user","content":"hola"}]}"#);
        let later = read(
            r#"{"model":"m:a","stream":true,"messages":[{"role":"user","content":"hola"},
            {"role":"assistant","content":"x"},{"role":"user","content":["y"]}]}"#,
        );
        assert_eq!(first.conversation, later.conversation);
        assert!(later.is_stream && !first.is_stream);
    }

    #[test]
    fn depth_ignores_brackets_in_text() {
        assert_eq!(json_depth(br#"{"a":"[[[\"[[","b":[1,[2]]}"#), 3);
    }
}
