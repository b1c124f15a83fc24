//! What an accepted frame means to the entry.

use pomeloramp_proc_macros::value;

use crate::CallFailure;

/// What an accepted frame means to the entry.
#[value]
pub enum FrameEvent {
    /// The answer begins.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: String,
    },
    /// A piece of the body.
    Data {
        /// Bytes to pass on.
        payload: Vec<u8>,
        /// Tokens in it, zero for plain answers.
        tokens: u32,
    },
    /// The answer is whole.
    Whole,
    /// The agent ended the call without a whole answer.
    Failed(CallFailure),
}
