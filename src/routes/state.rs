//! Replicated state of the voters: the text of the document with the highest version so far.

use bytes::Bytes;

use super::Version;

/// Puts a document in force, unless its version is not higher than the one in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Command {
    /// The version of the document.
    pub version: Version,
    /// The text of the document, already validated.
    pub text: Bytes,
}

/// The result of a command. Log lines print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// The document is in force.
    Stored,
    /// The command was ignored: a document of the same or a higher version is in force.
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
