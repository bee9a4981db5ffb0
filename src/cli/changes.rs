//! `fescuebay changes`: the audit trail, and changes that are written as JSON.

use std::io::Read as _;
use std::path::PathBuf;
use std::{fs, io};

use error_stack::ResultExt;

use super::connection::{ChangeArgs, Connection, call};
use super::output::{print, print_json};
use super::{Error, Result};
use crate::config;
use crate::ids::Revision;
use crate::logging;

/// List changes, or make one that is written as JSON
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub(super) enum Command {
    /// List accepted changes, the oldest first
    List(ListArgs),
    /// Make a change of several edits; all of them come into force, or none
    Make(MakeArgs),
}

#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Example:\n  fescuebay changes list --after 120 --limit 10")]
pub(super) struct ListArgs {
    /// Only those after this revision
    #[arg(long, value_name = "REVISION", default_value = "0")]
    after: Revision,
    /// At most so many
    #[arg(long, value_name = "COUNT", default_value = "100")]
    limit: usize,
    #[command(flatten)]
    connection: Connection,
}

#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Example:\n  \
    fescuebay changes make --edits examples/sanctuary/catalogue.json --reason 'first models'\n\n\
    An edit is one of: set_default, reset_default, add_exception, remove_exception, put_model,\n\
    remove_model, put_adapter, remove_adapter, put_service, remove_service, put_class,\n\
    remove_class. docs/configuration.md shows each.")]
pub(super) struct MakeArgs {
    /// File with a JSON array of edits; - is standard input
    #[arg(long, value_name = "FILE")]
    edits: PathBuf,
    /// Why, for the audit trail
    #[arg(long)]
    reason: String,
    #[command(flatten)]
    change: ChangeArgs,
    #[command(flatten)]
    connection: Connection,
}

impl Command {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        match self {
            Command::List(args) => args.run().await,
            Command::Make(args) => args.run().await,
        }
    }
}

impl ListArgs {
    async fn run(self) -> Result<()> {
        let path = format!("/changes?after={}&limit={}", self.after, self.limit);
        let changes: Vec<config::Accepted> = call(self.connection.client()?.get(&path).await)?;
        if self.connection.json {
            print_json(&changes);
        } else if changes.is_empty() {
            print("no changes");
        } else {
            changes.iter().for_each(|accepted| print(&one_line(accepted)));
        }
        Ok(())
    }
}

impl MakeArgs {
    async fn run(self) -> Result<()> {
        let file = self.edits.display();
        let failed = || Error::Refused(format!("{file} cannot be read"));
        let mut text = String::new();
        if self.edits.as_os_str() == "-" {
            io::stdin().read_to_string(&mut text).change_context_lazy(failed)?;
        } else {
            text = fs::read_to_string(&self.edits).change_context_lazy(failed)?;
        }
        let failed = || Error::Refused(format!("{file} is no JSON array of edits"));
        let edits = serde_json::from_str(&text).change_context_lazy(failed)?;
        self.change.make(&self.connection, self.reason, edits).await
    }
}

/// An accepted change on one line.
pub(super) fn one_line(accepted: &config::Accepted) -> String {
    /// Edits that a line shows.
    const SHOWN: usize = 3;
    let config::Change { author, reason, edits, .. } = &accepted.change;
    let shown: Vec<String> = edits.iter().take(SHOWN).map(ToString::to_string).collect();
    let more = match edits.len().saturating_sub(SHOWN) {
        0 => String::new(),
        more => format!(" and {more} more"),
    };
    let reason = if reason.is_empty() { String::new() } else { format!(" ({reason})") };
    let at = logging::time(accepted.at_ms);
    format!("revision {} {at} {author}: {}{more}{reason}", accepted.revision, shown.join(", "))
}
