//! Heartbeat interval and suspicion timeout under a limit on the bytes of heartbeats.

use pomeloramp_proc_macros::value;

/// Bytes that one heartbeat and its reply take on the connection.
const HEARTBEAT_BYTES: u64 = 226;
const MS_PER_S: u64 = 1000;
/// Number of heartbeat intervals without an answer before a VM is suspected.
const MIN_INTERVALS_BEFORE_SUSPICION: u64 = 3;

/// Heartbeat interval and suspicion timeout for all VMs that one process monitors.
#[value]
#[derive(Copy)]
pub struct HeartbeatTiming {
    /// Time between two heartbeats to the same VM.
    pub interval_ms: u64,
    /// Time without a report after which a VM is suspected.
    pub suspect_after_ms: u64,
}

impl HeartbeatTiming {
    /// Lengthens both times as far as needed for heartbeats to `vms` VMs to stay within
    /// `max_bytes_per_s`.
    #[must_use]
    pub fn within_byte_rate(self, vms: usize, max_bytes_per_s: u64) -> Self {
        let bytes = (vms as u64).saturating_mul(HEARTBEAT_BYTES);
        let min_interval_ms = bytes
            .saturating_mul(MS_PER_S)
            .div_ceil(max_bytes_per_s.max(1));
        if min_interval_ms <= self.interval_ms {
            return self;
        }
        let min_suspicion_ms = min_interval_ms.saturating_mul(MIN_INTERVALS_BEFORE_SUSPICION);
        Self {
            interval_ms: min_interval_ms,
            suspect_after_ms: self.suspect_after_ms.max(min_suspicion_ms),
        }
    }
}
