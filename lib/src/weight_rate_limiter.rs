//! Limits the rate at which one group loads weights.

use bon::bon;

const MS_PER_S: u64 = 1_000;

/// Token bucket that keeps the loads of one group within its share of the weight store's rate.
///
/// The shares of all groups are set in the configuration and add up to no more than the rate, so
/// the fleet stays within the rate without communication between groups.
#[derive(Debug)]
pub struct WeightRateLimiter {
    share_bytes_per_s: u64,
    burst_bytes: u64,
    available_bytes: u64,
    refilled_at_ms: u64,
}

#[bon]
impl WeightRateLimiter {
    /// Creates a limiter without available bytes, so that restarts do not grant extra bursts.
    #[builder]
    pub fn new(share_bytes_per_s: u64, burst_bytes: u64, now_ms: u64) -> Self {
        Self {
            share_bytes_per_s,
            burst_bytes,
            available_bytes: 0,
            refilled_at_ms: now_ms,
        }
    }

    /// Returns how many bytes may be loaded at `now_ms`.
    pub fn available_bytes(&mut self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        let refill_bytes = self.share_bytes_per_s.saturating_mul(elapsed_ms) / MS_PER_S;
        if refill_bytes > 0 {
            let available_bytes = self.available_bytes.saturating_add(refill_bytes);
            self.available_bytes = available_bytes.min(self.burst_bytes);
            self.refilled_at_ms = now_ms;
        }
        self.available_bytes
    }

    /// Takes `bytes` for a load if they are available; returns whether they were.
    pub fn take(&mut self, bytes: u64, now_ms: u64) -> bool {
        let is_available = self.available_bytes(now_ms) >= bytes;
        if is_available {
            self.available_bytes -= bytes;
        }
        is_available
    }
}
