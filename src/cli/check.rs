//! `fescuebay check`: finds every problem of a settings file.

use std::fs;
use std::path::{Path, PathBuf};

use error_stack::{ResultExt, bail};

use super::output::{print, print_json};
use super::{Error, Result};
use crate::settings::{self, Settings};

/// Print every problem of a settings file with its line
#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Example:\n  fescuebay check --settings examples/sanctuary/andina-a-1.ini")]
pub(super) struct Args {
    /// The settings file of one daemon
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

impl Args {
    /// Checks the file.
    pub fn run(self) -> Result<()> {
        let file = self.settings.display();
        match settings::read(&text(&self.settings)?) {
            Ok(_) if self.json => print_json(&[(); 0]),
            Ok(settings) => print(&format!("{file}: {}", summary(&settings))),
            Err(problems) => {
                if self.json {
                    print_json(&problems);
                } else {
                    problems.iter().for_each(|problem| print(&format!("{file}: {problem}")));
                }
                bail!(refused(&problems));
            }
        }
        Ok(())
    }
}

pub(super) fn text(file: &Path) -> Result<String> {
    let failed = || Error::Refused(format!("{} cannot be read", file.display()));
    fs::read_to_string(file).change_context_lazy(failed)
}

pub(super) fn refused(problems: &[settings::Problem]) -> Error {
    match problems.len() {
        1 => Error::Refused("1 problem in the settings".to_owned()),
        count => Error::Refused(format!("{count} problems in the settings")),
    }
}

fn summary(settings: &Settings) -> String {
    let Settings { daemon, cluster, .. } = settings;
    let role = if settings.is_voter() { "router and voter" } else { "router" };
    let voters = cluster.voters().count() + usize::from(settings.is_voter());
    format!(
        "ok: {} in {}, {role}, one of {} daemons with {voters} voters",
        daemon.id,
        daemon.availability_zone,
        cluster.peers.len() + 1
    )
}
