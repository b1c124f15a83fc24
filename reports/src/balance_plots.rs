//! Plots of ways to place experts.

use std::ops::Range;

use crate::balance_comparison::BalanceResult;
use crate::balance_method::EXPERT_BYTES;
use crate::balance_method::INTERVAL_S;
use crate::balance_series::BalanceSeries;
use crate::drifting_load::Drift;
use crate::figures::as_f64;
use crate::line_chart::LineChart;
use crate::line_chart::LineKind;
use crate::line_chart::LineSeriesData;
use crate::plot::Plot;
use crate::report_error::ReportError;

/// Range of the plot that shows every method.
const FULL_RANGE: Range<f64> = 0.8..4.5;
/// Range of the plot that tells the good methods apart.
const NEAR_RANGE: Range<f64> = 0.99..1.3;
/// Mean skew that the planner is to keep.
const GOAL_SKEW: f64 = 1.05;
const BYTES_PER_TB: f64 = 1e12;
const MINUTES_PER_INTERVAL: u32 = INTERVAL_S / 60;
const X_LABEL: &str = "time, minutes";

/// Draws skew over time and bytes moved of all methods under one load.
///
/// # Errors
///
/// Returns what the plotting library refused.
pub fn balance_plots(drift: Drift, result: &BalanceResult) -> Result<Vec<Plot>, ReportError> {
    let name = drift.name();
    let skews = result.methods.iter().map(skew_line);
    let bound = std::iter::once(bound_line("lower bound", LineKind::Bound, &result.bounds));
    let all = LineChart::builder()
        .title(format!("Skew over time, {name}"))
        .x_label(X_LABEL)
        .y_label("highest rank load / mean")
        .series(skews.clone().chain(bound.clone()).collect())
        .y_range(FULL_RANGE)
        .build();
    let goal = vec![GOAL_SKEW; result.bounds.len()];
    let goal = std::iter::once(bound_line("goal for the mean", LineKind::Goal, &goal));
    let near = LineChart::builder()
        .title(format!("Skew over time, {name}, near the bound"))
        .x_label(X_LABEL)
        .y_label("highest rank load / mean")
        .series(skews.chain(bound).chain(goal).collect())
        .y_range(NEAR_RANGE)
        .build();
    let moved = LineChart::builder()
        .title(format!("Expert weights loaded, {name}"))
        .x_label(X_LABEL)
        .y_label("loaded since the start, TB")
        .series(result.methods.iter().map(moved_line).collect())
        .build();
    Ok(vec![
        Plot::of_lines(
            &format!("balance_{name}_skew"),
            "Lower is better; a skew of 2 makes each step take twice as long as with even loads.",
            &all,
        )?,
        Plot::of_lines(
            &format!("balance_{name}_skew_near"),
            "The same, with values above 1.3 drawn at 1.3. No layout can be below the bound, and \
             the bound may not be reachable.",
            &near,
        )?,
        Plot::of_lines(
            &format!("balance_{name}_loaded"),
            "Lower is better: each load takes from the weight store's rate. The recompute is not \
             held to that rate, both planners are.",
            &moved,
        )?,
    ])
}

fn skew_line(series: &BalanceSeries) -> LineSeriesData {
    LineSeriesData {
        name: series.method.to_owned(),
        points: over_time(series.skews.iter().copied()),
        kind: LineKind::Measured,
    }
}

fn bound_line(name: &str, kind: LineKind, bounds: &[f64]) -> LineSeriesData {
    LineSeriesData {
        name: name.to_owned(),
        points: over_time(bounds.iter().copied()),
        kind,
    }
}

fn moved_line(series: &BalanceSeries) -> LineSeriesData {
    let mut total = 0;
    let totals = series.moves.iter().map(|moves| {
        total += *moves as u64;
        as_f64(total * EXPERT_BYTES) / BYTES_PER_TB
    });
    LineSeriesData {
        name: series.method.to_owned(),
        points: over_time(totals),
        kind: LineKind::Measured,
    }
}

/// Returns points at the end of each interval.
fn over_time(values: impl Iterator<Item = f64>) -> Vec<(f64, f64)> {
    let minutes = (1_u32..).map(|interval| f64::from(interval * MINUTES_PER_INTERVAL));
    minutes.zip(values).collect()
}
