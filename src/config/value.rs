//! Values of configuration keys, as people write them.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use error_stack::Report;

use crate::ids::{self, Version};
use crate::units::{self, Bytes, Millis, PerSecond};

/// Milliseconds of a day.
const DAY_MS: i64 = 86_400_000;
/// Milliseconds of a minute.
const MINUTE_MS: i64 = 60_000;
/// Minutes of a day.
const DAY_MINUTES: u16 = 1440;
/// What stands for "no value" in lists and versions.
const NONE: &str = "none";

/// A text that is no value of its kind: says what would be.
pub type Result<T> = std::result::Result<T, String>;

/// The value of one key.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// `yes` or `no`.
    Flag(bool),
    /// A whole number.
    Count(u32),
    /// A factor, 0 or higher.
    Factor(f64),
    /// A part of a whole.
    Share(Share),
    /// A length of time.
    Millis(Millis),
    /// A size.
    Bytes(Bytes),
    /// A rate.
    PerSecond(PerSecond),
    /// Times of day.
    Windows(Windows),
    /// A difference from UTC.
    Offset(UtcOffset),
    /// A version of weights.
    Version(Option<Version>),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Flag(true) => f.write_str("yes"),
            Value::Flag(false) => f.write_str("no"),
            Value::Count(count) => fmt::Display::fmt(count, f),
            Value::Factor(factor) => fmt::Display::fmt(factor, f),
            Value::Share(share) => fmt::Display::fmt(share, f),
            Value::Millis(time) => fmt::Display::fmt(time, f),
            Value::Bytes(size) => fmt::Display::fmt(size, f),
            Value::PerSecond(rate) => fmt::Display::fmt(rate, f),
            Value::Windows(windows) => fmt::Display::fmt(windows, f),
            Value::Offset(offset) => fmt::Display::fmt(offset, f),
            Value::Version(Some(version)) => fmt::Display::fmt(version, f),
            Value::Version(None) => f.write_str(NONE),
        }
    }
}

/// A type that a key may have.
pub(super) trait Typed: Sized + Clone {
    /// Reads what people write.
    fn read(text: &str) -> Result<Self>;
    /// Wraps it.
    fn into_value(self) -> Value;
    /// Unwraps it; `None` if the value is of another type.
    fn from_value(value: &Value) -> Option<Self>;
    /// Whether it lies between `low` and `high`, both allowed.
    fn is_within(&self, low: &Self, high: &Self) -> bool;
}

macro_rules! typed {
    ($type:ty, $variant:ident, |$text:ident| $read:expr) => {
        impl Typed for $type {
            fn read($text: &str) -> Result<Self> {
                $read
            }
            fn into_value(self) -> Value {
                Value::$variant(self)
            }
            fn from_value(value: &Value) -> Option<Self> {
                match value {
                    Value::$variant(inner) => Some(inner.clone()),
                    _ => None,
                }
            }
            fn is_within(&self, low: &Self, high: &Self) -> bool {
                low <= self && self <= high
            }
        }
    };
}

typed!(bool, Flag, |text| match text {
    "yes" => Ok(true),
    "no" => Ok(false),
    _ => Err("write yes or no".to_owned()),
});
typed!(u32, Count, |text| text.parse().map_err(|_| "write a whole number".to_owned()));
typed!(f64, Factor, |text| match text.parse::<f64>() {
    Ok(factor) if factor.is_finite() => Ok(factor),
    _ => Err("write a number".to_owned()),
});
typed!(Share, Share, |text| text.parse());
typed!(Millis, Millis, |text| text.parse().map_err(quantity));
typed!(Bytes, Bytes, |text| text.parse().map_err(quantity));
typed!(PerSecond, PerSecond, |text| text.parse().map_err(quantity));
typed!(Windows, Windows, |text| text.parse());
typed!(UtcOffset, Offset, |text| text.parse());
typed!(Option<Version>, Version, |text| match text {
    NONE => Ok(None),
    _ => text
        .parse()
        .map(Some)
        .map_err(|report: Report<ids::Error>| { report.current_context().to_string() }),
});

fn quantity(report: Report<units::Error>) -> String {
    report.current_context().to_string()
}

/// A part of a whole, written as `50 %`.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Share {
    percent: f64,
}

impl Share {
    /// A share in percent, 0 to 100.
    pub const fn of_percent(percent: f64) -> Self {
        Self { percent }
    }

    /// The same share as a number from 0 to 1.
    pub fn fraction(self) -> f64 {
        self.percent / 100.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} %", self.percent)
    }
}

impl FromStr for Share {
    type Err = String;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.strip_suffix('%').and_then(|number| number.trim().parse::<f64>().ok());
        match number {
            Some(percent) if (0.0..=100.0).contains(&percent) => Ok(Self { percent }),
            _ => Err("write a share from 0 % to 100 %".to_owned()),
        }
    }
}

/// A difference from UTC in minutes, written as `-05:00`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct UtcOffset(pub i32);

impl UtcOffset {
    /// The minute of the day, 0 to 1439, at a Unix time.
    pub fn minute_of_day(self, now_ms: u64) -> u16 {
        let local_ms = (now_ms as i64 + i64::from(self.0) * MINUTE_MS).rem_euclid(DAY_MS);
        (local_ms / MINUTE_MS) as u16
    }
}

