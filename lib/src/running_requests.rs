//! Requests that hold a slot of one endpoint.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::RequestNumber;
use crate::SlotAccount;
use crate::running_request::RunningRequest;

/// Requests that hold a slot, with the times at which they are charged again.
#[derive(Debug, Default)]
pub(crate) struct RunningRequests {
    requests: HashMap<RequestNumber, RunningRequest>,
    charged_until: BTreeSet<(u64, RequestNumber)>,
    /// Sum of the expected end times of all requests.
    expected_ends_ms: u128,
}

impl RunningRequests {
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn contains(&self, number: RequestNumber) -> bool {
        self.requests.contains_key(&number)
    }

    /// Adds a request, which is charged for `expected_run_ms` in advance; returns the charge.
    pub(crate) fn start(
        &mut self,
        number: RequestNumber,
        organisation: usize,
        account: SlotAccount,
        started_ms: u64,
        expected_run_ms: u64,
    ) -> i64 {
        let request = RunningRequest::new(organisation, account, started_ms, expected_run_ms);
        self.charged_until
            .insert((request.charged_until_ms(), number));
        self.expected_ends_ms += u128::from(request.expected_end_ms);
        let charge_ms = request.charged_ms;
        self.requests.insert(number, request);
        i64::try_from(charge_ms).unwrap_or(i64::MAX)
    }

    /// Removes a request and returns it.
    pub(crate) fn finish(&mut self, number: RequestNumber) -> Option<RunningRequest> {
        let request = self.requests.remove(&number)?;
        self.charged_until
            .remove(&(request.charged_until_ms(), number));
        self.expected_ends_ms -= u128::from(request.expected_end_ms);
        Some(request)
    }

    /// Doubles the charge of the first request that has used up its charge, if any; returns the
    /// request and the added charge.
    pub(crate) fn charge_overdue(&mut self, now_ms: u64) -> Option<(RunningRequest, i64)> {
        let (due_ms, number) = *self.charged_until.first()?;
        if due_ms > now_ms {
            return None;
        }
        self.charged_until.remove(&(due_ms, number));
        let request = self.requests.get_mut(&number)?;
        let added_ms = request.charged_ms;
        request.charged_ms = added_ms.saturating_mul(2);
        self.charged_until
            .insert((request.charged_until_ms(), number));
        Some((*request, i64::try_from(added_ms).unwrap_or(i64::MAX)))
    }

    /// Returns the slot-milliseconds that the running requests are expected to need until they end.
    pub(crate) fn remaining_work_ms(&self, now_ms: u64) -> u64 {
        let elapsed_ms = u128::from(now_ms) * self.requests.len() as u128;
        u64::try_from(self.expected_ends_ms.saturating_sub(elapsed_ms)).unwrap_or(u64::MAX)
    }
}
