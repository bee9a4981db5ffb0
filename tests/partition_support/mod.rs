//! Targets behind proxies that tell routers by their addresses, and callers that ask each router for
//! something of each kind.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};

use super::common::proxy::{PathMode, Proxy};
use super::fleet_support::{Announced, Fleet};
use super::gateway_support::{END, events, header, read_request, status};
use super::roles_support::ask;

/// Time after the begin of a cut from which callers of the routers that are cut off are served like others.
pub const CONTACT: Duration = Duration::from_secs(3);
/// How long the paths are cut.
pub const CUT: Duration = Duration::from_secs(12);
/// Time that a target takes for a request.
const WORK: Duration = Duration::from_millis(20);
/// The same for one whose path ends with `/slow`.
const SLOW_WORK: Duration = Duration::from_millis(1_000);

pub const DOCUMENT: &str = r#"{"version":5,"routes":[
 {"name":"look","host":"h.example","pathPrefix":"/look/","kind":"safe","timeoutMs":1500,
  "targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":2},
 {"name":"order","host":"h.example","pathPrefix":"/order/","kind":"unsafe","timeoutMs":1500,
  "targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":1},
 {"name":"draft","host":"h.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":5000,
  "targetLatencyMs":800,"priority":1,"service":"app","maxAttempts":2,"resumable":true,
  "gapTargetMs":300}],
 "services":[{"name":"app"}]}"#;
pub const PROBE: &str = "/look/x";
/// What callers ask for by turns.
const PATHS: [&str; 3] = ["/look/x", "/order/x", "/draft/x"];

/// A target, and the paths that lead to it.
pub struct ReachedTarget {
    id: String,
    pub paths: Proxy,
    /// The ids of requests that it has run.
    pub seen: Rc<RefCell<Vec<String>>>,
    /// Slow streams that ended because their router closed the connection.
    pub left: Rc<Cell<usize>>,
}

impl ReachedTarget {
    async fn start(id: String) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let paths = Proxy::start(listener.local_addr().unwrap()).await;
        let target = Self { id, paths, seen: Rc::default(), left: Rc::default() };
        let (seen, left) = (Rc::clone(&target.seen), Rc::clone(&target.left));
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(serve(stream, Rc::clone(&seen), Rc::clone(&left)));
            }
        });
        target
    }

    fn announced(&self) -> Announced {
        Announced {
            id: self.id.clone(),
            address: self.paths.address,
            service: "app",
            software: "v1",
            born: 7,
            slots: 64,
            is_leaving: false,
        }
    }
}

