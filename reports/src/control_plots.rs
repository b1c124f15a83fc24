//! Plots of what control costs against the size of the fleet.

use crate::chart_frame::Scale;
use crate::control_row::ControlRow;
use crate::control_row::EndpointChoice;
use crate::figures::as_f64;
use crate::line_chart::LineChart;
use crate::line_chart::LineKind;
use crate::line_chart::LineSeriesData;
use crate::organisation_cost::OrganisationBytes;
use crate::organisation_cost::OrganisationTimes;
use crate::plot::Plot;
use crate::report_error::ReportError;

/// Bytes a second that control may take of a daemon.
const LIMIT_BYTES_PER_S: f64 = 6_000.0;
const NS_PER_US: f64 = 1_000.0;

/// Draws heartbeats of one entry against the size of the fleet.
///
/// # Errors
///
/// Returns what the plotting library refused.
pub fn control_plots(rows: &[ControlRow]) -> Result<Vec<Plot>, ReportError> {
    let lines = EndpointChoice::ALL.map(|choice| {
        let of_choice = rows.iter().filter(|row| row.choice == choice);
        let points = of_choice.map(|row| (as_f64(row.daemons as u64), as_f64(row.bytes_per_s)));
        line(choice.name, points.collect())
    });
    let furthest = rows.iter().map(|row| row.daemons as u64).max();
    let limit = LineSeriesData {
        name: "limit of 6 KB/s".to_owned(),
        points: vec![
            (0.0, LIMIT_BYTES_PER_S),
            (as_f64(furthest.unwrap_or(1)), LIMIT_BYTES_PER_S),
        ],
        kind: LineKind::Bound,
    };
    let chart = LineChart::builder()
        .title("Heartbeats of one entry")
        .x_label("entry daemons in the fleet, with 3.3 endpoints each")
        .y_label("heartbeats, bytes/s (log scale)")
        .series(lines.into_iter().chain([limit]).collect())
        .scale(Scale::Logarithmic)
        .build();
    let plot = Plot::of_lines(
        "control_heartbeats",
        "Lower is better. With all endpoints the traffic grows with the fleet; with a subset of \
         each service it stays level. Before the pacing by bytes, which slows heartbeats down to \
         the limit.",
        &chart,
    )?;
    Ok(vec![plot])
}

/// Draws what one more organisation costs an agent.
///
/// # Errors
///
/// Returns what the plotting library refused.
pub fn organisation_plots(
    times: &[OrganisationTimes],
    bytes: &[OrganisationBytes],
) -> Result<Vec<Plot>, ReportError> {
    let time_line = |name: &str, time_ns: fn(&OrganisationTimes) -> u128| {
        let points = times.iter().map(|row| {
            let time_ns = u64::try_from(time_ns(row)).unwrap_or(u64::MAX);
            (
                as_f64(row.organisations as u64),
                as_f64(time_ns) / NS_PER_US,
            )
        });
        line(name, points.collect())
    };
    let time = LineChart::builder()
        .title("Processor time of an agent for a request")
        .x_label("organisations")
        .y_label("time for a request, µs")
        .series(vec![
            time_line("fair queue", |row| row.queue_ns_per_request),
            time_line("account of idle time", |row| row.ledger_ns_per_request),
        ])
        .build();
    let memory_line = |name: &str, each: fn(&OrganisationBytes) -> u64| {
        let points = bytes.iter().map(|row| {
            let total_bytes = each(row) * row.organisations as u64;
            (as_f64(row.organisations as u64), as_f64(total_bytes) / 1e6)
        });
        line(name, points.collect())
    };
    let memory = LineChart::builder()
        .title("Memory of an agent for its organisations")
        .x_label("organisations")
        .y_label("memory, MB")
        .series(vec![
            memory_line("parameters", |row| row.parameters_bytes_each),
            memory_line("fair queue", |row| row.queue_bytes_each),
            memory_line("account of idle time", |row| row.ledger_bytes_each),
        ])
        .build();
    Ok(vec![
        Plot::of_lines(
            "control_organisation_time",
            "Lower is better. Measured on the machine of this run, so it differs from run to run.",
            &time,
        )?,
        Plot::of_lines(
            "control_organisation_memory",
            "Lower is better. Resident memory, measured on the machine of this run.",
            &memory,
        )?,
    ])
}

fn line(name: &str, points: Vec<(f64, f64)>) -> LineSeriesData {
    LineSeriesData {
        name: name.to_owned(),
        points,
        kind: LineKind::Measured,
    }
}
