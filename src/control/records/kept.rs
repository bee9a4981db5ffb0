//! An answer in the table: one allocation, encoded, since there are many and few are asked for.

use std::fmt;
use std::sync::Arc;

use serde::de::Visitor;

use crate::control::answer::Answer;
use crate::control::records::record::Nonce;

/// The answer of an attempt, encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Kept(Arc<[u8]>);

impl Kept {
    /// Keeps the answer of an attempt.
    pub(super) fn new(nonce: Nonce, answer: &Answer) -> Self {
        let bytes = postcard::to_stdvec(&(nonce, answer));
        Self(bytes.expect("an answer holds nothing that postcard refuses").into())
    }

    /// The attempt and its answer.
    pub(super) fn read(&self) -> (Nonce, Answer) {
        postcard::from_bytes(&self.0).expect("it was checked when it came")
    }
}

impl serde::Serialize for Kept {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

struct KeptVisitor;

impl Visitor<'_> for KeptVisitor {
    type Value = Kept;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an encoded answer")
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<Kept, E> {
        match postcard::from_bytes::<(Nonce, Answer)>(bytes) {
            Ok(_) => Ok(Kept(bytes.into())),
            Err(error) => Err(E::custom(error)),
        }
    }
}

impl<'de> serde::Deserialize<'de> for Kept {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(KeptVisitor)
    }
}
