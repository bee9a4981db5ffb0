//! Accepts connections and answers their requests, until it is told to stop.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use error_stack::ResultExt as _;
use futures::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use super::{Body, Error, Result, socket};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause after a failure to accept, which may come from a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The smallest buffer that the library takes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Answers a request.
pub type Handler = Rc<dyn Fn(http::Request<Incoming>) -> LocalBoxFuture<'static, Answer>>;

/// What a handler makes of a request.
pub enum Answer {
    /// Send this.
    Send(http::Response<Body>),
    /// Close the connection without an answer.
    Close,
}

/// How far a server is in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It accepts connections and keeps them open.
    #[default]
    Open,
    /// It still accepts connections, and asks for each to be closed after its next answer.
    Lingering,
    /// It accepts none, and ends each connection once its request is answered.
    Closing,
}

/// How connections are served.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest time for the head of a request, the time between two requests included.
    pub head_timeout_ms: u64,
    /// Largest head of a request, in bytes.
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
    let seen = phase.clone();
    loop {
        while connections.try_join_next().is_some() {}
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    socket::tune(&stream);
                    let handler = Rc::clone(&handler);
                    connections.spawn_local(connection(stream, settings(), handler, seen.clone()));
                }
                Err(error) => {
                    log::warn!("a connection could not be accepted: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            // A sender that is gone means that the process ends.
            closing = phase.wait_for(|phase| *phase == Phase::Closing) => {
                drop(closing);
                break;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn connection(
    stream: TcpStream,
    settings: Settings,
    handler: Handler,
    mut phase: watch::Receiver<Phase>,
) {
    let seen = phase.clone();
    let service = service_fn(move |request| {
        let answered = handler(request);
        let seen = seen.clone();
        async move {
            match answered.await {
                Answer::Send(mut response) => {
                    if *seen.borrow() != Phase::Open {
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
    // An error is a caller that left, or that does not speak HTTP.
    let result = tokio::select! {
        result = served.as_mut() => result,
        closing = phase.wait_for(|phase| *phase == Phase::Closing) => {
            drop(closing);
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = result {
        log::debug!("a connection ended: {error}");
    }
}

/// A handler for requests that cannot fail.
pub fn handler<F, R>(answer: F) -> Handler
where
    F: Fn(http::Request<Incoming>) -> R + 'static,
    R: Future<Output = std::result::Result<http::Response<Body>, Infallible>> + 'static,
{
    Rc::new(move |request| {
        let answered = answer(request);
        Box::pin(async move {
            match answered.await {
                Ok(response) => Answer::Send(response),
                Err(never) => match never {},
            }
        })
    })
}
