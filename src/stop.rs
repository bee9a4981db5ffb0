//! Signals that tell a process to stop, or that its settings file has changed.

use std::io;

use tokio::signal::unix::{Signal as Unix, SignalKind, signal};
use tokio::sync::watch;

/// Tells when the process is to stop. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Signal {
    is_stopping: watch::Receiver<bool>,
}

impl Signal {
    /// Waits until the process is to stop.
    pub async fn wait(&mut self) {
        // A sender that is gone will never tell: the process is about to end.
        let _ = self.is_stopping.wait_for(|is_stopping| *is_stopping).await;
    }

    /// Whether the process is to stop.
    pub fn is_stopping(&self) -> bool {
        *self.is_stopping.borrow()
    }

    /// A signal that is given by hand, for tests.
    pub fn by_hand() -> (watch::Sender<bool>, Self) {
        let (sender, is_stopping) = watch::channel(false);
        (sender, Self { is_stopping })
    }
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// The process is to stop: SIGTERM or SIGINT.
    Stop,
    /// The settings file has changed: SIGHUP.
    Reload,
}

/// The signals that a process handles. Those that arrive before they are asked for are kept.
#[derive(Debug)]
pub struct Signals {
    terminate: Unix,
    interrupt: Unix,
    hangup: Unix,
}

impl Signals {
    /// Handles signals from now on; without this they end the process. Needs a runtime.
    ///
    /// # Errors
    /// The system refuses.
    pub fn register() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Stop,
            _ = self.interrupt.recv() => SignalRequest::Stop,
            _ = self.hangup.recv() => SignalRequest::Reload,
        }
    }
}

/// Waits for signals on the current `LocalSet`, and calls `reload` when the settings have changed.
pub fn listen(mut signals: Signals, reload: impl Fn() + 'static) -> Signal {
    let (sender, stop) = Signal::by_hand();
    tokio::task::spawn_local(async move {
        while signals.next().await == SignalRequest::Reload {
            reload();
        }
        let _ = sender.send(true);
        // Later signals change nothing, and must not end the process early.
        loop {
            signals.next().await;
        }
    });
    stop
}
