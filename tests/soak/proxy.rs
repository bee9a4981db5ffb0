//! A proxy on loopback whose manner can be changed while connections are open.

use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::plan::PathMode;

/// Bytes that a trickle passes on at once, and the pause after them.
const TRICKLE_BYTES: usize = 24;
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);
/// Time between two looks at a path that passes nothing on.
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// A path to one server.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: Rc<Cell<PathMode>>,
}

impl Proxy {
    pub async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let mode = Rc::new(Cell::new(PathMode::Open));
        let shared = Rc::clone(&mode);
        tokio::task::spawn_local(async move {
            while let Ok((client, from)) = listener.accept().await {
                let mode = Rc::clone(&shared);
                tokio::task::spawn_local(async move {
                    // The server sees the address of the client.
                    if let Some(onward) = connect(from.ip(), server).await {
                        join(client, onward, mode).await;
                    }
                });
            }
        });
        Self { address, mode }
    }

    pub fn set(&self, mode: PathMode) {
        self.mode.set(mode);
    }
}

async fn connect(from: IpAddr, server: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.bind(SocketAddr::new(from, 0)).ok()?;
    socket.connect(server).await.ok()
}

async fn join(client: TcpStream, server: TcpStream, mode: Rc<Cell<PathMode>>) {
    let reset = || {
        // Without lingering the end of the streams resets their connections.
        let _ = socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO));
        let _ = socket2::SockRef::from(&server).set_linger(Some(Duration::ZERO));
    };
    if mode.get() == PathMode::Reset {
        return reset();
    }
    reset();
    let (client_reads, client_writes) = client.into_split();
    let (server_reads, server_writes) = server.into_split();
    let (to, back) = (Rc::clone(&mode), Rc::clone(&mode));
    tokio::select! {
        () = async {
            tokio::join!(
                pass(client_reads, server_writes, to, true),
                pass(server_reads, client_writes, back, false)
            );
        } => {}
        () = wait_for_reset(mode) => {}
    }
}

async fn wait_for_reset(mode: Rc<Cell<PathMode>>) {
    while mode.get() != PathMode::Reset {
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// Passes bytes on until one end closes.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: Rc<Cell<PathMode>>,
    is_to_server: bool,
) {
    let mut bytes = [0; 8 << 10];
    loop {
        let count = match from.read(&mut bytes).await {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        while mode.get() == PathMode::Silent || (mode.get() == PathMode::OneWay && !is_to_server) {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        if let PathMode::Delayed(ms) = mode.get() {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        let step = if mode.get() == PathMode::Trickle { TRICKLE_BYTES } else { bytes.len() };
        for part in bytes[..count].chunks(step) {
            if to.write_all(part).await.is_err() {
                return;
            }
            if mode.get() == PathMode::Trickle {
                tokio::time::sleep(TRICKLE_PAUSE).await;
            }
        }
    }
    let _ = to.shutdown().await;
}
