//! `fescuebay token`: makes a bearer token and the hash that settings files hold.

use super::Result;
use super::output::{print, print_json};
use crate::settings::Secret;

/// Print a new bearer token, and the hash of it for settings files
///
/// Only the hash goes into a settings file; the token goes to whom it is for.
#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Example:\n  fescuebay token\n\n\
    Two tokens of one owner may stand in one line, so that they can be changed one by one:\n  \
    [tenants]\n  adoption-desk = OLD_HASH, NEW_HASH")]
pub(super) struct Args {
    /// Print JSON
    #[arg(long)]
    json: bool,
}

impl Args {
    /// Makes a token.
    pub fn run(self) -> Result<()> {
        let (token, hash) = Secret::generate(&mut rand::rng());
        let (token, sha256) = (token.reveal(), hash.to_hex());
        if self.json {
            print_json(&serde_json::json!({ "token": token, "sha256": sha256 }));
        } else {
            print(&format!("token:  {token}\nsha256: {sha256}"));
        }
        Ok(())
    }
}
