//! Targets that say that they are brittle: one that has to turn away more than a few requests in a second falls
//! over for a time. And callers that press on a fleet of routers before them.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use super::fleet_support::{Announced, Announcements, Fleet};
use super::gateway_support::{END, events, header, read_request, status};
use super::roles_support::ask;

/// Time after targets first say that they are brittle from which they are.
pub const NOTICE: Duration = Duration::from_secs(3);
/// How long a target that fell over is down.
const DOWN: Duration = Duration::from_secs(3);
/// The span in which a target counts the requests that it turns away.
const SPAN: Duration = Duration::from_secs(1);
/// Requests that wait at a target before it is brittle.
const USUAL_WAITING: usize = 12;
/// Time between two looks at which targets are down.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

pub const DOCUMENT: &str = r#"{"version":5,"routes":[
 {"name":"look","host":"h.example","pathPrefix":"/look/","kind":"safe","timeoutMs":1500,
  "targetLatencyMs":500,"priority":2,"service":"app","maxAttempts":2},
 {"name":"order","host":"h.example","pathPrefix":"/order/","kind":"unsafe","timeoutMs":1500,
  "targetLatencyMs":500,"priority":1,"service":"app","maxAttempts":1},
 {"name":"draft","host":"h.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":5000,
  "targetLatencyMs":800,"priority":1,"service":"app","maxAttempts":2,"resumable":true,
  "gapTargetMs":300}],
 "services":[{"name":"app"}]}"#;

/// How targets are.
#[derive(Clone, Copy, Debug)]
pub struct Traits {
    /// Requests that it works on at once.
    pub places: usize,
    /// The number that it announces.
    pub announced_places: u32,
    /// The time that a request takes.
    pub work: Duration,
    /// Requests that may wait at it once it is brittle.
    pub waiting: usize,
    /// Requests that it may turn away in a second.
    pub rejections: u32,
}

/// A target.
pub struct BrittleTarget {
    pub id: String,
    address: SocketAddr,
    traits: Traits,
    /// Since when it says that it is brittle.
    pub brittle_since: Cell<Option<Instant>>,
    places: Semaphore,
    waiting: Cell<usize>,
    rejected: RefCell<Vec<Instant>>,
    /// When it fell over.
    pub falls: RefCell<Vec<Instant>>,
    /// Until when it is down.
    down_until: Cell<Option<Instant>>,
    life: watch::Sender<u64>,
    /// The ids of the requests that it began.
    pub begun: RefCell<Vec<String>>,
}

