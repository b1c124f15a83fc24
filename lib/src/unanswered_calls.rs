//! Calls that endpoints left unanswered, until it is known whether these have crashed.

use std::collections::VecDeque;

use crate::EndpointRun;

/// Longest time from the end of an unanswered call until its endpoint runs again, if it has crashed.
const RESTART_WINDOW_MS: u64 = 15_000;
/// Most calls that are kept; the oldest is dropped first.
const MAX_CALLS: usize = 256;

/// Calls that endpoints left unanswered.
///
/// An endpoint that falls silent may have crashed, stand still for a moment or be cut off. Only the start
/// of a later run of it shows that it has crashed: whatever stood still goes on in the same run.
///
/// `C` describes a call.
#[derive(Debug)]
pub struct UnansweredCalls<C> {
    /// The calls, the oldest first.
    calls: VecDeque<UnansweredCall<C>>,
}

/// A call that an endpoint left unanswered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnansweredCall<C> {
    /// The call.
    pub call: C,
    /// The run of the endpoint.
    pub run: EndpointRun,
    /// When the call was given up, or its connection broke.
    pub ended_ms: u64,
}

impl<C> Default for UnansweredCalls<C> {
    fn default() -> Self {
        Self {
            calls: VecDeque::new(),
        }
    }
}

impl<C> UnansweredCalls<C> {
    /// Records a call that the run of an endpoint left unanswered.
    pub fn record(&mut self, call: C, run: EndpointRun, now_ms: u64) {
        if self.calls.len() == MAX_CALLS {
            self.calls.pop_front();
        }
        self.calls.push_back(UnansweredCall {
            call,
            run,
            ended_ms: now_ms,
        });
    }

    /// Returns whether no call waits for evidence.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Removes and returns the calls whose endpoints have crashed, as `has_ended` tells of their runs.
    pub fn take_crashed(
        &mut self,
        has_ended: impl Fn(&EndpointRun) -> bool,
        now_ms: u64,
    ) -> Vec<UnansweredCall<C>> {
        let is_recent =
            |call: &UnansweredCall<C>| now_ms.saturating_sub(call.ended_ms) <= RESTART_WINDOW_MS;
        self.calls.retain(is_recent);
        let calls = std::mem::take(&mut self.calls);
        let (crashed, others): (VecDeque<_>, VecDeque<_>) =
            calls.into_iter().partition(|call| has_ended(&call.run));
        self.calls = others;
        crashed.into()
    }
}
