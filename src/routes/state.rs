//! The document that the voters replicate: its text, under the highest version so far.

use bytes::Bytes;

use super::Version;

/// Puts a document in force, unless its version is not higher than the one in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Command {
    /// The version of the document.
    pub version: Version,
    /// Its text, which was checked before.
    pub text: Bytes,
}

/// What a command led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// The document is in force.
    Stored,
    /// A document of this or a higher version is in force already, and stays.
    Kept(Version),
}

/// The document in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct State {
    version: Version,
    text: Bytes,
}

impl State {
    /// The version in force, 0 before the first document.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The text in force, empty before the first document.
    pub fn text(&self) -> &Bytes {
        &self.text
    }

    /// Applies a command.
    pub fn apply(&mut self, command: Command) -> Outcome {
        if !self.text.is_empty() && command.version <= self.version {
            return Outcome::Kept(self.version);
        }
        self.version = command.version;
        self.text = command.text;
        Outcome::Stored
    }
}
