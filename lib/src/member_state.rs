//! The state of a VM as another process sees it.

use pomeloramp_proc_macros::key;

/// The state of a VM as another process sees it.
///
/// It directs routing; no guarantee depends on it.
#[key]
pub enum MemberState {
    /// The VM is on the VM list and has not sent a report yet.
    Unheard,
    /// The last report is recent, and the VM takes work.
    Alive,
    /// The last report is recent, and says that the endpoint on the VM is down.
    EndpointDown,
    /// The last report is too old, or a request has failed to reach the VM since.
    Suspected,
    /// The VM is leaving and takes no new work.
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
