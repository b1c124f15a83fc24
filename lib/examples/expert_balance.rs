//! Compares ways to place experts on drifting, seeded loads.
//!
//! Run with `cargo run --release -p pomeloramp-lib --example expert_balance -- --seed 1
//! --layers 64`. Prints a table and the same as comma-separated values. Skew is the highest rank
//! load over the mean, averaged over the layers; each layout is judged by the load of the
//! interval after the one that it was planned from.

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use pico_args::Arguments;
use pomeloramp_lib::ExpertLayout;
use pomeloramp_lib::ExpertLoad;
use pomeloramp_lib::ExpertPlanner;
use pomeloramp_lib::LoadTracker;
use pomeloramp_lib::PlanLimits;
use pomeloramp_lib::WeightPacer;
use pomeloramp_lib::protos::template::RebalanceParameters;
use pomeloramp_lib::skew_lower_bound;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const RANKS: u32 = 64;
const EXPERTS: usize = 64;
const INTERVALS: u32 = 120;
const INTERVAL_S: u32 = 60;
const SMOOTHING_S: f64 = 60.0;
const EXPERT_BYTES: u64 = 44_000_000;
const SHARE_BYTES_PER_S: u64 = 500_000_000;
const BURST_BYTES: u64 = 60 * SHARE_BYTES_PER_S;
/// Standard deviation of the logarithm of an expert's popularity.
const POPULARITY_SIGMA: f64 = 0.7;
/// Standard deviation of the logarithm of the load of one interval around its trend.
const NOISE_SIGMA: f64 = 0.005;
const TOKENS_PER_S: f64 = 37_000.0;

#[derive(Debug, Clone, Copy)]
enum Drift {
    Dawn,
    MidMorning,
    Flip,
}

impl Drift {
    fn name(self) -> &'static str {
        match self {
            Self::Dawn => "dawn",
            Self::MidMorning => "mid-morning",
            Self::Flip => "flip",
        }
    }

    /// Returns how far the load has gone from its first to its second profile.
    fn blend(self, interval: u32) -> f64 {
        let time = f64::from(interval) / f64::from(INTERVALS);
        match self {
            Self::Dawn => time,
            Self::MidMorning => (std::f64::consts::TAU * time).cos().mul_add(-0.5, 0.5),
            Self::Flip => f64::from(u8::from(time >= 0.5)),
        }
    }
}

struct Scenario {
    drift: Drift,
    from: Vec<Vec<f64>>,
    to: Vec<Vec<f64>>,
    noise: StdRng,
}

impl Scenario {
    fn new(drift: Drift, seed: u64, layers: usize) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let from = profile(&mut random, layers);
        let to = profile(&mut random, layers);
        Self {
            drift,
            from,
            to,
            noise: random,
        }
    }

    fn load(&mut self, interval: u32) -> ExpertLoad {
        let blend = self.drift.blend(interval);
        let pairs = self.from.iter().zip(&self.to);
        let mut layers = Vec::new();
        for (from, to) in pairs {
            let experts = from.iter().zip(to);
            let trend = experts.map(|(from, to)| from + blend * (to - from));
            let noise = &mut self.noise;
            layers.push(
                trend
                    .map(|load| load * log_normal(noise, NOISE_SIGMA))
                    .collect(),
            );
        }
        ExpertLoad::new(layers)
    }
}

fn profile(random: &mut StdRng, layers: usize) -> Vec<Vec<f64>> {
    let mut layer = || {
        let weights: Vec<f64> = (0..EXPERTS)
            .map(|_| log_normal(random, POPULARITY_SIGMA))
            .collect();
        let total: f64 = weights.iter().sum();
        let loads = weights.iter().map(|weight| TOKENS_PER_S * weight / total);
        loads.collect()
    };
    (0..layers).map(|_| layer()).collect()
}

fn log_normal(random: &mut StdRng, sigma: f64) -> f64 {
    // The sum of twelve uniform values is close to normal, with variance one.
    let normal = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    (sigma * normal).exp()
}

/// A way to place experts: what it does after each interval.
enum Method {
    Static,
    Recompute,
    Plan {
        planner: ExpertPlanner,
        pacer: WeightPacer,
    },
}

struct Run {
    name: &'static str,
    method: Method,
    layout: ExpertLayout,
    tracker: LoadTracker,
    skews: Vec<f64>,
    moves: usize,
    plans: u32,
    time: Duration,
    slowest: Duration,
}

impl Run {
    fn new(name: &'static str, method: Method, layout: &ExpertLayout) -> Self {
        Self {
            name,
            method,
            layout: layout.clone(),
            tracker: LoadTracker::new(SMOOTHING_S),
            skews: Vec::new(),
            moves: 0,
            plans: 0,
            time: Duration::ZERO,
            slowest: Duration::ZERO,
        }
    }

    fn observe(&mut self, load: &ExpertLoad, slots: usize, now_ms: u64) {
        self.skews.push(self.layout.skew(load));
        self.tracker.observe(load, f64::from(INTERVAL_S));
        let began = Instant::now();
        let next = self.next(load, slots, now_ms);
        let time = began.elapsed();
        self.time += time;
        self.slowest = self.slowest.max(time);
        if let Some(next) = next {
            self.moves += next.moves_from(&self.layout);
            self.plans += 1;
            self.layout = next;
        }
    }