/// Writes events for as long as the connection lives.
async fn stream_slowly(stream: &mut TcpStream, id: &str, left: &Cell<usize>) {
    let first = events(1, 1).replace("{id}", id);
    let mut is_open = stream.write_all(first.as_bytes()).await.is_ok();
    for number in 2.. {
        if !is_open {
            break;
        }
        tokio::time::sleep(WORK * 5).await;
        let event = format!("id: {number}\ndata: e{number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        is_open = stream.write_all(chunk.as_bytes()).await.is_ok();
    }
    left.set(left.get() + 1);
}

async fn serve(mut stream: TcpStream, seen: Rc<RefCell<Vec<String>>>, left: Rc<Cell<usize>>) {
    while let Some(head) = read_request(&mut stream).await {
        let id = header(&head, "attempt-id").unwrap_or_default();
        if header(&head, "host").as_deref() != Some("probe") {
            seen.borrow_mut().push(id.clone());
        }
        let is_slow = head.contains("/slow ");
        tokio::time::sleep(if is_slow { SLOW_WORK } else { WORK }).await;
        let text = if head.contains(" /draft/") {
            if is_slow {
                stream_slowly(&mut stream, &id, &left).await;
                return;
            }
            events(1, 3) + END
        } else {
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
                .to_owned()
        };
        if stream.write_all(text.replace("{id}", &id).as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A fleet, its targets, and the routers that are cut off, by number.
pub struct PartitionedFleet {
    pub fleet: Fleet,
    pub targets: Vec<ReachedTarget>,
}

impl PartitionedFleet {
    pub async fn start(name: &str, routers: usize, targets: usize) -> Self {
        let mut started = Vec::new();
        for number in 0..targets {
            started.push(ReachedTarget::start(format!("app-{number}")).await);
        }
        let announced = started.iter().map(ReachedTarget::announced).collect();
        let fleet = Fleet::start(name, routers, DOCUMENT, announced, PROBE).await;
        Self { fleet, targets: started }
    }

    /// Changes the paths from these routers to some of the targets.
    pub fn set_paths(
        &self,
        routers: std::ops::Range<usize>,
        targets: std::ops::Range<usize>,
        mode: PathMode,
    ) {
        for router in &self.fleet.routers[routers] {
            for target in &self.targets[targets.clone()] {
                target.paths.set_from(router.ip, mode);
            }
        }
    }

    /// How often each request that may run once was run, the most.
    pub fn most_runs(&self) -> usize {
        let mut ids: Vec<String> =
            self.targets.iter().flat_map(|target| target.seen.borrow().clone()).collect();
        ids.retain(|id| id.starts_with("order"));
        ids.sort_unstable();
        ids.chunk_by(|a, b| a == b).map(<[String]>::len).max().unwrap_or(0)
    }

    /// Asks each router for something of each kind by turns, and returns what came of it.
    pub async fn press(&self, pause: Duration, length: Duration) -> Vec<Try> {
        let end = Instant::now() + length;
        let asking: Vec<_> = self
            .fleet
            .routers
            .iter()
            .enumerate()
            .map(|(number, router)| {
                tokio::task::spawn_local(press_one(number, router.callers(), pause, end))
            })
            .collect();
        let mut tries = Vec::new();
        for one in asking {
            tries.extend(one.await.unwrap());
        }
        tries
    }
}

async fn press_one(router: usize, to: SocketAddr, pause: Duration, end: Instant) -> Vec<Try> {
    let mut open = Vec::new();
    for turn in router.. {
        if Instant::now() >= end {
            break;
        }
        open.push(tokio::task::spawn_local(first_try(router, to, PATHS[turn % PATHS.len()])));
        tokio::time::sleep(pause).await;
    }
    let mut tries = Vec::new();
    for one in open {
        tries.push(one.await.unwrap());
    }
    tries
}

/// A caller's first try.
#[derive(Clone, Debug)]
pub struct Try {
    pub router: usize,
    pub path: &'static str,
    pub sent: Instant,
    pub took: Duration,
    /// 0 without an answer, 1 for one that is not whole.
    pub status: u16,
    pub id: String,
}

async fn first_try(router: usize, to: SocketAddr, path: &'static str) -> Try {
    let sent = Instant::now();
    let kind = path.trim_matches('/').split('/').next().unwrap_or_default();
    let id = format!("{kind}-{:x}", rand::random::<u64>());
    let deadline_ms = if kind == "draft" { 5_000 } else { 1_500 };
    let headers = format!("Attempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n");
    let asked = ask(to, "POST", path, &headers, "b");
    let answer = tokio::time::timeout(Duration::from_millis(deadline_ms), asked).await;
    let answer = answer.unwrap_or_default();
    let status = match status(&answer) {
        200 if !answer.ends_with("ok") && !answer.ends_with(END) => 1,
        status => status,
    };
    Try { router, path, sent, took: sent.elapsed(), status, id }
}

/// How many of some tries were served, and of how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Served {
    pub served: usize,
    pub tries: usize,
}

impl Served {
    pub fn of<'a>(tries: impl Iterator<Item = &'a Try>) -> Self {
        let mut sum = Self { served: 0, tries: 0 };
        for one in tries {
            sum.tries += 1;
            sum.served += usize::from(one.status == 200);
        }
        sum
    }

    pub fn share(self) -> f64 {
        self.served as f64 / self.tries.max(1) as f64
    }
}
