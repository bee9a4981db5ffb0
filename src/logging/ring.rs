//! A bounded buffer for log lines: whoever logs never waits for the reader of standard output.
//!
//! A thread of its own writes the lines. When it falls behind, lines are dropped and counted, and
//! the count is written once there is room again.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Bytes of lines that may wait.
const CAPACITY_BYTES: usize = 256 << 10;
/// Time for which lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(150);
/// Time after which lines that could not be written are tried again: the disk that they go to may be full.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

#[derive(Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    has_lines: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self) -> Waiting {
        std::mem::take(&mut *self.lock())
    }
}

/// The end that lines are put into.
#[derive(Clone)]
pub struct Ring {
    shared: Arc<Shared>,
}

impl Ring {
    /// A ring whose lines a thread writes to `output`.
    ///
    /// # Errors
    /// The system refuses a thread.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let drained = Arc::clone(&shared);
        thread::Builder::new().name("log".to_owned()).spawn(move || drain(&drained, output))?;
        Ok(Self { shared })
    }

    /// The lines that wait, for the end of the process.
    pub fn take(&self) -> Vec<u8> {
        self.shared.take().bytes
    }
}

impl Write for Ring {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut waiting = self.shared.lock();
        if waiting.bytes.len() + line.len() > CAPACITY_BYTES {
            waiting.dropped += 1;
            return Ok(line.len());
        }
        let was_empty = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line);
        drop(waiting);
        if was_empty {
            self.shared.has_lines.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn drain(shared: &Shared, mut output: impl Write) {
    loop {
        let waiting = shared.lock();
        let is_idle = |waiting: &mut Waiting| waiting.bytes.is_empty();
        let waiting = shared.has_lines.wait_while(waiting, is_idle);
        drop(waiting.unwrap_or_else(PoisonError::into_inner));
        thread::sleep(GATHER);
        let mut waiting = shared.take();
        if waiting.dropped > 0 {
            let line = format!("{{\"level\":\"warn\",\"lines_dropped\":{}}}\n", waiting.dropped);
            waiting.bytes.extend_from_slice(line.as_bytes());
            metrics::counter!("fescuebay_log_lines_dropped_total").increment(waiting.dropped);
        }
        write_out(&mut output, &waiting.bytes);
    }
}

/// Writes all bytes, and tries again where that fails. What is logged meanwhile waits, or is dropped and counted.
fn write_out(output: &mut impl Write, mut bytes: &[u8]) {
    while !bytes.is_empty() {
        match output.write(bytes) {
            Ok(count) if count > 0 => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Ok(_) | Err(_) => pause_after_failure(),
        }
    }
    while output.flush().is_err() {
        pause_after_failure();
    }
}

fn pause_after_failure() {
    metrics::counter!("fescuebay_log_write_failures_total").increment(1);
    thread::sleep(RETRY_PAUSE);
}
