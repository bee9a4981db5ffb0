//! Processes of the built binary, and waiting for what they do.

use std::net::Ipv4Addr;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Longest time that any condition is waited for.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Pause between two looks at a condition.
pub const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// A process that is ended with its owner.
pub struct Process(Child);

impl Process {
    pub fn spawn(command: &mut Command) -> Self {
        Self(command.spawn().unwrap())
    }

    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Its exit code if it has ended; `Some(None)` after a signal.
    pub fn ended(&mut self) -> Option<Option<i32>> {
        self.0.try_wait().unwrap().map(|status| status.code())
    }

    /// Sends a signal by name to this process alone.
    pub fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let sent = Command::new("kill").arg(format!("-{name}")).arg(id).status();
        assert!(sent.unwrap().success());
    }

    /// Waits for its end and returns its exit code.
    pub async fn exit_code(mut self) -> Option<i32> {
        let mut code = None;
        until("the process ends", async || {
            let status = self.0.try_wait().unwrap();
            code = status.and_then(|status| status.code());
            status.is_some()
        })
        .await;
        code
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended is no failure.
        let _ = self.0.kill();
        self.0.wait().unwrap();
    }
}

/// Waits until a condition holds, which a busy machine may delay.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !holds().await {
        assert!(started.elapsed() < PATIENCE, "not in time: {what}");
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// The middle bytes of a loopback network whose first address has this port free.
pub fn free_net(port: u16) -> [u8; 2] {
    loop {
        let net: [u8; 2] = [rand::random_range(2..250), rand::random_range(1..250)];
        let ip = Ipv4Addr::new(127, net[0], net[1], 1);
        if std::net::TcpListener::bind((ip, port)).is_ok() {
            return net;
        }
    }
}
