//! One send of a call that may run at most once, as its agent receives it.

use pomeloramp_proc_macros::value;

use crate::AttemptNumber;
use crate::CallKey;
use crate::Incarnation;

/// One send of a call that may run at most once, as its agent receives it.
#[value]
pub struct CallAttempt {
    /// Identifies the call.
    pub call: CallKey,
    /// XXH3 digest of the request body.
    pub body_digest: u64,
    /// Incarnation of the agent in the placement.
    pub incarnation: Incarnation,
    /// Timestamp of the placement by that agent's clock, in milliseconds.
    pub stamp_ms: u64,
    /// Number of this send of the call.
    pub attempt: AttemptNumber,
}
