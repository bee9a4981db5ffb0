//! Log lines for people, or one JSON object a line. Lines go to standard error; those of a VM with one
//! role go to standard output, over a [`ring`].

mod fields;
pub mod ring;

use std::fmt;
use std::io::{self, IsTerminal};
use std::time::{Duration, SystemTime};

use anstyle::AnsiColor;
use error_stack::{Report, ResultExt};

use crate::settings::{Log, LogFormat};

/// The log could not be set up.
#[derive(Debug)]
pub struct Error;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the log could not be set up")
    }
}

impl std::error::Error for Error {}

/// The result of setting up the log.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Sends log lines to standard error from now on. Each `verbosity` adds one level.
///
/// # Errors
///
/// Fails if the process has a log already.
pub fn start(log: Log, verbosity: u8) -> Result<()> {
    let is_coloured = io::stderr().is_terminal();
    let dispatch = fern::Dispatch::new().level(level(log.level, verbosity));
    let dispatch = match log.format {
        LogFormat::People => dispatch.format(move |out, message, record| {
            let line = Line { now: SystemTime::now(), record, message, is_coloured };
            out.finish(format_args!("{line}"));
        }),
        LogFormat::Json => dispatch.format(|out, message, record| {
            out.finish(format_args!("{}", json(SystemTime::now(), record, message)));
        }),
    };
    dispatch.chain(io::stderr()).apply().change_context(Error)
}

/// Sends log lines to standard output from now on, as JSON, without ever waiting for its reader.
///
/// # Errors
///
/// Fails if the process has a log already, or the system refuses a thread.
pub fn start_events(verbosity: u8) -> Result<ring::Ring> {
    let ring = ring::Ring::start(io::stdout()).change_context(Error)?;
    let dispatch = fern::Dispatch::new().level(level(log::LevelFilter::Info, verbosity)).format(
        |out, message, record| {
            out.finish(format_args!("{}", event(SystemTime::now(), record, message)));
        },
    );
    let writer: Box<dyn io::Write + Send> = Box::new(ring.clone());
    dispatch.chain(writer).apply().change_context(Error)?;
    Ok(ring)
}

/// One JSON line. The message of a request's line is an object already, and is put in as one.
fn event(now: SystemTime, record: &log::Record<'_>, message: &fmt::Arguments<'_>) -> String {
    if record.target() != crate::gateway::events::LOG_TARGET {
        return json(now, record, message);
    }
    let time = humantime::format_rfc3339_millis(now);
    format!("{{\"time\":\"{time}\",\"request\":{message}}}")
}

/// The level that `verbosity` steps raise `level` to.
pub fn level(level: log::LevelFilter, verbosity: u8) -> log::LevelFilter {
    let raised = level as usize + usize::from(verbosity);
    log::LevelFilter::iter().nth(raised).unwrap_or(log::LevelFilter::Trace)
}

/// A Unix time as RFC 3339 in UTC, to the second.
pub fn time(unix_ms: u64) -> impl fmt::Display {
    humantime::format_rfc3339_seconds(SystemTime::UNIX_EPOCH + Duration::from_millis(unix_ms))
}

/// One line for people.
struct Line<'a> {
    now: SystemTime,
    record: &'a log::Record<'a>,
    message: &'a fmt::Arguments<'a>,
    is_coloured: bool,
}

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let now = humantime::format_rfc3339_millis(self.now);
        let level = self.record.level();
        let style = if self.is_coloured { colour(level).on_default() } else { Default::default() };
        write!(f, "{now} {style}{level:<5}{style:#} {}: {}", part(self.record), self.message)?;
        fields::of(self.record).iter().try_for_each(|(name, value)| write!(f, " {name}={value}"))
    }
}

fn colour(level: log::Level) -> AnsiColor {
    match level {
        log::Level::Error => AnsiColor::Red,
        log::Level::Warn => AnsiColor::Yellow,
        log::Level::Info => AnsiColor::Green,
        log::Level::Debug => AnsiColor::Blue,
        log::Level::Trace => AnsiColor::BrightBlack,
    }
}

/// The module that logs, without the name of the program.
fn part<'a>(record: &'a log::Record<'_>) -> &'a str {
    let target = record.target();
    target.strip_prefix("fescuebay::").unwrap_or(target)
}

fn json(now: SystemTime, record: &log::Record<'_>, message: &fmt::Arguments<'_>) -> String {
    let mut line = serde_json::json!({
        "time": humantime::format_rfc3339_millis(now).to_string(),
        "level": record.level().as_str().to_ascii_lowercase(),
        "module": part(record),
        "message": message.to_string(),
    });
    let fields = fields::of(record);
    if !fields.is_empty() {
        line["fields"] = fields.into();
    }
    line.to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(level: log::Level) -> log::Record<'static> {
        log::Record::builder().level(level).target("fescuebay::membership").build()
    }

    #[test]
    fn colour_is_only_for_terminals() {
        let (now, record) = (SystemTime::UNIX_EPOCH, record(log::Level::Warn));
        let line = |is_coloured| {
            Line { now, record: &record, message: &format_args!("up"), is_coloured }.to_string()
        };
        assert_eq!(line(false), "1970-01-01T00:00:00.000Z WARN  membership: up");
        assert_eq!(line(true), "1970-01-01T00:00:00.000Z \u{1b}[33mWARN \u{1b}[0m membership: up");
    }

    #[test]
    fn a_json_line_is_one_object_whatever_the_message() {
        let message = format_args!("a \"b\"\nc");
        let line = json(SystemTime::UNIX_EPOCH, &record(log::Level::Info), &message);
        assert!(!line.contains('\n'));
        let value: serde_json::Value = serde_json::from_str(&line).unwrap();
        assert_eq!(value["message"], "a \"b\"\nc");
        assert_eq!((&value["level"], &value["module"]), (&"info".into(), &"membership".into()));
    }

    #[test]
    fn fields_of_a_line_keep_their_names_and_types() {
        let fields = [
            ("voter", log::kv::Value::from("10.0.0.1")),
            ("silent_ms", log::kv::Value::from(1_700_u64)),
            ("is_member", log::kv::Value::from(false)),
            ("time", log::kv::Value::from("not the time of the line")),
        ];
        let record = log::Record::builder()
            .level(log::Level::Info)
            .target("fescuebay::coordinator")
            .key_values(&fields)
            .build();
        let line = json(SystemTime::UNIX_EPOCH, &record, &format_args!("asks to join"));
        let value: serde_json::Value = serde_json::from_str(&line).unwrap();
        assert_eq!(value["time"], "1970-01-01T00:00:00.000Z");
        let (told, fields) = (
            &value["fields"],
            serde_json::json!({
                "voter": "10.0.0.1", "silent_ms": 1_700, "is_member": false,
                "time": "not the time of the line",
            }),
        );
        assert_eq!(*told, fields);
        let (now, message) = (SystemTime::UNIX_EPOCH, &format_args!("asks to join"));
        let line = Line { now, record: &record, message, is_coloured: false }.to_string();
        assert!(line.contains("asks to join") && line.contains(" silent_ms=1700"), "{line}");
    }

    #[test]
    fn verbosity_raises_the_level_up_to_trace() {
        assert_eq!(level(log::LevelFilter::Info, 0), log::LevelFilter::Info);
        assert_eq!(level(log::LevelFilter::Info, 1), log::LevelFilter::Debug);
        assert_eq!(level(log::LevelFilter::Warn, 9), log::LevelFilter::Trace);
    }
}
