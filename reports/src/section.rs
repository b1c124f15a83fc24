//! Sections of a report: runs, and the plots of their rows.

use std::thread;
use std::thread::ScopedJoinHandle;

use crate::balance_comparison::BalanceComparison;
use crate::balance_plots::balance_plots;
use crate::control_plots::control_plots;
use crate::control_plots::organisation_plots;
use crate::control_row::control_rows;
use crate::control_wire::heartbeat_cost;
use crate::drifting_load::Drift;
use crate::organisation_cost::organisation_bytes;
use crate::organisation_cost::organisation_times;
use crate::plot::Plot;
use crate::report_error::ReportError;
use crate::report_settings::ReportSettings;
use crate::routing_plots::routing_plots;
use crate::routing_row::RoutingComparison;
use crate::routing_scenario::Scenario;
use crate::shared_endpoint::Discipline;
use crate::sharing_plots::NamedSharing;
use crate::sharing_plots::idle_plots;
use crate::sharing_plots::sharing_plots;
use crate::sharing_row::SharingLoad;

/// Plots of one matter.
#[derive(Debug, Clone)]
pub struct Section {
    /// Heading.
    pub heading: &'static str,
    /// What was run, with the seed.
    pub run: String,
    /// The plots.
    pub plots: Vec<Plot>,
}

/// Makes one section.
pub type MakeSection = fn(&ReportSettings) -> Result<Section, ReportError>;

/// All sections, in the order in which they are run.
///
/// Memory is measured by the growth of the process, so control costs come before runs that free
/// memory.
pub const SECTIONS: [MakeSection; 4] = [
    control_section,
    routing_section,
    balance_section,
    sharing_section,
];

fn control_section(settings: &ReportSettings) -> Result<Section, ReportError> {
    let bytes = organisation_bytes();
    let times = organisation_times(settings.seed);
    let mut plots = control_plots(&control_rows(settings.seed, &heartbeat_cost()))?;
    plots.extend(organisation_plots(&times, &bytes)?);
    Ok(Section {
        heading: "Cost of control",
        run: format!("seed {}, calls over loopback", settings.seed),
        plots,
    })
}

fn routing_section(settings: &ReportSettings) -> Result<Section, ReportError> {
    let (seed, entries, endpoints) = (settings.seed, settings.entries, settings.endpoints);
    let comparison = RoutingComparison::builder()
        .seed(seed)
        .entries(entries)
        .endpoints(endpoints)
        .build();
    let rows = Scenario::ALL.map(|scenario| comparison.rows(scenario));
    Ok(Section {
        heading: "Routing",
        run: format!("seed {seed}, {entries} entries, {endpoints} endpoints, 3 runs for each bar"),
        plots: routing_plots(&rows.concat())?,
    })
}

fn balance_section(settings: &ReportSettings) -> Result<Section, ReportError> {
    let comparison = |drift| {
        BalanceComparison::builder()
            .drift(drift)
            .slots_per_rank(settings.slots_per_rank)
            .layers(settings.layers)
            .seed(settings.seed)
            .build()
    };
    let results = thread::scope(|scope| {
        let handles = Drift::ALL.map(|drift| scope.spawn(move || comparison(drift).run()));
        let joined = handles.map(ScopedJoinHandle::join);
        joined.map(|result| result.expect("a run ends"))
    });
    let mut plots = Vec::new();
    for (drift, result) in Drift::ALL.into_iter().zip(&results) {
        plots.extend(balance_plots(drift, result)?);
    }
    Ok(Section {
        heading: "Expert balance",
        run: format!(
            "seed {}, {} layers, 64 ranks with {} slots each, a plan each minute",
            settings.seed, settings.layers, settings.slots_per_rank
        ),
        plots,
    })
}

fn sharing_section(settings: &ReportSettings) -> Result<Section, ReportError> {
    let mut results = Vec::new();
    for load in &SharingLoad::ALL {
        for discipline in Discipline::ALL {
            results.push(NamedSharing {
                load: load.name,
                discipline,
                result: load.run(discipline, settings.seed),
            });
        }
    }
    let mut plots = sharing_plots(&results)?;
    plots.extend(idle_plots(&results)?);
    Ok(Section {
        heading: "Sharing and idle time",
        run: format!(
            "seed {}, one endpoint with 16 slots, 10 organisations with equal shares, 10 minutes",
            settings.seed
        ),
        plots,
    })
}
