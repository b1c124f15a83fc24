//! Events of an answer that is being received.

use pomeloramp_proc_macros::value;

use crate::CallFailure;

/// Event that an accepted frame of an answer stands for.
#[value]
pub enum FrameEvent {
    /// The answer starts.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: String,
    },
    /// A part of the body.
    Data {
        /// Bytes of the body.
        payload: Vec<u8>,
        /// Number of tokens in the payload, zero for answers of plain services.
        tokens: u32,
    },
    /// The answer is complete.
    Complete,
    /// The agent ended the call without a complete answer.
    Failed(CallFailure),
}
