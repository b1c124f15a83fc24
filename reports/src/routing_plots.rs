//! Plots of routing policies.

use crate::bar_chart::BarChart;
use crate::bar_chart::BarSeries;
use crate::bar_chart::Limit;
use crate::chart_frame::Scale;
use crate::figures::as_f64;
use crate::plot::Plot;
use crate::report_error::ReportError;
use crate::routing_row::IN_TIME_MS;
use crate::routing_row::RoutingRow;
use crate::routing_scenario::RoutePolicy;
use crate::routing_scenario::Scenario;

/// One figure of the rows, by scenario and policy.
struct Figure {
    name: &'static str,
    title: &'static str,
    y_label: &'static str,
    caption: &'static str,
    is_time: bool,
    of: fn(&RoutingRow) -> f64,
}

const TIME_LABEL: &str = "time from the first attempt, ms (log scale)";
const TIME_CAPTION: &str = "Of answers that became whole; lower is better. Requests that were \
     never answered whole are not in it, so read it with the goodput.";

const FIGURES: [Figure; 5] = [
    Figure {
        name: "routing_first_token_p50",
        title: "Time to the first token, p50",
        y_label: TIME_LABEL,
        caption: TIME_CAPTION,
        is_time: true,
        of: |row| as_f64(row.first_token_p50_ms),
    },
    Figure {
        name: "routing_first_token_p95",
        title: "Time to the first token, p95",
        y_label: TIME_LABEL,
        caption: TIME_CAPTION,
        is_time: true,
        of: |row| as_f64(row.first_token_p95_ms),
    },
    Figure {
        name: "routing_first_token_p99",
        title: "Time to the first token, p99",
        y_label: TIME_LABEL,
        caption: TIME_CAPTION,
        is_time: true,
        of: |row| as_f64(row.first_token_p99_ms),
    },
    Figure {
        name: "routing_goodput",
        title: "Goodput",
        y_label: "whole and in time, % of requests",
        caption: "Requests answered whole, with the first token in time; higher is better.",
        is_time: false,
        of: |row| row.goodput_percent,
    },
    Figure {
        name: "routing_cached_share",
        title: "Cached prefix share",
        y_label: "cached, % of prompt tokens",
        caption: "Prompt tokens that the endpoint had cached. A higher share saves prefill, but is \
                  no aim by itself: see the tail of the prefix hash.",
        is_time: false,
        of: |row| row.cached_percent,
    },
];

/// Draws the rows of all scenarios, each figure by scenario and policy.
///
/// # Errors
///
/// Returns what the plotting library refused.
pub fn routing_plots(rows: &[RoutingRow]) -> Result<Vec<Plot>, ReportError> {
    let plots = FIGURES.iter().map(|figure| figure.draw(rows));
    plots.collect()
}

impl Figure {
    fn draw(&self, rows: &[RoutingRow]) -> Result<Plot, ReportError> {
        let scale = if self.is_time {
            Scale::Logarithmic
        } else {
            Scale::Linear
        };
        let limit = self.is_time.then(|| Limit {
            name: "counted as in time".to_owned(),
            value: as_f64(IN_TIME_MS),
        });
        let scenarios = Scenario::ALL.iter();
        let scenarios = scenarios.filter(|scenario| rows.iter().any(|r| r.scenario == **scenario));
        let scenarios: Vec<Scenario> = scenarios.copied().collect();
        let series = RoutePolicy::ALL.map(|policy| BarSeries {
            name: policy.name().to_owned(),
            values: self.values(rows, &scenarios, policy),
        });
        let chart = BarChart::builder()
            .title(self.title)
            .x_label("load")
            .y_label(self.y_label)
            .categories(scenarios.iter().map(|s| s.name().to_owned()).collect())
            .series(series.into())
            .scale(scale)
            .maybe_limit(limit)
            .build();
        Plot::of_bars(self.name, self.caption, &chart)
    }

    fn values(&self, rows: &[RoutingRow], scenarios: &[Scenario], policy: RoutePolicy) -> Vec<f64> {
        let value = |scenario: &Scenario| {
            let mut rows = rows.iter();
            let row = rows.find(|row| row.scenario == *scenario && row.policy == policy);
            row.map_or(0.0, self.of)
        };
        scenarios.iter().map(value).collect()
    }
}
