//! How an HTTP answer marks the end of its body.

use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;

/// How an HTTP answer marks the end of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerFraming {
    /// The body ends after the number of bytes that the head states.
    Length,
    /// The body ends with its last chunk.
    Chunks,
    /// The body ends with its connection, so that an answer that was cut off looks complete unless
    /// the connection was reset.
    Connection,
}

impl AnswerFraming {
    /// Returns the framing of an answer with these headers.
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunks
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Returns the name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}
