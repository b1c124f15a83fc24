//! CPU time and memory of a process, read from `/proc`.

use std::fs;

const CLOCK_TICKS_PER_S: f64 = 100.0;
const BYTES_PER_KB: u64 = 1024;

/// Returns the user and system CPU time of a process, in seconds.
#[must_use]
pub fn cpu_time_s(process_id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let ticks: f64 = after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / CLOCK_TICKS_PER_S
}

/// Returns the resident set size of a process, in bytes.
#[must_use]
pub fn resident_bytes(process_id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    number.unwrap_or(0) * BYTES_PER_KB
}
