//! Failure of a send to an endpoint.

use crate::DirectRefusal;
use crate::SendResult;

const OVERLOAD_RETRY_MS: u64 = 500;
const UNREACHABLE_RETRY_MS: u64 = 400;

/// What a failed send indicates about a crash of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CrashEvidence {
    /// No indication of a crash.
    None,
    /// The endpoint did not answer in time: it may have crashed, stand still or be cut off.
    Silence,
    /// The connection broke after the call was written.
    ConnectionBroken,
    /// No connection to the endpoint could be established.
    NotListening,
    /// The endpoint reported that another endpoint, named here, is at fault.
    OtherEndpointDead(String),
}

/// Failure of a send to an endpoint, without an answer for the caller.
pub(crate) struct SendFailure {
    pub(crate) result: SendResult,
    pub(crate) reason: String,
    /// Refusal for the caller if the call is not sent again.
    pub(crate) refusal: DirectRefusal,
    /// Whether it is certain that the call did not run.
    pub(crate) is_not_run: bool,
    /// Whether a byte of the call was written to the endpoint.
    pub(crate) is_written: bool,
    pub(crate) crash_evidence: CrashEvidence,
}

impl SendFailure {
    /// Creates the failure of a send of which no byte was written.
    pub(crate) fn unwritten(reason: String) -> Self {
        Self {
            result: SendResult::Unreachable,
            refusal: DirectRefusal::not_run(
                "endpoint-unreachable",
                "no endpoint could be reached",
                UNREACHABLE_RETRY_MS,
            ),
            reason,
            is_not_run: true,
            is_written: false,
            crash_evidence: CrashEvidence::NotListening,
        }
    }

    /// Creates the failure of a send that the endpoint reported as not run.
    pub(crate) fn not_run(
        result: SendResult,
        reason: String,
        endpoint_at_fault: Option<String>,
    ) -> Self {
        Self {
            result,
            refusal: DirectRefusal::not_run(
                "endpoint-full",
                "the endpoint did not run the request",
                OVERLOAD_RETRY_MS,
            ),
            reason,
            is_not_run: true,
            is_written: true,
            crash_evidence: endpoint_at_fault
                .map_or(CrashEvidence::None, CrashEvidence::OtherEndpointDead),
        }
    }

    /// Creates the failure of a send that may have run and got no valid answer.
    pub(crate) fn lost(result: SendResult, reason: String) -> Self {
        Self {
            result,
            refusal: DirectRefusal::lost("endpoint-lost", "the endpoint's answer was lost"),
            reason,
            is_not_run: false,
            is_written: true,
            crash_evidence: CrashEvidence::None,
        }
    }

    /// Creates the failure of a send whose connection broke after the call was written.
    pub(crate) fn broken(result: SendResult, reason: String) -> Self {
        Self {
            crash_evidence: CrashEvidence::ConnectionBroken,
            ..Self::lost(result, reason)
        }
    }

    /// Creates the failure of a send that got no answer in time.
    pub(crate) fn timed_out() -> Self {
        Self {
            refusal: DirectRefusal::late("the answer did not come within the deadline"),
            crash_evidence: CrashEvidence::Silence,
            ..Self::lost(SendResult::Unreachable, "no answer in time".to_owned())
        }
    }

    /// Creates the failure of a send that was abandoned because the endpoint is slow.
    pub(crate) fn abandoned_slow() -> Self {
        Self {
            result: SendResult::Abandoned,
            reason: "endpoint is slow".to_owned(),
            crash_evidence: CrashEvidence::None,
            ..Self::timed_out()
        }
    }

    /// Returns whether the send was abandoned because the endpoint is slow.
    pub(crate) fn is_slow(&self) -> bool {
        self.result == SendResult::Abandoned
    }
}
