//! Tests of the weighted fair queue of one endpoint.

use std::collections::BTreeMap;

use googletest::prelude::*;
use pomeloramp_lib::Admission;
use pomeloramp_lib::FairQueue;
use pomeloramp_lib::FairQueueSettings;
use pomeloramp_lib::QueueAction;
use pomeloramp_lib::QueuedRequest;
use pomeloramp_lib::RefusalCode;
use pomeloramp_lib::RequestNumber;
use pomeloramp_lib::SlotAccount;
use pomeloramp_lib::StartedRequest;
use pomeloramp_lib::protos::template::OrganisationParameters;
use proptest::prelude::ProptestConfig;
use proptest::prelude::prop;
use proptest::prelude::proptest;

const DISTANT_DEADLINE_MS: u64 = 1_000_000_000;

fn parameters(organisation: &str, share_weight: u32, idle_weight: u32) -> OrganisationParameters {
    OrganisationParameters {
        organisation: organisation.to_owned(),
        max_in_flight: 1_000,
        share_weight,
        idle_weight,
        ..OrganisationParameters::default()
    }
}

fn queue(capacity: u32, parameters: &[OrganisationParameters]) -> FairQueue {
    let settings = FairQueueSettings::builder()
        .capacity(capacity)
        .max_queued_requests(1_000)
        .build();
    let mut queue = FairQueue::new(settings);
    queue.set_parameters(parameters, 0);
    queue
}

fn request(number: u64, organisation: &str, expected_run_ms: u64) -> QueuedRequest {
    QueuedRequest {
        number: RequestNumber(number),
        organisation: organisation.to_owned(),
        deadline_ms: DISTANT_DEADLINE_MS,
        expected_run_ms,
    }
}

fn is_start(admission: &Admission) -> bool {
    matches!(admission, Admission::Start(_))
}

fn refusal(admission: &Admission) -> Option<RefusalCode> {
    match admission {
        Admission::Refused { code, .. } => Some(*code),
        _ => None,
    }
}

/// Simulated endpoint that runs each request for a given time and counts the slot time of each
/// organisation.
struct Endpoint {
    queue: FairQueue,
    now_ms: u64,
    next_number: u64,
    run_ms: BTreeMap<RequestNumber, u64>,
    offered_ms: BTreeMap<RequestNumber, u64>,
    ends: BTreeMap<(u64, RequestNumber), StartedRequest>,
    slot_ms: BTreeMap<String, u64>,
    owned_ms: BTreeMap<String, u64>,
    waits_ms: BTreeMap<String, Vec<u64>>,
}

impl Endpoint {
    fn new(queue: FairQueue) -> Self {
        Self {
            queue,
            now_ms: 0,
            next_number: 0,
            run_ms: BTreeMap::new(),
            offered_ms: BTreeMap::new(),
            ends: BTreeMap::new(),
            slot_ms: BTreeMap::new(),
            owned_ms: BTreeMap::new(),
            waits_ms: BTreeMap::new(),
        }
    }

    fn offer(&mut self, organisation: &str, expected_run_ms: u64, run_ms: u64) -> Admission {
        self.next_number += 1;
        let request = request(self.next_number, organisation, expected_run_ms);
        let number = request.number;
        let admission = self.queue.offer(request, self.now_ms);
        if refusal(&admission).is_none() {
            self.run_ms.insert(number, run_ms);
            self.offered_ms.insert(number, self.now_ms);
        }
        if let Admission::Start(started) = &admission {
            self.start(started.clone());
        }
        admission
    }

    fn start(&mut self, started: StartedRequest) {
        let run_ms = self.run_ms[&started.number];
        let waited_ms = self.now_ms - self.offered_ms[&started.number];
        let name = started.organisation.clone();
        *self.slot_ms.entry(name.clone()).or_default() += run_ms;
        if started.account == SlotAccount::Owned {
            *self.owned_ms.entry(name.clone()).or_default() += run_ms;
        }
        self.waits_ms.entry(name).or_default().push(waited_ms);
        self.ends
            .insert((self.now_ms + run_ms, started.number), started);
    }

