//! Tracks content and prompt parts that crash endpoints, for an entry that sends calls to endpoints
//! directly.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::ContentFingerprint;
use crate::ContentStatus;
use crate::CrashDetector;
use crate::PartQuarantine;
use crate::PartQuarantineSettings;
use crate::PromptPart;
use crate::Quarantine;
use crate::QuarantineSettings;
use crate::clock::Clock;
use crate::crashed_call::CallContent;
use crate::crashed_call::CrashedCall;
use crate::event;
use crate::protos::control::CrashedPart;
use crate::protos::control::GossipReport;
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
/// Time between two reports of all refused prompt parts, from which entries that start later learn.
const FULL_REPORT_INTERVAL_MS: u64 = 1_000;
/// Source in log lines of what this entry has seen itself.
const OWN_SOURCE: &str = "own";

/// What a call is refused for.
#[derive(Debug, Clone, Copy)]
pub(crate) enum QuarantineReason {
    Content(ContentFingerprint),
    Part(PromptPart),
}

/// Tracks content and prompt parts that crash endpoints and quarantines them after repeated crashes.
#[derive(Debug, Clone)]
pub(crate) struct CrashTracker {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    detector: CrashDetector<CrashedCall>,
    quarantine: Quarantine,
    parts: PartQuarantine,
    /// Time of the last full report of the refused parts.
    full_report_ms: u64,
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
            parts: PartQuarantine::new(PartQuarantineSettings::builder().build()),
            full_report_ms: 0,
            versions: VecDeque::new(),
        };
        Self {
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns why a call is refused and for how much longer; `None` when it is accepted.
    pub(crate) fn refusal(&self, content: &CallContent) -> Option<(QuarantineReason, u64)> {
        let now_ms = self.clock.now_ms();
        let state = self.lock();
        if let Some((part, remaining_ms)) = state.parts.refusal(&content.parts, now_ms) {
            return Some((QuarantineReason::Part(part), remaining_ms));
        }
        let fingerprint = content.fingerprint;
        let entry = state.quarantine.entry_of(fingerprint, now_ms)?;
        let reason = QuarantineReason::Content(fingerprint);
        entry.quarantined.then_some((reason, entry.expires_in_ms))
    }

    /// Records that a call went on beyond the start of its answer, or ended well.
    pub(crate) fn record_survival(&self, content: &CallContent) {
        if !content.parts.is_empty() {
            let now_ms = self.clock.now_ms();
            self.lock().parts.record_survival(&content.parts, now_ms);
        }
    }

    /// Returns the number of refused prompt parts.
    pub(crate) fn refused_part_count(&self) -> usize {
        let now_ms = self.clock.now_ms();
        self.lock().parts.refused_count(now_ms)
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

    /// Merges what another entry reports of crashes.
    pub(crate) fn merge(&self, report: &GossipReport) {
        let now_ms = self.clock.now_ms();
        if !report.crashing_contents.is_empty() {
            let entries = &report.crashing_contents;
            self.lock().quarantine.merge(entries, now_ms);
        }
        if !report.crashed_parts.is_empty() {
            let mut state = self.lock();
            for part in state.parts.merge(&report.crashed_parts, now_ms) {
                state.log_quarantined_part(part, &report.gossip_address, now_ms);
            }
        }
    }

    /// Returns what is reported of prompt parts to the other entries now.
    pub(crate) fn part_reports(&self) -> Vec<CrashedPart> {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        state.parts.expire(now_ms);
        let is_full = now_ms.saturating_sub(state.full_report_ms) >= FULL_REPORT_INTERVAL_MS;
        if is_full {
            state.full_report_ms = now_ms;
        }
        state.parts.reports(is_full, now_ms)
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
        for call in calls {
            self.record_crashed_parts(call, now_ms);
        }
        let contents: Vec<_> = calls.iter().map(|call| call.content.fingerprint).collect();
        self.quarantine.record_shared_crash(&contents, now_ms);
        for content in &contents {
            if self.quarantine.content_status(*content, now_ms) == ContentStatus::Quarantined {
                event!(ContentQuarantined, "fingerprint={:016x}", content.0);
            }
        }
    }

    /// Records that the parts of a call's prompt were at a crash.
    fn record_crashed_parts(&mut self, call: &CrashedCall, now_ms: u64) {
        let parts = &call.content.parts;
        for part in self.parts.record_crash(parts, call.crash, now_ms) {
            self.log_quarantined_part(part, OWN_SOURCE, now_ms);
        }
    }

    fn log_quarantined_part(&self, part: PromptPart, source: &str, now_ms: u64) {
        let crashes = self.parts.crashes(part, now_ms);
        let crashes: Vec<String> = crashes.iter().map(|crash| format!("{crash:08x}")).collect();
        event!(
            PartQuarantined,
            "part={part} service={:08x} crashes={} source={source}",
            part.service,
            crashes.join(",")
        );
    }
}
