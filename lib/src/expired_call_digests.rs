//! Digests of calls whose records have expired.

use std::collections::HashMap;
use std::collections::VecDeque;

use sha2::Digest;
use sha2::Sha256;

use crate::CallKey;

const DIGEST_BYTES: usize = 16;
const SEGMENTS_PER_HORIZON: u64 = 16;
const SEGMENTS_PER_CAPACITY: usize = 16;
const RAN_BIT: u64 = 1;

/// What the digest of a call shows after its record has expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExpiredCall {
    /// The call ran.
    Ran,
    /// Whether the call ran is unknown.
    OutcomeUnknown,
    /// The key was used with another body.
    OtherBody,
}

/// Digests of the calls whose records expired within one interval.
#[derive(Debug)]
struct Segment {
    started_ms: u64,
    latest_timestamp_ms: u64,
    /// Body digests by the digest of the call. The lowest bit of a body digest is replaced by a
    /// flag that is set if the call ran.
    calls: HashMap<[u8; DIGEST_BYTES], u64>,
}

/// Keeps 16-byte digests of calls long after their records have expired, with whether each ran.
///
/// Digests are dropped in whole segments, the oldest first. The floor is the latest timestamp
/// among the dropped digests. For a call with a later timestamp, the absence of a digest proves
/// that it never ran.
#[derive(Debug)]
pub(crate) struct ExpiredCallDigests {
    segment_ms: u64,
    max_digests: usize,
    len: usize,
    floor_ms: Option<u64>,
    segments: VecDeque<Segment>,
}

impl ExpiredCallDigests {
    pub(crate) fn new(horizon_ms: u64, max_digests: usize) -> Self {
        Self {
            segment_ms: (horizon_ms / SEGMENTS_PER_HORIZON).max(1),
            max_digests,
            len: 0,
            floor_ms: None,
            segments: VecDeque::new(),
        }
    }

    /// Adds the digest of a call whose record expires now.
    pub(crate) fn insert(
        &mut self,
        call: &CallKey,
        body_digest: u64,
        ran: bool,
        timestamp_ms: u64,
        now_ms: u64,
    ) {
        self.start_segment_if_due(now_ms);
        let Some(segment) = self.segments.back_mut() else {
            return;
        };
        segment.latest_timestamp_ms = segment.latest_timestamp_ms.max(timestamp_ms);
        let value = (body_digest & !RAN_BIT) | u64::from(ran);
        if segment.calls.insert(digest_of(call), value).is_none() {
            self.len += 1;
        }
        while self.len > self.max_digests {
            self.drop_oldest_segment();
        }
    }

    /// Looks up a call; `None` proves that it never ran if its timestamp is above the floor.
    ///
    /// A later timestamp than the one of the digest is recorded, so that the floor covers it once
    /// the digest is dropped.
    pub(crate) fn find(
        &mut self,
        call: &CallKey,
        body_digest: u64,
        timestamp_ms: u64,
    ) -> Option<ExpiredCall> {
        if self.len == 0 {
            return None;
        }
        let digest = digest_of(call);
        let segment = self
            .segments
            .iter_mut()
            .rev()
            .find(|segment| segment.calls.contains_key(&digest))?;
        segment.latest_timestamp_ms = segment.latest_timestamp_ms.max(timestamp_ms);
        let value = segment.calls.get(&digest)?;
        let expired_call = match (value & !RAN_BIT == body_digest & !RAN_BIT, value & RAN_BIT) {
            (false, _) => ExpiredCall::OtherBody,
            (true, RAN_BIT) => ExpiredCall::Ran,
            (true, _) => ExpiredCall::OutcomeUnknown,
        };
        Some(expired_call)
    }

    /// Returns whether digests of calls with this timestamp may have been dropped.
    pub(crate) fn may_have_dropped(&self, timestamp_ms: u64) -> bool {
        self.floor_ms
            .is_some_and(|floor_ms| timestamp_ms <= floor_ms)
    }

    /// Drops the segments that are entirely older than the horizon.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let horizon_ms = self.segment_ms.saturating_mul(SEGMENTS_PER_HORIZON + 1);
        while let Some(segment) = self.segments.front() {
            if segment.started_ms.saturating_add(horizon_ms) > now_ms {
                break;
            }
            self.drop_oldest_segment();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    fn start_segment_if_due(&mut self, now_ms: u64) {
        let max_segment_len = (self.max_digests / SEGMENTS_PER_CAPACITY).max(1);
        let is_due = self.segments.back().is_none_or(|segment| {
            let end_ms = segment.started_ms.saturating_add(self.segment_ms);
            now_ms >= end_ms || segment.calls.len() >= max_segment_len
        });
        if is_due {
            self.segments.push_back(Segment {
                started_ms: now_ms,
                latest_timestamp_ms: 0,
                calls: HashMap::new(),
            });
        }
    }

    fn drop_oldest_segment(&mut self) {
        if let Some(segment) = self.segments.pop_front() {
            self.len -= segment.calls.len();
            self.floor_ms = self.floor_ms.max(Some(segment.latest_timestamp_ms));
        }
    }
}

/// Returns the digest of a call's organisation and key. The hash is cryptographic, so that no
/// organisation can construct a collision with the calls of another.
fn digest_of(call: &CallKey) -> [u8; DIGEST_BYTES] {
    let mut hasher = Sha256::new();
    hasher.update((call.organisation.len() as u64).to_le_bytes());
    hasher.update(call.organisation.as_bytes());
    hasher.update(call.key.as_bytes());
    let full = hasher.finalize();
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&full[..DIGEST_BYTES]);
    digest
}
