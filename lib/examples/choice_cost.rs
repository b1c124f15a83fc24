//! Measures the time that the choice of an endpoint takes, and the memory of endpoints that want no calls.
//!
//! Usage: `choice_cost ENDPOINTS`

use std::error::Error;
use std::fs;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use pomeloramp_lib::DirectDispatcher;
use pomeloramp_lib::DispatchDecision;
use pomeloramp_lib::RetryAfter;
use pomeloramp_lib::SendResult;
use pomeloramp_testutils::dispatch;

const CALLS: u64 = 20_000;
const ROUNDS: u32 = 5;
const SLOTS: u32 = 10;
/// Time for which each endpoint asks.
const PAUSE_MS: u64 = 60_000;

fn main() -> Result<(), Box<dyn Error>> {
    let count: usize = std::env::args()
        .nth(1)
        .ok_or("ENDPOINTS is missing")?
        .parse()?;
    let ids: Vec<String> = (0..count).map(|number| format!("i-{number:08x}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    for round in 1..=ROUNDS {
        let mut dispatcher = dispatch::dispatcher(&ids, SLOTS);
        let time = time_of_calls(&mut dispatcher);
        println!("round {round}: {time:?} a call, of {count} endpoints");
    }
    let mut dispatcher = dispatch::dispatcher(&ids, SLOTS);
    let before_kb = resident_kb()?;
    let paused = pause_all(&mut dispatcher);
    let after_kb = resident_kb()?;
    println!("{paused} endpoints asked for time: {before_kb} kB before, {after_kb} kB after");
    Ok(())
}

/// Sends calls one after the other, each of which is answered; returns the time of one.
fn time_of_calls(dispatcher: &mut DirectDispatcher) -> Duration {
    let start = Instant::now();
    for call in 0..CALLS {
        let decision = dispatcher.request_endpoint(dispatch::query(call, call), call);
        black_box(decision);
        black_box(dispatcher.end(call, SendResult::Answered, call));
    }
    start.elapsed() / u32::try_from(CALLS).unwrap_or(u32::MAX)
}

/// Lets every endpoint turn a call away and ask for time; returns how many have.
fn pause_all(dispatcher: &mut DirectDispatcher) -> usize {
    for call in 0.. {
        let decision = dispatcher.request_endpoint(dispatch::query(call, 0), 0);
        let Some(DispatchDecision::Send(_)) = decision else {
            break;
        };
        let retry_after = RetryAfter::Ms(PAUSE_MS);
        black_box(dispatcher.observe_retry_after(call, &retry_after, "0123456789abcdef", 0));
        dispatcher.end(call, SendResult::Full, 0);
    }
    dispatcher.pause_statuses(0).len()
}

fn resident_kb() -> Result<u64, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(field.ok_or("no resident memory is reported")?.parse()?)
}
