//! The story of one request, from the lines that routers logged.

mod text;

use std::io::{self, BufRead};

use serde_json::{Map, Value};

pub use text::COLUMNS;

/// The longest line that is read, in bytes. No line that a router writes is near it.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Bad lines that are named; the others are counted.
const MAX_NAMED: usize = 5;

/// One decision on the request.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize)]
pub struct Step {
    /// When, as the line has it: RFC 3339 in UTC.
    pub time: String,
    /// The file that the line came from.
    pub source: String,
    /// What was decided, such as `sent`.
    pub event: String,
    /// What it was decided by, under the names that the line has.
    pub facts: Map<String, Value>,
}

/// A line that could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
pub struct Bad {
    /// The file.
    pub source: String,
    /// The line, from 1.
    pub line: u64,
    /// What is wrong with it.
    pub problem: String,
}

/// All that lines tell of one request.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize)]
pub struct Story {
    /// The request's id.
    pub id: String,
    /// What happened, in the order of time.
    pub steps: Vec<Step>,
    /// Lines that could not be read.
    pub bad_lines: u64,
    /// The first of them.
    pub bad: Vec<Bad>,
}

impl Story {
    /// The story of this request, before any line was read.
    pub fn new(id: &str) -> Self {
        Self { id: id.to_owned(), ..Self::default() }
    }

    /// Takes all lines of a source. Lines of other requests, and of no request, are passed over.
    ///
    /// # Errors
    /// The source cannot be read on.
    pub fn read(&mut self, source: &str, mut lines: impl BufRead) -> io::Result<()> {
        let mut bytes = Vec::new();
        for number in 1.. {
            bytes.clear();
            if read_line(&mut lines, &mut bytes)? == 0 {
                break;
            }
            if let Err(problem) = self.take(source, &bytes) {
                self.bad_lines += 1;
                if self.bad.len() < MAX_NAMED {
                    self.bad.push(Bad { source: source.to_owned(), line: number, problem });
                }
            }
        }
        // Lines of several routers come one file after the other.
        self.steps.sort_by(|a, b| a.time.cmp(&b.time));
        Ok(())
    }

    fn take(&mut self, source: &str, bytes: &[u8]) -> Result<(), String> {
        if bytes.len() > MAX_LINE_BYTES {
            return Err(format!("it is longer than {MAX_LINE_BYTES} bytes"));
        }
        let text = std::str::from_utf8(bytes).map_err(|_| "it is not UTF-8".to_owned())?;
        // Collectors may have put something in front.
        let Some(begin) = text.find('{') else {
            return if text.trim().is_empty() { Ok(()) } else { Err("it is no object".to_owned()) };
        };
        let line: Value =
            serde_json::from_str(text[begin..].trim_end()).map_err(|error| error.to_string())?;
        let Some(Value::Object(request)) = line.get("request") else { return Ok(()) };
        let word = |value: Option<&Value>| value.and_then(Value::as_str).map(str::to_owned);
        if word(request.get("id")).as_ref() != Some(&self.id) {
            return Ok(());
        }
        let time = word(line.get("time")).ok_or("it has no time")?;
        let event = word(request.get("event")).ok_or("it has no event")?;
        let mut facts = request.clone();
        facts.retain(|name, value| name != "id" && name != "event" && !value.is_null());
        self.steps.push(Step { time, source: source.to_owned(), event, facts });
        Ok(())
    }
}

/// Reads one line, of which no more is kept than shows that it is too long.
fn read_line(lines: &mut impl BufRead, kept: &mut Vec<u8>) -> io::Result<usize> {
    let mut total = 0;
    loop {
        let available = match lines.fill_buf() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            filled => filled?,
        };
        let end = available.iter().position(|byte| *byte == b'\n').map(|at| at + 1);
        let used = end.unwrap_or(available.len());
        let room = (MAX_LINE_BYTES + 1).saturating_sub(kept.len());
        kept.extend_from_slice(&available[..used.min(room)]);
        lines.consume(used);
        total += used;
        if end.is_some() || used == 0 {
            return Ok(total);
        }
    }
}
