//! An agent's registry of calls that may run at most once.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::CallAttempt;
use crate::CallDecision;
use crate::CallKey;
use crate::CallOccupancy;
use crate::CallRegistrySettings;
use crate::Incarnation;
use crate::Outcome;
use crate::Refusal;
use crate::RefusalCode;
use crate::RetryAdvice;
use crate::StoredAnswer;
use crate::call_record::CallRecord;
use crate::call_record::CallState;
use crate::expired_call_digests::ExpiredCall;
use crate::expired_call_digests::ExpiredCallDigests;
use crate::record_usage::RecordUsage;
use crate::void_table::VoidTable;

/// An agent's in-memory registry of calls that may run at most once.
///
/// The registry belongs to one incarnation of an agent and alone decides on the calls that
/// placements assign to it. It guarantees, for every call (organisation and key) and every
/// placement timestamp:
///
/// - [`CallDecision::Run`] is returned at most once, unless [`CallRegistry::not_started`] reported
///   that no byte reached the endpoint.
/// - After a send was answered with [`Outcome::NotRun`], no send with the same or an earlier
///   timestamp ever runs. To ensure this, the call is voided before the answer is returned.
/// - A record is kept as long as a placement that could run the call again is accepted.
///
/// All times are milliseconds of the agent's monotonic clock, which its heartbeats report as well.
#[derive(Debug)]
pub struct CallRegistry {
    settings: CallRegistrySettings,
    incarnation: Incarnation,
    records: HashMap<CallKey, CallRecord>,
    /// Ended calls with the time of their end, in that order.
    ended_calls: VecDeque<(u64, CallKey)>,
    answer_bytes: u64,
    usage: RecordUsage,
    voids: VoidTable,
    digests: ExpiredCallDigests,
}

impl CallRegistry {
    /// Creates an empty registry for a newly started agent.
    #[must_use]
    pub fn new(settings: CallRegistrySettings, incarnation: Incarnation) -> Self {
        Self {
            voids: VoidTable::new(settings.max_voids),
            digests: ExpiredCallDigests::new(settings.digest_horizon_ms, settings.max_digests),
            settings,
            incarnation,
            records: HashMap::new(),
            ended_calls: VecDeque::new(),
            answer_bytes: 0,
            usage: RecordUsage::default(),
        }
    }

