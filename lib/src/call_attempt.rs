//! One send of a call that may not be repeated, as its agent sees it.

use pomeloramp_proc_macros::value;

use crate::AttemptNumber;
use crate::CallKey;
use crate::Incarnation;

/// One send of a call that may not be repeated.
#[value]
pub struct CallAttempt {
    /// Names the call.
    pub call: CallKey,
    /// Digest of the request body.
    pub body_digest: u64,
    /// Incarnation of the agent that the placement names.
    pub incarnation: Incarnation,
    /// Clock of that agent in the placement, in milliseconds.
    pub stamp_ms: u64,
    /// Which send of the call this is.
    pub attempt: AttemptNumber,
}
