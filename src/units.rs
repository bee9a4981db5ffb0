//! Sizes, rates and lengths of time as people write them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use error_stack::{Report, bail};

/// A quantity that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// What the text was read as, such as `size`.
    pub what: &'static str,
    /// The units that are understood.
    pub units: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a {}: write a number and one of {}", self.what, self.units)
    }
}

impl std::error::Error for Error {}

/// The result of reading a quantity.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Splits `24 GiB` into its number and its unit.
fn split(text: &str) -> Option<(f64, &str)> {
    let text = text.trim();
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let number: f64 = text[..end].parse().ok()?;
    Some((number, text[end..].trim()))
}

fn parse(text: &str, error: Error, units: &[(&str, f64)]) -> Result<f64> {
    let Some((number, unit)) = split(text) else { bail!(error) };
    match units.iter().find(|(name, _)| *name == unit) {
        Some((_, factor)) => Ok(number * factor),
        None => bail!(error),
    }
}

/// Prints the largest unit that divides the value without a remainder.
fn display(f: &mut fmt::Formatter<'_>, value: u64, units: &[(&str, u64)]) -> fmt::Result {
    let (name, factor) = units
        .iter()
        .find(|(_, factor)| value >= *factor && value.is_multiple_of(*factor))
        .unwrap_or(&units[units.len() - 1]);
    write!(f, "{} {name}", value / factor)
}

/// A number of bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Bytes(pub u64);

impl Bytes {
    /// One kibibyte.
    pub const KIB: Bytes = Bytes(1 << 10);
    /// One mebibyte.
    pub const MIB: Bytes = Bytes(1 << 20);
    /// One gibibyte.
    pub const GIB: Bytes = Bytes(1 << 30);
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let units = [("GiB", Self::GIB.0), ("MiB", Self::MIB.0), ("KiB", Self::KIB.0), ("B", 1)];
        display(f, self.0, &units)
    }
}

impl FromStr for Bytes {
    type Err = Report<Error>;

    fn from_str(text: &str) -> Result<Self> {
        let units = [("B", 1.0), ("KiB", 1024.0), ("MiB", 1_048_576.0), ("GiB", 1_073_741_824.0)];
        let error = Error { what: "size", units: "B, KiB, MiB, GiB" };
        parse(text, error, &units).map(|bytes| Self(bytes as u64))
    }
}

/// A length of time in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The same length as a standard duration.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let units = [("d", 86_400_000), ("h", 3_600_000), ("min", 60_000), ("s", 1000), ("ms", 1)];
        display(f, self.0, &units)
    }
}

impl FromStr for Millis {
    type Err = Report<Error>;

    fn from_str(text: &str) -> Result<Self> {
        let units = [("ms", 1.0), ("s", 1e3), ("min", 60e3), ("h", 3_600e3), ("d", 86_400e3)];
        let error = Error { what: "length of time", units: "ms, s, min, h, d" };
        parse(text, error, &units).map(|ms| Self(ms.round() as u64))
    }
}

/// A number of events a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct PerSecond(pub f64);

impl fmt::Display for PerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} /s", self.0)
    }
}

impl FromStr for PerSecond {
    type Err = Report<Error>;

    fn from_str(text: &str) -> Result<Self> {
        let units = [("/s", 1.0), ("/min", 1.0 / 60.0), ("/h", 1.0 / 3600.0)];
        parse(text, Error { what: "rate", units: "/s, /min, /h" }, &units).map(Self)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantities_read_what_they_print() {
        for text in ["24 GiB", "1536 MiB", "7 B", "0 B"] {
            assert_eq!(text.parse::<Bytes>().unwrap().to_string(), text);
        }
        for text in ["2 d", "90 s", "1500 ms", "10 min", "0 ms"] {
            assert_eq!(text.parse::<Millis>().unwrap().to_string(), text);
        }
        assert_eq!("1.5 s".parse::<Millis>().unwrap(), Millis(1500));
        assert_eq!("3 /s".parse::<PerSecond>().unwrap().to_string(), "3 /s");
    }

    #[test]
    fn a_wrong_or_missing_unit_is_refused() {
        for text in ["24", "24 GB", "GiB", "-3 s", "1 s s", ""] {
            assert!(text.parse::<Bytes>().is_err(), "{text:?} was accepted as a size");
            assert!(text.parse::<Millis>().is_err(), "{text:?} was accepted as a time");
        }
    }
}
