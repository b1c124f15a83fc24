//! A request that was given a slot.

use pomeloramp_proc_macros::value;

use crate::RequestNumber;
use crate::SlotAccount;

/// A request that was given a slot and must be sent to the endpoint.
#[value]
pub struct StartedRequest {
    /// Name of the request at this agent.
    pub number: RequestNumber,
    /// Organisation that pays for the request.
    pub organisation: String,
    /// Account on which the slot is held.
    pub account: SlotAccount,
}