impl BrittleTarget {
    pub async fn start(number: usize, traits: Traits) -> Rc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let target = Rc::new(Self {
            id: format!("app-{number}"),
            address: listener.local_addr().unwrap(),
            traits,
            brittle_since: Cell::new(None),
            places: Semaphore::new(traits.places),
            waiting: Cell::new(0),
            rejected: RefCell::default(),
            falls: RefCell::default(),
            down_until: Cell::new(None),
            life: watch::Sender::new(1),
            begun: RefCell::default(),
        });
        let shared = Rc::clone(&target);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let target = Rc::clone(&shared);
                tokio::task::spawn_local(async move { target.serve(stream).await });
            }
        });
        target
    }

    pub fn announced(&self) -> Announced {
        Announced {
            id: self.id.clone(),
            address: self.address,
            service: "app",
            software: "v1",
            born: *self.life.borrow(),
            slots: self.traits.announced_places,
            is_leaving: false,
        }
    }

    pub fn is_down(&self) -> bool {
        self.down_until.get().is_some_and(|until| Instant::now() < until)
    }

    /// Whether fewer may wait now than usual.
    fn is_brittle_by_now(&self) -> bool {
        self.brittle_since.get().is_some_and(|since| since.elapsed() >= NOTICE)
    }

    async fn serve(&self, mut stream: TcpStream) {
        let mut life = self.life.subscribe();
        life.mark_unchanged();
        if !self.is_down() {
            tokio::select! {
                () = self.serve_requests(&mut stream) => return,
                _ = life.changed() => {}
            }
        }
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }

    async fn serve_requests(&self, stream: &mut TcpStream) {
        while let Some(head) = read_request(stream).await {
            let id = header(&head, "attempt-id").unwrap_or_default();
            let limit = if self.is_brittle_by_now() { self.traits.waiting } else { USUAL_WAITING };
            let text = if self.places.available_permits() == 0 && self.waiting.get() >= limit {
                if self.reject() {
                    return std::future::pending().await;
                }
                "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    .to_owned()
            } else {
                let work = self.work(&head, &id);
                let mut byte = [0; 1];
                tokio::select! {
                    text = work => text,
                    // It drops a request whose connection closes.
                    _ = stream.read(&mut byte) => return,
                }
            };
            if stream.write_all(self.fill(&text, &id).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn work(&self, head: &str, id: &str) -> String {
        let waits = Counted::begin(&self.waiting);
        let place = self.places.acquire().await;
        drop(waits);
        self.begun.borrow_mut().push(id.to_owned());
        tokio::time::sleep(self.traits.work).await;
        drop(place);
        match head.contains(" /draft/") {
            true => events(1, 3) + END,
            false => "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\n\
                      Content-Length: 2\r\n\r\nok"
                .to_owned(),
        }
    }

    fn fill(&self, text: &str, id: &str) -> String {
        let named = match self.brittle_since.get() {
            Some(_) => format!("\r\nServer-Brittle: {}\r\n", self.traits.rejections),
            None => "\r\n".to_owned(),
        };
        text.replacen("\r\n", &named, 1).replace("{id}", id)
    }

    /// Counts a request that is turned away. Returns whether the target falls over.
    fn reject(&self) -> bool {
        let now = Instant::now();
        let mut rejected = self.rejected.borrow_mut();
        rejected.retain(|at| now < *at + SPAN);
        rejected.push(now);
        if !self.is_brittle_by_now() || rejected.len() <= self.traits.rejections as usize {
            return false;
        }
        rejected.clear();
        self.falls.borrow_mut().push(now);
        self.down_until.set(Some(now + DOWN));
        self.life.send_modify(|life| *life += 1);
        true
    }
}

/// Counts something until it is dropped.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn begin(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A fleet and its targets.
pub struct BrittleFleet {
    pub fleet: Fleet,
    pub targets: Vec<Rc<BrittleTarget>>,
}

impl BrittleFleet {
    pub async fn start(name: &str, routers: usize, targets: usize, traits: Traits) -> Self {
        let mut started = Vec::new();
        for number in 0..targets {
            started.push(BrittleTarget::start(number, traits).await);
        }
        let announced = started.iter().map(|target| target.announced()).collect();
        let fleet = Fleet::start(name, routers, DOCUMENT, announced, "/look/x").await;
        let (targets, announcements) = (started.clone(), Rc::clone(&fleet.targets));
        tokio::task::spawn_local(announce_those_up(targets, announcements));
        Self { fleet, targets: started }
    }

    /// From now on all targets say that they are brittle, or no longer.
    pub fn set_brittle(&self, is_brittle: bool) {
        for target in &self.targets {
            target.brittle_since.set(is_brittle.then(Instant::now));
        }
    }

    /// How often targets have fallen over.
    pub fn falls(&self) -> usize {
        self.targets.iter().map(|target| target.falls.borrow().len()).sum()
    }

    /// How often a request was begun that may run once, the most.
    pub fn most_runs(&self) -> usize {
        let begun = |target: &Rc<BrittleTarget>| target.begun.borrow().clone();
        let mut ids: Vec<String> = self.targets.iter().flat_map(begun).collect();
        ids.retain(|id| id.starts_with("order"));
        ids.sort_unstable();
        ids.chunk_by(|a, b| a == b).map(<[String]>::len).max().unwrap_or(0)
    }

    /// Presses on all routers and returns what came of it.
    pub async fn press(&self, load: Load, length: Duration) -> Vec<Try> {
        press(self.fleet.callers(), load, length).await
    }
}

/// Presses on these routers and returns what came of it.
pub async fn press(routers: Vec<SocketAddr>, load: Load, length: Duration) -> Vec<Try> {
    let end = Instant::now() + length;
    let press_one = |(number, to): (usize, SocketAddr)| {
        tokio::task::spawn_local(async move {
            let mut random = StdRng::seed_from_u64(number as u64);
            let mut open = Vec::new();
            for turn in 0.. {
                if Instant::now() >= end {
                    break;
                }
                for one in 0..load.at_once {
                    let path = load.paths[(number + turn + one) % load.paths.len()];
                    open.push(tokio::task::spawn_local(first_try(to, path)));
                }
                // As callers come that know nothing of each other, unless many come at once everywhere.
                let draw = -random.random_range(f64::EPSILON..1.0).ln();
                let share = if load.at_once > 1 { 1.0 } else { draw };
                tokio::time::sleep(load.pause.mul_f64(share)).await;
            }
            open
        })
    };
    let asking: Vec<_> = routers.into_iter().enumerate().map(press_one).collect();
    let mut tries = Vec::new();
    for one in asking {
        for open in one.await.unwrap() {
            tries.push(open.await.unwrap());
        }
    }
    tries
}

/// How callers press on each router.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// What they ask for by turns.
    pub paths: &'static [&'static str],
    /// How many come at once.
    pub at_once: usize,
    /// The time between two arrivals, on average.
    pub pause: Duration,
}

/// Keeps the announcements of targets that are up.
async fn announce_those_up(targets: Vec<Rc<BrittleTarget>>, announcements: Announcements) {
    loop {
        let up = targets.iter().filter(|target| !target.is_down());
        announcements.replace(up.map(|target| target.announced()).collect());
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// A caller's try.
#[derive(Clone, Debug)]
pub struct Try {
    pub path: &'static str,
    pub sent: Instant,
    pub took: Duration,
    /// 0 without an answer, 1 for one that is not whole.
    pub status: u16,
    pub retry_after_s: Option<f64>,
}

async fn first_try(to: SocketAddr, path: &'static str) -> Try {
    let sent = Instant::now();
    let kind = path.trim_matches('/').split('/').next().unwrap_or_default();
    let id = format!("{kind}-{:x}", rand::random::<u64>());
    let deadline_ms = if kind == "draft" { 5_000 } else { 1_500 };
    let headers = format!("Attempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n");
    let asked = ask(to, "POST", path, &headers, "b");
    let answer = tokio::time::timeout(Duration::from_millis(deadline_ms), asked).await;
    let answer = answer.unwrap_or_default();
    let retry_after_s = header(&answer, "retry-after").and_then(|value| value.parse().ok());
    let status = match status(&answer) {
        200 if !answer.ends_with("ok") && !answer.ends_with(END) => 1,
        status => status,
    };
    Try { path, sent, took: sent.elapsed(), status, retry_after_s }
}
