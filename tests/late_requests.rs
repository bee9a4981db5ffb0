//! Requests that come late in a planned stop of a router: each one that is passed on to a target is answered.

mod common;
mod fleet_support;
mod gateway_support;
mod roles_support;

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet_support::{Announced, Fleet};
use gateway_support::{header, on_one_thread, read_request, status};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const DOCUMENT: &str = r#"{"version":5,"routes":[
 {"name":"look","host":"h.example","pathPrefix":"/look/","kind":"safe","timeoutMs":20000,
  "targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":2},
 {"name":"order","host":"h.example","pathPrefix":"/order/","kind":"unsafe","timeoutMs":20000,
  "targetLatencyMs":300,"priority":2,"service":"app","maxAttempts":1}],
 "services":[{"name":"app"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
 "headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
/// How long the process may take to stop.
const STOP_LIMIT_S: u64 = 8;
/// A request that a connection crosses while it is being closed has not been read.
const CROSSING: Duration = Duration::from_millis(200);
/// Connections that are kept and used, and the time between two requests on one.
const KEPT: usize = 40;
const PAUSE: Duration = Duration::from_millis(90);

/// A target that works for as many ms as the path ends with.
struct Worker {
    address: SocketAddr,
    /// The ids of requests that it was sent.
    seen: Rc<RefCell<Vec<String>>>,
}

impl Worker {
    async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let worker = Self { address: listener.local_addr().unwrap(), seen: Rc::default() };
        let seen = Rc::clone(&worker.seen);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(work(stream, Rc::clone(&seen)));
            }
        });
        worker
    }
}

async fn work(mut stream: TcpStream, seen: Rc<RefCell<Vec<String>>>) {
    while let Some(head) = read_request(&mut stream).await {
        let id = header(&head, "attempt-id").unwrap_or_default();
        seen.borrow_mut().push(id.clone());
        let path = head.split(' ').nth(1).unwrap_or_default();
        let work_ms = path.rsplit('/').next().and_then(|last| last.parse().ok()).unwrap_or(0);
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
        let text = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
        );
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// What became of one request.
#[derive(Debug)]
struct Sent {
    id: String,
    /// Between its last byte and the answer, or the end of the connection.
    took: Duration,
    /// 0 without a whole answer.
    status: u16,
}

/// Reads one response with a length.
async fn read_response(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").and_then(|value| value.parse().ok());
            if body.len() >= length.unwrap_or(0usize) {
                return Some(text);
            }
        }
        let mut more = [0; 4096];
        match stream.read(&mut more).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&more[..count]),
        }
    }
}

/// Sends requests one after the other over kept connections until none can be opened any more.
async fn press(to: SocketAddr, number: usize, work_ms: u64, sent: Rc<RefCell<Vec<Sent>>>) {
    // They begin at different times of the stop.
    tokio::time::sleep(PAUSE * number as u32).await;
    let mut kept: Option<TcpStream> = None;
    for turn in 0.. {
        let stream = match kept.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(to).await {
                Ok(stream) => stream,
                Err(_) => return,
            },
        };
        let kind = if (number + turn).is_multiple_of(2) { "order" } else { "look" };
        let id = format!("{kind}-{number}-{turn}");
        kept = exchange(stream, kind, &id, work_ms, &sent).await;
        tokio::time::sleep(PAUSE).await;
    }
}

/// Sends one request and notes what came of it. Returns the connection if it may be used again.
async fn exchange(
    mut stream: TcpStream,
    kind: &str,
    id: &str,
    work_ms: u64,
    sent: &RefCell<Vec<Sent>>,
) -> Option<TcpStream> {
    let request = format!(
        "POST /{kind}/{work_ms} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: 15000\r\nContent-Length: 1\r\n\r\nb"
    );
    let _ = stream.write_all(request.as_bytes()).await;
    let began = Instant::now();
    let answer = read_response(&mut stream).await;
    let status = answer.as_deref().map_or(0, status);
    sent.borrow_mut().push(Sent { id: id.to_owned(), took: began.elapsed(), status });
    let answer = answer?;
    let is_closing = header(&answer, "connection").is_some_and(|value| value == "close");
    (!is_closing).then_some(stream)
}

/// Stops a router while callers press with requests of this length, on kept connections and on new ones, and checks
/// that each request is answered.
async fn check_stop(name: &str, work_ms: u64) {
    let worker = Worker::start().await;
    let announced = Announced {
        id: "app-1".to_owned(),
        address: worker.address,
        service: "app",
        software: "v1",
        born: 7,
        slots: 400,
        is_leaving: false,
    };
    let mut fleet = Fleet::start(name, 1, DOCUMENT, vec![announced], "/look/0").await;
    let router = &mut fleet.routers[0];
    router.signal("TERM");
    router.exit_code().await;
    let text = std::fs::read_to_string(&router.settings).unwrap();
    let limit = format!("limit_s = {STOP_LIMIT_S}");
    std::fs::write(&router.settings, text.replace("limit_s = 12", &limit)).unwrap();
    router.start();
    let callers = router.callers();
    let is_up = async || roles_support::call(callers, "POST", "/look/0", "b").await == 200;
    common::process::until("the router serves", is_up).await;

    let sent = Rc::new(RefCell::new(Vec::new()));
    let pressing: Vec<_> = (0..KEPT)
        .map(|n| tokio::task::spawn_local(press(callers, n, work_ms, Rc::clone(&sent))))
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    router.signal("TERM");
    assert_eq!(router.exit_code().await, Some(0));
    for caller in pressing {
        caller.await.unwrap();
    }
    let (sent, seen) = (sent.borrow(), worker.seen.borrow());
    let lost: Vec<&Sent> = sent.iter().filter(|one| one.status == 0).collect();
    let passed_on = lost.iter().filter(|one| seen.contains(&one.id)).count();
    let held = lost.iter().filter(|one| one.took > CROSSING).count();
    let mut statuses: Vec<u16> = sent.iter().map(|one| one.status).collect();
    statuses.sort_unstable();
    let counts: Vec<_> = statuses.chunk_by(|a, b| a == b).map(|s| (s[0], s.len())).collect();
    println!("{name}: {counts:?}, without an answer {passed_on} passed on, {held} held");
    assert_eq!((passed_on, held), (0, 0), "{lost:?}");
    let refused: Vec<&Sent> =
        sent.iter().filter(|one| one.status == 503 && seen.contains(&one.id)).collect();
    assert!(refused.is_empty(), "said not to have run, and was sent: {refused:?}");
    assert!(sent.iter().any(|one| seen.contains(&one.id)), "requests were passed on");
}

#[test]
fn short_requests_late_in_a_stop_are_answered() {
    on_one_thread(check_stop("late-short", 60));
}

/// They last for as long as the router goes on once it accepts no more.
#[test]
fn long_requests_late_in_a_stop_are_answered() {
    on_one_thread(check_stop("late-long", 3_000));
}

/// They last longer than the stop.
#[test]
fn requests_that_outlast_a_stop_are_answered_before_its_end() {
    on_one_thread(check_stop("late-outlasting", 9_000));
}
