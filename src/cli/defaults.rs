//! `fescuebay defaults`: shows, sets and explains the fleet defaults.

use super::Result;
use super::connection::{ChangeArgs, Connection, call};
use super::output::{Table, print, print_json};
use crate::admin::view;
use crate::config;

/// Show, set and explain the fleet defaults
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub(super) enum Command {
    /// Show every key with its value and meaning
    Show(ShowArgs),
    /// Set keys for the whole fleet
    Set(SetArgs),
    /// Go back to the built-in values of keys
    Reset(ResetArgs),
    /// Show which line decided each value for a part of the fleet
    Explain(ExplainArgs),
}

#[derive(Debug)]
#[derive(clap::Args)]
pub(super) struct ShowArgs {
    #[command(flatten)]
    connection: Connection,
}

#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Example:\n  fescuebay defaults set 'deadline=45 s' max_waiting=500 --wait")]
pub(super) struct SetArgs {
    /// Keys and values
    #[arg(required = true, value_name = "KEY=VALUE", value_parser = setting)]
    settings: Vec<config::Setting>,
    /// Why, for the audit trail
    #[arg(long, default_value = "", hide_default_value = true)]
    reason: String,
    #[command(flatten)]
    change: ChangeArgs,
    #[command(flatten)]
    connection: Connection,
}

#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Example:\n  fescuebay defaults reset deadline")]
pub(super) struct ResetArgs {
    /// Keys
    #[arg(required = true, value_name = "KEY")]
    keys: Vec<config::Key>,
    /// Why, for the audit trail
    #[arg(long, default_value = "", hide_default_value = true)]
    reason: String,
    #[command(flatten)]
    change: ChangeArgs,
    #[command(flatten)]
    connection: Connection,
}

#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Examples:\n  \
    fescuebay defaults explain --for tenant=adoption-desk,class=contract-draft,model=quill\n  \
    fescuebay defaults explain --for model=quill,zone=andina-a deadline keep_warm")]
pub(super) struct ExplainArgs {
    /// The part: tenant, class, service, model, adapter=MODEL:ADAPTER, zone, target
    #[arg(long = "for", value_name = "FIELD=NAME,...", default_value = "")]
    scope: config::Scope,
    /// Only these keys
    #[arg(value_name = "KEY")]
    keys: Vec<config::Key>,
    #[command(flatten)]
    connection: Connection,
}

/// Reads `KEY=VALUE`.
pub(super) fn setting(text: &str) -> std::result::Result<config::Setting, String> {
    let (key, value) = text.split_once('=').ok_or("write KEY=VALUE")?;
    config::Setting::read(key.trim(), value.trim())
}

impl Command {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        match self {
            Command::Show(args) => args.run().await,
            Command::Set(args) => {
                let edits = args.settings.into_iter().map(config::Edit::SetDefault).collect();
                args.change.make(&args.connection, args.reason, edits).await
            }
            Command::Reset(args) => {
                let edits = args.keys.into_iter().map(config::Edit::ResetDefault).collect();
                args.change.make(&args.connection, args.reason, edits).await
            }
            Command::Explain(args) => args.run().await,
        }
    }
}

impl ShowArgs {
    async fn run(self) -> Result<()> {
        let defaults: view::Defaults = call(self.connection.client()?.get("/defaults").await)?;
        if self.connection.json {
            print_json(&defaults);
            return Ok(());
        }
        let mut table = Table::new(&["key", "value", "from", "meaning"]);
        for line in &defaults.defaults {
            let source = if line.is_set { "default" } else { "built in" };
            let config::Setting { key, value } = &line.setting;
            table.row([key.to_string(), value.to_string(), source.to_owned(), line.help.clone()]);
        }
        print(&format!("revision {}\n{}", defaults.revision, table.text("")));
        Ok(())
    }
}

impl ExplainArgs {
    async fn run(self) -> Result<()> {
        let path = format!("/defaults/explain?scope={}", self.scope);
        let mut explanation: view::Explanation = call(self.connection.client()?.get(&path).await)?;
        if !self.keys.is_empty() {
            explanation.values.retain(|value| self.keys.contains(&value.setting.key));
        }
        if self.connection.json {
            print_json(&explanation);
            return Ok(());
        }
        let mut table = Table::new(&["key", "value", "decided by", "instead of"]);
        for value in &explanation.values {
            let instead =
                value.instead_of.iter().map(|(source, value)| format!("{value} ({source})"));
            table.row([
                value.setting.key.to_string(),
                value.setting.value.to_string(),
                value.decided_by.to_string(),
                instead.collect::<Vec<_>>().join(", "),
            ]);
        }
        print(&format!("revision {}\n{}", explanation.revision, table.text("")));
        Ok(())
    }
}
