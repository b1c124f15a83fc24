//! A request as the queue of an endpoint sees it.

use pomeloramp_proc_macros::value;

use crate::RequestNumber;

/// A request offered to the queue of one endpoint.
#[value]
pub struct QueuedRequest {
    /// Name of the request at this agent.
    pub number: RequestNumber,
    /// Organisation that pays for the request.
    pub organisation: String,
    /// Time on the agent's clock by which the request must be answered.
    pub deadline_ms: u64,
    /// Time that the request is expected to hold a slot before it meets its deadline.
    pub expected_run_ms: u64,
}

impl QueuedRequest {
    /// Returns the latest time at which a start still meets the deadline, or `None` when even a
    /// start at time zero would not.
    #[must_use]
    pub fn latest_start_ms(&self) -> Option<u64> {
        self.deadline_ms.checked_sub(self.expected_run_ms)
    }
}
