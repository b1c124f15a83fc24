//! Decision of the call registry on one send of a call.

use pomeloramp_proc_macros::value;

use crate::Refusal;
use crate::StoredAnswer;

/// Decision of the [`CallRegistry`](crate::CallRegistry) on one send of a call that may run at most
/// once.
#[value]
pub enum CallDecision<'a> {
    /// The call must be sent to the endpoint once, and its end reported to the registry.
    Run,
    /// The call is running. This send must be decided again when the call has ended.
    Attach,
    /// The call ran, and this is its stored answer.
    Replay(&'a StoredAnswer),
    /// The call ran, and its answer is no longer stored.
    AnswerGone,
    /// The call is not run for this send.
    Refused(Refusal),
}
