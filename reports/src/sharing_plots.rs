//! Plots of waits and idle time at a shared endpoint.

use pomeloramp_lib::CapacityAccount;

use crate::bar_chart::BarArrangement;
use crate::bar_chart::BarChart;
use crate::bar_chart::BarSeries;
use crate::chart_frame::Scale;
use crate::figures::as_f64;
use crate::plot::Plot;
use crate::report_error::ReportError;
use crate::shared_endpoint::Discipline;
use crate::sharing_row::SharingResult;
use crate::sharing_row::SharingRow;

const MS_PER_S: f64 = 1_000.0;

/// What came of one load under one discipline, with the names to show.
#[derive(Debug, Clone)]
pub struct NamedSharing {
    /// Name of the load.
    pub load: &'static str,
    /// The discipline.
    pub discipline: Discipline,
    /// What came of it.
    pub result: SharingResult,
}

/// One figure of the rows, by load and discipline.
struct Figure {
    name: &'static str,
    title: &'static str,
    y_label: &'static str,
    caption: &'static str,
    scale: Scale,
    of: fn(&SharingResult) -> f64,
}

const WAIT_LABEL: &str = "wait for a slot, ms (log scale)";
const FIGURES: [Figure; 3] = [
    Figure {
        name: "sharing_others_p99",
        title: "Wait of the other organisations, p99",
        y_label: WAIT_LABEL,
        caption: "Lower is better. Under the flood, the fair queue keeps the nine others near what \
                  they wait without it; one line for all makes them wait up to the deadline.",
        scale: Scale::Logarithmic,
        of: |result| as_f64(result.others.wait_p99_ms),
    },
    Figure {
        name: "sharing_first_p99",
        title: "Wait of the first organisation, p99",
        y_label: WAIT_LABEL,
        caption: "Lower is better, but for the flood, in which the first organisation sends more \
                  than its share and has to wait.",
        scale: Scale::Logarithmic,
        of: |result| as_f64(result.first.wait_p99_ms),
    },
    Figure {
        name: "sharing_others_refused",
        title: "Refused requests of the other organisations",
        y_label: "refused, % of requests",
        caption: "Lower is better. Where the owner comes back, the others send twice the capacity, \
                  so half of it has to be refused.",
        scale: Scale::Linear,
        of: |result| refused_percent(&result.others),
    },
];

/// Draws waits and refusals, and the split of the capacity under the fair queue.
///
/// # Errors
///
/// Returns what the plotting library refused.
pub fn sharing_plots(results: &[NamedSharing]) -> Result<Vec<Plot>, ReportError> {
    let plots = FIGURES.iter().map(|figure| figure.draw(results));
    plots.collect()
}

/// Draws whose capacity was used, lent and idle, for each load under the fair queue.
///
/// # Errors
///
/// Returns what the plotting library refused.
pub fn idle_plots(results: &[NamedSharing]) -> Result<Vec<Plot>, ReportError> {
    let fair = results.iter();
    let fair = fair.filter(|named| named.discipline == Discipline::Fair);
    let plots = fair.map(|named| idle_plot(named.load, &named.result.accounts));
    plots.collect()
}

impl Figure {
    fn draw(&self, results: &[NamedSharing]) -> Result<Plot, ReportError> {
        let mut loads: Vec<&str> = results.iter().map(|named| named.load).collect();
        loads.dedup();
        let series = Discipline::ALL.map(|discipline| {
            let of_discipline = results
                .iter()
                .filter(|named| named.discipline == discipline);
            BarSeries {
                name: discipline.name().to_owned(),
                values: of_discipline
                    .map(|named| (self.of)(&named.result))
                    .collect(),
            }
        });
        let chart = BarChart::builder()
            .title(self.title)
            .x_label("load")
            .y_label(self.y_label)
            .categories(loads.into_iter().map(str::to_owned).collect())
            .series(series.into())
            .scale(self.scale)
            .build();
        Plot::of_bars(self.name, self.caption, &chart)
    }
}

fn idle_plot(load: &str, accounts: &[CapacityAccount]) -> Result<Plot, ReportError> {
    let accounts = accounts.iter();
    let owners = accounts.filter(|account| !account.organisation.is_empty());
    let owners: Vec<&CapacityAccount> = owners.collect();
    let series = |name: &str, part: fn(&CapacityAccount) -> u64| BarSeries {
        name: name.to_owned(),
        values: owners
            .iter()
            .map(|account| as_f64(part(account)) / MS_PER_S)
            .collect(),
    };
    let number = |account: &&CapacityAccount| account.organisation.replace("organisation-", "");
    let chart = BarChart::builder()
        .title(format!("Split of the capacity, {load}"))
        .x_label("organisation (0 is the first)")
        .y_label("capacity, slot-seconds")
        .categories(owners.iter().map(number).collect())
        .series(vec![
            series("own, used", |account| account.used_ms),
            series("own, lent to others", |account| account.lent_ms),
            series("own, idle", |account| account.idle_ms),
            series("borrowed from others", |account| account.borrowed_ms),
        ])
        .arrangement(BarArrangement::Stacked)
        .build();
    Plot::of_bars(
        &format!("idle_{}", load.replace(' ', "_")),
        "Used, lent and idle add up to what the organisation owns, the same for all here. Borrowed \
         comes on top; over all organisations it equals what was lent.",
        &chart,
    )
}

fn refused_percent(row: &SharingRow) -> f64 {
    let refused = as_f64(row.refused as u64);
    let all = refused + as_f64(row.answered as u64);
    100.0 * refused / all.max(1.0)
}
