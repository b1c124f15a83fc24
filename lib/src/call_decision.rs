//! What an agent does with one send of a call that may not be repeated.

use pomeloramp_proc_macros::value;

use crate::Refusal;
use crate::StoredAnswer;

/// What an agent does with one send of a call that may not be repeated.
#[value]
pub enum CallDecision<'a> {
    /// Send the call to the endpoint, once, and report how it ended.
    Run,
    /// The call is running: decide this send again when it has ended.
    Attach,
    /// The call ran; this is its answer.
    Replay(&'a StoredAnswer),
    /// The call ran, and its answer is no longer held.
    AnswerGone,
    /// The call is not run for this send.
    Refused(Refusal),
}
