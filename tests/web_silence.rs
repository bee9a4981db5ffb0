//! Connections whose peer is sound but silent for a time: it does not read, though its kernel still answers.

mod gateway_support;

use std::convert::Infallible;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use fescuebay::web::client::Connection;
use fescuebay::web::server::{self, Phase};
use fescuebay::web::{self, socket};
use http_body_util::Full;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use gateway_support::on_one_thread;

/// Time for which a sound target may be silent.
const TARGET_SILENCE: Duration = Duration::from_millis(2_000);
/// Time for which a caller may stop reading.
const CALLER_SILENCE: Duration = Duration::from_millis(4_000);
/// More than the buffers of both ends of a connection hold.
const LARGE_BYTES: usize = 12 << 20;

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}

/// The peer's window stays closed for longer than the user timeout of the connection, if that is short: the
/// kernel then resets it, although the peer answers each probe.
#[test]
fn a_caller_that_stops_reading_for_a_while_gets_the_rest() {
    on_one_thread(async {
        let listener = server::listen(loopback(0)).unwrap();
        let address = listener.local_addr().unwrap();
        let (_phase, phases) = watch::channel(Phase::Open);
        let handler = server::handler(|_| {
            let body = web::whole(Bytes::from(vec![b'x'; LARGE_BYTES]));
            std::future::ready(Ok::<_, Infallible>(http::Response::new(body)))
        });
        let settings = || server::Settings { head_timeout_ms: 60_000, max_head_bytes: 16 << 10 };
        tokio::task::spawn_local(server::serve(listener, settings, handler, phases));

        let mut caller = TcpStream::connect(address).await.unwrap();
        let request = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        caller.write_all(request.as_bytes()).await.unwrap();
        let mut first = [0; 1];
        caller.read_exact(&mut first).await.unwrap();
        tokio::time::sleep(CALLER_SILENCE).await;
        let mut rest = Vec::new();
        caller.read_to_end(&mut rest).await.expect("the connection was kept");
        assert!(rest.len() > LARGE_BYTES, "{} bytes", rest.len());
    });
}

/// As a target does whose process is suspended.
#[test]
fn a_target_that_stops_reading_for_a_while_gets_the_whole_request() {
    on_one_thread(async {
        let listener = TcpListener::bind(loopback(0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::time::sleep(TARGET_SILENCE).await;
            let mut left = LARGE_BYTES;
            let mut bytes = vec![0; 64 << 10];
            while left > 0 {
                let count = stream.read(&mut bytes).await.expect("the connection was kept");
                left = left.saturating_sub(count);
            }
            let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            stream.write_all(answer.as_bytes()).await.unwrap();
            tokio::time::sleep(TARGET_SILENCE).await;
        });
        let own_ip = address.ip();
        let mut connection = Connection::open(own_ip, address, 1_000).await.unwrap();
        let request = http::Request::new(Full::new(Bytes::from(vec![b'x'; LARGE_BYTES])));
        let response = connection.send(request).await.expect("the connection was kept");
        assert_eq!(response.status(), 200);
    });
}

/// A user timeout decides on its own when unanswered probes end a connection, whatever their number. So it must
/// leave time for three probes, a second apart: a silence of two seconds meets two of them.
#[test]
fn a_connection_outlives_a_silence_of_two_seconds() {
    on_one_thread(async {
        let listener = TcpListener::bind(loopback(0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let stream = socket::connect(address.ip(), address).await.unwrap();
        let options = socket2::SockRef::from(&stream);
        assert!(options.keepalive().unwrap());
        let idle = options.tcp_keepalive_time().unwrap();
        let interval = options.tcp_keepalive_interval().unwrap();
        let user_timeout = options.tcp_user_timeout().unwrap().unwrap_or_default();
        assert!(user_timeout > idle + 2 * interval, "{user_timeout:?}");
        assert!(user_timeout <= Duration::from_millis(4_000), "a path that is gone is known soon");
    });
}
