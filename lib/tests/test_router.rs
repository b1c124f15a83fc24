//! Unit tests of the router.

use googletest::prelude::*;
use pomeloramp_lib::BlockHash;
use pomeloramp_lib::CachedPrefix;
use pomeloramp_lib::EndpointFlags;
use pomeloramp_lib::EndpointId;
use pomeloramp_lib::RefusalCode;
use pomeloramp_lib::RouteChoice;
use pomeloramp_lib::RouteRequest;
use pomeloramp_lib::Router;
use pomeloramp_lib::RouterSettings;
use pomeloramp_lib::protos::control::LoadReport;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ATTEMPTS: usize = 200;

fn router() -> Router {
    let settings = RouterSettings::builder().build();
    Router::new(settings, "heredia", SmallRng::seed_from_u64(7))
}

fn add(router: &mut Router, zone: &str) -> EndpointId {
    let vm_name = router.endpoint_count().to_string();
    router.add_endpoint(&vm_name, zone)
}

fn report(queued_tokens: u64) -> LoadReport {
    LoadReport {
        running_requests: 4,
        queued_requests: 0,
        queued_tokens,
        capacity: 16,
        prefill_tokens_per_s: 10_000,
    }
}

fn request() -> RouteRequest<'static> {
    RouteRequest::builder()
        .prompt_tokens(1_000)
        .time_left_ms(5_000)
        .urgency(5)
        .build()
}

fn sent_to(router: &mut Router, request: &RouteRequest, now_ms: u64) -> EndpointId {
    match router.choose(request, now_ms) {
        RouteChoice::Send(id) => id,
        refusal @ RouteChoice::Refuse { .. } => panic!("request refused: {refusal:?}"),
    }
}

#[googletest::test]
fn shorter_queue_wins() {
    let mut router = router();
    let busy = add(&mut router, "heredia");
    let idle = add(&mut router, "heredia");
    router.update_load(busy, &report(20_000), 1_000);
    router.update_load(idle, &report(0), 1_000);
    for _ in 0..ATTEMPTS {
        expect_that!(sent_to(&mut router, &request(), 1_000), eq(idle));
    }
}

#[googletest::test]
fn own_requests_count_until_a_report_includes_them() {
    let mut router = router();
    let endpoint = add(&mut router, "heredia");
    router.update_load(endpoint, &report(0), 1_000);
    let tight_deadline = RouteRequest::builder()
        .prompt_tokens(1_000)
        .time_left_ms(1_000)
        .urgency(5)
        .build();
    let ticket = router.mark_sent(endpoint, 20_000, 1_000);
    expect_that!(
        router.choose(&tight_deadline, 1_000),
        refused(RefusalCode::Overloaded)
    );

    router.update_load(endpoint, &report(0), 1_100);
    expect_that!(
        router.choose(&tight_deadline, 1_100),
        refused(RefusalCode::Overloaded)
    );

    router.update_load(endpoint, &report(0), 1_300);
    expect_that!(
        router.choose(&tight_deadline, 1_300),
        eq(RouteChoice::Send(endpoint))
    );
    expect_that!(router.in_flight_requests(endpoint), eq(1));
    router.mark_finished(ticket, 1_400);
    expect_that!(router.in_flight_requests(endpoint), eq(0));
}

#[googletest::test]
fn stalled_endpoint_is_avoided_although_it_reports_no_load() {
    let mut router = router();
    let stalled = add(&mut router, "heredia");
    router.update_load(stalled, &report(0), 1_000);
    router.mark_sent(stalled, 100, 1_000);
    let healthy = add(&mut router, "alajuela");
    router.update_load(healthy, &report(500), 1_000);
    router.update_load(stalled, &report(0), 4_000);
    router.update_load(healthy, &report(500), 4_000);
    for _ in 0..ATTEMPTS {
        expect_that!(sent_to(&mut router, &request(), 4_000), eq(healthy));
    }
}

#[googletest::test]
fn cached_prefix_outweighs_a_short_queue_but_not_a_long_one() {
    let mut router = router();
    let cached = add(&mut router, "heredia");
    let others: Vec<_> = (0..9).map(|_| add(&mut router, "heredia")).collect();
    for &other in &others {
        router.update_load(other, &report(0), 1_000);
    }
    let prefixes = [CachedPrefix {
        endpoint: cached,
        tokens: 8_000,
    }];
    let long_prompt = RouteRequest::builder()
        .prompt_tokens(9_000)
        .time_left_ms(60_000)
        .cached(&prefixes)
        .urgency(5)
        .build();
    // The prefix saves 0.8 s of prefill, which counts three times; the queue counts 0.94 times.
    router.update_load(cached, &report(24_500), 1_000);
    for _ in 0..ATTEMPTS {
        expect_that!(sent_to(&mut router, &long_prompt, 1_000), eq(cached));
    }
    router.update_load(cached, &report(26_500), 2_000);
    for _ in 0..ATTEMPTS {
        expect_that!(sent_to(&mut router, &long_prompt, 2_000), not(eq(cached)));
    }
}

