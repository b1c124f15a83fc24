//! Request that holds a slot of an endpoint.

use pomeloramp_proc_macros::key;

use crate::SlotAccount;

/// Request that holds a slot, with the slot time that its organisation was charged for it.
#[key]
pub(crate) struct RunningRequest {
    /// Index of the organisation's queue.
    pub(crate) organisation: usize,
    pub(crate) account: SlotAccount,
    pub(crate) started_ms: u64,
    pub(crate) expected_end_ms: u64,
    pub(crate) charged_ms: u64,
}

impl RunningRequest {
    pub(crate) fn new(
        organisation: usize,
        account: SlotAccount,
        started_ms: u64,
        expected_run_ms: u64,
    ) -> Self {
        Self {
            organisation,
            account,
            started_ms,
            expected_end_ms: started_ms.saturating_add(expected_run_ms),
            charged_ms: expected_run_ms.max(1),
        }
    }

    /// Returns the time up to which the slot time is charged.
    pub(crate) fn charged_until_ms(&self) -> u64 {
        self.started_ms.saturating_add(self.charged_ms)
    }

    /// Returns the slot time that was charged and remains unused if the request ends now.
    pub(crate) fn refund_ms(&self, now_ms: u64) -> i64 {
        let used_ms = now_ms.saturating_sub(self.started_ms);
        i64::try_from(self.charged_ms.saturating_sub(used_ms)).unwrap_or(i64::MAX)
    }
}
