//! Options of TCP sockets, by which a connection that went silent is noticed.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::net::{TcpSocket, TcpStream};

/// Idle time before the first keepalive probe, and the time between two probes. The system takes
/// whole seconds.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);

/// Sets the options of a connection. An option that the system does not know is left out, since the
/// connection works without it.
pub fn tune(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    let set = socket
        .set_tcp_nodelay(true)
        .and(socket.set_tcp_keepalive(&keepalive))
        .and(socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(error) = set {
        log::debug!("socket options: {error}");
    }
}

/// Connects from `own_ip` to `address`.
///
/// # Errors
/// As the system tells.
pub async fn connect(own_ip: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(own_ip, 0))?;
    let stream = socket.connect(address).await?;
    tune(&stream);
    Ok(stream)
}
