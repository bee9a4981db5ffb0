//! The command line.
//!
//! A file for each subject; [`run`] is the whole program.

mod changes;
mod check;
mod config_check;
mod connection;
mod defaults;
mod exceptions;
mod explain;
mod fleet;
mod output;
mod report;
mod role;
mod serve;
mod token;
mod work;

use std::ffi::OsString;
use std::fmt;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use error_stack::Report;

/// What each exit code means, as the help text shows it.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused, or a problem was found
  2  the command line cannot be understood
  3  no daemon could be reached, or it has no leader
  4  another change came first; nothing was done
  5  the token is not an operator's
  6  done, but not in force everywhere yet (--wait)";

/// Serves rarely used models: routes requests, places replicas, keeps control state.
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "fescuebay", version, after_help = EXIT_CODES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Write more log lines; twice for still more
    #[arg(short, long, global = true, action = clap::ArgAction::Count)]
    verbose: u8,
}

#[derive(Debug)]
#[derive(Subcommand)]
enum Command {
    Serve(serve::Args),
    Dev(serve::DevArgs),
    Check(check::Args),
    Token(token::Args),
    #[command(subcommand)]
    Defaults(defaults::Command),
    #[command(subcommand)]
    Exceptions(exceptions::Command),
    #[command(subcommand)]
    Changes(changes::Command),
    Catalogue(fleet::CatalogueArgs),
    Revision(fleet::RevisionArgs),
    Targets(fleet::TargetsArgs),
    Models(fleet::ModelsArgs),
    Voters(fleet::VotersArgs),
    Drain(exceptions::DrainArgs),
    Report(report::Args),
    #[command(subcommand)]
    Records(work::RecordsCommand),
    #[command(subcommand)]
    Jobs(work::JobsCommand),
    #[command(subcommand)]
    Poison(work::PoisonCommand),
    Explain(explain::Args),
    #[command(subcommand)]
    Config(config_check::Command),
    Completions(CompletionsArgs),
}

/// Print completions for a shell
#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Example:\n  fescuebay completions bash > ~/.bash_completion.d/fescuebay")]
struct CompletionsArgs {
    /// The shell
    shell: clap_complete::Shell,
}

/// Why the program ends without success.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Something was refused, or problems were found.
    Refused(String),
    /// No daemon could be reached, or it has no leader.
    Unreachable(String),
    /// Another change came first.
    Conflict(String),
    /// The token is not an operator's.
    Unauthorized(String),
    /// Done, but not in force everywhere yet.
    Lagging(String),
}

impl Error {
    /// The exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Refused(_) => 1,
            Error::Unreachable(_) => 3,
            Error::Conflict(_) => 4,
            Error::Unauthorized(_) => 5,
            Error::Lagging(_) => 6,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused(what)
            | Error::Unreachable(what)
            | Error::Conflict(what)
            | Error::Unauthorized(what)
            | Error::Lagging(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for Error {}

/// The result of a command.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Runs the program with its arguments, the first of which is its name.
///
/// A command line that cannot be understood ends the process with code 2.
///
/// # Errors
///
/// Fails as the command does; [`exit_code`] tells the code to end with.
pub fn run(args: impl IntoIterator<Item = OsString>) -> Result<()> {
    let cli = Cli::parse_from(args);
    match cli.command {
        Command::Serve(args) => args.run(cli.verbose),
        Command::Dev(args) => args.run(cli.verbose),
        Command::Check(args) => args.run(),
        Command::Token(args) => args.run(),
        Command::Completions(args) => args.run(),
        Command::Defaults(command) => connection::block_on(command.run()),
        Command::Exceptions(command) => connection::block_on(command.run()),
        Command::Changes(command) => connection::block_on(command.run()),
        Command::Catalogue(args) => connection::block_on(args.run()),
        Command::Revision(args) => connection::block_on(args.run()),
        Command::Targets(args) => connection::block_on(args.run()),
        Command::Models(args) => connection::block_on(args.run()),
        Command::Voters(args) => connection::block_on(args.run()),
        Command::Drain(args) => connection::block_on(args.run()),
        Command::Report(args) => connection::block_on(args.run()),
        Command::Records(command) => connection::block_on(command.run()),
        Command::Jobs(command) => connection::block_on(command.run()),
        Command::Poison(command) => connection::block_on(command.run()),
        Command::Explain(args) => args.run(),
        Command::Config(command) => command.run(),
    }
}

/// The exit code of a failed run.
pub fn exit_code(report: &Report<Error>) -> ExitCode {
    ExitCode::from(report.current_context().exit_code())
}

impl CompletionsArgs {
    fn run(self) -> Result<()> {
        let mut script = Vec::new();
        clap_complete::generate(self.shell, &mut Cli::command(), "fescuebay", &mut script);
        output::print(&String::from_utf8_lossy(&script));
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_command_line_is_consistent() {
        Cli::command().debug_assert();
    }

    #[test]
    fn every_exit_code_is_documented() {
        let text = String::new;
        for error in [
            Error::Refused(text()),
            Error::Unreachable(text()),
            Error::Conflict(text()),
            Error::Unauthorized(text()),
            Error::Lagging(text()),
        ] {
            assert!(EXIT_CODES.contains(&format!("\n  {}  ", error.exit_code())), "{error:?}");
        }
    }
}
