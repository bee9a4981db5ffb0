//! A fleet of processes before targets that name rate limits, and callers that press on it.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::common::process::until;
use super::common::proxy::{PathMode, Proxy};
use super::gateway_support::{END, events, header, read_request, status};
use super::roles_support::{Net, Vm, ask, call};

/// The length of the sliding window in which requests are counted.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Time after a limit is first named from which it must be kept.
pub const NOTICE: Duration = Duration::from_secs(3);
/// Time between two announcements of a target.
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(400);

const DOCUMENT: &str = r#"{"version":5,"routes":[
 {"name":"look","host":"h.example","pathPrefix":"/look/","kind":"safe","timeoutMs":5000,
  "targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":2},
 {"name":"order","host":"h.example","pathPrefix":"/order/","kind":"unsafe","timeoutMs":5000,
  "targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":1},
 {"name":"draft","host":"h.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":5000,
  "targetLatencyMs":800,"priority":1,"service":"app","maxAttempts":2,"resumable":true,
  "gapTargetMs":300}],
 "services":[{"name":"app"}]}"#;
const CONFIG: &str = "/api/config";

/// A target that names a limit while it has one.
pub struct LimitedTarget {
    pub id: String,
    pub address: SocketAddr,
    /// The limit that it names, in requests a second.
    pub limit: Rc<Cell<Option<f64>>>,
    /// How it answers.
    pub manner: Rc<Cell<Manner>>,
    /// When requests reached it.
    pub arrivals: Rc<RefCell<Vec<Instant>>>,
}

/// How a target answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// With a whole answer, or a whole stream of three events.
    Well,
    /// It turns every request away without having run it.
    Refusing,
    /// It breaks off every answer after its head.
    BreakingOff,
}

impl LimitedTarget {
    pub async fn start(id: &str, limit: Option<f64>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let target = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            limit: Rc::new(Cell::new(limit)),
            manner: Rc::new(Cell::new(Manner::Well)),
            arrivals: Rc::default(),
        };
        let (limit, manner) = (Rc::clone(&target.limit), Rc::clone(&target.manner));
        let arrivals = Rc::clone(&target.arrivals);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (limit, manner) = (Rc::clone(&limit), Rc::clone(&manner));
                tokio::task::spawn_local(serve(stream, limit, manner, Rc::clone(&arrivals)));
            }
        });
        target
    }

    /// Requests that reached it since `from`.
    pub fn since(&self, from: Instant) -> usize {
        self.arrivals.borrow().iter().filter(|at| **at >= from).count()
    }

    /// The most requests in any window that begins at `from` or later.
    pub fn most_in_window(&self, from: Instant) -> usize {
        let arrivals = self.arrivals.borrow();
        let later: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
        let count = |begin: &Instant| {
            later.iter().filter(|at| *at >= begin && **at < *begin + WINDOW).count()
        };
        later.iter().map(count).max().unwrap_or_default()
    }
}

/// The most requests that a limit allows in one window.
pub fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5
}

async fn serve(
    mut stream: TcpStream,
    limit: Rc<Cell<Option<f64>>>,
    manner: Rc<Cell<Manner>>,
    arrivals: Rc<RefCell<Vec<Instant>>>,
) {
    while let Some(head) = read_request(&mut stream).await {
        arrivals.borrow_mut().push(Instant::now());
        let id = header(&head, "attempt-id").unwrap_or_default();
        let named = limit.get().map_or_else(String::new, |l| format!("Server-Limit: {l}\r\n"));
        let is_stream = head.contains(" /draft/");
        let begin = "HTTP/1.1 200 OK\r\n";
        let text = match (manner.get(), is_stream) {
            (Manner::Well, true) => events(1, 3) + END,
            (Manner::BreakingOff, true) => events(1, 1),
            (Manner::Well, false) => {
                format!(
                    "{begin}Attempt-Id: {{id}}\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
                )
            }
            (Manner::BreakingOff, false) => {
                format!(
                    "{begin}Attempt-Id: {{id}}\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nok"
                )
            }
            (Manner::Refusing, _) => "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\
                                      Content-Length: 0\r\n\r\n"
                .to_owned(),
        };
        let text = text.replacen("\r\n", &format!("\r\n{named}"), 1).replace("{id}", &id);
        if stream.write_all(text.as_bytes()).await.is_err() || manner.get() == Manner::BreakingOff {
            return;
        }
    }
}

/// Voters, routers, and targets that keep announcing themselves.
pub struct Fleet {
    pub voters: Vec<Vm>,
    /// The paths from other daemons to each voter.
    pub peer_paths: Vec<Proxy>,
    pub routers: Vec<Vm>,
    pub targets: Vec<LimitedTarget>,
    announcing: JoinHandle<()>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.announcing.abort();
    }
}

