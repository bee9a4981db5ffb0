//! How operators' commands reach a daemon, and how they make changes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::{env, fs};

use error_stack::{Report, ResultExt, bail};

use super::output::{Table, print, print_json};
use super::{Error, Result};
use crate::admin::client::{self, Client};
use crate::admin::{self, view};
use crate::config;
use crate::ids::{ChangeId, Revision};
use crate::settings::Secret;
use crate::units::Millis;

/// The variable that holds an operator's token.
const TOKEN_VARIABLE: &str = "FESCUEBAY_TOKEN";

/// Which daemon is asked, and as whom.
#[derive(Debug)]
#[derive(clap::Args)]
#[command(next_help_heading = "Connection")]
pub(super) struct Connection {
    /// Address and operators' port of any daemon
    #[arg(long, value_name = "IP:PORT", env = "FESCUEBAY_ADMIN", default_value = "127.0.0.1:7102")]
    admin: SocketAddr,
    /// File with an operator's token; else it is taken from the variable FESCUEBAY_TOKEN
    #[arg(long, value_name = "FILE", env = "FESCUEBAY_TOKEN_FILE")]
    token_file: Option<PathBuf>,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
}

impl Connection {
    /// A client of the daemon.
    pub fn client(&self) -> Result<Client> {
        Ok(Client::new(self.admin, self.token()?))
    }

    /// Prints a list that a daemon has: a row for each, or JSON.
    pub async fn show<T, const N: usize>(
        &self,
        path: &str,
        headings: [&str; N],
        nothing: &str,
        row: impl Fn(&T) -> [String; N],
    ) -> Result<()>
    where
        T: serde::Serialize + serde::de::DeserializeOwned,
    {
        let rows: Vec<T> = call(self.client()?.get(path).await)?;
        if self.json {
            print_json(&rows);
            return Ok(());
        }
        let mut table = Table::new(&headings);
        rows.iter().for_each(|known| table.row(row(known)));
        print(&table.text(nothing));
        Ok(())
    }

    fn token(&self) -> Result<Secret> {
        let token = match &self.token_file {
            Some(file) => {
                let failed = || Error::Refused(format!("{} cannot be read", file.display()));
                fs::read_to_string(file).change_context_lazy(failed)?
            }
            None => env::var(TOKEN_VARIABLE).map_err(|_| {
                Report::new(Error::Unauthorized(format!(
                    "no operator's token: set {TOKEN_VARIABLE}, or give --token-file"
                )))
            })?,
        };
        Ok(Secret::new(token.trim().to_owned()))
    }
}

/// How a change is made.
#[derive(Debug)]
#[derive(clap::Args)]
#[command(next_help_heading = "Change")]
pub(super) struct ChangeArgs {
    /// The revision that the change is based on; else the one in force at the daemon
    #[arg(long, value_name = "REVISION")]
    base: Option<Revision>,
    /// The id of the change; give that of an earlier try to learn what became of it
    #[arg(long, value_name = "ID")]
    change_id: Option<ChangeId>,
    /// Return once the change is in force at every daemon, or name those that lag
    #[arg(
        long,
        value_name = "TIME",
        num_args = 0..=1,
        require_equals = true,
        default_missing_value = "10 s"
    )]
    wait: Option<Millis>,
}

impl ChangeArgs {
    /// Makes a change and prints what became of it.
    pub async fn make(
        self,
        connection: &Connection,
        reason: String,
        edits: Vec<config::Edit>,
    ) -> Result<()> {
        let client = connection.client()?;
        let base = match self.base {
            Some(base) => base,
            None => call(client.get::<view::Revisions>("/revision").await)?.accepted,
        };
        let id = self.change_id.unwrap_or_else(new_change_id);
        let change = view::NewChange { id, base, reason, edits };
        let made = call(client.change(&change).await).map_err(|report| unknown(report, &change))?;
        let wait = self.wait;
        print_made(connection, &made, wait.is_some());
        match wait {
            Some(wait_ms) => wait_for(&client, connection, made.revision, wait_ms).await,
            None => Ok(()),
        }
    }
}

/// Says how to learn what became of a change whose answer was lost.
fn unknown(report: Report<Error>, change: &view::NewChange) -> Report<Error> {
    if !matches!(report.current_context(), Error::Unreachable(_)) {
        return report;
    }
    let again = format!("--base {} --change-id {}", change.base, change.id);
    let what = format!("it may have been made; the same command with {again} tells");
    report.change_context(Error::Unreachable(what))
}

fn print_made(connection: &Connection, made: &view::Made, is_waiting: bool) {
    if connection.json {
        print_json(made);
        return;
    }
    let exceptions: String = made.exceptions.iter().map(|id| format!(", exception {id}")).collect();
    let soon = if is_waiting { "" } else { ", in force everywhere within seconds" };
    print(&format!("accepted: revision {}{exceptions}{soon}", made.revision));
}

async fn wait_for(
    client: &Client,
    connection: &Connection,
    revision: Revision,
    wait_ms: Millis,
) -> Result<()> {
    let revisions = call(client.wait(revision, wait_ms).await)?;
    let lagging = admin::lagging(&revisions, revision);
    if lagging.is_empty() {
        if !connection.json {
            print(&match revisions.daemons.len() {
                1 => "in force".to_owned(),
                count => format!("in force at all {count} daemons"),
            });
        }
        return Ok(());
    }
    let names: Vec<String> = lagging.iter().map(ToString::to_string).collect();
    bail!(Error::Lagging(format!("not in force yet at {}", names.join(", "))));
}

fn new_change_id() -> ChangeId {
    let id = format!("cli-{:016x}", rand::random::<u64>());
    id.parse().expect("hexadecimal digits make a valid id")
}

/// Turns the failure of a call into one of the command, with its exit code.
pub(super) fn call<T>(result: client::Result<T>) -> Result<T> {
    result.map_err(|report| match report.current_context() {
        client::Error::Problem(problem) => Report::new(problem_error(problem)),
        _ => report.change_context(Error::Unreachable("no result".to_owned())),
    })
}

fn problem_error(problem: &admin::Problem) -> Error {
    let lines = |mut text: String, lines: Vec<String>| {
        lines.iter().for_each(|line| text.push_str(&format!("\n  {line}")));
        text
    };
    match problem.code.as_str() {
        "conflict" => {
            let changed = problem.since.iter().map(super::changes::one_line).collect();
            let detail = format!("{}; since your revision:", problem.detail);
            Error::Conflict(lines(detail, changed))
        }
        "unauthorized" => Error::Unauthorized(problem.detail.clone()),
        "unavailable" => Error::Unreachable(problem.detail.clone()),
        _ => {
            let problems = problem.problems.iter().map(ToString::to_string).collect();
            Error::Refused(lines(problem.detail.clone(), problems))
        }
    }
}

/// Runs a command's future on a small runtime.
pub(super) fn block_on<T>(command: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let failed = || Error::Refused("no runtime could be made".to_owned());
    runtime.change_context_lazy(failed)?.block_on(command)
}