    /// Decides on one send of a call.
    ///
    /// After [`CallDecision::Run`], the caller of this method must report the end of the call with
    /// [`finish`](Self::finish), [`record_lost`](Self::record_lost) or
    /// [`not_started`](Self::not_started).
    pub fn admit(&mut self, attempt: &CallAttempt, now_ms: u64) -> CallDecision<'_> {
        self.expire(now_ms);
        match self.check(attempt, now_ms) {
            SendCheck::Unseen => self.start(attempt),
            SendCheck::Recorded => self.decide_recorded(&attempt.call),
            SendCheck::AnswerGone => CallDecision::AnswerGone,
            SendCheck::Refused(refusal) => CallDecision::Refused(refusal),
        }
    }

    /// Decides on one send of a call that can't run now, for instance because the queue is full.
    ///
    /// Never returns [`CallDecision::Run`]. A call without a record is voided and refused with
    /// `code`. A call that is running or ran gets the same decision as from [`admit`](Self::admit).
    pub fn refuse(
        &mut self,
        attempt: &CallAttempt,
        code: RefusalCode,
        retry_after_ms: u64,
        now_ms: u64,
    ) -> CallDecision<'_> {
        self.expire(now_ms);
        match self.check(attempt, now_ms) {
            SendCheck::Unseen => {
                self.voids.insert(&attempt.call, attempt.stamp_ms);
                CallDecision::Refused(Refusal::not_run(code, retry_after_ms))
            }
            SendCheck::Recorded => self.decide_recorded(&attempt.call),
            SendCheck::AnswerGone => CallDecision::AnswerGone,
            SendCheck::Refused(refusal) => CallDecision::Refused(refusal),
        }
    }

    /// Records the complete answer of a running call, and returns whether the answer is stored.
    ///
    /// An answer that exceeds the memory budget is not stored; resends then only learn that the
    /// call ran.
    pub fn finish(&mut self, call: &CallKey, answer: StoredAnswer, now_ms: u64) -> bool {
        let answer_bytes = answer.len_bytes();
        let is_stored = self.fits(call, answer_bytes);
        let state = CallState::Ran(is_stored.then_some(answer));
        let has_ended = self.mark_ended(call, state, now_ms);
        if has_ended && is_stored {
            self.answer_bytes += answer_bytes;
            self.usage.add_answer(&call.organisation, answer_bytes);
        }
        has_ended && is_stored
    }

    /// Records that the outcome of a running call is unknown and stays so.
    pub fn record_lost(&mut self, call: &CallKey, now_ms: u64) {
        self.mark_ended(call, CallState::Lost, now_ms);
    }

    /// Voids a running call of which no byte was written to the endpoint.
    ///
    /// Must be called before any sender is informed that the call did not run.
    pub fn not_started(&mut self, call: &CallKey) {
        let running = self
            .records
            .get(call)
            .filter(|record| record.state == CallState::Running);
        let Some(stamp_ms) = running.map(|record| record.stamp_ms) else {
            return;
        };
        self.voids.insert(call, stamp_ms);
        self.records.remove(call);
        self.usage.remove(&call.organisation, 0);
    }

    /// Removes voids, digests and records that are older than their retention windows.
    pub fn expire(&mut self, now_ms: u64) {
        self.voids.expire(self.oldest_stamp_ms(now_ms));
        self.digests.expire(now_ms);
        while let Some((ended_ms, _)) = self.ended_calls.front() {
            if ended_ms.saturating_add(self.settings.answer_window_ms) >= now_ms {
                break;
            }
            if let Some((_, call)) = self.ended_calls.pop_front() {
                self.replace_by_digest(&call, now_ms);
            }
        }
    }

    /// Returns the current number of records, voids and digests, and the bytes of the answers.
    #[must_use]
    pub fn occupancy(&self) -> CallOccupancy {
        CallOccupancy {
            records: self.records.len(),
            running: self.records.len() - self.ended_calls.len(),
            voids: self.voids.len(),
            digests: self.digests.len(),
            answer_bytes: self.answer_bytes,
            void_floor_ms: self.voids.floor_ms(),
        }
    }

    /// Returns the incarnation whose placements this registry accepts.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Compares a send with the records, voids and digests. What it refuses as not run can't run
    /// later.
    fn check(&mut self, attempt: &CallAttempt, now_ms: u64) -> SendCheck {
        if attempt.incarnation != self.incarnation {
            return SendCheck::Refused(self.refuse_unrecorded(attempt, RefusalCode::HomeRestarted));
        }
        if attempt.stamp_ms > now_ms {
            let code = RefusalCode::PlacementInvalid;
            return SendCheck::Refused(Refusal::unknown_final(code));
        }
        if let Some(record) = self.records.get_mut(&attempt.call) {
            record.stamp_ms = record.stamp_ms.max(attempt.stamp_ms);
            if record.body_digest != attempt.body_digest {
                return SendCheck::Refused(key_reused());
            }
            return SendCheck::Recorded;
        }
        let expired_call = self
            .digests
            .find(&attempt.call, attempt.body_digest, attempt.stamp_ms);
        match expired_call {
            Some(ExpiredCall::Ran) => return SendCheck::AnswerGone,
            Some(ExpiredCall::OutcomeUnknown) => return SendCheck::Refused(endpoint_lost()),
            Some(ExpiredCall::OtherBody) => return SendCheck::Refused(key_reused()),
            None => {}
        }
        self.check_unseen(attempt, now_ms)
    }

    fn check_unseen(&self, attempt: &CallAttempt, now_ms: u64) -> SendCheck {
        let retry_after_ms = self.settings.retry_after_ms;
        if self.digests.may_have_dropped(attempt.stamp_ms) {
            return SendCheck::Refused(
                self.refuse_unrecorded(attempt, RefusalCode::PlacementExpired),
            );
        }
        if attempt.stamp_ms < self.oldest_stamp_ms(now_ms) {
            let code = RefusalCode::PlacementExpired;
            return SendCheck::Refused(Refusal::not_run(code, retry_after_ms));
        }
        if self.voids.covers(&attempt.call, attempt.stamp_ms) {
            let code = RefusalCode::CallVoided;
            return SendCheck::Refused(Refusal::not_run(code, retry_after_ms));
        }
        SendCheck::Unseen
    }

    /// Refuses a send of a call without a record, where a former record can't be ruled out. Only a
    /// first send is certain not to have run.
    fn refuse_unrecorded(&self, attempt: &CallAttempt, code: RefusalCode) -> Refusal {
        if attempt.attempt.is_first_send() {
            Refusal::not_run(code, self.settings.retry_after_ms)
        } else {
            Refusal::unknown_final(code)
        }
    }

    fn start(&mut self, attempt: &CallAttempt) -> CallDecision<'_> {
        if self.is_full_for(&attempt.call.organisation) {
            self.voids.insert(&attempt.call, attempt.stamp_ms);
            let code = RefusalCode::RecordsFull;
            return CallDecision::Refused(Refusal::not_run(code, self.settings.retry_after_ms));
        }
        self.voids.remove(&attempt.call);
        let record = CallRecord {
            body_digest: attempt.body_digest,
            stamp_ms: attempt.stamp_ms,
            state: CallState::Running,
        };
        self.records.insert(attempt.call.clone(), record);
        self.usage.add_record(&attempt.call.organisation);
        CallDecision::Run
    }

    fn decide_recorded(&self, call: &CallKey) -> CallDecision<'_> {
        match self.records.get(call).map(|record| &record.state) {
            Some(CallState::Ran(Some(answer))) => CallDecision::Replay(answer),
            Some(CallState::Ran(None)) => CallDecision::AnswerGone,
            Some(CallState::Lost) => CallDecision::Refused(endpoint_lost()),
            Some(CallState::Running) | None => CallDecision::Attach,
        }
    }

    fn mark_ended(&mut self, call: &CallKey, state: CallState, now_ms: u64) -> bool {
        let Some(record) = self.records.get_mut(call) else {
            return false;
        };
        if record.state != CallState::Running {
            return false;
        }
        record.state = state;
        self.ended_calls.push_back((now_ms, call.clone()));
        true
    }

    fn replace_by_digest(&mut self, call: &CallKey, now_ms: u64) {
        let Some(record) = self.records.remove(call) else {
            return;
        };
        let ran = record.state != CallState::Lost;
        self.digests
            .insert(call, record.body_digest, ran, record.stamp_ms, now_ms);
        let answer_bytes = match record.state {
            CallState::Ran(Some(answer)) => answer.len_bytes(),
            CallState::Ran(None) | CallState::Lost | CallState::Running => 0,
        };
        self.answer_bytes -= answer_bytes;
        self.usage.remove(&call.organisation, answer_bytes);
    }

    /// Returns whether a limit prevents a further record of the organisation.
    fn is_full_for(&self, organisation: &str) -> bool {
        let settings = &self.settings;
        let usage = &self.usage;
        self.records.len() >= settings.max_records
            || self.answer_bytes >= settings.max_answer_bytes
            || usage.records(organisation) >= settings.max_records_per_organisation
            || usage.answer_bytes(organisation) >= settings.max_answer_bytes_per_organisation
    }

    /// Returns whether storing the answer keeps within the memory budgets.
    fn fits(&self, call: &CallKey, answer_bytes: u64) -> bool {
        let settings = &self.settings;
        let organisation_bytes = self.usage.answer_bytes(&call.organisation) + answer_bytes;
        self.answer_bytes + answer_bytes <= settings.max_answer_bytes
            && organisation_bytes <= settings.max_answer_bytes_per_organisation
    }

    fn oldest_stamp_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.settings.answer_window_ms)
    }
}

/// Result of comparing a send with the registry's content.
enum SendCheck {
    /// The call has no record and may run.
    Unseen,
    /// The call has a record with the same body.
    Recorded,
    /// The call ran. Its answer has expired, and only a digest of the call is left.
    AnswerGone,
    /// The send is refused, now and later, under its placement timestamp.
    Refused(Refusal),
}

fn key_reused() -> Refusal {
    Refusal {
        outcome: Outcome::NotRun,
        code: RefusalCode::KeyReused,
        retry: RetryAdvice::Never,
    }
}

fn endpoint_lost() -> Refusal {
    Refusal::unknown_final(RefusalCode::EndpointLost)
}
