//! A fleet of processes before targets that crash while they run some requests, and come back as new
//! incarnations.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::common::process::until;
use super::gateway_support::{END, events, header, status};
use super::roles_support::{Net, Vm, ask, call};

/// Time from which what crashed targets is known to all routers in touch.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Requests with it that may reach targets later.
pub const MAX_LATE: usize = 3;
/// Time for which a crashed target is down.
const DOWN: Duration = Duration::from_secs(2);
/// Time that a target takes until it begins to write an answer.
const WORK: Duration = Duration::from_millis(60);
const ANNOUNCE_PAUSE: Duration = Duration::from_millis(300);
const CONFIG: &str = "/api/config";
const DOCUMENT: &str = r#"{"version":5,"routes":[
 {"name":"look","host":"h.example","pathPrefix":"/look/","kind":"safe","timeoutMs":5000,
  "targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":2},
 {"name":"order","host":"h.example","pathPrefix":"/order/","kind":"unsafe","timeoutMs":5000,
  "targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":1},
 {"name":"draft","host":"h.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":5000,
  "targetLatencyMs":800,"priority":1,"service":"app","maxAttempts":2,"resumable":true,
  "gapTargetMs":300}],
 "services":[{"name":"app"}]}"#;

/// When a target crashes at a request that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// Before the head of its answer.
    BeforeHead,
    /// After the first event of its stream.
    AfterFirstEvent,
}

/// Makes the headers and the body of a request from its number.
pub type Text = fn(u64) -> (String, String);

/// What all targets have in common.
pub struct World {
    /// Text in a request, head or body, that crashes a target.
    poison: Cell<&'static str>,
    crash: Crash,
    /// When requests with that text reached targets.
    pub arrivals: RefCell<Vec<Instant>>,
    /// When targets crashed at such requests.
    pub crashes: RefCell<Vec<Instant>>,
    /// Names of incarnations.
    lives: Cell<u64>,
}

impl World {
    pub fn new(poison: &'static str, crash: Crash) -> Rc<Self> {
        Rc::new(Self {
            poison: Cell::new(poison),
            crash,
            arrivals: RefCell::default(),
            crashes: RefCell::default(),
            lives: Cell::new(0),
        })
    }

    /// The targets are mended: nothing crashes them any more.
    pub fn mend(&self) {
        self.poison.set("never sent");
    }

    /// Arrivals later than [`CONTACT`] after the crash with this number, from 1.
    pub fn late_arrivals(&self, crash: usize) -> usize {
        let Some(at) = self.crashes.borrow().get(crash - 1).copied() else { return 0 };
        self.arrivals.borrow().iter().filter(|arrival| **arrival > at + CONTACT).count()
    }
}

/// One target: what it is called now, and whether it is up.
struct Target {
    address: SocketAddr,
    id: RefCell<String>,
    born: Cell<u64>,
    /// Counts its crashes.
    crashes: watch::Sender<u64>,
    is_up: Cell<bool>,
    world: Rc<World>,
}

impl Target {
    fn new(address: SocketAddr, world: &Rc<World>) -> Rc<Self> {
        let target = Self {
            address,
            id: RefCell::default(),
            born: Cell::new(0),
            crashes: watch::Sender::new(0),
            is_up: Cell::new(true),
            world: Rc::clone(world),
        };
        target.be_born();
        Rc::new(target)
    }

    fn be_born(&self) {
        let life = self.world.lives.get() + 1;
        self.world.lives.set(life);
        self.id.replace(format!("app-{life}"));
        self.born.set(life);
        self.is_up.set(true);
    }

    fn crash(&self) {
        if self.is_up.replace(false) {
            self.world.crashes.borrow_mut().push(Instant::now());
        }
        self.crashes.send_modify(|crashes| *crashes += 1);
    }