#[googletest::test]
fn load_bound_outweighs_a_cached_prefix() {
    let mut router = router();
    let cached = add(&mut router, "heredia");
    for _ in 0..9 {
        add(&mut router, "heredia");
    }
    let prefixes = [CachedPrefix {
        endpoint: cached,
        tokens: 9_000,
    }];
    let popular = RouteRequest::builder()
        .prompt_tokens(9_000)
        .time_left_ms(60_000)
        .cached(&prefixes)
        .build();
    let mut to_cached = 0;
    for _ in 0..20 {
        let id = sent_to(&mut router, &popular, 1_000);
        router.mark_sent(id, 0, 1_000);
        to_cached += u32::from(id == cached);
    }
    // The load bound at the end is 4.5: the mean load of 2, plus one, times 1.5.
    expect_that!(to_cached, le(5));
}

#[googletest::test]
fn local_availability_zone_is_preferred_unless_clearly_worse() {
    let mut router = router();
    let local = add(&mut router, "heredia");
    let remote = add(&mut router, "cartago");
    router.update_load(remote, &report(0), 1_000);
    router.update_load(local, &report(400), 1_000);
    expect_that!(sent_to(&mut router, &request(), 1_000), eq(local));
    router.update_load(local, &report(2_000), 1_000);
    expect_that!(sent_to(&mut router, &request(), 1_000), eq(remote));
}

#[googletest::test]
fn leaving_endpoints_are_never_chosen_and_suspected_ones_only_as_last_resort() {
    let mut router = router();
    let leaving = add(&mut router, "heredia");
    let suspected = add(&mut router, "heredia");
    let open = add(&mut router, "cartago");
    router.update_load(open, &report(20_000), 1_000);
    router.set_flags(
        leaving,
        EndpointFlags {
            leaving: true,
            ..EndpointFlags::default()
        },
    );
    router.set_flags(
        suspected,
        EndpointFlags {
            suspected: true,
            ..EndpointFlags::default()
        },
    );
    for _ in 0..ATTEMPTS {
        expect_that!(sent_to(&mut router, &request(), 1_000), eq(open));
    }
    let exclude = [open];
    let retry = RouteRequest::builder()
        .time_left_ms(5_000)
        .exclude(&exclude)
        .build();
    expect_that!(sent_to(&mut router, &retry, 1_000), eq(suspected));
    router.remove_endpoint(suspected);
    expect_that!(
        router.choose(&retry, 1_000),
        refused(RefusalCode::NoEndpoint)
    );
}

#[googletest::test]
fn unreachable_deadline_is_distinguished_from_overload() {
    let mut router = router();
    let endpoint = add(&mut router, "heredia");
    router.update_load(endpoint, &report(0), 1_000);
    let unreachable = RouteRequest::builder()
        .prompt_tokens(100_000)
        .time_left_ms(1_000)
        .build();
    expect_that!(
        router.choose(&unreachable, 1_000),
        refused(RefusalCode::DeadlineTooShort)
    );
}

#[googletest::test]
fn urgent_requests_are_admitted_to_queues_that_refuse_other_requests() {
    let mut router = router();
    let endpoint = add(&mut router, "heredia");
    router.update_load(endpoint, &report(10_000), 1_000);
    let urgent = RouteRequest::builder().time_left_ms(900).urgency(9).build();
    let not_urgent = RouteRequest::builder().time_left_ms(900).urgency(0).build();
    expect_that!(
        router.choose(&urgent, 1_000),
        eq(RouteChoice::Send(endpoint))
    );
    expect_that!(
        router.choose(&not_urgent, 1_000),
        refused(RefusalCode::Overloaded)
    );
}

#[googletest::test]
fn retry_delays_of_refused_callers_vary_within_bounds() {
    let mut router = router();
    let endpoint = add(&mut router, "heredia");
    router.update_load(endpoint, &report(100_000), 1_000);
    let mut waits_ms: Vec<u64> = (0..ATTEMPTS)
        .map(|_| match router.choose(&request(), 1_000) {
            RouteChoice::Refuse { retry_after_ms, .. } => retry_after_ms,
            RouteChoice::Send(id) => panic!("sent to {id:?}"),
        })
        .collect();
    // The queue drains in 10 s, half of which fits the deadline.
    expect_that!(waits_ms, each(all!(ge(&4_000), le(&9_000))));
    waits_ms.sort_unstable();
    waits_ms.dedup();
    expect_that!(waits_ms.len(), gt(ATTEMPTS / 2));
}

