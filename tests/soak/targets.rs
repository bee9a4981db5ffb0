//! Targets that the soak plays: they announce themselves, answer by their manner, and record.

use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, watch};

use crate::callers::CRASHING_PATH;
use crate::common::proxy::{PathMode, Proxy};
use crate::gateway_support::{END, header, read_request};
use crate::plan::Manner;
use crate::record::{Arrival, Disturbance, Place, Says, Shared, Word};
use crate::report::Promise;
use crate::roles_support::call;

/// Events of a stream, and the pause after each.
pub const EVENTS: usize = 6;
const EVENT_PAUSE: Duration = Duration::from_millis(30);
/// Time between two announcements.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(350);
/// Time for one announcement.
const ANNOUNCE_LIMIT: Duration = Duration::from_millis(400);
/// Bytes of one write of a head without end.
const FLOOD_BYTES: usize = 4 << 10;
/// How long a target is down that a request has crashed.
const DOWN: Duration = Duration::from_millis(700);
/// Time after an answer at which its second copy is sent.
const COPY_PAUSE: Duration = Duration::from_millis(15);

/// One target of the service that all routes lead to.
pub struct Target {
    pub number: usize,
    pub path: Proxy,
    pub manner: Rc<Cell<Manner>>,
    /// Rises with each start.
    pub life: Rc<Cell<u64>>,
    /// Held for as long as it keeps a manner: one after the other.
    pub turn: Mutex<()>,
    /// Whether what it says of itself is held up on its way to the voters.
    pub is_late: Cell<bool>,
    /// Whether it announces nothing of its leaving.
    is_silent: bool,
    down_until: Rc<Cell<Option<Instant>>>,
}

struct Server {
    number: usize,
    manner: Rc<Cell<Manner>>,
    life: Rc<Cell<u64>>,
    /// Until when it is down, and how often it has crashed.
    down_until: Rc<Cell<Option<Instant>>>,
    crashes: watch::Sender<u64>,
    record: Shared,
    /// The promise that this side breaks, to show that the checks see it.
    broken: Option<Promise>,
}

impl Target {
    pub async fn start(number: usize, record: Shared, broken: Option<Promise>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let path = Proxy::start(listener.local_addr().unwrap()).await;
        let (manner, life) = (Rc::new(Cell::new(Manner::Well)), Rc::new(Cell::new(unix_ms())));
        let down_until = Rc::new(Cell::new(None));
        let server = Rc::new(Server {
            number,
            manner: Rc::clone(&manner),
            life: Rc::clone(&life),
            down_until: Rc::clone(&down_until),
            crashes: watch::Sender::new(0),
            record,
            broken,
        });
        tokio::task::spawn_local(async move {
            while let Ok((stream, from)) = listener.accept().await {
                tokio::task::spawn_local(Rc::clone(&server).serve_until_crash(stream, from.ip()));
            }
        });
        let is_silent = broken == Some(Promise::Leaving);
        Self {
            number,
            path,
            manner,
            life,
            turn: Mutex::default(),
            is_late: Cell::new(false),
            is_silent,
            down_until,
        }
    }

    /// Whether a request has crashed it and it is not back yet.
    fn is_down(&self) -> bool {
        self.down_until.get().is_some_and(|until| Instant::now() < until)
    }

    /// Whether nothing that it says of itself reaches voters now.
    fn is_unheard(&self) -> bool {
        self.is_late.get() || self.manner.get() == Manner::LeavingUnheard
    }

    /// Where and what it says of itself.
    fn announcement(&self, sequence: u64) -> (String, String) {
        let life = self.life.get();
        let manner = self.manner.get();
        let is_leaving = matches!(manner, Manner::Leaving | Manner::LeavingUnheard);
        let is_leaving = is_leaving && !self.is_silent;
        let state = if is_leaving { "draining" } else { "ready" };
        let word = format!(
            r#"{{"service":"app","address":"{}","zone":"z","version":"v1",
        "slots":16,"state":"{state}",
            "sequence":{sequence},"born":{life}}}"#,
            self.path.address
        );
        (format!("/api/instances/{}", name(self.number, life)), word)
    }

    /// Begins a new life: it has left, and nothing that it said holds any more.
    pub fn restart(&self) {
        self.life.set(unix_ms().max(self.life.get() + 1));
        self.manner.set(Manner::Well);
        self.path.set(PathMode::Open);
    }
}

