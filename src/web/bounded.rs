//! A connection that yields no more bytes than it is allowed to.
//!
//! A peer in trouble may send bytes without end, in a head, in interim answers or in a body. The
//! parser above bounds one head, not their number.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that a connection may still yield. It is shared between the connection and its owner.
#[derive(Clone, Debug, Default)]
pub(super) struct Allowance(Rc<Cell<usize>>);

impl Allowance {
    /// Allows so many bytes from now on.
    pub(super) fn set(&self, bytes: usize) {
        self.0.set(bytes);
    }
}

/// Whether an exchange failed since more bytes came than were allowed.
pub(super) fn is_exceeded(error: &hyper::Error) -> bool {
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

/// A connection under an allowance.
#[derive(Debug)]
pub(super) struct Bounded<S> {
    stream: S,
    allowance: Allowance,
}

impl<S> Bounded<S> {
    pub(super) fn new(stream: S, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Bounded<S> {
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
            let what = "more bytes came than are allowed";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::FileTooLarge, what)));
        }
        self.allowance.set(left - read);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Bounded<S> {
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
