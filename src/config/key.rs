//! The table of configuration keys: name, type, built-in value, limits, and where each applies.

use std::fmt;
use std::str::FromStr;

use super::value::{Result, Share, Typed, UtcOffset, Value, Windows};
use crate::ids::Version;
use crate::units::{Bytes, Millis, PerSecond};

/// What a key governs, and so where an exception may set it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reach {
    /// Requests: exceptions by tenant, class, model, adapter or service.
    Requests,
    /// Replicas of a model: exceptions by model or adapter.
    Models,
    /// Where replicas may be: exceptions by zone or target, and there by model or adapter.
    Places,
    /// Whole targets: exceptions by zone or target.
    Targets,
    /// The whole fleet: no exceptions.
    Fleet,
}

macro_rules! keys {
    ($(
        $(#[doc = $doc:literal])+
        $variant:ident, $name:literal, $field:ident: $type:ty = $value:expr, $reach:ident,
        $limits:expr;
    )+) => {
        /// A configuration key.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub enum Key {
            $( $(#[doc = $doc])+ $variant, )+
        }

        /// Every value that applies to one subject.
        #[derive(Clone, Debug, PartialEq)]
        #[derive(serde::Serialize)]
        pub struct Effective {
            $( $(#[doc = $doc])+ pub $field: $type, )+
        }

        impl Key {
            /// Every key, in the order of the table.
            pub const ALL: &[Key] = &[$( Key::$variant, )+];

            /// The name that people write.
            pub fn name(self) -> &'static str {
                match self { $( Key::$variant => $name, )+ }
            }

            /// What it means, in one or two sentences.
            pub fn help(self) -> &'static str {
                match self { $( Key::$variant => concat!($($doc,)+).trim_ascii(), )+ }
            }

            /// What it governs.
            pub fn reach(self) -> Reach {
                match self { $( Key::$variant => Reach::$reach, )+ }
            }

            /// Reads a value of this key and checks its limits.
            pub fn read(self, text: &str) -> Result<Value> {
                match self { $( Key::$variant => read::<$type>(text, $limits), )+ }
            }
        }

        impl Default for Effective {
            fn default() -> Self {
                Self { $( $field: $value, )+ }
            }
        }

        impl Effective {
            /// The value of a key.
            pub fn get(&self, key: Key) -> Value {
                match key { $( Key::$variant => self.$field.clone().into_value(), )+ }
            }

            /// Sets a key; a value of another type changes nothing.
            pub(super) fn set(&mut self, key: Key, value: &Value) {
                match key {
                    $( Key::$variant => {
                        if let Some(value) = Typed::from_value(value) {
                            self.$field = value;
                        }
                    } )+
                }
            }
        }
    };
}

keys! {
    /// Order between classes: 0 goes first, 9 last.
    Rank, "rank", rank: u32 = 5, Requests, Some((0, 9));
    /// Share of service beside others of the same rank.
    Weight, "weight", weight: u32 = 10, Requests, Some((1, 1000));
    /// Time from arrival to the end of the answer, where the caller names none.
    Deadline, "deadline", deadline_ms: Millis = Millis(30_000), Requests,
        Some((Millis(100), Millis(86_400_000)));
    /// Whether a request is kept as a job until its answer was fetched.
    Important, "important", is_important: bool = false, Requests, None;
    /// Whether a non-idempotent call without an idempotency key is refused.
    KeyRequired, "key_required", is_key_required: bool = true, Requests, None;
    /// Requests that may wait in one daemon.
    MaxWaiting, "max_waiting", max_waiting: u32 = 1000, Requests, Some((1, 100_000));
    /// Requests that may run at once through one daemon.
    MaxInFlight, "max_in_flight", max_in_flight: u32 = 256, Requests, Some((1, 100_000));
    /// Largest body of a request.
    MaxBody, "max_body", max_body_bytes: Bytes = Bytes::MIB, Requests,
        Some((Bytes::KIB, Bytes(64 << 20)));
    /// How long the record of an idempotency key is kept.
    RecordRetention, "record_retention", record_retention_ms: Millis = Millis(86_400_000), Requests,
        Some((Millis(60_000), Millis(30 * 86_400_000)));
    /// How long the result of a job is kept until it is fetched.
    JobRetention, "job_retention", job_retention_ms: Millis = Millis(7 * 86_400_000), Requests,
        Some((Millis(60_000), Millis(30 * 86_400_000)));
    /// Largest part of a target's slots that long work may take.
    LongShare, "long_share", long_share: Share = Share::of_percent(50.0), Requests,
        Some((Share::of_percent(5.0), Share::of_percent(100.0)));
    /// Replicas that are kept at any demand.
    MinReplicas, "min_replicas", min_replicas: u32 = 0, Models, Some((0, 1000));
    /// Replicas that are never exceeded.
    MaxReplicas, "max_replicas", max_replicas: u32 = 3, Models, Some((0, 1000));
    /// Local times of day in which one replica at least is kept.
    KeepWarm, "keep_warm", keep_warm: Windows = Windows::default(), Models, None;
    /// The version of the weights; `none` leaves it to the catalogue.
    Version, "version", version: Option<Version> = None, Models, None;
    /// What an hour of a held but idle accelerator costs, beside the other weights.
    IdleWeight, "idle_weight", idle_weight: f64 = 1.0, Models, Some((0.0, 1000.0));
    /// What a cold start costs, beside the other weights.
    ColdStartWeight, "cold_start_weight", cold_start_weight: f64 = 1.0, Models, Some((0.0, 1000.0));
    /// What work not answered at a crest costs, beside the other weights.
    CrestWeight, "crest_weight", crest_weight: f64 = 1.0, Models, Some((0.0, 1000.0));
    /// Whether replicas may be placed there.
    Placeable, "placeable", is_placeable: bool = true, Places, None;
    /// Whether targets there finish their work, lose their replicas and get nothing new.
    Drain, "drain", is_draining: bool = false, Targets, None;
    /// Loads that may start at the weight store.
    StoreStarts, "store_starts", store_starts_per_s: PerSecond = PerSecond(3.0), Fleet,
        Some((PerSecond(0.01), PerSecond(10_000.0)));
    /// Loads that may run from the weight store at once.
    StoreAtOnce, "store_at_once", store_at_once: u32 = 4, Fleet, Some((1, 10_000));
    /// Adapters that may be in transit across all targets.
    AdaptersInTransit, "adapters_in_transit", adapters_in_transit: u32 = 30, Fleet,
        Some((1, 100_000));
    /// Local time beside UTC, for times of day.
    UtcOffset, "utc_offset", utc_offset_min: UtcOffset = UtcOffset(0), Fleet, None;
}

impl Key {
    /// Whether an exception for a model leaves the adapters of that model alone.
    pub fn is_per_replica(self) -> bool {
        matches!(self, Key::MinReplicas | Key::MaxReplicas | Key::KeepWarm | Key::Version)
    }
}

impl Effective {
    /// Whether `keep_warm` asks for a replica at a Unix time.
    pub fn is_kept_warm(&self, now_ms: u64) -> bool {
        self.keep_warm.contains(self.utc_offset_min.minute_of_day(now_ms))
    }

    /// Replicas that are kept at any demand at a Unix time: `min_replicas` and `keep_warm`.
    pub fn least_replicas(&self, now_ms: u64) -> u32 {
        self.min_replicas.max(u32::from(self.is_kept_warm(now_ms))).min(self.max_replicas)
    }
}

fn read<T: Typed>(text: &str, limits: Option<(T, T)>) -> Result<Value> {
    let value = T::read(text)?;
    match limits {
        Some((low, high)) if !value.is_within(&low, &high) => {
            let (low, high) = (low.into_value(), high.into_value());
            Err(format!("it must lie between {low} and {high}"))
        }
        _ => Ok(value.into_value()),
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl FromStr for Key {
    type Err = String;

    fn from_str(name: &str) -> Result<Self> {
        let known = Key::ALL.iter().copied().find(|key| key.name() == name);
        known.ok_or_else(|| format!("there is no key {name}; `fescuebay defaults show` lists them"))
    }
}

impl TryFrom<String> for Key {
    type Error = String;

    fn try_from(name: String) -> Result<Self> {
        name.parse()
    }
}

impl From<Key> for String {
    fn from(key: Key) -> String {
        key.name().to_owned()
    }
}

/// A key and its value.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "Written", into = "Written")]
pub struct Setting {
    /// The key.
    pub key: Key,
    /// Its value.
    pub value: Value,
}

impl Setting {
    /// Reads a value of the key called `name`.
    pub fn read(name: &str, text: &str) -> Result<Self> {
        let key: Key = name.parse()?;
        let value = key.read(text).map_err(|what| format!("{key}: {what}"))?;
        Ok(Self { key, value })
    }
}

impl fmt::Display for Setting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}", self.key, self.value)
    }
}

/// A setting as it stands in messages and files.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct Written {
    key: String,
    value: String,
}

impl TryFrom<Written> for Setting {
    type Error = String;

    fn try_from(written: Written) -> Result<Self> {
        Setting::read(&written.key, &written.value)
    }
}

impl From<Setting> for Written {
    fn from(setting: Setting) -> Written {
        Written { key: setting.key.name().to_owned(), value: setting.value.to_string() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_built_in_value_reads_what_it_prints() {
        let built_in = Effective::default();
        for key in Key::ALL {
            let value = built_in.get(*key);
            assert_eq!(key.read(&value.to_string()), Ok(value), "{key}");
            assert!(!key.help().is_empty());
        }
    }

    #[test]
    fn values_outside_their_limits_are_refused() {
        for (name, text) in [
            ("rank", "10"),
            ("rank", "-1"),
            ("deadline", "30"),
            ("deadline", "2 d"),
            ("long_share", "0 %"),
            ("idle_weight", "NaN"),
            ("max_body", "1 GiB"),
            ("nonsense", "1"),
        ] {
            assert!(Setting::read(name, text).is_err(), "{name} = {text} was accepted");
        }
    }
}
