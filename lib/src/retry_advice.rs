//! What a caller may do after its call was refused.

use pomeloramp_proc_macros::key;

/// What a caller may do after its call was refused.
#[key]
pub enum RetryAdvice {
    /// Sending the call again under this key cannot help.
    Never,
    /// The call may begin anew, as a first send with a fresh placement.
    FreshPlacement {
        /// Milliseconds to wait first.
        after_ms: u64,
    },
    /// Only a resend with key and placement unchanged is safe.
    SamePlacement {
        /// Milliseconds to wait first.
        after_ms: u64,
    },
}
