//! The head of a call that is sent to an endpoint directly.

use bon::Builder;
use pomeloramp_proc_macros::value;

/// What an entry needs to know of the head of a caller's request.
#[value]
#[derive(Builder)]
pub struct DirectCall {
    /// Id that the caller gave to this attempt.
    pub request_id: String,
    /// Host that the request names.
    pub host: String,
    /// Credential of the caller's organisation.
    pub credential: Option<String>,
    /// Time for which the caller waits.
    pub time_left_ms: Option<u64>,
    /// Last event that the caller has of a stream that it resumes.
    pub resume_after: Option<u64>,
    /// Length of the prompt, in tokens; zero when not known.
    #[builder(default)]
    pub prompt_tokens: u64,
    /// Longest answer that the caller takes, in tokens; zero when not known.
    #[builder(default)]
    pub max_answer_tokens: u64,
}
