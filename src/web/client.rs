//! HTTP/1.1 client connection that carries one request at a time.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::bounded::{self, BoundedStream, ReadAllowance};
use super::{Error, socket};

/// Largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Bytes that may be read before a response begins: interim responses, the response head, and the
/// first bytes of the body that are read together with the head.
const MAX_BEFORE_RESPONSE_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// Largest response body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A connection. Dropping it closes the socket, also in the middle of a response.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    allowance: ReadAllowance,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects from `own_ip` to `address` within `timeout_ms`.
    ///
    /// # Errors
    /// [`Error::Connect`]; no request was sent.
    pub async fn open(own_ip: IpAddr, address: SocketAddr, timeout_ms: u64) -> Result<Self, Error> {
        let connecting = socket::connect(own_ip, address);
        let limit = Duration::from_millis(timeout_ms);
        let Ok(Ok(stream)) = tokio::time::timeout(limit, connecting).await else {
            return Err(Error::Connect);
        };
        Self::over(stream).await
    }

    async fn over(stream: tokio::net::TcpStream) -> Result<Self, Error> {
        let allowance = ReadAllowance::default();
        let stream = TokioIo::new(BoundedStream::new(stream, allowance.clone()));
        let mut builder = hyper::client::conn::http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let handshake = builder.handshake(stream).await;
        let (sender, connection) = handshake.map_err(|_| Error::Connect)?;
        let task = tokio::task::spawn_local(async move {
            // A connection error is reported by the pending request.
            let _ = connection.await;
        });
        Ok(Self { sender, allowance, task })
    }

    /// Whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and returns the response once its head has been received.
    ///
    /// # Errors
    /// [`Error::Connect`] if the connection had ended before any byte was sent, otherwise
    /// [`Error::TooLarge`], [`Error::Malformed`] or [`Error::Broken`]. A status that no final response
    /// has counts as malformed.
    pub async fn send(
        &mut self,
        mut request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, Error> {
        self.sender.ready().await.map_err(|_| Error::Connect)?;
        self.allowance.set(MAX_BEFORE_RESPONSE_BYTES);
        let misplaced = watch_misplaced_interim(&mut request);
        let response = tokio::select! {
            biased;
            () = misplaced.notified() => return Err(Error::Malformed),
            response = self.sender.send_request(request) => response,
        };
        let response = response.map_err(|error| match error {
            _ if error.is_canceled() => Error::Connect,
            _ if bounded::is_limit_exceeded(&error) => Error::TooLarge,
            _ if error.is_parse() => Error::Malformed,
            _ => Error::Broken,
        })?;
        if !super::is_final_status(response.status()) {
            return Err(Error::Malformed);
        }
        self.allowance.set(MAX_BODY_BYTES);
        Ok(response)
    }
}

/// Notifies when an interim response comes in place of the final one: it says how long its body is, which interim
/// responses do not have. Nothing would follow it until the timeout.
fn watch_misplaced_interim(request: &mut http::Request<Full<Bytes>>) -> Arc<Notify> {
    let misplaced = Arc::new(Notify::new());
    let notified = Arc::clone(&misplaced);
    hyper::ext::on_informational(request, move |response| {
        let headers = response.headers();
        let length = headers.get(header::CONTENT_LENGTH);
        // Some servers write an empty body into a 100 Continue.
        let is_continue = response.status() == StatusCode::CONTINUE;
        let has_length = length.is_some_and(|length| !is_continue || length.as_bytes() != b"0");
        if has_length || headers.contains_key(header::TRANSFER_ENCODING) {
            notified.notify_one();
        }
    });
    misplaced
}

/// Sends one request over a new connection and reads the complete response.
///
/// # Errors
/// [`Error::Timeout`] after `timeout_ms`, otherwise as [`Connection::open`] and
/// [`Connection::send`].
pub async fn ask(
    own_ip: IpAddr,
    address: SocketAddr,
    request: http::Request<Full<Bytes>>,
    timeout_ms: u64,
    limit_bytes: usize,
) -> Result<http::Response<Bytes>, Error> {
    let exchange = async {
        let mut connection = Connection::open(own_ip, address, timeout_ms).await?;
        let (head, body) = connection.send(request).await?.into_parts();
        let body = super::collect(body, limit_bytes).await?;
        Ok(http::Response::from_parts(head, body))
    };
    let limit = Duration::from_millis(timeout_ms);
    tokio::time::timeout(limit, exchange).await.unwrap_or(Err(Error::Timeout))
}

/// Sends one request as [`ask`] does, if `may_send` returns true right before the first byte is written. `None` if
/// it was not sent. Without a complete response the connection is reset, so that bytes which the operating
/// system still holds are discarded.
///
/// # Errors
/// As [`ask`].
pub async fn ask_checked(
    own_ip: IpAddr,
    address: SocketAddr,
    request: http::Request<Full<Bytes>>,
    timeout_ms: u64,
    limit_bytes: usize,
    may_send: &dyn Fn() -> bool,
) -> Result<Option<http::Response<Bytes>>, Error> {
    let deadline = tokio::time::Instant::now() + Duration::from_millis(timeout_ms);
    let connecting = tokio::time::timeout_at(deadline, socket::connect(own_ip, address));
    let Ok(Ok(stream)) = connecting.await else { return Err(Error::Connect) };
    // Set before any byte is written, so that it also holds if the process is killed.
    let reset = socket2::SockRef::from(&stream).try_clone().map_err(|_| Error::Connect)?;
    reset.set_linger(Some(Duration::ZERO)).map_err(|_| Error::Connect)?;
    let exchange = async {
        let mut connection = Connection::over(stream).await?;
        connection.sender.ready().await.map_err(|_| Error::Connect)?;
        if !may_send() {
            return Ok(None);
        }
        let (head, body) = connection.send(request).await?.into_parts();
        let body = super::collect(body, limit_bytes).await?;
        Ok(Some(http::Response::from_parts(head, body)))
    };
    let answered = tokio::time::timeout_at(deadline, exchange).await;
    if matches!(answered, Ok(Ok(_))) {
        let _ = reset.set_linger(None);
    }
    answered.unwrap_or(Err(Error::Timeout))
}
