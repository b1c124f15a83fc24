//! Measures what the path through entry and agent adds to a direct call to the stand-in.
//!
//! Build with `--release`. Prints requests a second, p50 and p99 of the latency, and the processor
//! time that each process of the path spends on a request; both ways run in turn, twice.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use pomeloramp_testutils::caller::Caller;
use pomeloramp_testutils::fleet::COMMIT_SERVICE;
use pomeloramp_testutils::fleet::Fleet;
use pomeloramp_testutils::fleet::FleetPlan;
use pomeloramp_testutils::fleet::ORGANISATIONS;
use pomeloramp_testutils::fleet_text::credential;
use pomeloramp_testutils::process_cost::cpu_time_s;
use pomeloramp_testutils::process_cost::resident_bytes;
use ureq::Agent;

const TIMEOUT: Duration = Duration::from_secs(10);
const CALLERS: usize = 8;
const REQUESTS_PER_CALLER: usize = 2_000;
const ROUNDS: usize = 2;
const MAX_LATENCY_US: u64 = 10_000_000;

/// One way of reaching the stand-in.
#[derive(Clone)]
struct Way {
    name: &'static str,
    url: String,
    placement: String,
}

fn main() {
    let plan = FleetPlan::builder()
        .entries(1)
        .engines(0)
        .plain_flags(vec!["--work-ms".to_owned(), "0".to_owned()])
        .endpoint_settings(vec![
            "capacity: 64".to_owned(),
            "max_call_records: 1000000".to_owned(),
        ])
        .build();
    let fleet = Fleet::start(plan);
    let entry = &fleet.entries[0];
    let endpoint = &fleet.endpoints[0];
    let caller = Caller::new(ORGANISATIONS[0], TIMEOUT);
    let placement = caller
        .placement(&entry.caller_address)
        .expect("the entry gives a placement");
    let direct = Way {
        name: "direct",
        url: format!("http://{}/calls/commit", endpoint.endpoint_address),
        placement: placement.clone(),
    };
    let through = Way {
        name: "through entry and agent",
        url: format!(
            "http://{}/v1/services/{COMMIT_SERVICE}/commit",
            entry.caller_address
        ),
        placement,
    };
    for round in 0..ROUNDS {
        for way in [&direct, &through] {
            let before_s = [entry.daemon.id(), endpoint.agent.id()].map(cpu_time_s);
            measure(way, round);
            let after_s = [entry.daemon.id(), endpoint.agent.id()].map(cpu_time_s);
            print_processor_time(before_s, after_s);
        }
    }
    for (name, process_id) in [("entry", entry.daemon.id()), ("agent", endpoint.agent.id())] {
        println!("{name}: {} KB resident", resident_bytes(process_id) / 1024);
    }
}

fn measure(way: &Way, round: usize) {
    let started = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let way = way.clone();
            thread::spawn(move || call_repeatedly(&way, &format!("{round}-{caller}")))
        })
        .collect();
    let mut latencies = new_histogram();
    for caller in callers {
        let own = caller.join().expect("a caller thread ends normally");
        latencies.add(own).expect("histograms have the same bounds");
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let count = u32::try_from(latencies.len()).unwrap_or(u32::MAX);
    println!(
        "{}: {:.0} requests/s, p50 {} us, p99 {} us",
        way.name,
        f64::from(count) / elapsed_s,
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
    );
}

fn call_repeatedly(way: &Way, prefix: &str) -> Histogram<u64> {
    let agent: Agent = Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build()
        .into();
    let authorization = format!("Bearer {}", credential(ORGANISATIONS[0]));
    let mut latencies = new_histogram();
    for number in 0..REQUESTS_PER_CALLER {
        let started = Instant::now();
        let mut response = agent
            .post(&way.url)
            .header("authorization", &authorization)
            .header(
                "idempotency-key",
                format!("{}-{prefix}-{number}", way.name.len()),
            )
            .header("pomeloramp-organisation", ORGANISATIONS[0])
            .header("pomeloramp-placement", &way.placement)
            .header("pomeloramp-attempt", "1")
            .send("{\"wire_mm\":4}")
            .expect("the call is answered");
        let body = response.body_mut().read_to_string().expect("a whole body");
        assert!(response.status().is_success(), "{}: {body}", way.name);
        let elapsed_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US);
        latencies.saturating_record(elapsed_us);
    }
    latencies
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("bounds are valid")
}

fn print_processor_time(before_s: [f64; 2], after_s: [f64; 2]) {
    let requests = u32::try_from(CALLERS * REQUESTS_PER_CALLER).unwrap_or(u32::MAX);
    for (index, name) in ["entry", "agent"].into_iter().enumerate() {
        let each_us = (after_s[index] - before_s[index]) * 1e6 / f64::from(requests);
        println!("  {name}: {each_us:.0} us of processor time a request");
    }
}
