//! Compares the fair queue with one line for all, on floods and on owners who come back.
//!
//! Run with `cargo run --release -p pomeloramp-lib --example sharing_comparison -- SEED`.

mod endpoint;

use std::env;
use std::ops::Range;
use std::time::Duration;

use endpoint::Discipline;
use endpoint::Endpoint;
use pomeloramp_lib::protos::template::OrganisationParameters;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const DEFAULT_SEED: u64 = 20_261_203;
const ORGANISATIONS: usize = 10;
const OTHERS: f64 = 9.0;
const DURATION_MS: u64 = 600_000;
const MS_PER_S: f64 = 1_000.0;
const CAPACITY: u32 = 16;
const MEAN_RUN_MS: f64 = 2_000.0;
/// Longest run; longer draws are cut.
const MAX_RUN_MS: f64 = 10_000.0;

/// One load of an endpoint.
struct Scenario {
    name: &'static str,
    /// Load of the organisations other than the first, all together, over the capacity.
    others_load: f64,
    /// Load of the first organisation over the capacity, by the time in milliseconds.
    first_load: fn(u64) -> f64,
}

fn main() {
    let seed = env::args().nth(1).and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    println!("seed {seed}, capacity {CAPACITY}, {ORGANISATIONS} organisations with equal shares");
    println!(
        "scenario             discipline   organisation  answered  refused  wait_p50_ms  wait_p95_ms  wait_p99_ms  wait_max_ms"
    );
    let scenarios = [
        Scenario {
            name: "no flood",
            others_load: 0.6,
            first_load: |_| 0.05,
        },
        Scenario {
            name: "flood of 2x capacity",
            others_load: 0.6,
            first_load: |_| 2.0,
        },
        Scenario {
            name: "owner comes back",
            others_load: 2.0,
            first_load: |now_ms| if now_ms % 60_000 < 10_000 { 0.09 } else { 0.0 },
        },
    ];
    for scenario in &scenarios {
        for discipline in [Discipline::OneLine, Discipline::Fair] {
            let endpoint = run(scenario, discipline, seed);
            print_waits(scenario.name, discipline, "first", &endpoint, 0..1);
            print_waits(
                scenario.name,
                discipline,
                "others",
                &endpoint,
                1..ORGANISATIONS,
            );
        }
    }
}

fn run(scenario: &Scenario, discipline: Discipline, seed: u64) -> Endpoint {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut endpoint = Endpoint::new(discipline, CAPACITY, &parameters());
    for now_ms in 0..DURATION_MS {
        endpoint.advance(now_ms);
        for organisation in 0..ORGANISATIONS {
            let load = match organisation {
                0 => (scenario.first_load)(now_ms),
                _ => scenario.others_load / OTHERS,
            };
            let arrivals_per_ms = load * f64::from(CAPACITY) / MEAN_RUN_MS;
            if rng.random::<f64>() < arrivals_per_ms {
                endpoint.offer(organisation, draw_run_ms(&mut rng));
            }
        }
    }
    endpoint
}

/// Draws a run time from an exponential distribution that is cut at [`MAX_RUN_MS`].
fn draw_run_ms(rng: &mut SmallRng) -> u64 {
    let drawn_ms = -MEAN_RUN_MS * (1.0 - rng.random::<f64>()).ln();
    let run_ms = Duration::from_secs_f64(drawn_ms.clamp(1.0, MAX_RUN_MS) / MS_PER_S).as_millis();
    u64::try_from(run_ms).unwrap_or(1)
}

fn parameters() -> Vec<OrganisationParameters> {
    (0..ORGANISATIONS)
        .map(|organisation| OrganisationParameters {
            organisation: endpoint::name(organisation),
            max_in_flight: 200,
            share_weight: 1,
            idle_weight: 1,
            ..OrganisationParameters::default()
        })
        .collect()
}

fn print_waits(
    scenario: &str,
    discipline: Discipline,
    who: &str,
    endpoint: &Endpoint,
    organisations: Range<usize>,
) {
    let mut waits_ms = endpoint.waits_ms(organisations.clone());
    waits_ms.sort_unstable();
    let refused = endpoint.refused(organisations);
    let percentile = |percent: usize| match waits_ms.len() {
        0 => 0,
        count => waits_ms[(count * percent / 100).min(count - 1)],
    };
    println!(
        "{scenario:20}  {:11}  {who:12}  {:8}  {refused:7}  {:11}  {:11}  {:11}  {:11}",
        discipline.name(),
        waits_ms.len(),
        percentile(50),
        percentile(95),
        percentile(99),
        percentile(100),
    );
}
