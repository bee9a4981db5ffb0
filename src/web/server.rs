//! HTTP/1.1 server: accepts connections and serves their requests until it is shut down.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use error_stack::ResultExt as _;
use futures::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, watch};

use super::{Body, Error, Result, socket};

/// Length of the queue of connections that are not yet accepted.
const BACKLOG: u32 = 1024;
/// Pause after a failed accept, which may be caused by a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Handles a request.
pub type Handler = Rc<dyn Fn(http::Request<Incoming>) -> LocalBoxFuture<'static, Answer>>;

/// Result of a handler for one request.
pub enum Answer {
    /// Send this response.
    Send(http::Response<Body>),
    /// Close the connection without a response.
    Close,
}

/// Ends the connection that a request came on, whatever is still to be sent. Each request carries one as an extension.
#[derive(Clone, Debug, Default)]
pub struct ConnectionEnd(Arc<Notify>);

impl ConnectionEnd {
    /// Ends the connection.
    pub fn end(&self) {
        self.0.notify_one();
    }
}

/// Lifecycle phase of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Accepts connections and keeps them open between requests.
    #[default]
    Open,
    /// Still accepts connections, but sends `connection: close` with each response.
    Lingering,
    /// Accepts no connections, and closes each open one after the response to its request.
    Closing,
}

/// Limits for the connections of a server.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Timeout for receiving a request head, which includes the idle time between two requests.
    pub head_timeout_ms: u64,
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
}

/// Listens on `address`.
///
/// # Errors
/// [`Error::Listen`].
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let bound = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bound().change_context(Error::Listen).attach_with(|| address)
}

/// Serves connections until the phase is [`Phase::Closing`] and all of them have ended.
pub async fn serve(
    listener: TcpListener,
    settings: impl Fn() -> Settings,
    handler: Handler,
    mut phase: watch::Receiver<Phase>,
) {
    let mut connections = tokio::task::JoinSet::new();
    let current_phase = phase.clone();
    loop {
        while connections.try_join_next().is_some() {}
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    socket::tune_accepted(&stream);
                    let handler = Rc::clone(&handler);
                    let phase = current_phase.clone();
                    connections.spawn_local(serve_connection(stream, settings(), handler, phase));
                }
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            // A dropped sender also ends the loop: the process is shutting down.
            closing = phase.wait_for(|phase| *phase == Phase::Closing) => {
                drop(closing);
                break;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    stream: TcpStream,
    settings: Settings,
    handler: Handler,
    mut phase: watch::Receiver<Phase>,
) {
    let current_phase = phase.clone();
    let end = ConnectionEnd::default();
    let request_end = end.clone();
    let service = service_fn(move |mut request: http::Request<Incoming>| {
        request.extensions_mut().insert(request_end.clone());
        let response_future = handler(request);
        let current_phase = current_phase.clone();
        async move {
            match response_future.await {
                Answer::Send(mut response) => {
                    if *current_phase.borrow() != Phase::Open {
                        let close = http::HeaderValue::from_static("close");
                        response.headers_mut().insert(http::header::CONNECTION, close);
                    }
                    Ok(response)
                }
                Answer::Close => Err(Error::Broken),
            }
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(settings.head_timeout_ms))
        .max_buf_size(settings.max_head_bytes.max(MIN_BUFFER_BYTES));
    let served = builder.serve_connection(TokioIo::new(stream), service);
    let mut served = std::pin::pin!(served);
    // An error means that the caller disconnected or sent invalid HTTP.
    let result = tokio::select! {
        result = served.as_mut() => result,
        () = end.0.notified() => return,
        closing = phase.wait_for(|phase| *phase == Phase::Closing) => {
            drop(closing);
            served.as_mut().graceful_shutdown();
            tokio::select! {
                result = served.as_mut() => result,
                () = end.0.notified() => return,
            }
        }
    };
    if let Err(error) = result {
        log::debug!("connection ended with an error: {error}");
    }
}

/// Creates a [`Handler`] from a function that always returns a response.
pub fn handler<F, R>(answer: F) -> Handler
where
    F: Fn(http::Request<Incoming>) -> R + 'static,
    R: Future<Output = std::result::Result<http::Response<Body>, Infallible>> + 'static,
{
    Rc::new(move |request| {
        let response_future = answer(request);
        Box::pin(async move {
            match response_future.await {
                Ok(response) => Answer::Send(response),
                Err(never) => match never {},
            }
        })
    })
}
