//! The listener: invalid connections, and a graceful shutdown that finishes running requests.

mod traffic_support;

use std::net::SocketAddr;
use std::time::Duration;

use fescuebay::traffic::limits::CallerLimits;
use fescuebay::traffic::{serve, state};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use traffic_support::{Bench, Fake, Script};

struct RunningServer {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    ended: tokio::task::JoinHandle<std::io::Result<()>>,
    bench: Bench,
}

async fn start_server(limits: CallerLimits) -> RunningServer {
    let fake = Fake::new("runner-1", &["quill"], &["adoption"], Script::events(40));
    let adjust =
        |builder: state::TrafficStateBuilder| builder.limits(limits).balancer_notice_ms(100);
    let bench = Bench::with(vec![fake], adjust);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = oneshot::channel::<()>();
    let shutdown = async move {
        let _ = stopped.await;
    };
    let ended = tokio::spawn(serve(listener, bench.shared.clone(), shutdown));
    RunningServer { address, stop, ended, bench }
}

/// Sends bytes over a new connection and reads until it is closed.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    // A server that closes early may reset the connection; the bytes received before are returned.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn request(body: &str, is_stream: bool) -> String {
    let body = format!(r#"{{"model":"quill","stream":{is_stream},"prompt":"{body}"}}"#);
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer secret\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[tokio::test]
async fn invalid_connections_do_not_stop_the_daemon() {
    let limits =
        CallerLimits { head_timeout_ms: 200, body_timeout_ms: 200, ..CallerLimits::default() };
    let served = start_server(limits).await;
    let large_head = format!("GET /healthz HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(200 << 10));
    let many_heads = format!("GET /healthz HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(300));
    let half_body = "POST /v1/completions HTTP/1.1\r\nauthorization: Bearer secret\r\n\
                     content-length: 100\r\n\r\n{";
    let cases = [
        (large_head.as_str(), "431"),
        (many_heads.as_str(), "431"),
        ("not http at all\r\n\r\n", "400"),
        (half_body, "408"),
        // A head that never ends: the connection is closed without an answer.
        ("GET /healthz HTTP/1.1\r\n", ""),
    ];
    for (bytes, status) in cases {
        let answer = exchange(served.address, bytes.as_bytes()).await;
        let seen = answer.split(' ').nth(1).unwrap_or("");
        assert_eq!(seen, status, "{:?} was answered {answer:?}", &bytes[..20]);
    }
    let answer = exchange(served.address, request("hola", false).as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[tokio::test]
async fn shutdown_finishes_streams_and_accepts_requests_until_the_balancer_notices() {
    let RunningServer { address, stop, ended, bench } = start_server(CallerLimits::default()).await;
    bench.fakes[0].then([Script::events(150)]);
    let stream =
        tokio::spawn(async move { exchange(address, request("hola", true).as_bytes()).await });
    while bench.fakes[0].calls() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    stop.send(()).unwrap();
    while !bench.shared.is_draining() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let ready = "GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    assert!(exchange(address, ready.as_bytes()).await.starts_with("HTTP/1.1 503"));
    let late = exchange(address, request("tarde", false).as_bytes()).await;
    assert!(late.starts_with("HTTP/1.1 200"), "{late}");
    ended.await.unwrap().unwrap();
    // A daemon process would exit here.
    bench.check_nothing_left("stopped");
    let answer = stream.await.unwrap();
    assert!(answer.contains("data: t149") && answer.contains("data: [DONE]"), "{answer}");
    assert!(TcpStream::connect(address).await.is_err(), "it still listens");
}