    /// Serves until it crashes, is down for a while, and begins anew.
    async fn run(self: Rc<Self>, mut listener: TcpListener) {
        loop {
            let mut crashes = self.crashes.subscribe();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        tokio::task::spawn_local(Rc::clone(&self).serve(stream));
                    }
                    _ = crashes.changed() => break,
                }
            }
            drop(listener);
            tokio::time::sleep(DOWN).await;
            listener = TcpListener::bind(self.address).await.unwrap();
            self.be_born();
        }
    }

    /// Serves one connection; a crash cuts it off.
    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut crashes = self.crashes.subscribe();
        tokio::select! {
            () = self.answer_all(&mut stream) => {}
            _ = crashes.changed() => {}
        }
    }

    async fn answer_all(&self, stream: &mut TcpStream) {
        while let Some(request) = read_whole(stream).await {
            let is_poison = request.contains(self.world.poison.get());
            let id = header(&request, "attempt-id").unwrap_or_default();
            let expected = header(&request, "expect-instance");
            if expected.is_some_and(|expected| expected != *self.id.borrow()) {
                let text = "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n";
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            if is_poison {
                self.world.arrivals.borrow_mut().push(Instant::now());
            }
            tokio::time::sleep(WORK).await;
            let is_stream = request.contains(" /draft/");
            if is_poison {
                if is_stream && self.world.crash == Crash::AfterFirstEvent {
                    let first = events(1, 1).replace("{id}", &id);
                    let _ = stream.write_all(first.as_bytes()).await;
                    tokio::time::sleep(WORK).await;
                }
                return self.crash();
            }
            let text = match is_stream {
                true => events(1, 3) + END,
                false => "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\n\
                          Content-Length: 2\r\n\r\nok"
                    .to_owned(),
            };
            if stream.write_all(text.replace("{id}", &id).as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Reads a request with its body.
async fn read_whole(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(&text, "content-length").and_then(|text| text.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return Some(format!("{head}\r\n\r\n{body}"));
            }
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// Voters, routers, and targets that keep announcing themselves.
pub struct Fleet {
    pub voters: Vec<Vm>,
    pub routers: Vec<Vm>,
    pub world: Rc<World>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Fleet {
    /// Starts three voters, and as many routers and targets as said; returns once all routers serve.
    pub async fn start(name: &str, routers: usize, targets: usize, world: Rc<World>) -> Self {
        let net = Net::new(name, 3);
        let mut voters: Vec<Vm> = (0..3).map(|number| net.voter(number)).collect();
        voters.iter_mut().for_each(Vm::start);
        let first = voters[0].control();
        until("a first document", async || call(first, "PUT", CONFIG, DOCUMENT).await == 200).await;
        let mut routers: Vec<Vm> = (0..routers).map(|number| net.router(10 + number)).collect();
        routers.iter_mut().for_each(Vm::start);
        let mut tasks = Vec::new();
        let mut all = Vec::new();
        for _ in 0..targets {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
            let target = Target::new(listener.local_addr().unwrap(), &world);
            tasks.push(tokio::task::spawn_local(Rc::clone(&target).run(listener)));
            all.push(target);
        }
        let controls = voters.iter().map(Vm::control).collect();
        tasks.push(tokio::task::spawn_local(announce(controls, all)));
        let fleet = Self { voters, routers, world, tasks };
        for router in &fleet.routers {
            let serves = async || send(router.callers(), "/look/x", "", "warm").await == 200;
            until("a router serves", serves).await;
        }
        fleet
    }

    /// Asks each router for something again and again for a while, and returns the statuses.
    pub async fn press(
        &self,
        path: &'static str,
        pause: Duration,
        length: Duration,
        text: Text,
    ) -> Vec<u16> {
        let end = Instant::now() + length;
        let asking: Vec<_> = self
            .routers
            .iter()
            .map(|router| {
                let to = router.callers();
                tokio::task::spawn_local(async move {
                    let mut open = Vec::new();
                    while Instant::now() < end {
                        let (headers, body) = text(rand::random());
                        let one = async move { send(to, path, &headers, &body).await };
                        open.push(tokio::task::spawn_local(one));
                        tokio::time::sleep(pause).await;
                    }
                    open
                })
            })
            .collect();
        let mut statuses = Vec::new();
        for caller in asking {
            for open in caller.await.unwrap() {
                statuses.push(open.await.unwrap());
            }
        }
        statuses
    }
}

/// What came of a run in which requests that crash targets came beside sound ones.
pub struct Outcome {
    pub crashes: usize,
    /// Arrivals of requests that crash targets, later than they must be known.
    pub late: usize,
    /// Share of the sound requests that were served.
    pub sound_share: f64,
}

/// The load: six routers before nine targets, each asked every 800 ms for a request that crashes
/// targets, and every 100 ms for a sound one. What crashes them must be known after `known_after` crashes.
pub async fn press_beside_sound(
    name: &str,
    world: Rc<World>,
    known_after: usize,
    path: &'static str,
    guilty: Text,
    sound: Text,
) -> Outcome {
    let fleet = Fleet::start(name, 6, 9, world).await;
    let length = CONTACT + CONTACT + Duration::from_secs(4);
    let (_, sound) = futures::join!(
        fleet.press(path, Duration::from_millis(800), length, guilty),
        fleet.press(path, Duration::from_millis(100), length, sound),
    );
    let served = sound.iter().filter(|status| **status == 200).count() as f64;
    let outcome = Outcome {
        crashes: fleet.world.crashes.borrow().len(),
        late: fleet.world.late_arrivals(known_after),
        sound_share: served / sound.len() as f64,
    };
    let Outcome { crashes, late, sound_share } = outcome;
    println!(
        "{name}: {crashes} crashes, {late} late arrivals, {sound_share:.2} of the others served"
    );
    outcome
}

/// Sends one request and returns the status; 1 for an answer that is not whole.
pub async fn send(to: SocketAddr, path: &str, headers: &str, body: &str) -> u16 {
    let id: u64 = rand::random();
    let headers = format!("Attempt-Id: {id:x}\r\nDeadline-Ms: 5000\r\n{headers}");
    let text = ask(to, "POST", path, &headers, body).await;
    match status(&text) {
        200 if !text.ends_with("ok") && !text.ends_with(END) => 1,
        status => status,
    }
}

/// Announces the targets that are up to the first voter that takes it, until it is aborted.
async fn announce(voters: Vec<SocketAddr>, targets: Vec<Rc<Target>>) {
    for sequence in 1.. {
        for target in targets.iter().filter(|target| target.is_up.get()) {
            let path = format!("/api/instances/{}", target.id.borrow());
            let word = format!(
                r#"{{"service":"app","address":"{}","zone":"z","version":"v1",
        "slots":64,"state":"ready",
                "sequence":{sequence},"born":{}}}"#,
                target.address,
                target.born.get()
            );
            for voter in &voters {
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
