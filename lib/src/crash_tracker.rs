//! Tracks content that crashes endpoints, for an entry that sends calls to endpoints directly.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::ContentFingerprint;
use crate::ContentStatus;
use crate::CrashDetector;
use crate::Quarantine;
use crate::QuarantineSettings;
use crate::clock::Clock;
use crate::crashed_call::CrashedCall;
use crate::event;
use crate::protos::control::QuarantineEntry;

const MAX_ENTRIES: usize = 4_096;
const SUSPICION_MS: u64 = 60_000;
const QUARANTINE_MS: u64 = 300_000;
const TRANSIT_MARGIN_MS: u64 = 1_000;
/// Crashes after which content is refused. Several calls run at an endpoint when it crashes, so one
/// crash does not show which of them caused it.
const QUARANTINE_AFTER_CRASHES: u32 = 3;
/// Time for which a change is repeated to the other entries.
const CHANGE_RELAY_MS: u64 = 700;
/// Most contents that one gossip report names.
const MAX_REPORTED_CONTENTS: usize = 16;

/// Tracks content that crashes endpoints and quarantines it after repeated crashes.
#[derive(Debug, Clone)]
pub(crate) struct CrashTracker {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    detector: CrashDetector<CrashedCall>,
    quarantine: Quarantine,
    /// Times at which `recent_changes` was called, with the quarantine's version at each; the
    /// oldest first.
    versions: VecDeque<(u64, u64)>,
}

impl CrashTracker {
    /// Creates a tracker that has seen no crash.
    pub(crate) fn new(clock: Clock) -> Self {
        let settings = QuarantineSettings::builder()
            .max_entries(MAX_ENTRIES)
            .suspicion_ms(SUSPICION_MS)
            .quarantine_ms(QUARANTINE_MS)
            .transit_margin_ms(TRANSIT_MARGIN_MS)
            .quarantine_after_shared_crashes(QUARANTINE_AFTER_CRASHES)
            .build();
        let state = State {
            detector: CrashDetector::default(),
            quarantine: Quarantine::new(settings),
            versions: VecDeque::new(),
        };
        Self {
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns for how much longer a content is refused; `None` when it is accepted.
    pub(crate) fn refused_for_ms(&self, content: ContentFingerprint) -> Option<u64> {
        let now_ms = self.clock.now_ms();
        let entry = self.lock().quarantine.entry_of(content, now_ms)?;
        entry.quarantined.then_some(entry.expires_in_ms)
    }

    /// Records that the connection of a call to an endpoint broke.
    pub(crate) fn record_broken_call(&self, call: CrashedCall, endpoint: &str) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        if let Some(call) = state.detector.record_broken_call(call, endpoint, now_ms) {
            state.record_crash(&[call], endpoint, now_ms);
        }
    }

    /// Records that an endpoint is dead.
    pub(crate) fn record_dead_endpoint(&self, endpoint: &str) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let calls = state.detector.record_dead_endpoint(endpoint, now_ms);
        state.record_crash(&calls, endpoint, now_ms);
    }

    /// Merges the quarantine entries that another entry reports.
    pub(crate) fn merge(&self, entries: &[QuarantineEntry]) {
        if !entries.is_empty() {
            let now_ms = self.clock.now_ms();
            self.lock().quarantine.merge(entries, now_ms);
        }
    }

    /// Returns the recent changes of the quarantine, for the other entries.
    pub(crate) fn recent_changes(&self) -> Vec<QuarantineEntry> {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        state.quarantine.expire(now_ms);
        let version = state.quarantine.version();
        state.versions.push_back((now_ms, version));
        let is_expired = |at_ms: u64| now_ms.saturating_sub(at_ms) > CHANGE_RELAY_MS;
        while state.versions.len() > 1 && is_expired(state.versions[1].0) {
            state.versions.pop_front();
        }
        let relayed_version = state
            .versions
            .front()
            .filter(|(at_ms, _)| is_expired(*at_ms));
        let relayed_version = relayed_version.map_or(0, |(_, version)| *version);
        let changes =
            state
                .quarantine
                .changes_after(relayed_version, MAX_REPORTED_CONTENTS, now_ms);
        changes.0
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Records a crash of an endpoint while it ran these calls.
    fn record_crash(&mut self, calls: &[CrashedCall], endpoint: &str, now_ms: u64) {
        if calls.is_empty() {
            return;
        }
        event!(
            EndpointCrashed,
            "endpoint={endpoint} requests={}",
            calls.len()
        );
        for call in calls {
            event!(
                CallAtCrash,
                "request_id={} endpoint={endpoint} crash={:08x} fingerprint={:016x} parts={}",
                call.request_id,
                call.crash,
                call.content.fingerprint.0,
                call.part_list()
            );
        }
        let contents: Vec<_> = calls.iter().map(|call| call.content.fingerprint).collect();
        self.quarantine.record_shared_crash(&contents, now_ms);
        for content in &contents {
            if self.quarantine.content_status(*content, now_ms) == ContentStatus::Quarantined {
                event!(ContentQuarantined, "fingerprint={:016x}", content.0);
            }
        }
    }
}
