//! A router that handles requests of other routers and cannot reach who could serve them.

mod gateway_support;

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use fescuebay::gateway;
use fescuebay::membership::table::TargetEntry;
use fescuebay::web::server::{self, Phase};
use gateway_support::{Action, Router, ScriptedTarget, answer, on_one_thread, status};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Requests that are answered before one is repeated.
const REQUESTS: usize = 200;
/// Repeats that a router may send which has taken no request of a caller.
const SLACK: usize = 50;
/// Targets that have ended.
const ENDED: usize = 10;
/// Time after which the target that nobody reaches at first takes requests.
const OUT_OF_REACH: Duration = Duration::from_secs(1);

/// The address at which a router takes requests of others.
fn serve_forwarded(router: &Router) -> SocketAddr {
    let listener = server::listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let (phase, phases) = watch::channel(Phase::Open);
    let head = || server::Settings { head_timeout_ms: 5_000, max_head_bytes: 16 << 10 };
    let handler = gateway::forwarded_handler(Rc::clone(&router.shared));
    tokio::task::spawn_local(async move {
        server::serve(listener, head, handler, phases).await;
        drop(phase);
    });
    address
}

/// Sends a request as another router would.
async fn forward(address: SocketAddr, path: &str, headers: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a1\r\n{headers}\
         Content-Length: 1\r\nConnection: close\r\n\r\nb"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The only target with the model cannot be connected to, others of the service can: the router that forwarded the
/// request may know a router which reaches it, so it must not wait here.
#[test]
fn a_router_that_cannot_send_a_forwarded_request_refuses_it_at_once() {
    on_one_thread(async {
        let served = vec![Action::Write(answer("200 OK", "x"))];
        let other = ScriptedTarget::start("other", served).await;
        let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = free.local_addr().unwrap();
        drop(free);
        let holder = TargetEntry {
            target: "holder".parse().unwrap(),
            address,
            ..other.entry("llm", &["m1"])
        };
        let router = Router::start(vec![holder, other.entry("llm", &["m2"])]).await;
        tokio::task::spawn_local(async move {
            tokio::time::sleep(OUT_OF_REACH).await;
            let listener = TcpListener::bind(address).await.unwrap();
            while let Ok((mut stream, _)) = listener.accept().await {
                let text = answer("200 OK", "late").replace("{id}", "a1");
                let _ = stream.write_all(text.as_bytes()).await;
            }
        });
        let answer =
            forward(serve_forwarded(&router), "/draft/x", "Model: m1\r\nDeadline-Ms: 4000\r\n")
                .await;
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(answer.to_lowercase().contains("retry-after"), "{answer}");
    });
}

/// The router that forwards a request has counted it: repeats are a part of what callers ask for.
#[test]
fn a_forwarded_request_allows_no_more_repeats_at_the_router_that_helps() {
    on_one_thread(async {
        let refusal = "HTTP/1.1 503 Full\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\
                       Content-Length: 0\r\n\r\n";
        let mut script = vec![Action::Write(answer("200 OK", "x")); REQUESTS];
        script.push(Action::Write(refusal.to_owned()));
        let target = ScriptedTarget::start("a", script).await;
        let router = Router::start(vec![target.entry("app", &[])]).await;
        let address = serve_forwarded(&router);
        for _ in 0..REQUESTS {
            assert_eq!(status(&forward(address, "/unsafe/x", "").await), 200);
        }
        forward(address, "/unsafe/x", "").await;
        let repeats = target.requests() - REQUESTS - 1;
        assert!((1..=SLACK).contains(&repeats), "{repeats} repeats");
    });
}

/// Most targets may have ended a moment ago: one that the router that helps has not tried yet may serve.
#[test]
fn a_forwarded_request_is_served_by_the_one_target_among_many_that_has_not_ended() {
    on_one_thread(async {
        let sound = ScriptedTarget::start("sound", vec![Action::Write(answer("200 OK", "x"))]);
        let sound = sound.await;
        let ended = |number: usize| TargetEntry {
            target: format!("ended-{number}").parse().unwrap(),
            address: "127.0.0.1:9".parse().unwrap(),
            ..sound.entry("app", &[])
        };
        let mut entries: Vec<TargetEntry> = (0..ENDED).map(ended).collect();
        entries.push(sound.suspect_entry("app", &[]));
        let router = Router::start(entries).await;
        let answer = forward(serve_forwarded(&router), "/safe/x", "").await;
        assert_eq!(status(&answer), 200, "{answer}");
    });
}
