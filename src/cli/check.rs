//! `fescuebay check`: finds every problem of a settings file.

use std::fs;
use std::path::{Path, PathBuf};

use error_stack::{ResultExt, bail};

use super::output::{print, print_json};
use super::{Error, Result};
use crate::settings::{self, Settings, vm};

/// Print every problem of a settings file with its line
#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Examples:\n  fescuebay check --settings examples/sanctuary/andina-a-1.ini
  fescuebay check --role router --settings /etc/fescuebay/vm.ini")]
pub(super) struct Args {
    /// The settings file of one daemon
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings file of a VM with one role: router or voter
    #[arg(long, value_name = "ROLE")]
    role: Option<vm::Role>,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

impl Args {
    /// Checks the file.
    pub fn run(self) -> Result<()> {
        let file = self.settings.display();
        let text = text(&self.settings)?;
        let checked = match self.role {
            Some(role) => role_summary(role, &text),
            None => settings::read(&text).map(|settings| summary(&settings)),
        };
        match checked {
            Ok(_) if self.json => print_json(&[(); 0]),
            Ok(summary) => print(&format!("{file}: {summary}")),
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

/// Checks the settings file of a VM with one role.
fn role_summary(role: vm::Role, text: &str) -> settings::Result<String> {
    let settings = vm::read(text)?;
    let vm::Settings { vm, group, .. } = &settings;
    if vm.role != role {
        let what = format!("the file is that of a {}", vm.role);
        let (section, key) = ("vm".to_owned(), "role".to_owned());
        return Err(vec![settings::Problem { line: 0, section, key, what }]);
    }
    let zone = &vm.availability_zone;
    Ok(format!("ok: {role} {} in {zone}, {} voters are asked first", vm.ip, group.first.len()))
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
