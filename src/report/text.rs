//! Plain text for a narrow screen.

use crate::report::summary::{self, Exception, Report};

/// Widest line.
pub const COLUMNS: usize = 40;

/// Plain text in lines of at most [`COLUMNS`] characters.
#[derive(Clone, Copy, Debug)]
pub struct Text;

impl super::Format for Text {
    fn content_type(&self) -> &'static str {
        "text/plain; charset=utf-8"
    }

    fn render(&self, report: &Report) -> String {
        let mut page = Page::default();
        page.wrap("", &format!("Last {}. {}", report.span, report.headline()));
        promises(&mut page, report);
        work(&mut page, report);
        open_matters(&mut page, report);
        exceptions(&mut page, "Exceptions that end soon", &report.ending_soon, report.window.to_ms);
        exceptions(&mut page, "Other exceptions", &report.exceptions, report.window.to_ms);
        page.text
    }
}

#[derive(Default)]
struct Page {
    text: String,
}

impl Page {
    fn line(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }

    /// A title after an empty line.
    fn title(&mut self, title: &str) {
        self.line("");
        self.wrap("", title);
    }

    /// A name and its value at the right edge, or on two lines if they don't fit on one.
    fn pair(&mut self, name: &str, value: &str) {
        let width = name.chars().count() + 1 + value.chars().count();
        if width <= COLUMNS {
            let gap = COLUMNS + 1 - width;
            self.line(&format!("{name}{:gap$}{value}", ""));
        } else {
            self.wrap("", name);
            self.wrap("  ", value);
        }
    }

    /// Text broken at spaces, and inside of words that are too long for a line.
    fn wrap(&mut self, indent: &str, text: &str) {
        let width = COLUMNS - indent.len();
        let mut line = String::new();
        for word in text.split_whitespace().flat_map(|word| pieces(word, width)) {
            let used = line.chars().count();
            if used > 0 && used + 1 + word.chars().count() > width {
                self.line(&format!("{indent}{line}"));
                line.clear();
            }
            if !line.is_empty() {
                line.push(' ');
            }
            line.push_str(&word);
        }
        if !line.is_empty() {
            self.line(&format!("{indent}{line}"));
        }
    }
}

fn pieces(word: &str, width: usize) -> Vec<String> {
    let letters: Vec<char> = word.chars().collect();
    letters.chunks(width).map(|piece| piece.iter().collect()).collect()
}

fn promises(page: &mut Page, report: &Report) {
    page.line("");
    for line in &report.lines {
        page.pair(&line.promise.to_string(), &line.verdict());
        if let Some(breach) = &line.first {
            page.wrap("  ", &format!("first: {}", breach.reason));
        }
    }
}

fn work(page: &mut Page, report: &Report) {
    page.title("Work");
    page.pair("answered", &report.answered.to_string());
    for refused in &report.refused {
        page.pair(&format!("refused {}", refused.code), &refused.count.to_string());
    }
    for waited in &report.waits {
        let whose = format!("waited {} {}", waited.tenant, waited.class);
        page.pair(&whose, &summary::length(waited.wait_ms));
    }
    page.pair("cold starts", &report.cold_starts.to_string());
    page.pair("longest cold start", &summary::length(report.longest_cold_start_ms));
    page.pair("idle accelerators", &summary::length(report.idle_accelerator_ms));
}

fn open_matters(page: &mut Page, report: &Report) {
    page.title("Open");
    page.pair("jobs", &report.open_jobs.to_string());
    page.pair("calls that may have run", &report.unknown_calls.to_string());
    page.pair("requests closed as poison", &report.closed_digests.to_string());
}

fn exceptions(page: &mut Page, title: &str, exceptions: &[Exception], now_ms: u64) {
    if exceptions.is_empty() {
        return;
    }
    page.title(title);
    for exception in exceptions {
        match exception.until_ms {
            Some(at) => {
                let left = summary::length(at.saturating_sub(now_ms));
                page.pair(&exception.what, &format!("{left} left"));
            }
            None => page.wrap("", &exception.what),
        }
        page.wrap("  ", &exception.reason);
    }
}
