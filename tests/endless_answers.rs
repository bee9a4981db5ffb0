//! A faulty target sends bytes without end, fast or slowly, to requests of each kind, many at once and also through a
//! router that forwards them. No router may end or grow beyond its memory, and other requests are served.

mod common;
mod fleet_support;
mod gateway_support;
mod roles_support;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use common::process::until;
use common::proxy::{PathMode, Proxy};
use fleet_support::{Announced, Fleet};
use gateway_support::{END, events, header, on_one_thread, read_request, status};
use roles_support::{Vm, ask};
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};

const DOCUMENT: &str = r#"{"version":5,"routes":[
 {"name":"sound","host":"h.example","pathPrefix":"/sound/","kind":"streaming","timeoutMs":8000,
  "targetLatencyMs":4000,"priority":1,"service":"good","maxAttempts":1,"gapTargetMs":300},
 {"name":"look","host":"h.example","pathPrefix":"/look/","kind":"safe","timeoutMs":4000,
  "targetLatencyMs":300,"priority":2,"service":"bad","maxAttempts":2},
 {"name":"order","host":"h.example","pathPrefix":"/order/","kind":"unsafe","timeoutMs":4000,
  "targetLatencyMs":300,"priority":2,"service":"bad","maxAttempts":1},
 {"name":"talk","host":"h.example","pathPrefix":"/talk/","kind":"streaming","timeoutMs":4000,
  "targetLatencyMs":800,"priority":1,"service":"bad","maxAttempts":1,"gapTargetMs":300},
 {"name":"draft","host":"h.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":4000,
  "targetLatencyMs":800,"priority":1,"service":"bad","maxAttempts":2,"resumable":true,
  "gapTargetMs":300}],
 "services":[{"name":"good"},{"name":"bad"}]}"#;
const SOUND: &str = "/sound/x";
/// Routes that lead to the faulty target, of each kind.
const KINDS: [&str; 4] = ["look", "order", "talk", "draft"];
/// Requests of each kind for each manner and speed that are under way at once.
const AT_ONCE: usize = 3;
/// Time between two writes of a slow answer.
const SLOW_GAP: Duration = Duration::from_millis(20);
const FLOOD_BYTES: usize = 16 << 10;
const SLOW_BYTES: usize = 256;
/// Time for which sound requests are sent beside the others, and between two of them.
const SOUND_TIME: Duration = Duration::from_secs(6);
const SOUND_PAUSE: Duration = Duration::from_millis(100);
/// Time of the requests for endless answers.
const DEADLINE: Duration = Duration::from_millis(4_000);
/// Time by which they have ended, also on a busy machine.
const ENDED_BY: Duration = Duration::from_millis(16_000);
/// The memory of the smallest machine on which a router runs.
const MACHINE_BYTES: usize = 160 << 20;

/// How an answer begins, and what follows without end.
fn manner(name: &str) -> (String, &'static str) {
    let head = |fields: &str| {
        format!("HTTP/1.1 200 OK\r\nAttempt-Id: {{id}}\r\nServer-Stamp: s\r\n{fields}")
    };
    let chunked = head("Transfer-Encoding: chunked\r\n\r\n");
    match name {
        "noise" => (String::new(), "nonsense "),
        "status" => ("HTTP/1.1 200 ".to_owned(), "O"),
        "header" => (head("X-A: "), "a"),
        "headers" => (head(""), "X-A: b\r\n"),
        "interim" => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        "size" => (chunked, "0"),
        "extension" => (chunked + "4;", "x"),
        "no-chunk" => (chunked, "nonsense\r\n"),
        "trailers" => (chunked + "0\r\n", "X-A: b\r\n"),
        "event" => (events(1, 1), "4\r\nxxxx\r\n"),
        "chunks" => (chunked, "8\r\ndata: x\n\r\n"),
        "no-length" => (head("\r\n"), "x"),
        other => panic!("no manner {other}"),
    }
}

const MANNERS: [&str; 12] = [
    "noise",
    "status",
    "header",
    "headers",
    "interim",
    "size",
    "extension",
    "no-chunk",
    "trailers",
    "event",
    "chunks",
    "no-length",
];

/// Starts a target that answers probes and sound requests, and others as their paths say.
async fn start_target() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve(stream));
        }
    });
    address
}

async fn serve(mut stream: TcpStream) {
    while let Some(head) = read_request(&mut stream).await {
        let id = header(&head, "attempt-id").unwrap_or_default();
        let path = head.split(' ').nth(1).unwrap_or_default();
        let parts: Vec<&str> = path.split('/').collect();
        match parts[..] {
            ["", kind, name, speed] if KINDS.contains(&kind) => {
                return flood(stream, name, speed, &id).await;
            }
            ["", "sound", _] => {
                let text = (events(1, 3) + END).replace("{id}", &id);
                let _ = stream.write_all(text.as_bytes()).await;
            }
            _ => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
            }
        }
    }
}

