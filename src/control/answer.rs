//! A target's answer, stored for callers that repeat a request.

use bytes::Bytes;

use crate::ids::Digest;

/// The body of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Body {
    /// The whole body.
    Kept(Bytes),
    /// The body exceeded the size limit and was not stored.
    TooLarge {
        /// SHA-256 of the body.
        digest: Digest,
        /// The length of the body.
        length_bytes: u64,
    },
}

/// A stored answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body; empty when the target named none.
    pub content_type: Box<str>,
    /// The body.
    pub body: Body,
}

impl Answer {
    /// Creates an answer with its whole body.
    pub fn new(status: u16, content_type: &str, body: Bytes) -> Self {
        Self { status, content_type: content_type.into(), body: Body::Kept(body) }
    }

    /// Replaces the body by its length and digest if it is larger than `max_bytes`.
    pub fn bounded(self, max_bytes: u64) -> Self {
        match self.body {
            Body::Kept(bytes) if bytes.len() as u64 > max_bytes => {
                let digest = Digest::of(&[&bytes]);
                let length_bytes = bytes.len() as u64;
                Self { body: Body::TooLarge { digest, length_bytes }, ..self }
            }
            _ => self,
        }
    }

    /// Returns the size of the stored body.
    pub fn kept_bytes(&self) -> u64 {
        match &self.body {
            Body::Kept(bytes) => bytes.len() as u64,
            Body::TooLarge { .. } => 0,
        }
    }
}
