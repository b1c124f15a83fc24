//! Request that was given a slot.

use pomeloramp_proc_macros::value;

use crate::RequestNumber;
use crate::SlotAccount;

/// Request that was given a slot and must be sent to the endpoint.
#[value]
pub struct StartedRequest {
    /// Number of the request at this agent.
    pub number: RequestNumber,
    /// Organisation that the request is charged to.
    pub organisation: String,
    /// Account that the slot is charged to.
    pub account: SlotAccount,
}
