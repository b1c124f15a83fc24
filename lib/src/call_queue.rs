//! Calls of one service that wait for a slot at one of its endpoints.

use std::cmp::Reverse;

use crate::DispatchQuery;

/// A call that is queued for a slot.
#[derive(Debug)]
pub(crate) struct QueuedCall {
    pub(crate) query: DispatchQuery,
    pub(crate) since_ms: u64,
    /// Time at which the call is refused unless it has a slot.
    pub(crate) until_ms: u64,
}

/// Calls of one service that wait for a slot at one of its endpoints.
///
/// More urgent calls go before less urgent ones, callers that retry after a refusal before new ones, and
/// calls that can still be on time before those that are late.
#[derive(Debug, Default)]
pub(crate) struct CallQueue {
    calls: Vec<QueuedCall>,
}

impl CallQueue {
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(crate) fn push(&mut self, call: QueuedCall) {
        self.calls.push(call);
    }

    /// Puts calls back that were taken.
    pub(crate) fn put_back(&mut self, mut calls: Vec<QueuedCall>) {
        self.calls.append(&mut calls);
    }

    /// Removes the call with this number, if it is queued.
    pub(crate) fn remove(&mut self, call: u64) {
        self.calls.retain(|queued| queued.query.call != call);
    }

    /// Takes the call that is served next.
    pub(crate) fn take_next(&mut self, now_ms: u64) -> Option<QueuedCall> {
        let queued = self.calls.iter().enumerate();
        let live = queued.filter(|(_, queued)| now_ms < queued.until_ms);
        let next = live.max_by_key(|(_, queued)| precedence(queued, now_ms));
        let position = next.map(|(position, _)| position)?;
        Some(self.calls.swap_remove(position))
    }

    /// Takes all calls, in the order in which they are served.
    pub(crate) fn take_all(&mut self, now_ms: u64) -> Vec<QueuedCall> {
        let mut calls = std::mem::take(&mut self.calls);
        calls.sort_by_key(|queued| Reverse(precedence(queued, now_ms)));
        calls
    }

    /// Takes the calls that have waited too long.
    pub(crate) fn take_expired(&mut self, now_ms: u64) -> Vec<QueuedCall> {
        let is_expired = |queued: &mut QueuedCall| now_ms >= queued.until_ms;
        self.calls.extract_if(.., is_expired).collect()
    }

    /// Returns the number of calls that are served before a new one.
    pub(crate) fn count_ahead_of(&self, query: &DispatchQuery, now_ms: u64) -> usize {
        let new_call = QueuedCall {
            query: query.clone(),
            since_ms: now_ms,
            until_ms: query.useful_until_ms,
        };
        let own_precedence = precedence(&new_call, now_ms);
        let queued = self.calls.iter();
        let ahead = queued.filter(|queued| precedence(queued, now_ms) > own_precedence);
        ahead.count()
    }
}

/// Returns the sort key of a queued call; the greatest is served first.
fn precedence(queued: &QueuedCall, now_ms: u64) -> (u32, bool, bool, Reverse<u64>, Reverse<u64>) {
    let query = &queued.query;
    let is_on_time = now_ms <= query.on_time_until_ms;
    (
        query.urgency,
        query.is_returning,
        is_on_time,
        Reverse(queued.since_ms),
        Reverse(query.call),
    )
}
