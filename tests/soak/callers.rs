//! Callers that keep connections until they end, and record what they get.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::gateway_support::{header, status};
use crate::record::{Asked, Ending, Kind, Shared};
use crate::report::Promise;

/// Longest time that a caller waits for the end of an answer.
const PATIENCE: Duration = Duration::from_secs(7);
/// Time that a caller gives the system.
pub const DEADLINE_MS: u64 = 4_000;
/// Longest time for a new connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// What is asked for by requests that crash the targets that run them.
pub const CRASHING_PATH: &str = "/look/crash";

/// Part of the requests whose caller leaves before their end, and after how long.
const LEAVING_PART: f64 = 0.03;
const LEAVING_MS: std::ops::Range<u64> = 30..300;

/// One caller, which sends one request after the other over connections that it keeps.
pub struct Caller {
    /// Where it connects.
    pub path: SocketAddr,
    /// The router behind that.
    pub router: IpAddr,
    pub seed: u64,
    /// Whether it goes on.
    pub is_open: Rc<Cell<bool>>,
    pub record: Shared,
}

impl Caller {
    pub async fn run(self) {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut kept: Option<TcpStream> = None;
        while self.is_open.get() {
            tokio::time::sleep(Duration::from_millis(rng.random_range(5..160))).await;
            let stream = match kept.take() {
                Some(stream) => stream,
                None => match self.connect().await {
                    Some(stream) => stream,
                    None => continue,
                },
            };
            kept = self.ask(stream, &mut rng).await;
            if rng.random_bool(0.05) {
                kept = None;
            }
        }
    }

    async fn connect(&self) -> Option<TcpStream> {
        let opened = TcpStream::connect(self.path);
        tokio::time::timeout(CONNECT_LIMIT, opened).await.ok()?.ok()
    }

    /// Sends one request. Returns the connection if it may be used again.
    async fn ask(&self, mut stream: TcpStream, rng: &mut StdRng) -> Option<TcpStream> {
        let (kind, path) = match rng.random_range(0..4) {
            0 => (Kind::Safe, "/look/x"),
            1 => (Kind::Unsafe, "/order/x"),
            2 => (Kind::Stream, "/draft/x"),
            _ => (Kind::ResumableStream, "/contract/x"),
        };
        let id = format!("{:x}", rng.random::<u64>());
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 1\r\n\r\nb"
        );
        let is_leaving = rng.random_bool(LEAVING_PART);
        let patience = match is_leaving {
            true => Duration::from_millis(rng.random_range(LEAVING_MS)),
            false => PATIENCE,
        };
        let sent = Instant::now();
        let ending = match stream.write_all(text.as_bytes()).await {
            Ok(()) => match tokio::time::timeout(patience, read_answer(&mut stream)).await {
                Ok(ending) => ending,
                Err(_) if is_leaving => Ending::Left,
                Err(_) => Ending::Unanswered,
            },
            Err(_) => Ending::None,
        };
        let goes_on = match &ending {
            Ending::Whole { head, .. } => {
                header(head, "connection").is_none_or(|value| value != "close")
            }
            Ending::Cut | Ending::None | Ending::Unanswered | Ending::Left => false,
        };
        let (ended, ending) = self.falsify(Instant::now(), ending);
        let asked = Asked { id, kind, router: self.router, sent, ended, ending };
        self.record.asked.borrow_mut().push(asked);
        goes_on.then_some(stream)
    }

    /// Changes what is recorded where the soak's own side is to break a promise.
    fn falsify(&self, ended: Instant, ending: Ending) -> (Instant, Ending) {
        match self.record.broken.get() {
            Some(Promise::Timeout) => (ended + PATIENCE, ending),
            Some(Promise::Recovery | Promise::NotLost) => (ended + PATIENCE, Ending::Cut),
            Some(Promise::CutOff) if self.record.cut_off.borrow().contains(&self.router) => {
                (ended, Ending::Cut)
            }
            Some(Promise::Gone) => (ended - PATIENCE, Ending::Left),
            _ => (ended, ending),
        }
    }
}

/// Sends one request with the content that crashes targets, over a connection of its own.
pub async fn ask_crashing(path: SocketAddr) {
    let Ok(mut stream) = TcpStream::connect(path).await else { return };
    let id = format!("crash-{:x}", rand::random::<u64>());
    let text = format!(
        "POST {CRASHING_PATH} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 1\r\n\r\nb"
    );
    if stream.write_all(text.as_bytes()).await.is_ok() {
        let _ = tokio::time::timeout(PATIENCE, read_answer(&mut stream)).await;
    }
}

/// Reads one answer to its end.
async fn read_answer(stream: &mut TcpStream) -> Ending {
    let mut bytes = Vec::new();
    let mut more = [0; 4 << 10];
    loop {
        if let Some(ending) = parse(&bytes) {
            return ending;
        }
        match stream.read(&mut more).await {
            Ok(0) | Err(_) if bytes.is_empty() => return Ending::None,
            Ok(0) | Err(_) => return Ending::Cut,
            Ok(count) => bytes.extend_from_slice(&more[..count]),
        }
    }
}

/// A whole answer, if `bytes` are one.
fn parse(bytes: &[u8]) -> Option<Ending> {
    let text = String::from_utf8_lossy(bytes);
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let whole =
        |body: String| Some(Ending::Whole { status: status(head), head: head.to_owned(), body });
    if header(head, "transfer-encoding").is_some() {
        let (events, _) = rest.strip_suffix("0\r\n\r\n").map(|events| (events, ()))?;
        return whole(unchunked(events));
    }
    let length: usize = header(head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    if rest.len() < length { None } else { whole(rest.to_owned()) }
}

/// The data of chunks.
fn unchunked(mut text: &str) -> String {
    let mut data = String::new();
    while let Some((size, rest)) = text.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break };
        let Some(part) = rest.get(..size) else { break };
        data.push_str(part);
        text = rest.get(size + 2..).unwrap_or_default();
    }
    data
}
