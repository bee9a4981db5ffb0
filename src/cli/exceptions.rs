//! `fescuebay exceptions` and `fescuebay drain`.

use std::time::SystemTime;

use error_stack::{Report, bail};

use super::connection::{ChangeArgs, Connection, call};
use super::output::{Table, print, print_json};
use super::{Error, Result};
use crate::admin::view;
use crate::config::{self, Edit, Scope, Setting, Value};
use crate::ids::{ExceptionId, TargetId, Zone};
use crate::logging;
use crate::units::Millis;

/// List, add and remove exceptions to the fleet defaults
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub(super) enum Command {
    /// List exceptions with their reasons
    List(ListArgs),
    /// Add an exception
    Add(AddArgs),
    /// Remove exceptions
    Remove(RemoveArgs),
}

#[derive(Debug)]
#[derive(clap::Args)]
pub(super) struct ListArgs {
    #[command(flatten)]
    connection: Connection,
}

#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Examples:\n  \
    Keep a model loaded in the evening:\n    \
    fescuebay exceptions add --for model=quill --set keep_warm=18:00-24:00 \\\n      \
    --reason 'adopters write in the evening'\n  \
    Forbid a zone to a model for three days:\n    \
    fescuebay exceptions add --for model=quill,zone=andina-c --set placeable=no \\\n      \
    --lasting '3 d' --reason 'accelerators there are being replaced'")]
pub(super) struct AddArgs {
    /// The part: tenant, class, service, model, adapter=MODEL:ADAPTER, zone, target
    #[arg(long = "for", value_name = "FIELD=NAME,...")]
    scope: Scope,
    /// A key and its value there; may be repeated
    #[arg(long = "set", required = true, value_name = "KEY=VALUE",
          value_parser = super::defaults::setting)]
    settings: Vec<Setting>,
    /// Why the exception is needed
    #[arg(long)]
    reason: String,
    #[command(flatten)]
    end: EndArgs,
    #[command(flatten)]
    change: ChangeArgs,
    #[command(flatten)]
    connection: Connection,
}

/// When an exception ends by itself.
#[derive(Debug)]
#[derive(clap::Args)]
struct EndArgs {
    /// End it by itself after this time, such as '3 d'
    #[arg(long, value_name = "TIME", conflicts_with = "until")]
    lasting: Option<Millis>,
    /// End it by itself at this time in UTC, such as 2027-01-06T06:00:00Z
    #[arg(long, value_name = "TIME", value_parser = unix_ms)]
    until: Option<u64>,
}

impl EndArgs {
    fn end_ms(&self, now_ms: u64) -> Option<u64> {
        self.until.or(self.lasting.map(|lasting| now_ms.saturating_add(lasting.0)))
    }
}

#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Example:\n  fescuebay exceptions remove 12 --reason 'the fair is over'")]
pub(super) struct RemoveArgs {
    /// Exceptions, as `exceptions list` numbers them
    #[arg(required = true, value_name = "ID")]
    ids: Vec<ExceptionId>,
    /// Why, for the audit trail
    #[arg(long)]
    reason: String,
    #[command(flatten)]
    change: ChangeArgs,
    #[command(flatten)]
    connection: Connection,
}

/// Take work and replicas off a target or a whole availability zone
///
/// Replicas are rebuilt elsewhere first where there is memory; what runs is finished. It is an
/// exception like others and stays until it is removed or ends.
#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Examples:\n  \
    fescuebay drain runner-7 --reason 'fan is loud'\n  \
    fescuebay drain --zone andina-c --lasting '6 h' --reason 'power works'\n  \
    fescuebay drain runner-7 --undo --reason 'fan replaced'")]
pub(super) struct DrainArgs {
    /// The target
    #[arg(required_unless_present = "zone", conflicts_with = "zone")]
    target: Option<TargetId>,
    /// An availability zone instead of a target
    #[arg(long)]
    zone: Option<Zone>,
    /// Let it take work again
    #[arg(long, conflicts_with_all = ["lasting", "until"])]
    undo: bool,
    /// Why
    #[arg(long)]
    reason: String,
    #[command(flatten)]
    end: EndArgs,
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
            Command::Add(args) => {
                let end_ms = args.end.end_ms(now_ms());
                let edit = add(args.scope, args.settings, &args.reason, end_ms);
                // The exception itself carries the reason.
                args.change.make(&args.connection, String::new(), vec![edit]).await
            }
            Command::Remove(args) => {
                let edits = args.ids.into_iter().map(Edit::RemoveException).collect();
                args.change.make(&args.connection, args.reason, edits).await
            }
        }
    }
}

impl ListArgs {
    async fn run(self) -> Result<()> {
        let exceptions = list(&self.connection).await?;
        if self.connection.json {
            print_json(&exceptions);
            return Ok(());
        }
        let mut table = Table::new(&["id", "for", "sets", "until", "by", "reason"]);
        for exception in &exceptions.exceptions {
            let settings = exception.settings.iter().map(ToString::to_string);
            let end = exception.end_ms.map(|end_ms| logging::time(end_ms).to_string());
            table.row([
                exception.id.to_string(),
                exception.scope.to_string(),
                settings.collect::<Vec<_>>().join("; "),
                end.unwrap_or_else(|| "removed".to_owned()),
                exception.author.to_string(),
                exception.reason.clone(),
            ]);
        }
        print(&format!("revision {}\n{}", exceptions.revision, table.text("no exceptions")));
        Ok(())
    }
}

async fn list(connection: &Connection) -> Result<view::Exceptions> {
    call(connection.client()?.get("/exceptions").await)
}

fn add(scope: Scope, settings: Vec<Setting>, reason: &str, end_ms: Option<u64>) -> Edit {
    Edit::AddException(config::NewException { scope, settings, reason: reason.to_owned(), end_ms })
}

impl DrainArgs {
    /// Runs the command.
    pub async fn run(self) -> Result<()> {
        let scope = Scope { target: self.target, availability_zone: self.zone, ..Scope::default() };
        if self.undo {
            let edits = undo(&self.connection, &scope).await?;
            return self.change.make(&self.connection, self.reason, edits).await;
        }
        let drain = Setting { key: config::Key::Drain, value: Value::Flag(true) };
        let edit = add(scope, vec![drain], &self.reason, self.end.end_ms(now_ms()));
        self.change.make(&self.connection, String::new(), vec![edit]).await
    }
}

/// Removes the exceptions that drain `scope`.
async fn undo(connection: &Connection, scope: &Scope) -> Result<Vec<Edit>> {
    let drains = |exception: &&config::Exception| {
        exception.scope == *scope
            && exception.settings.iter().any(|setting| setting.key == config::Key::Drain)
    };
    let exceptions = list(connection).await?.exceptions;
    let edits: Vec<Edit> =
        exceptions.iter().filter(drains).map(|found| Edit::RemoveException(found.id)).collect();
    if edits.is_empty() {
        bail!(Report::new(Error::Refused(format!("{scope} is not being drained"))));
    }
    Ok(edits)
}

/// Reads RFC 3339 as Unix milliseconds.
fn unix_ms(text: &str) -> std::result::Result<u64, String> {
    let time = humantime::parse_rfc3339(text);
    let time = time.map_err(|_| "write a time in UTC such as 2027-01-06T06:00:00Z".to_owned())?;
    let since = time.duration_since(SystemTime::UNIX_EPOCH);
    since.map(|since| since.as_millis() as u64).map_err(|_| "it is before 1970".to_owned())
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
