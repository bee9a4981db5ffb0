//! Takes typed values out of the sections of a file and collects every problem.

use super::ini::{self, Line, Section};
use super::{Problem, Result};

/// A value and the line it stands on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct At<T> {
    /// The line, from 1.
    pub line: u32,
    /// The value.
    pub value: T,
}

/// The sections that are left to read, and the problems so far.
pub(super) struct Reader<'a> {
    sections: Vec<Section<'a>>,
    problems: Vec<Problem>,
}

impl<'a> Reader<'a> {
    /// Splits a file.
    pub fn new(text: &'a str) -> Self {
        let mut problems = Vec::new();
        let sections = ini::split(text, &mut problems);
        let mut reader = Self { sections, problems };
        reader.drop_repeated_keys();
        reader
    }

    fn drop_repeated_keys(&mut self) {
        let mut repeated = Vec::new();
        for section in &mut self.sections {
            let mut seen: Vec<Line<'a>> = Vec::new();
            section.lines.retain(|line| match seen.iter().find(|other| other.key == line.key) {
                Some(first) => {
                    repeated.push((section.name, *line, first.number));
                    false
                }
                None => {
                    seen.push(*line);
                    true
                }
            });
        }
        for (section, line, first) in repeated {
            let what = match section {
                "peers" => format!("two daemons with the id {}: see line {first}", line.key),
                _ => format!("the key stands twice: see line {first}"),
            };
            self.problem(line.number, section, line.key, what);
        }
    }

    /// Adds a problem.
    pub fn problem(&mut self, line: u32, section: &str, key: &str, what: impl Into<String>) {
        let (section, key) = (section.to_owned(), key.to_owned());
        self.problems.push(Problem { line, section, key, what: what.into() });
    }

    /// Whether a problem with this key is known.
    pub fn has_problem(&self, section: &str, key: &str) -> bool {
        self.problems.iter().any(|problem| problem.section == section && problem.key == key)
    }

    /// The line of a section's header, 0 if there is no such section.
    pub fn header(&self, section: &str) -> u32 {
        self.sections.iter().find(|s| s.name == section).map_or(0, |s| s.number)
    }

    /// Takes all lines that are left in a section.
    pub fn lines(&mut self, section: &str) -> Vec<Line<'a>> {
        let sections = self.sections.iter_mut().filter(|s| s.name == section);
        sections.flat_map(|section| std::mem::take(&mut section.lines)).collect()
    }

    fn take(&mut self, section: &str, key: &str) -> Option<Line<'a>> {
        for section in self.sections.iter_mut().filter(|s| s.name == section) {
            if let Some(at) = section.lines.iter().position(|line| line.key == key) {
                return Some(section.lines.remove(at));
            }
        }
        None
    }

    /// Takes a value that may be missing. A value that cannot be read is a problem.
    pub fn optional<T, E: ToString>(
        &mut self,
        section: &str,
        key: &str,
        read: impl FnOnce(&'a str) -> std::result::Result<T, E>,
    ) -> Option<At<T>> {
        let line = self.take(section, key)?;
        match read(line.value) {
            Ok(value) => Some(At { line: line.number, value }),
            Err(error) => {
                self.problem(line.number, section, key, error.to_string());
                None
            }
        }
    }

    /// Takes a value that must be there.
    pub fn required<T, E: ToString>(
        &mut self,
        section: &str,
        key: &str,
        read: impl FnOnce(&'a str) -> std::result::Result<T, E>,
    ) -> Option<At<T>> {
        let is_there = self
            .sections
            .iter()
            .any(|s| s.name == section && s.lines.iter().any(|line| line.key == key));
        if !is_there {
            self.problem(self.header(section), section, key, "this key is missing");
        }
        self.optional(section, key, read)
    }

    /// Takes a value, or `default` where it is missing.
    pub fn or<T, E: ToString>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        read: impl FnOnce(&'a str) -> std::result::Result<T, E>,
    ) -> T {
        self.optional(section, key, read).map_or(default, |at| at.value)
    }

    /// Reports what nobody took, and returns `value` only if there is no problem.
    pub fn finish<T>(mut self, known_sections: &[&str], value: Option<T>) -> Result<T> {
        for section in std::mem::take(&mut self.sections) {
            if !known_sections.contains(&section.name) {
                let what = format!("unknown section; known are {}", known_sections.join(", "));
                self.problem(section.number, section.name, "", what);
                continue;
            }
            for line in section.lines {
                self.problem(line.number, section.name, line.key, "unknown key");
            }
        }
        self.problems.sort_unstable();
        match value {
            Some(value) if self.problems.is_empty() => Ok(value),
            _ => Err(self.problems),
        }
    }
}
