//! What a caller may do after its call was refused.

use pomeloramp_proc_macros::key;

/// What a caller may do after its call was refused.
#[key]
pub enum RetryAdvice {
    /// To send the call again under this key can't help.
    Never,
    /// The call may be sent again as a new attempt with a fresh placement.
    FreshPlacement {
        /// Milliseconds to wait first.
        after_ms: u64,
    },
    /// The call may be resent only with the same key and placement.
    SamePlacement {
        /// Milliseconds to wait first.
        after_ms: u64,
    },
}
