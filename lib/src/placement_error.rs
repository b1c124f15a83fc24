//! Errors from decoding a placement.

use snafu::Snafu;

/// Reason why a placement was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlacementError {
    /// The text is longer than the maximum length of a placement.
    #[snafu(display("placement has {len_bytes} bytes, more than {max_bytes}"))]
    TooLong {
        /// Length of the received text.
        len_bytes: usize,
        /// Maximum length that is accepted.
        max_bytes: usize,
    },
    /// The text is not base64url.
    #[snafu(display("placement is not base64url: {source}"))]
    Encoding {
        /// Cause of the decoding error.
        source: base64::DecodeError,
    },
    /// The bytes do not decode as a placement message.
    #[snafu(display("placement does not decode: {source}"))]
    Decode {
        /// Cause of the decoding error.
        source: prost::DecodeError,
    },
    /// The signature does not match the peer key of this system.
    #[snafu(display("placement was not signed with the peer key of this system"))]
    Signature,
    /// The placement is for another service than the call.
    #[snafu(display("placement of service {placed:?} was sent with a call of {called:?}"))]
    OtherService {
        /// Service of the placement.
        placed: String,
        /// Service of the call.
        called: String,
    },
    /// The placement contains no agent.
    #[snafu(display("placement of service {service:?} names no home"))]
    NoHome {
        /// Service of the placement.
        service: String,
    },
}
