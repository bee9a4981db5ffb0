//! JSON for programs.

use crate::report::summary::Report;

/// One JSON object.
#[derive(Clone, Copy, Debug)]
pub struct Json;

impl super::Format for Json {
    fn content_type(&self) -> &'static str {
        "application/json"
    }

    fn render(&self, report: &Report) -> String {
        serde_json::to_string_pretty(report).expect("a report has text keys alone")
    }
}
