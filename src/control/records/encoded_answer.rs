//! The encoded form in which the table stores an answer.
//!
//! Each answer takes one allocation, because the table holds many answers and few are read again.

use std::fmt;
use std::sync::Arc;

use serde::de::Visitor;

use crate::control::answer::Answer;
use crate::control::records::record::Nonce;

/// The answer to an attempt together with the attempt's nonce, encoded with postcard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct EncodedAnswer(Arc<[u8]>);

impl EncodedAnswer {
    pub(super) fn new(nonce: Nonce, answer: &Answer) -> Self {
        let bytes = postcard::to_stdvec(&(nonce, answer));
        Self(bytes.expect("postcard can encode every answer").into())
    }

    /// Returns the nonce of the attempt and its answer.
    pub(super) fn decode(&self) -> (Nonce, Answer) {
        postcard::from_bytes(&self.0).expect("the bytes were validated on deserialization")
    }
}

impl serde::Serialize for EncodedAnswer {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

struct EncodedAnswerVisitor;

impl Visitor<'_> for EncodedAnswerVisitor {
    type Value = EncodedAnswer;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an encoded answer")
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<EncodedAnswer, E> {
        match postcard::from_bytes::<(Nonce, Answer)>(bytes) {
            Ok(_) => Ok(EncodedAnswer(bytes.into())),
            Err(error) => Err(E::custom(error)),
        }
    }
}

impl<'de> serde::Deserialize<'de> for EncodedAnswer {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(EncodedAnswerVisitor)
    }
}
