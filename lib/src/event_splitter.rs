//! Splits a stream of server-sent events into whole events.

use bytes::Bytes;
use bytes::BytesMut;

/// Prefix of the line that carries an event's id.
const ID_FIELD: &[u8] = b"id:";
const LINE_END_BYTES: [u8; 2] = *b"\r\n";
const BLANK_LINES: [&[u8]; 2] = [b"\n", b"\r\n"];
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
            self.searched_bytes = self.buffer.len().saturating_sub(2);
            return None;
        };
        self.searched_bytes = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Returns whether part of an event stands after the last whole one. Blank lines and whole comment
    /// lines are no part of an event.
    #[must_use]
    pub fn has_unfinished_event(&self) -> bool {
        let mut lines = self.buffer.split_inclusive(|byte| *byte == b'\n');
        lines.any(|line| {
            let is_comment = line.starts_with(b":") && line.ends_with(b"\n");
            !is_comment && !line.iter().all(|byte| LINE_END_BYTES.contains(byte))
        })
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

    /// Returns the length of the first whole event in the buffer, which a blank line ends.
    fn event_end(&self) -> Option<usize> {
        let line_ends =
            (self.searched_bytes..self.buffer.len()).filter(|at| self.buffer[*at] == b'\n');
        line_ends.map(|at| at + 1).find_map(|start| {
            let next_line = &self.buffer[start..];
            let blank_line = BLANK_LINES.iter().find(|line| next_line.starts_with(line));
            blank_line.map(|line| start + line.len())
        })
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
