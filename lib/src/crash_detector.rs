//! Detects crashes of endpoints and the calls that ran there.

use std::collections::HashMap;
use std::collections::VecDeque;

/// Longest time between a broken call and the evidence that its endpoint is dead.
const EVIDENCE_WINDOW_MS: u64 = 2_000;
/// Most broken calls that are kept; the oldest is dropped first.
const MAX_BROKEN_CALLS: usize = 256;

/// Detects crashes of endpoints and the calls that ran there, from what one entry sees.
///
/// A broken connection alone is no crash: connections are reset for other reasons too. It counts as
/// one when, shortly before or after, the endpoint does not accept connections or another endpoint
/// of its rank group reports it as dead.
///
/// `C` describes a call.
#[derive(Debug)]
pub struct CrashDetector<C> {
    /// Calls whose connection broke, the oldest first.
    broken_calls: VecDeque<BrokenCall<C>>,
    /// When each endpoint was last found dead.
    dead_at_ms: HashMap<String, u64>,
}

#[derive(Debug)]
struct BrokenCall<C> {
    call: C,
    endpoint: String,
    at_ms: u64,
}

impl<C> Default for CrashDetector<C> {
    fn default() -> Self {
        Self {
            broken_calls: VecDeque::new(),
            dead_at_ms: HashMap::new(),
        }
    }
}

impl<C> CrashDetector<C> {
    /// Records that the connection of a call broke; returns the call if its endpoint has crashed.
    pub fn record_broken_call(&mut self, call: C, endpoint: &str, now_ms: u64) -> Option<C> {
        self.remove_expired(now_ms);
        if self.dead_at_ms.contains_key(endpoint) {
            return Some(call);
        }
        if self.broken_calls.len() == MAX_BROKEN_CALLS {
            self.broken_calls.pop_front();
        }
        self.broken_calls.push_back(BrokenCall {
            call,
            endpoint: endpoint.to_owned(),
            at_ms: now_ms,
        });
        None
    }

    /// Records that an endpoint is dead; returns the calls that broke there.
    pub fn record_dead_endpoint(&mut self, endpoint: &str, now_ms: u64) -> Vec<C> {
        self.remove_expired(now_ms);
        self.dead_at_ms.insert(endpoint.to_owned(), now_ms);
        let broken_calls = std::mem::take(&mut self.broken_calls);
        let (at_endpoint, elsewhere): (VecDeque<_>, VecDeque<_>) = broken_calls
            .into_iter()
            .partition(|broken| broken.endpoint == endpoint);
        self.broken_calls = elsewhere;
        at_endpoint.into_iter().map(|broken| broken.call).collect()
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) <= EVIDENCE_WINDOW_MS;
        self.broken_calls.retain(|call| is_recent(call.at_ms));
        self.dead_at_ms.retain(|_, at_ms| is_recent(*at_ms));
    }
}
