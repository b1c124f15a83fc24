//! Processor time of this process.

use std::fs;

/// Returns the processor time that all threads of this process have used, in nanoseconds.
pub(crate) fn process_cpu_ns() -> u64 {
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return 0;
    };
    threads
        .flatten()
        .filter_map(|thread| fs::read_to_string(thread.path().join("schedstat")).ok())
        .filter_map(|line| line.split(' ').next()?.parse::<u64>().ok())
        .sum()
}