    /// Finishes the requests that end by `until_ms` and starts queued ones in the free slots.
    fn run_until(&mut self, until_ms: u64, mut resend: impl FnMut(&mut Self, &str)) {
        while let Some(entry) = self.ends.first_entry() {
            if entry.key().0 > until_ms {
                break;
            }
            let ((end_ms, number), finished) = entry.remove_entry();
            self.now_ms = end_ms;
            assert_that!(self.queue.finish(number, end_ms), eq(true));
            resend(self, &finished.organisation);
            for action in self.queue.next(end_ms) {
                if let QueueAction::Start(started) = action {
                    self.start(started);
                }
            }
        }
        self.now_ms = until_ms;
    }
}

#[googletest::test]
fn requests_start_at_once_while_slots_are_free() {
    let mut queue = queue(2, &[parameters("a", 1, 1)]);
    expect_that!(is_start(&queue.offer(request(1, "a", 10), 0)), eq(true));
    expect_that!(is_start(&queue.offer(request(2, "a", 10), 0)), eq(true));
    expect_that!(is_start(&queue.offer(request(3, "a", 10), 0)), eq(false));
    expect_that!(queue.queued_requests(), eq(1));
    expect_that!(queue.finish(RequestNumber(1), 10), eq(true));
    expect_that!(queue.next(10), len(eq(1)));
    expect_that!(queue.finish(RequestNumber(1), 10), eq(false));
}

#[googletest::test]
fn limit_counts_running_and_queued_requests() {
    let mut limited = parameters("a", 1, 1);
    limited.max_in_flight = 2;
    let mut queue = queue(1, &[limited]);
    queue.offer(request(1, "a", 10), 0);
    queue.offer(request(2, "a", 10), 0);
    let third = queue.offer(request(3, "a", 10), 0);
    expect_that!(refusal(&third), some(eq(RefusalCode::OrganisationLimit)));
    queue.cancel(RequestNumber(2), 1);
    let fourth = queue.offer(request(4, "a", 10), 1);
    expect_that!(refusal(&fourth), none());
}

#[googletest::test]
fn refuses_unknown_and_withdrawn_organisations() {
    let mut queue = queue(1, &[parameters("a", 1, 1)]);
    let unknown = queue.offer(request(1, "b", 10), 0);
    expect_that!(
        refusal(&unknown),
        some(eq(RefusalCode::UnknownOrganisation))
    );
    queue.offer(request(2, "a", 10), 0);
    queue.offer(request(3, "a", 10), 0);
    queue.set_parameters(&[parameters("b", 1, 1)], 1);
    let withdrawn = queue.offer(request(4, "a", 10), 1);
    expect_that!(
        refusal(&withdrawn),
        some(eq(RefusalCode::UnknownOrganisation))
    );
    queue.finish(RequestNumber(2), 2);
    expect_that!(queue.next(2), len(eq(1)));
}

#[googletest::test]
fn refuses_a_request_that_would_miss_its_deadline() {
    let mut queue = queue(1, &[parameters("a", 1, 1)]);
    queue.offer(request(1, "a", 5_000), 0);
    let mut late = request(2, "a", 100);
    late.deadline_ms = 2_000;
    let admission = queue.offer(late, 0);
    expect_that!(
        admission,
        eq(&Admission::Refused {
            code: RefusalCode::DeadlineUnreachable,
            retry_after_ms: 5_000,
        })
    );
}

#[googletest::test]
fn expires_a_queued_request_that_can_no_longer_meet_its_deadline() {
    let mut queue = queue(1, &[parameters("a", 1, 1)]);
    queue.offer(request(1, "a", 100), 0);
    let mut waiting = request(2, "a", 100);
    waiting.deadline_ms = 1_000;
    queue.offer(waiting, 0);
    expect_that!(queue.next(900), is_empty());
    expect_that!(queue.next_expiry_ms(), some(eq(901)));
    let expired = queue.next(901);
    expect_that!(
        expired,
        elements_are![matches_pattern!(QueueAction::Expired {
            number: eq(&RequestNumber(2)),
            ..
        })]
    );
}

