//! The published model of how long a rank group's passes take.

use pomeloramp_proc_macros::document;

/// The published model of how long a pass of a model engine takes.
///
/// A pass runs `steps_per_pass` token steps; each of them takes `step_ms` plus `request_ms` for
/// every request that is writing.
#[document]
pub struct EngineModel {
    /// Requests that an endpoint runs at once.
    pub slots: u32,
    /// Token steps of one pass.
    pub steps_per_pass: u32,
    /// Time of a token step without requests, in milliseconds.
    pub step_ms: f64,
    /// Time that each writing request adds to a token step, in milliseconds.
    pub request_ms: f64,
    /// Tokens of prompts that an endpoint reads in a second.
    pub prefill_tokens_per_s: f64,
    /// Mean length of an answer, in tokens.
    pub mean_answer_tokens: f64,
    /// The expert-parallel part; absent for engines that form no groups.
    pub experts: Option<ExpertModel>,
}

/// The published sizes of a rank group's experts.
#[document]
pub struct ExpertModel {
    /// Sets of layers, each with a placement of its own.
    pub set_count: u32,
    /// Experts of a set.
    pub expert_count: u32,
    /// Experts of a set that a rank has room for.
    pub slots_per_rank: u32,
    /// Experts of a set that one change may add to a rank.
    pub max_new_per_rank: u32,
    /// Size of one expert of one set, in megabytes.
    pub expert_mb: f64,
    /// Rate at which a rank copies experts, in megabits a second.
    pub link_mbit_per_s: f64,
    /// Share of the work for tokens that the experts do, from 0 to 1.
    pub work_share: f64,
}

/// What a planner of expert maps needs to know of its group.
#[document]
pub struct GroupModel {
    /// The sizes of the group's experts.
    pub experts: ExpertModel,
    /// Longest pause between events of a stream that is on time; zero when none is set.
    pub target_pause_ms: u64,
}

impl EngineModel {
    /// Returns the time of a pass with `requests` writing on each endpoint and no skew.
    #[must_use]
    pub fn pass_ms(&self, requests: f64) -> f64 {
        f64::from(self.steps_per_pass) * (self.step_ms + self.request_ms * requests)
    }

    /// Returns how long an answer of the usual length takes with half of the slots in use and no
    /// skew.
    #[must_use]
    pub fn mean_answer_ms(&self) -> f64 {
        let passes = self.mean_answer_tokens / f64::from(self.steps_per_pass.max(1));
        passes * self.pass_ms(f64::from(self.slots) / 2.0)
    }

    /// Returns how many requests an endpoint may run so that a pass takes `pass_ms` at most,
    /// where passes take `slowdown` times as long as without skew.
    #[must_use]
    pub fn max_requests_for_pass(&self, pass_ms: f64, slowdown: f64) -> f64 {
        let step_ms = pass_ms / (f64::from(self.steps_per_pass.max(1)) * slowdown.max(0.1));
        ((step_ms - self.step_ms) / self.request_ms.max(1e-3)).max(0.0)
    }
}