#[googletest::test]
fn extreme_values_do_not_overflow() {
    let mut router = router();
    let endpoint = add(&mut router, "heredia");
    let report = LoadReport {
        running_requests: u32::MAX,
        queued_requests: u32::MAX,
        queued_tokens: u64::MAX,
        capacity: 0,
        prefill_tokens_per_s: 1,
    };
    router.update_load(endpoint, &report, u64::MAX);
    router.mark_sent(endpoint, u64::MAX, u64::MAX);
    router.mark_sent(endpoint, u64::MAX, u64::MAX);
    let request = RouteRequest::builder()
        .prompt_tokens(u64::MAX)
        .time_left_ms(u64::MAX)
        .expected_decode_ms(u64::MAX)
        .urgency(u32::MAX)
        .build();
    expect_that!(
        router.choose(&request, u64::MAX),
        eq(RouteChoice::Send(endpoint))
    );
    let short_deadline = RouteRequest::builder().time_left_ms(0).build();
    expect_that!(
        router.choose(&short_deadline, u64::MAX),
        refused(RefusalCode::Overloaded)
    );
}

fn refused(expected: RefusalCode) -> impl Matcher<RouteChoice> {
    predicate(
        move |choice: RouteChoice| matches!(choice, RouteChoice::Refuse { code, retry_after_ms } if code == expected && retry_after_ms > 0),
    )
}

#[googletest::test]
fn finished_request_frees_its_slot_before_the_next_report() {
    let mut router = router();
    let endpoint = add(&mut router, "heredia");
    let ticket = router.mark_sent(endpoint, 0, 0);
    let full = LoadReport {
        running_requests: 16,
        ..report(0)
    };
    router.update_load(endpoint, &full, 4_000);
    router.mark_first_token(ticket);
    let immediate = RouteRequest::builder().time_left_ms(0).build();
    expect_that!(
        router.choose(&immediate, 4_000),
        refused(RefusalCode::Overloaded)
    );
    router.mark_finished(ticket, 4_100);
    expect_that!(
        router.choose(&immediate, 4_100),
        eq(RouteChoice::Send(endpoint))
    );
}

/// Returns the endpoint to which a router with these endpoints sends a prompt that no endpoint is
/// known to cache.
fn home_of(vm_names: &[&str], key: u64) -> String {
    let mut router = router();
    let ids: Vec<_> = vm_names
        .iter()
        .map(|vm_name| router.add_endpoint(vm_name, "heredia"))
        .collect();
    let home_keys = [BlockHash(key)];
    let request = RouteRequest::builder()
        .prompt_tokens(1_000)
        .time_left_ms(5_000)
        .home_keys(&home_keys)
        .build();
    let chosen = sent_to(&mut router, &request, 1_000);
    let position = ids.iter().position(|&id| id == chosen).unwrap();
    vm_names[position].to_owned()
}

#[googletest::test]
fn entries_agree_on_the_home_of_a_prefix_without_communication() {
    for key in 0..100 {
        let first = home_of(&["a", "b", "c", "d", "e"], key);
        let second = home_of(&["e", "c", "a", "b", "d"], key);
        expect_that!(first, eq(&second));
    }
}

#[googletest::test]
fn homes_spread_evenly_and_only_those_of_a_removed_endpoint_move() {
    let vm_names = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
    let mut counts = [0; 10];
    for key in 0..1_000 {
        let home = home_of(&vm_names, key);
        let position = vm_names.iter().position(|&name| name == home).unwrap();
        counts[position] += 1;
        if home != "j" {
            expect_that!(home_of(&vm_names[..9], key), eq(&home));
        }
    }
    expect_that!(counts, each(all!(ge(60), le(140))));
}

#[googletest::test]
fn home_with_a_long_queue_is_not_chosen() {
    let mut router = router();
    let ids: Vec<_> = (0..8).map(|_| add(&mut router, "heredia")).collect();
    let home_keys = [BlockHash(1)];
    let request = RouteRequest::builder()
        .prompt_tokens(1_000)
        .time_left_ms(5_000)
        .home_keys(&home_keys)
        .build();
    let home = sent_to(&mut router, &request, 1_000);
    expect_that!(ids.contains(&home), eq(true));
    let long_queue = LoadReport {
        running_requests: 1,
        ..report(5_000)
    };
    router.update_load(home, &long_queue, 1_000);
    expect_that!(sent_to(&mut router, &request, 1_000), not(eq(home)));
}

