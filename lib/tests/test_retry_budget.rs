//! Tests of the retry budget.

use googletest::prelude::*;
use pomeloramp_lib::RetryBudget;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::prop_oneof;
use proptest::proptest;

const FLOOR_INTERVAL_MS: u64 = 1_000;

fn granted(budget: &mut RetryBudget, tries: usize, now_ms: u64) -> usize {
    (0..tries).filter(|_| budget.try_retry(now_ms)).count()
}

#[googletest::test]
fn an_outage_does_not_cause_a_retry_storm() {
    let mut budget = RetryBudget::new(10, 20, FLOOR_INTERVAL_MS, 0);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_request();
        retries += granted(&mut budget, 3, 0);
    }
    // The budget is full at the start, so the first request earns nothing.
    expect_that!(retries, eq(9_999 / 10 + 20));
}

#[googletest::test]
fn idle_time_earns_no_more_than_the_limit() {
    let mut budget = RetryBudget::new(10, 5, FLOOR_INTERVAL_MS, 0);
    for _ in 0..10_000 {
        budget.record_request();
    }
    expect_that!(granted(&mut budget, 100, 86_400_000), eq(5));
}

#[googletest::test]
fn a_service_without_traffic_earns_retries_at_the_fixed_rate() {
    let mut budget = RetryBudget::new(10, 1, FLOOR_INTERVAL_MS, 0);
    let retries: usize = (0..=100)
        .map(|step| granted(&mut budget, 3, step * FLOOR_INTERVAL_MS / 10))
        .sum();
    expect_that!(retries, eq(11));
}

#[googletest::test]
fn no_retry_is_allowed_with_a_limit_of_zero() {
    let mut budget = RetryBudget::new(100, 0, FLOOR_INTERVAL_MS, 0);
    budget.record_request();
    expect_that!(budget.try_retry(10_000), eq(false));
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Request,
    Retry,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Request),
        4 => Just(Step::Retry),
        1 => (0..700_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    /// Over every interval, there are no more retries than the kept ones plus the earned ones.
    #[test]
    fn retries_are_bounded_over_every_interval(
        percent in 0..200_u32,
        max_retries in 0..10_u32,
        steps in vec(step(), 1..200),
    ) {
        let mut now_ms = 0;
        let mut budget = RetryBudget::new(percent, max_retries, FLOOR_INTERVAL_MS, now_ms);
        // Requests, retries and time since the start, after each step.
        let mut counts = vec![(0_u64, 0_u64, 0_u64)];
        for step in steps {
            let (mut requests, mut retries, _) = counts[counts.len() - 1];
            match step {
                Step::Request => {
                    budget.record_request();
                    requests += 1;
                }
                Step::Retry => retries += u64::from(budget.try_retry(now_ms)),
                Step::Wait(wait_ms) => now_ms += wait_ms,
            }
            counts.push((requests, retries, now_ms));
        }
        for (position, start) in counts.iter().enumerate() {
            for end in &counts[position..] {
                let by_requests = (end.0 - start.0) * u64::from(percent);
                let by_floor = (end.2 / FLOOR_INTERVAL_MS - start.2 / FLOOR_INTERVAL_MS + 1) * 100;
                let bound = u64::from(max_retries) * 100 + by_requests + by_floor;
                assert!((end.1 - start.1) * 100 <= bound, "{start:?} to {end:?}");
            }
        }
    }
}