    fn next(&mut self, load: &ExpertLoad, slots: usize, now_ms: u64) -> Option<ExpertLayout> {
        match &mut self.method {
            Method::Static => None,
            Method::Recompute => Some(ExpertLayout::packed(load, RANKS as usize, slots)),
            Method::Plan { planner, pacer } => {
                let limits = PlanLimits {
                    drift_horizon_s: self.tracker.drift_horizon_s(),
                    available_bytes: pacer.available_bytes(now_ms),
                };
                let load = self.tracker.forecast(f64::from(INTERVAL_S))?;
                let plan = planner.plan(&self.layout, &load, limits)?;
                assert!(
                    pacer.take(plan.move_bytes, now_ms),
                    "a plan exceeds its limit"
                );
                Some(plan.layout)
            }
        }
    }

    fn report(&mut self, drift: Drift, slots: usize, bound: f64) -> String {
        let mean_skew = mean(&self.skews);
        self.skews.sort_by(f64::total_cmp);
        let p99_skew = self.skews[self.skews.len() * 99 / 100];
        let gigabytes = self.moves as u64 * EXPERT_BYTES / 1_000_000_000;
        format!(
            "{},{slots},{},{bound:.4},{mean_skew:.4},{p99_skew:.4},{},{gigabytes},{},{:.2},{:.2}",
            drift.name(),
            self.name,
            self.moves,
            self.plans,
            self.time.as_secs_f64() * 1e3 / f64::from(INTERVALS),
            self.slowest.as_secs_f64() * 1e3,
        )
    }
}

fn mean(values: &[f64]) -> f64 {
    let count = u32::try_from(values.len()).unwrap_or(u32::MAX);
    values.iter().sum::<f64>() / f64::from(count.max(1))
}

fn planner(skew_weight: f64, move_weight: f64, slots: usize) -> Method {
    let parameters = RebalanceParameters {
        skew_weight,
        move_weight,
        horizon_s: 1_800,
        redundant_experts_per_rank: u32::try_from(slots - 1).unwrap_or(0),
        max_moves_per_plan: 2_000,
    };
    Method::Plan {
        planner: ExpertPlanner::builder()
            .parameters(parameters)
            .expert_bytes(EXPERT_BYTES)
            .share_bytes_per_s(SHARE_BYTES_PER_S)
            .build(),
        pacer: WeightPacer::builder()
            .share_bytes_per_s(SHARE_BYTES_PER_S)
            .burst_bytes(BURST_BYTES)
            .now_ms(0)
            .build(),
    }
}

fn compare(drift: Drift, slots: usize, seed: u64, layers: usize) -> Vec<String> {
    let mut scenario = Scenario::new(drift, seed, layers);
    let first = scenario.load(0);
    let layout = ExpertLayout::packed(&first, RANKS as usize, slots);
    let mut runs = [
        Run::new("static", Method::Static, &layout),
        Run::new("recompute", Method::Recompute, &layout),
        Run::new("planner-skew", planner(1.0, 0.3, slots), &layout),
        Run::new("planner-moves", planner(1.0, 20.0, slots), &layout),
    ];
    let mut bounds = Vec::new();
    for interval in 1..=INTERVALS {
        let load = scenario.load(interval);
        let slots_per_rank = u32::try_from(slots).unwrap_or(u32::MAX);
        let layer_bounds = load
            .layers()
            .iter()
            .map(|loads| skew_lower_bound(loads, RANKS, slots_per_rank));
        bounds.push(mean(&layer_bounds.collect::<Vec<f64>>()));
        let now_ms = u64::from(interval * INTERVAL_S) * 1_000;
        for run in &mut runs {
            run.observe(&load, slots, now_ms);
        }
    }
    let bound = mean(&bounds);
    let lines = runs.iter_mut().map(|run| run.report(drift, slots, bound));
    lines.collect()
}

fn print_table(header: &str, lines: &[String]) {
    for line in std::iter::once(header).chain(lines.iter().map(String::as_str)) {
        let cells: Vec<String> = line.split(',').map(|cell| format!("{cell:>14}")).collect();
        println!("{}", cells.join(""));
    }
    println!();
    println!("{header}");
    for line in lines {
        println!("{line}");
    }
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    let seed = arguments.opt_value_from_str("--seed");
    let layers = arguments.opt_value_from_str("--layers");
    let (Ok(seed), Ok(layers)) = (seed, layers) else {
        eprintln!("usage: expert_balance [--seed NUMBER] [--layers COUNT]");
        return ExitCode::FAILURE;
    };
    let unknown = arguments.finish();
    if !unknown.is_empty() {
        eprintln!("unknown arguments: {unknown:?}");
        return ExitCode::FAILURE;
    }
    let header =
        "load,slots,method,bound,mean_skew,p99_skew,moves,gigabytes,plans,mean_ms,slowest_ms";
    let mut lines = Vec::new();
    for drift in [Drift::Dawn, Drift::MidMorning, Drift::Flip] {
        for slots in [1, 2, 3] {
            lines.extend(compare(
                drift,
                slots,
                seed.unwrap_or(1),
                layers.unwrap_or(64),
            ));
        }
    }
    print_table(header, &lines);
    ExitCode::SUCCESS
}
