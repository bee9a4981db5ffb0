//! An answer that is kept for a caller who asks again.

use bytes::Bytes;

use crate::ids::Digest;

/// The body of a kept answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Body {
    /// The whole body.
    Kept(Bytes),
    /// The body was larger than is kept.
    TooLarge {
        /// SHA-256 of the body.
        digest: Digest,
        /// Its length.
        length_bytes: u64,
    },
}

/// An answer as it is kept.
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
    /// An answer with its whole body.
    pub fn new(status: u16, content_type: &str, body: Bytes) -> Self {
        Self { status, content_type: content_type.into(), body: Body::Kept(body) }
    }

    /// The answer with its body replaced by length and digest if it is over `max_bytes`.
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

    /// Bytes of body that are kept.
    pub fn kept_bytes(&self) -> u64 {
        match &self.body {
            Body::Kept(bytes) => bytes.len() as u64,
            Body::TooLarge { .. } => 0,
        }
    }
}
