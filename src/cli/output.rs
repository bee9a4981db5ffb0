//! What commands print: text, JSON or a table.

use std::io::{self, Write};

use serde::Serialize;

/// Prints text on standard output. A reader that has gone away is no failure.
pub(super) fn print(text: &str) {
    let mut out = io::stdout().lock();
    let newline = if text.is_empty() || text.ends_with('\n') { "" } else { "\n" };
    let written = write!(out, "{text}{newline}").and_then(|()| out.flush());
    if let Err(error) = written
        && error.kind() != io::ErrorKind::BrokenPipe
    {
        log::warn!("standard output cannot be written: {error}");
    }
}

/// Prints data as JSON.
pub(super) fn print_json(data: &impl Serialize) {
    let text = serde_json::to_string_pretty(data).expect("a view always encodes");
    print(&text);
}

/// Rows of text under headings, with columns as wide as needed.
#[derive(Debug)]
pub(super) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these headings.
    pub fn new(headings: &[&str]) -> Self {
        Self { rows: vec![headings.iter().map(|heading| (*heading).to_owned()).collect()] }
    }

    /// Adds a row.
    pub fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// The table as text, or `nothing` if it has no row.
    pub fn text(&self, nothing: &str) -> String {
        if self.rows.len() == 1 {
            return nothing.to_owned();
        }
        let width = |column: usize| {
            let cells = self.rows.iter().map(|row| row[column].chars().count());
            cells.max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..self.rows[0].len()).map(width).collect();
        self.rows.iter().map(|row| line(row, &widths) + "\n").collect()
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}"));
    cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn columns_are_as_wide_as_needed() {
        let mut table = Table::new(&["id", "zone"]);
        table.row(["andina-a-1".to_owned(), "a".to_owned()]);
        assert_eq!(table.text("none"), "id          zone\nandina-a-1  a\n");
        assert_eq!(Table::new(&["id"]).text("none"), "none");
    }
}
