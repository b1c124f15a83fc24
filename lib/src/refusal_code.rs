//! Stable codes of refused calls.

use pomeloramp_proc_macros::key;

/// Why a call was refused; callers see the code.
#[key]
pub enum RefusalCode {
    /// The call needs a placement and has none.
    PlacementRequired,
    /// The placement is malformed, was not signed by this system or is dated in the future.
    PlacementInvalid,
    /// The placement is older than the answer window of its home.
    PlacementExpired,
    /// The home has restarted since the placement was made.
    HomeRestarted,
    /// No connection to the home could be established.
    HomeUnreachable,
    /// The connection to the home broke after the request was sent.
    HomeLost,
    /// The idempotency key belongs to a call with another body.
    KeyReused,
    /// The call was refused before under this placement.
    CallVoided,
    /// The home has reached its limit on call records or stored answers.
    RecordsFull,
    /// The endpoint's answer was lost after the request had reached it.
    EndpointLost,
    /// The endpoint crashed while the request ran there.
    EndpointCrashed,
    /// The endpoint could not be reached.
    EndpointUnreachable,
    /// The queue of the endpoint is full.
    QueueFull,
    /// The organisation has reached its limit on requests in flight.
    OrganisationLimit,
    /// The queue is too long for the deadline.
    DeadlineUnreachable,
    /// Even an idle endpoint could not meet the deadline.
    DeadlineTooShort,
    /// No endpoint accepts new requests.
    NoEndpoint,
    /// Every endpoint's queue is too long for the deadline.
    Overloaded,
    /// Every endpoint names a limit on its calls, and a call within them would come too late.
    EndpointsLimited,
    /// Every endpoint has asked for a time without calls, and a call after it would come too late.
    EndpointsPaused,
    /// The process is shutting down.
    Draining,
    /// The parameters in force do not name the organisation.
    UnknownOrganisation,
    /// A request with this number is already queued or running.
    DuplicateRequest,
    /// The agent has not received the entry's configuration yet.
    ConfigurationBehind,
    /// The content is quarantined because it crashed endpoints.
    Quarantined,
}

impl RefusalCode {
    /// Returns the code that callers see.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::PlacementRequired => "placement-required",
            Self::PlacementInvalid => "placement-invalid",
            Self::PlacementExpired => "placement-expired",
            Self::HomeRestarted => "home-restarted",
            Self::HomeUnreachable => "home-unreachable",
            Self::HomeLost => "home-lost",
            Self::KeyReused => "key-reused",
            Self::CallVoided => "call-voided",
            Self::RecordsFull => "records-full",
            Self::EndpointLost => "endpoint-lost",
            Self::EndpointCrashed => "endpoint-crashed",
            Self::EndpointUnreachable => "endpoint-unreachable",
            Self::QueueFull => "queue-full",
            Self::OrganisationLimit => "organisation-limit",
            Self::DeadlineUnreachable => "deadline-unreachable",
            Self::DeadlineTooShort => "deadline-too-short",
            Self::NoEndpoint => "no-endpoint",
            Self::Overloaded => "overloaded",
            Self::EndpointsLimited => "endpoints-limited",
            Self::EndpointsPaused => "endpoints-paused",
            Self::Draining => "draining",
            Self::UnknownOrganisation => "unknown-organisation",
            Self::DuplicateRequest => "duplicate-request",
            Self::ConfigurationBehind => "configuration-behind",
            Self::Quarantined => "quarantined",
        }
    }
}
