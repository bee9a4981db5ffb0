//! Bounds the bodies that are in memory at once, so that many senders together cannot fill it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::Incoming;

use super::Error;

/// Reads whole bodies within a common bound.
#[derive(Clone, Debug)]
pub struct Intake {
    held_bytes: Rc<Cell<usize>>,
    max_held_bytes: usize,
}

/// Bytes that a body takes of the common bound until it is dropped.
#[derive(Debug)]
struct Share {
    held_bytes: Rc<Cell<usize>>,
    bytes: usize,
}

impl Drop for Share {
    fn drop(&mut self) {
        self.held_bytes.set(self.held_bytes.get() - self.bytes);
    }
}

/// A whole body, which takes its part of the common bound until it is dropped.
#[derive(Debug)]
pub struct Held {
    bytes: Bytes,
    _share: Share,
}

impl Held {
    /// The body.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

impl Intake {
    /// Holds at most so many bytes at once.
    pub fn new(max_held_bytes: usize) -> Self {
        Self { held_bytes: Rc::default(), max_held_bytes }
    }

    /// Reads a whole body of at most `limit_bytes` within `limit`.
    ///
    /// # Errors
    /// [`Error::TooLarge`], [`Error::Timeout`], [`Error::Full`] when other bodies leave no room for
    /// it, and [`Error::Broken`] when the connection ends before the body does.
    pub async fn collect(
        &self,
        body: Incoming,
        limit_bytes: usize,
        limit: Duration,
    ) -> Result<Held, Error> {
        let collected = tokio::time::timeout(limit, self.read(body, limit_bytes)).await;
        collected.unwrap_or(Err(Error::Timeout))
    }

    async fn read(&self, mut body: Incoming, limit_bytes: usize) -> Result<Held, Error> {
        let mut share = Share { held_bytes: Rc::clone(&self.held_bytes), bytes: 0 };
        let mut whole = BytesMut::new();
        while let Some(data) = super::next_data(&mut body).await {
            let data = data?;
            if whole.len() + data.len() > limit_bytes {
                return Err(Error::TooLarge);
            }
            self.take(&mut share, data.len())?;
            whole.extend_from_slice(&data);
        }
        Ok(Held { bytes: whole.freeze(), _share: share })
    }

    fn take(&self, share: &mut Share, bytes: usize) -> Result<(), Error> {
        let held_bytes = self.held_bytes.get() + bytes;
        if held_bytes > self.max_held_bytes {
            return Err(Error::Full);
        }
        self.held_bytes.set(held_bytes);
        share.bytes += bytes;
        Ok(())
    }
}
