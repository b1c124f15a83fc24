//! Splits a stream of server-sent events into whole events.

use bytes::Bytes;
use bytes::BytesMut;

/// Prefix of the line that carries an event's id.
const ID_FIELD: &[u8] = b"id:";
/// Largest event that an endpoint may send.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One complete event, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes of the event, unchanged.
    pub bytes: Bytes,
    /// The event's id; absent when it has none or the id is not a number.
    pub id: Option<u64>,
}

/// Splits a stream of server-sent events into whole events.
///
/// Bytes after the last whole event are buffered until its end arrives.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that contain no end of an event.
    searched_bytes: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event from the buffer.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let Some(end) = self.event_end() else {
            self.searched_bytes = self.buffer.len().saturating_sub(3);
            return None;
        };
        self.searched_bytes = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Takes the bytes after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched_bytes = 0;
        self.buffer.split().freeze()
    }

    /// Returns whether the buffered event exceeds the size limit.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns the length of the first whole event in the buffer.
    fn event_end(&self) -> Option<usize> {
        let unsearched = &self.buffer[self.searched_bytes..];
        let lf_end = find(unsearched, b"\n\n").map(|at| at + 2);
        let crlf_end = find(unsearched, b"\r\n\r\n").map(|at| at + 4);
        let end = match (lf_end, crlf_end) {
            (Some(lf_end), Some(crlf_end)) => lf_end.min(crlf_end),
            (lf_end, crlf_end) => lf_end.or(crlf_end)?,
        };
        Some(self.searched_bytes + end)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
