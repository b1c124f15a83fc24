//! Splits a stream of server-sent events into whole events.

use bytes::Bytes;
use bytes::BytesMut;

const ID_FIELD: &[u8] = b"id:";
/// Size of one event at most.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event as it came.
    pub bytes: Bytes,
    /// Its id, when it carries a number.
    pub id: Option<u64>,
}

/// Splits a stream of server-sent events into whole events.
///
/// What came after the last whole event is kept until its end arrives.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that hold no end of an event.
    searched_bytes: usize,
}

impl EventSplitter {
    /// Adds bytes as they arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
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

    /// Takes what is left after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched_bytes = 0;
        self.buffer.split().freeze()
    }

    /// Returns whether an event has grown past any that an endpoint sends.
    #[must_use]
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    fn event_end(&self) -> Option<usize> {
        let unsearched = &self.buffer[self.searched_bytes..];
        let short = find(unsearched, b"\n\n").map(|at| at + 2);
        let long = find(unsearched, b"\r\n\r\n").map(|at| at + 4);
        let end = match (short, long) {
            (Some(short), Some(long)) => short.min(long),
            (short, long) => short.or(long)?,
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
