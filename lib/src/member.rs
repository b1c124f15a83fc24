//! What one process knows of another VM.

use std::collections::VecDeque;

use crate::Incarnation;
use crate::ListedVm;
use crate::MemberReport;
use crate::MemberState;
use crate::ReportEffect;

/// Former incarnations of one VM whose words are told from a new incarnation's.
const MAX_FORMER_INCARNATIONS: usize = 8;
/// Divisor of the time by which two processes' clocks run apart at most.
const CLOCK_DRIFT_DIVISOR: u64 = 1000;
/// Intervals for which the words beside answers put off a heartbeat at most.
const MAX_PUT_OFF_INTERVALS: u64 = 4;

/// What one process knows of another VM.
#[derive(Debug)]
pub struct Member {
    listed: ListedVm,
    pub(crate) is_listed: bool,
    /// The list's leaving mark was made for an incarnation that is gone.
    leaving_mark_outdated: bool,
    word: Option<MemberReport>,
    /// Time at or after which the freshest word was made.
    latest_report_ms: u64,
    /// Time of receipt of the latest word of the known incarnation.
    latest_receipt_ms: u64,
    former_incarnations: VecDeque<Incarnation>,
    /// Time at which a request last failed to reach the process.
    failed_ms: Option<u64>,
    next_heartbeat_ms: u64,
    last_heartbeat_ms: u64,
    /// Digest of what the process has heard by heartbeats.
    acknowledged_digest: Option<u64>,
}

impl Member {
    pub(crate) fn new(listed: ListedVm, next_heartbeat_ms: u64) -> Self {
        Self {
            listed,
            is_listed: true,
            leaving_mark_outdated: false,
            word: None,
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

    /// Returns the latest word of the known incarnation, if any was heard.
    #[must_use]
    pub fn word(&self) -> Option<&MemberReport> {
        self.word.as_ref()
    }

    /// Returns the time at or after which the freshest word was made: that of the sending of the
    /// request that it answered, or a later one that follows from the process's own clock.
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

    /// Returns how the VM is regarded when failed requests are left out of account.
    pub(crate) fn state_by_reports(&self, now_ms: u64, suspect_after_ms: u64) -> MemberState {
        let leaving_by_list = self.listed.leaving && !self.leaving_mark_outdated;
        let Some(word) = &self.word else {
            return if leaving_by_list {
                MemberState::Leaving
            } else {
                MemberState::Unheard
            };
        };
        if leaving_by_list || word.leaving {
            return MemberState::Leaving;
        }
        if now_ms.saturating_sub(self.latest_report_ms) > suspect_after_ms {
            return MemberState::Suspected;
        }
        if word.endpoint_up {
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

    /// Takes a word that answers a request sent at `request_sent_ms`.
    ///
    /// Incarnations have no order. A word of another incarnation is newer for certain only if its
    /// request was sent after the last word of the known one had come; any other is ignored, and
    /// the next heartbeat settles the matter.
    pub(crate) fn observe_report(
        &mut self,
        word: &MemberReport,
        request_sent_ms: u64,
        now_ms: u64,
    ) -> ReportEffect {
        let Some(known) = &self.word else {
            self.adopt(word, request_sent_ms, now_ms);
            return ReportEffect::NewIncarnation;
        };
        if known.incarnation == word.incarnation {
            self.merge(word, request_sent_ms, now_ms);
            return ReportEffect::Refreshed;
        }
        let is_former = self.former_incarnations.contains(&word.incarnation);
        if is_former || request_sent_ms <= self.latest_receipt_ms {
            return ReportEffect::Ignored;
        }
        if self.former_incarnations.len() == MAX_FORMER_INCARNATIONS {
            self.former_incarnations.pop_front();
        }
        self.former_incarnations.push_back(known.incarnation);
        self.leaving_mark_outdated = self.listed.leaving;
        self.adopt(word, request_sent_ms, now_ms);
        ReportEffect::NewIncarnation
    }

    /// Takes another process's word that the given incarnation is leaving.
    pub(crate) fn observe_relayed_leaving(&mut self, incarnation: Incarnation) {
        if let Some(word) = &mut self.word
            && word.incarnation == incarnation
        {
            word.leaving = true;
        }
    }

    /// Notes that a request failed to reach the process, or that its connection broke.
    ///
    /// The process is suspected until a word comes that was made after this, for which the next
    /// heartbeat asks at once.
    pub(crate) fn observe_failure(&mut self, now_ms: u64) {
        if !self.is_unreachable() {
            self.next_heartbeat_ms = self.next_heartbeat_ms.min(now_ms);
        }
        self.failed_ms = Some(now_ms);
    }

    /// Tells whether a heartbeat is due, and plans the next one.
    ///
    /// A heartbeat that would hear what a word beside an answer has just told is put off, unless
    /// it has news to tell.
    pub(crate) fn take_due_heartbeat(
        &mut self,
        now_ms: u64,
        interval_ms: u64,
        update_digest: Option<u64>,
    ) -> bool {
        let due_ms = if self.may_postpone(update_digest) {
            let after_word_ms = self.latest_report_ms.saturating_add(interval_ms);
            let put_off_ms = interval_ms.saturating_mul(MAX_PUT_OFF_INTERVALS);
            let latest_ms = self.last_heartbeat_ms.saturating_add(put_off_ms);
            self.next_heartbeat_ms.max(after_word_ms.min(latest_ms))
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

    /// Returns the digest of what a heartbeat tells this process, by that of what it tells all.
    pub(crate) fn update_digest(&self, update_digest: u64) -> u64 {
        update_digest.wrapping_add(u64::from(self.listed.leaving))
    }

    /// Notes what the process has heard by a heartbeat.
    pub(crate) fn observe_acknowledged_digest(&mut self, update_digest: u64) {
        self.acknowledged_digest = Some(update_digest);
    }

    fn may_postpone(&self, update_digest: Option<u64>) -> bool {
        let is_acknowledged = update_digest
            .is_none_or(|digest| self.acknowledged_digest == Some(self.update_digest(digest)));
        self.word.is_some() && is_acknowledged && !self.is_unreachable()
    }

    fn is_unreachable(&self) -> bool {
        self.failed_ms
            .is_some_and(|failed_ms| self.latest_report_ms <= failed_ms)
    }

    fn adopt(&mut self, word: &MemberReport, request_sent_ms: u64, now_ms: u64) {
        self.word = Some(word.clone());
        self.latest_report_ms = request_sent_ms;
        self.latest_receipt_ms = now_ms;
    }

    /// Merges a word of the known incarnation, which may have been overtaken by a later one.
    fn merge(&mut self, word: &MemberReport, request_sent_ms: u64, now_ms: u64) {
        let Some(known) = &mut self.word else {
            return;
        };
        let passed_ms = word.clock_ms.saturating_sub(known.clock_ms);
        let drift_ms = passed_ms.div_ceil(CLOCK_DRIFT_DIVISOR);
        // The known word was made at `self.latest_report_ms` or later, and this one so much after it.
        let after_known_ms = self.latest_report_ms.saturating_add(passed_ms - drift_ms);
        let made_ms = request_sent_ms.max(after_known_ms.min(now_ms));
        known.leaving |= word.leaving;
        known.config_revision = known.config_revision.max(word.config_revision);
        if word.clock_ms >= known.clock_ms {
            known.endpoint_up = word.endpoint_up;
        }
        known.clock_ms = known.clock_ms.max(word.clock_ms);
        self.latest_report_ms = self.latest_report_ms.max(made_ms);
        self.latest_receipt_ms = self.latest_receipt_ms.max(now_ms);
    }
}
