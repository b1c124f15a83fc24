//! Interval between reads of the platform's VM list under a limit on their bytes.

use pomeloramp_proc_macros::value;

const MS_PER_S: u64 = 1000;

/// Limits on the reads of the platform's VM list, each of which returns the whole list.
#[value]
#[derive(Copy)]
pub struct VmListReadRate {
    /// Shortest time from the start of one read to the start of the next.
    pub interval_ms: u64,
    /// Average number of bytes that all reads together may take per second.
    pub max_bytes_per_s: u64,
}

impl VmListReadRate {
    /// Returns the time from the start of a read that returned `answer_bytes` to the next read.
    #[must_use]
    pub fn delay_ms(self, answer_bytes: u64) -> u64 {
        let min_delay_ms = answer_bytes
            .saturating_mul(MS_PER_S)
            .div_ceil(self.max_bytes_per_s.max(1));
        self.interval_ms.max(min_delay_ms)
    }
}
