//! Why a frame of an answer was rejected.

use snafu::Snafu;

/// Why a frame was rejected; the answer that it belongs to cannot become whole any more.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FrameError {
    /// The frame belongs to another request.
    #[snafu(display("frame of request {found:?} came on the stream of request {expected:?}"))]
    WrongRequest {
        /// Request that the stream answers.
        expected: String,
        /// Request that the frame names.
        found: String,
    },
    /// The frame came before.
    #[snafu(display("request {request_id:?}: frame {sequence} came twice"))]
    Duplicated {
        /// Request that the stream answers.
        request_id: String,
        /// Sequence number of the frame.
        sequence: u64,
    },
    /// A frame before this one is missing or late.
    #[snafu(display("request {request_id:?}: frame {sequence} came in place of {expected}"))]
    Gap {
        /// Request that the stream answers.
        request_id: String,
        /// Sequence number that was due.
        expected: u64,
        /// Sequence number of the frame.
        sequence: u64,
    },
    /// The kind of frame does not belong at this place.
    #[snafu(display("request {request_id:?}: {kind} frame {sequence} is out of place"))]
    UnexpectedKind {
        /// Request that the stream answers.
        request_id: String,
        /// Kind of the frame.
        kind: &'static str,
        /// Sequence number of the frame.
        sequence: u64,
    },
    /// The status of the head is no HTTP status.
    #[snafu(display("request {request_id:?}: {status} is not an HTTP status"))]
    Status {
        /// Request that the stream answers.
        request_id: String,
        /// Status as received.
        status: u32,
    },
    /// The final frame counts other data frames than came.
    #[snafu(display("request {request_id:?}: {found} data frames came of {announced}"))]
    Truncated {
        /// Request that the stream answers.
        request_id: String,
        /// Count in the final frame.
        announced: u64,
        /// Count of those received.
        found: u64,
    },
    /// The payloads differ from those that were sent.
    #[snafu(display("request {request_id:?}: digest of the answer does not match"))]
    Digest {
        /// Request that the stream answers.
        request_id: String,
    },
    /// The stream ended, or failed before, without a final frame.
    #[snafu(display("request {request_id:?}: answer was cut after frame {frames}"))]
    MissingFinal {
        /// Request that the stream answers.
        request_id: String,
        /// Frames that were accepted.
        frames: u64,
    },
}
