//! Errors in the frames of an answer.

use snafu::Snafu;

/// Error in the frames of an answer. The answer can't be completed after it.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FrameError {
    /// The frame belongs to another request.
    #[snafu(display("frame of request {found:?} came on the stream of request {expected:?}"))]
    WrongRequest {
        /// Id of the request that the stream answers.
        expected: String,
        /// Request id in the frame.
        found: String,
    },
    /// A frame with this sequence number was received before.
    #[snafu(display("request {request_id:?}: frame {sequence} came twice"))]
    Duplicated {
        /// Id of the request that the stream answers.
        request_id: String,
        /// Sequence number of the frame.
        sequence: u64,
    },
    /// An earlier frame is missing or delayed.
    #[snafu(display("request {request_id:?}: frame {sequence} came in place of {expected}"))]
    Gap {
        /// Id of the request that the stream answers.
        request_id: String,
        /// Expected sequence number.
        expected: u64,
        /// Sequence number of the frame.
        sequence: u64,
    },
    /// A frame of this kind is not allowed at this position.
    #[snafu(display("request {request_id:?}: {kind} frame {sequence} is out of place"))]
    UnexpectedKind {
        /// Id of the request that the stream answers.
        request_id: String,
        /// Kind of the frame.
        kind: &'static str,
        /// Sequence number of the frame.
        sequence: u64,
    },
    /// The status in the head frame is not a final HTTP status (200 to 599).
    #[snafu(display("request {request_id:?}: {status} is not an HTTP status"))]
    Status {
        /// Id of the request that the stream answers.
        request_id: String,
        /// Status as received.
        status: u32,
    },
    /// The final frame states another number of data frames than were received.
    #[snafu(display("request {request_id:?}: {found} data frames came of {announced}"))]
    Truncated {
        /// Id of the request that the stream answers.
        request_id: String,
        /// Number of data frames that the final frame states.
        announced: u64,
        /// Number of data frames received.
        found: u64,
    },
    /// The digest of the received payloads differs from the one in the final frame.
    #[snafu(display("request {request_id:?}: digest of the answer does not match"))]
    Digest {
        /// Id of the request that the stream answers.
        request_id: String,
    },
    /// The stream ended or failed without a final frame.
    #[snafu(display("request {request_id:?}: answer was cut after frame {frames}"))]
    MissingFinal {
        /// Id of the request that the stream answers.
        request_id: String,
        /// Number of frames accepted.
        frames: u64,
    },
}
