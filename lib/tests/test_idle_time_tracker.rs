//! Tests of the accounting of used, lent and idle capacity of an endpoint.

use googletest::prelude::*;
use pomeloramp_lib::CapacityAccount;
use pomeloramp_lib::IdleTimeTracker;
use pomeloramp_lib::idle_report;
use pomeloramp_lib::protos::control::IdleTime;
use pomeloramp_lib::protos::template::OrganisationParameters;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::prelude::proptest;
use proptest::prop_oneof;

fn shares(weights: &[u32]) -> Vec<OrganisationParameters> {
    let weights = weights.iter().enumerate();
    weights
        .map(|(n, share_weight)| OrganisationParameters {
            organisation: format!("org-{n}"),
            share_weight: *share_weight,
            ..OrganisationParameters::default()
        })
        .collect()
}

fn account(tracker: &IdleTimeTracker, name: &str) -> CapacityAccount {
    tracker
        .account(name)
        .expect("a declared organisation")
        .clone()
}

/// Returns the slot-milliseconds that an organisation owned.
fn owned_ms(time: &IdleTime) -> u64 {
    time.used_ms + time.lent_ms + time.idle_ms
}

#[googletest::test]
fn splits_capacity_into_used_lent_and_idle() {
    let mut tracker = IdleTimeTracker::new(4, 0);
    tracker.set_parameters(&shares(&[3, 1]), 0);
    tracker.observe_start("org-1", 0);
    tracker.observe_start("org-1", 0);
    tracker.advance(10_000);
    expect_that!(
        account(&tracker, "org-0"),
        eq(&CapacityAccount {
            organisation: "org-0".to_owned(),
            used_ms: 0,
            lent_ms: 10_000,
            idle_ms: 20_000,
            borrowed_ms: 0,
        })
    );
    expect_that!(
        account(&tracker, "org-1"),
        eq(&CapacityAccount {
            organisation: "org-1".to_owned(),
            used_ms: 10_000,
            lent_ms: 0,
            idle_ms: 0,
            borrowed_ms: 10_000,
        })
    );
    let lent: Vec<_> = tracker.lent_times().collect();
    expect_that!(lent, len(eq(1)));
    expect_that!(lent[0].owner, eq("org-0"));
    expect_that!(lent[0].borrower, eq("org-1"));
}

#[googletest::test]
fn capacity_without_an_owner_has_its_own_account() {
    let mut tracker = IdleTimeTracker::new(2, 50);
    tracker.observe_start("org-0", 100);
    tracker.advance(150);
    let unowned = &tracker.accounts()[0];
    expect_that!(unowned.idle_ms, eq(150));
    expect_that!(unowned.lent_ms, eq(50));
    expect_that!(account(&tracker, "org-0").borrowed_ms, eq(50));
}

#[googletest::test]
fn many_organisations_own_less_than_a_slot_each() {
    let mut tracker = IdleTimeTracker::new(16, 0);
    tracker.set_parameters(&shares(&[1; 3_800]), 0);
    tracker.advance(760_000);
    let owned: Vec<u64> = tracker.accounts()[1..]
        .iter()
        .map(CapacityAccount::owned_ms)
        .collect();
    expect_that!(owned.iter().min(), some(eq(&3_200)));
    expect_that!(owned.iter().max(), some(eq(&3_200)));
}

#[derive(Clone, Debug)]
enum Event {
    Start(usize),
    Finish(usize),
    SetShares(Vec<u32>),
    SetCapacity(u32),
    Advance,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0_usize..6).prop_map(Event::Start),
        6 => (0_usize..6).prop_map(Event::Finish),
        1 => prop::collection::vec(0_u32..50, 0..5).prop_map(Event::SetShares),
        1 => (0_u32..6).prop_map(Event::SetCapacity),
        2 => proptest::prelude::Just(Event::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Every slot-millisecond is in exactly one account, and the columns agree with a model.
    #[test]
    fn accounts_sum_to_the_elapsed_slot_time(
        steps in prop::collection::vec((0_u64..700, event()), 1..120),
    ) {
        let mut tracker = IdleTimeTracker::new(3, 0);
        let (mut capacity, mut now_ms, mut expected_ms) = (3_u32, 0, 0);
        let mut held = [0_u32; 6];
        let mut busy_ms = 0;
        for (after_ms, event) in steps {
            now_ms += after_ms;
            expected_ms += after_ms * u64::from(capacity);
            busy_ms += after_ms * u64::from(capacity.min(held.iter().sum()));
            match event {
                Event::Start(n) => {
                    tracker.observe_start(&format!("org-{n}"), now_ms);
                    held[n] += 1;
                }
                Event::Finish(n) if held[n] > 0 => {
                    tracker.observe_finish(&format!("org-{n}"), now_ms);
                    held[n] -= 1;
                }
                Event::SetShares(weights) => tracker.set_parameters(&shares(&weights), now_ms),
                Event::SetCapacity(slots) => {
                    tracker.set_capacity(slots, now_ms);
                    capacity = slots;
                }
                Event::Finish(_) | Event::Advance => tracker.advance(now_ms),
            }
            let accounts = tracker.accounts();
            let sum =
                |column: fn(&CapacityAccount) -> u64| accounts.iter().map(column).sum::<u64>();
            assert_that!(tracker.capacity_ms(), eq(expected_ms));
            assert_that!(sum(CapacityAccount::owned_ms), eq(expected_ms));
            let lent_ms = sum(|account| account.lent_ms);
            assert_that!(sum(|account| account.borrowed_ms), eq(lent_ms));
            assert_that!(sum(|account| account.used_ms) + lent_ms, eq(busy_ms));
            let attributed_ms: u64 = tracker.lent_times().map(|lent| lent.lent_ms).sum();
            assert_that!(attributed_ms + tracker.unattributed_lent_ms(), eq(lent_ms));
            let report = idle_report(&tracker, "service");
            assert_that!(report.iter().map(owned_ms).sum::<u64>(), eq(expected_ms));
            let shares = report.iter().flat_map(|time| &time.lent_to);
            assert_that!(shares.map(|share| share.lent_ms).sum::<u64>(), eq(attributed_ms));
        }
    }

    /// Organisations own capacity in proportion to their weights, even if the parameters are set
    /// again in the middle of turns.
    #[test]
    fn ownership_is_proportional_to_the_weights(
        weights in prop::collection::vec(1_u32..40, 2..12),
        capacity in 1_u32..6,
        change_every_ms in 30_u64..2_000,
    ) {
        let mut tracker = IdleTimeTracker::new(capacity, 0);
        let until_ms = 60_000;
        for now_ms in (0..until_ms).step_by(usize::try_from(change_every_ms).unwrap()) {
            tracker.set_parameters(&shares(&weights), now_ms);
        }
        tracker.advance(until_ms);
        let total: u64 = weights.iter().copied().map(u64::from).sum();
        let max_error_turns = u64::from(capacity) + weights.len() as u64;
        for (n, weight) in weights.iter().enumerate() {
            let owned_ms = account(&tracker, &format!("org-{n}")).owned_ms();
            let fair_ms = until_ms * u64::from(capacity) * u64::from(*weight) / total;
            assert_that!(owned_ms.abs_diff(fair_ms), le(max_error_turns * 100));
        }
    }
}