impl fmt::Display for UtcOffset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = if self.0 < 0 { '-' } else { '+' };
        let minutes = self.0.unsigned_abs();
        write!(f, "{sign}{:02}:{:02}", minutes / 60, minutes % 60)
    }
}

impl FromStr for UtcOffset {
    type Err = String;

    fn from_str(text: &str) -> Result<Self> {
        let error = || "write a difference from UTC, such as -05:00".to_owned();
        let sign = match text.chars().next() {
            Some('+') => 1,
            Some('-') => -1,
            _ => return Err(error()),
        };
        let minutes = clock_time(&text[1..]).ok_or_else(error)?;
        if minutes > 14 * 60 {
            return Err(error());
        }
        Ok(Self(sign * i32::from(minutes)))
    }
}

/// Reads `18:30` as minutes; `24:00` is allowed.
fn clock_time(text: &str) -> Option<u16> {
    let (hours, minutes) = text.split_once(':')?;
    let is_digits = |part: &str| part.len() == 2 && part.bytes().all(|c| c.is_ascii_digit());
    if !is_digits(hours) || !is_digits(minutes) {
        return None;
    }
    let (hours, minutes): (u16, u16) = (hours.parse().ok()?, minutes.parse().ok()?);
    let total = hours * 60 + minutes;
    (minutes < 60 && total <= DAY_MINUTES).then_some(total)
}

/// A time of day from `start_min` up to but without `end_min`, over midnight if that is lower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Window {
    /// Minute of the day that it begins with.
    pub start_min: u16,
    /// Minute of the day that it ends before.
    pub end_min: u16,
}

impl Window {
    /// Whether a minute of the day lies in it.
    pub fn contains(self, minute: u16) -> bool {
        if self.start_min < self.end_min {
            self.start_min <= minute && minute < self.end_min
        } else {
            minute >= self.start_min || minute < self.end_min
        }
    }
}

/// Times of day, written as `18:00-24:00, 06:00-07:30`, or `none`. Cheap to clone.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Windows(Arc<[Window]>);

impl Windows {
    /// The windows, as they were written.
    pub fn as_slice(&self) -> &[Window] {
        &self.0
    }

    /// Whether a minute of the day lies in one of them.
    pub fn contains(&self, minute: u16) -> bool {
        self.0.iter().any(|window| window.contains(minute))
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Windows {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str(NONE);
        }
        for (place, window) in self.0.iter().enumerate() {
            let (start, end) = (window.start_min, window.end_min);
            let comma = if place == 0 { "" } else { ", " };
            write!(f, "{comma}{:02}:{:02}", start / 60, start % 60)?;
            write!(f, "-{:02}:{:02}", end / 60, end % 60)?;
        }
        Ok(())
    }
}

impl FromStr for Windows {
    type Err = String;

    fn from_str(text: &str) -> Result<Self> {
        if text == NONE {
            return Ok(Self::default());
        }
        let window = |part: &str| {
            let (start, end) = part.trim().split_once('-')?;
            let (start_min, end_min) = (clock_time(start)?, clock_time(end)?);
            let is_valid = start_min != end_min && start_min < DAY_MINUTES;
            is_valid.then_some(Window { start_min, end_min })
        };
        text.split(',').map(window).collect::<Option<Arc<[Window]>>>().map(Self).ok_or_else(|| {
            "write times of day such as 18:00-24:00, 06:00-07:30, or none".to_owned()
        })
    }
}

impl serde::Serialize for Windows {
    fn serialize<S: serde::Serializer>(
        &self,
        serializer: S,
    ) -> std::result::Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn windows_and_offsets_read_what_they_print() {
        for text in ["none", "18:00-24:00", "18:00-24:00, 22:30-02:00"] {
            assert_eq!(text.parse::<Windows>().unwrap().to_string(), text);
        }
        for text in ["-05:00", "+00:00", "+05:30"] {
            assert_eq!(text.parse::<UtcOffset>().unwrap().to_string(), text);
        }
        for text in ["", "18-24", "18:00-18:00", "24:00-02:00", "18:60-19:00", "+8:00-09:00"] {
            assert!(text.parse::<Windows>().is_err(), "{text:?} was accepted");
        }
        for text in ["", "5", "-5:00", "+15:00", "é"] {
            assert!(text.parse::<UtcOffset>().is_err(), "{text:?} was accepted");
        }
    }

    #[test]
    fn a_window_over_midnight_holds_both_sides() {
        let windows: Windows = "22:30-02:00".parse().unwrap();
        for (minute, is_inside) in
            [(1350, true), (1349, false), (0, true), (119, true), (120, false)]
        {
            assert_eq!(windows.contains(minute), is_inside, "minute {minute}");
        }
    }

    #[test]
    fn the_minute_of_the_day_is_local() {
        let three_utc_ms = 3 * 3_600_000;
        assert_eq!(UtcOffset(-300).minute_of_day(three_utc_ms), 22 * 60);
        assert_eq!(UtcOffset(60).minute_of_day(three_utc_ms), 4 * 60);
    }
}
