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

/// Listens for SIGTERM and SIGINT, and calls `reload` at each SIGHUP, on the current `LocalSet`.
///
/// # Errors
/// The system refuses.
pub fn listen(reload: impl Fn() + 'static) -> io::Result<Signal> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (sender, stop) = Signal::by_hand();
    tokio::task::spawn_local(async move {
        while !next(&mut terminate, &mut interrupt, &mut hangup).await {
            reload();
        }
        let _ = sender.send(true);
        // Later signals change nothing, and must not end the process early.
        loop {
            next(&mut terminate, &mut interrupt, &mut hangup).await;
        }
    });
    Ok(stop)
}

/// Waits for a signal; whether it tells to stop.
async fn next(terminate: &mut Unix, interrupt: &mut Unix, hangup: &mut Unix) -> bool {
    tokio::select! {
        _ = terminate.recv() => true,
        _ = interrupt.recv() => true,
        _ = hangup.recv() => false,
    }
}
