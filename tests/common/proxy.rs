//! A proxy on loopback that disturbs its connections, while they are open too.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Bytes that a trickle passes on at once, and the pause after them.
const TRICKLE_BYTES: usize = 24;
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);
/// Time between two looks at a path that passes nothing on.
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// What a proxy does with a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathMode {
    /// Passes all on.
    Open,
    /// Passes all on this much later.
    Delayed(u64),
    /// Resets connections, old and new.
    Reset,
    /// Resets new connections; old ones live on.
    ResetNew,
    /// Passes nothing on and closes nothing.
    Silent,
    /// Passes on what goes to the server alone.
    OneWay,
    /// Passes on a few bytes at a time.
    Trickle,
}

type SharedMode = Rc<Cell<PathMode>>;

/// The paths to one server, one for each address that connects.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// Sorted by address; those of clients that connected or were disturbed.
    paths: Rc<RefCell<Vec<(IpAddr, SharedMode)>>>,
    /// What a client gets that connects for the first time.
    default_mode: SharedMode,
}

impl Proxy {
    /// Starts a proxy before `server` at a free port.
    pub async fn start(server: SocketAddr) -> Self {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), server).await
    }

    /// Starts a proxy at `address` before `server`.
    pub async fn start_at(address: SocketAddr, server: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            paths: Rc::default(),
            default_mode: Rc::new(Cell::new(PathMode::Open)),
        };
        let accepting = proxy.clone();
        tokio::task::spawn_local(async move {
            while let Ok((client, from)) = listener.accept().await {
                let mode = accepting.path(from.ip());
                tokio::task::spawn_local(async move {
                    // The server sees the address of the client.
                    if let Some(onward) = connect(from.ip(), server).await {
                        join(client, onward, mode).await;
                    }
                });
            }
        });
        proxy
    }

    /// Changes the paths of all clients.
    pub fn set(&self, mode: PathMode) {
        self.default_mode.set(mode);
        self.paths.borrow().iter().for_each(|(_, path)| path.set(mode));
    }

    /// Changes the path of one client.
    pub fn set_from(&self, client: IpAddr, mode: PathMode) {
        self.path(client).set(mode);
    }

    fn path(&self, client: IpAddr) -> SharedMode {
        let mut paths = self.paths.borrow_mut();
        let at = match paths.binary_search_by_key(&client, |(known, _)| *known) {
            Ok(at) => at,
            Err(at) => {
                let mode = Rc::new(Cell::new(self.default_mode.get()));
                paths.insert(at, (client, mode));
                at
            }
        };
        Rc::clone(&paths[at].1)
    }
}

async fn connect(from: IpAddr, server: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.bind(SocketAddr::new(from, 0)).ok()?;
    socket.connect(server).await.ok()
}

async fn join(client: TcpStream, server: TcpStream, mode: SharedMode) {
    let reset = || {
        // Without lingering the end of the streams resets their connections.
        let _ = socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO));
        let _ = socket2::SockRef::from(&server).set_linger(Some(Duration::ZERO));
    };
    if matches!(mode.get(), PathMode::Reset | PathMode::ResetNew) {
        return reset();
    }
    reset();
    // Else small messages wait for the acknowledgement of those before, 40 ms each.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
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

async fn wait_for_reset(mode: SharedMode) {
    while mode.get() != PathMode::Reset {
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// Passes bytes on until one end closes.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: SharedMode,
    is_to_server: bool,
) {
    let mut bytes = [0; 8 << 10];
    loop {
        let count = from.read(&mut bytes).await.unwrap_or_default();
        while mode.get() == PathMode::Silent || (mode.get() == PathMode::OneWay && !is_to_server) {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        if count == 0 {
            break;
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
