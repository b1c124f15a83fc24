//! The result of a send, for the statistics of its endpoint.

use pomeloramp_proc_macros::key;

/// The result of a send, for the statistics of its endpoint.
#[key]
pub enum SendResult {
    /// The endpoint sent a complete answer.
    Answered,
    /// The endpoint answered with a failure, or its answer was invalid or incomplete.
    Failed,
    /// The endpoint did not run the call because it is full.
    Full,
    /// The endpoint did not run the call because another one of its rank group is down.
    GroupDown,
    /// Another process answered at the endpoint's address.
    Misdirected,
    /// No connection could be established, the connection broke, or no answer arrived in time.
    Unreachable,
    /// The caller disconnected or the call was moved, which says nothing about the endpoint.
    Abandoned,
}
