//! Tests of calls between daemons over loopback.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

use fescuebay::ids::{DaemonId, GroupId, Incarnation};
use fescuebay::peer::client::{MAX_REQUEST_BYTES, Pool};
use fescuebay::peer::{Error, Handler, Identity, Key, PeerId, handshake, server};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const OWN_IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const ANY_PORT: SocketAddr = SocketAddr::new(OWN_IP, 0);
const TIMEOUT_MS: u64 = 20_000;

fn daemon(name: &str) -> DaemonId {
    name.parse().unwrap()
}

fn identity(cluster: &str, name: &str, key: &[u8]) -> Identity {
    Identity {
        cluster: cluster.to_owned(),
        daemon: daemon(name),
        incarnation: Incarnation(7),
        key: Key::new(key.to_vec()),
    }
}

/// Handler that returns the request as its reply, or acts on a command such as `refuse`.
#[derive(Default)]
struct Echo {
    messages: RefCell<Vec<(DaemonId, GroupId, Vec<u8>)>>,
    asked: Cell<u32>,
}

impl Handler for Echo {
    fn consensus(&self, from: &DaemonId, group: GroupId, message: &[u8]) {
        self.messages.borrow_mut().push((from.clone(), group, message.to_vec()));
    }

    async fn ask(&self, from: PeerId, request: Vec<u8>) -> Result<Vec<u8>, String> {
        self.asked.set(self.asked.get() + 1);
        match request.as_slice() {
            b"refuse" => Err("refused".to_owned()),
            b"hang" => std::future::pending().await,
            b"who" => Ok(format!("{}#{}", from.daemon, from.incarnation).into_bytes()),
            _ => Ok(request),
        }
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn pool_to(address: SocketAddr, identity: Identity, peer: &str) -> Pool {
    let pool = Pool::new(identity, OWN_IP);
    pool.set_peers(vec![(daemon(peer), address)]);
    pool
}

#[test]
fn requests_are_answered_and_messages_arrive_in_order() {
    run(async {
        let echo = Rc::new(Echo::default());
        let server =
            server::serve(ANY_PORT, identity("c", "b", b"key"), echo.clone()).await.unwrap();
        let pool = pool_to(server.address(), identity("c", "a", b"key"), "b");
        let ask = |request: &[u8], ms| {
            let (pool, request) = (pool.clone(), request.to_vec());
            async move { pool.ask(&daemon("b"), request, ms).await }
        };
        assert_eq!(ask(b"who", TIMEOUT_MS).await.unwrap(), b"a#7");
        let refused = ask(b"refuse", TIMEOUT_MS).await.unwrap_err();
        let expected = Error::Refused { peer: daemon("b"), reason: "refused".to_owned() };
        assert_eq!(*refused.current_context(), expected);
        let hung = ask(b"hang", 50).await.unwrap_err();
        assert_eq!(*hung.current_context(), Error::Unanswered(daemon("b")));
        let unknown = pool.ask(&daemon("x"), Vec::new(), TIMEOUT_MS).await.unwrap_err();
        assert_eq!(*unknown.current_context(), Error::UnknownPeer(daemon("x")));
        let large = ask(&vec![0; MAX_REQUEST_BYTES + 1], TIMEOUT_MS).await.unwrap_err();
        assert_eq!(*large.current_context(), Error::NotSent(daemon("b")));
        assert_eq!(ask(&vec![5; 20 << 20], TIMEOUT_MS).await.unwrap().len(), 20 << 20);
        for at in 0..100_u8 {
            pool.send_consensus(&daemon("b"), GroupId(3), vec![at]);
        }
        ask(b"after", TIMEOUT_MS).await.unwrap();
        let expected: Vec<_> = (0..100).map(|at| (daemon("a"), GroupId(3), vec![at])).collect();
        assert_eq!(*echo.messages.borrow(), expected);
        assert!(pool.traffic(&daemon("b")).sent_bytes > 0);
    });
}

#[test]
fn peers_with_another_key_cluster_or_name_are_refused() {
    run(async {
        let echo = Rc::new(Echo::default());
        let server =
            server::serve(ANY_PORT, identity("c", "b", b"key"), echo.clone()).await.unwrap();
        let cases = [
            (identity("c", "a", b"other"), "b", Error::WrongKey),
            (
                identity("d", "a", b"key"),
                "b",
                Error::OtherCluster { own: "d".to_owned(), peer: "c".to_owned() },
            ),
            (
                identity("c", "a", b"key"),
                "x",
                Error::OtherDaemon { expected: daemon("x"), found: daemon("b") },
            ),
        ];
        for (identity, expected, error) in cases {
            let mut stream = TcpStream::connect(server.address()).await.unwrap();
            let result = handshake::connect(&mut stream, &identity, &daemon(expected)).await;
            assert_eq!(*result.unwrap_err().current_context(), error);
            let pool = pool_to(server.address(), identity, expected);
            let result = pool.ask(&daemon(expected), b"x".to_vec(), TIMEOUT_MS).await;
            let error = Error::NotSent(daemon(expected));
            assert_eq!(*result.unwrap_err().current_context(), error);
        }
        assert_eq!(echo.asked.get(), 0);
    });
}

#[test]
fn a_client_without_the_key_cannot_reach_the_handler() {
    run(async {
        let echo = Rc::new(Echo::default());
        let server =
            server::serve(ANY_PORT, identity("c", "b", b"key"), echo.clone()).await.unwrap();
        // A replayed handshake of another connection, whose nonces differ.
        let (mut near, mut far) = tokio::io::duplex(4096);
        let known = identity("c", "a", b"key");
        let spy = async {
            let mut hello = [0; 306];
            far.read_exact(&mut hello).await.unwrap();
            hello
        };
        let (a, b) = (known.clone(), daemon("b"));
        let hello = tokio::select! {
            hello = spy => hello,
            _ = handshake::connect(&mut near, &a, &b) => unreachable!("the handshake is waiting"),
        };
        let garbage: [&[u8]; 3] = [b"GET / HTTP/1.1\r\n\r\n", &[0xff; 4096], &hello];
        for bytes in garbage {
            let mut stream = TcpStream::connect(server.address()).await.unwrap();
            stream.write_all(bytes).await.unwrap();
            stream.write_all(&[0; 32]).await.unwrap();
            let mut answer = Vec::new();
            // The server closes the connection after sending at most its own hello and proof.
            let _ = stream.read_to_end(&mut answer).await;
            assert!(answer.len() <= hello.len() + 32);
        }
        let silent = TcpStream::connect(server.address()).await.unwrap();
        silent.readable().await.unwrap();
        assert_eq!(echo.asked.get(), 0);
    });
}

/// Forwards bytes between two ends. The first connection can be made to stop forwarding
/// without being closed.
struct Relay {
    address: SocketAddr,
    accepted: Rc<Cell<u32>>,
    is_silent: Rc<Cell<bool>>,
}

impl Relay {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(ANY_PORT).await.unwrap();
        let address = listener.local_addr().unwrap();
        let accepted = Rc::new(Cell::new(0));
        let is_silent = Rc::new(Cell::new(false));
        let (count, flag) = (accepted.clone(), is_silent.clone());
        tokio::task::spawn_local(async move {
            loop {
                let (near, _) = listener.accept().await.unwrap();
                count.set(count.get() + 1);
                let far = TcpStream::connect(to).await.unwrap();
                let (near, far) = (near.into_split(), far.into_split());
                // Only the first connection stops forwarding; new ones work.
                let flag = (count.get() == 1).then(|| flag.clone());
                tokio::task::spawn_local(forward(near.0, far.1, flag.clone()));
                tokio::task::spawn_local(forward(far.0, near.1, flag));
            }
        });
        Self { address, accepted, is_silent }
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    silent: Option<Rc<Cell<bool>>>,
) {
    let mut buffer = [0; 4096];
    while let Ok(length) = from.read(&mut buffer).await {
        if silent.as_ref().is_some_and(|silent| silent.get()) {
            std::future::pending::<()>().await;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

#[test]
fn an_unresponsive_connection_is_replaced() {
    run(async {
        let echo = Rc::new(Echo::default());
        let server =
            server::serve(ANY_PORT, identity("c", "b", b"key"), echo.clone()).await.unwrap();
        let relay = Relay::start(server.address()).await;
        let pool = pool_to(relay.address, identity("c", "a", b"key"), "b");
        pool.ask(&daemon("b"), b"1".to_vec(), TIMEOUT_MS).await.unwrap();
        relay.is_silent.set(true);
        // The call fails when the silence timeout expires, long before its own timeout.
        let lost = pool.ask(&daemon("b"), b"2".to_vec(), 3_600_000).await.unwrap_err();
        assert_eq!(*lost.current_context(), Error::Unanswered(daemon("b")));
        pool.ask(&daemon("b"), b"3".to_vec(), TIMEOUT_MS).await.unwrap();
        assert_eq!(relay.accepted.get(), 2);
    });
}

#[test]
fn a_slow_reply_does_not_close_the_connection() {
    run(async {
        let echo = Rc::new(Echo::default());
        let server = server::serve(ANY_PORT, identity("c", "b", b"key"), echo).await.unwrap();
        let relay = Relay::start(server.address()).await;
        let pool = pool_to(relay.address, identity("c", "a", b"key"), "b");
        let slow = pool.ask(&daemon("b"), b"hang".to_vec(), 3_000).await.unwrap_err();
        assert_eq!(*slow.current_context(), Error::Unanswered(daemon("b")));
        pool.ask(&daemon("b"), b"1".to_vec(), TIMEOUT_MS).await.unwrap();
        assert_eq!(relay.accepted.get(), 1, "the connection was kept");
    });
}
