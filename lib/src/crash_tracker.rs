//! Tracks contents and prompt parts that crash endpoints, for an entry that sends calls to endpoints
//! directly.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;

use crate::CrashDetector;
use crate::CrashSuspect;
use crate::EndpointList;
use crate::EndpointRun;
use crate::SuspectQuarantine;
use crate::SuspectQuarantineSettings;
use crate::UnansweredCall;
use crate::UnansweredCalls;
use crate::clock::Clock;
use crate::crashed_call::CrashedCall;
use crate::event;
use crate::http_client;
use crate::protos::control::SuspectReport;

/// Time between two reports of all refused suspects, from which entries that start later learn, among
/// up to [`FULL_REPORT_ENTRIES`] entries. Among more it grows, so that each entry still hears such a
/// report about every second.
const FULL_REPORT_INTERVAL_MS: u64 = 1_000;
const FULL_REPORT_ENTRIES: usize = 16;
/// Delay after a broken connection after which a crashed endpoint no longer listens.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(100);
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Evidence in log lines: the connection of a call broke, and nobody listened at its endpoint.
const CONNECTION_EVIDENCE: &str = "connection";
/// Evidence in log lines: the endpoint left the call unanswered, and runs anew.
const NEW_RUN_EVIDENCE: &str = "new_run";
/// Source in log lines of what this entry has seen itself.
const OWN_SOURCE: &str = "own";

/// Tracks contents and prompt parts that crash endpoints and quarantines them after repeated crashes.
#[derive(Debug, Clone)]
pub(crate) struct CrashTracker {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    detector: CrashDetector<CrashedCall>,
    /// Calls whose endpoints have crashed if a later run of them starts soon.
    unanswered: UnansweredCalls<CrashedCall>,
    quarantine: SuspectQuarantine,
    /// Time of the last report of all refused suspects.
    full_report_ms: u64,
}

impl CrashTracker {
    /// Creates a tracker that has seen no crash.
    pub(crate) fn new(clock: Clock) -> Self {
        let settings = SuspectQuarantineSettings::builder().build();
        let state = State {
            detector: CrashDetector::default(),
            unanswered: UnansweredCalls::default(),
            quarantine: SuspectQuarantine::new(settings),
            full_report_ms: 0,
        };
        Self {
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the suspect for which a call is refused, and for how much longer; `None` when the call
    /// is accepted.
    pub(crate) fn refusal(&self, suspects: &[CrashSuspect]) -> Option<(CrashSuspect, u64)> {
        let now_ms = self.clock.now_ms();
        self.lock().quarantine.refusal(suspects, now_ms)
    }

    /// Returns the number of refused suspects.
    pub(crate) fn refused_count(&self) -> usize {
        let now_ms = self.clock.now_ms();
        self.lock().quarantine.refused_count(now_ms)
    }

    /// Records that a call went on beyond the start of its answer, or ended well.
    pub(crate) fn record_survival(&self, suspects: &[CrashSuspect]) {
        let now_ms = self.clock.now_ms();
        self.lock().quarantine.record_survival(suspects, now_ms);
    }

    /// Records that the connection of a call to an endpoint broke.
    pub(crate) fn record_broken_call(&self, call: CrashedCall, endpoint: &str) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        if let Some(call) = state.detector.record_broken_call(call, endpoint, now_ms) {
            state.record_crash(&[call], endpoint, now_ms);
        }
    }

    /// Records that an endpoint left a call unanswered, or that its connection broke: evidence of a crash
    /// as soon as `list`, or a later one, shows that the run of the endpoint has ended.
    pub(crate) fn record_unanswered_call(
        &self,
        call: CrashedCall,
        run: EndpointRun,
        list: Option<&EndpointList>,
    ) {
        let now_ms = self.clock.now_ms();
        self.lock().unanswered.record(call, run, now_ms);
        if let Some(list) = list {
            self.check_runs(list);
        }
    }

    /// Records the crashes of endpoints that left calls unanswered and run anew.
    pub(crate) fn check_runs(&self, list: &EndpointList) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        if state.unanswered.is_empty() {
            return;
        }
        let has_ended = |run: &EndpointRun| run.has_ended(list);
        for crashed in state.unanswered.take_crashed(has_ended, now_ms) {
            state.record_ended_run(&crashed, now_ms);
        }
    }

