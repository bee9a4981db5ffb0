//! The span of time that a report tells of.

use std::fmt;
use std::str::FromStr;

const HOUR_MS: u64 = 3_600_000;
const DAY_MS: u64 = 24 * HOUR_MS;
/// Local hour at which a night begins.
const NIGHT_FROM: u64 = 18;
/// Hours of a night.
const NIGHT_HOURS: u64 = 14;

/// The span of time that a report tells of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Span {
    /// The last 60 minutes.
    Hour,
    /// 18:00 to 08:00 local time: the night that is, or the last one.
    Night,
    /// The last seven days.
    Week,
}

/// A span that is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownSpan;

impl fmt::Display for UnknownSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a span of time: write hour, night or week")
    }
}

impl std::error::Error for UnknownSpan {}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Hour => "hour",
            Self::Night => "night",
            Self::Week => "week",
        })
    }
}

impl FromStr for Span {
    type Err = UnknownSpan;

    fn from_str(text: &str) -> Result<Self, UnknownSpan> {
        match text {
            "hour" => Ok(Self::Hour),
            "night" => Ok(Self::Night),
            "week" => Ok(Self::Week),
            _ => Err(UnknownSpan),
        }
    }
}

/// A span of Unix time, without its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Window {
    /// Its beginning.
    pub from_ms: u64,
    /// Its end.
    pub to_ms: u64,
}

impl Span {
    /// The window of this span at `now_ms`, where local time is ahead of UTC by `offset_ms`.
    pub fn window(self, now_ms: u64, offset_ms: i64) -> Window {
        match self {
            Self::Hour => Window { from_ms: now_ms.saturating_sub(HOUR_MS), to_ms: now_ms },
            Self::Night => night(now_ms, offset_ms),
            Self::Week => Window { from_ms: now_ms.saturating_sub(7 * DAY_MS), to_ms: now_ms },
        }
    }
}

fn night(now_ms: u64, offset_ms: i64) -> Window {
    let local_ms = now_ms.saturating_add_signed(offset_ms);
    let since_dusk_ms = (local_ms + DAY_MS - NIGHT_FROM * HOUR_MS) % DAY_MS;
    let from_ms = now_ms.saturating_sub(since_dusk_ms);
    Window { from_ms, to_ms: now_ms.min(from_ms + NIGHT_HOURS * HOUR_MS) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_night_is_the_one_that_is_or_the_last() {
        let lima_ms = -5 * HOUR_MS as i64;
        let midnight_ms = 100 * DAY_MS + 5 * HOUR_MS; // 00:00 in Lima
        let dusk_ms = midnight_ms - 6 * HOUR_MS;
        let dawn_ms = midnight_ms + 8 * HOUR_MS;
        let cases = [
            (midnight_ms, dusk_ms, midnight_ms),
            (dawn_ms, dusk_ms, dawn_ms),
            (midnight_ms + 17 * HOUR_MS, dusk_ms, dawn_ms),
            (midnight_ms + 19 * HOUR_MS, dusk_ms + DAY_MS, midnight_ms + 19 * HOUR_MS),
        ];
        for (now_ms, from_ms, to_ms) in cases {
            assert_eq!(Span::Night.window(now_ms, lima_ms), Window { from_ms, to_ms });
        }
    }
}
