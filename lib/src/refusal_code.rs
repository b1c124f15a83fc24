//! Why a queue refused a request.

use pomeloramp_proc_macros::key;

/// Why a queue refused a request; the request was not run.
#[key]
pub enum RefusalCode {
    /// The organisation already has as many requests in flight as its parameters allow.
    OrganisationLimit,
    /// The queue is full and the organisation is not entitled to another's place.
    QueueFull,
    /// The request can't be answered before its deadline.
    DeadlineUnreachable,
    /// The agent is leaving and takes no new work.
    Draining,
    /// No parameters in force name the organisation.
    UnknownOrganisation,
    /// The request's number is already queued or running.
    DuplicateRequest,
}

impl RefusalCode {
    /// Returns the stable code that callers see.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OrganisationLimit => "organisation-limit",
            Self::QueueFull => "queue-full",
            Self::DeadlineUnreachable => "deadline-unreachable",
            Self::Draining => "draining",
            Self::UnknownOrganisation => "unknown-organisation",
            Self::DuplicateRequest => "duplicate-request",
        }
    }
}
