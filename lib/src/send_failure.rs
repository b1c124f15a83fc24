//! Why a send to an endpoint gave no answer to pass on.

use crate::DirectRefusal;
use crate::SendResult;

const OVERLOAD_RETRY_MS: u64 = 500;
const UNREACHABLE_RETRY_MS: u64 = 400;

/// What a failed send tells of a crash of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CrashEvidence {
    /// Nothing.
    None,
    /// The connection broke while the endpoint had the call.
    ConnectionBroken,
    /// Nobody listens at the endpoint.
    NotListening,
    /// The endpoint says that another one is at fault.
    OtherEndpointDead(String),
}

/// Why a send to an endpoint gave no answer to pass on.
pub(crate) struct SendFailure {
    pub(crate) result: SendResult,
    pub(crate) reason: String,
    /// What the caller is told if the call is not sent again.
    pub(crate) refusal: DirectRefusal,
    /// Nothing of the call can have run.
    pub(crate) is_not_run: bool,
    /// A byte of the call was written to the endpoint.
    pub(crate) is_written: bool,
    pub(crate) crash_evidence: CrashEvidence,
}

impl SendFailure {
    /// No byte of the call was written.
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

    /// The endpoint said that it did not run the call.
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

    /// The call may have run, and no valid answer came.
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

    /// The connection broke after the call was written.
    pub(crate) fn broken(result: SendResult, reason: String) -> Self {
        Self {
            crash_evidence: CrashEvidence::ConnectionBroken,
            ..Self::lost(result, reason)
        }
    }

    /// The answer did not come in time.
    pub(crate) fn timed_out() -> Self {
        Self {
            refusal: DirectRefusal::late("the answer did not come within the deadline"),
            ..Self::lost(SendResult::Unreachable, "no answer in time".to_owned())
        }
    }

    /// The call was taken away from an endpoint that is slow.
    pub(crate) fn abandoned_slow() -> Self {
        Self {
            result: SendResult::Abandoned,
            reason: "endpoint is slow".to_owned(),
            ..Self::timed_out()
        }
    }
}
