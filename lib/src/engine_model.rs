//! Published models of how long engine passes take and of the experts of a rank group.

use pomeloramp_proc_macros::document;

/// The published model of how long a pass of a model engine takes.
///
/// A pass runs `steps_per_pass` token steps. Each step takes `step_ms` plus `request_ms` for every
/// request in the decode phase.
#[document]
pub struct EngineModel {
    /// Most requests that an endpoint runs at once.
    pub slots: u32,
    /// Token steps in one pass.
    pub steps_per_pass: u32,
    /// Time of a token step without requests, in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding request adds to a token step, in milliseconds.
    pub request_ms: f64,
    /// Prompt tokens that an endpoint processes per second.
    pub prefill_tokens_per_s: f64,
    /// Mean length of an answer, in tokens.
    pub mean_answer_tokens: f64,
    /// The experts of the rank group; absent for engines that form no groups.
    pub experts: Option<ExpertModel>,
}

/// The published sizes of a rank group's experts.
#[document]
pub struct ExpertModel {
    /// Number of layer sets, each with its own placement of experts.
    pub set_count: u32,
    /// Number of experts in a set.
    pub expert_count: u32,
    /// Most experts of a set that a rank can hold.
    pub slots_per_rank: u32,
    /// Most experts of a set that one map change may add to a rank.
    pub max_new_per_rank: u32,
    /// Size of one expert of one set, in megabytes.
    pub expert_mb: f64,
    /// Rate at which a rank copies experts, in megabits per second.
    pub link_mbit_per_s: f64,
    /// Share of the work per token that is done by the experts, from 0 to 1.
    pub work_share: f64,
}

/// The figures of a rank group that the planner of its expert maps uses.
#[document]
pub struct GroupModel {
    /// The sizes of the group's experts.
    pub experts: ExpertModel,
    /// Longest pause between events of a stream that is on time; zero when none is set.
    pub target_pause_ms: u64,
}

impl EngineModel {
    /// Returns the time of a pass with `requests` decoding requests on each endpoint and no load
    /// imbalance.
    #[must_use]
    pub fn pass_ms(&self, requests: f64) -> f64 {
        f64::from(self.steps_per_pass) * (self.step_ms + self.request_ms * requests)
    }

    /// Returns how long an answer of mean length takes with half of the slots in use and no load
    /// imbalance.
    #[must_use]
    pub fn mean_answer_ms(&self) -> f64 {
        let passes = self.mean_answer_tokens / f64::from(self.steps_per_pass.max(1));
        passes * self.pass_ms(f64::from(self.slots) / 2.0)
    }

    /// Returns how many requests an endpoint may run so that a pass takes `pass_ms` at most, where
    /// passes take `slowdown` times as long as without load imbalance.
    #[must_use]
    pub fn max_requests_for_pass(&self, pass_ms: f64, slowdown: f64) -> f64 {
        let step_ms = pass_ms / (f64::from(self.steps_per_pass.max(1)) * slowdown.max(0.1));
        ((step_ms - self.step_ms) / self.request_ms.max(1e-3)).max(0.0)
    }
}
