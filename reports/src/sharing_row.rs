//! Waits and idle time at an endpoint that organisations share.

use std::ops::Range;
use std::time::Duration;

use pomeloramp_lib::CapacityAccount;
use pomeloramp_lib::protos::template::OrganisationParameters;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::figures::percentile;
use crate::shared_endpoint::Discipline;
use crate::shared_endpoint::SharedEndpoint;
use crate::shared_endpoint::name;

/// Number of organisations, with equal shares.
pub const ORGANISATIONS: usize = 10;
/// Slots of the endpoint.
pub const CAPACITY: u32 = 16;
const OTHERS: f64 = 9.0;
const DURATION_MS: u64 = 600_000;
const MS_PER_S: f64 = 1_000.0;
const MEAN_RUN_MS: f64 = 2_000.0;
/// Longest run; longer draws are cut.
const MAX_RUN_MS: f64 = 10_000.0;

/// One load of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct SharingLoad {
    /// Name that tables and plots show.
    pub name: &'static str,
    /// Load of the organisations other than the first, all together, over the capacity.
    others_load: f64,
    /// Load of the first organisation over the capacity, by the time in milliseconds.
    first_load: fn(u64) -> f64,
}

/// Waits of some organisations under one load and discipline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharingRow {
    /// Whose waits: the first organisation's or the others'.
    pub who: &'static str,
    /// Requests that were answered.
    pub answered: usize,
    /// Requests that were refused.
    pub refused: usize,
    /// Wait for a slot that half of the answered kept.
    pub wait_p50_ms: u64,
    /// The same, that 95 in 100 kept.
    pub wait_p95_ms: u64,
    /// The same, that 99 in 100 kept.
    pub wait_p99_ms: u64,
    /// The longest wait.
    pub wait_max_ms: u64,
}

/// What came of one load under one discipline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharingResult {
    /// Waits of the first organisation.
    pub first: SharingRow,
    /// Waits of the other organisations.
    pub others: SharingRow,
    /// Who used whose capacity, that without an owner first.
    pub accounts: Vec<CapacityAccount>,
}

impl SharingLoad {
    /// Every load.
    pub const ALL: [Self; 3] = [
        Self {
            name: "no flood",
            others_load: 0.6,
            first_load: |_| 0.05,
        },
        Self {
            name: "flood of 2x capacity",
            others_load: 0.6,
            first_load: |_| 2.0,
        },
        Self {
            name: "owner comes back",
            others_load: 2.0,
            first_load: |now_ms| if now_ms % 60_000 < 10_000 { 0.09 } else { 0.0 },
        },
    ];

    /// Puts the load on an endpoint with this discipline.
    #[must_use]
    pub fn run(&self, discipline: Discipline, seed: u64) -> SharingResult {
        let mut endpoint = run(self, discipline, seed);
        SharingResult {
            first: SharingRow::new("first", &endpoint, 0..1),
            others: SharingRow::new("others", &endpoint, 1..ORGANISATIONS),
            accounts: endpoint.accounts(),
        }
    }
}

impl SharingRow {
    fn new(who: &'static str, endpoint: &SharedEndpoint, organisations: Range<usize>) -> Self {
        let mut waits_ms = endpoint.waits_ms(organisations.clone());
        waits_ms.sort_unstable();
        Self {
            who,
            answered: waits_ms.len(),
            refused: endpoint.refused(organisations),
            wait_p50_ms: percentile(&waits_ms, 50),
            wait_p95_ms: percentile(&waits_ms, 95),
            wait_p99_ms: percentile(&waits_ms, 99),
            wait_max_ms: percentile(&waits_ms, 100),
        }
    }
}

fn run(load: &SharingLoad, discipline: Discipline, seed: u64) -> SharedEndpoint {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut endpoint = SharedEndpoint::new(discipline, CAPACITY, &parameters());
    for now_ms in 0..DURATION_MS {
        endpoint.advance(now_ms);
        for organisation in 0..ORGANISATIONS {
            let share = match organisation {
                0 => (load.first_load)(now_ms),
                _ => load.others_load / OTHERS,
            };
            let arrivals_per_ms = share * f64::from(CAPACITY) / MEAN_RUN_MS;
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
            organisation: name(organisation),
            max_in_flight: 200,
            share_weight: 1,
            idle_weight: 1,
            ..OrganisationParameters::default()
        })
        .collect()
}
