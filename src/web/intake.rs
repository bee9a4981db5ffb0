//! Reads request bodies under a shared memory limit, which keeps many concurrent senders from
//! exhausting the memory.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::Incoming;

use super::Error;

/// Reads complete bodies within a shared memory limit.
#[derive(Clone, Debug)]
pub struct Intake {
    held_bytes: Rc<Cell<usize>>,
    max_held_bytes: usize,
}

/// Bytes of the shared limit that one body uses; dropping the value releases them.
#[derive(Debug)]
struct ReservedBytes {
    held_bytes: Rc<Cell<usize>>,
    bytes: usize,
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.held_bytes.set(self.held_bytes.get() - self.bytes);
    }
}

/// A complete body, which counts towards the shared limit until it is dropped.
#[derive(Debug)]
pub struct Held {
    bytes: Bytes,
    _reserved: ReservedBytes,
}

impl Held {
    /// The bytes of the body.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

impl Intake {
    /// Limits the bodies in memory to `max_held_bytes` in total.
    pub fn new(max_held_bytes: usize) -> Self {
        Self { held_bytes: Rc::default(), max_held_bytes }
    }

    /// Reads a complete body of at most `limit_bytes`, with the timeout `limit`.
    ///
    /// # Errors
    /// [`Error::TooLarge`], [`Error::Timeout`], [`Error::Full`] when the shared limit is reached,
    /// and [`Error::Broken`] when the connection ends before the body does.
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
        let mut reserved = ReservedBytes { held_bytes: Rc::clone(&self.held_bytes), bytes: 0 };
        let mut buffer = BytesMut::new();
        while let Some(data) = super::next_data(&mut body).await {
            let data = data?;
            if buffer.len() + data.len() > limit_bytes {
                return Err(Error::TooLarge);
            }
            self.reserve(&mut reserved, data.len())?;
            buffer.extend_from_slice(&data);
        }
        Ok(Held { bytes: buffer.freeze(), _reserved: reserved })
    }

    fn reserve(&self, reserved: &mut ReservedBytes, bytes: usize) -> Result<(), Error> {
        let held_bytes = self.held_bytes.get() + bytes;
        if held_bytes > self.max_held_bytes {
            return Err(Error::Full);
        }
        self.held_bytes.set(held_bytes);
        reserved.bytes += bytes;
        Ok(())
    }
}