pub fn name(number: usize, life: u64) -> String {
    format!("t{number}-{life}")
}

fn unix_ms() -> u64 {
    UNIX_EPOCH.elapsed().unwrap_or_default().as_millis() as u64
}

impl Server {
    /// Serves a connection. A crash resets it, and the target accepts none while it is down.
    async fn serve_until_crash(self: Rc<Self>, mut stream: TcpStream, router: IpAddr) {
        let mut crashes = self.crashes.subscribe();
        let is_down = self.down_until.get().is_some_and(|until| Instant::now() < until);
        if !is_down {
            tokio::select! {
                () = self.serve(&mut stream, router) => return,
                _ = crashes.changed() => {}
            }
        }
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }

    /// A request that crashes whoever runs it has begun: the target is down, and comes back with a new life.
    fn crash(&self, router: IpAddr) {
        let now = Instant::now();
        self.record.crashes.borrow_mut().push((now, self.number, router));
        let from = now;
        let place = Place::Target(self.number);
        let disturbance = Disturbance { place, from, to: now + DOWN, is_planned: false };
        self.record.disturbances.borrow_mut().push(disturbance);
        self.down_until.set(Some(now + DOWN));
        self.life.set(unix_ms().max(self.life.get() + 1));
        self.crashes.send_modify(|count| *count += 1);
    }

