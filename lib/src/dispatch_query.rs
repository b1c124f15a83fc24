//! A call's request for an endpoint.

use bon::Builder;
use pomeloramp_proc_macros::value;

/// A call's request for an endpoint of a service. Times are those of the process's own clock.
#[value]
#[derive(Builder)]
pub struct DispatchQuery {
    /// Number of the call, unique in its process.
    pub call: u64,
    /// Name of the service.
    pub service: String,
    /// 0 is the least urgent, [`MAX_URGENCY`](crate::MAX_URGENCY) the most.
    pub urgency: u32,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Whether this is the call's first request for an endpoint. A call that found nobody listening makes
    /// another one.
    #[builder(default = true)]
    pub is_first: bool,
    /// Whether the caller returns after a refusal.
    #[builder(default)]
    pub is_returning: bool,
    /// Time by which the call must be sent so that its answer is on time.
    pub on_time_until_ms: u64,
    /// Time after which it is useless to send the call.
    pub useful_until_ms: u64,
    /// Ids of the endpoints that the call was already sent to.
    #[builder(default)]
    pub exclude: Vec<String>,
}