#[googletest::test]
fn draining_refuses_new_requests_and_finishes_admitted_ones() {
    let mut queue = queue(1, &[parameters("a", 1, 1)]);
    queue.offer(request(1, "a", 10), 0);
    queue.offer(request(2, "a", 10), 0);
    queue.drain();
    let refused = queue.offer(request(3, "a", 10), 1);
    expect_that!(refusal(&refused), some(eq(RefusalCode::Draining)));
    expect_that!(queue.is_drained(), eq(false));
    queue.finish(RequestNumber(1), 2);
    expect_that!(queue.next(2), len(eq(1)));
    queue.finish(RequestNumber(2), 3);
    expect_that!(queue.is_drained(), eq(true));
}

#[googletest::test]
fn full_queue_displaces_the_newest_request_of_the_longest_queue() {
    let settings = FairQueueSettings::builder()
        .capacity(1)
        .max_queued_requests(3)
        .build();
    let mut queue = FairQueue::new(settings);
    queue.set_parameters(&[parameters("a", 1, 1), parameters("b", 1, 1)], 0);
    for number in 1..=4 {
        queue.offer(request(number, "a", 10), 0);
    }
    let more = queue.offer(request(5, "a", 10), 0);
    expect_that!(refusal(&more), some(eq(RefusalCode::QueueFull)));
    let other = queue.offer(request(6, "b", 10), 0);
    expect_that!(
        other,
        matches_pattern!(Admission::Queued {
            displaced: some(eq(&RequestNumber(4))),
            ..
        })
    );
}

#[googletest::test]
fn owner_gets_its_slots_back_as_they_become_free() {
    let mut endpoint = Endpoint::new(queue(
        4,
        &[parameters("owner", 3, 1), parameters("borrower", 1, 1)],
    ));
    for step in 0..40 {
        endpoint.offer("borrower", 1_000, 1_000 + step);
    }
    endpoint.run_until(5_500, |_, _| {});
    for _ in 0..3 {
        endpoint.offer("owner", 1_000, 1_000);
    }
    endpoint.run_until(8_500, |_, _| {});
    let waits = endpoint.waits_ms["owner"].clone();
    expect_that!(waits.iter().max(), some(lt(&1_040)));
    expect_that!(waits, len(eq(3)));
}

#[googletest::test]
fn idle_capacity_is_lent_by_idle_weight() {
    let mut endpoint = Endpoint::new(queue(
        4,
        &[
            parameters("absent", 100, 1),
            parameters("a", 0, 3),
            parameters("b", 0, 1),
        ],
    ));
    for _ in 0..20 {
        endpoint.offer("a", 100, 100);
        endpoint.offer("b", 100, 100);
    }
    endpoint.run_until(100_000, |endpoint, name| {
        let name = name.to_owned();
        endpoint.offer(&name, 100, 100);
    });
    let a = endpoint.slot_ms["a"];
    let b = endpoint.slot_ms["b"];
    expect_that!(a, all!(gt(297_000), lt(303_000)));
    expect_that!(a + b, all!(ge(399_600), le(400_400)));
}

#[googletest::test]
fn understated_run_times_give_no_advantage() {
    let mut endpoint = Endpoint::new(queue(
        4,
        &[parameters("honest", 1, 1), parameters("liar", 1, 1)],
    ));
    for _ in 0..20 {
        endpoint.offer("honest", 400, 400);
        endpoint.offer("liar", 1, 400);
    }
    endpoint.run_until(400_000, |endpoint, name| {
        let name = name.to_owned();
        let expected_ms = if name == "liar" { 1 } else { 400 };
        endpoint.offer(&name, expected_ms, 400);
    });
    let honest = endpoint.slot_ms["honest"];
    let liar = endpoint.slot_ms["liar"];
    expect_that!(honest.abs_diff(liar), le((honest + liar) / 50));
}

#[googletest::test]
fn urgency_is_a_bounded_head_start() {
    let mut urgent = parameters("urgent", 1, 1);
    urgent.urgency = 9;
    let mut endpoint = Endpoint::new(queue(1, &[urgent, parameters("calm", 1, 1)]));
    for _ in 0..200 {
        endpoint.offer("calm", 100, 100);
        endpoint.offer("urgent", 100, 100);
    }
    endpoint.run_until(1_000, |_, _| {});
    let early = endpoint.slot_ms["urgent"];
    expect_that!(early, ge(700));
    endpoint.run_until(20_000, |_, _| {});
    let urgent = endpoint.slot_ms["urgent"];
    let calm = endpoint.slot_ms["calm"];
    expect_that!(urgent.abs_diff(calm), le(1_100));
}

