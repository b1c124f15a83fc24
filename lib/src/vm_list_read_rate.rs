//! Pace of reads of the platform's VM list under a bound on their bytes.

use pomeloramp_proc_macros::value;

const MS_PER_S: u64 = 1000;

/// Pace of reads of the platform's VM list, which is read whole each time.
#[value]
#[derive(Copy)]
pub struct VmListReadRate {
    /// Least time from one read to the next.
    pub interval_ms: u64,
    /// Bound on the bytes of all reads.
    pub max_bytes_per_s: u64,
}

impl VmListReadRate {
    /// Returns the time from a read that brought `answer_bytes` to the next one.
    #[must_use]
    pub fn delay_ms(self, answer_bytes: u64) -> u64 {
        let least_ms = answer_bytes
            .saturating_mul(MS_PER_S)
            .div_ceil(self.max_bytes_per_s.max(1));
        self.interval_ms.max(least_ms)
    }
}
