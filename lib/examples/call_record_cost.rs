//! Prints how much time and memory the call registry of an agent needs per call that may run at most
//! once.
//!
//! Run with `cargo run --release -p pomeloramp-lib --example call_record_cost`.

use std::fs;
use std::hint::black_box;
use std::time::Instant;

use bytes::Bytes;
use pomeloramp_lib::AttemptNumber;
use pomeloramp_lib::CallAttempt;
use pomeloramp_lib::CallKey;
use pomeloramp_lib::CallRegistry;
use pomeloramp_lib::CallRegistrySettings;
use pomeloramp_lib::Incarnation;
use pomeloramp_lib::RefusalCode;
use pomeloramp_lib::StoredAnswer;

const COUNTS: [u64; 3] = [10_000, 100_000, 400_000];
const ANSWER_BYTES: usize = 512;
const ORGANISATIONS: u64 = 3_800;
const UNREACHED_WINDOW_MS: u64 = 1_000_000_000;
const PAGE_BYTES: u64 = 4_096;
const INCARNATION: Incarnation = Incarnation(1);

/// What the registry keeps of each call.
#[derive(Debug, Clone, Copy)]
enum Trace {
    Record,
    Void,
    Digest,
}

fn main() {
    println!("trace   count  bytes_each  ns_each");
    let mut registries = Vec::new();
    for trace in [Trace::Record, Trace::Void, Trace::Digest] {
        for count in COUNTS {
            registries.push(measure(trace, count));
        }
    }
    black_box(registries);
}

/// Measures `count` calls and returns their registry. The caller keeps it, so that no measurement reuses
/// the memory of an earlier one.
fn measure(trace: Trace, count: u64) -> CallRegistry {
    let window_ms = match trace {
        Trace::Record | Trace::Void => UNREACHED_WINDOW_MS,
        Trace::Digest => 0,
    };
    let settings = CallRegistrySettings::builder()
        .max_records(usize::MAX)
        .max_records_per_organisation(usize::MAX)
        .max_answer_bytes_per_organisation(u64::MAX)
        .max_voids(usize::MAX)
        .max_answer_bytes(u64::MAX)
        .answer_window_ms(window_ms)
        .digest_horizon_ms(UNREACHED_WINDOW_MS)
        .max_digests(usize::MAX)
        .retry_after_ms(100)
        .build();
    let before_bytes = resident_bytes();
    let mut registry = CallRegistry::new(settings, INCARNATION);
    let started = Instant::now();
    for number in 0..count {
        record_call(&mut registry, trace, number);
    }
    let elapsed_ns = started.elapsed().as_nanos();
    let bytes_each = resident_bytes().saturating_sub(before_bytes) / count;
    let ns_each = elapsed_ns / u128::from(count);
    let name = format!("{trace:?}").to_lowercase();
    println!("{name:6} {count:6}  {bytes_each:10}  {ns_each:7}");
    registry
}

/// Admits and finishes (or refuses) one call, one millisecond after the previous call.
fn record_call(registry: &mut CallRegistry, trace: Trace, number: u64) {
    let organisation = format!("organisation-{:05}", number % ORGANISATIONS);
    let attempt = CallAttempt {
        call: CallKey::new(&organisation, &format!("order-{number:030}")),
        body_digest: number,
        incarnation: INCARNATION,
        stamp_ms: number,
        attempt: AttemptNumber::FIRST,
    };
    if matches!(trace, Trace::Void) {
        black_box(registry.refuse(&attempt, RefusalCode::QueueFull, 100, number));
        return;
    }
    black_box(registry.admit(&attempt, number));
    let answer = StoredAnswer {
        status: 200,
        content_type: "application/json".into(),
        body: Bytes::from(vec![b'x'; ANSWER_BYTES]),
    };
    registry.finish(&attempt.call, answer, number);
}

fn resident_bytes() -> u64 {
    let pages = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident = pages.split_whitespace().nth(1);
    let pages: u64 = resident.and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
