//! What the actor of an agent is told and asked, and what it answers.

use tokio::sync::oneshot;

use crate::CallAttempt;
use crate::ContentFingerprint;
use crate::Refusal;
use crate::RequestNumber;
use crate::StoredAnswer;
use crate::protos::control::IdleTime;
use crate::protos::template::OrganisationParameters;

/// A call that asks to run.
pub(crate) struct CallAdmission {
    pub(crate) organisation: String,
    /// Set for a call that may not be repeated.
    pub(crate) attempt: Option<CallAttempt>,
    pub(crate) time_left_ms: u64,
    pub(crate) queued_tokens: u64,
    /// The entry's configuration is newer than this agent's.
    pub(crate) is_config_behind: bool,
    /// Names the content, whoever sends it.
    pub(crate) content: ContentFingerprint,
    pub(crate) reply: oneshot::Sender<AdmissionDecision>,
}

/// What an agent does with a call.
#[derive(Debug)]
pub(crate) enum AdmissionDecision {
    /// Send the call to the endpoint now, and report its end under this number.
    Run(RequestNumber),
    /// The call ran; this is its answer.
    Replay(StoredAnswer),
    /// The call ran, and its answer is no longer held.
    AnswerGone,
    /// The call does not run for this send.
    Refused(Refusal),
}

/// How a call that was sent to the endpoint ended.
#[derive(Debug)]
pub(crate) enum CallResult {
    /// The whole answer came; it is kept for resends of a call that may not be repeated.
    Answered(StoredAnswer),
    /// The answer was streamed to its end.
    Streamed,
    /// No byte reached the endpoint.
    NotStarted,
    /// The answer was lost.
    Lost,
}

/// What the actor is told or asked.
pub(crate) enum AgentCommand {
    /// A call asks to run.
    Admit(CallAdmission),
    /// A call that was told to run has ended.
    Ended {
        number: RequestNumber,
        end: CallResult,
    },
    /// A call that was told to run has ended because the endpoint is gone.
    Crashed {
        number: RequestNumber,
        /// Hears when the crash has been noted against the content.
        noted: oneshot::Sender<()>,
    },
    /// Parameters of the organisations come into force.
    SetParameters(Vec<OrganisationParameters>),
    /// New calls are refused from now on.
    Drain,
    /// An operator asks where the endpoint's capacity went.
    IdleTimes {
        service: String,
        reply: oneshot::Sender<Vec<IdleTime>>,
    },
}
