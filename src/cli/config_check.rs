//! `fescuebay config check`: reviews a document of routes and services before it is sent.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::PathBuf;

use error_stack::{Report, ResultExt as _, bail};
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::Full;
use tokio::task::LocalSet;

use super::check::text;
use super::connection::block_on;
use super::output::{print, print_json};
use super::{Error, Result};
use crate::platform::document;
use crate::routes::Document;
use crate::routes::review::{self, Finding, Severity};
use crate::web::client;

/// Timeout of reading the document in force.
const TIMEOUT_MS: u64 = 5_000;
/// Largest document that is read.
const MAX_DOCUMENT_BYTES: usize = 16 << 20;
/// Where voters serve the document.
const DOCUMENT_PATH: &str = "/api/config";

/// Look into a document of routes and services
#[derive(Debug)]
#[derive(clap::Subcommand)]
pub(super) enum Command {
    Check(CheckArgs),
}

/// Print errors of a document, what of it has no effect, and what it changes
#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Examples:\n  fescuebay config check routes.json
  fescuebay config check routes.json --against 10.0.0.5:7100")]
pub(super) struct CheckArgs {
    /// The document
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// Show what differs from the document in force at this voter
    #[arg(long, value_name = "ADDRESS")]
    against: Option<SocketAddr>,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

impl Command {
    /// Runs the command.
    pub fn run(self) -> Result<()> {
        match self {
            Command::Check(args) => args.run(),
        }
    }
}

impl CheckArgs {
    fn run(self) -> Result<()> {
        let findings = self.findings()?;
        match self.json {
            true => print_json(&findings),
            false => print(&as_text(&findings)),
        }
        let errors = findings.iter().filter(|found| found.severity == Severity::Error).count();
        if errors > 0 {
            bail!(Error::Refused("the document would be refused".to_owned()));
        }
        Ok(())
    }

    fn findings(&self) -> Result<Vec<Finding>> {
        let new = match document::decode(text(&self.file)?.as_bytes()) {
            Ok(new) => new,
            Err(report) => return Ok(vec![Finding::of_error(report.current_context())]),
        };
        let mut findings = review::review(&new);
        if let Some(address) = self.against {
            let old = block_on(async { LocalSet::new().run_until(read_document(address)).await })?;
            findings.extend(review::compare(&old, &new));
        }
        Ok(findings)
    }
}

fn as_text(findings: &[Finding]) -> String {
    let line = |found: &Finding| {
        let severity = match found.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
            Severity::Change => "change",
        };
        format!("{severity}: {}: {}\n", found.place, found.what)
    };
    match findings {
        [] => "ok".to_owned(),
        _ => findings.iter().map(line).collect(),
    }
}

/// Reads the document in force from a voter.
async fn read_document(address: SocketAddr) -> Result<Document> {
    let unreachable = |what: String| Error::Unreachable(format!("{address}: {what}"));
    let own_ip: IpAddr = match address {
        SocketAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        SocketAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    let mut request = Request::new(Full::default());
    *request.uri_mut() = http::Uri::from_static(DOCUMENT_PATH);
    request.headers_mut().insert(header::HOST, HeaderValue::from_static("voter"));
    let asked = client::ask(own_ip, address, request, TIMEOUT_MS, MAX_DOCUMENT_BYTES).await;
    let response = asked.map_err(|error| Report::new(unreachable(error.to_string())))?;
    if response.status() != StatusCode::OK {
        bail!(unreachable(format!("it has no document, status {}", response.status().as_u16())));
    }
    let unreadable = || Error::Refused(format!("the document of {address} cannot be read"));
    document::decode(response.body()).change_context_lazy(unreadable)
}