    async fn serve(&self, stream: &mut TcpStream, router: IpAddr) {
        while let Some(head) = read_request(stream).await {
            let id = header(&head, "attempt-id").unwrap_or_default();
            let manner = self.manner.get();
            let is_meant =
                header(&head, "expect-instance") == Some(name(self.number, self.life.get()));
            let is_run = is_meant && !matches!(manner, Manner::Pausing(_));
            self.note_arrival(&head, &id, router, is_meant, is_run);
            if !is_meant {
                let text = answer("421 Misdirected", &id, "", "");
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            if is_run && head.contains(CRASHING_PATH) {
                self.crash(router);
                return std::future::pending().await;
            }
            if self.broken == Some(Promise::Crashes) {
                self.record.crashes.borrow_mut().push((Instant::now(), self.number, router));
            }
            let said = self.say(router, manner);
            match self.answer(stream, &head, &id, &said, manner).await {
                Ok(true) => {}
                Ok(false) | Err(_) => return,
            }
        }
    }

    fn note_arrival(&self, head: &str, id: &str, router: IpAddr, is_meant: bool, is_run: bool) {
        let arrival = Arrival {
            at: Instant::now(),
            target: self.number,
            life: self.life.get(),
            router,
            id: id.to_owned(),
            deadline_ms: self.deadline_ms(head),
            is_meant,
            is_run: is_run || self.broken == Some(Promise::NotRunIsTrue),
        };
        let copies = match self.broken {
            Some(Promise::Probes) if id.is_empty() => 100,
            Some(Promise::AtMostOnce | Promise::RetryBudget | Promise::Attempts) => 2,
            _ => 1,
        };
        let mut arrivals = self.record.arrivals.borrow_mut();
        arrivals.extend(std::iter::repeat_n(arrival, copies));
    }

    fn deadline_ms(&self, head: &str) -> Option<u64> {
        let deadline_ms: u64 = header(head, "deadline-ms")?.parse().ok()?;
        let more_ms = if self.broken == Some(Promise::Deadline) { 9_000 } else { 0 };
        Some(deadline_ms + more_ms)
    }

    /// The headers by which the target says something of itself; recorded as said to this router.
    fn say(&self, router: IpAddr, manner: Manner) -> String {
        let (text, says) = match manner {
            Manner::Limited(limit) => (format!("Server-Limit: {limit}\r\n"), Says::Limit(limit)),
            Manner::Leaving | Manner::LeavingUnheard => {
                ("Server-Leaving: 1\r\n".to_owned(), Says::Leaving)
            }
            Manner::Pausing(s) => (format!("Retry-After: {s}\r\n"), Says::PauseS(s)),
            _ => return String::new(),
        };
        let (target, life) = (self.number, self.life.get());
        let word = Word { at: Instant::now(), target, life, router, says };
        self.record.words.borrow_mut().push(word);
        // What is recorded as said and was not cannot be heeded.
        match (self.broken, says) {
            (Some(Promise::Limit), Says::Limit(_))
            | (Some(Promise::Leaving), Says::Leaving)
            | (Some(Promise::Pause), Says::PauseS(_)) => String::new(),
            _ => text,
        }
    }

    /// Answers one request. Returns whether the connection goes on.
    async fn answer(
        &self,
        stream: &mut TcpStream,
        head: &str,
        id: &str,
        said: &str,
        manner: Manner,
    ) -> std::io::Result<bool> {
        if let Manner::Slow(ms) = manner {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        if let Manner::Pausing(_) = manner {
            let text = answer("503 Full", id, &format!("{said}Not-Executed: 1\r\n"), "");
            stream.write_all(text.as_bytes()).await?;
            return Ok(true);
        }
        if manner == Manner::Garbling {
            stream.write_all(b"\x00\xff not an answer\r\n\r\n").await?;
            return Ok(false);
        }
        if manner == Manner::Hanging {
            // Until the router gives up.
            let mut byte = [0; 1];
            let _ = stream.read(&mut byte).await;
            return Ok(false);
        }
        if manner == Manner::Flooding {
            stream.write_all(b"HTTP/1.1 200 OK\r\nX-A: ").await?;
            loop {
                stream.write_all(&[b'a'; FLOOD_BYTES]).await?;
            }
        }
        if head.contains(" /draft/") || head.contains(" /contract/") {
            return self.stream(stream, head, id, said, manner).await;
        }
        let body = match self.broken {
            Some(Promise::OwnAnswer) => "ran another".to_owned(),
            _ => format!("ran {id}"),
        };
        let text = answer("200 OK", id, said, &body);
        if manner == Manner::BreakingOff {
            stream.write_all(&text.as_bytes()[..text.len() - 4]).await?;
            return Ok(false);
        }
        stream.write_all(text.as_bytes()).await?;
        if manner == Manner::AnsweringTwice {
            tokio::time::sleep(COPY_PAUSE).await;
            stream.write_all(text.as_bytes()).await?;
        }
        Ok(true)
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        head: &str,
        id: &str,
        said: &str,
        manner: Manner,
    ) -> std::io::Result<bool> {
        let last = header(head, "last-event-id").and_then(|last| last.parse().ok());
        let first = last.unwrap_or(0) + 1;
        let begin = format!(
            "HTTP/1.1 200 OK\r\n{said}Attempt-Id: {id}\r\nServer-Stamp: s\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(begin.as_bytes()).await?;
        for number in first..=EVENTS {
            if manner == Manner::BreakingOff && number > first + 1 {
                return Ok(false);
            }
            let skipped = usize::from(self.broken == Some(Promise::StreamOrder) && number > 3);
            let event = format!("id: {}\ndata: {id}/{}\n\n", number, number + skipped);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
            tokio::time::sleep(EVENT_PAUSE).await;
        }
        stream.write_all(END.as_bytes()).await?;
        Ok(true)
    }
}

fn answer(status: &str, id: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Attempt-Id: {id}\r\nServer-Stamp: s\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Announces all targets to any voter, until it is aborted. What is late is sent as it was written.
pub async fn announce(voters: Vec<SocketAddr>, targets: Rc<Vec<Rc<Target>>>) {
    let mut held: Vec<(Rc<Target>, String, String)> = Vec::new();
    for sequence in 1_u64.. {
        for target in targets.iter().filter(|target| !target.is_down()) {
            let (path, word) = target.announcement(sequence);
            if target.is_unheard() {
                held.push((Rc::clone(target), path, word));
                continue;
            }
            say(&voters, &path, &word).await;
        }
        // The newest first: what is older than the last one changes nothing.
        while let Some(at) = held.iter().rposition(|(target, ..)| !target.is_unheard()) {
            let (_, path, word) = held.remove(at);
            say(&voters, &path, &word).await;
        }
        tokio::time::sleep(ANNOUNCE_PAUSE).await;
    }
}

async fn say(voters: &[SocketAddr], path: &str, word: &str) {
    for voter in voters {
        let told = call(*voter, "PUT", path, word);
        if tokio::time::timeout(ANNOUNCE_LIMIT, told).await == Ok(200) {
            return;
        }
    }
}

/// Used by the report to name a moment.
pub fn clock_text() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}.{:03}", since.as_secs() % 86_400, since.subsec_millis())
}
