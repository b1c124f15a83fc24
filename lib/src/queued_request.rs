//! Request that is offered to the queue of an endpoint.

use pomeloramp_proc_macros::value;

use crate::RequestNumber;

/// Request that is offered to the queue of one endpoint.
#[value]
pub struct QueuedRequest {
    /// Number of the request at this agent.
    pub number: RequestNumber,
    /// Organisation that the request is charged to.
    pub organisation: String,
    /// Time on the agent's monotonic clock by which the request must be answered.
    pub deadline_ms: u64,
    /// Time for which the request is expected to hold a slot.
    pub expected_run_ms: u64,
}

impl QueuedRequest {
    /// Returns the latest start time that meets the deadline, or `None` if a start at time zero
    /// would already miss it.
    #[must_use]
    pub fn latest_start_ms(&self) -> Option<u64> {
        self.deadline_ms.checked_sub(self.expected_run_ms)
    }
}
