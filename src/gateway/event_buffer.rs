//! Finds the ends of events in the received bytes of a stream.

use bytes::{Bytes, BytesMut};

/// Upper bound of the buffered part of an incomplete event.
const MAX_INCOMPLETE_BYTES: usize = 64 << 10;
/// Length of the longest separator between events, `\r\n\r\n`.
const MAX_EVENT_END_BYTES: usize = 4;

/// The end of what was received of a stream: either whole events are taken out of it, or the bytes are
/// passed on as they come.
#[derive(Debug)]
pub(super) struct EventBuffer {
    /// The received bytes of an incomplete event.
    incomplete: BytesMut,
    /// The last bytes that were passed on.
    last_bytes: BytesMut,
    /// The id of the last event that was taken out.
    last_id: Option<String>,
}

impl EventBuffer {
    /// The buffer of a stream whose caller has received the events up to this one.
    pub(super) fn after(last_id: Option<String>) -> Self {
        Self { incomplete: BytesMut::new(), last_bytes: BytesMut::new(), last_id }
    }

    /// The id of the last event that was taken out.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Appends `data` to the incomplete event, and takes out all complete events.
    pub(super) fn take_complete(&mut self, data: &[u8]) -> Option<Bytes> {
        // A separator may begin in the data that was buffered before, which itself contains none.
        let searched = self.incomplete.len().saturating_sub(MAX_EVENT_END_BYTES - 1);
        self.incomplete.extend_from_slice(data);
        let end = searched + last_event_end(&self.incomplete[searched..])?;
        let events = self.incomplete.split_to(end).freeze();
        if let Some(id) = last_event_id_in(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Notes bytes that are passed on as they come.
    pub(super) fn pass_on(&mut self, data: &[u8]) {
        let skipped = data.len().saturating_sub(MAX_EVENT_END_BYTES);
        self.last_bytes.extend_from_slice(&data[skipped..]);
        let surplus = self.last_bytes.len().saturating_sub(MAX_EVENT_END_BYTES);
        let _ = self.last_bytes.split_to(surplus);
    }

    /// Whether a stream that ends here has been broken off in the middle of an event.
    pub(super) fn is_inside_event(&self) -> bool {
        let last = &self.last_bytes;
        let is_at_end = last.is_empty() || last_event_end(last) == Some(last.len());
        !self.incomplete.is_empty() || !is_at_end
    }

    /// Whether the incomplete event is larger than is kept.
    pub(super) fn is_too_large(&self) -> bool {
        self.incomplete.len() > MAX_INCOMPLETE_BYTES
    }

    /// Drops the incomplete event: another target sends it again.
    pub(super) fn drop_incomplete(&mut self) {
        self.incomplete.clear();
    }
}

/// The end of the last complete event in `bytes`. Events are separated by an empty line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let returns = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(returns)
}

/// The id of the last event in `events` that has an id.
fn last_event_id_in(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    lines.into_iter().find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        Some(String::from_utf8_lossy(value).trim().to_owned())
    })
}
