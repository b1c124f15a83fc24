//! How a send to an endpoint ended, as far as it tells something of the endpoint.

use pomeloramp_proc_macros::key;

/// How a send to an endpoint ended, as far as it tells something of the endpoint.
#[key]
pub enum SendResult {
    /// The endpoint answered whole.
    Answered,
    /// The endpoint answered that it failed, or its answer was damaged.
    Failed,
    /// The endpoint did not run the call because it is full.
    Full,
    /// The endpoint did not run the call because another one of its rank group is down.
    GroupDown,
    /// Another process has the endpoint's address.
    Misdirected,
    /// No connection could be made, or the connection broke.
    Unreachable,
    /// The caller left, so that nothing was learnt.
    Abandoned,
}
