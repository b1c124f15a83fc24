//! Why a placement was rejected.

use snafu::Snafu;

/// Why a placement was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlacementError {
    /// The text is longer than any placement of this system.
    #[snafu(display("placement has {len_bytes} bytes, more than {max_bytes}"))]
    TooLong {
        /// Length as received.
        len_bytes: usize,
        /// Longest length accepted.
        max_bytes: usize,
    },
    /// The text is not base64url.
    #[snafu(display("placement is not base64url: {source}"))]
    Encoding {
        /// Where the text goes wrong.
        source: base64::DecodeError,
    },
    /// The bytes are not a placement message.
    #[snafu(display("placement does not decode: {source}"))]
    Decode {
        /// Where the message goes wrong.
        source: prost::DecodeError,
    },
    /// The signature was not made with this system's peer key.
    #[snafu(display("placement was not signed with the peer key of this system"))]
    Signature,
    /// The placement was made for another service.
    #[snafu(display("placement of service {placed:?} was sent with a call of {called:?}"))]
    OtherService {
        /// Service that the placement was made for.
        placed: String,
        /// Service that was called.
        called: String,
    },
    /// The placement names no agent.
    #[snafu(display("placement of service {service:?} names no home"))]
    NoHome {
        /// Service that the placement was made for.
        service: String,
    },
}
