//! TCP socket options that detect dead connections.
//!
//! A path that is gone is noticed by unanswered keepalive probes, or by sent bytes that stay unacknowledged. The
//! user timeout bounds both: once it is set, probes give up when it has passed, whatever their number. It also
//! resets a connection whose peer answers but does not read. So it must be longer than a sound peer may
//! be silent.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Idle time before the first keepalive probe, and the interval between probes. The operating
/// system accepts whole seconds only.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection is closed, where no user timeout decides.
const KEEPALIVE_PROBES: u32 = 3;
/// User timeout of connections to targets and other routers: three probes fit in, of which a silence of two
/// seconds meets two.
const TARGET_USER_TIMEOUT: Duration = Duration::from_millis(3_200);
/// User timeout of connections of callers, which may stop reading for a time.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Sets the options of a connection that a caller opened.
pub fn tune_accepted(stream: &TcpStream) {
    tune(stream, CALLER_USER_TIMEOUT);
}

/// Sets the options of a connection. An option that the operating system rejects is only logged,
/// since the connection works without it.
fn tune(stream: &TcpStream, user_timeout: Duration) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let set = socket
        .set_tcp_nodelay(true)
        .and(socket.set_tcp_keepalive(&keepalive))
        .and(socket.set_tcp_user_timeout(Some(user_timeout)));
    if let Err(error) = set {
        log::debug!("cannot set socket options: {error}");
    }
}

/// Limits what the operating system buffers for each connection that `listener` accepts, so that callers that do not
/// read use a known part of the memory.
pub fn limit_send_buffer(listener: &TcpListener, bytes: usize) {
    if let Err(error) = socket2::SockRef::from(listener).set_send_buffer_size(bytes) {
        log::warn!("cannot limit the send buffer of callers to {bytes} bytes: {error}");
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
    tune(&stream, TARGET_USER_TIMEOUT);
    Ok(stream)
}