impl Fleet {
    /// Starts three voters, this many routers, and the targets; returns once all routers serve.
    pub async fn start(name: &str, routers: usize, targets: Vec<LimitedTarget>) -> Self {
        let net = Net::with_proxies(name, 3);
        let mut peer_paths = Vec::new();
        for number in 0..3 {
            peer_paths.push(net.proxy(number).await);
        }
        let mut voters: Vec<Vm> = (0..3).map(|number| net.voter(number)).collect();
        voters.iter_mut().for_each(Vm::start);
        let first = voters[0].control();
        until("a first document", async || call(first, "PUT", CONFIG, DOCUMENT).await == 200).await;
        let mut routers: Vec<Vm> = (0..routers).map(|number| net.router(10 + number)).collect();
        routers.iter_mut().for_each(Vm::start);
        let controls = voters.iter().map(Vm::control).collect();
        let words = targets.iter().map(|target| (target.id.clone(), target.address)).collect();
        let announcing = tokio::task::spawn_local(announce(controls, words));
        let fleet = Self { voters, peer_paths, routers, targets, announcing };
        for router in &fleet.routers {
            until("a router serves", async || fleet.request(router, "/look/x").await.status == 200)
                .await;
        }
        fleet
    }

    /// Sends one request to a router and waits for the whole answer.
    pub async fn request(&self, router: &Vm, path: &str) -> Answer {
        request(router.callers(), path).await
    }

    /// The voter that leads: it is named in the answer to an announcement.
    pub async fn leader(&self) -> usize {
        let mut leader = None;
        until("a leader is named", async || {
            for voter in &self.voters {
                let word = word(self.targets[0].address, 0);
                let path = format!("/api/instances/{}", self.targets[0].id);
                let found = ask(voter.control(), "PUT", &path, "", &word).await;
                let named = |vm: &Vm| found.contains(&format!("\"{}\"", vm.control()));
                leader = leader.or(self.voters.iter().position(named));
            }
            leader.is_some()
        })
        .await;
        leader.unwrap()
    }

    /// Changes all paths from a router to voters.
    pub fn set_paths_from(&self, router: usize, mode: PathMode) {
        let ip = self.routers[router].ip;
        self.peer_paths.iter().for_each(|path| path.set_from(ip, mode));
    }

    /// Presses on all routers for a while, each caller with its next request `pause` after the
    /// last one began, and returns the answers.
    pub async fn press(
        &self,
        path: &'static str,
        pause: Duration,
        length: Duration,
    ) -> Vec<Answer> {
        let callers: Vec<SocketAddr> = self.routers.iter().map(Vm::callers).collect();
        press(callers, path, pause, length).await
    }
}

/// Presses on these routers for a while.
pub async fn press(
    routers: Vec<SocketAddr>,
    path: &'static str,
    pause: Duration,
    length: Duration,
) -> Vec<Answer> {
    let end = Instant::now() + length;
    let ask_one = |to: SocketAddr| {
        tokio::task::spawn_local(async move {
            let mut open = Vec::new();
            while Instant::now() < end {
                open.push(tokio::task::spawn_local(request(to, path)));
                tokio::time::sleep(pause).await;
            }
            open
        })
    };
    let asking: Vec<_> = routers.into_iter().map(ask_one).collect();
    let mut answers = Vec::new();
    for caller in asking {
        for open in caller.await.unwrap() {
            answers.push(open.await.unwrap());
        }
    }
    answers
}

/// What a caller got, and after how long.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub retry_after_s: Option<f64>,
    pub is_whole: bool,
    pub took: Duration,
}

async fn request(to: SocketAddr, path: &str) -> Answer {
    let began = Instant::now();
    let id: u64 = rand::random();
    let text =
        ask(to, "POST", path, &format!("Attempt-Id: {id:x}\r\nDeadline-Ms: 5000\r\n"), "b").await;
    Answer {
        status: status(&text),
        retry_after_s: header(&text, "retry-after").and_then(|value| value.parse().ok()),
        is_whole: text.ends_with("ok") || text.ends_with(END),
        took: began.elapsed(),
    }
}

fn word(address: SocketAddr, sequence: u64) -> String {
    format!(
        r#"{{"service":"app","address":"{address}","zone":"z","version":"v1",
        "slots":64,"state":"ready",
        "sequence":{sequence},"born":7}}"#
    )
}

/// Announces targets to the first voter that takes it, until it is aborted.
async fn announce(voters: Vec<SocketAddr>, targets: Vec<(String, SocketAddr)>) {
    for sequence in 1.. {
        for (id, address) in &targets {
            let path = format!("/api/instances/{id}");
            for voter in &voters {
                let word = word(*address, sequence);
                let taken = call(*voter, "PUT", &path, &word);
                let taken = tokio::time::timeout(Duration::from_millis(300), taken).await;
                if taken == Ok(200) {
                    break;
                }
            }
        }
        tokio::time::sleep(ANNOUNCE_PAUSE).await;
    }
}
