//! Whether the rank group of a service makes progress.

/// Time between two calls that probe whether a rank group is up again.
const GROUP_DOWN_PAUSE_MS: u64 = 150;
/// Time without progress of any running call after which a rank group counts as stalled.
const STALL_TIMEOUT_MS: u64 = 400;

/// Whether the rank group of a service makes progress, as seen by an entry.
#[derive(Debug, Default)]
pub(crate) struct GroupProgress {
    /// Whether the endpoints run in lock-step, so that all of them stall when one does.
    is_rank_group: bool,
    /// Whether the rank group was down at last contact; only one call at a time is then sent, as a
    /// probe.
    is_down: bool,
    /// Time until which no call is sent, because the rank group is down.
    paused_until_ms: u64,
    /// Time since which no running call has made progress.
    no_progress_since_ms: u64,
}

impl GroupProgress {
    /// Sets whether the endpoints of the service are the ranks of one group.
    pub(crate) fn set_rank_group(&mut self, is_rank_group: bool) {
        self.is_rank_group = is_rank_group;
    }

    /// Records that a call was sent while none ran.
    pub(crate) fn record_first_call(&mut self, now_ms: u64) {
        self.no_progress_since_ms = now_ms;
    }

    /// Records that an endpoint has begun to answer a call.
    pub(crate) fn record_answer_start(&mut self, now_ms: u64) {
        self.no_progress_since_ms = now_ms;
        self.is_down = false;
    }

    /// Records that a running call has made progress.
    pub(crate) fn record_progress(&mut self, now_ms: u64) {
        self.no_progress_since_ms = now_ms;
        if now_ms >= self.paused_until_ms {
            self.is_down = false;
        }
    }

    /// Records that an endpoint did not run a call because another one of its group is down.
    pub(crate) fn record_group_down(&mut self, now_ms: u64) {
        self.is_down = true;
        self.paused_until_ms = now_ms + GROUP_DOWN_PAUSE_MS;
    }

    /// Records that the group is stalled.
    pub(crate) fn record_stall(&mut self, now_ms: u64) {
        if !self.is_down {
            self.is_down = true;
            self.paused_until_ms = now_ms;
        }
    }

    /// Returns whether the group was down at last contact.
    pub(crate) fn is_down(&self) -> bool {
        self.is_down
    }

    /// Returns whether the running calls, of which there is one at least, make no progress.
    pub(crate) fn is_stalled(&self, now_ms: u64) -> bool {
        let stalled_ms = now_ms.saturating_sub(self.no_progress_since_ms);
        self.is_rank_group && stalled_ms >= STALL_TIMEOUT_MS
    }

    /// Returns whether sending is paused, given the times at which the running calls were sent: while
    /// the group is down, one call at a time is sent as a probe.
    pub(crate) fn is_paused(&self, now_ms: u64, mut sent_ms: impl Iterator<Item = u64>) -> bool {
        if now_ms < self.paused_until_ms {
            return true;
        }
        self.is_down && sent_ms.any(|sent_ms| sent_ms >= self.paused_until_ms)
    }
}
