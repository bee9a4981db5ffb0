//! Byte counters for connections between daemons.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes sent to and received from peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
}

/// Byte counter shared by all connections of one link or server.
#[derive(Clone, Debug)]
pub(super) struct ByteCounter {
    traffic: Rc<Cell<Traffic>>,
    sent: metrics::Counter,
    received: metrics::Counter,
}

impl ByteCounter {
    /// Creates a counter whose metrics carry the label `peer`.
    pub(super) fn new(peer: &str) -> Self {
        let peer = peer.to_owned();
        Self {
            traffic: Rc::default(),
            sent: metrics::counter!("peer_sent_bytes_total", "peer" => peer.clone()),
            received: metrics::counter!("peer_received_bytes_total", "peer" => peer),
        }
    }

    /// The bytes counted so far.
    pub(super) fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    pub(super) fn add_sent(&self, bytes: usize) {
        let mut traffic = self.traffic.get();
        traffic.sent_bytes += bytes as u64;
        self.traffic.set(traffic);
        self.sent.increment(bytes as u64);
    }

    pub(super) fn add_received(&self, bytes: usize) {
        let mut traffic = self.traffic.get();
        traffic.received_bytes += bytes as u64;
        self.traffic.set(traffic);
        self.received.increment(bytes as u64);
    }
}

/// A TCP stream that counts its bytes.
pub(super) struct CountedStream {
    stream: TcpStream,
    counter: ByteCounter,
}

impl CountedStream {
    pub(super) fn new(stream: TcpStream, counter: ByteCounter) -> Self {
        Self { stream, counter }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.counter.add_received(buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &polled {
            self.counter.add_sent(*bytes);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