#[googletest::test]
fn unused_share_is_credited_within_a_bound() {
    let mut endpoint = Endpoint::new(queue(
        1,
        &[parameters("owner", 1, 1), parameters("other", 1, 1)],
    ));
    for _ in 0..20 {
        endpoint.offer("other", 100, 100);
    }
    let resend = |endpoint: &mut Endpoint, name: &str| {
        let name = name.to_owned();
        endpoint.offer(&name, 100, 100);
    };
    endpoint.run_until(100_000, resend);
    for _ in 0..20 {
        endpoint.offer("owner", 100, 100);
    }
    endpoint.run_until(102_000, resend);
    expect_that!(endpoint.slot_ms["owner"], ge(1_800));
    endpoint.run_until(200_000, resend);
    let owned_ms = 50_000;
    let credit_ms = 10_000 / 2;
    expect_that!(
        endpoint.slot_ms["owner"],
        all!(ge(owned_ms), le(owned_ms + credit_ms + 200))
    );
}

/// When one organisation sends far more than its share, the longest wait of the others may grow by
/// at most twice the run time of a request.
#[googletest::test]
fn waits_of_others_stay_bounded_when_one_organisation_overloads() {
    let mut waits_ms = Vec::new();
    for overload in [false, true] {
        let names: Vec<String> = (0..10).map(|n| format!("org-{n}")).collect();
        let declared: Vec<_> = names.iter().map(|name| parameters(name, 1, 1)).collect();
        let mut endpoint = Endpoint::new(queue(4, &declared));
        for tick in 0..2_000_u64 {
            let until_ms = tick * 50;
            endpoint.run_until(until_ms, |_, _| {});
            let name = &names[usize::try_from(tick % 9).unwrap() + 1];
            endpoint.offer(name, 100, 80 + (tick * 7) % 41);
            if overload {
                for _ in 0..5 {
                    endpoint.offer("org-0", 100, 100);
                }
            }
        }
        let other_names = names[1..].iter();
        let longest_ms = other_names
            .flat_map(|name| endpoint.waits_ms[name].clone())
            .max();
        waits_ms.push(longest_ms.unwrap());
    }
    expect_that!(waits_ms[1], le(waits_ms[0] + 2 * 120));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Every organisation with continuous demand gets its declared share for any run times.
    #[test]
    fn declared_shares_are_met(
        capacity in 1_u32..8,
        weights in prop::collection::vec((1_u32..20, 0_u32..20, 1_u64..400), 2..6),
    ) {
        let declared: Vec<_> = weights
            .iter()
            .enumerate()
            .map(|(n, (share, idle, _))| parameters(&format!("org-{n}"), *share, *idle))
            .collect();
        let run_ms: Vec<u64> = weights.iter().map(|(_, _, run_ms)| *run_ms).collect();
        let longest_ms = *run_ms.iter().max().unwrap();
        let mut endpoint = Endpoint::new(queue(capacity, &declared));
        for (n, run_ms) in run_ms.iter().enumerate() {
            for _ in 0..=2 * capacity {
                endpoint.offer(&format!("org-{n}"), *run_ms, *run_ms);
            }
        }
        let until_ms = 60_000;
        endpoint.run_until(until_ms, |endpoint, name| {
            let name = name.to_owned();
            let n: usize = name["org-".len()..].parse().unwrap();
            endpoint.offer(&name, run_ms[n], run_ms[n]);
        });
        let total_weight: u64 = weights.iter().map(|(share, _, _)| u64::from(*share)).sum();
        for (n, (share, _, _)) in weights.iter().enumerate() {
            let used_ms = endpoint.slot_ms[&format!("org-{n}")];
            let owned_ms = until_ms * u64::from(capacity) * u64::from(*share) / total_weight;
            let slack_ms = (u64::from(capacity) + weights.len() as u64 + 1) * longest_ms;
            assert_that!(used_ms + slack_ms, ge(owned_ms));
        }
    }
}
