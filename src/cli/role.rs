//! `fescuebay serve --role`: run one role on a VM, on one thread.

use std::cell::RefCell;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;

use error_stack::{ResultExt as _, bail};
use tokio::sync::watch;
use tokio::task::LocalSet;

use super::check::{refused, text};
use super::output::print;
use super::serve::{failed, handle_signals, metrics_text};
use super::{Error, Result};
use crate::coordinator::client::VoterClient;
use crate::coordinator::daemon_at;
use crate::settings::vm::{self, Role, Settings};
use crate::web::server;
use crate::{coordinator, gateway, logging, platform, stop, web};

/// Longest time between two questions for metrics on one connection.
const METRICS_HEAD_MS: u64 = 60_000;
/// Largest head of a question for metrics, in bytes.
const METRICS_HEAD_BYTES: usize = 8 << 10;

/// Runs a role until the process is told to stop.
pub(super) fn run(role: Role, file: &Path, verbosity: u8) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.change_context_lazy(|| failed("start the runtime"))?;
    let signals = handle_signals(&runtime)?;
    let settings = read(role, file)?;
    let lines = logging::start_events(verbosity).change_context_lazy(|| failed("start logging"))?;
    // A task that panics ends alone, so it has to be told.
    std::panic::set_hook(Box::new(|panic| log::error!("a task has failed: {panic}")));
    log::info!("start: {role} {} in {}", settings.vm.ip, settings.vm.availability_zone);
    let ran = LocalSet::new().block_on(&runtime, serve(settings, signals, file.to_owned()));
    log::info!("stop: {role}, {}", if ran.is_ok() { "as asked" } else { "after a failure" });
    // The thread that writes lines ends with the process, so what it has not written is written here.
    let _ = std::io::stdout().write_all(&lines.take());
    ran
}

fn read(role: Role, file: &Path) -> Result<Settings> {
    match vm::read(&text(file)?) {
        Ok(settings) if settings.vm.role == role => Ok(settings),
        Ok(settings) => {
            let what = format!("the settings are those of a {}", settings.vm.role);
            Err(error_stack::Report::new(Error::Refused(what)))
        }
        Err(problems) => {
            problems.iter().for_each(|problem| print(&problem.to_string()));
            bail!(refused(&problems));
        }
    }
}

async fn serve(settings: Settings, signals: stop::Signals, file: PathBuf) -> Result<()> {
    let client = gateway::client(&settings);
    let reloaded = RefCell::new(Rc::clone(&client));
    let role = settings.vm.role;
    let stop = stop::listen(signals, move || reload(role, &file, &reloaded.borrow()));
    serve_metrics(&settings)?;
    match role {
        Role::Router => {
            let parts = gateway::Dependencies { protocol: &platform::REQUESTS };
            let ran = gateway::run(&settings, client, parts, stop).await;
            ran.change_context_lazy(|| failed("run the router"))
        }
        Role::Voter => {
            let parts = coordinator::Dependencies {
                protocol: &platform::CALLS,
                decode: platform::document::decode,
                engines: Rc::new(platform::engine::EngineHttpClient::new(settings.vm.ip)),
            };
            let ran = coordinator::run(&settings, client, parts, stop).await;
            ran.change_context_lazy(|| failed("run the voter"))
        }
    }
}

/// Takes from a changed settings file what may change while the process runs: whom to ask first.
fn reload(role: Role, file: &Path, client: &VoterClient) {
    match read(role, file) {
        Ok(settings) => {
            let first = settings.group.first.iter().map(|ip| daemon_at(*ip)).collect();
            log::info!("reload: the first voters are {first:?}");
            client.set_seed_voters(first);
        }
        Err(report) => log::warn!("reload: the settings file is not taken: {report}"),
    }
}

/// Serves metrics for as long as the process runs.
fn serve_metrics(settings: &Settings) -> Result<()> {
    let render: Arc<dyn Fn() -> String + Send + Sync> = metrics_text()?;
    let address = SocketAddr::new(settings.vm.ip, settings.vm.metrics_port);
    let listener = server::listen(address)
        .change_context_lazy(|| failed("listen for questions for metrics"))?;
    let handler = server::handler(move |_| {
        let response = http::Response::new(web::whole(render()));
        std::future::ready(Ok(response))
    });
    let head = || server::Settings {
        head_timeout_ms: METRICS_HEAD_MS,
        max_head_bytes: METRICS_HEAD_BYTES,
    };
    tokio::task::spawn_local(async move {
        let (_open, phases) = watch::channel(server::Phase::Open);
        server::serve(listener, head, handler, phases).await;
    });
    Ok(())
}
