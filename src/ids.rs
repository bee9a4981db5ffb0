//! Identifiers, each a type of its own so that one cannot be passed for another.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use error_stack::{Report, ensure};

/// Longest name accepted from outside, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// A name or number from outside that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// What the text was read as, such as `target id`.
    pub what: &'static str,
    /// Why it was not accepted.
    pub reason: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a {}: {}", self.what, self.reason)
    }
}

impl std::error::Error for Error {}

/// The result of reading an identifier.
pub type Result<T> = std::result::Result<T, Report<Error>>;

fn check_name(what: &'static str, text: &str) -> Result<()> {
    ensure!(!text.is_empty(), Error { what, reason: "it is empty" });
    ensure!(text.len() <= MAX_NAME_BYTES, Error { what, reason: "it is over 128 bytes" });
    let is_allowed =
        |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/' | '@');
    ensure!(
        text.chars().all(is_allowed),
        Error { what, reason: "only letters, digits and - _ . / @ are allowed" }
    );
    Ok(())
}

/// Checks a text that another system chose and that is only compared.
fn check_label(what: &'static str, text: &str) -> Result<()> {
    ensure!(!text.is_empty(), Error { what, reason: "it is empty" });
    ensure!(text.len() <= MAX_NAME_BYTES, Error { what, reason: "it is over 128 bytes" });
    let is_allowed = |c: char| !c.is_control();
    ensure!(text.chars().all(is_allowed), Error { what, reason: "it has control characters" });
    Ok(())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        name_type!($(#[$doc])* $name, $what, check_name);
    };
    ($(#[$doc:meta])* $name:ident, $what:literal, $check:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Report<Error>;

            fn from_str(text: &str) -> Result<Self> {
                $check($what, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> std::result::Result<Self, Error> {
                text.parse().map_err(|report: Report<Error>| report.current_context().clone())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type!(
    /// A daemon of fescuebay, one on each VM.
    DaemonId, "daemon id");
name_type!(
    /// A target: a runner that serves models or a plain service.
    TargetId, "target id");
name_type!(
    /// A tenant, found by the caller's bearer token.
    TenantId, "tenant id");
name_type!(
    /// A class of work within the fleet, such as `restoration-report`.
    ClassName, "class name");
name_type!(
    /// An availability zone.
    Zone, "availability zone");
name_type!(
    /// A plain service that targets offer beside the model engines.
    ServiceName, "service name");
name_type!(
    /// A base model.
    ModelName, "model name");
name_type!(
    /// An adapter of a base model.
    AdapterName, "adapter name");
name_type!(
    /// A version of the weights of a model or adapter.
    Version, "version");
name_type!(
    /// A version of the software of targets, which says nothing of their weights.
    SoftwareVersion, "software version", check_label);
name_type!(
    /// An operator's id for one change, the same when the change is sent again.
    ChangeId, "change id");
name_type!(
    /// A caller's idempotency key.
    IdempotencyKey, "idempotency key");
name_type!(
    /// A durable job.
    JobId, "job id");
name_type!(
    /// One caller's request, the same over all its attempts.
    RequestId, "request id");
name_type!(
    /// A cluster of daemons that know each other.
    ClusterId, "cluster id");
name_type!(
    /// An operator, found by the operator's bearer token.
    OperatorName, "operator name");
name_type!(
    /// One order to a target, the same when the order is sent again.
    OrderId, "order id");

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = Report<Error>;

            fn from_str(text: &str) -> Result<Self> {
                let reason = "it is not a whole number";
                text.parse().map(Self).map_err(|_| Report::new(Error { what: $what, reason }))
            }
        }
    };
}

number_type!(
    /// One life of a process: a larger number is a later life.
    Incarnation, "incarnation");
number_type!(
    /// A group of voters that agree on one log.
    GroupId, "group id");
number_type!(
    /// A term of the control group: at most one leader in each.
    Term, "term");
number_type!(
    /// The place of an entry in the replicated log, from 1.
    LogIndex, "log index");
number_type!(
    /// A revision of the configuration. Revisions only rise.
    Revision, "revision");
number_type!(
    /// An exception to the fleet defaults.
    ExceptionId, "exception id");
number_type!(
    /// The place of a change in the feed of route table changes.
    Sequence, "sequence number");

/// A model, or an adapter on a model: `name` or `name:adapter`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ModelRef {
    /// The base model.
    pub model: ModelName,
    /// The adapter, if one is asked for.
    pub adapter: Option<AdapterName>,
}

impl ModelRef {
    /// The base model alone.
    pub fn base(&self) -> ModelRef {
        ModelRef { model: self.model.clone(), adapter: None }
    }

    /// Whether this names an adapter.
    pub fn is_adapter(&self) -> bool {
        self.adapter.is_some()
    }
}

impl fmt::Display for ModelRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}:{adapter}", self.model),
            None => fmt::Display::fmt(&self.model, f),
        }
    }
}

impl FromStr for ModelRef {
    type Err = Report<Error>;

    fn from_str(text: &str) -> Result<Self> {
        match text.split_once(':') {
            Some((model, adapter)) => {
                Ok(Self { model: model.parse()?, adapter: Some(adapter.parse()?) })
            }
            None => Ok(Self { model: text.parse()?, adapter: None }),
        }
    }
}

impl TryFrom<String> for ModelRef {
    type Error = Error;

    fn try_from(text: String) -> std::result::Result<Self, Error> {
        text.parse().map_err(|report: Report<Error>| report.current_context().clone())
    }
}

impl From<ModelRef> for String {
    fn from(model: ModelRef) -> String {
        model.to_string()
    }
}

/// SHA-256 of a request: of its model or path, and its content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// The digest of `parts`, each framed by its length so that no two splits are alike.
    pub fn of(parts: &[&[u8]]) -> Self {
        use sha2::Digest as _;
        let mut hasher = sha2::Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = Report<Error>;

    fn from_str(text: &str) -> Result<Self> {
        let error = Error { what: "digest", reason: "it is not 64 hexadecimal digits" };
        ensure!(text.len() == 64 && text.is_ascii(), error);
        let mut bytes = [0; 32];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * at..2 * at + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| Report::new(error.clone()))?;
        }
        Ok(Self(bytes))
    }
}

impl TargetId {
    /// A hash of the id and a salt, from 0 to 1.
    pub fn hash_fraction(&self, salt: u64) -> f64 {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(self.as_str().as_bytes(), salt);
        (hash >> 32) as f64 / f64::from(u32::MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_model_ref_reads_what_it_prints() {
        for text in ["quill", "quill:tower-7", "org/quill@2"] {
            assert_eq!(text.parse::<ModelRef>().unwrap().to_string(), text);
        }
    }

    #[test]
    fn names_from_outside_are_checked() {
        for text in ["", "a b", "a:b:c", "é", &"x".repeat(129)] {
            assert!(text.parse::<ModelRef>().is_err(), "{text:?} was accepted");
        }
    }

    #[test]
    fn a_digest_frames_its_parts() {
        assert_ne!(Digest::of(&[b"ab", b"c"]), Digest::of(&[b"a", b"bc"]));
        let digest = Digest::of(&[b"x"]);
        assert_eq!(digest.to_string().parse::<Digest>().unwrap(), digest);
    }
}
