//! TCP socket options that detect dead connections.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::net::{TcpSocket, TcpStream};

/// Idle time before the first keepalive probe, and the interval between probes. The operating
/// system accepts whole seconds only.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Sets the options of a connection. An option that the operating system rejects is only logged,
/// since the connection works without it.
pub fn tune(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let set = socket
        .set_tcp_nodelay(true)
        .and(socket.set_tcp_keepalive(&keepalive))
        .and(socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = set {
        log::debug!("cannot set socket options: {error}");
    }
}

/// Connects from `own_ip` to `address`.
///
/// # Errors
/// The error of the operating system.
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
