//! Tests of the memory limit shared by the bodies of concurrent senders.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use fescuebay::web::intake::{Held, Intake};
use fescuebay::web::server::{self, Answer, Phase};
use fescuebay::web::{self, Error};
use http::StatusCode;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Starts a server that keeps each body in memory, and responds with a status that names the error
/// if reading a body failed.
async fn start_server(
    limit: Duration,
) -> (SocketAddr, Rc<RefCell<Vec<Held>>>, watch::Sender<Phase>) {
    let intake = Intake::new(1_000);
    let kept = Rc::new(RefCell::new(Vec::new()));
    let bodies = Rc::clone(&kept);
    let handler: server::Handler = Rc::new(move |request| {
        let (intake, bodies) = (intake.clone(), Rc::clone(&bodies));
        Box::pin(async move {
            let status = match intake.collect(request.into_body(), 600, limit).await {
                Ok(held) => {
                    bodies.borrow_mut().push(held);
                    StatusCode::OK
                }
                Err(Error::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
                Err(Error::Full) => StatusCode::SERVICE_UNAVAILABLE,
                Err(Error::Timeout) => StatusCode::REQUEST_TIMEOUT,
                Err(_) => StatusCode::BAD_REQUEST,
            };
            Answer::Send(web::empty(status))
        })
    });
    let listener = server::listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let (phase, phases) = watch::channel(Phase::Open);
    let settings = || server::Settings { head_timeout_ms: 60_000, max_head_bytes: 16 << 10 };
    tokio::task::spawn_local(server::serve(listener, settings, handler, phases));
    (address, kept, phase)
}

/// Sends the first `sent` bytes of a body of `length` bytes and returns the response status.
async fn send(to: SocketAddr, length: usize, sent: usize) -> u16 {
    let mut stream = TcpStream::connect(to).await.unwrap();
    let head = format!("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all("x".repeat(sent).as_bytes()).await.unwrap();
    let mut answer = vec![0; 256];
    let count = stream.read(&mut answer).await.unwrap();
    let text = String::from_utf8_lossy(&answer[..count]).into_owned();
    text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
}

fn run_on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Guards against exceeding the shared limit: more bodies arrive at once than the limit allows.
#[test]
fn a_body_over_the_shared_limit_is_refused_until_other_bodies_are_dropped() {
    run_on_one_thread(async {
        let (address, kept, _phase) = start_server(Duration::from_secs(60)).await;
        assert_eq!(send(address, 600, 600).await, 200);
        assert_eq!(send(address, 601, 601).await, 413, "above the limit of one body");
        assert_eq!(
            send(address, 600, 600).await,
            503,
            "the first body leaves too little of the shared limit"
        );
        assert_eq!(
            send(address, 400, 400).await,
            200,
            "the refused body released its share of the limit"
        );
        assert_eq!(kept.borrow()[0].bytes().len(), 600);
        kept.borrow_mut().clear();
        assert_eq!(send(address, 600, 600).await, 200);
    });
}

/// Guards against leaked reservations: senders stop in the middle of a body.
#[test]
fn an_incomplete_body_times_out_and_releases_its_reservation() {
    run_on_one_thread(async {
        let (address, kept, _phase) = start_server(Duration::from_millis(50)).await;
        for _ in 0..20 {
            assert_eq!(send(address, 600, 500).await, 408);
        }
        assert_eq!(send(address, 600, 600).await, 200);
        assert_eq!(kept.borrow().len(), 1);
    });
}

/// Guards against a changed text on the wire: voters send this reason to targets and operators.
#[test]
fn the_reason_of_an_unreadable_body_stays_the_same() {
    run_on_one_thread(async {
        let handler: server::Handler = Rc::new(move |request| {
            let body = Intake::new(1_000);
            Box::pin(async move {
                let limit = Duration::from_secs(60);
                let Err(error) = body.collect(request.into_body(), 600, limit).await else {
                    return Answer::Close;
                };
                let mut response = web::empty(StatusCode::BAD_REQUEST);
                *response.body_mut() = web::whole(error.to_string());
                Answer::Send(response)
            })
        });
        let listener = server::listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        let address = listener.local_addr().unwrap();
        let (_phase, phases) = watch::channel(Phase::Open);
        let settings = || server::Settings { head_timeout_ms: 60_000, max_head_bytes: 16 << 10 };
        tokio::task::spawn_local(server::serve(listener, settings, handler, phases));

        let mut stream = TcpStream::connect(address).await.unwrap();
        let request = b"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n";
        stream.write_all(request).await.unwrap();
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.unwrap();
        let response = String::from_utf8(response).unwrap();
        assert!(response.ends_with("\r\n\r\nthe connection broke"), "{response}");
    });
}
