//! `fescuebay report`: what held, what did not, and why.

use super::Result;
use super::connection::{Connection, call};
use super::output::print;
use crate::admin::view::{Format, Window};

/// Print a short report: what held, what did not, and why
#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Examples:\n  fescuebay report\n  \
    fescuebay report --window week --html > report.html")]
pub(super) struct Args {
    /// The time that it covers: the last hour, the last night (18:00 to 08:00) or the last week
    #[arg(long, default_value = "night")]
    window: Window,
    /// A small page for a phone instead of text
    #[arg(long, conflicts_with = "json")]
    html: bool,
    #[command(flatten)]
    connection: Connection,
}

impl Args {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        let format = match (self.html, self.connection.json) {
            (true, _) => Format::Html,
            (_, true) => Format::Json,
            _ => Format::Text,
        };
        let path = format!("/report?window={}&format={format}", self.window);
        print(&call(self.connection.client()?.get_text(&path).await)?);
        Ok(())
    }
}
