//! A connection wrapper that limits the number of bytes read.
//!
//! A faulty peer may send bytes without end, in a head, in interim responses or in a body. The HTTP
//! parser limits the size of one head, but not the number of interim responses.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes that may still be read, shared between the connection and its owner.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadAllowance(Rc<Cell<usize>>);

impl ReadAllowance {
    /// Replaces the remaining allowance by `bytes`.
    pub(super) fn set(&self, bytes: usize) {
        self.0.set(bytes);
    }
}

/// Whether an exchange failed because the peer sent more bytes than allowed.
pub(super) fn is_limit_exceeded(error: &hyper::Error) -> bool {
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        let io = inner.downcast_ref::<io::Error>();
        if io.is_some_and(|io| io.kind() == io::ErrorKind::FileTooLarge) {
            return true;
        }
        cause = inner.source();
    }
    error.is_parse_too_large()
}

/// A stream whose reads fail once they exceed the allowance.
#[derive(Debug)]
pub(super) struct BoundedStream<S> {
    stream: S,
    allowance: ReadAllowance,
}

impl<S> BoundedStream<S> {
    pub(super) fn new(stream: S, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - before;
        let left = self.allowance.0.get();
        if read > left {
            let what = "the peer sent more bytes than allowed";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::FileTooLarge, what)));
        }
        self.allowance.set(left - read);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
