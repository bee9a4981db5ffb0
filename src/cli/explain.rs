//! `fescuebay explain`: what became of one request.

use std::fs::File;
use std::io::{self, BufReader};
use std::path::PathBuf;

use error_stack::{ResultExt as _, bail};

use super::output::{print, print_json};
use super::{Error, Result};
use crate::story::Story;

/// Print what routers decided on one request, from the lines that they logged
#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Examples:\n  fescuebay explain c75f2708cd25f32e router-1.log router-2.log
  journalctl -u fescuebay -o cat | fescuebay explain c75f2708cd25f32e")]
pub(super) struct Args {
    /// The request's id
    id: String,
    /// Files of lines; standard input if there are none
    files: Vec<PathBuf>,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

impl Args {
    /// Reads the lines and prints the story.
    pub fn run(self) -> Result<()> {
        if self.id.trim().is_empty() {
            bail!(Error::Refused("write the id of a request".to_owned()));
        }
        let mut story = Story::new(&self.id);
        for file in &self.files {
            let failed = || Error::Refused(format!("{} cannot be read", file.display()));
            let opened = File::open(file).change_context_lazy(failed)?;
            let read = story.read(&file.display().to_string(), BufReader::new(opened));
            read.change_context_lazy(failed)?;
        }
        if self.files.is_empty() {
            let read = story.read("standard input", io::stdin().lock());
            let failed = || Error::Refused("standard input cannot be read".to_owned());
            read.change_context_lazy(failed)?;
        }
        match self.json {
            true => print_json(&story),
            false => print(&story.text()),
        }
        if story.steps.is_empty() {
            bail!(Error::Refused(format!("no line names the request {}", self.id)));
        }
        Ok(())
    }
}
