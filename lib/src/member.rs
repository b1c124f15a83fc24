//! The view that one process has of another VM.

use std::collections::VecDeque;

use crate::Incarnation;
use crate::ListedVm;
use crate::MemberReport;
use crate::MemberState;
use crate::ReportEffect;

/// Number of former incarnations of one VM that are remembered, so that their late reports are not
/// mistaken for those of a new incarnation.
const MAX_FORMER_INCARNATIONS: usize = 8;
/// Divisor of an elapsed time that gives the largest drift between two processes' clocks in it.
const CLOCK_DRIFT_DIVISOR: u64 = 1000;
/// Largest number of intervals for which reports in the answers to calls postpone a heartbeat.
const MAX_POSTPONED_INTERVALS: u64 = 4;

/// The view that one process has of another VM.
#[derive(Debug)]
pub struct Member {
    listed: ListedVm,
    pub(crate) is_listed: bool,
    /// The leaving mark on the list is for a former incarnation.
    leaving_mark_outdated: bool,
    report: Option<MemberReport>,
    /// Earliest time at which the freshest report can have been made.
    latest_report_ms: u64,
    /// Time of receipt of the latest report of the known incarnation.
    latest_receipt_ms: u64,
    former_incarnations: VecDeque<Incarnation>,
    /// Time at which a request last failed to reach the process.
    failed_ms: Option<u64>,
    next_heartbeat_ms: u64,
    last_heartbeat_ms: u64,
    /// Digest of the state that the process has received by heartbeats.
    acknowledged_digest: Option<u64>,
}

impl Member {
    pub(crate) fn new(listed: ListedVm, next_heartbeat_ms: u64) -> Self {
        Self {
            listed,
            is_listed: true,
            leaving_mark_outdated: false,
            report: None,
            latest_report_ms: 0,
            latest_receipt_ms: 0,
            former_incarnations: VecDeque::new(),
            failed_ms: None,
            next_heartbeat_ms,
            last_heartbeat_ms: next_heartbeat_ms,
            acknowledged_digest: None,
        }
    }

    /// Returns the VM's row in the list, as last seen there.
    #[must_use]
    pub fn listed(&self) -> &ListedVm {
        &self.listed
    }

    /// Returns the latest report of the known incarnation, if any was received.
    #[must_use]
    pub fn report(&self) -> Option<&MemberReport> {
        self.report.as_ref()
    }

    /// Returns the earliest time at which the freshest report can have been made: the time at which
    /// the request that it answered was sent, or a later one that follows from the process's own
    /// clock.
    #[must_use]
    pub fn latest_report_ms(&self) -> u64 {
        self.latest_report_ms
    }

    pub(crate) fn state(&self, now_ms: u64, suspect_after_ms: u64) -> MemberState {
        let state = self.state_by_reports(now_ms, suspect_after_ms);
        match state {
            MemberState::Alive | MemberState::EndpointDown if self.is_unreachable() => {
                MemberState::Suspected
            }
            _ => state,
        }
    }

    /// Returns the state of the VM if failed requests are disregarded.
    pub(crate) fn state_by_reports(&self, now_ms: u64, suspect_after_ms: u64) -> MemberState {
        let leaving_by_list = self.listed.leaving && !self.leaving_mark_outdated;
        let Some(report) = &self.report else {
            return if leaving_by_list {
                MemberState::Leaving
            } else {
                MemberState::Unheard
            };
        };
        if leaving_by_list || report.leaving {
            return MemberState::Leaving;
        }
        if now_ms.saturating_sub(self.latest_report_ms) > suspect_after_ms {
            return MemberState::Suspected;
        }
        if report.endpoint_up {
            MemberState::Alive
        } else {
            MemberState::EndpointDown
        }
    }

    pub(crate) fn observe_listed(&mut self, listed: &ListedVm) {
        self.is_listed = true;
        if !listed.leaving {
            self.leaving_mark_outdated = false;
        }
        self.listed = listed.clone();
    }

    /// Applies a report that answers a request sent at `request_sent_ms`.
    ///
    /// Incarnations have no order. A report of another incarnation is certain to be newer only if
    /// its request was sent after the last report of the known incarnation was received. Any other
    /// is ignored, and the answer to the next heartbeat shows which incarnation is running.
    pub(crate) fn observe_report(
        &mut self,
        report: &MemberReport,
        request_sent_ms: u64,
        now_ms: u64,
    ) -> ReportEffect {
        let Some(known) = &self.report else {
            self.adopt(report, request_sent_ms, now_ms);
            return ReportEffect::NewIncarnation;
        };
        if known.incarnation == report.incarnation {
            self.merge(report, request_sent_ms, now_ms);
            return ReportEffect::Refreshed;
        }
        let is_former = self.former_incarnations.contains(&report.incarnation);
        if is_former || request_sent_ms <= self.latest_receipt_ms {
            return ReportEffect::Ignored;
        }
        if self.former_incarnations.len() == MAX_FORMER_INCARNATIONS {
            self.former_incarnations.pop_front();
        }
        self.former_incarnations.push_back(known.incarnation);
        self.leaving_mark_outdated = self.listed.leaving;
        self.adopt(report, request_sent_ms, now_ms);
        ReportEffect::NewIncarnation
    }

