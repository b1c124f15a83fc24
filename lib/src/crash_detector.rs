//! Detects crashes of endpoints and the calls that ran there.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::ContentFingerprint;

/// Longest time between a broken call and the evidence that its endpoint is dead.
const EVIDENCE_WINDOW_MS: u64 = 2_000;
/// Most broken calls that are kept; the oldest is dropped first.
const MAX_BROKEN_CALLS: usize = 256;

/// Detects crashes of endpoints and the calls that ran there, from what one entry sees.
///
/// A broken connection alone is no crash: connections are reset for other reasons too. It counts as
/// one when, shortly before or after, the endpoint does not accept connections or another endpoint
/// of its rank group reports it as dead.
#[derive(Debug, Default)]
pub struct CrashDetector {
    /// Calls whose connection broke, the oldest first.
    broken_calls: VecDeque<BrokenCall>,
    /// When each endpoint was last found dead.
    dead_at_ms: HashMap<String, u64>,
}

#[derive(Debug)]
struct BrokenCall {
    content: ContentFingerprint,
    endpoint: String,
    at_ms: u64,
}

impl CrashDetector {
    /// Records that the connection of a call broke; returns whether its endpoint has crashed.
    pub fn record_broken_call(
        &mut self,
        content: ContentFingerprint,
        endpoint: &str,
        now_ms: u64,
    ) -> bool {
        self.remove_expired(now_ms);
        if self.dead_at_ms.contains_key(endpoint) {
            return true;
        }
        if self.broken_calls.len() == MAX_BROKEN_CALLS {
            self.broken_calls.pop_front();
        }
        self.broken_calls.push_back(BrokenCall {
            content,
            endpoint: endpoint.to_owned(),
            at_ms: now_ms,
        });
        false
    }

    /// Records that an endpoint is dead; returns the contents of the calls that broke there.
    pub fn record_dead_endpoint(&mut self, endpoint: &str, now_ms: u64) -> Vec<ContentFingerprint> {
        self.remove_expired(now_ms);
        self.dead_at_ms.insert(endpoint.to_owned(), now_ms);
        let mut contents = Vec::new();
        self.broken_calls.retain(|call| {
            let is_at_endpoint = call.endpoint == endpoint;
            if is_at_endpoint {
                contents.push(call.content);
            }
            !is_at_endpoint
        });
        contents
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) <= EVIDENCE_WINDOW_MS;
        self.broken_calls.retain(|call| is_recent(call.at_ms));
        self.dead_at_ms.retain(|_, at_ms| is_recent(*at_ms));
    }
}