    /// Checks each list of endpoints for those that run anew, until there are no further lists.
    pub(crate) async fn follow_runs(self, mut lists: watch::Receiver<Option<Arc<EndpointList>>>) {
        while lists.changed().await.is_ok() {
            let list = lists.borrow_and_update().clone();
            if let Some(list) = list {
                self.check_runs(&list);
            }
        }
    }

    /// Checks after a while whether an endpoint whose connection broke has crashed.
    pub(crate) fn watch_for_crash(&self, endpoint: &str, address: &str) {
        let tracker = self.clone();
        let endpoint = endpoint.to_owned();
        let address = address.to_owned();
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_CHECK_DELAY).await;
            if !http_client::is_listening(&address, CRASH_CHECK_TIMEOUT).await {
                tracker.record_dead_endpoint(&endpoint);
            }
        });
    }

    /// Records that an endpoint is dead.
    pub(crate) fn record_dead_endpoint(&self, endpoint: &str) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        let calls = state.detector.record_dead_endpoint(endpoint, now_ms);
        state.record_crash(&calls, endpoint, now_ms);
    }

    /// Merges the reports of the entry at `source`.
    pub(crate) fn merge(&self, reports: &[SuspectReport], source: &str) {
        if reports.is_empty() {
            return;
        }
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        for suspect in state.quarantine.merge(reports, now_ms) {
            state.log_quarantined(suspect, source, now_ms);
        }
    }

    /// Returns what is reported now to the other entries, of which `entry_count` are alive.
    pub(crate) fn reports(&self, entry_count: usize) -> Vec<SuspectReport> {
        let now_ms = self.clock.now_ms();
        let interval_ms = full_report_interval_ms(entry_count);
        let mut state = self.lock();
        state.quarantine.expire(now_ms);
        let is_full = now_ms.saturating_sub(state.full_report_ms) >= interval_ms;
        if is_full {
            state.full_report_ms = now_ms;
        }
        state.quarantine.reports(is_full, now_ms)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn full_report_interval_ms(entry_count: usize) -> u64 {
    let groups = entry_count.div_ceil(FULL_REPORT_ENTRIES).max(1);
    FULL_REPORT_INTERVAL_MS.saturating_mul(u64::try_from(groups).unwrap_or(u64::MAX))
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
            let quarantine = &mut self.quarantine;
            let quarantined = quarantine.record_crash(&call.suspects, call.crash, now_ms);
            self.log_call_at_crash(call, endpoint, CONNECTION_EVIDENCE, now_ms);
            for suspect in quarantined {
                self.log_quarantined(suspect, OWN_SOURCE, now_ms);
            }
        }
    }

    /// Records that an endpoint has crashed which left a call unanswered and runs anew.
    fn record_ended_run(&mut self, crashed: &UnansweredCall<CrashedCall>, now_ms: u64) {
        let UnansweredCall {
            call,
            run,
            ended_ms,
        } = crashed;
        let quarantine = &mut self.quarantine;
        let quarantined =
            quarantine.record_past_crash(&call.suspects, call.crash, *ended_ms, now_ms);
        self.log_call_at_crash(call, &run.id, NEW_RUN_EVIDENCE, now_ms);
        for suspect in quarantined {
            self.log_quarantined(suspect, OWN_SOURCE, now_ms);
        }
    }

    fn log_call_at_crash(&self, call: &CrashedCall, endpoint: &str, evidence: &str, now_ms: u64) {
        let quarantine = &self.quarantine;
        event!(
            CallAtCrash,
            "request_id={} endpoint={endpoint} crash={:08x} evidence={evidence} suspects={} \
             suspect_count={}",
            call.request_id,
            call.crash,
            call.suspect_list(|suspect| quarantine.is_suspected(suspect, now_ms)),
            call.suspects.len()
        );
    }

    fn log_quarantined(&self, suspect: CrashSuspect, source: &str, now_ms: u64) {
        let crashes = self.quarantine.crashes(suspect, now_ms);
        let crashes: Vec<String> = crashes.iter().map(|crash| format!("{crash:08x}")).collect();
        event!(
            SuspectQuarantined,
            "kind={} suspect={suspect} crashes={} source={source}",
            suspect.kind(),
            crashes.join(",")
        );
    }
}