    /// Applies a report of another process that the given incarnation is leaving.
    pub(crate) fn observe_relayed_leaving(&mut self, incarnation: Incarnation) {
        if let Some(report) = &mut self.report
            && report.incarnation == incarnation
        {
            report.leaving = true;
        }
    }

    /// Records that a request failed to reach the process, or that its connection broke.
    ///
    /// The process is suspected until it sends a report made after this. The next heartbeat, which
    /// requests one, becomes due at once.
    pub(crate) fn observe_failure(&mut self, now_ms: u64) {
        if !self.is_unreachable() {
            self.next_heartbeat_ms = self.next_heartbeat_ms.min(now_ms);
        }
        self.failed_ms = Some(now_ms);
    }

    /// Returns whether a heartbeat is due, and schedules the next one if it is.
    ///
    /// A heartbeat is postponed, for a limited time, while the answers to calls bring reports,
    /// unless it carries an update for the process.
    pub(crate) fn take_due_heartbeat(
        &mut self,
        now_ms: u64,
        interval_ms: u64,
        update_digest: Option<u64>,
    ) -> bool {
        let due_ms = if self.may_postpone(update_digest) {
            let after_report_ms = self.latest_report_ms.saturating_add(interval_ms);
            let postponed_ms = interval_ms.saturating_mul(MAX_POSTPONED_INTERVALS);
            let latest_ms = self.last_heartbeat_ms.saturating_add(postponed_ms);
            self.next_heartbeat_ms.max(after_report_ms.min(latest_ms))
        } else {
            self.next_heartbeat_ms
        };
        if due_ms > now_ms {
            return false;
        }
        self.next_heartbeat_ms = now_ms.saturating_add(interval_ms);
        self.last_heartbeat_ms = now_ms;
        true
    }

    /// Returns the digest of the state that a heartbeat carries to this process, given the digest
    /// of the state that it carries to all.
    pub(crate) fn update_digest(&self, update_digest: u64) -> u64 {
        update_digest.wrapping_add(u64::from(self.listed.leaving))
    }

    /// Records the digest of the state that the process has received by a heartbeat.
    pub(crate) fn observe_acknowledged_digest(&mut self, update_digest: u64) {
        self.acknowledged_digest = Some(update_digest);
    }

    fn may_postpone(&self, update_digest: Option<u64>) -> bool {
        let is_acknowledged = update_digest
            .is_none_or(|digest| self.acknowledged_digest == Some(self.update_digest(digest)));
        self.report.is_some() && is_acknowledged && !self.is_unreachable()
    }

    /// Returns the time at which a request last failed to reach the process.
    pub(crate) fn failed_ms(&self) -> Option<u64> {
        self.failed_ms
    }

    fn is_unreachable(&self) -> bool {
        self.failed_ms
            .is_some_and(|failed_ms| self.latest_report_ms <= failed_ms)
    }

    fn adopt(&mut self, report: &MemberReport, request_sent_ms: u64, now_ms: u64) {
        self.report = Some(report.clone());
        self.latest_report_ms = request_sent_ms;
        self.latest_receipt_ms = now_ms;
    }

    /// Merges a report of the known incarnation, which may arrive after a later one.
    fn merge(&mut self, report: &MemberReport, request_sent_ms: u64, now_ms: u64) {
        let Some(known) = &mut self.report else {
            return;
        };
        let elapsed_ms = report.clock_ms.saturating_sub(known.clock_ms);
        let drift_ms = elapsed_ms.div_ceil(CLOCK_DRIFT_DIVISOR);
        // The known report was made at `self.latest_report_ms` or later, and this one at least
        // `elapsed_ms - drift_ms` after it.
        let after_known_ms = self.latest_report_ms.saturating_add(elapsed_ms - drift_ms);
        let made_ms = request_sent_ms.max(after_known_ms.min(now_ms));
        known.leaving |= report.leaving;
        known.config_revision = known.config_revision.max(report.config_revision);
        if report.clock_ms >= known.clock_ms {
            known.endpoint_up = report.endpoint_up;
        }
        known.clock_ms = known.clock_ms.max(report.clock_ms);
        self.latest_report_ms = self.latest_report_ms.max(made_ms);
        self.latest_receipt_ms = self.latest_receipt_ms.max(now_ms);
    }
}
