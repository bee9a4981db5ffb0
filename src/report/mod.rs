//! Short reports: what held, what did not, and why.

mod html;
mod json;
mod span;
mod summary;
mod text;

pub use html::Html;
pub use json::Json;
pub use span::{Span, Window};
pub use summary::{Exception, Input, Line, Report};
pub use text::{COLUMNS, Text};

/// A form in which a report is given.
pub trait Format {
    /// The media type of the form.
    fn content_type(&self) -> &'static str;

    /// The report in this form.
    fn render(&self, report: &Report) -> String;
}
