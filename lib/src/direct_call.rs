//! The head of a caller's request.

use bon::Builder;
use pomeloramp_proc_macros::value;

/// The fields of a caller's request head that an entry uses.
#[value]
#[derive(Builder)]
pub struct DirectCall {
    /// Id that the caller assigned to this attempt.
    pub request_id: String,
    /// Host name of the request.
    pub host: String,
    /// Credential of the caller's organisation.
    pub credential: Option<String>,
    /// Time for which the caller still waits; absent when it states none.
    pub time_left_ms: Option<u64>,
    /// Id of the last event that the caller has received of a stream that it resumes.
    pub resume_after: Option<u64>,
    /// Ids of the parts of the prompt that other calls may share, in order.
    #[builder(default)]
    pub shared_parts: Vec<u64>,
    /// Length of the prompt, in tokens; zero when unknown.
    #[builder(default)]
    pub prompt_tokens: u64,
    /// Longest answer that the caller accepts, in tokens; zero when unknown.
    #[builder(default)]
    pub max_answer_tokens: u64,
}
