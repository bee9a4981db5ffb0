//! `fescuebay serve` and `fescuebay dev`: run a daemon until it is told to stop.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt as _, bail};
use metrics_exporter_prometheus::PrometheusBuilder;
use tokio::runtime::Runtime;

use super::check::{refused, text};
use super::output::print;
use super::{Error, Result};
use crate::daemon::dev;
use crate::settings::{self, Settings, vm};
use crate::{daemon, logging, stop};

/// Time between two looks whether the daemon has failed.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// Run the daemon of this VM until SIGTERM or SIGINT, then stop gracefully
#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Examples:\n  fescuebay serve --settings /etc/fescuebay/andina-a-1.ini
  FESCUEBAY_BOOT=/etc/fescuebay/vm.ini fescuebay serve --role router")]
pub(super) struct Args {
    /// The settings file of this daemon
    #[arg(long, value_name = "FILE", env = "FESCUEBAY_BOOT")]
    settings: PathBuf,
    /// Run one role alone, from the settings file of a VM: router or voter
    #[arg(long, value_name = "ROLE")]
    role: Option<vm::Role>,
}

/// Run one daemon with three stand-in targets, to try things out
#[derive(Debug)]
#[derive(clap::Args)]
#[command(after_help = "Prints what to try. Ctrl-C stops it and removes its data folder.")]
pub(super) struct DevArgs {}

impl Args {
    /// Runs the daemon.
    pub fn run(self, verbosity: u8) -> Result<()> {
        if let Some(role) = self.role {
            return super::role::run(role, &self.settings, verbosity);
        }
        let settings = match settings::read(&text(&self.settings)?) {
            Ok(settings) => settings,
            Err(problems) => {
                problems.iter().for_each(|problem| print(&problem.to_string()));
                bail!(refused(&problems));
            }
        };
        start_logging(settings.log, verbosity)?;
        let runtime = runtime(settings.daemon.threads)?;
        let signals = handle_signals(&runtime)?;
        runtime.block_on(serve(settings, signals))
    }
}

impl DevArgs {
    /// Runs the daemon and its stand-in targets.
    pub fn run(self, verbosity: u8) -> Result<()> {
        start_logging(settings::Log::default(), verbosity)?;
        let runtime = runtime(settings::THREADS)?;
        let signals = handle_signals(&runtime)?;
        runtime.block_on(run_dev(signals))
    }
}

pub(super) fn failed(step: &str) -> Error {
    Error::Refused(format!("{step} failed"))
}

fn start_logging(log: settings::Log, verbosity: u8) -> Result<()> {
    logging::start(log, verbosity).change_context_lazy(|| failed("start logging"))
}

fn runtime(threads: usize) -> Result<Runtime> {
    let built = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build();
    built.change_context_lazy(|| failed("start the traffic threads"))
}

/// Installs the metrics recorder and returns what renders its text.
pub(super) fn metrics_text() -> Result<Arc<dyn Fn() -> String + Send + Sync>> {
    let handle = PrometheusBuilder::new()
        .install_recorder()
        .change_context_lazy(|| failed("install the metrics recorder"))?;
    Ok(Arc::new(move || {
        handle.run_upkeep();
        handle.render()
    }))
}

/// Handles signals from now on: one that comes while the process starts is kept until it is served.
pub(super) fn handle_signals(runtime: &Runtime) -> Result<stop::Signals> {
    let _context = runtime.enter();
    stop::Signals::register().change_context_lazy(|| failed("listen for signals"))
}

/// Waits for a signal to stop, or until the daemon fails. Returns whether it failed.
async fn until_stopped(daemon: &daemon::Daemon, signals: &mut stop::Signals) -> bool {
    loop {
        tokio::select! {
            request = signals.next() => match request {
                stop::SignalRequest::Stop => return false,
                stop::SignalRequest::Reload => {
                    log::info!("reload: not supported, settings are read at the start alone");
                }
            },
            () = tokio::time::sleep(LOOK_PAUSE) => {}
        }
        if daemon.has_failed() {
            return true;
        }
    }
}

async fn serve(settings: Settings, mut signals: stop::Signals) -> Result<()> {
    let first_change = settings.first_change();
    let started = daemon::serve(settings, first_change, metrics_text()?).await;
    let daemon = started.change_context_lazy(|| failed("start the daemon"))?;
    let has_failed = until_stopped(&daemon, &mut signals).await;
    let stopped = daemon.stop().await;
    stopped.change_context_lazy(|| failed("run the daemon"))?;
    match has_failed {
        true => Err(Report::new(failed("run the daemon"))),
        false => Ok(()),
    }
}

async fn run_dev(mut signals: stop::Signals) -> Result<()> {
    let started = dev::start(metrics_text()?).await;
    let dev = started.change_context_lazy(|| failed("start the daemon"))?;
    print(&dev.suggestions());
    until_stopped(&dev.daemon, &mut signals).await;
    dev.stop().await.change_context_lazy(|| failed("stop the daemon"))
}