/// Writes until the router closes the connection.
async fn flood(mut stream: TcpStream, name: &str, speed: &str, id: &str) {
    let (first, more) = manner(name);
    let is_slow = speed == "slow";
    let bytes = if is_slow { SLOW_BYTES } else { FLOOD_BYTES };
    let chunk = more.repeat(bytes / more.len() + 1);
    let mut is_open = stream.write_all(first.replace("{id}", id).as_bytes()).await.is_ok();
    while is_open {
        match is_slow {
            true => tokio::time::sleep(SLOW_GAP).await,
            false => tokio::task::yield_now().await,
        }
        is_open = stream.write_all(chunk.as_bytes()).await.is_ok();
    }
}

/// The most resident memory that a process has had, in bytes.
fn peak_bytes(vm: &Vm) -> usize {
    let id = vm.process_id().expect("it runs");
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = text.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    let kib: usize = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kib << 10
}

/// Asks for endless answers of each kind, manner and speed. Returns those that did not end in time.
async fn ask_for_floods(to: SocketAddr) -> Vec<String> {
    let mut asked = Vec::new();
    for kind in KINDS {
        for name in MANNERS {
            for speed in ["fast", "slow"] {
                for number in 0..AT_ONCE {
                    asked.push(ask_for_flood(to, format!("/{kind}/{name}/{speed}"), number));
                }
            }
        }
    }
    futures::future::join_all(asked).await.into_iter().flatten().collect()
}

/// Asks for one endless answer. Returns what came of it if it did not end in time.
async fn ask_for_flood(to: SocketAddr, path: String, number: usize) -> Option<String> {
    let id = format!("{}-{number}-{}", path.replace('/', "-"), to.ip());
    let headers = format!("Attempt-Id: {id}\r\nDeadline-Ms: {}\r\n", DEADLINE.as_millis());
    let since = Instant::now();
    let answer = ask(to, "POST", &path, &headers, "b").await;
    let (status, took) = (status(&answer), since.elapsed());
    (took > ENDED_BY || status == 0).then(|| format!("{path}: {status} after {took:?}"))
}

/// Sends sound requests one after another, and returns how many of how many were answered whole.
async fn ask_for_sound(to: SocketAddr) -> (usize, usize) {
    let end = Instant::now() + SOUND_TIME;
    let mut asked = Vec::new();
    while Instant::now() < end {
        let headers = format!("Attempt-Id: s-{:x}\r\nDeadline-Ms: 8000\r\n", rand::random::<u64>());
        asked.push(tokio::task::spawn_local(async move {
            let answer = ask(to, "POST", SOUND, &headers, "b").await;
            status(&answer) == 200 && answer.contains("e3") && answer.ends_with(END)
        }));
        tokio::time::sleep(SOUND_PAUSE).await;
    }
    let answers = futures::future::join_all(asked).await;
    (answers.iter().filter(|whole| *whole.as_ref().unwrap()).count(), answers.len())
}

/// Guards against routers that keep endless answers in memory until they end, and the requests of others with them.
#[test]
fn endless_answers_end_no_router_and_no_other_request() {
    on_one_thread(async {
        let (good, bad) = (start_target().await, start_target().await);
        let paths = Proxy::start(bad).await;
        let announced = |id: &str, address, service| Announced {
            id: id.to_owned(),
            address,
            service,
            software: "v1",
            born: 7,
            slots: 2_000,
            is_leaving: false,
        };
        let targets =
            vec![announced("good-0", good, "good"), announced("bad-0", paths.address, "bad")];
        let mut fleet = Fleet::start("endless", 3, DOCUMENT, targets, SOUND).await;
        // The last router reaches the faulty target through the others alone.
        paths.set_from(fleet.routers[2].ip, PathMode::Reset);
        let forwarding = &fleet.routers[2];
        until("the router knows that it is cut off", async || {
            ask(forwarding.callers(), "POST", "/look/event/slow", "Deadline-Ms: 300\r\n", "b")
                .await;
            forwarding.log().contains("can be reached from here")
        })
        .await;
        let callers = fleet.callers();
        let (floods, sound) = futures::join!(
            futures::future::join_all(callers.iter().map(|to| ask_for_floods(*to))),
            futures::future::join_all(callers.iter().map(|to| ask_for_sound(*to))),
        );
        let peaks: Vec<usize> =
            fleet.routers.iter().map(|router| peak_bytes(router) >> 20).collect();
        println!("MB: {peaks:?}, sound answers: {sound:?}");
        let late: Vec<String> = floods.into_iter().flatten().collect();
        assert!(late.is_empty(), "{late:?}");
        for router in &mut fleet.routers {
            assert_eq!(router.ended(), None, "a router ended");
        }
        assert!(peaks.iter().all(|mb| *mb << 20 < MACHINE_BYTES), "{peaks:?}");
        assert!(sound.iter().all(|(whole, all)| whole == all), "{sound:?}");
    });
}