#[googletest::test]
fn other_entries_are_assumed_to_send_as_much_to_a_full_endpoint() {
    let mut router = router();
    let endpoint = add(&mut router, "heredia");
    let busy = LoadReport {
        running_requests: 15,
        ..report(0)
    };
    router.update_load(endpoint, &busy, 1_000);
    router.mark_sent(endpoint, 1_000, 1_000);
    let tight_deadline = RouteRequest::builder()
        .prompt_tokens(1_000)
        .time_left_ms(400)
        .urgency(5)
        .build();
    expect_that!(
        router.choose(&tight_deadline, 1_000),
        eq(RouteChoice::Send(endpoint))
    );
    router.set_other_entries(7);
    expect_that!(
        router.choose(&tight_deadline, 1_000),
        refused(RefusalCode::Overloaded)
    );
}

#[googletest::test]
fn one_own_request_does_not_fill_a_small_endpoint_that_is_nearly_idle() {
    let mut router = router();
    let endpoint = add(&mut router, "heredia");
    let small = LoadReport {
        running_requests: 1,
        capacity: 4,
        ..report(0)
    };
    router.set_other_entries(7);
    router.update_load(endpoint, &small, 1_000);
    router.mark_sent(endpoint, 0, 1_000);
    let short_deadline = RouteRequest::builder().time_left_ms(100).build();
    expect_that!(
        router.choose(&short_deadline, 1_000),
        eq(RouteChoice::Send(endpoint))
    );
}

#[googletest::test]
fn mean_occupancy_is_shared_by_all_endpoints() {
    let mut router = router();
    let busy = add(&mut router, "heredia");
    let idle = add(&mut router, "heredia");
    for round in 0..200 {
        let ticket = router.mark_sent(idle, 0, round * 10_000);
        router.mark_first_token(ticket);
        router.mark_finished(ticket, round * 10_000 + 4_000);
    }
    let now_ms = 3_000_000;
    let full = LoadReport {
        running_requests: 16,
        queued_requests: 15,
        ..report(0)
    };
    router.update_load(busy, &full, now_ms);
    let exclude = [idle];
    // The request is behind sixteen requests of 4 s each, and 16 requests run at once.
    let request = |time_left_ms| {
        RouteRequest::builder()
            .time_left_ms(time_left_ms)
            .urgency(5)
            .exclude(&exclude)
            .build()
    };
    expect_that!(
        router.choose(&request(3_500), now_ms),
        refused(RefusalCode::Overloaded)
    );
    expect_that!(
        router.choose(&request(4_500), now_ms),
        eq(RouteChoice::Send(busy))
    );
}

#[googletest::test]
fn time_in_the_queue_is_not_counted_as_occupancy() {
    let mut router = router();
    let endpoint = add(&mut router, "heredia");
    let full = LoadReport {
        running_requests: 16,
        queued_requests: 15,
        ..report(0)
    };
    for round in 0..400 {
        let now_ms = round * 10_000;
        router.update_load(endpoint, &full, now_ms);
        let ticket = router.mark_sent(endpoint, 0, now_ms);
        router.mark_first_token(ticket);
        // Half of the time passes in the queue, behind sixteen requests.
        router.mark_finished(ticket, now_ms + 4_000);
    }
    let now_ms = 5_000_000;
    router.update_load(endpoint, &full, now_ms);
    let request = |time_left_ms| {
        RouteRequest::builder()
            .time_left_ms(time_left_ms)
            .urgency(5)
            .build()
    };
    expect_that!(
        router.choose(&request(1_500), now_ms),
        refused(RefusalCode::Overloaded)
    );
    expect_that!(
        router.choose(&request(2_500), now_ms),
        eq(RouteChoice::Send(endpoint))
    );
}

#[googletest::test]
fn requests_without_a_first_token_do_not_change_the_mean_occupancy() {
    let mut router = router();
    let endpoint = add(&mut router, "heredia");
    for round in 0..200 {
        let ticket = router.mark_sent(endpoint, 0, round * 100_000);
        router.mark_finished(ticket, round * 100_000 + 50_000);
    }
    let now_ms = 30_000_000;
    let full = LoadReport {
        running_requests: 16,
        queued_requests: 15,
        ..report(0)
    };
    router.update_load(endpoint, &full, now_ms);
    let request = RouteRequest::builder()
        .time_left_ms(1_100)
        .urgency(5)
        .build();
    expect_that!(
        router.choose(&request, now_ms),
        eq(RouteChoice::Send(endpoint))
    );
}
