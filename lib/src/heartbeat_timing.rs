//! Pace of heartbeats under a bound on their bytes.

use pomeloramp_proc_macros::value;

/// Bytes of one heartbeat and its answer on the connection.
const HEARTBEAT_BYTES: u64 = 226;
const MS_PER_S: u64 = 1000;
/// Heartbeats that go unanswered before a VM is suspected.
const INTERVALS_BEFORE_SUSPICION: u64 = 3;

/// Pace of heartbeats to all VMs that one process is in touch with.
#[value]
#[derive(Copy)]
pub struct HeartbeatTiming {
    /// Time between two heartbeats to one VM.
    pub interval_ms: u64,
    /// Silence after which a VM is suspected.
    pub suspect_after_ms: u64,
}

impl HeartbeatTiming {
    /// Stretches this pace so that heartbeats to `vms` VMs stay within `max_bytes_per_s`.
    #[must_use]
    pub fn within_byte_rate(self, vms: usize, max_bytes_per_s: u64) -> Self {
        let bytes = (vms as u64).saturating_mul(HEARTBEAT_BYTES);
        let least_interval_ms = bytes
            .saturating_mul(MS_PER_S)
            .div_ceil(max_bytes_per_s.max(1));
        if least_interval_ms <= self.interval_ms {
            return self;
        }
        let least_suspicion_ms = least_interval_ms.saturating_mul(INTERVALS_BEFORE_SUSPICION);
        Self {
            interval_ms: least_interval_ms,
            suspect_after_ms: self.suspect_after_ms.max(least_suspicion_ms),
        }
    }
}
