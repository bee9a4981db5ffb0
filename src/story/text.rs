//! A story as text that fits a telephone.

use serde_json::Value;

use super::{Step, Story};

/// The width of the text.
pub const COLUMNS: usize = 40;
const INDENT: &str = "  ";
/// Events after which a request is over.
const ENDS: [&str; 3] = ["answered", "stream_ended", "refused"];

impl Story {
    /// The story in lines of at most [`COLUMNS`] characters.
    pub fn text(&self) -> String {
        let mut lines = Vec::new();
        wrap(&mut lines, "", &format!("request {}", self.id));
        let mut source = "";
        for step in &self.steps {
            if step.source != source {
                source = &step.source;
                wrap(&mut lines, "", &format!("in {source}"));
            }
            step.write(&mut lines);
        }
        wrap(&mut lines, "", &self.end());
        if self.bad_lines > 0 {
            wrap(&mut lines, "", &format!("lines that could not be read: {}", self.bad_lines));
        }
        for bad in &self.bad {
            let line = format!("{}:{}: {}", bad.source, bad.line, bad.problem);
            wrap(&mut lines, INDENT, &line);
        }
        lines.join("\n") + "\n"
    }

    fn end(&self) -> String {
        let is_end = |step: &&Step| ENDS.contains(&step.event.as_str());
        match self.steps.iter().rev().find(is_end) {
            Some(step) => format!("its end: {}", plain(&step.event)),
            None => "its end is not in these lines".to_owned(),
        }
    }
}

impl Step {
    fn write(&self, lines: &mut Vec<String>) {
        wrap(lines, "", &format!("{} {}", clock(&self.time), plain(&self.event)));
        for (name, value) in &self.facts {
            wrap(lines, INDENT, &fact(name, value));
        }
    }
}

/// The time of day in a time with a date.
fn clock(time: &str) -> &str {
    let clock = time.split_once('T').map_or(time, |(_, clock)| clock);
    clock.trim_end_matches('Z')
}

fn plain(name: &str) -> String {
    name.replace('_', " ")
}

/// A fact with its unit, which its name ends with.
fn fact(name: &str, value: &Value) -> String {
    let text = match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    match name.strip_suffix("_ms") {
        Some(name) => format!("{}: {text} ms", plain(name)),
        None => format!("{}: {text}", plain(name)),
    }
}

/// Adds text in as many lines as it needs; the later ones are indented further.
fn wrap(lines: &mut Vec<String>, indent: &str, text: &str) {
    let mut line = indent.to_owned();
    let mut is_empty = true;
    for word in text.split_whitespace() {
        let mut word = word;
        let needed = usize::from(!is_empty) + word.chars().count();
        if !is_empty && line.chars().count() + needed > COLUMNS {
            lines.push(std::mem::replace(&mut line, format!("{indent}{INDENT}")));
            is_empty = true;
        }
        if !is_empty {
            line.push(' ');
        }
        // A word that fits no line is cut.
        while line.chars().count() + word.chars().count() > COLUMNS {
            let room = COLUMNS - line.chars().count();
            let cut = word.char_indices().nth(room).map_or(word.len(), |(at, _)| at);
            line.push_str(&word[..cut]);
            word = &word[cut..];
            lines.push(std::mem::replace(&mut line, format!("{indent}{INDENT}")));
        }
        line.push_str(word);
        is_empty = false;
    }
    lines.push(line);
}
