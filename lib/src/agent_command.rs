//! Commands to the agent's actor, and its replies.

use tokio::sync::oneshot;

use crate::CallAttempt;
use crate::ContentFingerprint;
use crate::Refusal;
use crate::RequestNumber;
use crate::StoredAnswer;
use crate::protos::control::IdleTime;
use crate::protos::template::OrganisationParameters;

/// A call that requests admission.
pub(crate) struct CallAdmission {
    pub(crate) organisation: String,
    /// Set for a call that may run at most once.
    pub(crate) attempt: Option<CallAttempt>,
    pub(crate) time_left_ms: u64,
    pub(crate) queued_tokens: u64,
    /// Whether the entry's configuration is newer than this agent's.
    pub(crate) is_config_behind: bool,
    /// Fingerprint of the content, independent of the sender.
    pub(crate) content: ContentFingerprint,
    pub(crate) reply: oneshot::Sender<AdmissionDecision>,
}

/// The actor's decision on a call.
#[derive(Debug)]
pub(crate) enum AdmissionDecision {
    /// The call must be sent to the endpoint now, and its result reported under this number.
    Run(RequestNumber),
    /// The call ran, and this is its stored answer.
    Replay(StoredAnswer),
    /// The call ran, and its answer is no longer stored.
    AnswerGone,
    /// This send of the call is refused.
    Refused(Refusal),
}

/// Result of a call that was admitted.
#[derive(Debug)]
pub(crate) enum CallResult {
    /// The complete answer was received. It is stored for resends if the call may run at most once.
    Answered(StoredAnswer),
    /// The answer was streamed, or the endpoint answered with an error status.
    Streamed,
    /// No byte of the call reached the endpoint.
    NotStarted,
    /// The answer was lost, so whether the call ran is unknown.
    Lost,
}

/// Command to the agent's actor.
pub(crate) enum AgentCommand {
    /// Decides on a call.
    Admit(CallAdmission),
    /// Records the end of an admitted call.
    Ended {
        number: RequestNumber,
        result: CallResult,
    },
    /// Records the end of an admitted call whose endpoint crashed.
    Crashed {
        number: RequestNumber,
        /// Notified when the crash has been recorded in the quarantine.
        recorded: oneshot::Sender<()>,
    },
    /// Replaces the parameters of the organisations.
    SetParameters(Vec<OrganisationParameters>),
    /// Refuses new calls from now on.
    Drain,
    /// Requests how the endpoint's capacity was used, lent or left idle, per organisation.
    IdleTimes {
        service: String,
        reply: oneshot::Sender<Vec<IdleTime>>,
    },
}
