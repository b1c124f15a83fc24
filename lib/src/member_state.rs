//! How one process regards another VM.

use pomeloramp_proc_macros::key;

/// How this process regards another VM; it steers routing and guards nothing.
#[key]
pub enum MemberState {
    /// The VM list names it, and it was not heard yet.
    Unheard,
    /// It was heard in time and takes work.
    Alive,
    /// It was heard in time, and the endpoint beside it is down.
    EndpointDown,
    /// Its heartbeats are missing.
    Suspected,
    /// It is leaving and takes no new work.
    Leaving,
}

impl MemberState {
    /// Returns the name that operators see.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unheard => "unheard",
            Self::Alive => "alive",
            Self::EndpointDown => "endpoint-down",
            Self::Suspected => "suspected",
            Self::Leaving => "leaving",
        }
    }
}
